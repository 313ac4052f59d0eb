"""The queue in front of one backend server.

Answers the load of a service that is asked for more than its slots can run: the node
never gives the backend server more than it can run at once, and what waits is
ordered, bounded by what can still be answered in time, and refused truthfully.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass
from typing import Any

from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_kernel.registry import PLUGINS

FULL_SHARE = 0.95
"""Share of the slots in use beyond which backend servers slow down."""
FIRST_SERVICE_S = 0.05
"""Expected service time before any run has ended."""
SERVICE_TIME_WEIGHT = 0.05
"""Weight of the newest run in the mean service time."""
RANK_DELAY_S = 0.1
"""How much later than its target a job of the next rank takes its turn: the shortest
target latency of the deployments."""
EXPIRY_LEAD_S = 0.06
"""How long before its time is over a waiting job is given up: its caller is told in
time that it was not run. Longer than the node takes to look for such jobs."""
NEEDED_SHARE = 1.2
"""Part of the mean service time that a job which waited must still have left."""
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
"""Bounds of the pause that a refused caller is asked for."""


@dataclass(slots=True)
class Job:
    """A call that waits for a slot, or runs."""

    payload: Any
    """What the owner of the queue runs."""
    rank: int
    """Rank of the top request; lower goes sooner."""
    target_at: float
    """Clock seconds after which the answer loses part of its worth."""
    expires_at: float
    """Clock seconds after which the answer is useless."""
    is_root: bool = False
    """No work has been sunk into it yet."""
    root_target_at: float = 0.0
    """Clock seconds after which the answer to its top request loses part of its worth."""
    queued_at: float = 0.0
    started_at: float = 0.0
    is_withdrawn: bool = False


@PLUGINS.register("queue", "priority")
class SlotQueue:
    """Orders jobs by the target of their top request, those of lower rank sooner.

    A run makes many calls one after the other. In the order of arrival, each of them
    waits behind the first calls of newer requests, and under overload all are begun
    and few end in time. In the order of their top requests' targets, of two like
    requests the one begun first ends first, and one with a short target goes between
    the calls of those that have more time.

    A job never waits more than a bounded time for more urgent ones that come later:
    a strict order would starve whole kinds of request as soon as the load comes near
    what the backend server completes.

    Parameters
    ----------
    slots : int
        Requests that the backend server says it runs at once.
    """

    __slots__ = (
        "_answers",
        "_heap",
        "_numbers",
        "_service_s",
        "limit",
        "running",
        "waiting",
    )

    def __init__(self, slots: int) -> None:
        self.limit = 1
        self.running = 0
        self.waiting = 0
        self._service_s = FIRST_SERVICE_S
        self._answers = 0
        self._heap: list[tuple[float, int, Job]] = []
        self._numbers = itertools.count()
        self.resize(slots)

    def resize(self, slots: int) -> None:
        """Take in how many requests the backend server runs at once."""
        self.limit = max(1, int(slots * FULL_SHARE))

    def estimate_wait_s(self) -> float:
        """Return the expected wait of a job that arrives now."""
        if self.running + self.waiting < self.limit:
            return 0.0
        return (self.waiting + 1) * self._service_s / self.limit

    def enqueue(self, job: Job, now: float) -> Rejection | None:
        """Queue a job, or tell why it can't be answered in time."""
        wait_s = self.estimate_wait_s()
        if wait_s > 0.0 and now + wait_s + self._service_s > self._find_bound(job, now):
            return Rejection(Reason.QUEUE_FULL, self._suggest_pause(wait_s), True)
        job.queued_at = now
        turn = job.root_target_at + RANK_DELAY_S * job.rank
        heapq.heappush(self._heap, (turn, next(self._numbers), job))
        self.waiting += 1
        return None

    def withdraw(self, job: Job) -> None:
        """Take in that nobody waits for a queued job any more."""
        if not job.is_withdrawn:
            job.is_withdrawn = True
            self.waiting -= 1

    def dequeue(self, now: float) -> tuple[Job | None, list[Job]]:
        """Return the job to start now, if any, and those that waited too long."""
        expired: list[Job] = []
        while self._heap and self.running < self.limit:
            job = heapq.heappop(self._heap)[2]
            if job.is_withdrawn:
                continue
            self.waiting -= 1
            has_waited = now - job.queued_at > EXPIRY_LEAD_S
            if now >= job.expires_at or (has_waited and self._is_too_late(job, now)):
                expired.append(job)
                continue
            job.started_at = now
            self.running += 1
            return job, expired
        return None, expired

    def drop_expired(self, now: float) -> list[Job]:
        """Return the queued jobs whose time is over, and forget them."""
        expired = [
            entry[2]
            for entry in self._heap
            if not entry[2].is_withdrawn and self._is_too_late(entry[2], now)
        ]
        for job in expired:
            self.withdraw(job)
        return expired

    def clear(self) -> list[Job]:
        """Return all queued jobs, and forget them."""
        jobs = [entry[2] for entry in self._heap if not entry[2].is_withdrawn]
        self._heap.clear()
        self.waiting = 0
        return jobs

    def finish(self, job: Job, now: float, was_answered: bool) -> None:
        """Take in that a job no longer holds a slot."""
        self.running -= 1
        if was_answered:
            spent = now - job.started_at
            self._answers += 1
            weight = max(SERVICE_TIME_WEIGHT, 1 / self._answers)
            self._service_s += weight * (spent - self._service_s)

    def _find_bound(self, job: Job, now: float) -> float:
        """Return when a job must be answered to be queued.

        A top request must still meet its target: a standing queue beyond it would make
        every answer late, at the same throughput. A call of a request that runs may
        use all its time.
        """
        if job.is_root and now + self._service_s < job.target_at:
            return job.target_at
        return job.expires_at

    def _is_too_late(self, job: Job, now: float) -> bool:
        """Tell whether a job could hardly be answered in time if it started now."""
        needed_s = max(EXPIRY_LEAD_S, NEEDED_SHARE * self._service_s)
        return now + needed_s >= job.expires_at

    def _suggest_pause(self, wait_s: float) -> float:
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
