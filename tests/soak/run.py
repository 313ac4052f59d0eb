"""One run of the soak test: a cluster, its clients, faults of a seed, and checks."""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass
from pathlib import Path

import uvloop

from mesh_site import Site
from soak.client_kinds import ANSWER_SIZES
from soak.clients import Client, RequestRecord
from soak.cluster import Cluster, Vm
from soak.faults import PLANNED_OPERATIONS, HarmStore, Step, draw_schedule
from soak.oracle import check_safety, check_time_bounds, collect_observations

START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 15.0
"""Time after the last fault within which all routes must be served again."""
LAST_FAULT_S = 3.0
"""Time allowed for the last fault to end."""
PLANNED_SEED_INTERVAL = 4
"""Seeds that are multiples of this run only planned operations and faults of the store,
during which no request may be lost."""
LEAVING_SHARE = 0.5
"""Share of the VMs whose clients leave a node that stops."""
LARGE_SEED_INTERVAL = 16
"""Seeds that are multiples of this run on ``LARGE``."""


@dataclass(slots=True, frozen=True)
class Scale:
    """Size of a run."""

    vms: int
    steady_clients: int
    """Clients of each VM that send short requests, one after the other."""
    varied_clients: int
    """Clients of each VM whose exchanges are of any kind."""
    pause_s: float
    """Mean time between an answer and the next request of a client."""


USUAL = Scale(6, 2, 16, 0.02)
LARGE = Scale(48, 1, 2, 0.3)


@dataclass(slots=True)
class RunResult:
    """Counts and failed checks of a run."""

    seed: int
    request_count: int
    answered_count: int
    fault_count: int
    violations: list[str]
    """Violations of guarantees that hold at any speed of the machine."""
    exceeded_bounds: list[str]
    """Violations of guarantees that are stated in seconds."""


def run_seed(seed: int, length_s: float, folder: Path) -> RunResult:
    """Run one seed; logs and settings of the nodes are kept in ``folder``."""
    return uvloop.run(_run_seed(seed, length_s, folder))


async def _run_seed(seed: int, length_s: float, folder: Path) -> RunResult:
    folder.mkdir(parents=True, exist_ok=True)
    asyncio.get_running_loop().set_exception_handler(_report_error)
    is_planned = seed % PLANNED_SEED_INTERVAL == 0
    scale = USUAL if seed % LARGE_SEED_INTERVAL else LARGE
    schedule = draw_schedule(seed, scale.vms, length_s)
    if is_planned:
        kept = (*PLANNED_OPERATIONS, HarmStore)
        schedule = [step for step in schedule if isinstance(step.fault, kept)]
    (folder / "schedule.txt").write_text("\n".join(map(str, schedule)))
    null = os.open(os.devnull, os.O_WRONLY)
    try:
        async with (
            Site(null) as site,
            Cluster(site, folder, scale.vms, has_proxies=not is_planned) as cluster,
        ):
            return await _run_schedule(cluster, folder, seed, schedule, scale)
    finally:
        os.close(null)


async def _run_schedule(
    cluster: Cluster, folder: Path, seed: int, schedule: list[Step], scale: Scale
) -> RunResult:
    clients = [
        client for vm in cluster.vms for client in _make_clients(vm, seed, scale)
    ]
    await _wait_until_served(cluster, "start", START_TIMEOUT_S)
    cluster.spawn(cluster.stall_watch.run())
    for client in clients:
        cluster.spawn(client.run(cluster))
    started_at = asyncio.get_running_loop().time()
    for step in schedule:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, started_at + step.at - now))
        cluster.spawn(cluster.inject(step.fault))
    await asyncio.sleep(LAST_FAULT_S)
    exceeded_bounds = []
    try:
        await _wait_until_served(cluster, "end", RECOVERY_TIMEOUT_S)
    except TimeoutError:
        exceeded_bounds.append(
            f"recover: some routes not served {RECOVERY_TIMEOUT_S} s after the faults"
        )
    records = [record for client in clients for record in client.records]
    (folder / "requests.txt").write_text("\n".join(map(repr, records)))
    stalls = "\n".join(map(str, cluster.stall_watch.gaps))
    (folder / "stalls.txt").write_text(stalls)
    for vm in cluster.vms:
        vm.read_suspensions()
    observations = collect_observations(cluster, records)
    return RunResult(
        seed,
        len(records),
        sum(record.answer is not None for record in records),
        len(schedule),
        check_safety(observations),
        exceeded_bounds + check_time_bounds(observations),
    )


def _make_clients(vm: Vm, seed: int, scale: Scale) -> list[Client]:
    random_source = random.Random(f"{seed}/{vm.number}")
    answer_sizes = random_source.choice(ANSWER_SIZES)
    leaves = random_source.random() < LEAVING_SHARE
    return [
        Client(
            f"c{vm.number}_{number}",
            vm,
            random.Random(f"{seed}/{vm.number}/{number}"),
            scale.pause_s,
            answer_sizes if number >= scale.steady_clients else None,
            leaves,
        )
        for number in range(scale.steady_clients + scale.varied_clients)
    ]


async def _wait_until_served(
    cluster: Cluster, id_prefix: str, timeout_s: float
) -> None:
    """Wait until each node serves the newest route and the one with the most calls."""
    async with asyncio.timeout(timeout_s):
        for vm in cluster.vms:
            client = Client(f"{id_prefix}{vm.number}", vm, random.Random(0))
            for path in (f"/v{max(cluster.stored_at)}/", "/shop/"):
                while not _is_served(await client.send("GET", path)):
                    await asyncio.sleep(0.05)


def _report_error(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    """Report errors, except for connections cancelled at the end of the run."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def _is_served(record: RequestRecord) -> bool:
    return record.answer is not None and record.answer.status == 200
