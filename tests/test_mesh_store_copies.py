"""A node that starts while the store is back from an older copy learns from its peers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from cassiahatch_kernel.configurations import Configuration
from cassiahatch_kernel.members import MemberState
from cassiahatch_node.mesh.link_out import PeerLink
from cassiahatch_node.mesh.record_confirmation import (
    MAX_WAIT_S,
    MIN_WAIT_S,
    RecordConfirmation,
    RecordOrigin,
)
from cassiahatch_node.mesh.store_sync import StoreSync
from mesh_site import Host, Site, make_headers, send
from test_mesh import build_site, run_scenario
from test_mesh_announcements import drain, leave, read_stored_state
from test_mesh_departures import stop_process

ORIGINS = [
    # eras of record (None: there is no record) and store; whether there are peers, and
    # whether one has answered; seconds until the record is relied on
    (0, 0, True, False, 0.0),
    (None, 0, True, False, 0.0),
    (1, 1, True, False, 0.0),
    (0, 1, True, True, MIN_WAIT_S),
    (1, 2, True, True, MIN_WAIT_S),
    (None, 1, True, True, MIN_WAIT_S),
    (0, 1, False, False, MIN_WAIT_S),
    (0, 1, True, False, MAX_WAIT_S),
    (None, 1, True, False, MAX_WAIT_S),
]


@pytest.mark.parametrize(
    ("record_era", "store_era", "has_peers", "has_answer", "wait_s"), ORIGINS
)
def test_only_a_record_of_an_earlier_era_waits_for_peers(
    record_era: int | None,
    store_era: int,
    has_peers: bool,
    has_answer: bool,
    wait_s: float,
) -> None:
    origin = RecordOrigin(record_era, store_era, has_peers, has_answer)
    confirmation = RecordConfirmation()
    assert confirmation.confirm(origin, 100.0) is (wait_s == 0.0)
    assert confirmation.confirm(origin, 99.9 + wait_s) is (wait_s == 0.0)
    assert confirmation.confirm(origin, 100.1 + wait_s)


async def leave_unheard(host: Host) -> int:
    """Let another process leave, whose heartbeats have not arrived."""
    path = "/v1/Instances.Leave/i-unheard"
    return (await host.send_control("POST", path)).status


async def stay(host: Host) -> int:
    """Let the backend server stay."""
    return 200


@dataclass(frozen=True)
class Drill:
    """What happens around the start of a node, and whether its server is in service."""

    depart: object
    in_service: bool
    is_new: bool = False
    """Whether the node was added after the copy was made."""
    comes_back: bool = True
    """Whether the store comes back from the copy."""
    is_alive: bool = False
    """Whether the node's process still runs when the store comes back."""
    heartbeats: tuple[str, ...] = ()
    """Instances whose heartbeats arrive after the start."""


DRILLS = {
    "leaves": Drill(leave, False),
    "drains": Drill(drain, False),
    "leaves, a heartbeat is late": Drill(leave, False, heartbeats=("i-2",)),
    "leaves, and its row is lost": Drill(leave, False, True, heartbeats=("i-2",)),
    "leaves unheard": Drill(leave_unheard, True, heartbeats=("i-unheard",)),
    "leaves, and the node writes its row again": Drill(leave, False, is_alive=True),
    "leaves, and nothing is lost": Drill(leave, False, comes_back=False),
    "stays": Drill(stay, True),
    "stays, and its row is lost": Drill(stay, True, True, heartbeats=("i-2",)),
    "stays, and the node writes its row again": Drill(stay, True, is_alive=True),
    "stays, and nothing is lost": Drill(stay, True, comes_back=False),
}


