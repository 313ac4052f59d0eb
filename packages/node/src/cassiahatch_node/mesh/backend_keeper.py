"""What follows when the own backend server says something of itself."""

from __future__ import annotations

from collections.abc import Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import Announcement, BackendState, OwnBackend
from cassiahatch_node.mesh.registration import Registration

ACKNOWLEDGE_S = 0.5
"""Longest time that a leaving waits for the store before it is acknowledged; the
backend server gives up an acknowledgement after 1 s."""
RECALLED_SEQUENCE = -1
"""Below the sequence of any announcement."""


class BackendKeeper:
    """Takes announcements in, and tells the queue, the peers and the store.

    Parameters
    ----------
    backend : OwnBackend
        What is known of the backend server.
    registration : Registration
        The row of this node.
    resize : callable
        Hears how many calls the backend server runs at once.
    announce_load : callable
        Tells the peers whether it takes calls.
    """

    __slots__ = (
        "_announce_load",
        "_backend",
        "_clock",
        "_journal",
        "_registration",
        "_resize",
    )

    def __init__(
        self,
        backend: OwnBackend,
        registration: Registration,
        resize: Callable[[int], None],
        announce_load: Callable[[], None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._backend = backend
        self._registration = registration
        self._resize = resize
        self._announce_load = announce_load
        self._clock = clock
        self._journal = journal

    async def take(self, announcement: Announcement) -> bool:
        """Take in an announcement, and tell whether to acknowledge it."""
        known = self._backend.announcement
        if not self._backend.update(announcement, self._clock.monotonic()):
            return True
        self._spread(known is None or known.slots != announcement.slots)
        if announcement.state is BackendState.DRAINING:
            await self._registration.wait_written(ACKNOWLEDGE_S)
        return True

    async def take_leave(self, instance: str) -> bool:
        """Take in that a process leaves, and tell whether to acknowledge it."""
        if self._backend.start_draining(instance, self._clock.monotonic()):
            self._spread(False)
            await self._registration.wait_written(ACKNOWLEDGE_S)
        return True

    def recall(self) -> None:
        """Serve the backend server that an earlier process of this node knew.

        If it was leaving then, the bound of its leaving counts as passed.
        """
        stored = self._registration.read_stored()
        if stored is None or not stored.instance:
            return
        if self._backend.announcement is not None:
            return
        self._backend.restore(_read_announcement(stored), self._clock.monotonic())
        self._spread(True)

    def _spread(self, is_resized: bool) -> None:
        announcement = self._backend.announcement
        self._journal.note(
            "backend",
            instance=announcement.instance,
            service=announcement.service,
            state=announcement.state.name.lower(),
            slots=announcement.slots,
            sequence=announcement.sequence,
        )
        self._registration.publish(announcement)
        if is_resized:
            self._resize(announcement.slots)
        self._announce_load()


def _read_announcement(stored: Member) -> Announcement:
    is_ready = stored.state is MemberState.READY
    return Announcement(
        stored.instance,
        stored.service,
        "",
        stored.zone,
        stored.slots,
        BackendState.READY if is_ready else BackendState.DRAINING,
        0.0,
        RECALLED_SEQUENCE,
        stored.born_ms,
    )
