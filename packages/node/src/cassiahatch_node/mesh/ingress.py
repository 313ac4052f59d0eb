"""The door of the backend server: orders, bounds and runs the calls for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    Call,
    Lineage,
    Load,
    Lost,
    Reason,
    Rejection,
    Reply,
    Result,
)
from cassiahatch_node.mesh.backend_client import BackendLine, BackendSign
from cassiahatch_node.mesh.crash_watch import CrashWatch
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import OwnBackend
from cassiahatch_node.mesh.retry_limiter import RetryLimiter
from cassiahatch_node.mesh.spans import Hop, Spans
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.slot_queue import Job

MS_PER_S = 1000
WATCH_INTERVAL_S = 0.2
"""How often a backend server that runs calls is checked for silence."""
SILENT_AFTER_S = 0.8
"""Silence of a busy backend server after which a connection is tried: several times
the mean work of the slowest route, at a third of the usual speed."""
CRASH_LOOK_INTERVAL_S = 0.5
"""Least time between two connections that find out whether a lost call was a crash."""
SWEEP_INTERVAL_S = 0.05
"""How often calls that waited too long are looked for while any wait."""
IDLE_SWEEP_INTERVAL_S = 0.1
"""How often the cutoff and unused connections are looked at otherwise."""
OVERDUE_S = 0.25
"""How long beyond its deadline a run may go on: the backend server's own answer to that
is on its way."""


@dataclass(slots=True)
class Arrival:
    """A call that has reached the backend server's node."""

    call: Call
    reply: Callable[[Result], None]
    root_target_at: float
    """Clock seconds after which the answer to its top request loses part of its
    worth."""
    line: BackendLine | None = None
    """The connection on which it runs."""
    is_withdrawn: bool = False
    expires_at: float = float("inf")
    """Clock seconds after which the answer is useless."""
    is_overdue: bool = False
    """The backend server went on beyond that, and was made to drop it."""


