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
class Endpoint:
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
    ejections: int = 0
    ejected_until: float = float("-inf")
    failure_rate: float = 0.0
    """Share of its requests that it failed or did not run, newest first."""
    accepts: bool = True
    is_reachable: bool = True
    """Whether the link to it stands."""

    def record_load(self, load: Load, now: float) -> None:
        """Take in a load report."""
        self.load = load
        self.reported_at = now
        self.sent_since_report = 0
        self.accepts = load.accepts

    def record_success(self) -> None:
        """Take in that it answered."""
        self.failures = 0
        self.ejections = 0
        self.failure_rate -= RATE_WEIGHT * self.failure_rate

    def record_error_reply(self) -> None:
        """Take in that it answered with a failure of its own."""
        self.failures = 0
        self.failure_rate += RATE_WEIGHT * (1.0 - self.failure_rate)

    def record_failure(self, now: float) -> None:
        """Take in that it broke off a request, or did not run it."""
        self.failure_rate += RATE_WEIGHT * (1.0 - self.failure_rate)
        self.failures += 1
        if self.failures >= FAILURES_TO_PAUSE:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Leave it out for a while, longer each time."""
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + pause_s

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

    def compute_utilization(self, now: float) -> float:
        """Return the share of its slots in use, as far as is known."""
        limit = self.load.limit or self.slots or 1
        busy = self.in_flight
        if now - self.reported_at <= REPORT_HORIZON_S:
            reported = self.load.running + self.load.waiting + self.sent_since_report
            busy = max(busy, reported)
        return busy / limit


def is_outlier(endpoint: Endpoint, endpoints: Iterable[Endpoint]) -> bool:
    """Tell whether a backend server fails clearly more often than others do."""
    if endpoint.failure_rate < GREY_RATE:
        return False
    best = min(other.failure_rate for other in endpoints)
    return endpoint.failure_rate > GREY_FACTOR * best


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
        self, endpoints: Iterable[Endpoint], tried: set[str], left_ms: float, now: float
    ) -> Endpoint | None:
        """Return where to send a request, or None if no endpoint can take it.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            The service's backend servers.
        tried : set of str
            Nodes that already had this request.
        left_ms : float
            Milliseconds until the request misses its target latency.
        now : float
            Clock seconds.
        """
        here = self._find_room_here(endpoints, tried, now)
        if here is not None:
            return here
        fresh = [p for p in endpoints if p.is_reachable and p.node_id not in tried]
        usable = [p for p in fresh if p.accepts and p.ejected_until <= now]
        if not usable:
            usable = [endpoint for endpoint in fresh if endpoint.accepts]
        if not usable:
            return None
        if len(usable) > 1 and self._source.random() >= GREY_TRIALS:
            usable = [p for p in usable if not is_outlier(p, usable)]
        crossing_ms = max(CROSSING_WAIT_MS, CROSSING_SHARE * left_ms)
        return min(usable, key=lambda endpoint: self._cost(endpoint, crossing_ms, now))

    def _find_room_here(
        self, endpoints: Iterable[Endpoint], tried: set[str], now: float
    ) -> Endpoint | None:
        """Return the least busy endpoint of the own zone that needs no wait, if any.

        Nearly every request finds one; the other zones need no look then.
        """
        best, lowest = None, float("inf")
        for endpoint in endpoints:
            if (
                endpoint.zone == self._zone
                and endpoint.accepts
                and endpoint.is_reachable
                and endpoint.failure_rate < GREY_RATE
                and endpoint.ejected_until <= now
                and endpoint.node_id not in tried
                and endpoint.estimate_wait_ms(now) == 0.0
            ):
                share = endpoint.compute_utilization(now)
                if share < lowest or (share == lowest and self._source.random() < 0.5):
                    best, lowest = endpoint, share
        return best

    def _cost(
        self, endpoint: Endpoint, crossing_ms: float, now: float
    ) -> tuple[float, float, float]:
        wait_ms = endpoint.estimate_wait_ms(now)
        if endpoint.zone != self._zone:
            wait_ms += crossing_ms
        return wait_ms, endpoint.compute_utilization(now), self._source.random()
