"""Learned concurrency limit of the local backend server, fed by its answers."""

from __future__ import annotations

from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_node.mesh.http_messages import (
    LoadStatement,
    NoLoad,
    StatedLoad,
    UnreadableLoad,
)
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.limit_phases import LimitExplanation, LimitReason
from cassiahatch_policies.slot_queue import Job, SlotQueue

MS_PER_S = 1000


class ServerLimit:
    """Passes the runs at the backend server to the learned limit, and shows it.

    Parameters
    ----------
    queue : SlotQueue
        Starts the runs within the limit.
    limit : LearnedLimit
        The plug-in that learns the limit, which the queue follows.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_instance",
        "_is_shown",
        "_journal",
        "_limit",
        "_logged_limit",
        "_metrics",
        "_queue",
    )

    def __init__(
        self,
        queue: SlotQueue,
        limit: Any,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._limit = limit
        self._metrics = metrics
        self._journal = journal
        self._instance = ""
        """Process whose runs have been counted."""
        self._logged_limit = queue.limit
        self._is_shown = False
        """Whether the limit has been learned, so that the metrics show it."""

    @property
    def work_ms(self) -> float:
        """Mean work time of a request now, in milliseconds; 0 if unknown."""
        return self._limit.work_s * MS_PER_S

    def record_statement(self, statement: LoadStatement, instance: str) -> float | None:
        """Follow what an answer says of the load, and return the pace if it does.

        A server that states a load without a pace has no learned limit. An answer that
        says nothing changes that only if no other answer says more for a while.
        """
        match statement:
            case StatedLoad(pace=None):
                if self._limit.is_active:
                    self._limit.reset()
                    self._follow()
                return None
            case StatedLoad(pace=pace):
                if instance != self._instance:
                    self._instance = instance
                    self._limit.reset()
                    self._follow()
                return pace
            case UnreadableLoad():
                self._metrics.count("unreadable_loads")
                self._expire()
                return None
            case NoLoad():
                self._expire()
                return None

    def record_run(self, job: Job, route: str, pace: float, now: float) -> None:
        """Count a run that was answered and has made no calls of its own."""
        self._queue.observe(job, pace, now, route)
        self._log_change()

    def show(self) -> None:
        """Update the metrics, if the limit is learned or has been."""
        self._is_shown = self._is_shown or self._limit.is_active
        if not self._is_shown:
            return
        explanation: LimitExplanation = self._limit.explain()
        set_gauge = self._metrics.set_gauge
        set_gauge("server_limit", explanation.limit)
        set_gauge("server_limit_max", explanation.max_limit)
        set_gauge("server_limit_baseline_ms", explanation.baseline_ms)
        set_gauge("server_work_ms", explanation.work_ms)
        for reason in LimitReason:
            set_gauge(f"server_limit_reason:{reason}", reason is explanation.reason)

    def _expire(self) -> None:
        if self._limit.is_active:
            self._limit.expire(self._clock.monotonic())
            self._follow()

    def _follow(self) -> None:
        self._queue.follow_limit()
        self._log_change()

    def _log_change(self) -> None:
        """Log the limit if it has changed."""
        if self._queue.limit != self._logged_limit:
            self._logged_limit = self._queue.limit
            explanation: LimitExplanation = self._limit.explain()
            self._journal.trace(
                "server_limit",
                reason=explanation.reason,
                limit=explanation.limit,
                max_limit=explanation.max_limit,
                baseline_ms=round(explanation.baseline_ms, 2),
                work_ms=round(explanation.work_ms, 2),
                instance=self._instance,
            )
