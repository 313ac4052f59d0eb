"""An unexpected error in one task ends neither the process nor the task's duty."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from cassiahatch_node.mesh.link_out import PeerLink
from cassiahatch_node.mesh.root import Sidecar
from cassiahatch_node.mesh.store_sync import StoreSync
from mesh_site import Site, make_headers, send
from test_mesh import ROUTES, build_site, run_scenario

ERROR_COUNT = 3
# class and method in which the error occurs
PLACES = [
    (StoreSync, "_apply_configuration_scan"),
    (StoreSync, "_apply_member_scan"),
    (PeerLink, "check"),
    (Sidecar, "_on_members_applied"),
]


@pytest.mark.parametrize(
    ("owner", "method"), PLACES, ids=lambda place: getattr(place, "__name__", place)
)
def test_an_unexpected_error_does_not_stop_the_node(
    owner: type, method: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log_path = tmp_path / "log"
    log_path.touch()
    monkeypatch.setenv("MESH_LOG", str(log_path))
    original = getattr(owner, method)
    errors: list[str] = []

    def fail_at_first(self, *arguments):
        if len(errors) < ERROR_COUNT:
            errors.append(method)
            raise RuntimeError("unexpected")
        return original(self, *arguments)

    async def scenario(site: Site) -> None:
        await build_site(site, ["shop", "books"])
        monkeypatch.setattr(owner, method, fail_at_first)
        site.configure(ROUTES)
        await site.add_host("books")
        async with asyncio.timeout(8):
            while len(errors) < ERROR_COUNT:
                await asyncio.sleep(0.05)
        site.configure(ROUTES)
        await site.wait_for_convergence(8)
        for host in site.hosts:
            assert not host.sidecar._stopping.is_set()
        answer = await send(
            site.hosts[0].client_address, "GET", "/read/1", make_headers("r1")
        )
        assert answer.status == 200

    run_scenario(scenario)
    events = [json.loads(line)["event"] for line in log_path.read_text().splitlines()]
    assert "task_failed" in events


def test_a_link_whose_task_failed_is_connected_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = PeerLink._send_body_parts

    def fail_once(self) -> None:
        monkeypatch.setattr(PeerLink, "_send_body_parts", original)
        raise RuntimeError("unexpected")

    async def scenario(site: Site) -> None:
        await build_site(site, ["shop", "books"])
        monkeypatch.setattr(PeerLink, "_send_body_parts", fail_once)
        (link,) = site.hosts[0].sidecar.directory.list_ready_links()
        link._wake.set()
        await asyncio.sleep(0.05)
        await site.wait_for_convergence()
        answer = await send(
            site.hosts[0].client_address, "GET", "/read/1", make_headers("r1")
        )
        assert answer.status == 200

    run_scenario(scenario)
