"""A heartbeat of another writer, for a service that is named nowhere, takes over a node."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from site_standins import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUNNABLE,
    ROUTES,
    Backend,
    Node,
    Record,
    exchange,
    post,
    run_script,
    start_site,
)

SERVICES = {"shop": "/shop/", "books": "/read/"}
REQUESTS = 60
INTERVAL_S = 0.1


async def send_foreign_heartbeat(node: Node, record: Record) -> None:
    """Send a well-formed heartbeat whose service is neither configured nor on the VM."""
    body = {
        "service": "not-named-here",
        "address": "127.0.0.1:9",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_s": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    path = "/v1/Instances.Heartbeat/i-foreign"
    status = await post(node.backend.control, path, json.dumps(body).encode())
    record.write(f"heartbeat of another writer at {node.name}: answered with {status}")


async def main(record: Record, has_trouble: bool, nodes: list[Node]) -> int:
    """Return whether the heartbeat changed the service that requests come from."""
    backends = [
        Backend(service, f"i-{number}", "z1", record)
        for number, service in enumerate(SERVICES, 1)
    ]
    routes = {
        service: ROUTES["read"] | {"prefix": prefix, "service": service}
        for service, prefix in SERVICES.items()
    }
    await start_site(record, nodes, backends, routes)
    shop, books = nodes
    if has_trouble:
        await send_foreign_heartbeat(shop, record)
    answers: dict[str, list[str]] = {target: [] for target in SERVICES.values()}

    async def send(node: Node, target: str, request_id: str) -> None:
        record.write(f"client: {request_id} sent to {node.name}")
        answer = await exchange(node.clients, target + "1", request_id)
        status = answer.start.split()[1] if answer is not None else "none"
        record.write(f"client: {request_id} answered with {status}")
        answers[target].append(status)

    tasks = []
    for number in range(REQUESTS):
        for node, target in ((shop, "/read/"), (books, "/shop/")):
            request_id = f"{node.name}-{number:03d}"
            tasks.append(asyncio.create_task(send(node, target, request_id)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    runs = books.backend.runs
    wrong = [run for run in runs if run.caller != shop.backend.service]
    for target, statuses in answers.items():
        counts = {status: statuses.count(status) for status in sorted(set(statuses))}
        record.write(f"answers on {target}: {counts}")
    record.write(
        f"{len(wrong)} of {len(runs)} requests from {shop.name} ran with another "
        f"Cassiahatch-Caller-Service than {shop.backend.service}: "
        f"{sorted({run.caller for run in wrong})}"
    )
    if len(runs) < REQUESTS / 2:
        return NOT_RUNNABLE
    return BROKEN if wrong else HELD


run_script(main, Path(__file__).parent)
