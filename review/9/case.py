"""A node is restarted while the store comes back from a copy made before a departure."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from lab import (  # noqa: E402
    CannotRunError,
    Message,
    Node,
    Site,
    exchange,
    find_route,
    make_configuration,
    render_request,
    run_case,
)

DRAIN_S = 2.5
COPY_AGE_S = 1.0
"""Age of the store's copy when the upstream leaves."""
RESTART_AFTER_S = 0.3
CLIENTS = 48
WORK_S = 0.1
STAY_S = 10.0
"""Time for which the upstream serves after the acknowledgement: at times many seconds."""


async def ask(node: Node) -> int | None:
    """Send a request to a node as a client beside it; return the status."""
    headers = {
        "Host": "h.example",
        "Cassiahatch-Request-Id": f"{random.getrandbits(64):016x}",
        "Cassiahatch-Deadline-Ms": "2000",
    }
    data = render_request("GET", "/read/1", headers)
    answer = await exchange(node.clients, data, 3.0)
    return None if answer is None else answer.status


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the upstream got no request later than ``DRAIN_S`` after the ack."""
    record, store = site.record, site.store
    store.era = 1
    nodes = [site.add_node("books"), site.add_node("books", "z-2")]
    for node in nodes:
        site.make_upstream(node, work_s=WORK_S)
    configuration = make_configuration(1, {"read": find_route("read", "books")})
    await store.configure(configuration)
    for node, upstream in zip(nodes, site.upstreams, strict=True):
        await node.start()
        await upstream.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(4.0)
    for node in nodes:
        if await ask(node) != 200:
            raise CannotRunError(f"{node.node_id} serves no request")

    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    node, leaving = nodes[0], site.upstreams[0]
    leaving.stop_heartbeats()
    status = await leaving.leave()
    acknowledged_at = time.monotonic()
    record.note(f"{leaving.instance}: says that it leaves, is answered {status}")
    if status != 200:
        raise CannotRunError("the departure was not acknowledged")

    # Planned work in both plays: the node is stopped and started again on its own.
    node.send_signal(signal.SIGTERM)
    await node.process.wait()
    record.note(f"{node.node_id}: process ended")

    async def is_away(_: Message) -> bool:
        return False

    store.before_answer = is_away
    record.note("store: away for a moment")
    await asyncio.sleep(RESTART_AFTER_S)
    if has_trouble:
        await store.return_from(copy)
        await store.configure(configuration)
    store.before_answer = None
    record.note("store: answers again")
    await node.start(first_start=False)
    await node.wait_ready()

    statuses: dict[int | None, int] = {}

    async def use() -> None:
        while time.monotonic() < acknowledged_at + STAY_S:
            status = await ask(node)
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(0.05)

    await asyncio.gather(*(use() for _ in range(CLIENTS)))
    late_s = [
        at - acknowledged_at
        for at, _, _ in leaving.runs
        if at > acknowledged_at + DRAIN_S
    ]
    record.note(f"clients after the restart: {statuses}")
    record.note(
        f"{leaving.instance}: {len(late_s)} requests later than {DRAIN_S} s after the "
        f"acknowledgement" + (f", the last after {max(late_s):.1f} s" if late_s else "")
    )
    return not late_s


run_case(FOLDER, 2, play)
