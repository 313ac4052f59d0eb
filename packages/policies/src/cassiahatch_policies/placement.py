"""The choice of the backend server that a request is sent to.

Answers the load of a service whose backend servers stand in several availability
zones and differ in speed: the own zone is used while it has room, since bytes between
zones are dear, and a request crosses only where it would wait clearly less.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cassiahatch_kernel.exchanges import Load
from cassiahatch_kernel.registry import PLUGINS

CROSSING_WAIT_MS = 25.0
"""Least wait that a request accepts in its own zone before it crosses into another."""
CROSSING_SHARE = 0.12
"""Share of the time left to its target that a request rather waits than crosses."""
REPORT_HORIZON_S = 2.0
"""Age at which a load report says nothing any more."""
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
"""Pauses after a failure of a backend server, doubled with each in a row."""
FAILURES_TO_PAUSE = 3
"""Failures in a row before a backend server that still answers is left out."""
COLD_SHARE = 0.5
"""Share of its slots that a backend server is given just after its start."""


RATE_WEIGHT = 0.05
"""Weight of the newest answer in a backend server's rate of failures."""
GREY_RATE = 0.1
GREY_FACTOR = 3.0
"""A backend server is grey if it fails this share of its requests, and this many times
the share of the best of its service: a failure that all share lies elsewhere."""
GREY_TRIALS = 0.03
"""Share of the requests that a grey backend server still gets, so that its recovery
is seen."""


@dataclass(slots=True)
class Place:
    """What this node knows of one backend server that it may send requests to."""

    node_id: str
    zone: str
    slots: int
    in_flight: int = 0
    """Requests of this node that it has not answered."""
    sent_since_report: int = 0
    load: Load = field(default_factory=Load)
    reported_at: float = float("-inf")
    cold_until: float = float("-inf")
    failures: int = 0
    pauses: int = 0
    paused_until: float = float("-inf")
    failure_rate: float = 0.0
    """Share of its requests that it failed or did not run, newest first."""
    accepts: bool = True
    is_reachable: bool = True
    """Whether the link to it stands."""

    def report(self, load: Load, now: float) -> None:
        """Take in a load report."""
        self.load = load
        self.reported_at = now
        self.sent_since_report = 0
        self.accepts = load.accepts

    def succeed(self) -> None:
        """Take in that it answered."""
        self.failures = 0
        self.pauses = 0
        self.failure_rate -= RATE_WEIGHT * self.failure_rate

    def answer_failure(self) -> None:
        """Take in that it answered with a failure of its own."""
        self.failures = 0
        self.failure_rate += RATE_WEIGHT * (1.0 - self.failure_rate)

    def fail(self, now: float) -> None:
        """Take in that it broke off a request, or did not run it."""
        self.failure_rate += RATE_WEIGHT * (1.0 - self.failure_rate)
        self.failures += 1
        if self.failures >= FAILURES_TO_PAUSE:
            self.pause(now)

    def pause(self, now: float) -> None:
        """Leave it out for a while, longer each time."""
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.pauses)
        self.pauses += 1
        self.failures = 0
        self.paused_until = now + pause_s

    def estimate_wait_ms(self, now: float) -> float:
        """Return the expected wait of a request that is sent now."""
        limit = self.load.limit or self.slots
        if now < self.cold_until:
            limit = max(1, int(limit * COLD_SHARE))
        if now - self.reported_at > REPORT_HORIZON_S:
            busy, wait_ms = self.in_flight, 0.0
        else:
            busy = self.load.running + self.load.waiting + self.sent_since_report
            wait_ms = self.load.wait_ms
        over = busy - limit + 1
        if over <= 0:
            return 0.0
        per_job_ms = wait_ms / (self.load.waiting + 1) if wait_ms else 1.0
        return max(wait_ms, over * per_job_ms)

    def weigh(self, now: float) -> float:
        """Return the share of its slots in use, as far as is known."""
        limit = self.load.limit or self.slots or 1
        busy = self.in_flight
        if now - self.reported_at <= REPORT_HORIZON_S:
            reported = self.load.running + self.load.waiting + self.sent_since_report
            busy = max(busy, reported)
        return busy / limit


def is_grey(place: Place, places: Iterable[Place]) -> bool:
    """Tell whether a backend server fails clearly more often than others do."""
    if place.failure_rate < GREY_RATE:
        return False
    best = min(other.failure_rate for other in places)
    return place.failure_rate > GREY_FACTOR * best


@PLUGINS.register("placement", "zone-wait")
class ZoneWaitPlacement:
    """Least expected wait; crossing zones costs a fixed wait.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    source : random.Random
        Breaks ties.
    """

    __slots__ = ("_source", "_zone")

    def __init__(self, zone: str, source: random.Random) -> None:
        self._zone = zone
        self._source = source

    def choose(
        self, places: Iterable[Place], tried: set[str], left_ms: float, now: float
    ) -> Place | None:
        """Return where to send a request, or None if no place can take it.

        Parameters
        ----------
        places : iterable of Place
            The service's backend servers.
        tried : set of str
            Nodes that already had this request.
        left_ms : float
            Milliseconds until the request misses its target latency.
        now : float
            Clock seconds.
        """
        here = self._find_room_here(places, tried, now)
        if here is not None:
            return here
        fresh = [p for p in places if p.is_reachable and p.node_id not in tried]
        usable = [p for p in fresh if p.accepts and p.paused_until <= now]
        if not usable:
            usable = [place for place in fresh if place.accepts]
        if not usable:
            return None
        if len(usable) > 1 and self._source.random() >= GREY_TRIALS:
            usable = [p for p in usable if not is_grey(p, usable)]
        crossing_ms = max(CROSSING_WAIT_MS, CROSSING_SHARE * left_ms)
        return min(usable, key=lambda place: self._cost(place, crossing_ms, now))

    def _find_room_here(
        self, places: Iterable[Place], tried: set[str], now: float
    ) -> Place | None:
        """Return the least busy place of the own zone that needs no wait, if any.

        Nearly every request finds one; the other zones need no look then.
        """
        best, lowest = None, float("inf")
        for place in places:
            if (
                place.zone == self._zone
                and place.accepts
                and place.is_reachable
                and place.failure_rate < GREY_RATE
                and place.paused_until <= now
                and place.node_id not in tried
                and place.estimate_wait_ms(now) == 0.0
            ):
                share = place.weigh(now)
                if share < lowest or (share == lowest and self._source.random() < 0.5):
                    best, lowest = place, share
        return best

    def _cost(
        self, place: Place, crossing_ms: float, now: float
    ) -> tuple[float, float, float]:
        wait_ms = place.estimate_wait_ms(now)
        if place.zone != self._zone:
            wait_ms += crossing_ms
        return wait_ms, place.weigh(now), self._source.random()
