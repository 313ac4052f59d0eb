"""Registration of a node: its member record, in the store and at its peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.departures import Process
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.ports import (
    Committed,
    Conflict,
    FeedStore,
    StoreUnavailableError,
)
from cassiahatch_kernel.store_versions import get_era
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.member_records import encode_member
from cassiahatch_node.mesh.own_backend import Announcement, BackendState
from cassiahatch_node.mesh.record_confirmation import RecordConfirmation, RecordOrigin
from cassiahatch_node.mesh.store_sync import MEMBER_TABLE, StoreSync

RETRY_BACKOFF_S = 0.25
"""Mean backoff after a write that failed or conflicted."""
MS_PER_S = 1000


class Registration:
    """Keeps this node's member record up to date in the store.

    Each write is conditional on the last known version of the row (compare-and-set), so
    that a write which the store performs late can't overwrite a newer one. The row that
    another write has left is applied before the next attempt.

    Parameters
    ----------
    own : Member
        The node's record before a backend server has announced itself.
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
        self._store_sync = store_sync
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._confirmation = RecordConfirmation()
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self._written_version = 0
        """Store version of the last write; 0 if there was none."""
        self.on_change: Callable[[bytes], None] = _ignore
        """Called with the stored encoding of the record after each change."""

    def is_confirmed(self) -> bool:
        """Return whether the stored record, or that there is none, can be relied on."""
        members, was_waiting = self._directory.members, self._confirmation.is_waiting
        stored = members.get(self.own.node_id)
        origin = RecordOrigin(
            None if stored is None else stored.store_era,
            self._store_era,
            bool(members.keys() - {self.own.node_id}),
            self._store_sync.has_informed_peer,
        )
        is_confirmed = self._confirmation.confirm(origin, self._clock.monotonic())
        if self._confirmation.is_waiting and not was_waiting:
            self._journal.note(
                "record_unconfirmed",
                record_era=origin.record_era,
                store_era=origin.store_era,
            )
        return is_confirmed

    @property
    def _store_era(self) -> int:
        return get_era(self._store_sync.members_version)

    def read_stored(self) -> Member | None:
        """Return the record that an earlier process of this node wrote, or None.

        The clock of the earlier process may have been ahead. If its incarnation is not
        lower than the current one, this process takes the next higher incarnation.
        """
        stored = self._directory.members.get(self.own.node_id)
        if stored is None or stored.version == self.own.version:
            return None
        if stored.incarnation >= self.own.incarnation:
            incarnation = stored.incarnation + 1
            self.own = replace(self.own, incarnation=incarnation)
            if self.own.instance:
                self._propagate()
        return stored

    def list_departures(self) -> tuple[Process, ...]:
        """Return the processes that this node's records, or peers, say have left."""
        return self._directory.list_departures(self.own.node_id)

    def publish_departures(self, departed: tuple[Process, ...]) -> None:
        """Propagate departures while no backend server is announced."""
        self.own = replace(self.own, sequence=self.own.sequence + 1, departed=departed)
        self._propagate()

    def publish(
        self, announcement: Announcement, departed: tuple[Process, ...]
    ) -> None:
        """Update the record from an announcement, and propagate it to the fleet.

        Parameters
        ----------
        departed : tuple of Process
            Processes of the backend server that have left.
        """
        is_ready = announcement.state is BackendState.READY
        self.own = replace(
            self.own,
            sequence=self.own.sequence + 1,
            state=MemberState.READY if is_ready else MemberState.DRAINING,
            service=announcement.service,
            slots=announcement.slots,
            instance=announcement.instance,
            born_ms=announcement.born_ms,
            departed=departed,
        )
        self._propagate()

    async def wait_written(self, timeout_s: float) -> bool:
        """Wait until the newest record is stored; return False if that timed out."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._written.wait()
        except TimeoutError:
            return False
        return True

    def _propagate(self) -> None:
        self.own = replace(self.own, store_era=self._store_era)
        self._directory.update(self.own)
        self._written.clear()
        self._changed.set()
        self.on_change(encode_member(self.own))

    def restore(self) -> None:
        """Write the record again if the store may have lost it.

        That is so once, when the members are known of a later era than that in which it
        was written.
        """
        era = self._store_era
        if self._written_version and get_era(self._written_version) < era:
            self._journal.note("row_restored", era=era)
            self.own = replace(self.own, store_era=era)
            self._written_version = 0
            self._written.clear()
            self._changed.set()

    async def run(self) -> None:
        """Write the row after each change, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            while not await self._write(self.own):
                await asyncio.sleep(RETRY_BACKOFF_S * (0.5 + self._random.random()))

    async def _write(self, member: Member) -> bool:
        row_versions = self._store_sync.member_row_versions
        expected = row_versions.get(member.node_id, 0)
        try:
            outcome = await self._store.write_row(
                MEMBER_TABLE, member.node_id, encode_member(member), expected
            )
        except StoreUnavailableError as error:
            self._journal.trace("row_not_written", error=error.detail)
            return False
        match outcome:
            case Conflict():
                self._store_sync.apply_conflict(outcome)
                return False
            case Committed(revision):
                row_versions[member.node_id] = revision
                self._written_version = revision
        if member.version == self.own.version:
            self._written.set()
        return True


def _ignore(record: bytes) -> None:
    """Do nothing; the default callback."""
