"""Whether a node that has started may rely on its stored record."""

from __future__ import annotations

from dataclasses import dataclass

MIN_WAIT_S = 1.0
"""Time for which peers are given the chance to say what they know of the node: many times
that of a new link and its first messages."""
MAX_WAIT_S = 5.0
"""The same while no peer answers: a node that is cut off from all of them has nobody to
learn from, and its own clients still need the backend server."""


@dataclass(slots=True, frozen=True)
class RecordOrigin:
    """What a node knows of its stored record, and of those who may know a newer one."""

    record_era: int | None
    """Era of the store in which the record was written; None if there is no record."""
    store_era: int
    has_peers: bool
    """Whether there are other members."""
    has_answer: bool
    """Whether one of them that knows the members has connected since the start."""


class RecordConfirmation:
    """Decides when a node's stored record counts as its newest one.

    A store that has come back from an older copy may have lost the departure of a backend
    server whose node was down meanwhile. Peers may still know of it. So a record that was
    written in an earlier era, or is missing in a later one, waits for what they say.
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
