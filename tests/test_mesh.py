"""The data path of sidecars, whole, against a small platform in one process."""

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


def play(scene) -> None:
    """Run a scene on a site of its own."""

    async def run() -> None:
        descriptor = os.open(os.environ.get("MESH_LOG", os.devnull), os.O_WRONLY)
        try:
            async with asyncio.timeout(20), Site(descriptor) as site:
                await scene(site)
        finally:
            os.close(descriptor)

    uvloop.run(run())


async def build_site(site: Site, services: list[str]) -> None:
    """Add VMs with these services, and the routes."""
    site.configure(ROUTES)
    for service in services:
        await site.add_host(service)
    await site.wait_for_convergence()


def test_a_request_passes_two_nodes() -> None:
    async def scene(site: Site) -> None:
        await build_site(site, ["shop", "books"])
        answer = await send(
            site.hosts[0].client_address,
            "GET",
            "/read/7?x=1",
            make_headers("r1") | {"X-Other": "kept", "Cassiahatch-Caller-Service": "q"},
        )
        assert (answer.status, answer.body) == (200, b"i-2:r1")
        assert answer.headers["cassiahatch-server-stamp"]
        (arrived,) = site.hosts[1].backend.arrivals
        headers = arrived.message.headers
        assert arrived.message.target == "/read/7?x=1"
        assert headers["cassiahatch-caller-service"] == "shop"
        assert headers["cassiahatch-request-id"] == "r1"
        assert headers["x-other"] == "kept"
        assert 1500 < int(headers["cassiahatch-deadline-ms"]) <= 2000

    play(scene)


BROKEN_ANSWERS = [
    # what the backend server does, status of a safe one, of an unsafe one, arrivals
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
    ("fail", 500, 500, 1),
]


@pytest.mark.parametrize(("action", "safe", "unsafe", "arrivals"), BROKEN_ANSWERS)
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_only_whole_answers_pass(
    action: str, safe: int, unsafe: int, arrivals: int, kind: str
) -> None:
    async def scene(site: Site) -> None:
        await build_site(site, ["shop", "books", "books"])
        for host in site.hosts[1:]:
            host.backend.script = [action]
        first = site.hosts[1:]
        method, path = ("GET", "/read/1") if kind == "safe" else ("POST", "/order/1")
        first[1].backend.script = []
        for name in ("r1", "r2"):
            answer = await send(
                site.hosts[0].client_address, method, path, make_headers(name), b""
            )
            if 200 <= answer.status < 300:
                assert answer.body in (f"i-2:{name}".encode(), f"i-3:{name}".encode())
            else:
                assert answer.status == (safe if kind == "safe" else unsafe)
        runs: dict[str, int] = {}
        for host in first:
            for arrived in host.backend.arrivals:
                name = arrived.message.headers["cassiahatch-request-id"]
                runs[name] = runs.get(name, 0) + arrived.ran
        if kind == "unsafe":
            assert max(runs.values()) <= 1
        assert sum(len(host.backend.arrivals) for host in first) <= 1 + arrivals

    play(scene)
