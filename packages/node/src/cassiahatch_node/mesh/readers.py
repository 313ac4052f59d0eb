"""Election of the readers: the nodes that follow the store for their zone."""

from __future__ import annotations

import asyncio
import random

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.members import MemberState
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.frames import ReaderFrame
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.store_sync import StoreSync

READERS_PER_ZONE = 2
"""With two, one may fail, freeze or lose the store without delaying updates."""
CHECK_INTERVAL_S = 0.2
"""Mean interval of the checks of the role and of the copies' freshness."""
HELPERS = 4
"""Ready links to other zones from which on a node without recent news opens no more."""
MAX_HELPER_LINKS = 32
"""Links to other zones that a node opens to ask for news: enough that some lead to a
live node, and few beside those to its own zone."""
STARTUP_S = 3.0
"""Time after its start during which every node follows the store, because its links may
not be ready yet."""


class ReaderElection:
    """Decides whether this node is a reader, and sends its heartbeats.

    A reader follows the store and forwards changes to the nodes of its availability
    zone. Its heartbeats carry the versions that it has and until when the store, or
    another node, has confirmed them. The readers of a zone are its first nodes in the
    order of their ids; a node becomes one when fewer than ``READERS_PER_ZONE`` nodes
    before it have sent heartbeats whose confirmation is recent, or when its own copies
    are stale. So the load on the store grows with the number of zones, not of nodes, and
    no node relies on a reader that the store has stopped answering.

    Parameters
    ----------
    own_id, zone : str
        This node's id, and its availability zone.
    store_sync : StoreSync
        Follows the store while this node is a reader.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_heartbeats",
        "_helper_ids",
        "_journal",
        "_own_id",
        "_random",
        "_started_at",
        "_store_sync",
        "_was_fresh",
        "_zone",
        "is_reader",
    )

    def __init__(
        self,
        own_id: str,
        zone: str,
        store_sync: StoreSync,
        directory: Directory,
        clock: Clock,
        random_source: random.Random,
        journal: Journal,
    ) -> None:
        self._own_id = own_id
        self._zone = zone
        self._store_sync = store_sync
        self._directory = directory
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._started_at = clock.monotonic()
        self._heartbeats: dict[str, ReaderFrame] = {}
        """Last heartbeat of each node of the zone that has sent one."""
        self._helper_ids: set[str] = set()
        """Members of other zones to which links were opened to ask for news."""
        self._was_fresh = False
        self.is_reader = True

    def on_reader_frame(self, node_id: str, frame: ReaderFrame) -> None:
        """Record a reader's heartbeat, and request an update if it can tell something."""
        if self._directory.find_zone(node_id) == self._zone:
            self._heartbeats[node_id] = frame
        self._store_sync.confirm(frame)
        if self._store_sync.is_behind(frame) or self._store_sync.claim_renewal(frame):
            link = self._directory.ensure_link(node_id)
            if link is not None:
                link.request_update()

    def on_confirmed(self) -> None:
        """Send heartbeats, as the store has just confirmed this reader's copies."""
        if self.is_reader:
            self._send_heartbeats()

    async def run(self) -> None:
        """Check the role and the copies' freshness, periodically until cancelled.

        A node whose copies are stale, or a reader without the store, asks its peers. The
        latter relays in heartbeats what they know.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * (0.5 + self._random.random()))
            is_fresh = self._store_sync.is_fresh
            self._note_freshness(is_fresh)
            self._update_role(is_fresh)
            if not is_fresh:
                self._request_updates()
            elif self.is_reader and not self._store_sync.answers.is_available:
                self._request_updates()
                self._send_heartbeats()

    def _update_role(self, is_fresh: bool) -> None:
        ahead = sum(
            node_id < self._own_id and self._store_sync.is_reader_fresh(frame)
            for node_id, frame in self._heartbeats.items()
        )
        is_starting = self._clock.monotonic() - self._started_at < STARTUP_S
        is_reader = is_starting or not is_fresh or ahead < READERS_PER_ZONE
        if is_reader is not self.is_reader:
            self.is_reader = is_reader
            self._store_sync.set_reader(is_reader)
            self._journal.note(
                "reader",
                is_reader=is_reader,
                ahead=ahead,
                answer_ages_s=self._store_sync.answers.measure_ages(),
            )

    def _send_heartbeats(self) -> None:
        frame = self._store_sync.make_reader_frame()
        for link in self._directory.list_ready_zone_links():
            link.send_if_ready(frame)

    def _request_updates(self) -> None:
        """Ask a random peer in this node's zone and one in another zone for news."""
        own_zone, helpers = [], []
        for link in self._directory.list_ready_links():
            is_own_zone = self._directory.find_zone(link.node_id) == self._zone
            (own_zone if is_own_zone else helpers).append(link)
        if len(helpers) < HELPERS:
            self._open_helper_link()
        for links in (own_zone, helpers):
            if links:
                self._random.choice(links).request_update()

    def _open_helper_link(self) -> None:
        """Open a link to a random member of another zone, up to a number of them."""
        members = self._directory.members
        self._helper_ids &= members.keys()
        others = [
            member.node_id
            for member in members.values()
            if member.zone != self._zone and member.state is not MemberState.LEFT
        ]
        if others and len(self._helper_ids) < MAX_HELPER_LINKS:
            node_id = self._random.choice(others)
            self._helper_ids.add(node_id)
            self._directory.ensure_link(node_id).connect_now()

    def _note_freshness(self, is_fresh: bool) -> None:
        if is_fresh is not self._was_fresh:
            self._was_fresh = is_fresh
            self._journal.note(
                "copies_fresh" if is_fresh else "copies_stale",
                config_version=self._store_sync.config_version,
                members_version=self._store_sync.members_version,
                answer_ages_s=self._store_sync.answers.measure_ages(),
            )
