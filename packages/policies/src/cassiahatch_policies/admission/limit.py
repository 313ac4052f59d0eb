"""How many calls a backend server is given at once."""

from __future__ import annotations

from cassiahatch_policies.admission.ticket import Completion

START_FRACTION = 0.25
MIN_LIMIT = 1.0
SHED_FACTOR = 0.9
SHED_PAUSE_S = 0.1


class AdaptiveLimit:
    """A concurrency limit that grows while it is used and shrinks on refusals.

    Slow start first: one more for each success until the backend server sheds or
    the announced slots are reached; afterwards one more for each full round.

    Parameters
    ----------
    slots : int
        Slots that the backend server announced; the limit never passes them.
    """

    __slots__ = ("_last_shed", "_slow_start", "slots", "value")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.value = max(MIN_LIMIT, slots * START_FRACTION)
        self._slow_start = True
        self._last_shed = float("-inf")

    def observe(self, completion: Completion, saturated: bool, now: float) -> None:
        """Learn from one finished call.

        Parameters
        ----------
        completion : Completion
            How the call ended.
        saturated : bool
            Whether the limit was reached while the call ran.
        now : float
            Monotonic seconds.
        """
        match completion:
            case Completion.SHED:
                self._shrink(now)
            case Completion.SUCCEEDED if saturated:
                step = 1.0 if self._slow_start else 1.0 / self.value
                self.value = min(float(self.slots), self.value + step)

    def _shrink(self, now: float) -> None:
        self._slow_start = False
        if now - self._last_shed < SHED_PAUSE_S:
            return
        self._last_shed = now
        self.value = max(MIN_LIMIT, self.value * SHED_FACTOR)
