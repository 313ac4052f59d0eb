"""The cutoff that lets the edge refuse requests before work is sunk into them.

Answers the load of a service deep in the call graph that is asked for more than it
completes: the node beside its backend server lowers a cutoff, which travels back on
results, and nodes at the edge refuse the top requests that lie beyond it. A request's
position is its rank plus a hash of its identity, so that all nodes refuse the same
requests, least urgent first, and those that are let in stay whole.
"""

from __future__ import annotations

from dataclasses import dataclass

from cassiahatch_kernel.exchanges import OPEN_CUTOFF
from cassiahatch_kernel.registry import PLUGINS

STEP_INTERVAL_S = 0.2
"""Time between changes: requests let in before the last one have arrived by then."""
HIGH_WAIT_S = 0.08
"""Expected wait beyond which the cutoff falls: a tenth of a second is the shortest
target latency of the deployments, and the work itself needs a part of it."""
LOW_WAIT_S = 0.02
"""Expected wait below which the cutoff rises."""
DOWN_STEP = 0.12
UP_STEP = 0.05
FAST_FACTOR = 2.0
"""Changes of the cutoff, in ranks: the fall is doubled when the wait is far beyond its
bound, the rise with each step in a row, so that a second after the load all is open."""
OPENING_STEPS = 2
"""Steps in a row with a short wait after which all is let in."""
RELAPSE_S = 2.0
"""Time after that in which a long wait puts the last cutoff in force again at once."""
REPORT_FRESH_S = 0.6
"""Age at which a reported cutoff is no longer sure: the edge then lets single requests
in to hear of it."""
PROBE_INTERVAL_S = 0.2
"""Time between two such requests of a route at one node."""
STALE_S = 2.0
"""Age at which a reported cutoff says nothing any more."""
SMOOTHING = 0.2
"""Weight of the newest report: results of one route come from several backend servers
that do not share a cutoff."""
EASING_SHARE = 0.9
"""A wait that has fallen to this share of the last one needs no further step: the queue
that stood before the last steps took effect still drains."""
LEAST_CUTOFF = 0.6
"""The most urgent requests are never refused altogether."""


@PLUGINS.register("cutoff", "wait")
class WaitCutoff:
    """Lowers the cutoff while the queue is long, and raises it while it is short."""

    __slots__ = (
        "_held",
        "_idle_steps",
        "_last_wait_s",
        "_next_step_at",
        "_opened_at",
        "_top",
        "value",
    )

    def __init__(self) -> None:
        self.value = OPEN_CUTOFF
        """Positions from here on are refused at the edge."""
        self._top = 0.0
        self._next_step_at = float("-inf")
        self._idle_steps = 0
        self._last_wait_s = 0.0
        self._held = OPEN_CUTOFF
        self._opened_at = float("-inf")

    def record_arrival(self, position: float) -> None:
        """Take in the position of a request that arrived."""
        if position > self._top:
            self._top = position

    def update(self, wait_s: float, now: float) -> None:
        """Take in the expected wait of a request that arrives now."""
        if now < self._next_step_at:
            return
        self._next_step_at = now + STEP_INTERVAL_S
        is_easing = wait_s < EASING_SHARE * self._last_wait_s
        self._last_wait_s = wait_s
        if wait_s > HIGH_WAIT_S:
            self._idle_steps = 0
            if is_easing:
                return
            if self._has_relapsed(now):
                self.value = self._held
                return
            step = DOWN_STEP * (FAST_FACTOR if wait_s > 3 * HIGH_WAIT_S else 1.0)
            start = min(self.value, self._top + UP_STEP)
            self.value = max(LEAST_CUTOFF, start - step)
        elif wait_s >= LOW_WAIT_S:
            self._idle_steps = 0
        elif self.value < OPEN_CUTOFF:
            self._idle_steps += 1
            if self._idle_steps >= OPENING_STEPS:
                self._open(now)
            else:
                self.value += UP_STEP * FAST_FACTOR**self._idle_steps

    def _open(self, now: float) -> None:
        """Let all in, and remember what held until now in case it was too soon."""
        self._held, self._opened_at = self.value, now
        self.value = OPEN_CUTOFF
        self._top = 0.0

    def _has_relapsed(self, now: float) -> bool:
        is_open = self.value == OPEN_CUTOFF
        return is_open and now - self._opened_at < RELAPSE_S


@dataclass(slots=True)
class PathCutoff:
    """The cutoff met at or below a route, smoothed over what results report."""

    value: float = OPEN_CUTOFF
    reported_at: float = float("-inf")
    probed_at: float = float("-inf")

    def observe(self, cutoff: float, now: float) -> None:
        """Take in what a result carried."""
        if now - self.reported_at > REPORT_FRESH_S:
            self.value = cutoff
        else:
            known = min(self.value, cutoff + 1.0)
            self.value = known + SMOOTHING * (min(cutoff, known + 1.0) - known)
        self.reported_at = now

    def read(self, now: float) -> float:
        """Return the cutoff to apply now."""
        if now - self.reported_at > STALE_S:
            return OPEN_CUTOFF
        return self.value

    def admits(self, position: float, now: float) -> bool:
        """Tell whether a top request may be sent on.

        Where all of a route is refused no result comes back: then one request at a
        time is let in to hear of the cutoff, and not all of them until it is heard of.
        """
        if position < self.read(now):
            return True
        last = max(self.reported_at + REPORT_FRESH_S, self.probed_at + PROBE_INTERVAL_S)
        if now < last:
            return False
        self.probed_at = now
        return True
