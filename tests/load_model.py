"""Model of an overloaded service deep in a call graph, in virtual time.

Measures which requests of each rank complete, with the policies of the nodes but
without a network: the edge admits root requests by the cutoff that was last reported to
it, and each admitted request makes its calls one after the other to the service's only
backend server.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import Any

from cassiahatch_policies.cutoff import PathCutoff, WaitCutoff
from cassiahatch_policies.slot_queue import Job, SlotQueue

SLOTS = 18
SERVICE_TIME_S = 0.015
"""Mean service time of a call."""
REPORT_DELAY_S = 0.002
"""Time until a result, and the cutoff that it reports, reaches the edge."""
CALL_GAP_S = 0.01
"""Time that the upstream services work between two calls."""
FIRST_CALL_DELAY_S = 0.06
"""Time that the upstream services work before the first call."""
CALL_TARGET_S = 0.3
CALL_TIMEOUT_S = 0.7
TICK_INTERVAL_S = 0.05


@dataclass(slots=True, frozen=True)
class RequestKind:
    """A kind of root request."""

    rank: int
    share: float
    """Relative share of the root requests."""
    calls: int
    """Number of calls that a request makes to the service."""
    target_s: float
    """Target latency."""


REQUEST_KINDS = (
    RequestKind(0, 0.19, 8, 1.2),
    RequestKind(1, 0.13, 1, 0.15),
    RequestKind(2, 0.43, 4, 1.2),
)


@dataclass(slots=True)
class RootRequest:
    """State of a root request."""

    kind: RequestKind
    position: float
    started_at: float
    calls_left: int
    calls_done: int = 0
    completed_at: float | None = None
    """Time at which all its calls had been answered; None if some were not."""
    is_rejected: bool = False
    """Whether the edge rejected it."""


@dataclass(slots=True)
class SimulationResult:
    """Root requests of a simulation, and the number of calls that were answered."""

    requests: list[RootRequest] = field(default_factory=list)
    calls_done: int = 0

    def compute_completed_share(self, rank: int, begin: float, end: float) -> float:
        """Return the share of a rank's requests that completed.

        Only requests that started at ``begin`` or later, and before ``end``, count.
        """
        requests = [
            request
            for request in self.requests
            if request.kind.rank == rank and begin <= request.started_at < end
        ]
        return sum(request.completed_at is not None for request in requests) / max(
            1, len(requests)
        )

    def compute_useful_call_share(self) -> float:
        """Return the share of answered calls that belong to completed requests."""
        useful = sum(r.calls_done for r in self.requests if r.completed_at is not None)
        return useful / max(1, self.calls_done)

    def compute_in_target_share(
        self, begin: float, end: float, rank: int | None = None
    ) -> float:
        """Return the share of the admitted requests that met their target latency."""
        admitted = [
            request
            for request in self.requests
            if not request.is_rejected
            and begin <= request.started_at < end
            and rank in (None, request.kind.rank)
        ]
        in_target = sum(
            request.completed_at is not None
            and request.completed_at - request.started_at <= request.kind.target_s
            for request in admitted
        )
        return in_target / max(1, len(admitted))


class LoadModel:
    """Simulates a load that drops at a given time.

    Parameters
    ----------
    load : float
        Demand as a multiple of the capacity until ``load_drop_at``; half of the
        capacity from then on.
    load_drop_at : float
        Seconds from the start.
    seed : int
        Seed of the arrivals and service times.
    uses_root_targets : bool
        Whether calls are ordered by the latency target of their root request.
        Otherwise each call has a target of its own, which starts with its arrival.
    """

    def __init__(
        self,
        load: float,
        load_drop_at: float,
        seed: int,
        uses_root_targets: bool = True,
    ) -> None:
        self._load = load
        self._load_drop_at = load_drop_at
        self._uses_root_targets = uses_root_targets
        self._random = random.Random(seed)
        self._queue = SlotQueue(SLOTS)
        self._cutoff = WaitCutoff()
        self._path_cutoff = PathCutoff()
        self._events: list[tuple[float, int, Any]] = []
        self._sequence = itertools.count()
        self._result = SimulationResult()
        self._now = 0.0
        shares = sum(kind.share for kind in REQUEST_KINDS)
        calls = sum(kind.share * kind.calls for kind in REQUEST_KINDS) / shares
        self._capacity_per_s = self._queue.limit / SERVICE_TIME_S / calls

    def simulate(self, duration_s: float) -> SimulationResult:
        """Run the simulation for ``duration_s`` seconds and return its result."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._tick)
        while self._events[0][0] < duration_s:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        return self._result

    def _schedule(self, delay_s: float, callback: Any) -> None:
        entry = (self._now + delay_s, next(self._sequence), callback)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        load = self._load if self._now < self._load_drop_at else 0.5
        self._schedule(
            self._random.expovariate(self._capacity_per_s * load), self._arrive
        )
        weights = [kind.share for kind in REQUEST_KINDS]
        kind = self._random.choices(REQUEST_KINDS, weights)[0]
        position = kind.rank + self._random.random()
        request = RootRequest(kind, position, self._now, kind.calls)
        self._result.requests.append(request)
        if self._path_cutoff.admits(position, self._now):
            self._schedule(FIRST_CALL_DELAY_S, lambda: self._call(request))
        else:
            request.is_rejected = True

    def _call(self, request: RootRequest) -> None:
        now = self._now
        self._cutoff.record_arrival(request.position)
        target_at = now + CALL_TARGET_S
        if self._uses_root_targets:
            target_at = request.started_at + request.kind.target_s
        job = Job(
            request,
            request.kind.rank,
            now + CALL_TARGET_S,
            now + CALL_TIMEOUT_S,
            request.kind.calls == 1,
            target_at,
        )
        if self._queue.enqueue(job, now) is None:
            self._dispatch()

    def _dispatch(self) -> None:
        while True:
            job, _ = self._queue.dequeue(self._now)
            if job is None:
                return
            delay_s = self._random.expovariate(1 / SERVICE_TIME_S)
            self._schedule(delay_s, lambda job=job: self._finish(job))

    def _finish(self, job: Job) -> None:
        request: RootRequest = job.payload
        self._queue.finish(job, self._now, True)
        self._result.calls_done += 1
        request.calls_done += 1
        request.calls_left -= 1
        value = self._cutoff.value
        self._schedule(
            REPORT_DELAY_S, lambda: self._path_cutoff.observe(value, self._now)
        )
        if request.calls_left:
            self._schedule(CALL_GAP_S, lambda: self._call(request))
        else:
            request.completed_at = self._now
        self._dispatch()

    def _tick(self) -> None:
        self._schedule(TICK_INTERVAL_S, self._tick)
        self._cutoff.update(self._queue.estimate_wait_s(), self._now)
        self._queue.drop_expired(self._now)
        self._dispatch()
