"""Queue of calls in front of one backend server.

A service may receive more calls than its slots can run. The node never sends the
backend server more calls than it can run at once. Waiting calls are ordered and limited
to those that can still be answered in time; a call that is rejected has not been run.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import Any

from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_kernel.registry import PLUGINS

MAX_UTILIZATION = 0.95
"""Share of the slots in use above which backend servers slow down."""
INITIAL_SERVICE_S = 0.05
"""Expected service time until the first run has ended."""
SERVICE_TIME_WEIGHT = 0.05
"""Minimum weight of the newest run in the mean service time."""
RANK_DELAY_S = 0.1
"""Time per rank that is added to the latency target of a job to order the queue: the
shortest target latency of the deployments."""
EXPIRY_MARGIN_S = 0.06
"""Time before its deadline at which a waiting job expires, so that its caller is told
in time that it was not run. It is longer than the interval at which the node removes
such jobs."""
MIN_REMAINING_FACTOR = 1.2
"""Multiple of the mean service time that must be left before the deadline of a job that
has waited."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
"""Bounds of the ``Retry-After`` on rejected calls."""


@dataclass(slots=True)
class Job:
    """A call that is queued or running."""

    payload: Any
    """The object that the owner of the queue runs."""
    rank: int
    """Rank of the root request; lower ranks are more urgent."""
    target_at: float
    """Monotonic seconds at which its latency target passes; a later answer is worth
    less."""
    expires_at: float
    """Deadline in monotonic seconds, after which the answer is useless."""
    is_root: bool = False
    """Whether it is a root request, for which no work has been done yet."""
    root_target_at: float = 0.0
    """Monotonic seconds at which the latency target of its root request passes."""
    queued_at: float = 0.0
    started_at: float = 0.0
    concurrency: int = 0
    """Number of running jobs as it started, with itself."""
    started_pace: float | None = None
    """Pace that the backend server had stated when it started; None if unknown."""
    is_withdrawn: bool = False


