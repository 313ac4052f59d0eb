"""Requests that are decided in one version of the configuration and sent in another."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import pytest

from cassiahatch_node.mesh.http_messages import RawRequest
from cassiahatch_node.mesh.settings import QuotaSection, RevocationSection
from cassiahatch_policies.team_quota import Grant
from mesh_site import Host, Site, make_headers, send
from test_mesh import run_scenario

ORDER = {"prefix": "/order/", "service": "books", "kind": "unsafe", "max_attempts": 1}
READ = {"prefix": "/read/", "service": "books"}
ROUTES = {"order": ORDER, "read": READ}
ACME = {"api_keys": ["k"], "rate_per_s": 8, "burst": 6}
TEAMS = {"acme": ACME, "bolt": {"api_keys": ["other"]}}
LIFE_S = 60.0
DEADLINE_MS = 300


@dataclass(frozen=True)
class Change:
    """A version that comes into force while a request waits, and what follows."""

    routes: dict[str, dict]
    teams: dict[str, dict]
    status: int
    """Status that the client gets."""
    service: str = ""
    """Service that runs the request; empty if none does."""
    team: str | None = None
    """Team that its backend server is told."""


WITHOUT_KEY = {"acme": ACME | {"api_keys": []}, "bolt": {"api_keys": ["other"]}}
KEY_OF_BOLT = {"acme": ACME | {"api_keys": []}, "bolt": {"api_keys": ["k"]}}
CHANGES = {
    "nothing of it changes": Change(ROUTES, TEAMS | {"cogs": {}}, 200, "books", "acme"),
    "its route is dropped": Change({"read": READ}, TEAMS, 404),
    "its route is renamed": Change({"new": ORDER}, TEAMS, 200, "books", "acme"),
    "its route moves to another service": Change(
        {"order": ORDER | {"service": "maps"}}, TEAMS, 200, "maps", "acme"
    ),
    "its key is withdrawn": Change(ROUTES, WITHOUT_KEY, 401),
    "its key is given to another team": Change(ROUTES, KEY_OF_BOLT, 503),
    "its team loses its quota": Change(
        ROUTES, {"acme": {"api_keys": ["k"]}}, 200, "books", "acme"
    ),
    "there are no teams any more": Change(ROUTES, {}, 200, "books"),
}


async def build_site(site: Site, teams: dict[str, dict]) -> Host:
    """Build a site of three services, and return the VM that gets the requests."""
    site.quotas = QuotaSection()
    site.configure(ROUTES, teams)
    for service in ("shop", "books", "maps"):
        await site.add_host(service)
    await site.wait_for_convergence()
    return site.hosts[0]


def check_runs(site: Site, change: Change) -> None:
    """Check which service has run the request, and for which team."""
    runs = [
        (host.backend.service, arrival.message.headers.get("cassiahatch-tenant-id"))
        for host in site.hosts
        for arrival in host.backend.arrivals
    ]
    assert runs == ([(change.service, change.team)] if change.service else [])


# Guards against requests that were cut, or run as an old version allowed, after a wait.
@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
def test_a_request_that_waited_for_its_unit_is_served_by_the_version_in_force(
    change: Change,
) -> None:
    async def scenario(site: Site) -> None:
        shop = await build_site(site, TEAMS)
        quotas, returned = shop.sidecar.quotas, []

        async def wait_for_unit(name: str) -> Grant:
            site.configure(change.routes, change.teams)
            await site.wait_for_convergence()
            return Grant(1, asyncio.get_running_loop().time() + LIFE_S, 1, 1)

        quotas.try_admit = lambda name: False
        quotas.wait_for_unit = wait_for_unit
        quotas.give_back = lambda name, grant: returned.append(name)
        headers = make_headers("r1", 5000) | {"Api-Key": "k"}
        answer = await send(shop.client_address, "POST", "/order/1", headers, b"x")
        assert answer.status == change.status
        assert returned == ([] if change.service else ["acme"])
        check_runs(site, change)

    run_scenario(scenario)


async def outlive_deadline(host: Host) -> None:
    await asyncio.sleep(1.2 * DEADLINE_MS / 1000)


async def lose_lease(host: Host) -> None:
    host.sidecar.egress.lease.lease.max_delay_s = 0.0


PERMISSIONS = [(outlive_deadline, "expired"), (lose_lease, "configuration_expired")]


# Guards against a permission that ended in the wait, such as that of a suspended node.
@pytest.mark.parametrize(("end", "error"), PERMISSIONS)
def test_a_request_whose_permission_ended_in_its_wait_is_not_run(
    end: Callable[[Host], Awaitable[None]], error: str
) -> None:
    async def scenario(site: Site) -> None:
        site.revocation = RevocationSection(max_delay_s=5.0)
        shop = await build_site(site, TEAMS)

        async def wait_for_unit(name: str) -> Grant:
            await end(shop)
            return Grant(1, asyncio.get_running_loop().time() + LIFE_S, 1, 1)

        shop.sidecar.quotas.try_admit = lambda name: False
        shop.sidecar.quotas.wait_for_unit = wait_for_unit
        headers = make_headers("r1", DEADLINE_MS) | {"Api-Key": "k"}
        answer = await send(shop.client_address, "POST", "/order/1", headers, b"x")
        assert (answer.status, answer.body) == (503, b'{"error":"%s"}' % error.encode())
        assert not any(host.backend.arrivals for host in site.hosts)

    run_scenario(scenario)


EARLY = {
    "its route is dropped": Change({"read": READ}, {}, 200, "books"),
    "its route moves": Change({"order": ORDER | {"service": "maps"}}, {}, 200, "books"),
    "teams are added": Change(ROUTES, TEAMS, 200, "books"),
}


# Guards against pipelined requests that were routed by one version and sent by another.
@pytest.mark.parametrize("change", EARLY.values(), ids=EARLY)
def test_a_routed_request_is_served_whole_by_the_version_that_routed_it(
    change: Change,
) -> None:
    async def scenario(site: Site) -> None:
        shop = await build_site(site, {})
        front_end = shop.sidecar._front_end
        headers = make_headers("r1", 5000) | {"Host": "h.example", "Api-Key": "k"}
        fields = [(name.encode(), value.encode()) for name, value in headers.items()]
        now = shop.sidecar._clock.monotonic()
        routed = front_end.route(
            RawRequest("POST", "/order/1", fields, b"x", now, True)
        )
        site.configure(change.routes, change.teams)
        await site.wait_for_convergence()
        answer = await front_end.answer(routed)
        assert answer.result.status == change.status
        check_runs(site, change)

    run_scenario(scenario)
