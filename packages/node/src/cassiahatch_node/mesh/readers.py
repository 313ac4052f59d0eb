"""Which nodes of an availability zone follow the store for all of it."""

from __future__ import annotations

import asyncio
import random

from cassiahatch_kernel.clock import Clock
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.frames import ReaderFrame
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.store_sync import StoreSync

READERS_PER_ZONE = 2
"""One may be lost, frozen or cut off from the store without a delay."""
BEAT_INTERVAL_S = 0.4
"""How often a reader shows that it still follows the store."""
SILENT_AFTER_S = 1.0
"""Silence after which a reader no longer counts: two beats, and a late one."""
STARTUP_S = 3.0
"""How long every node follows the store after its start, until links stand."""


class Readers:
    """Shares the reading of the store among the nodes of a zone.

    The first nodes of a zone, in the order of their ids, follow the store and pass on
    what changes over their links; the others step in when fewer than enough show that
    they do. So the calls to the store grow with the zones and not with the nodes.

    Parameters
    ----------
    own_id, zone : str
        This node, and its availability zone.
    store_sync : StoreSync
        Follows the store while it is told to.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_heard_at",
        "_is_reader",
        "_journal",
        "_knowledge",
        "_own_id",
        "_random",
        "_started_at",
        "_zone",
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
        self._knowledge = store_sync
        self._directory = directory
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._started_at = clock.monotonic()
        self._heard_at: dict[str, float] = {}
        self._is_reader = True

    def note(self, node_id: str, frame: ReaderFrame) -> None:
        """Take in that a peer follows the store for its zone."""
        if self._directory.find_zone(node_id) == self._zone:
            self._heard_at[node_id] = self._clock.monotonic()
        if self._knowledge.is_behind(frame):
            link = self._directory.ensure_link(node_id)
            if link is not None:
                link.ask_for_news()

    async def run(self) -> None:
        """Follow the store or leave it to others, for ever."""
        while True:
            await asyncio.sleep(BEAT_INTERVAL_S)
            self._decide(self._clock.monotonic())
            if self._is_reader:
                if self._knowledge.has_store:
                    self._beat()
                else:
                    self._ask_anyone()

    def _decide(self, now: float) -> None:
        ahead = sum(
            node_id < self._own_id and now - heard_at <= SILENT_AFTER_S
            for node_id, heard_at in self._heard_at.items()
        )
        is_new = now - self._started_at < STARTUP_S
        is_reader = is_new or ahead < READERS_PER_ZONE
        if is_reader is not self._is_reader:
            self._is_reader = is_reader
            self._knowledge.change_duty(is_reader)
            self._journal.note("reader", is_reader=is_reader, ahead=ahead)

    def _beat(self) -> None:
        """Show the own zone that it is read for, and other zones' readers how far.

        A reader that is cut off from the store without a word learns from theirs that
        it lacks something.
        """
        frame = self._knowledge.make_reader_frame()
        far = self._list_far_readers()
        for link in self._directory.list_links():
            is_near = self._directory.find_zone(link.node_id) == self._zone
            if is_near or link.node_id in far:
                link.send_news(frame)

    def _list_far_readers(self) -> set[str]:
        by_zone: dict[str, list[str]] = {}
        for member in self._directory.members.values():
            if member.zone != self._zone:
                by_zone.setdefault(member.zone, []).append(member.node_id)
        return {
            node_id
            for node_ids in by_zone.values()
            for node_id in sorted(node_ids)[:READERS_PER_ZONE]
        }

    def _ask_anyone(self) -> None:
        """Ask a peer for news, since the store can't be reached from here."""
        links = self._directory.list_links()
        if links:
            self._random.choice(links).ask_for_news()
