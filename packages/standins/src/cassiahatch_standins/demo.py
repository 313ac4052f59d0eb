"""Hielo Sur on loopback: traffic, an edited plan, a slow service, and recovery.

Run it with ``python -m cassiahatch_standins.demo``. It starts every part as a process
of its own, ends by itself within a minute, and exits with 0 if all went well.
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
    BEFORE_S,
    HIELO_SUR,
    SLOW_FACTOR,
    SURGE,
    TRIGGER_S,
    WINDOW_S,
    compute_windows,
    find_recovery,
    slow_down,
)
from cassiahatch_standins.load import LoadGenerator, Request
from cassiahatch_standins.site import PEER_KEY, Site

AFTER_S = 6.0
EDIT_S = 4.0
UNFINISHED = 2
"""Last windows, whose requests may still be under way."""
CUT_PLAN = "handler"
CUT_RATE = 10.0
COMMAND_TIMEOUT_S = 30.0


async def run_command(folder: Path, *words: str) -> int:
    """Run the operators' command and return its exit status."""
    command = Path(sys.executable).with_name("cassiahatch")
    print(f"$ cassiahatch {' '.join(words)}", flush=True)
    process = await asyncio.create_subprocess_exec(str(command), *words, cwd=folder)
    async with asyncio.timeout(COMMAND_TIMEOUT_S):
        return await process.wait()


async def edit_plan(site: Site, folder: Path) -> int:
    """Cut the rate of one plan as an operator does, and return the exit status."""
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
    path.write_text(cut_rate(path.read_bytes()))
    await run_command(folder, "plans", "diff", "lists")
    return await run_command(folder, "plans", "apply", "lists")


def cut_rate(text: bytes) -> str:
    """Return the plans with the rate and the burst of one plan cut."""
    head, _, tail = text.decode().partition(f'[plans."{CUT_PLAN}"]\n')
    lines = tail.split("\n")
    lines[0] = f"rate = {CUT_RATE}"
    lines[1] = f"burst = {2 * CUT_RATE}"
    return f'{head}[plans."{CUT_PLAN}"]\n' + "\n".join(lines)


def print_results(
    requests: list[Request], lists: PlanLists, cut_at: float, recovery_s: float
) -> None:
    """Print what each plan got, the attempts, and the recovery time."""
    table = Table(title="what each plan got")
    for column in (
        "plan",
        "kind",
        "sent",
        "whole",
        "attempts per request",
        "refused by the plan",
        "refused for load",
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
    cut = [r for r in requests if r.stream.name.endswith("handler")]
    later = [r for r in cut if r.started >= cut_at and r.is_complete]
    print(
        f"plan {CUT_PLAN}, cut to {CUT_RATE:g}/s: {len(later)} whole answers in "
        f"{AFTER_S:g} s, where {CUT_RATE * AFTER_S + 2 * CUT_RATE:g} are allowed"
    )
    print(f"recovery after the slow service was mended: {recovery_s:.1f} s")


async def main() -> int:
    """Run the demo and return its exit status."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        spec = slow_down(HIELO_SUR, {})
        print("starting the platform, 8 nodes and 8 backend servers", flush=True)
        async with Site(spec, folder / "site") as site:
            generator = LoadGenerator(site, site.vms, 1)
            streams = list(HIELO_SUR.streams)
            surging = [replace(s, rate=s.rate * SURGE) for s in streams]
            await generator.run(streams, 1.0)
            await generator.finish()
            generator.requests.clear()
            print(f"{BEFORE_S:g} s of ordinary traffic", flush=True)
            started = time.monotonic()
            await generator.run(streams, BEFORE_S)
            deep = site.find_vms(HIELO_SUR.deep_service)
            text = f"fleet tracking {SLOW_FACTOR:g}x slower, demand x{SURGE:g}"
            print(f"{text}, for {TRIGGER_S:g} s", flush=True)
            for vm in deep:
                await site.set_backend_faults(vm, slow_factor=SLOW_FACTOR)
            await generator.run(surging, TRIGGER_S)
            for vm in deep:
                await site.set_backend_faults(vm, slow_factor=1.0)
            print("mended; ordinary traffic again", flush=True)
            await generator.run(streams, AFTER_S)
            windows = compute_windows(generator.requests, started)
            count = int((BEFORE_S + TRIGGER_S + AFTER_S) / WINDOW_S) - UNFINISHED
            before = statistics.mean(windows[: int(BEFORE_S / WINDOW_S)])
            recovery_s = find_recovery(windows[:count], before)
            print(f"an operator cuts plan {CUT_PLAN} to {CUT_RATE:g}/s", flush=True)
            load = asyncio.create_task(generator.run(streams, EDIT_S))
            status = await edit_plan(site, folder)
            await load
            cut_at = time.monotonic()
            await generator.run(streams, AFTER_S)
            await generator.finish()
            print_results(generator.requests, spec.lists, cut_at, recovery_s)
            repeated = sum(count > 1 for count in site.count_runs().values())
        wrong = sum(r.has_wrong_answer for r in generator.requests)
        print(f"orders run twice: {repeated}; wrong or short answers: {wrong}")
        return 1 if status or repeated or wrong else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
