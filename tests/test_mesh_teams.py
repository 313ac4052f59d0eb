"""Teams: keys, ranks, and the team's name at the backend server."""

from __future__ import annotations

import pytest

from cassiahatch_kernel.configurations import BadConfigurationError
from cassiahatch_kernel.exchanges import Call, Reason, Rejection
from cassiahatch_kernel.routes import RouteKind, RouteRule, WeightedService
from cassiahatch_kernel.teams import Team, TeamTable
from cassiahatch_platform.configurations import PlatformConfigurations
from cassiahatch_policies.identification import (
    Identity,
    identify_call,
    identify_request,
)
from mesh_site import Site, make_headers, send
from test_mesh import run_scenario

TEAMS = TeamTable(
    (
        Team("acme", (b"k1", b"k2"), 0),
        Team("bolt", (b"k3", b"shared")),
        Team("cogs", (b"shared",)),
        Team("dune", ()),
    )
)


def make_rule(is_public: bool = False) -> RouteRule:
    part = WeightedService("books")
    return RouteRule(
        "read", "h", "/", (part,), RouteKind.SAFE, 3.0, 1.0, 2, 2, is_public
    )


def make_call(team: str) -> Call:
    fields = ("r1", "read", "GET", "h", "/", b"", b"", "s", "i", 1, 1, 1, 1.5)
    return Call(*fields, True, True, team=team)


UNKNOWN = Rejection(Reason.UNKNOWN_KEY)
IDENTITIES = [
    # key; whether the route is public; identity or rejection
    (b"k1", False, Identity("acme", 0, True)),
    (b"k2", False, Identity("acme", 0, True)),
    (b"k3", False, Identity("bolt", 2, True)),
    (b"shared", False, UNKNOWN),
    (b"", False, UNKNOWN),
    (b"K1", False, UNKNOWN),
    (b"\xff" * 9000, False, UNKNOWN),
    (b"", True, Identity("", 2)),
    (b"k1", True, Identity("acme", 0)),
    (b"nobody", True, Identity("", 2)),
]


@pytest.mark.parametrize(("key", "is_public", "expected"), IDENTITIES)
def test_request_without_a_team_s_key_is_not_served(
    key: bytes, is_public: bool, expected: object
) -> None:
    assert identify_request(TEAMS, make_rule(is_public), key) == expected


@pytest.mark.parametrize("key", [b"", b"k1"])
def test_keys_mean_nothing_without_teams(key: bytes) -> None:
    assert identify_request(TeamTable(), make_rule(), key) == Identity("", 2)


CALLS = [
    # team of the parent, None if the parent is unknown; whether the route is public;
    # teams; name of the team, None if the call is rejected
    ("acme", False, TEAMS, "acme"),
    ("", False, TEAMS, ""),
    (None, True, TEAMS, ""),
    (None, False, TEAMS, None),
    (None, False, TeamTable(), ""),
]


@pytest.mark.parametrize(("parent", "is_public", "teams", "expected"), CALLS)
def test_call_without_a_key_is_served_only_for_its_parent_s_team(
    parent: str | None, is_public: bool, teams: TeamTable, expected: str | None
) -> None:
    call = None if parent is None else make_call(parent)
    match identify_call(teams, make_rule(is_public), call):
        case Identity(team=team):
            assert team == expected
        case Rejection(reason=reason):
            assert (reason, expected) == (Reason.UNKNOWN_PARENT, None)


def test_keys_do_not_appear_in_the_text_of_a_team() -> None:
    assert "k1" not in repr(Team("acme", (b"k1",)))


BAD_TEAMS = [
    b'{"a\\r\\nX: y":{}}',
    b'{"":{}}',
    b'{"a":{"rate_per_s":-1}}',
    b'{"a":{"api_keys":["k",7]}}',
]


@pytest.mark.parametrize("teams", BAD_TEAMS)
def test_teams_that_can_not_be_sent_or_counted_are_not_taken(teams: bytes) -> None:
    value = b'{"version":"r1","routes":{},"tenants":%s}' % teams
    with pytest.raises(BadConfigurationError):
        PlatformConfigurations().decode(value)


ROUTES = {
    "read": {"prefix": "/read/", "service": "books"},
    "open": {"prefix": "/open/", "service": "books", "public": True},
    "deep": {"prefix": "/deep/", "service": "books"},
}
KEYS = {"acme": {"api_keys": ["k1"], "priority": 0}, "idle": {}}
REQUESTS = [
    # teams; target; header lines; status; name of the team at the backend server
    (KEYS, "/read/1", "Api-Key: k1", 200, "acme"),
    (KEYS, "/read/1", "api-key:  k1 \r\nCassiahatch-Tenant-Id: idle", 200, "acme"),
    (KEYS, "/read/1", "Api-Key: k1\r\nApi-Key: k1", 401, None),
    (KEYS, "/read/1", "Api-Key: k2", 401, None),
    (KEYS, "/read/1", "X-Other: 1", 401, None),
    (KEYS, "/open/1", "Cassiahatch-Tenant-Id: acme", 200, None),
    (KEYS, "/deep/1", "Api-Key: k1", 200, "acme"),
    ({}, "/read/1", "Api-Key: k1\r\nCassiahatch-Tenant-Id: t", 200, "t"),
]


@pytest.mark.parametrize(("teams", "target", "lines", "status", "team"), REQUESTS)
def test_backend_server_gets_the_team_and_never_the_key(
    teams: dict, target: str, lines: str, status: int, team: str | None
) -> None:
    async def scenario(site: Site) -> None:
        site.configure(ROUTES, teams)
        for service in ("shop", "books"):
            await site.add_host(service)
        await site.wait_for_convergence()
        backend = site.hosts[1].backend
        backend.downstream_targets = {"/deep/": ["/read/2", "/read/3"]}
        name, _, rest = lines.partition(": ")
        headers = make_headers("r1") | {name: rest}
        answer = await send(site.hosts[0].client_address, "GET", target, headers)
        assert answer.status == status
        arrivals = [arrival.message.headers for arrival in backend.arrivals]
        assert len(arrivals) == (0 if status == 401 else 3 if "deep" in target else 1)
        for fields in arrivals:
            assert fields.get("cassiahatch-tenant-id") == team
            assert ("api-key" in fields) == (not teams)

    run_scenario(scenario)


def test_changed_key_takes_effect_for_open_connections() -> None:
    async def scenario(site: Site) -> None:
        site.configure(ROUTES, KEYS)
        await site.add_host("books")
        await site.wait_for_convergence()
        statuses = []
        for keys in (["k1"], ["k2"], ["k1", "k2"]):
            site.configure(ROUTES, {"acme": {"api_keys": keys}})
            await site.wait_for_convergence()
            headers = make_headers("r1") | {"Api-Key": "k1"}
            address = site.hosts[0].client_address
            statuses.append((await send(address, "GET", "/read/1", headers)).status)
        assert statuses == [200, 401, 200]

    run_scenario(scenario)
