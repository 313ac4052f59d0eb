"""Repeats over a chain of services, counted over the fleet by an oracle."""

from __future__ import annotations

import asyncio

import pytest

from cassiahatch_node.mesh.settings import RetrySection
from mesh_site import Site, make_headers, send
from test_mesh import play

CHAIN = ("front", "middle", "inner", "lowest")
"""Services, each called by the one before it; the lowest by several calls a run."""
CALLS_BELOW = {"front": 1, "middle": 1, "inner": 5}
WARM_UP = 40
ROOTS = 160
AT_ONCE = 8
RETRIES = RetrySection(ratio=0.2, slack=6, window_s=60)
"""One window over the whole play."""

FAULTS = [
    # what fails, by service
    {"lowest": {"shed": 0.3}},
    {"lowest": {"shed": 0.3}, "middle": {"reset": 0.2}},
    {"front": {"reset": 0.15}, "middle": {"reset": 0.15}, "inner": {"cut": 0.15}},
    {service: {"reset": 0.12, "shed": 0.08} for service in CHAIN},
]


async def build_chain(site: Site, servers: int = 3) -> None:
    """Add the services of the chain, each of which calls the next."""
    site.retries = RETRIES
    site.configure({name: {"prefix": f"/{name}/", "service": name} for name in CHAIN})
    await site.add_host("shop")
    for name in CHAIN:
        for _ in range(servers):
            await site.add_host(name, slots=64)
    for host in site.hosts:
        place = host.backend.service
        if place in CALLS_BELOW:
            below = CHAIN[CHAIN.index(place) + 1]
            host.backend.calls = {f"/{place}/": [f"/{below}/1"] * CALLS_BELOW[place]}
    await site.wait_for_convergence()


async def ask_roots(site: Site, numbers: range) -> int:
    """Send top requests, some at a time, and return how many were answered."""
    answered = 0
    gate = asyncio.Semaphore(AT_ONCE)

    async def ask(number: int) -> None:
        nonlocal answered
        async with gate:
            clients = site.hosts[number % len(site.hosts)].client_address
            answer = await send(clients, "GET", "/front/1", make_headers(f"r{number}"))
            answered += answer.status == 200

    await asyncio.gather(*(ask(number) for number in numbers))
    return answered


@pytest.mark.parametrize("faults", FAULTS, ids=["shed", "two", "upper", "all"])
def test_repeats_and_the_calls_below_them_stay_within_the_budget(
    faults: dict[str, dict[str, float]],
) -> None:
    async def scene(site: Site) -> None:
        await build_chain(site)
        await ask_roots(site, range(WARM_UP))
        for host in site.hosts:
            host.backend.faults = faults.get(host.backend.service, {})
        await ask_roots(site, range(WARM_UP, WARM_UP + ROOTS))
        for service in CHAIN:
            first = site.oracle.arrivals[service, "first"]
            allowed = RETRIES.ratio * first + RETRIES.slack
            assert site.oracle.count_repeats(service) <= allowed, service

    play(scene)