@PLUGINS.register("queue", "priority")
class SlotQueue:
    """Orders jobs by the latency target of their root request and by their rank.

    A run makes many calls one after the other. In order of arrival, each of them would
    wait behind the first calls of newer requests, and under overload all requests would
    start and few would complete in time. In order of the targets of their root
    requests, of two similar requests the one that started first completes first, and a
    request with a short target is run between the calls of those that have more time.

    A job waits only for a bounded time for more urgent ones that arrive later. Strict
    priority would starve whole kinds of requests as soon as the load approaches the
    capacity of the backend server.

    Parameters
    ----------
    slots : int
        Number of requests that the backend server runs at once, as it announces.
    concurrency_limit : LearnedLimit, optional
        The plug-in that learns how many of its slots are of use; by default none.
    """

    __slots__ = (
        "_answer_count",
        "_concurrency_limit",
        "_heap",
        "_mean_service_s",
        "_sequence",
        "limit",
        "running",
        "waiting",
    )

    def __init__(self, slots: int, concurrency_limit: Any = None) -> None:
        self._concurrency_limit = concurrency_limit
        self.limit = 1
        self.running = 0
        self.waiting = 0
        self._mean_service_s = INITIAL_SERVICE_S
        self._answer_count = 0
        self._heap: list[tuple[float, int, Job]] = []
        self._sequence = itertools.count()
        self.resize(slots)

    def resize(self, slots: int) -> None:
        """Set the number of requests that the backend server runs at once."""
        self.limit = max(1, int(slots * MAX_UTILIZATION))
        if self._concurrency_limit is not None:
            self._concurrency_limit.resize(self.limit)

    def follow_limit(self) -> None:
        """Use the learned limit, after it may have changed."""
        self.limit = self._concurrency_limit.limit

    def observe(self, job: Job, pace: float, now: float, route: str = "") -> None:
        """Let a finished job that has made no calls of its own count for the limit.

        Parameters
        ----------
        pace : float
            Pace that its answer states.
        route : str, optional
            Route of the call.
        """
        work_s = now - job.started_at
        self._concurrency_limit.observe(
            job.concurrency, work_s, pace, now, job.started_pace, route
        )
        self.follow_limit()

    def compute_concurrency(self, rate_per_s: float | None) -> int:
        """Return the number of jobs that run at once if at most a rate is started.

        Nodes that place their calls by it leave a backend server with a rate limit what
        it can start.
        """
        if rate_per_s is None:
            return self.limit
        return max(1, min(self.limit, int(rate_per_s * self._mean_service_s)))

    def estimate_wait_s(self) -> float:
        """Return the expected wait for a slot of a job that arrives now."""
        if self.running + self.waiting < self.limit:
            return 0.0
        return (self.waiting + 1) * self._mean_service_s / self.limit

    def enqueue(
        self, job: Job, now: float, wait_s: float | None = None
    ) -> Rejection | None:
        """Queue a job, or return a rejection if it can't be answered in time.

        Parameters
        ----------
        wait_s : float, optional
            Expected wait in seconds; by default that for a slot.
        """
        if wait_s is None:
            wait_s = self.estimate_wait_s()
        if (
            wait_s > 0.0
            and now + wait_s + self._mean_service_s > self._compute_latest_end(job, now)
        ):
            return Rejection(Reason.QUEUE_FULL, self._compute_retry_after(wait_s), True)
        job.queued_at = now
        sort_key = job.root_target_at + RANK_DELAY_S * job.rank
        heapq.heappush(self._heap, (sort_key, next(self._sequence), job))
        self.waiting += 1
        return None

    def withdraw(self, job: Job) -> None:
        """Remove a queued job whose caller no longer waits for the answer."""
        if not job.is_withdrawn:
            job.is_withdrawn = True
            self.waiting -= 1

    def dequeue(self, now: float) -> tuple[Job | None, list[Job]]:
        """Return the job to start now, or None, and the jobs found to have expired."""
        expired: list[Job] = []
        while self._heap and self.running < self.limit:
            job = heapq.heappop(self._heap)[2]
            if job.is_withdrawn:
                continue
            self.waiting -= 1
            has_waited = now - job.queued_at > EXPIRY_MARGIN_S
            if now >= job.expires_at or (has_waited and self._is_too_late(job, now)):
                expired.append(job)
                continue
            job.started_at = now
            self.running += 1
            job.concurrency = self.running
            if self._concurrency_limit is not None:
                job.started_pace = self._concurrency_limit.pace
            return job, expired
        return None, expired

    def drop_expired(self, now: float) -> list[Job]:
        """Remove and return the queued jobs that would miss their deadline."""
        expired = [
            entry[2]
            for entry in self._heap
            if not entry[2].is_withdrawn and self._is_too_late(entry[2], now)
        ]
        for job in expired:
            self.withdraw(job)
        return expired

    def clear(self) -> list[Job]:
        """Remove and return all queued jobs."""
        jobs = [entry[2] for entry in self._heap if not entry[2].is_withdrawn]
        self._heap.clear()
        self.waiting = 0
        return jobs

    def finish(self, job: Job, now: float, was_answered: bool) -> None:
        """Release the slot of a job; an answered one updates the mean service time."""
        self.running -= 1
        if was_answered:
            service_s = now - job.started_at
            self._answer_count += 1
            weight = max(SERVICE_TIME_WEIGHT, 1 / self._answer_count)
            self._mean_service_s += weight * (service_s - self._mean_service_s)

    def _compute_latest_end(self, job: Job, now: float) -> float:
        """Return the time by which a job must be answered; it is queued only if it can.

        A root request must still meet its latency target: a standing queue that exceeds
        the target would make every answer late, at the same throughput. A call that is
        made by a run may use all the time until its deadline.
        """
        if job.is_root and now + self._mean_service_s < job.target_at:
            return job.target_at
        return job.expires_at

    def _is_too_late(self, job: Job, now: float) -> bool:
        """Return whether a job would probably miss its deadline if it started now."""
        needed_s = max(EXPIRY_MARGIN_S, MIN_REMAINING_FACTOR * self._mean_service_s)
        return now + needed_s >= job.expires_at

    def _compute_retry_after(self, wait_s: float) -> float:
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
