"""Selection of the backend server that a request is sent to.

The backend servers of a service are spread over several availability zones and differ
in speed. The own zone is used while it has capacity, since traffic between zones is
expensive, and a request crosses into another zone only if it would wait clearly less
there.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cassiahatch_kernel.exchanges import Load
from cassiahatch_kernel.registry import PLUGINS

MIN_ZONE_PENALTY_MS = 25.0
ZONE_PENALTY_SHARE = 0.12
"""Penalty added to the expected wait in other zones: a request accepts a wait of up to
this share of the time left until its latency target, and at least of the minimum, in
its own zone rather than cross into another."""
REPORT_TTL_S = 2.0
"""Age at which a load report expires."""
FIRST_EJECTION_S = 0.25
MAX_EJECTION_S = 4.0
"""Bounds of the time for which a failing backend server is not selected, doubled with
each consecutive ejection."""
FAILURES_TO_EJECT = 3
"""Consecutive failures after which a backend server that still responds is ejected."""
COLD_SLOT_SHARE = 0.5
"""Share of its slots that a backend server is given just after its start."""
CROWDED_SHARE = 0.7
CROWDED_WEIGHT = 2.0
"""Share of the slots in use above which a server's cost rises faster, and by how much.
Load reports are some requests old, so that the last free slots of the fastest server are
given to several requests at once."""
FAILURE_RATE_WEIGHT = 0.05
"""Weight of the newest outcome in the failure rate of a backend server."""
OUTLIER_FAILURE_RATE = 0.1
OUTLIER_FACTOR = 3.0
"""A backend server is an outlier if it fails this share of its requests, and this many
times the share of the best one of its service: a failure that all of them share has its
cause elsewhere."""
OUTLIER_PROBE_SHARE = 0.03
"""Share of the requests that an outlier may still receive, so that its recovery is
detected."""


@dataclass(slots=True)
class Endpoint:
    """State of one backend server that this node may send requests to."""

    node_id: str
    zone: str
    slots: int
    in_flight: int = 0
    """Number of requests of this node that it has not answered."""
    sent_since_report: int = 0
    """Number of requests that this node has sent to it since its last load report."""
    load: Load = field(default_factory=Load)
    reported_at: float = float("-inf")
    cold_until: float = float("-inf")
    """Monotonic seconds until which only ``COLD_SLOT_SHARE`` of its slots count."""
    failures: int = 0
    """Number of consecutive failures since the last ejection."""
    ejections: int = 0
    """Number of ejections since its last successful answer."""
    ejected_until: float = float("-inf")
    failure_rate: float = 0.0
    """Moving average of the share of its requests that it failed or did not run."""
    accepts: bool = True
    """Whether its node accepts new requests."""
    is_reachable: bool = True
    """Whether the link to it is ready."""

    def record_load(self, load: Load, now: float) -> None:
        """Record a load report."""
        self.load = load
        self.reported_at = now
        self.sent_since_report = 0
        self.accepts = load.accepts

    def record_success(self) -> None:
        """Record that it answered a request without an error."""
        self.failures = 0
        self.ejections = 0
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate

    def record_error_reply(self) -> None:
        """Record that it answered a request with an error of its own."""
        self.failures = 0
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate)

    def record_failure(self, now: float) -> None:
        """Record that it aborted a request, or did not run it."""
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate)
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Exclude it from selection for some time, longer with each ejection."""
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + ejection_s

    def estimate_wait_ms(self, now: float) -> float:
        """Return the expected wait of a request that is sent now."""
        limit = self.load.limit or self.slots
        if now < self.cold_until:
            limit = max(1, int(limit * COLD_SLOT_SHARE))
        if now - self.reported_at > REPORT_TTL_S:
            busy, wait_ms = self.in_flight, 0.0
        else:
            busy = self.load.running + self.load.waiting + self.sent_since_report
            wait_ms = self.load.wait_ms
        excess = busy - limit + 1
        if excess <= 0:
            return 0.0
        if self.load.work_ms:
            return max(wait_ms, excess * self.load.work_ms / limit)
        per_request_ms = wait_ms / (self.load.waiting + 1) if wait_ms else 1.0
        return max(wait_ms, excess * per_request_ms)

    def compute_utilization(self, now: float) -> float:
        """Return the share of its slots in use, as far as is known."""
        limit = self.load.limit or self.slots or 1
        busy = self.in_flight
        if now - self.reported_at <= REPORT_TTL_S:
            reported = self.load.running + self.load.waiting + self.sent_since_report
            busy = max(busy, reported)
        return busy / limit

    def get_work_ms(self, now: float) -> float:
        """Return the mean work time of a request; 0 if no recent report says it."""
        return self.load.work_ms if now - self.reported_at <= REPORT_TTL_S else 0.0

    def compute_cost(self, work_ms: float, utilization: float) -> float:
        """Return the work time times the share of its slots in use after a request.

        Of servers at equal cost, one that is twice as fast runs twice as many requests
        at a time. An idle one still has a cost, so that the fastest idle one is chosen.
        """
        crowding = CROWDED_WEIGHT * max(0.0, utilization - CROWDED_SHARE)
        return work_ms * (
            utilization + 1 / (self.load.limit or self.slots or 1) + crowding
        )


