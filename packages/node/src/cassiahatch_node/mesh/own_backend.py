"""What a node knows of the backend server beside it."""

from __future__ import annotations

from enum import Enum, auto

import msgspec

from cassiahatch_kernel.exchanges import Reason


class BackendState(Enum):
    """What the backend server says of itself."""

    READY = auto()
    DRAINING = auto()


class Announcement(msgspec.Struct, frozen=True):
    """What a backend server says of itself, once decoded."""

    instance: str
    """Identity of its process."""
    service: str
    address: str
    zone: str
    slots: int
    state: BackendState
    cold_s: float
    """Seconds for which it will still be slow after its start."""
    sequence: int
    """Counts its announcements."""
    born_ms: int
    """Unix milliseconds at which its process started."""


class OwnBackend:
    """The backend server beside the node.

    Parameters
    ----------
    drain_s : float
        Seconds after an acknowledged leaving in which calls may still start.
    """

    __slots__ = (
        "_left",
        "_stops_at",
        "announcement",
        "cold_until",
        "is_closed",
        "drain_s",
        "is_missing",
        "is_stopping",
    )

    def __init__(self, drain_s: float) -> None:
        self.drain_s = drain_s
        self._left: tuple[int, str] | None = None
        self._stops_at: float | None = None
        self.announcement: Announcement | None = None
        self.cold_until = float("-inf")
        self.is_missing = False
        """It refused a connection, or another process has its address."""
        self.is_stopping = False
        """The node itself is stopping."""
        self.is_closed = False
        """The node is about to end and starts no more calls."""

    def update(self, news: Announcement, now: float) -> bool:
        """Take in an announcement, and tell whether it changed what is known.

        Announcements that are older than what is known, or come from a process that
        has already said that it leaves, change nothing.
        """
        known = self.announcement
        if self._left is not None and (news.born_ms, news.instance) <= self._left:
            return False
        if known is not None and not _is_newer(news, known):
            return False
        self.announcement = news
        is_same = known is not None and known.instance == news.instance
        was_missing, self.is_missing = self.is_missing, False
        if not is_same or known.born_ms != news.born_ms:
            self._stops_at = None
        self.cold_until = now + news.cold_s
        if news.state is BackendState.DRAINING:
            self._begin_leaving(now)
        return was_missing or not is_same or _differs(news, known)

    def restore(self, announcement: Announcement, now: float) -> None:
        """Take in what an earlier process of this node knew."""
        self.announcement = announcement
        if announcement.state is BackendState.DRAINING:
            self._stops_at = now

    def start_draining(self, instance: str, now: float) -> bool:
        """Take in that a process leaves, and tell whether it is the known one."""
        known = self.announcement
        if known is None or known.instance != instance:
            return False
        self._left = (known.born_ms, instance)
        if known.state is not BackendState.DRAINING:
            self.announcement = msgspec.structs.replace(
                known, state=BackendState.DRAINING
            )
        self._begin_leaving(now)
        return True

    def find_refusal_reason(self, instance: str, now: float) -> Reason | None:
        """Return why a call for ``instance`` can't start now, or None if it can."""
        known = self.announcement
        if self.is_closed:
            return Reason.STOPPING
        if known is None or self.is_missing:
            return Reason.NO_BACKEND
        if known.instance != instance:
            return Reason.OTHER_INSTANCE
        if self._stops_at is not None and now >= self._stops_at:
            return Reason.DRAINING
        return None

    @property
    def instance(self) -> str:
        """Identity of the backend server's process; empty while none is known."""
        return self.announcement.instance if self.announcement is not None else ""

    @property
    def accepts(self) -> bool:
        """Whether peers may go on sending calls."""
        return (
            self.announcement is not None
            and not self.is_missing
            and not self.is_stopping
            and self._stops_at is None
        )

    def _begin_leaving(self, now: float) -> None:
        if self._stops_at is None:
            self._stops_at = now + self.drain_s


def _is_newer(news: Announcement, known: Announcement) -> bool:
    if news.instance == known.instance and news.born_ms == known.born_ms:
        return news.sequence > known.sequence
    return news.born_ms >= known.born_ms


def _differs(news: Announcement, known: Announcement) -> bool:
    return (news.service, news.slots, news.state) != (
        known.service,
        known.slots,
        known.state,
    )
