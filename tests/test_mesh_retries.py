"""Retry budgets in a chain of services; arrivals are counted across the fleet."""

from __future__ import annotations

import asyncio

import pytest

from cassiahatch_node.mesh.settings import RetrySection
from mesh_site import Site, make_headers, send
from test_mesh import run_scenario

CHAIN = ("front", "middle", "inner", "lowest")
"""Services; each calls the next one, and ``inner`` makes several calls per run."""
CALLS_PER_RUN = {"front": 1, "middle": 1, "inner": 5}
WARM_UP_REQUESTS = 40
ROOT_REQUESTS = 160
CONCURRENCY = 8
RETRIES = RetrySection(ratio=0.2, slack=6, window_s=60)
"""The window is longer than the test."""

FAULTS = [
    # share of the requests for each fault, by service
    {"lowest": {"shed": 0.3}},
    {"lowest": {"shed": 0.3}, "middle": {"reset": 0.2}},
    {"front": {"reset": 0.15}, "middle": {"reset": 0.15}, "inner": {"cut": 0.15}},
    {service: {"reset": 0.12, "shed": 0.08} for service in CHAIN},
]


async def build_chain(site: Site, servers: int = 3) -> None:
    """Add the services of the chain, each of which calls the next one."""
    site.retries = RETRIES
    site.configure({name: {"prefix": f"/{name}/", "service": name} for name in CHAIN})
    await site.add_host("shop")
    for name in CHAIN:
        for _ in range(servers):
            await site.add_host(name, slots=64)
    for host in site.hosts:
        service = host.backend.service
        if service in CALLS_PER_RUN:
            downstream = CHAIN[CHAIN.index(service) + 1]
            host.backend.downstream_targets = {
                f"/{service}/": [f"/{downstream}/1"] * CALLS_PER_RUN[service]
            }
    await site.wait_for_convergence()


async def send_root_requests(site: Site, numbers: range) -> int:
    """Send root requests concurrently, and return how many succeeded."""
    succeeded = 0
    semaphore = asyncio.Semaphore(CONCURRENCY)

    async def send_one(number: int) -> None:
        nonlocal succeeded
        async with semaphore:
            address = site.hosts[number % len(site.hosts)].client_address
            answer = await send(address, "GET", "/front/1", make_headers(f"r{number}"))
            succeeded += answer.status == 200

    await asyncio.gather(*(send_one(number) for number in numbers))
    return succeeded


@pytest.mark.parametrize("faults", FAULTS, ids=["shed", "two", "upper", "all"])
def test_arrivals_caused_by_retries_stay_within_the_budget(
    faults: dict[str, dict[str, float]],
) -> None:
    async def scenario(site: Site) -> None:
        await build_chain(site)
        await send_root_requests(site, range(WARM_UP_REQUESTS))
        for host in site.hosts:
            host.backend.faults = faults.get(host.backend.service, {})
        await send_root_requests(
            site, range(WARM_UP_REQUESTS, WARM_UP_REQUESTS + ROOT_REQUESTS)
        )
        for service in CHAIN:
            first = site.oracle.arrivals[service, "first"]
            allowed = RETRIES.ratio * first + RETRIES.slack
            assert site.oracle.count_retry_arrivals(service) <= allowed, service

    run_scenario(scenario)
