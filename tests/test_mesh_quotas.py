"""Quotas of teams on a mesh of three nodes in one process."""

from __future__ import annotations

import asyncio
import json
from collections import Counter

import pytest

from cassiahatch_node.mesh import quota_keepers
from cassiahatch_node.mesh.settings import QuotaSection
from cassiahatch_node.mesh.team_quotas import MAX_EXHAUSTED_S
from cassiahatch_policies import quota_tenure
from cassiahatch_policies.quota_tenure import find_position
from mesh_site import Host, Message, Site, make_headers, send
from test_mesh import run_scenario

ROUTES = {
    "read": {"prefix": "/read/", "service": "books"},
    "open": {"prefix": "/open/", "service": "books", "public": True},
    "deep": {"prefix": "/deep/", "service": "books"},
}
QUOTA = {"rate_per_s": 8, "burst": 6}
LIMIT = (8 * 5 + 6) * 1.1 + 20
"""Requests of ``QUOTA`` that may run in a window of the default settings."""
SHORT_TENURE_S = 1.2
SLOTS = 400
"""Slots of each backend server: none is overloaded."""


async def build_site(site: Site, **quota: float) -> None:
    """Add three nodes, of which the last two have backend servers of the service."""
    site.quotas = QuotaSection()
    teams = {"acme": {"api_keys": ["k"]} | quota}
    site.configure(ROUTES, teams)
    for service in ("shop", "books", "books"):
        await site.add_host(service, slots=SLOTS)
    await site.wait_for_convergence()


async def send_all(
    site: Site, count: int, target: str = "/read/1", hosts: list[Host] | None = None
) -> list[Message]:
    """Send requests at once, spread over the nodes, and return the answers."""
    hosts = hosts or site.hosts
    headers = {"Api-Key": "k"}
    return await asyncio.gather(
        *(
            send(
                hosts[number % len(hosts)].client_address,
                "GET",
                target,
                make_headers(f"q{number}") | headers,
            )
            for number in range(count)
        )
    )


def count_statuses(answers: list[Message]) -> Counter[int]:
    return Counter(answer.status for answer in answers)


def find_keeper(site: Site) -> Host:
    """Return the node that keeps the quota of the test's team."""
    position = find_position("acme")
    (keeper,) = (
        host
        for host in site.hosts
        if host.sidecar.quotas.keepers.find_holding(position) is not None
    )
    return keeper


def test_no_request_below_the_quota_is_rejected_whichever_nodes_it_uses() -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, **QUOTA)
        answers = await send_all(site, 6)
        for number in range(16):
            host = site.hosts[number // 5 % 3]
            answers += await send_all(site, 1, hosts=[host])
            await asyncio.sleep(1 / 8)
        assert count_statuses(answers) == {200: 22}

    run_scenario(scenario)


def test_requests_above_the_quota_get_429_and_are_not_run() -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, **QUOTA)
        answers = await send_all(site, 150)
        statuses = count_statuses(answers)
        assert statuses.keys() == {200, 429}
        runs = sum(len(host.backend.arrivals) for host in site.hosts)
        assert QUOTA["burst"] <= runs == statuses[200] <= LIMIT
        for answer in answers:
            if answer.status == 429:
                assert MAX_EXHAUSTED_S <= float(answer.headers["retry-after"]) <= 10
                assert json.loads(answer.body) == {"error": "quota_exceeded"}

    run_scenario(scenario)


UNLIMITED = [
    # quota; target
    ({}, "/read/1"),
    ({"rate_per_s": 0, "burst": 3}, "/read/1"),
    (QUOTA, "/open/1"),
]


@pytest.mark.parametrize(("quota", "target"), UNLIMITED)
def test_requests_without_a_quota_are_not_counted(quota: dict, target: str) -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, **quota)
        statuses = count_statuses(await send_all(site, 120, target))
        assert statuses == {200: 120}
        assert not any(table == "quota_keepers" for table, _ in site.store.rows)

    run_scenario(scenario)


def test_calls_of_backend_servers_do_not_count() -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, rate_per_s=1, burst=0)
        for host in site.hosts:
            host.backend.downstream_targets = {"/deep/": ["/read/2"] * 8}
        assert count_statuses(await send_all(site, 10, "/deep/1")) == {200: 10}

    run_scenario(scenario)


def test_unit_of_a_request_that_was_not_run_is_returned() -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, rate_per_s=0.1, burst=0)
        for host in site.hosts:
            host.backend.faults = {"shed": 1.0}
        for _ in range(4):
            answers = await send_all(site, 12)
            assert count_statuses(answers) == {503: 12}
        for host in site.hosts:
            host.backend.faults = {}
        await asyncio.sleep(0.7)
        assert count_statuses(await send_all(site, 12)) == {200: 12}

    run_scenario(scenario)


def shorten_tenures(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(quota_tenure, "TENURE_S", SHORT_TENURE_S)
    monkeypatch.setattr(quota_keepers, "RENEWAL_INTERVAL_S", SHORT_TENURE_S / 3)


@pytest.mark.parametrize("restarts", [False, True])
def test_lost_keeper_is_replaced_and_the_limit_holds(
    monkeypatch: pytest.MonkeyPatch, restarts: bool
) -> None:
    shorten_tenures(monkeypatch)

    async def scenario(site: Site) -> None:
        await build_site(site, **QUOTA)
        statuses = count_statuses(await send_all(site, 150))
        assert statuses.keys() == {200, 429}
        keeper = find_keeper(site)
        keeper.sidecar._links.abort_links(0.0)
        await keeper.stop()
        others = [host for host in site.hosts if host is not keeper]
        if restarts:
            await keeper.start(site._journal_fd)
            await keeper.announce()
        await asyncio.sleep(MAX_EXHAUSTED_S)
        ends_at = asyncio.get_running_loop().time() + SHORT_TENURE_S + 1.5
        served = 0
        while asyncio.get_running_loop().time() < ends_at:
            later = count_statuses(await send_all(site, 4, hosts=others))
            assert later.keys() <= {200, 503}
            served += later[200]
        runs = sum(len(host.backend.arrivals) for host in site.hosts)
        assert 0 < served
        assert runs <= LIMIT

    run_scenario(scenario)


def test_units_are_granted_while_the_store_is_away_until_tenures_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    shorten_tenures(monkeypatch)

    async def scenario(site: Site) -> None:
        await build_site(site, **QUOTA)
        assert count_statuses(await send_all(site, 3)) == {200: 3}
        site.store.is_down = True
        assert count_statuses(await send_all(site, 3)) == {200: 3}
        await asyncio.sleep(SHORT_TENURE_S + 0.6)
        assert count_statuses(await send_all(site, 3)) == {503: 3}
        site.store.is_down = False
        await asyncio.sleep(1.5)
        assert count_statuses(await send_all(site, 3)) == {200: 3}

    run_scenario(scenario)
