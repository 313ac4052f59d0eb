"""The limit on the calls that a backend server runs concurrently."""

from __future__ import annotations

from cassiahatch_policies.admission.ticket import Completion

INITIAL_SHARE = 0.25
"""Initial limit, as a share of the slots."""
MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.9
DECREASE_INTERVAL_S = 0.1
"""Minimum time between two decreases."""


class AdaptiveLimit:
    """A concurrency limit that rises while it is reached and falls on shed calls.

    In slow start, the limit rises by one for each success. Once the backend server
    has shed a call, it rises by one for every ``value`` successes.

    Parameters
    ----------
    slots : int
        Slots that the backend server announced; the limit never exceeds them.
    """

    __slots__ = ("_last_decrease", "_slow_start", "slots", "value")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.value = max(MIN_LIMIT, slots * INITIAL_SHARE)
        self._slow_start = True
        self._last_decrease = float("-inf")

    def observe(self, completion: Completion, saturated: bool, now: float) -> None:
        """Update the limit with the completion of one call.

        Parameters
        ----------
        completion : Completion
            How the call ended.
        saturated : bool
            Whether the limit was reached when the call ended.
        now : float
            Monotonic seconds.
        """
        match completion:
            case Completion.SHED:
                self._decrease(now)
            case Completion.SUCCEEDED if saturated:
                step = 1.0 if self._slow_start else 1.0 / self.value
                self.value = min(float(self.slots), self.value + step)

    def _decrease(self, now: float) -> None:
        self._slow_start = False
        if now - self._last_decrease < DECREASE_INTERVAL_S:
            return
        self._last_decrease = now
        self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
