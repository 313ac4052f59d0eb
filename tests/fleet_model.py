"""A fleet in virtual time: real links, readers and copies; a store that may refuse."""

from __future__ import annotations

import asyncio
import os
import random
from collections import defaultdict
from enum import Enum, auto

import msgspec

from cassiahatch_kernel.exchanges import Load
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.ports import Row, Scan, StoreUnavailableError
from cassiahatch_node.mesh.answer_memory import AnswerMemory
from cassiahatch_node.mesh.body_memory import BodyMemory
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.frames import LINK_VERSION
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.link_in import LinkService, PeerConnection
from cassiahatch_node.mesh.link_out import LinkCallbacks, PeerLink
from cassiahatch_node.mesh.member_records import encode_member
from cassiahatch_node.mesh.readers import ReaderElection
from cassiahatch_node.mesh.settings import StoreSection
from cassiahatch_node.mesh.store_sync import MEMBER_TABLE, StoreSync
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_platform.configurations import PlatformConfigurations
from cassiahatch_platform.store import LONG_POLL_MARGIN_S
from virtual_loop import VirtualLoop

STORE_DELAY_S = 0.004
REQUEST_TIMEOUT_S = 1.0


class Access(Enum):
    """How the store treats the requests of one machine."""

    SERVED = auto()
    BUSY = auto()
    """Each request is refused at once."""
    SILENT = auto()
    """Requests, also those in progress, are never answered."""


class ModelStore:
    """A linearizable store of the configuration and the members."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self._changed = asyncio.Event()
        self.version = 0
        self.history: list[tuple[int, str, Row]] = []
        self.access: dict[str, Access] = defaultdict(lambda: Access.SERVED)
        self.answer_delay_s = 0.0
        """Time that each answer takes to reach its machine."""
        self.request_count = 0
        self.configured_at: dict[int, float] = {}
        """Virtual time of the acknowledgement of each configuration version."""

    def put(self, table: str, key: str, value: bytes) -> None:
        self.version += 1
        self.history.append((self.version, table, Row(key, value, self.version)))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def configure(self, version: int) -> None:
        body = {"version": f"r{version}", "routes": {}}
        self.put("op", "config", msgspec.json.encode(body))
        self.configured_at[version] = self._loop.time()

    def read(self, table: str, since: int) -> Scan:
        rows = {
            row.key: row
            for version, row_table, row in self.history
            if row_table == table and version > since
        }
        return make_scan(tuple(rows.values()), self.version, self._loop.time())

    async def wait_for_change(self, table: str, since: int, wait_s: float) -> None:
        ends_at = self._loop.time() + wait_s
        while not self.read(table, since).rows:
            remaining_s = ends_at - self._loop.time()
            if remaining_s <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return


def make_scan(rows: tuple[Row, ...], version: int, now_s: float) -> Scan:
    return Scan(rows, (), version, now_s)


class StoreClient:
    """The store as one machine reaches it."""

    def __init__(self, store: ModelStore, node_id: str) -> None:
        self._store = store
        self._node_id = node_id

    async def read_table(self, table: str) -> Scan:
        return await self._request(table, 0, 0.0, REQUEST_TIMEOUT_S)

    async def follow_table(self, table: str, since: int, wait_s: float) -> Scan:
        return await self._request(table, since, wait_s, wait_s + LONG_POLL_MARGIN_S)

    async def _request(
        self, table: str, since: int, wait_s: float, timeout_s: float
    ) -> Scan:
        self._store.request_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(STORE_DELAY_S)
                await self._check_access()
                await self._store.wait_for_change(table, since, wait_s)
                await self._check_access()
                scan = self._store.read(table, since)
                await asyncio.sleep(self._store.answer_delay_s)
                return scan
        except TimeoutError:
            raise StoreUnavailableError("timed out") from None

    async def _check_access(self) -> None:
        match self._store.access[self._node_id]:
            case Access.BUSY:
                raise StoreUnavailableError("busy")
            case Access.SILENT:
                await asyncio.Event().wait()


class NodeClock:
    """Clock of one machine, whose zero, rate and wall time differ from the loop's."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.ahead_s = 0.0
        self.rate = 1.0
        self.wall_ahead_s = 0.0

    def monotonic(self) -> float:
        return self._loop.time() * self.rate + self.ahead_s

    def wall(self) -> float:
        return self._loop.time() + self.wall_ahead_s


class IdleIngress:
    """A backend server without load."""

    load = Load()


