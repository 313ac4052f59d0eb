"""Readers: the few nodes of an availability zone that follow the store for it."""

from __future__ import annotations

import asyncio
import math
import random
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace

import pytest

from cassiahatch_kernel.clock import SystemClock
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.ports import Row, Scan
from cassiahatch_node.mesh.confirmations import CONFIG_MAX_AGE_S
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.frames import Hello, UpdateFrame
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.member_records import encode_member
from cassiahatch_node.mesh.readers import READERS_PER_ZONE, STARTUP_S
from cassiahatch_node.mesh.settings import StoreSection
from cassiahatch_node.mesh.store_sync import StoreSync
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_platform.store import TCP_USER_TIMEOUT_MS, enable_keepalive
from mesh_site import Site
from test_mesh import ROUTES, run_scenario

CHANGE_TIMEOUT_S = 10.0
"""Longest wait for a change. The soak test and the benchmark check how soon it
applies, since there the speed of the machine is known."""


async def build_zones(site: Site, zones: list[str]) -> None:
    site.configure(ROUTES)
    for zone in zones:
        await site.add_host("books", zone)
    await site.wait_for_convergence()
    await asyncio.sleep(STARTUP_S + CONFIG_MAX_AGE_S)


def list_running_hosts(site: Site) -> list:
    return [host for host in site.hosts if host.sidecar is not None]


async def wait_until_applied(site: Site) -> None:
    async with asyncio.timeout(CHANGE_TIMEOUT_S):
        while any(
            host.sidecar.store_sync.config_version != site.config_version
            for host in list_running_hosts(site)
        ):
            await asyncio.sleep(0.02)


async def stop_hosts(site: Site, count: int) -> None:
    for host in site.hosts[:count]:
        await host.stop()
        host.sidecar = None


async def stop_no_reader(site: Site) -> None:
    """Keep all readers running."""


async def stop_one_reader(site: Site) -> None:
    await stop_hosts(site, 1)


async def stop_all_readers(site: Site) -> None:
    await stop_hosts(site, READERS_PER_ZONE)


READER_STOPS = [stop_no_reader, stop_one_reader, stop_all_readers]


@pytest.mark.parametrize(
    "stop_readers", READER_STOPS, ids=lambda stop_readers: stop_readers.__name__
)
def test_a_change_reaches_all_nodes_with_few_store_requests(
    stop_readers: Callable[[Site], Awaitable[None]],
) -> None:
    async def scenario(site: Site) -> None:
        await build_zones(site, ["z1"] * 5)
        await stop_readers(site)
        requests_before = site.store.feed_request_count
        started_at = asyncio.get_running_loop().time()
        site.configure(ROUTES)
        await wait_until_applied(site)
        await asyncio.sleep(0.2)
        elapsed_s = asyncio.get_running_loop().time() - started_at
        # A newly elected reader sends a request, and each sends another after a change.
        expected = 2 * READERS_PER_ZONE
        settings = site.hosts[-1].settings.store
        for wait_s in (settings.wait_s, settings.members_wait_s):
            expected += READERS_PER_ZONE * math.ceil(elapsed_s / wait_s)
        if stop_readers is stop_all_readers:
            # Each other node finds its copies stale, and asks once for each table.
            expected += 2 * len(list_running_hosts(site))
        assert site.store.feed_request_count - requests_before <= expected

    run_scenario(scenario)


def test_a_member_change_propagates_while_the_store_is_down() -> None:
    async def scenario(site: Site) -> None:
        await build_zones(site, ["z1", "z1", "z1", "z2"])
        site.store.is_down = True
        changed_host = site.hosts[3]
        await changed_host.announce(slots=9)
        async with asyncio.timeout(CHANGE_TIMEOUT_S):
            while any(
                host.sidecar.directory.members["n4"].slots != 9 for host in site.hosts
            ):
                await asyncio.sleep(0.02)

    run_scenario(scenario)


