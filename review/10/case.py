"""An added upstream leaves before its first heartbeats, which are late, have arrived."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from lab import (  # noqa: E402
    CannotRunError,
    Node,
    Record,
    Site,
    Upstream,
    exchange,
    find_route,
    make_configuration,
    render_request,
    run_case,
)

DRAIN_S = 2.5
HEARTBEAT_S = 1.5
LATE_S = 4.0
"""Time that each heartbeat of the added upstream is on its way."""
LEAVE_AFTER_S = 2.5
"""Time from the upstream's start to its departure."""
STAY_S = 10.0
"""Time for which the upstream serves after the acknowledgement: at times many seconds."""
CLIENTS = 12
"""Clients at each machine."""
WORK_S = 0.05


async def ask(record: Record, node: Node) -> int | None:
    """Send a request to a node as a client beside it; return the status."""
    headers = {
        "Host": "h.example",
        "Cassiahatch-Request-Id": f"{random.getrandbits(64):016x}",
        "Cassiahatch-Deadline-Ms": "2000",
    }
    data = render_request("GET", "/read/1", headers)
    answer = await exchange(node.clients, data, 3.0)
    status = None if answer is None else answer.status
    request_id = headers["Cassiahatch-Request-Id"]
    record.note(f"client: {request_id} at {node.node_id} is answered {status}")
    return status


class AddedUpstream:
    """Announces an upstream with heartbeats that take a given time to arrive."""

    def __init__(self, site: Site, upstream: Upstream, delay_s: float) -> None:
        self._record = site.record
        self._upstream = upstream
        self._delay_s = delay_s
        self._tasks: list[asyncio.Task[None]] = []

    async def _deliver(self, number: int) -> None:
        await asyncio.sleep(self._delay_s)
        status = await self._upstream.heartbeat()
        name = self._upstream.instance
        self._record.note(f"{name}: heartbeat {number} arrives, is answered {status}")

    async def announce(self, seconds: float) -> None:
        """Send heartbeats for a time; those that are on their way still arrive."""
        ends_at = time.monotonic() + seconds
        number = 0
        while (rest_s := ends_at - time.monotonic()) > 0:
            number += 1
            self._record.note(f"{self._upstream.instance}: sends heartbeat {number}")
            self._tasks.append(asyncio.create_task(self._deliver(number)))
            await asyncio.sleep(min(HEARTBEAT_S, rest_s))


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the upstream got no request later than ``DRAIN_S`` after the ack."""
    record, store = site.record, site.store
    nodes = [site.add_node("books"), site.add_node("books", "z-2")]
    for node in nodes:
        site.make_upstream(node, work_s=WORK_S)
    await store.configure(make_configuration(1, {"read": find_route("read", "books")}))
    for node, upstream in zip(nodes, site.upstreams, strict=True):
        await node.start()
        await upstream.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4.0)

    statuses: dict[int | None, int] = {}

    async def use(node: Node) -> None:
        while True:
            status = await ask(record, node)
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(use(node)) for node in nodes for _ in range(CLIENTS)]

    # Planned work in both plays: a machine with an upstream is added, and is taken away.
    node = site.add_node("books", "z-3")
    added = site.make_upstream(node, work_s=WORK_S)
    await node.start()
    await node.wait_ready()
    clients += [asyncio.create_task(use(node)) for _ in range(CLIENTS)]
    await asyncio.sleep(1.0)
    await added.listen()
    started_at = time.monotonic()
    record.note(f"{added.instance}: starts")
    announcing = AddedUpstream(site, added, LATE_S if has_trouble else 0.0)
    await announcing.announce(LEAVE_AFTER_S)
    status = await added.leave()
    acknowledged_at = time.monotonic()
    record.note(f"{added.instance}: says that it leaves, is answered {status}")
    if status != 200:
        raise CannotRunError("the departure was not acknowledged")

    await asyncio.sleep(STAY_S)
    for client in clients:
        client.cancel()
    early = sum(started_at < at <= acknowledged_at for at, _, _ in added.runs)
    late_s = [
        at - acknowledged_at
        for at, _, _ in added.runs
        if at > acknowledged_at + DRAIN_S
    ]
    record.note(f"clients: {statuses}")
    record.note(
        f"{added.instance}: {early} requests before the acknowledgement, {len(late_s)} "
        f"later than {DRAIN_S} s after it"
        + (f", from {min(late_s):.1f} to {max(late_s):.1f} s" if late_s else "")
    )
    if not has_trouble and not early:
        raise CannotRunError("the added upstream served nothing")
    return not late_s


run_case(FOLDER, 3, play)
