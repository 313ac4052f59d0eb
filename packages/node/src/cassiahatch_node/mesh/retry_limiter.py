"""Limit on the load that retries cause at the local backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import AttemptKind, Call, Reason, Rejection
from cassiahatch_node.mesh.arrivals import ArrivalLog

ENDED_RUN_S = 10.0
"""Time for which ended runs caused by retries are recorded. A backend server may
continue a run until its deadline; the longest deadline of the deployments is 8 s."""


class RetryLimiter:
    """Counts arrivals at the backend server, and rejects those over the retry budget.

    Parameters
    ----------
    budget : RetryBudget
        The plug-in that limits the arrivals caused by retries.
    compute_downstream_retry_use : callable
        Returns the highest share of the retry budget used downstream of a route.
    arrivals : ArrivalLog
        Logs the number of arrivals.
    """

    __slots__ = (
        "_arrivals",
        "_budget",
        "_clock",
        "_compute_downstream_retry_use",
        "_ended",
    )

    def __init__(
        self,
        clock: Clock,
        budget: Any,
        compute_downstream_retry_use: Callable[[str], float],
        arrivals: ArrivalLog,
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._compute_downstream_retry_use = compute_downstream_retry_use
        self._arrivals = arrivals
        self._ended: dict[str, float] = {}
        """End times of runs caused by retries, by call id, oldest first."""

    @property
    def use(self) -> float:
        """Share of the backend server's retry budget in use."""
        return self._budget.compute_use(self._clock.monotonic())

    def find_rejection(self, call: Call) -> Rejection | None:
        """Return the rejection for a call that exceeds the retry budget, else None."""
        if call.attempt_kind is AttemptKind.FIRST:
            return None
        now, downstream_use = (
            self._clock.monotonic(),
            self._compute_downstream_retry_use(call.route),
        )
        if self._budget.admits(call.attempt_kind, call.position, downstream_use, now):
            return None
        return Rejection(Reason.RETRY_BUDGET_EXHAUSTED, retry_elsewhere=True)

    def record_arrival(self, call: Call) -> None:
        """Count a call that is about to be sent to the backend server."""
        self._budget.record_arrival(call.attempt_kind, self._clock.monotonic())
        self._arrivals.record(call.attempt_kind)

    def record_end(self, call: Call) -> None:
        """Record that a run has ended or was aborted."""
        now = self._clock.monotonic()
        if call.attempt_kind is not AttemptKind.FIRST:
            self._ended.pop(call.id, None)
            self._ended[call.id] = now
        while self._ended and now - next(iter(self._ended.values())) > ENDED_RUN_S:
            del self._ended[next(iter(self._ended))]

    def has_recently_ended(self, call_id: str) -> bool:
        """Return whether a run caused by a retry ended within ``ENDED_RUN_S``.

        A backend server may continue a run that its node has aborted, so calls of such
        a run still count as caused by a retry.
        """
        return call_id in self._ended
