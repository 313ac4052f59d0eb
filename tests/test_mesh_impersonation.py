"""Ids that clients choose do not prove whose request it is."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from cassiahatch_node.mesh.call_graph import CallGraph
from cassiahatch_node.mesh.settings import QuotaSection
from mesh_site import Host, Message, Site, make_headers, send
from test_mesh import run_scenario

ROUTES = {
    "read": {"prefix": "/read/", "service": "books"},
    "deep": {"prefix": "/deep/", "service": "books"},
    "open": {"prefix": "/open/", "service": "books", "public": True},
}
TEAMS = {"acme": {"api_keys": ["k-acme"]}, "bolt": {"api_keys": ["k-bolt"]}}
WORK_S = 0.4


@dataclass(frozen=True)
class Claim:
    """A request sent while acme's request 4711 runs, and what comes of it."""

    request_id: str
    fields: dict[str, str]
    status: int
    team: str | None = None
    """Team for which it runs, if it runs."""
    target: str = "/read/2"


BOLT = {"Api-Key": "k-bolt"}
CLAIMS = {
    "the key of another team": Claim("4711.1", BOLT, 200, "bolt"),
    "a key that nobody has": Claim("4711.1", {"Api-Key": "k"}, 401),
    "two keys": Claim("4711.1", {"Api-Key": "k-acme\r\nApi-Key: k-bolt"}, 401),
    "the same key twice": Claim(
        "4711.1", {"Api-Key": "k-acme\r\nApi-Key: k-acme"}, 401
    ),
    "an empty key": Claim("4711.1", {"Api-Key": ""}, 401),
    "the id of the run": Claim("4711", BOLT, 200, "bolt"),
    "a call of a call": Claim("4711.1.1", BOLT, 200, "bolt"),
    "a key on a public route": Claim("4711.1", BOLT, 200, "bolt", "/open/2"),
    "a team's name": Claim(
        "4711.1", BOLT | {"Cassiahatch-Tenant-Id": "acme"}, 200, "bolt"
    ),
    "no key, and no run of the id": Claim("4712.1", {}, 503),
    "no key, and the end of the id": Claim("47.11", {}, 503),
}


async def build_site(site: Site, **quota: float) -> Host:
    """Add a VM whose backend server works for a while on each request."""
    site.quotas = QuotaSection()
    site.configure(ROUTES, TEAMS | {"bolt": TEAMS["bolt"] | quota})
    host = await site.add_host("books", slots=40)
    await site.wait_for_convergence()
    headers = make_headers("first") | {"Api-Key": "k-acme"}
    await send(host.client_address, "GET", "/read/1", headers)
    host.backend.arrivals.clear()
    host.backend.work_s = WORK_S
    return host


async def send_during_run(host: Host, claim: Claim, target: str) -> list[Message]:
    """Send acme's request and, while it runs, the claim; return both answers."""
    address = host.client_address
    headers = make_headers("4711", 3000) | {"Api-Key": "k-acme"}
    run = asyncio.create_task(send(address, "GET", target, headers))
    await asyncio.sleep(WORK_S / 2)
    headers = make_headers(claim.request_id, 3000) | claim.fields
    answer = await send(address, "GET", claim.target, headers)
    return [await run, answer]


def list_teams(host: Host, target: str) -> list[str | None]:
    """Return the teams for which requests of a target ran."""
    return [
        arrival.message.headers.get("cassiahatch-tenant-id")
        for arrival in host.backend.arrivals
        if arrival.message.target == target
    ]


# Guards against a client that got the team of the run that its request's id names.
@pytest.mark.parametrize("claim", CLAIMS.values(), ids=CLAIMS)
def test_a_request_runs_only_for_the_team_whose_key_it_carries(claim: Claim) -> None:
    async def scenario(site: Site) -> None:
        host = await build_site(site)
        run, answer = await send_during_run(host, claim, "/read/1")
        assert (run.status, answer.status) == (200, claim.status)
        assert list_teams(host, "/read/1") == ["acme"]
        expected = [claim.team] if claim.status == 200 else []
        assert list_teams(host, claim.target) == expected

    run_scenario(scenario)


# Guards against a client whose request took over the calls of a run with the same id.
@pytest.mark.parametrize("target", ["/read/2", "/deep/2"])
def test_calls_of_a_run_are_not_made_for_another_team_with_its_id(target: str) -> None:
    async def scenario(site: Site) -> None:
        host = await build_site(site)
        host.backend.downstream_targets = {"/deep/1": ["/read/3"]}
        claim = Claim("4711", BOLT, 200, "bolt", target)
        run, answer = await send_during_run(host, claim, "/deep/1")
        assert answer.status == 200
        # It is not known whose call it is, so it is rejected before it runs.
        assert run.status == 500
        assert list_teams(host, "/read/3") == []
        run, _ = await send_during_run(host, CLAIMS["a key that nobody has"], "/deep/1")
        assert run.status == 200
        assert list_teams(host, "/read/3") == ["acme"]

    run_scenario(scenario)


# Guards against requests outside of the quota of their team.
def test_a_request_that_looks_like_a_call_counts_for_its_teams_quota() -> None:
    async def scenario(site: Site) -> None:
        host = await build_site(site, rate_per_s=0.1, burst=1)
        counted = []
        admit = host.sidecar.quotas.try_admit
        host.sidecar.quotas.try_admit = lambda name: counted.append(name) or admit(name)
        await send_during_run(host, CLAIMS["the key of another team"], "/read/1")
        assert counted == ["acme", "bolt"]

    run_scenario(scenario)


OVERLOADED = [
    # teams; id and fields of the request; status under a cutoff that admits nothing
    ({}, "r1", {}, 503),
    ({}, "r1.1", {}, 503),
    ({}, "4711.1", {}, 200),
    (TEAMS, "4711.1", BOLT, 503),
    (TEAMS, "4711.1", {}, 200),
]


# Guards against requests that passed the edge under overload by the form of their id.
@pytest.mark.parametrize(("teams", "request_id", "fields", "status"), OVERLOADED)
def test_only_calls_of_a_run_pass_the_edge_of_an_overloaded_route(
    teams: dict,
    request_id: str,
    fields: dict[str, str],
    status: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(CallGraph, "admits", lambda self, route, *_: route != "read")

    async def scenario(site: Site) -> None:
        host = await build_site(site)
        site.configure(ROUTES, teams)
        await site.wait_for_convergence()
        claim = Claim(request_id, fields, status)
        run, answer = await send_during_run(host, claim, "/deep/1")
        assert (run.status, answer.status) == (200, status)

    run_scenario(scenario)