def test_a_node_without_the_store_gets_changes_from_another_zone() -> None:
    async def scenario(site: Site) -> None:
        await build_zones(site, ["z1", "z2"])
        for host in site.hosts[:1]:
            host.sidecar._store._url = "http://127.0.0.1:9"
        site.configure(ROUTES)
        await asyncio.sleep(0.2)
        site.configure(ROUTES)
        async with asyncio.timeout(CHANGE_TIMEOUT_S):
            while (
                site.hosts[0].sidecar.store_sync.config_version != site.config_version
            ):
                await asyncio.sleep(0.02)

    run_scenario(scenario)


class IdleLink:
    """A link that is never ready."""

    node_id = "n2"
    is_ready = False

    async def run(self) -> None:
        """Do nothing."""

    def connect_now(self) -> None:
        """Do nothing."""


@contextmanager
def open_store_sync() -> Iterator[StoreSync]:
    """Yield the copies of a node without a store."""
    clock, journal = SystemClock(), Journal("n1", Metrics(), 1)
    with Directory("n1", "z1", clock, lambda _: IdleLink(), journal) as directory:
        settings = StoreSection(address="127.0.0.1:9")
        yield StoreSync(
            None, None, directory, settings, clock, random.Random(1), journal, print
        )


PEERS = [
    # store version up to which the peer knows the members; members that it must be
    # sent, None if it is sent nothing
    (0, {"n2"}),
    (30, {"n2"}),
    (60, {"n2"}),
    (99, {"n2"}),
    (100, None),
]


@pytest.mark.parametrize(("known_version", "expected"), PEERS)
def test_a_change_received_from_a_peer_is_forwarded_to_peers_that_lack_it(
    known_version: int, expected: set[str] | None
) -> None:
    async def run() -> None:
        with open_store_sync() as store_sync:
            member = Member("n2", "127.0.0.1", 9, "z1", 1, 1, MemberState.READY, "s", 4)
            row = Row("n2", encode_member(member), 20)
            store_sync._apply_member_scan(Scan((row,), (), 50), True)
            changed = encode_member(replace(member, sequence=2))
            store_sync.apply_update(UpdateFrame(b"", 0, (changed,), 50, 100))
            update = store_sync.make_update(Hello(1, "n3", 0, known_version))
            if expected is None:
                assert update is None
            else:
                assert update.members == (changed,)

    asyncio.run(run())


def test_an_answer_older_than_a_peers_update_does_not_lower_the_version() -> None:
    async def run() -> None:
        with open_store_sync() as store_sync:
            member = Member("n2", "127.0.0.1", 9, "z1", 1, 1, MemberState.READY, "s", 4)
            store_sync._apply_member_scan(Scan((), (), 50, 10.0), True)
            changed = encode_member(replace(member, sequence=2))
            store_sync.apply_update(UpdateFrame(b"", 0, (changed,), 50, 120))
            row = Row("n2", encode_member(member), 110)
            store_sync._apply_member_scan(Scan((row,), (), 110, 11.0), False)
            assert store_sync.members_version == 120

    asyncio.run(run())


def test_readers_whose_store_does_not_answer_get_changes_from_other_zones() -> None:
    async def scenario(site: Site) -> None:
        await build_zones(site, ["z1", "z1", "z1", "z2"])
        for host in site.hosts[:READERS_PER_ZONE]:
            host.sidecar.store_sync._store = SilentStore()
        for _ in range(2):
            site.configure(ROUTES)
            await wait_until_applied(site)

    run_scenario(scenario)


class SilentStore:
    """A store that never answers."""

    async def follow_table(self, table: str, since: int, wait_s: float) -> None:
        await asyncio.sleep(60)


def test_keepalive_of_store_connections_fits_the_tcp_user_timeout() -> None:
    with socket.socket() as connection:
        enable_keepalive(connection.fileno(), 0)
        assert connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        get_option = connection.getsockopt
        assert (
            get_option(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            == TCP_USER_TIMEOUT_MS
        )
        assert (
            get_option(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) * 1000
            <= TCP_USER_TIMEOUT_MS
        )
        assert (
            get_option(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) * 1000
            <= TCP_USER_TIMEOUT_MS
        )
