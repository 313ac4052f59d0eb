"""One run of the soak: a world, its clients, the faults of a seed, the verdict."""

from __future__ import annotations

import asyncio
import os
import random
from dataclasses import dataclass
from pathlib import Path

import uvloop

from mesh_site import Site
from soak.clients import Client, Seen
from soak.faults import PLANNED, Step, draw_schedule
from soak.oracle import check_bounds, check_safety, gather
from soak.world import SERVICES, World

CLIENTS_PER_VM = 2
START_TIMEOUT_S = 30.0
RECOVERY_S = 15.0
"""Time after the last fault in which everything must be served again."""
HEAL_S = 3.0
"""Longest time that the last fault may last."""
PLANNED_EVERY = 4
"""Each so many seeds, only planned work goes on, and nothing may be lost."""


@dataclass(slots=True)
class Verdict:
    """What a run showed."""

    seed: int
    requests: int
    answered: int
    steps: int
    broken: list[str]
    """Promises broken, whatever the pace of the machine."""
    exceeded: list[str]
    """Bounds in seconds that were not kept."""


def play(seed: int, length_s: float, folder: Path) -> Verdict:
    """Run one seed; logs and settings of the nodes stay in ``folder``."""
    return uvloop.run(_play(seed, length_s, folder))


async def _play(seed: int, length_s: float, folder: Path) -> Verdict:
    folder.mkdir(parents=True, exist_ok=True)
    asyncio.get_running_loop().set_exception_handler(_report_error)
    is_planned = seed % PLANNED_EVERY == 0
    schedule = draw_schedule(seed, len(SERVICES), length_s)
    if is_planned:
        schedule = [step for step in schedule if isinstance(step.fault, PLANNED)]
    (folder / "schedule.txt").write_text("\n".join(map(str, schedule)))
    null = os.open(os.devnull, os.O_WRONLY)
    try:
        async with Site(null) as site, World(site, folder) as world:
            return await _play_in(world, seed, schedule, is_planned)
    finally:
        os.close(null)


async def _play_in(
    world: World, seed: int, schedule: list[Step], is_planned: bool
) -> Verdict:
    clients = [
        Client(f"c{vm.number}{number}", vm, random.Random(f"{seed}/{vm.number}"))
        for vm in world.vms
        for number in range(CLIENTS_PER_VM)
    ]
    await _wait_served(world, "start", START_TIMEOUT_S)
    for client in clients:
        world.spawn(client.run(world))
    began = asyncio.get_running_loop().time()
    for step in schedule:
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, began + step.at - now))
        world.spawn(world.strike(step.fault))
    await asyncio.sleep(HEAL_S)
    exceeded = []
    try:
        await _wait_served(world, "end", RECOVERY_S)
    except TimeoutError:
        exceeded.append(f"recover: not all is served {RECOVERY_S} s after the faults")
    seen = [entry for client in clients for entry in client.seen]
    evidence = gather(world, seen, is_planned)
    return Verdict(
        seed,
        len(seen),
        sum(entry.answer is not None for entry in seen),
        len(schedule),
        check_safety(evidence),
        exceeded + check_bounds(evidence),
    )


async def _wait_served(world: World, name: str, timeout_s: float) -> None:
    """Wait until each node serves the newest route and the deepest one."""
    async with asyncio.timeout(timeout_s):
        for vm in world.vms:
            client = Client(f"{name}{vm.number}", vm, random.Random(0))
            for path in (f"/v{max(world.stored_at)}/", "/shop/"):
                while not _is_served(await client.ask("GET", path)):
                    await asyncio.sleep(0.05)


def _report_error(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    """Report what went wrong, but for connections cancelled as the world ends."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def _is_served(seen: Seen) -> bool:
    return seen.answer is not None and seen.answer.status == 200
