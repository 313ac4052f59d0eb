"""The kind of a route says whether its requests may run more than once."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from cassiahatch_platform.configurations import PlatformConfigurations
from mesh_site import Site, make_headers, send
from test_mesh import run_scenario

KINDS = [
    # kind, arrivals of a request whose runs are all cut off
    ("safe", 2),
    ("unsafe", 1),
    ("upload", 1),
    ("of-a-later-version", 1),
    ("", 1),
]


@pytest.mark.parametrize(("kind", "arrivals"), KINDS)
def test_only_safe_requests_run_again(kind: str, arrivals: int) -> None:
    async def scenario(site: Site) -> None:
        site.configure({"any": {"prefix": "/any/", "service": "vault", "kind": kind}})
        for service in ["shop", "vault", "vault"]:
            await site.add_host(service)
        await site.wait_for_convergence()
        for host in site.hosts[1:]:
            host.backend.script = ["reset"]
        address = site.hosts[0].client_address
        answer = await send(
            address, "POST", "/any/1", make_headers("r1"), bytes(50_000)
        )
        assert answer.status == 502
        assert sum(len(host.backend.arrivals) for host in site.hosts) == arrivals

    run_scenario(scenario)


def test_an_unknown_kind_of_route_is_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log_path = tmp_path / "log"
    log_path.touch()
    monkeypatch.setenv("MESH_LOG", str(log_path))

    async def scenario(site: Site) -> None:
        later = {"prefix": "/later/", "service": "vault", "kind": "later"}
        site.configure(
            {"read": {"prefix": "/read/", "service": "vault"}, "later": later}
        )
        await site.add_host("vault")
        await site.wait_for_convergence()
        answer = await send(
            site.hosts[0].client_address, "GET", "/later/1", make_headers("r1")
        )
        assert answer.status == 200

    run_scenario(scenario)
    records = [json.loads(line) for line in log_path.read_text().splitlines()]
    (record,) = [r for r in records if r["event"] == "unknown_route_kinds"]
    assert record["found"] == ["later"]


def test_a_route_without_a_kind_is_kept() -> None:
    route = {"host": "h", "prefix": "/x/", "timeout_s": 1, "service": "s"}
    value = json.dumps({"version": "r1", "routes": {"x": route}}).encode()
    (rule,) = PlatformConfigurations().decode(value).rules
    assert not rule.is_idempotent