class Ingress:
    """Runs calls at the backend server beside the node, within its slots.

    Parameters
    ----------
    clock : Clock
        Source of time.
    backend : OwnBackend
        The backend server.
    queue, cutoff : SlotQueue, WaitCutoff
        The plug-ins that order calls, and that tell the edge what to refuse.
    repeats : RetryLimiter
        Keeps the bound on what is owed to repeats.
    create_line : callable
        Makes what a worker uses to talk to the backend server.
    probe : callable
        Tells whether the backend server still takes connections.
    crashes : CrashWatch
        Keeps requests that crash backend servers from running.
    """

    def __init__(
        self,
        clock: Clock,
        backend: OwnBackend,
        queue: Any,
        cutoff: Any,
        repeats: RetryLimiter,
        create_line: Callable[[], BackendLine],
        probe: Callable[[], Awaitable[BackendSign]],
        crashes: CrashWatch,
        spans: Spans,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self._clock = clock
        self._backend = backend
        self._queue = queue
        self._cutoff = cutoff
        self._repeats = repeats
        self._create_line = create_line
        self._probe = probe
        self._crashes = crashes
        self._spans = spans
        self._metrics = metrics
        self._journal = journal
        self._idle: list[tuple[asyncio.Future[Job], BackendLine]] = []
        self._workers: set[asyncio.Task[None]] = set()
        self._lines: set[BackendLine] = set()
        self._heard_at = float("-inf")
        self._busy_since = float("-inf")
        self._looked_at = float("-inf")
        self.running: dict[str, Arrival] = {}
        """What the backend server runs, by the id of the call."""
        self.on_missing: Callable[[], None] = _ignore

    @property
    def load(self) -> Load:
        """How busy the backend server is."""
        queue = self._queue
        return Load(
            queue.running,
            queue.waiting,
            queue.limit,
            queue.estimate_wait_s() * MS_PER_S,
            self._cutoff.value,
            self._backend.accepts,
            self._repeats.use,
        )

    @property
    def open_count(self) -> int:
        """Calls that wait or run."""
        return self._queue.running + self._queue.waiting

    def was_repeat(self, call_id: str) -> bool:
        """Tell whether a run is or was owed to a repeat.

        One that began before the node started counts as a first one, as most are.
        """
        arrival = self.running.get(call_id)
        if arrival is not None:
            return arrival.call.lineage is not Lineage.FIRST
        return self._repeats.has_ended(call_id)

    def make_job(self, call: Call, reply: Callable[[Result], None]) -> Job:
        """Return the job of a call that has just been received."""
        now = self._clock.monotonic()
        root_target_at = now + call.root_target_ms / MS_PER_S
        expires_at = now + call.remaining_ms / MS_PER_S
        return Job(
            Arrival(call, reply, root_target_at, expires_at=expires_at),
            call.rank,
            now + call.target_ms / MS_PER_S,
            expires_at,
            call.is_top,
            root_target_at,
        )

    def accept(self, job: Job) -> None:
        """Run a job now, queue it, or reject it."""
        now = self._clock.monotonic()
        arrival: Arrival = job.payload
        obstacle = self._backend.find_refusal_reason(arrival.call.instance, now)
        if obstacle is not None:
            self._reject(arrival, Rejection(obstacle, elsewhere=True))
            return
        self._cutoff.note(arrival.call.position)
        rejection = (
            self._crashes.find_rejection(arrival.call)
            or self._repeats.find_rejection(arrival.call)
            or self._queue.offer(job, now)
        )
        if rejection is not None:
            self._reject(arrival, rejection)
            return
        self._dispatch(now)

    def withdraw(self, job: Job) -> None:
        """Forget a job, or have the backend server drop it."""
        arrival: Arrival = job.payload
        if arrival.is_withdrawn:
            return
        arrival.is_withdrawn = True
        if job.started_at:
            if arrival.line is not None:
                arrival.line.abort()
        else:
            self._queue.withdraw(job)

    def resize(self, slots: int) -> None:
        """Take in how many calls the backend server runs at once."""
        self._queue.resize(slots)
        self._dispatch(self._clock.monotonic())

    async def sweep(self) -> None:
        """Reject what waited too long, and end unused connections, for ever."""
        while True:
            is_idle = not self._queue.waiting
            await asyncio.sleep(IDLE_SWEEP_INTERVAL_S if is_idle else SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
            self._cutoff.update(self._queue.estimate_wait_s(), now)
            for job in self._queue.drop_expired(now):
                self._reject(job.payload, Rejection(Reason.QUEUE_EXPIRED))
            if self._queue.waiting:
                self._reject_obstructed(now)
            for _, line in self._idle:
                line.drop_if_idle(now)
            self._end_overdue(now)

    async def watch(self) -> None:
        """Find out, for ever, whether a silent backend server still lives."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            now = self._clock.monotonic()
            if not self.running or now - max(self._heard_at, self._busy_since) < (
                SILENT_AFTER_S
            ):
                continue
            if await self._probe() is BackendSign.ALIVE:
                self._heard_at = self._clock.monotonic()
            elif self.running:
                self._note_missing("silent")
                for line in list(self._lines):
                    line.abort()

    def close(self) -> None:
        """End all workers."""
        for task in self._workers:
            task.cancel()

    def _end_overdue(self, now: float) -> None:
        """End the runs whose callers have given up without a word."""
        for arrival in self.running.values():
            if now > arrival.expires_at + OVERDUE_S and arrival.line is not None:
                arrival.is_overdue = True
                arrival.line.abort()

    def _reject_obstructed(self, now: float) -> None:
        known = self._backend.announcement
        instance = known.instance if known is not None else ""
        obstacle = self._backend.find_refusal_reason(instance, now)
        if obstacle is not None:
            for job in self._queue.clear():
                self._reject(job.payload, Rejection(obstacle, elsewhere=True))

    def _dispatch(self, now: float) -> None:
        while True:
            job, expired = self._queue.take(now)
            for late in expired:
                self._reject(late.payload, Rejection(Reason.QUEUE_EXPIRED))
            if job is None:
                return
            self._hand_over(job)

    def _hand_over(self, job: Job) -> None:
        while self._idle:
            waiter, _ = self._idle.pop()
            if not waiter.done():
                waiter.set_result(job)
                return
        line = self._create_line()
        self._lines.add(line)
        task = asyncio.get_running_loop().create_task(self._work(line, job))
        self._workers.add(task)
        task.add_done_callback(self._forget_worker)

    async def _work(self, line: BackendLine, job: Job) -> None:
        """Run one job after the other on one connection."""
        try:
            with line:
                while True:
                    await self._run(line, job)
                    waiter = asyncio.get_running_loop().create_future()
                    self._idle.append((waiter, line))
                    self._dispatch(self._clock.monotonic())
                    job = await waiter
        finally:
            self._lines.discard(line)

    async def _run(self, line: BackendLine, job: Job) -> None:
        arrival: Arrival = job.payload
        result: Result = Lost(Reason.BACKEND_LOST)
        arrival.line = line
        if not self.running:
            self._busy_since = self._clock.monotonic()
        self.running[arrival.call.id] = arrival
        obstacle = self._backend.find_refusal_reason(
            arrival.call.instance, self._clock.monotonic()
        )
        try:
            if arrival.is_withdrawn:
                result = Rejection(Reason.CLIENT_LEFT)
            elif obstacle is not None:
                result = Rejection(obstacle, elsewhere=True)
            else:
                result = await self._pass_on(arrival, line, job.expires_at)
        finally:
            arrival.line = None
            self.running.pop(arrival.call.id, None)
            now = self._clock.monotonic()
            self._repeats.note_end(arrival.call)
            self._queue.finish(job, now, isinstance(result, Reply))
        self._metrics.sample("backend", now - job.started_at)
        self._metrics.sample("queue", job.started_at - job.queued_at)
        if self._spans.is_sampled(arrival.call.position):
            self._spans.write(
                Hop.BACKEND,
                arrival.call.id,
                now - job.queued_at,
                result,
                queue_s=round(job.started_at - job.queued_at, 5),
                instance=arrival.call.instance,
            )
        self._learn(arrival, result)
        if not arrival.is_withdrawn:
            arrival.reply(result)

    async def _pass_on(
        self, arrival: Arrival, line: BackendLine, expires_at: float
    ) -> Result:
        """Run a call at the backend server, and count its arrival there.

        The gate is asked again: others may have passed it while the call waited.
        """
        rejection = self._repeats.find_rejection(arrival.call)
        if rejection is not None:
            return rejection
        self._repeats.note_arrival(arrival.call)
        result = await line.run(arrival.call, expires_at)
        return Lost(Reason.DEADLINE) if arrival.is_overdue else result

    def _learn(self, arrival: Arrival, result: Result) -> None:
        match result:
            case Reply():
                self._heard_at = self._clock.monotonic()
                self._crashes.record_answer(arrival.call)
            case Rejection(reason=Reason.NO_BACKEND | Reason.MISDIRECTED):
                if arrival.call.instance == self._backend.instance:
                    self._note_missing(result.reason)
            case Rejection() | Lost():
                if result.reason is Reason.BACKEND_LOST and not arrival.is_withdrawn:
                    self._crashes.record_lost_call(arrival.call)
                    self._look_for_crash()
                self._metrics.count(f"backend_failures:{result.reason}")
                self._journal.trace(
                    "backend_failed",
                    request=arrival.call.id,
                    reason=result.reason,
                    instance=arrival.call.instance,
                    withdrawn=arrival.is_withdrawn,
                )

    def _look_for_crash(self) -> None:
        """Find out soon whether a lost call means that the backend server is gone."""
        now = self._clock.monotonic()
        if now - self._looked_at < CRASH_LOOK_INTERVAL_S or self._backend.is_missing:
            return
        self._looked_at = now
        task = asyncio.get_running_loop().create_task(self._check_listening())
        self._workers.add(task)
        task.add_done_callback(self._forget_worker)

    async def _check_listening(self) -> None:
        if await self._probe() is BackendSign.REFUSED:
            self._note_missing("refused")

    def _note_missing(self, reason: str) -> None:
        if not self._backend.is_missing:
            self._backend.is_missing = True
            self._journal.note("backend_missing", reason=reason)
            running = [arrival.call for arrival in self.running.values()]
            self._crashes.record_crash(self._backend.instance, running)
            self.on_missing()

    def _reject(self, arrival: Arrival, rejection: Rejection) -> None:
        self._metrics.count(f"ingress_rejections:{rejection.reason}")
        self._journal.trace(
            "rejected_at_backend",
            request=arrival.call.id,
            reason=rejection.reason,
            running=self._queue.running,
            waiting=self._queue.waiting,
            limit=self._queue.limit,
        )
        if not arrival.is_withdrawn:
            arrival.reply(rejection)

    def _forget_worker(self, task: asyncio.Task[None]) -> None:
        self._workers.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._journal.note("worker_failed", error=repr(task.exception()))


def _ignore() -> None:
    """Do nothing until somebody listens."""
