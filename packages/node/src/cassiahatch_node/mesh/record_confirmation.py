"""Whether a node that has started may rely on what it reads first from the store."""

from __future__ import annotations

from dataclasses import dataclass

MIN_WAIT_S = 1.0
"""Time for which peers are given the chance to say what they know: many times that of a
new link and its first messages."""
MAX_WAIT_S = 5.0
"""The same while no peer answers: a node that is cut off from all of them has nobody to
learn from, and its own clients still need the backend server."""


@dataclass(slots=True, frozen=True)
class RecordOrigin:
    """What a node knows of a stored record, and of those who may know a newer one."""

    record_era: int | None
    """Era of the store in which the record was written; None if there is no record, or
    it does not say."""
    store_era: int
    has_peers: bool
    """Whether there are other members."""
    has_answer: bool
    """Whether one of them that knows the members has connected since the start."""


class RecordConfirmation:
    """Decides when the record that a node reads first counts as the newest one.

    A store that has come back from an older copy may have lost a newer configuration, or
    the departure of a backend server whose node was down meanwhile. Peers may still know
    of it. So a record that was not certainly written in the present era waits for what
    they say; era 0 is that of a store which has lost nothing.
    """

    __slots__ = ("_waits_since",)

    def __init__(self) -> None:
        self._waits_since: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether peers are waited for."""
        return self._waits_since is not None

    def confirm(self, origin: RecordOrigin, now: float) -> bool:
        """Return whether to rely on the record.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if origin.store_era == 0 or origin.record_era == origin.store_era:
            return True
        if self._waits_since is None:
            self._waits_since = now
        waited_s = now - self._waits_since
        if origin.has_answer or not origin.has_peers:
            return waited_s >= MIN_WAIT_S
        return waited_s >= MAX_WAIT_S
