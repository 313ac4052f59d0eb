"""The data path of sidecars, end to end on a mesh in one process."""

from __future__ import annotations

import asyncio
import os

import pytest
import uvloop

from mesh_site import Site, make_headers, send

ROUTES = {
    "read": {"prefix": "/read/", "service": "books"},
    "order": {"prefix": "/order/", "service": "books", "kind": "unsafe"},
}


def run_scenario(scenario) -> None:
    """Run a scenario on a new site, which logs to the file ``MESH_LOG`` if set."""

    async def run() -> None:
        log_fd = os.open(os.environ.get("MESH_LOG", os.devnull), os.O_WRONLY)
        try:
            async with asyncio.timeout(20), Site(log_fd) as site:
                await scenario(site)
        finally:
            os.close(log_fd)

    uvloop.run(run())


async def build_site(site: Site, services: list[str]) -> None:
    """Configure the routes, and add a VM for each service."""
    site.configure(ROUTES)
    for service in services:
        await site.add_host(service)
    await site.wait_for_convergence()


def test_a_request_is_forwarded_through_two_nodes() -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["shop", "books"])
        answer = await send(
            site.hosts[0].client_address,
            "GET",
            "/read/7?x=1",
            make_headers("r1") | {"X-Other": "kept", "Cassiahatch-Caller-Service": "q"},
        )
        assert (answer.status, answer.body) == (200, b"i-2:r1")
        assert answer.headers["cassiahatch-server-stamp"]
        (arrival,) = site.hosts[1].backend.arrivals
        headers = arrival.message.headers
        assert arrival.message.target == "/read/7?x=1"
        assert headers["cassiahatch-caller-service"] == "shop"
        assert headers["cassiahatch-request-id"] == "r1"
        assert headers["x-other"] == "kept"
        assert 1500 < int(headers["cassiahatch-deadline-ms"]) <= 2000

    run_scenario(scenario)


BROKEN_ANSWERS = [
    # action of the backend server; status of a safe and of an unsafe request; largest
    # number of arrivals of the first request
    ("answer", 200, 200, 1),
    ("close", 200, 200, 1),
    ("unframed", 200, 200, 1),
    ("extra", 200, 200, 1),
    ("late_extra", 200, 200, 1),
    ("stray_first", 200, 200, 1),
    ("shed", 200, 200, 2),
    ("reset", 200, 502, 2),
    ("cut", 200, 502, 2),
    ("unframed_reset", 200, 502, 2),
    ("garbage", 200, 502, 2),
    ("other_id", 200, 502, 2),
    ("unstamped", 200, 502, 2),
    ("encoded", 200, 502, 2),
    ("ran_but_000", 200, 502, 2),
    ("ran_but_101", 200, 502, 2),
    ("ran_but_103", 200, 502, 2),
    ("ran_but_099", 200, 502, 2),
    ("ran_but_600", 200, 502, 2),
    ("ran_but_999", 200, 502, 2),
    ("fail", 500, 500, 1),
]


@pytest.mark.parametrize(
    ("action", "safe_status", "unsafe_status", "arrivals"), BROKEN_ANSWERS
)
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_only_complete_answers_are_forwarded(
    action: str, safe_status: int, unsafe_status: int, arrivals: int, kind: str
) -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["shop", "books", "books"])
        servers = site.hosts[1:]
        # One list, so that whichever server gets the first request fails it.
        script = [action]
        for host in servers:
            host.backend.script = script
        method, path = ("GET", "/read/1") if kind == "safe" else ("POST", "/order/1")
        for name in ("r1", "r2"):
            answer = await send(
                site.hosts[0].client_address, method, path, make_headers(name), b""
            )
            if 200 <= answer.status < 300:
                assert answer.body in (f"i-2:{name}".encode(), f"i-3:{name}".encode())
            else:
                assert answer.status == (
                    safe_status if kind == "safe" else unsafe_status
                )
        assert not script
        runs: dict[str, int] = {}
        for host in servers:
            for arrival in host.backend.arrivals:
                name = arrival.message.headers["cassiahatch-request-id"]
                runs[name] = runs.get(name, 0) + arrival.ran
        if kind == "unsafe":
            assert max(runs.values()) <= 1
        assert sum(len(host.backend.arrivals) for host in servers) <= 1 + arrivals

    run_scenario(scenario)