# Guards against a departure that a store lost while its node was down.
@pytest.mark.parametrize("drill", DRILLS.values(), ids=DRILLS)
def test_a_departure_that_the_store_has_lost_is_learned_from_peers(
    drill: Drill,
) -> None:
    async def scenario(site: Site) -> None:
        site.store.era = 1
        await build_site(site, ["shop"])
        if drill.is_new:
            copy = site.store.copy()
        books = await site.add_host("books")
        while not books.sidecar.backend.accepts:
            await asyncio.sleep(0.05)
        await site.wait_for_convergence()
        if not drill.is_new:
            copy = site.store.copy()
        assert await drill.depart(books) == 200
        await asyncio.sleep(0.2)
        if not drill.is_alive:
            await stop_process(books)
        if drill.comes_back:
            site.store.roll_back(copy)
        if drill.is_alive:
            async with asyncio.timeout(5):
                while site.store.rows["members", "n2"][1] <= copy[1]:
                    await asyncio.sleep(0.05)
            await stop_process(books)
        books.backend.arrivals.clear()
        await books.start(site._journal_fd)
        for instance in drill.heartbeats:
            books.backend.instance = instance
            await books.announce(sequence=1)
        books.backend.instance = "i-2"
        await use_until_restored(books)
        assert books.sidecar.backend.accepts is drill.in_service
        assert bool(books.backend.arrivals) is drill.in_service
        if not drill.in_service:
            await asyncio.sleep(0.3)
            if not drill.is_new:
                assert read_stored_state(site) is MemberState.DRAINING

    run_scenario(scenario)


async def use_until_restored(host: Host) -> None:
    """Send requests at a node, until a while after it has restored its backend server."""
    async with asyncio.timeout(5):
        while not host.sidecar._announcement_handler.is_restored:
            await send(host.client_address, "GET", "/read/1", make_headers("r1"))
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.1)
    await send(host.client_address, "GET", "/read/1", make_headers("r2"))


# Guards against a wait for peers where the store has lost nothing.
@pytest.mark.parametrize("era", [0, 1])
def test_a_node_restores_its_backend_server_at_once_in_the_same_era(era: int) -> None:
    async def scenario(site: Site) -> None:
        site.store.era = era
        await build_site(site, ["shop", "books"])
        books = site.hosts[1]
        while not books.sidecar.backend.accepts:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.2)
        await stop_process(books)
        await books.start(site._journal_fd)
        async with asyncio.timeout(0.9 * MIN_WAIT_S):
            while not books.sidecar.backend.accepts:
                await asyncio.sleep(0.02)

    run_scenario(scenario)


LINK_DELAY_S = 0.4
"""Delay of new links: shorter than the wait for peers."""


# Guards against a version that the store has lost, undone by the start of a node.
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_a_node_starts_with_no_older_configuration_than_its_peers_have(
    is_cut_off: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    connect = PeerLink._connect_and_wait

    async def connect_late(link: PeerLink) -> None:
        await asyncio.sleep(2 * MAX_WAIT_S if is_cut_off else LINK_DELAY_S)
        await connect(link)

    async def scenario(site: Site) -> None:
        site.store.era = 1
        await build_site(site, ["shop", "books"])
        books = site.hosts[1]
        copy = site.store.copy()
        site.configure({"other": {"prefix": "/other/", "service": "books"}})
        await site.wait_for_convergence()
        await stop_process(books)
        site.store.roll_back(copy)
        monkeypatch.setattr(PeerLink, "_connect_and_wait", connect_late)
        await books.start(site._journal_fd)
        store_sync = books.sidecar.store_sync
        versions = record_versions_in_force(store_sync)
        statuses = set()
        async with asyncio.timeout(1.5 * MAX_WAIT_S):
            while not store_sync.has_configuration:
                headers = make_headers("r1")
                answer = await send(books.client_address, "GET", "/read/1", headers)
                # A configuration may come into force while the request is under way.
                if not store_sync.has_configuration:
                    statuses.add(answer.status)
                await asyncio.sleep(0.02)
        assert statuses
        assert statuses <= {503, 404}
        # Without any peer, the store's copy is all that can be known.
        expected = site.config_version - 3 if is_cut_off else site.config_version
        assert versions == [expected]

    run_scenario(scenario)


def record_versions_in_force(store_sync: StoreSync) -> list[int]:
    """Return a list that receives each version that comes into force from now on."""
    assert not store_sync.has_configuration
    versions = []
    put_in_force = store_sync._on_configuration

    def record(configuration: Configuration) -> None:
        versions.append(configuration.version)
        put_in_force(configuration)

    store_sync._on_configuration = record
    return versions
