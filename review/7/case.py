"""A configuration drops a route while its requests wait for units of their quota."""

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
    Site,
    exchange,
    find_route,
    make_configuration,
    render_request,
    run_case,
)

TENANTS = {"acme": {"api_keys": ["key-of-acme"], "rate_per_s": 50, "burst": 100}}
BOUNDS = {"quota_window_s": 5, "quota_over": 0.1, "quota_slack": 20, "grace_s": 6}
LOSS_SLACK_S = 0.2
CONFIG_S = 2.5
BATCH = 60
"""Requests sent at once: far fewer than the burst that the quota allows."""
CHANGE_AFTER_S = 0.3
"""Time from the batch to the configuration that drops its route."""
LATER_REQUESTS = 20
LATER_PER_S = 10
"""Requests that follow, well below the rate of the quota."""
DEADLINE_S = 5.0


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether each request that was read got an answer."""
    record, store = site.record, site.store
    node = site.add_node("orders", **BOUNDS)
    upstream = site.make_upstream(node)
    routes = {
        "place": find_route("place", "orders", kind="unsafe", max_attempts=1),
        "list": find_route("list", "orders"),
    }
    await store.configure(make_configuration(1, routes, tenants=TENANTS))
    await node.start()
    await upstream.start()
    await node.wait_ready()
    await asyncio.sleep(3.0)
    # Planned work in both plays: the node is stopped and started again on its own.
    node.send_signal(signal.SIGTERM)
    await node.process.wait()
    await node.start(first_start=False)
    await node.wait_ready()
    await asyncio.sleep(0.5)

    cuts: list[tuple[float, float]] = []
    outcomes: dict[str, int] = {}

    async def send(number: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        request_id = f"{random.getrandbits(64):016x}"
        headers = {
            "Host": "h.example",
            "Cassiahatch-Request-Id": request_id,
            "Cassiahatch-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
            "Api-Key": "key-of-acme",
        }
        data = render_request("POST", f"/place/{number}", headers, b"order")
        sent_at = time.monotonic()
        answer = await exchange(node.clients, data, DEADLINE_S + 1.0)
        spent_s = time.monotonic() - sent_at
        outcome = "closed without an answer" if answer is None else str(answer.status)
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
        record.note(f"client: {request_id} {outcome} after {spent_s:.3f} s")
        if answer is None and LOSS_SLACK_S < spent_s < 0.7 * DEADLINE_S:
            cuts.append((sent_at, sent_at + spent_s))

    delays_s = [0.0] * BATCH
    delays_s += [1.0 + number / LATER_PER_S for number in range(LATER_REQUESTS)]
    tasks = [
        asyncio.create_task(send(number, delay_s))
        for number, delay_s in enumerate(delays_s)
    ]
    await asyncio.sleep(CHANGE_AFTER_S)
    changed_at = time.monotonic()
    if has_trouble:
        without = {"list": routes["list"]}
        await store.configure(make_configuration(2, without, tenants=TENANTS))
    acknowledged_at = time.monotonic()
    await asyncio.gather(*tasks)

    ends_at = acknowledged_at + CONFIG_S + 1.0
    beside = [cut for cut in cuts if changed_at <= cut[1] <= ends_at]
    others = len(cuts) - len(beside)
    record.note(f"answers: {outcomes}")
    record.note(
        f"closed without an answer more than {LOSS_SLACK_S} s after the request: "
        f"{len(beside)} from the sending of the configuration until {CONFIG_S} s + 1 s "
        f"after its acknowledgement, {others} at other times"
    )
    connection_errors = [
        event["error"]
        for event in node.read_events()
        if event.get("event") == "connection_failed"
    ]
    record.note(f"node's log: {len(connection_errors)} x {set(connection_errors)}")
    return len(beside) <= 3 * others


run_case(FOLDER, 1, play)
