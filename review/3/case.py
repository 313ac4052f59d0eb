"""A leave that was acknowledged while the store was away is lost when processes end."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from site_standins import (  # noqa: E402
    CONTACT_S,
    DRAIN_S,
    HELD,
    NOT_RUNNABLE,
    Node,
    Record,
    judge_drain,
    open_pair,
    run_script,
    send_steadily,
)

OUTAGE_S = 4.5
"""Length of the store's outage; the site file has up to 9 s."""
RESTART_DELAY_S = 1.0
SERVED_AFTER_LEAVE_S = 12.0
"""The leaving backend server goes on serving for so long ("at times many seconds")."""


async def main(record: Record, has_trouble: bool, nodes: list[Node]) -> int:
    """Return whether the rule was broken by a leave during the store's outage."""
    store, backends = await open_pair(record, nodes)
    leaver, node = backends[0], nodes[0]
    statuses: dict[str, str] = {}
    clients = asyncio.create_task(send_steadily(node, record, statuses))
    await asyncio.sleep(3.0)
    if not leaver.runs:
        return NOT_RUNNABLE

    outage_began_at = record.now()
    if has_trouble:
        record.write("store: down")
        store.down.update(store.addresses)
    await asyncio.sleep(0.5)
    if not await leaver.leave():
        record.write("the leave was not acknowledged: nothing was promised")
        return HELD
    await asyncio.sleep(0.1)
    if has_trouble:
        clients.cancel()
        for each in nodes:
            await each.signal(signal.SIGKILL)
        for each in nodes:
            await each.wait_end()
        await asyncio.sleep(RESTART_DELAY_S)
        for each in nodes:
            await each.start()
        await asyncio.sleep(max(0.0, outage_began_at + OUTAGE_S - record.now()))
        record.write("store: up")
        store.down.clear()
    outage_ended_at = record.now()
    for each in nodes:
        await each.wait_ready()
    if has_trouble:
        clients = asyncio.create_task(send_steadily(node, record, statuses))
    ends_at = leaver.left_acknowledged_at + SERVED_AFTER_LEAVE_S
    await asyncio.sleep(max(0.0, ends_at - record.now()))
    clients.cancel()
    await leaver.exit()
    in_touch_from = max(node.started_at, outage_ended_at) + CONTACT_S
    return judge_drain(record, leaver, node, in_touch_from, DRAIN_S)


run_script(main, Path(__file__).parent)
