"""Requests whose ids look like those of calls, with keys of other tenants or of none."""

from __future__ import annotations

import asyncio
import sys
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

TENANTS = {
    "acme": {"api_keys": ["key-of-acme"]},
    "bolt": {"api_keys": ["key-of-bolt"]},
}
HOLDERS = {"key-of-acme": "acme", "key-of-bolt": "bolt"}
BOUNDS = {
    "quota_window_s": 5,
    "quota_over": 0.1,
    "quota_slack": 20,
    "strict_revoke": True,
    "revoke_s": 5,
}
ROUNDS = 5
WORK_S = 0.6
HEAD_START_S = 0.2
"""Time after which the other requests follow the first one, which still runs then."""


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether each run was one of the tenant that holds the request's key."""
    record = site.record
    node = site.add_node("ledger", **BOUNDS)
    upstream = site.make_upstream(node, work_s=WORK_S)
    routes = {"read": find_route("read", "ledger")}
    await site.store.configure(make_configuration(1, routes, tenants=TENANTS))
    await node.start()
    await upstream.start()
    await node.wait_ready()
    await asyncio.sleep(3.0)

    keys: dict[str, str | None] = {}

    async def send(request_id: str, key: str | None) -> None:
        keys[request_id] = key
        headers = {
            "Host": "h.example",
            "Cassiahatch-Request-Id": request_id,
            "Cassiahatch-Deadline-Ms": "5000",
        }
        if key is not None:
            headers["Api-Key"] = key
        data = render_request("GET", "/read/balance", headers)
        answer = await exchange(node.clients, data, 6.0)
        status = None if answer is None else answer.status
        record.note(f"client: {request_id} with key {key} is answered {status}")

    for number in range(ROUNDS):
        first = f"{4711 + number}"
        mark = "." if has_trouble else "-"
        task = asyncio.create_task(send(first, "key-of-acme"))
        await asyncio.sleep(HEAD_START_S)
        await asyncio.gather(
            send(f"{first}{mark}1", "key-of-bolt"),
            send(f"{first}{mark}2", "key-that-nobody-has"),
            task,
        )

    wrong = 0
    for _, request_id, request in upstream.runs:
        tenant = request.get("cassiahatch-tenant-id")
        holder = HOLDERS.get(keys[request_id] or "")
        verdict = "as it should" if tenant == holder else "WRONG"
        record.note(
            f"run: {request_id} as tenant {tenant}, its key is held by {holder}: "
            f"{verdict}"
        )
        wrong += tenant != holder
    served = sum(keys[run[1]] == "key-of-acme" for run in upstream.runs)
    record.note(f"{len(upstream.runs)} runs, {wrong} wrong, {served} of acme's requests")
    return wrong == 0 and served == ROUNDS


run_case(FOLDER, 1, play)
