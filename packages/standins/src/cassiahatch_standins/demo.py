"""Demo of Hielo Sur on loopback: a slow service, recovery, and a change of a plan.

Run it with ``python -m cassiahatch_standins.demo``. It starts the platform, each node
and each backend server as a process, ends by itself within a minute, and exits with
0 on success.
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from cassiahatch_kernel.plans import PlanLists
from cassiahatch_standins.bench import (
    BASELINE_S,
    HIELO_SUR,
    SLOW_FACTOR,
    SURGE_FACTOR,
    TRIGGER_S,
    WINDOW_S,
    compute_recovery_s,
    compute_window_shares,
    limit_deep_capacity,
)
from cassiahatch_standins.load import LoadGenerator, Request
from cassiahatch_standins.site import PEER_KEY, Site

OBSERVATION_S = 6.0
EDIT_S = 4.0
"""Time for which load runs while the plan is edited."""
UNFINISHED_WINDOWS = 2
"""Number of windows at the end whose requests may still be in flight."""
REDUCED_PLAN = "handler"
REDUCED_RATE = 10.0
"""Requests per second."""
COMMAND_TIMEOUT_S = 30.0


async def run_command(folder: Path, *arguments: str) -> int:
    """Run the operators' command-line tool, and return its exit status."""
    command = Path(sys.executable).with_name("cassiahatch")
    print(f"$ cassiahatch {' '.join(arguments)}", flush=True)
    process = await asyncio.create_subprocess_exec(str(command), *arguments, cwd=folder)
    async with asyncio.timeout(COMMAND_TIMEOUT_S):
        return await process.wait()


async def edit_plan(site: Site, folder: Path) -> int:
    """Reduce the rate of one plan as an operator would, and return the exit status."""
    nodes = [vm.peer_address for vm in site.vms[:3]]
    settings = {
        "table": site.platform_url,
        "objects": site.platform_url,
        "peer_key": PEER_KEY,
        "nodes": nodes,
    }
    lines = [f"{k} = {msgspec.json.encode(v).decode()}" for k, v in settings.items()]
    (folder / "operator.toml").write_text("\n".join(lines) + "\n")
    await run_command(folder, "plans", "show", "lists")
    path = folder / "lists" / "plans.toml"
    path.write_text(reduce_rate(path.read_bytes()))
    await run_command(folder, "plans", "diff", "lists")
    return await run_command(folder, "plans", "apply", "lists")


def reduce_rate(text: bytes) -> str:
    """Return the text of the plans with a reduced rate and burst of one plan."""
    head, _, tail = text.decode().partition(f'[plans."{REDUCED_PLAN}"]\n')
    lines = tail.split("\n")
    lines[0] = f"rate = {REDUCED_RATE}"
    lines[1] = f"burst = {2 * REDUCED_RATE}"
    return f'{head}[plans."{REDUCED_PLAN}"]\n' + "\n".join(lines)


def print_results(
    requests: list[Request], lists: PlanLists, reduced_at: float, recovery_s: float
) -> None:
    """Print the results of each plan and the recovery time."""
    table = Table(title="results by plan")
    for column in (
        "plan",
        "kind",
        "sent",
        "complete",
        "attempts per request",
        "rejected by quota",
        "rejected for overload",
    ):
        table.add_column(column)
    groups: dict[tuple[str, str], list[Request]] = {}
    for request in requests:
        plan = lists.customers[request.stream.customer].plan
        groups.setdefault((plan, request.stream.name), []).append(request)
    for (plan, kind), group in groups.items():
        outcomes = Counter(o for r in group for o in r.outcomes)
        attempts = sum(r.attempts for r in group) / len(group)
        table.add_row(
            plan,
            kind,
            str(len(group)),
            str(sum(r.is_complete for r in group)),
            f"{attempts:.2f}",
            str(outcomes["not-run:quota_exceeded"]),
            str(outcomes["not-run:overloaded"]),
        )
    Console(width=110).print(table)
    reduced = [r for r in requests if r.stream.name.endswith("handler")]
    completed = [r for r in reduced if r.started >= reduced_at and r.is_complete]
    print(
        f"plan {REDUCED_PLAN}, reduced to {REDUCED_RATE:g}/s: {len(completed)} "
        f"complete answers in {OBSERVATION_S:g} s, at most "
        f"{REDUCED_RATE * OBSERVATION_S + 2 * REDUCED_RATE:g} allowed"
    )
    print(f"recovery after the end of the fault: {recovery_s:.1f} s")


async def main() -> int:
    """Run the demo, and return its exit status."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        spec = limit_deep_capacity(HIELO_SUR, {})
        print("starting the platform, 8 nodes and 8 backend servers", flush=True)
        async with Site(spec, folder / "site") as site:
            generator = LoadGenerator(site, site.vms, 1)
            streams = list(HIELO_SUR.streams)
            surging = [replace(s, rate=s.rate * SURGE_FACTOR) for s in streams]
            await generator.run(streams, 1.0)
            await generator.finish()
            generator.requests.clear()
            print(f"{BASELINE_S:g} s of normal traffic", flush=True)
            started = time.monotonic()
            await generator.run(streams, BASELINE_S)
            deep = site.find_vms(HIELO_SUR.deep_service)
            text = f"fleet tracking {SLOW_FACTOR:g}x slower, demand x{SURGE_FACTOR:g}"
            print(f"{text}, for {TRIGGER_S:g} s", flush=True)
            for vm in deep:
                await site.set_backend_faults(vm, slow_factor=SLOW_FACTOR)
            await generator.run(surging, TRIGGER_S)
            for vm in deep:
                await site.set_backend_faults(vm, slow_factor=1.0)
            print("fault ended; normal traffic again", flush=True)
            await generator.run(streams, OBSERVATION_S)
            windows = compute_window_shares(generator.requests, started)
            count = (
                int((BASELINE_S + TRIGGER_S + OBSERVATION_S) / WINDOW_S)
                - UNFINISHED_WINDOWS
            )
            baseline = statistics.mean(windows[: int(BASELINE_S / WINDOW_S)])
            recovery_s = compute_recovery_s(windows[:count], baseline)
            print(
                f"an operator reduces plan {REDUCED_PLAN} to {REDUCED_RATE:g}/s",
                flush=True,
            )
            load = asyncio.create_task(generator.run(streams, EDIT_S))
            status = await edit_plan(site, folder)
            await load
            reduced_at = time.monotonic()
            await generator.run(streams, OBSERVATION_S)
            await generator.finish()
            print_results(generator.requests, spec.lists, reduced_at, recovery_s)
            repeated = sum(count > 1 for count in site.count_runs().values())
        wrong = sum(r.has_wrong_answer for r in generator.requests)
        print(f"orders run twice: {repeated}; wrong or incomplete answers: {wrong}")
        return 1 if status or repeated or wrong else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
