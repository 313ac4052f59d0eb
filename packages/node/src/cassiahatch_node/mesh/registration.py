"""The row of a node in the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.ports import Committed, FeedStore, StoreUnavailableError
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import Announcement, BackendState
from cassiahatch_node.mesh.store_sync import MEMBER_TABLE, StoreSync, encode_member

RETRY_S = 0.25
"""Pause after a write that the store did not answer."""
MS_PER_S = 1000


class Registration:
    """Keeps the row of this node's member up to date.

    A row is only written under the version that it is known to have, so that a
    write which the store performs late can't undo a newer one.

    Parameters
    ----------
    own : Member
        The member as it is before a backend server announced itself.
    """

    def __init__(
        self,
        own: Member,
        store: FeedStore,
        directory: Directory,
        store_sync: StoreSync,
        clock: Clock,
        random_source: random.Random,
        journal: Journal,
    ) -> None:
        self.own = own
        self._store = store
        self._directory = directory
        self._knowledge = store_sync
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self.on_change: Callable[[bytes], None] = _ignore
        """Hears of each change of the record, as it is stored."""

    def read_stored(self) -> Member | None:
        """Return what an earlier process of this node wrote, once it is known.

        The clock of an earlier process may have been ahead: this process then takes a
        higher incarnation than that one had.
        """
        stored = self._directory.members.get(self.own.node_id)
        if stored is None or stored.version == self.own.version:
            return None
        if stored.incarnation >= self.own.incarnation:
            incarnation = stored.incarnation + 1
            self.own = replace(self.own, incarnation=incarnation)
            if self.own.instance:
                self._spread_own()
        return stored

    def publish(self, announcement: Announcement) -> None:
        """Tell the fleet what the backend server says of itself."""
        is_ready = announcement.state is BackendState.READY
        self.own = replace(
            self.own,
            sequence=self.own.sequence + 1,
            state=MemberState.READY if is_ready else MemberState.DRAINING,
            service=announcement.service,
            slots=announcement.slots,
            instance=announcement.instance,
            born_ms=announcement.born_ms,
        )
        self._spread_own()

    async def wait_written(self, timeout_s: float) -> bool:
        """Wait until the store has the newest record, and tell whether it has."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._written.wait()
        except TimeoutError:
            return False
        return True

    def _spread_own(self) -> None:
        self._directory.learn(self.own)
        self._written.clear()
        self._changed.set()
        self.on_change(encode_member(self.own))

    async def run(self) -> None:
        """Write the row whenever it has changed, for ever."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while not await self._write(self.own):
                await asyncio.sleep(RETRY_S * (0.5 + self._random.random()))

    async def _write(self, member: Member) -> bool:
        rows = self._knowledge.member_rows
        expected = rows.get(member.node_id, 0)
        try:
            outcome = await self._store.write_row(
                MEMBER_TABLE, member.node_id, encode_member(member), expected
            )
        except StoreUnavailableError as error:
            self._journal.trace("row_not_written", error=error.detail)
            return False
        if not isinstance(outcome, Committed):
            rows[member.node_id] = outcome.version
            return False
        rows[member.node_id] = outcome.revision
        if member.version == self.own.version:
            self._written.set()
        return True


def _ignore(record: bytes) -> None:
    """Do nothing until somebody listens."""
