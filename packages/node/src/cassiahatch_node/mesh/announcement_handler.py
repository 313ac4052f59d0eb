"""Handling of announcements from the local backend server."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.departures import Process
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import (
    RESTORED_ADDRESS,
    Announcement,
    BackendState,
    Leave,
    OwnBackend,
)
from cassiahatch_node.mesh.registration import Registration

ACKNOWLEDGE_TIMEOUT_S = 0.8
"""Longest time that the acknowledgement of a draining or leaving backend server waits
for the store. The backend server waits 1 s for an acknowledgement."""
MAX_EARLY = 8
"""Announcements that wait for the stored record: more than a backend server sends until
the store has been read."""
RESTORED_SEQUENCE = -1
"""Sequence of a restored announcement, lower than that of any received one."""
MS_PER_S = 1000


class AnnouncementHandler:
    """Applies announcements and propagates them to the queue, the peers and the store.

    Parameters
    ----------
    backend : OwnBackend
        State of the local backend server.
    registration : Registration
        Member record of this node.
    resize : callable
        Called with the number of calls that the backend server runs at once.
    broadcast_load : callable
        Tells the peers whether the backend server accepts calls.
    """

    __slots__ = (
        "_backend",
        "_broadcast_load",
        "_clock",
        "_early",
        "_is_restored",
        "_journal",
        "_registration",
        "_resize",
    )

    def __init__(
        self,
        backend: OwnBackend,
        registration: Registration,
        resize: Callable[[int], None],
        broadcast_load: Callable[[], None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._backend = backend
        self._registration = registration
        self._resize = resize
        self._broadcast_load = broadcast_load
        self._clock = clock
        self._journal = journal
        self._is_restored = False
        self._early: deque[Announcement] = deque(maxlen=MAX_EARLY)
        """Announcements that came before."""

    async def handle_announcement(self, announcement: Announcement) -> bool:
        """Apply an announcement, and return whether to acknowledge it.

        One that reports draining is acknowledged only once that is stored. One that comes
        before the node knows its stored record waits for that, which may say that the
        process has left.

        Raises
        ------
        ForeignAnnouncementError
            If it is not one of the local backend server.
        """
        self._backend.check_origin(announcement)
        if self._is_restored:
            self._apply(announcement)
        else:
            self._early.append(announcement)
        if announcement.state is BackendState.READY:
            return True
        return await self._keep_departure(announcement.process)

    async def handle_leave(self, leave: Leave) -> bool:
        """Record that a process is leaving, and return whether to acknowledge it.

        The node may not have heard of the process, whose heartbeats may still be on their
        way. One that does not say when it started has started before now.
        """
        born_ms = leave.born_ms
        if born_ms is None:
            born_ms = int(self._clock.wall() * MS_PER_S)
        return await self._keep_departure((born_ms, leave.instance))

    def _apply(self, announcement: Announcement) -> None:
        previous = self._backend.announcement
        if self._backend.update(announcement, self._clock.monotonic()):
            self._propagate(previous is None or previous.slots != announcement.slots)

    async def _keep_departure(self, process: Process) -> bool:
        """Record that a process leaves, and return whether that is stored.

        What only processes know is lost when they end.
        """
        born_ms, instance = process
        is_new = self._backend.departures.record(process)
        if is_new:
            self._journal.note(
                "departure",
                instance=instance,
                born_ms=born_ms,
                current=self._backend.instance,
                restored=self._is_restored,
            )
        if not self._is_restored:
            return False
        if self._backend.has_departed:
            is_new = not self.handle_leaving() and is_new
        if is_new:
            self._publish()
        is_stored = await self._registration.wait_written(ACKNOWLEDGE_TIMEOUT_S)
        if not is_stored:
            self._journal.note("departure_not_stored", instance=instance)
        return is_stored

    def handle_leaving(self) -> bool:
        """Record that the current process leaves, and return whether that is new."""
        backend = self._backend
        is_new = backend.start_draining(backend.instance, self._clock.monotonic())
        if is_new:
            self._propagate(False)
        return is_new

    @property
    def is_restored(self) -> bool:
        """Whether this node's stored record is known, or that there is none."""
        return self._is_restored

    def apply_stored(self) -> None:
        """Follow this node's stored record, and then what was announced before it."""
        if not (self._is_restored or self._registration.is_confirmed()):
            return
        is_first, self._is_restored = not self._is_restored, True
        self._restore()
        while self._early:
            self._apply(self._early.popleft())
        has_departures = bool(self._backend.departures.list_processes())
        if is_first and self._backend.announcement is None and has_departures:
            self._publish()

    def _restore(self) -> None:
        """Restore what an earlier process of this node, or a peer, knew.

        If the backend server was already draining, its drain period counts as over. Once
        one has been announced, only that is restored.
        """
        stored = self._registration.read_stored()
        self._backend.departures.merge(self._registration.list_departures())
        if self._backend.announcement is None:
            if stored is not None and stored.instance:
                self._restore_announcement(stored)
        elif self._backend.has_departed and not self._backend.is_leaving:
            self.handle_leaving()
            self._backend.end_draining()

    def _restore_announcement(self, stored: Member) -> None:
        """Restore the backend server that an earlier process of this node registered.

        A record of another service was written by someone else.
        """
        if stored.service != self._backend.service:
            self._journal.note(
                "foreign_record",
                service=stored.service,
                expected=self._backend.service,
                instance=stored.instance,
            )
            return
        self._backend.restore(_read_announcement(stored), self._clock.monotonic())
        self._propagate(True)

    def _propagate(self, is_resized: bool) -> None:
        announcement = self._backend.announcement
        self._journal.note(
            "backend",
            instance=announcement.instance,
            service=announcement.service,
            state=announcement.state.name.lower(),
            slots=announcement.slots,
            sequence=announcement.sequence,
        )
        self._publish()
        if is_resized:
            self._resize(announcement.slots)
        self._broadcast_load()

    def _publish(self) -> None:
        departed = self._backend.departures.list_processes()
        if self._backend.announcement is None:
            self._registration.publish_departures(departed)
        else:
            self._registration.publish(self._backend.announcement, departed)


def _read_announcement(stored: Member) -> Announcement:
    is_ready = stored.state is MemberState.READY
    return Announcement(
        stored.instance,
        stored.service,
        RESTORED_ADDRESS,
        stored.zone,
        stored.slots,
        BackendState.READY if is_ready else BackendState.DRAINING,
        0.0,
        RESTORED_SEQUENCE,
        stored.born_ms,
    )
