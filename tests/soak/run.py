"""One run of the soak test: a cluster, its clients, faults of a seed, and checks."""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass
from pathlib import Path

import uvloop

from mesh_site import Site
from soak.clients import Client, RequestRecord
from soak.cluster import SERVICES, Cluster
from soak.faults import PLANNED_OPERATIONS, Step, draw_schedule
from soak.oracle import check_safety, check_time_bounds, collect_observations

CLIENTS_PER_VM = 2
START_TIMEOUT_S = 30.0
RECOVERY_TIMEOUT_S = 15.0
"""Time after the last fault within which all routes must be served again."""
LAST_FAULT_S = 3.0
"""Time allowed for the last fault to end."""
PLANNED_SEED_INTERVAL = 4
"""Seeds that are multiples of this run only planned operations, during which no
request may be lost."""


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
    schedule = draw_schedule(seed, len(SERVICES), length_s)
    if is_planned:
        schedule = [
            step for step in schedule if isinstance(step.fault, PLANNED_OPERATIONS)
        ]
    (folder / "schedule.txt").write_text("\n".join(map(str, schedule)))
    null = os.open(os.devnull, os.O_WRONLY)
    try:
        async with Site(null) as site, Cluster(site, folder) as cluster:
            return await _run_schedule(cluster, seed, schedule, is_planned)
    finally:
        os.close(null)


async def _run_schedule(
    cluster: Cluster, seed: int, schedule: list[Step], is_planned: bool
) -> RunResult:
    clients = [
        Client(f"c{vm.number}{number}", vm, random.Random(f"{seed}/{vm.number}"))
        for vm in cluster.vms
        for number in range(CLIENTS_PER_VM)
    ]
    await _wait_until_served(cluster, "start", START_TIMEOUT_S)
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
    observations = collect_observations(cluster, records, is_planned)
    return RunResult(
        seed,
        len(records),
        sum(record.answer is not None for record in records),
        len(schedule),
        check_safety(observations),
        exceeded_bounds + check_time_bounds(observations),
    )


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