def is_outlier(endpoint: Endpoint, endpoints: Iterable[Endpoint]) -> bool:
    """Return whether a backend server fails clearly more often than others do."""
    if endpoint.failure_rate < OUTLIER_FAILURE_RATE:
        return False
    return _fails_more(endpoint, min(other.failure_rate for other in endpoints))


def _fails_more(endpoint: Endpoint, lowest_rate: float) -> bool:
    """Return whether an endpoint fails clearly more often than the best one does."""
    rate = endpoint.failure_rate
    return rate >= OUTLIER_FAILURE_RATE and rate > OUTLIER_FACTOR * lowest_rate


@PLUGINS.register("placement", "zone-wait")
class ZoneWaitPlacement:
    """Selects the endpoint of the lowest expected wait, with a penalty on other zones.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    random_source : random.Random
        Breaks ties, and selects the requests for which outliers are not excluded.
    """

    __slots__ = ("_random", "_zone")

    def __init__(self, zone: str, random_source: random.Random) -> None:
        self._zone = zone
        self._random = random_source

    def choose(
        self,
        endpoints: Iterable[Endpoint],
        excluded: set[str],
        time_to_target_ms: float,
        now: float,
    ) -> Endpoint | None:
        """Return where to send a request, or None if no endpoint can accept it.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            The service's backend servers.
        excluded : set of str
            Nodes to leave out, since they have already received this request.
        time_to_target_ms : float
            Milliseconds until the request misses its target latency.
        now : float
            Monotonic seconds.
        """
        local = self._find_local_without_wait(endpoints, excluded, now)
        if local is not None:
            return local
        reachable = [
            e for e in endpoints if e.is_reachable and e.node_id not in excluded
        ]
        eligible = [e for e in reachable if e.accepts and e.ejected_until <= now]
        if not eligible:
            eligible = [endpoint for endpoint in reachable if endpoint.accepts]
        if not eligible:
            return None
        if len(eligible) > 1 and self._random.random() >= OUTLIER_PROBE_SHARE:
            lowest_rate = min(e.failure_rate for e in eligible)
            eligible = [e for e in eligible if not _fails_more(e, lowest_rate)]
        penalty_ms = max(MIN_ZONE_PENALTY_MS, ZONE_PENALTY_SHARE * time_to_target_ms)
        has_work = all(endpoint.get_work_ms(now) for endpoint in eligible)
        return min(
            eligible,
            key=lambda endpoint: self._compute_cost(
                endpoint, penalty_ms, now, has_work
            ),
        )

    def _find_local_without_wait(
        self, endpoints: Iterable[Endpoint], excluded: set[str], now: float
    ) -> Endpoint | None:
        """Return the best endpoint of the own zone that has no expected wait.

        That is the one of the lowest cost if all of them report their work time, and
        else the least utilized one. Returns None if there is none. Nearly every request
        finds one, so that the other zones need not be searched.
        """
        best, lowest = None, float("inf")
        cheapest, lowest_cost = None, float("inf")
        for endpoint in endpoints:
            if (
                endpoint.zone == self._zone
                and endpoint.accepts
                and endpoint.is_reachable
                and endpoint.failure_rate < OUTLIER_FAILURE_RATE
                and endpoint.ejected_until <= now
                and endpoint.node_id not in excluded
                and endpoint.estimate_wait_ms(now) == 0.0
            ):
                utilization = endpoint.compute_utilization(now)
                if utilization < lowest or (
                    utilization == lowest and self._random.random() < 0.5
                ):
                    best, lowest = endpoint, utilization
                work_ms = endpoint.get_work_ms(now)
                cost = endpoint.compute_cost(work_ms, utilization)
                if cost < lowest_cost:
                    cheapest, lowest_cost = endpoint, cost
        return cheapest if lowest_cost > 0.0 else best

    def _compute_cost(
        self, endpoint: Endpoint, penalty_ms: float, now: float, has_work: bool
    ) -> tuple[float, float, float]:
        wait_ms = endpoint.estimate_wait_ms(now)
        if endpoint.zone != self._zone:
            wait_ms += penalty_ms
        cost = endpoint.compute_utilization(now)
        if has_work:
            cost = endpoint.compute_cost(endpoint.get_work_ms(now), cost)
        return wait_ms, cost, self._random.random()
