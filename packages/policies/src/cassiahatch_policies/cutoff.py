"""Cutoff by which the edge rejects requests before any work is done for them.

Under load, a service deep in the call graph may receive more calls than it completes,
and the work already done for the requests that fail there is lost. The node of an
overloaded backend server lowers a cutoff, which is reported back in results, and the
nodes at the edge reject the root requests whose positions lie at or above it. A
position is the rank of the request plus a hash of its id, so all nodes reject the same
requests, the least urgent first, and those that are admitted can complete.
"""

from __future__ import annotations

from dataclasses import dataclass

from cassiahatch_kernel.exchanges import OPEN_CUTOFF
from cassiahatch_kernel.registry import PLUGINS

STEP_INTERVAL_S = 0.2
"""Time between changes of the cutoff. Requests that were admitted before the last
change have arrived by then."""
HIGH_WAIT_S = 0.08
"""Expected wait above which the cutoff is lowered. The shortest target latency of the
deployments is a tenth of a second, and the work itself takes a part of it."""
LOW_WAIT_S = 0.02
"""Expected wait below which the cutoff is raised."""
DOWN_STEP = 0.12
UP_STEP = 0.05
FAST_STEP_FACTOR = 2.0
"""Steps of the cutoff, in ranks. A step down is doubled if the wait is far above
``HIGH_WAIT_S``, and steps up double with each one in a row, so that the cutoff is open
one second after an overload has ended."""
STEPS_TO_OPEN = 2
"""Consecutive steps with a short wait after which all requests are admitted."""
RECURRENCE_WINDOW_S = 2.0
"""Time after the cutoff was opened in which a long wait restores the previous cutoff at
once."""
REPORT_FRESH_S = 0.6
"""Age up to which a reported cutoff counts as current. While it is older, the edge
admits single requests as probes."""
PROBE_INTERVAL_S = 0.2
"""Time between two probes of a route by one node."""
REPORT_TTL_S = 2.0
"""Age at which a reported cutoff expires."""
REPORT_WEIGHT = 0.2
"""Weight of the newest report in the moving average. The results of a route come from
several backend servers, each of which has its own cutoff."""
FALLING_WAIT_RATIO = 0.9
"""While the wait is below this share of the previous one, the cutoff is not lowered
further: the queue from before the last steps took effect is still draining."""
MIN_CUTOFF = 0.6
"""Lower bound of the cutoff: the most urgent requests are never all rejected."""


@PLUGINS.register("cutoff", "wait")
class WaitCutoff:
    """Lowers the cutoff while the queue is long, and raises it while it is short."""

    __slots__ = (
        "_highest_position",
        "_last_wait_s",
        "_next_step_at",
        "_opened_at",
        "_short_wait_steps",
        "_value_before_open",
        "value",
    )

    def __init__(self) -> None:
        self.value = OPEN_CUTOFF
        """Position from which on the edge rejects requests."""
        self._highest_position = 0.0
        self._next_step_at = float("-inf")
        self._short_wait_steps = 0
        self._last_wait_s = 0.0
        self._value_before_open = OPEN_CUTOFF
        self._opened_at = float("-inf")

    def record_arrival(self, position: float) -> None:
        """Record the position of a request that has arrived."""
        if position > self._highest_position:
            self._highest_position = position

    def update(self, wait_s: float, now: float) -> None:
        """Update the cutoff from the expected wait of a request that arrives now."""
        if now < self._next_step_at:
            return
        self._next_step_at = now + STEP_INTERVAL_S
        is_wait_falling = wait_s < FALLING_WAIT_RATIO * self._last_wait_s
        self._last_wait_s = wait_s
        if wait_s > HIGH_WAIT_S:
            self._short_wait_steps = 0
            if is_wait_falling:
                return
            if self._has_recurred(now):
                self.value = self._value_before_open
                return
            step = DOWN_STEP * (FAST_STEP_FACTOR if wait_s > 3 * HIGH_WAIT_S else 1.0)
            start = min(self.value, self._highest_position + UP_STEP)
            self.value = max(MIN_CUTOFF, start - step)
        elif wait_s >= LOW_WAIT_S:
            self._short_wait_steps = 0
        elif self.value < OPEN_CUTOFF:
            self._short_wait_steps += 1
            if self._short_wait_steps >= STEPS_TO_OPEN:
                self._open(now)
            else:
                self.value += UP_STEP * FAST_STEP_FACTOR**self._short_wait_steps

    def _open(self, now: float) -> None:
        """Admit all requests, and save the cutoff in case the overload recurs."""
        self._value_before_open, self._opened_at = self.value, now
        self.value = OPEN_CUTOFF
        self._highest_position = 0.0

    def _has_recurred(self, now: float) -> bool:
        is_open = self.value == OPEN_CUTOFF
        return is_open and now - self._opened_at < RECURRENCE_WINDOW_S


@dataclass(slots=True)
class PathCutoff:
    """Lowest cutoff at a route's service and downstream.

    A moving average of what results report.
    """

    value: float = OPEN_CUTOFF
    reported_at: float = float("-inf")
    probed_at: float = float("-inf")

    def observe(self, cutoff: float, now: float) -> None:
        """Update the average with the cutoff that a result reported.

        A difference of more than one rank counts as one rank. An average that is not
        current is replaced.
        """
        if now - self.reported_at > REPORT_FRESH_S:
            self.value = cutoff
        else:
            mean = min(self.value, cutoff + 1.0)
            self.value = mean + REPORT_WEIGHT * (min(cutoff, mean + 1.0) - mean)
        self.reported_at = now

    def read(self, now: float) -> float:
        """Return the cutoff in force; ``OPEN_CUTOFF`` if the reports have expired."""
        if now - self.reported_at > REPORT_TTL_S:
            return OPEN_CUTOFF
        return self.value

    def admits(self, position: float, now: float) -> bool:
        """Return whether a root request may be sent, and record it if it is a probe.

        A route whose requests are all rejected returns no results, so the cutoff would
        not be reported any more. One request at a time is then admitted as a probe,
        instead of all requests until a result arrives.
        """
        if position < self.read(now):
            return True
        next_probe_at = max(
            self.reported_at + REPORT_FRESH_S, self.probed_at + PROBE_INTERVAL_S
        )
        if now < next_probe_at:
            return False
        self.probed_at = now
        return True