class Node:
    """One node without its data path."""

    def __init__(self, fleet: Fleet, node_id: str, zone: str) -> None:
        loop = fleet.loop
        self.id = node_id
        self._host = fleet.hosts[node_id]
        self.zone = zone
        self.started_at = loop.time()
        journal = Journal(node_id, Metrics(), fleet.journal_fd)
        random_source = random.Random(f"{fleet.seed} {node_id}")
        self.clock = clock = fleet.clocks[node_id]
        self.directory = Directory(node_id, zone, clock, self._create_link, journal)
        self.store_sync = StoreSync(
            StoreClient(fleet.store, node_id),
            PlatformConfigurations(),
            self.directory,
            StoreSection(address="127.0.0.1:9"),
            clock,
            random_source,
            journal,
            lambda configuration: None,
        )
        self.readers = ReaderElection(
            node_id,
            zone,
            self.store_sync,
            self.directory,
            clock,
            random_source,
            journal,
        )
        self.store_sync.on_confirmed = self.readers.on_confirmed
        self.store_sync.require_bounds(fleet.is_strict)
        self.links = LinkService(
            clock,
            IdleIngress(),
            journal,
            self._make_hello,
            self.store_sync.make_update,
            self.store_sync.apply_update,
            self.directory.reconnect,
            self.readers.on_reader_frame,
            self.store_sync.confirm,
            list,
            None,
            BodyMemory(1_000_000),
            AnswerMemory(1_000_000),
        )
        self._loop = loop
        self._journal = journal
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._loop.listeners[self._host] = lambda: PeerConnection(self.links)
        for run in (
            self.store_sync.follow_configuration,
            self.store_sync.follow_members,
            self.readers.run,
            self.directory.check_links,
        ):
            self._tasks.append(self._loop.create_task(run()))

    def kill(self) -> None:
        """End the process; its peers see their connections reset."""
        del self._loop.listeners[self._host]
        for task in self._tasks:
            task.cancel()
        self.directory.__exit__(None, None, None)
        for connection in list(self.links.connections):
            connection.abort()

    def _make_hello(self):
        return self.store_sync.make_hello(LINK_VERSION, self.id)

    def _create_link(self, member: Member) -> PeerLink:
        callbacks = LinkCallbacks(
            lambda *report: None,
            lambda *report: None,
            self.store_sync.apply_update,
            self.store_sync.make_update,
            self._make_hello,
            self.store_sync.confirm,
            lambda frame: None,
            self.directory.refresh_reachability,
        )
        return PeerLink(
            member.node_id,
            member.host,
            1,
            self.clock,
            callbacks,
            AnswerMemory(1_000_000),
            self._journal,
        )


class Fleet:
    """Nodes of several availability zones, and their store."""

    node_type: type[Node] = Node

    def __init__(self, loop: VirtualLoop, zones: dict[str, int], seed: int = 1) -> None:
        self.loop = loop
        self.seed = seed
        self.store = ModelStore(loop)
        self.is_strict = False
        """Whether the nodes have a configuration lease."""
        self.clocks: defaultdict[str, NodeClock] = defaultdict(lambda: NodeClock(loop))
        """The clocks of the machines, by node id."""
        self.journal_fd = os.open(os.environ.get("MESH_LOG", os.devnull), os.O_WRONLY)
        self.nodes: dict[str, Node] = {}
        """The live nodes, by id."""
        self.zones = {
            zone: [f"{zone}-{number}" for number in range(1, count + 1)]
            for zone, count in zones.items()
        }
        self.hosts = {
            node_id: f"10.0.{zone}.{number}"
            for zone, node_ids in enumerate(self.zones.values())
            for number, node_id in enumerate(node_ids)
        }

    async def __aenter__(self) -> Fleet:
        self.store.configure(1)
        for zone, node_ids in self.zones.items():
            for node_id in node_ids:
                self.start(node_id, zone)
        await asyncio.sleep(6.0)
        return self

    async def __aexit__(self, *exception: object) -> None:
        for node_id in list(self.nodes):
            self.kill(node_id)
        os.close(self.journal_fd)

    def start(self, node_id: str, zone: str) -> None:
        incarnation = int(self.loop.wall() * 1000)
        member = Member(
            node_id,
            self.hosts[node_id],
            1,
            zone,
            incarnation,
            1,
            MemberState.READY,
            zone,
            4,
        )
        self.store.put(MEMBER_TABLE, node_id, encode_member(member))
        node = self.nodes[node_id] = self.node_type(self, node_id, zone)
        node.start()

    def kill(self, node_id: str) -> None:
        self.nodes.pop(node_id).kill()

    def list_readers(self, zone: str) -> list[str]:
        """Return the ids of a zone's acting readers."""
        return [
            node.id
            for node in self.nodes.values()
            if node.zone == zone and node.readers.is_reader
        ]
