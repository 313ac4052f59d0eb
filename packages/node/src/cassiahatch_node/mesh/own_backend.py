"""State of the local backend server, built from its announcements."""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

import msgspec

from cassiahatch_kernel.departures import Departures, Process
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.exchanges import Reason

RESTORED_ADDRESS = ""
"""Address of a restored announcement: the stored record has none."""


class ForeignAnnouncementError(CodedError):
    """The announcement is not one of the local backend server."""

    code = "foreign_announcement"
    status = 403


class BackendState(Enum):
    """State that the backend server announces."""

    READY = auto()
    DRAINING = auto()


class Announcement(msgspec.Struct, frozen=True):
    """A decoded announcement of a backend server."""

    instance: str
    """Identity of the backend server's process."""
    service: str
    address: str
    zone: str
    slots: int
    state: BackendState
    cold_s: float
    """Remaining seconds in which the process is slow after its start."""
    sequence: int
    """Sequence number within the announcements of the process."""
    born_ms: int
    """Unix milliseconds at which the process started."""

    @property
    def process(self) -> Process:
        """Start and identity of the backend server's process."""
        return self.born_ms, self.instance


class Leave(msgspec.Struct, frozen=True):
    """A decoded message of a backend server that leaves without announcing a drain."""

    instance: str
    born_ms: int | None
    """Unix milliseconds at which the process started; None if it does not say."""


class OwnBackend:
    """Availability of the local backend server.

    Parameters
    ----------
    service, address : str, str
        Service and address of the backend server, from the settings. An announcement that
        names another service comes from another writer. So does one that names another
        address, unless the backend server itself knows its address by another name.
    drain_s : float
        Seconds after an acknowledged drain or leave in which calls may still start.
    """

    __slots__ = (
        "_address",
        "_stops_at",
        "announcement",
        "cold_until",
        "departures",
        "drain_s",
        "is_missing",
        "is_stopping",
        "service",
        "stop_admission",
    )

    def __init__(self, service: str, address: str, drain_s: float) -> None:
        self.service = service
        self._address = address
        self.drain_s = drain_s
        self.departures = Departures()
        """Processes that have said that they leave, whether or not the node has heard of
        them before."""
        self._stops_at: float | None = None
        self.announcement: Announcement | None = None
        self.cold_until = float("-inf")
        """Monotonic seconds until which the current process is slow after its start."""
        self.is_missing = False
        """Whether it refused a connection, did not answer a probe, or another process
        has taken over its address."""
        self.is_stopping = False
        """Whether peers have been told that the node stops."""
        self.stop_admission: Any = None
        """The plug-in that admits calls while the node stops; None before."""

    def check_origin(self, announcement: Announcement) -> None:
        """Check that an announcement is one of the local backend server.

        Raises
        ------
        ForeignAnnouncementError
            If it names another service, or another address although the backend server
            has announced itself under the one of the settings.
        """
        is_elsewhere = announcement.address != self._address
        if announcement.service != self.service or (
            is_elsewhere and self._has_announced_address()
        ):
            raise ForeignAnnouncementError(
                f"expected service {self.service!r} at {self._address}, got service "
                f"{announcement.service!r} at {announcement.address}"
            )

    def update(self, announcement: Announcement, now: float) -> bool:
        """Apply an announcement, and return whether it changed the state.

        Announcements that are older than the current one, or come from a process that
        has already announced that it leaves, are ignored: no process returns from that.
        """
        current = self.announcement
        if self._outranks(announcement):
            self.departures.forget(current.instance)
        elif self.departures.covers(announcement.process):
            return False
        elif current is not None and not _is_newer(announcement, current):
            return False
        self.announcement = announcement
        is_same_instance = (
            current is not None and current.instance == announcement.instance
        )
        was_missing, self.is_missing = self.is_missing, False
        if not is_same_instance or current.born_ms != announcement.born_ms:
            self._stops_at = None
        if announcement.cold_s > 0.0 or not is_same_instance:
            self.cold_until = now + announcement.cold_s
        if announcement.state is BackendState.DRAINING:
            self._begin_draining(now)
        return was_missing or not is_same_instance or _differs(announcement, current)

    def _has_announced_address(self) -> bool:
        current = self.announcement
        return current is not None and current.address == self._address

    def _outranks(self, announcement: Announcement) -> bool:
        """Return whether only the announcement, not the current one, names the address."""
        current = self.announcement
        return (
            current is not None
            and current.address not in (self._address, RESTORED_ADDRESS)
            and announcement.address == self._address
        )

    def restore(self, announcement: Announcement, now: float) -> None:
        """Restore the announcement that an earlier process of this node has stored."""
        if self.departures.covers(announcement.process):
            announcement = msgspec.structs.replace(
                announcement, state=BackendState.DRAINING
            )
        self.announcement = announcement
        if announcement.state is BackendState.DRAINING:
            self._begin_draining(now)
            self._stops_at = now

    def start_draining(self, instance: str, now: float) -> bool:
        """Start draining if it is the current process that leaves.

        Returns whether that was not known yet.
        """
        current = self.announcement
        if current is None or current.instance != instance:
            return False
        if self.is_leaving and current.state is BackendState.DRAINING:
            return False
        self.announcement = msgspec.structs.replace(
            current, state=BackendState.DRAINING
        )
        self._begin_draining(now)
        return True

    @property
    def has_departed(self) -> bool:
        """Whether a departure of the current process has been recorded."""
        current = self.announcement
        return current is not None and self.departures.covers(current.process)

    @property
    def leaving_process(self) -> Process | None:
        """Start and identity of the current process if it leaves."""
        if self._stops_at is None or self.announcement is None:
            return None
        return self.announcement.process

    def end_draining(self) -> None:
        """Start no more calls: the drain period began under an earlier node process."""
        self._stops_at = float("-inf")

    def find_rejection_reason(
        self, instance: str, now: float, expires_at: float = float("inf")
    ) -> Reason | None:
        """Return why a call for ``instance`` cannot start now, or None if it can.

        Parameters
        ----------
        expires_at : float, optional
            Deadline of the call in monotonic seconds; by default it has none.
        """
        current, stop = self.announcement, self.stop_admission
        if stop is not None and not stop.admits(expires_at, now):
            return Reason.STOPPING
        if current is None or self.is_missing:
            return Reason.NO_BACKEND
        if current.instance != instance:
            return Reason.OTHER_INSTANCE
        if self._stops_at is not None and now >= self._stops_at:
            return Reason.DRAINING
        return None

    @property
    def instance(self) -> str:
        """Identity of the current process; empty before the first announcement."""
        return self.announcement.instance if self.announcement is not None else ""

    @property
    def is_leaving(self) -> bool:
        """Whether the current process has said that it leaves."""
        return self._stops_at is not None

    @property
    def accepts(self) -> bool:
        """Whether peers may send calls."""
        return (
            self.announcement is not None
            and not self.is_missing
            and not self.is_stopping
            and self._stops_at is None
        )

    def _begin_draining(self, now: float) -> None:
        self.departures.record(self.announcement.process)
        if self._stops_at is None:
            self._stops_at = now + self.drain_s


def _is_newer(announcement: Announcement, current: Announcement) -> bool:
    if (
        announcement.instance == current.instance
        and announcement.born_ms == current.born_ms
    ):
        return announcement.sequence > current.sequence
    return announcement.born_ms >= current.born_ms


def _differs(announcement: Announcement, current: Announcement) -> bool:
    return (announcement.service, announcement.slots, announcement.state) != (
        current.service,
        current.slots,
        current.state,
    )
