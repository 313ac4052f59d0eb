"""The gate of the backend server for what is owed to repeats."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Call, Lineage, Reason, Rejection
from cassiahatch_node.mesh.arrivals import ArrivalLog

ENDED_RUN_S = 10.0
"""How long an ended run that was owed to a repeat is remembered: longer than the longest
deadline of the deployments, 8 s, until which a backend server may go on with it."""


class RetryLimiter:
    """Counts what reaches the backend server, and keeps its part of the bound.

    Parameters
    ----------
    budget : RetryBudget
        The plug-in that bounds the arrivals owed to repeats.
    compute_downstream_retry_use : callable
        Returns the highest share of the repeats used below, for a route.
    arrivals : ArrivalLog
        Reports what reaches the backend server.
    """

    __slots__ = ("_arrivals", "_budget", "_clock", "_ended", "_read_use_below")

    def __init__(
        self,
        clock: Clock,
        budget: Any,
        compute_downstream_retry_use: Callable[[str], float],
        arrivals: ArrivalLog,
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._read_use_below = compute_downstream_retry_use
        self._arrivals = arrivals
        self._ended: dict[str, float] = {}
        """When runs owed to repeats ended, oldest first, by the id of the call."""

    @property
    def use(self) -> float:
        """Share of the allowed repeats that the backend server got."""
        return self._budget.read_use(self._clock.monotonic())

    def find_rejection(self, call: Call) -> Rejection | None:
        """Return why an arrival must not reach the backend server, or None."""
        if call.lineage is Lineage.FIRST:
            return None
        now, below = self._clock.monotonic(), self._read_use_below(call.route)
        if self._budget.admits(call.lineage, call.position, below, now):
            return None
        return Rejection(Reason.REPEATS_SPENT, elsewhere=True)

    def note_arrival(self, call: Call) -> None:
        """Count what is about to reach the backend server."""
        self._budget.note(call.lineage, self._clock.monotonic())
        self._arrivals.note(call.lineage)

    def note_end(self, call: Call) -> None:
        """Take in that a run has ended, or was given up."""
        now = self._clock.monotonic()
        if call.lineage is not Lineage.FIRST:
            self._ended.pop(call.id, None)
            self._ended[call.id] = now
        while self._ended and now - next(iter(self._ended.values())) > ENDED_RUN_S:
            del self._ended[next(iter(self._ended))]

    def has_ended(self, call_id: str) -> bool:
        """Tell whether a run owed to a repeat has ended a short time ago.

        A backend server may go on with a run that its node has given up.
        """
        return call_id in self._ended
