"""Inbound calls of the local backend server: admission, queueing and execution."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    AttemptKind,
    Call,
    Indeterminate,
    Load,
    Reason,
    Rejection,
    Reply,
    Result,
)
from cassiahatch_node.mesh.backend_client import BackendClient, ProbeResult
from cassiahatch_node.mesh.crash_watch import CrashWatch
from cassiahatch_node.mesh.http_messages import (
    NamedRate,
    NoRate,
    ResponseMetadata,
    UnreadableRate,
)
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import OwnBackend
from cassiahatch_node.mesh.retry_limiter import RetryLimiter
from cassiahatch_node.mesh.running_calls import Arrival, RunningCalls
from cassiahatch_node.mesh.server_limit import ServerLimit
from cassiahatch_node.mesh.spans import Hop, Spans
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.slot_queue import Job

MS_PER_S = 1000
REPLY_CHECK_INTERVAL_S = 0.2
"""Interval of the check that a busy backend server still answers."""
REPLY_TIMEOUT_S = 0.8
"""Time without a reply from a busy backend server after which it is probed: several
times the mean work of the slowest route, at a third of the usual speed."""
CRASH_CHECK_INTERVAL_S = 0.5
"""Minimum time between two probes for a crash after lost calls."""
SWEEP_INTERVAL_S = 0.05
"""Interval at which expired calls are removed while the queue is not empty."""
IDLE_SWEEP_INTERVAL_S = 0.1
"""Interval of the updates of the cutoff and checks of idle connections otherwise."""
MIN_FAILURE_STATUS = 500
OVERDUE_S = 0.25
"""Time that a run may exceed its deadline before it is aborted, since the backend
server may already have sent its own deadline response."""


class Ingress:
    """Queues calls and runs them at the local backend server, within its slots.

    Parameters
    ----------
    clock : Clock
        Source of time.
    backend : OwnBackend
        State of the local backend server.
    queue, cutoff : SlotQueue, WaitCutoff
        The plug-ins that order waiting calls, and that compute the cutoff from which
        the edge rejects requests.
    retry_limiter : RetryLimiter
        Rejects calls that exceed the retry budget.
    create_backend_client : callable
        Creates the client through which a worker reaches the backend server.
    server_limit : ServerLimit
        Learns how many calls the backend server takes well.
    rate_limit : TokenBucket
        The plug-in that spaces out the calls at the rate that the backend server names.
    probe : callable
        Tests whether the backend server still accepts connections.
    crashes : CrashWatch
        Rejects quarantined requests, and records lost and answered calls.
    """

    def __init__(
        self,
        clock: Clock,
        backend: OwnBackend,
        queue: Any,
        cutoff: Any,
        retry_limiter: RetryLimiter,
        create_backend_client: Callable[[], BackendClient],
        server_limit: ServerLimit,
        rate_limit: Any,
        probe: Callable[[], Awaitable[ProbeResult]],
        crashes: CrashWatch,
        spans: Spans,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self._clock = clock
        self._backend = backend
        self._queue = queue
        self._cutoff = cutoff
        self._retry_limiter = retry_limiter
        self._create_backend_client = create_backend_client
        self._server_limit = server_limit
        self._rate_limit = rate_limit
        self._dispatch_timer: asyncio.TimerHandle | None = None
        """Dispatches the next call once the rate limit admits one."""
        self._probe = probe
        self._crashes = crashes
        self._spans = spans
        self._metrics = metrics
        self._journal = journal
        self._idle: list[tuple[asyncio.Future[Job], BackendClient]] = []
        self._workers: set[asyncio.Task[None]] = set()
        self._backend_clients: set[BackendClient] = set()
        self._last_reply_at = float("-inf")
        self._busy_since = float("-inf")
        self._crash_checked_at = float("-inf")
        self.running = RunningCalls()
        self.on_missing: Callable[[], None] = _ignore
        self.on_leaving: Callable[[], None] = _ignore
        """Called when an answer of the backend server says that it leaves."""

    @property
    def load(self) -> Load:
        """Current load of the backend server, as reported to peers."""
        queue = self._queue
        return Load(
            queue.running,
            queue.waiting,
            queue.compute_concurrency(self._rate_limit.rate_per_s),
            self._estimate_wait_s() * MS_PER_S,
            self._cutoff.value,
            self._backend.accepts,
            self._retry_limiter.use,
            self._backend.leaving_process,
            self._server_limit.work_ms,
        )

    @property
    def open_count(self) -> int:
        """Number of calls that are queued or running."""
        return self._queue.running + self._queue.waiting

    def was_caused_by_retry(self, call_id: str) -> bool:
        """Return whether a running or recently ended run was caused by a retry.

        A run that began before the node started is unknown and counts as a first
        attempt, as most runs are.
        """
        arrival = self.running.find_parent(call_id)
        if arrival is not None:
            return arrival.call.attempt_kind is not AttemptKind.FIRST
        return self._retry_limiter.has_recently_ended(call_id)

    def make_job(
        self,
        call: Call,
        reply: Callable[[Result], None],
        received_at: float | None = None,
    ) -> Job:
        """Return a queue job for a call, with its times in monotonic seconds.

        Parameters
        ----------
        received_at : float, optional
            Monotonic seconds at which the call was received, by default now.
        """
        now = self._clock.monotonic() if received_at is None else received_at
        root_target_at = now + call.root_target_ms / MS_PER_S
        expires_at = now + call.remaining_ms / MS_PER_S
        return Job(
            Arrival(call, reply, root_target_at, expires_at=expires_at),
            call.rank,
            now + call.target_ms / MS_PER_S,
            expires_at,
            call.is_root,
            root_target_at,
        )

    def accept(self, job: Job) -> None:
        """Admit a job to the queue, or reject it."""
        now = self._clock.monotonic()
        arrival: Arrival = job.payload
        reason = self._backend.find_rejection_reason(
            arrival.call.instance, now, job.expires_at
        )
        if reason is not None:
            self._reject(arrival, Rejection(reason, retry_elsewhere=True))
            return
        self._cutoff.record_arrival(arrival.call.position)
        rejection = (
            self._crashes.find_rejection(arrival.call)
            or self._retry_limiter.find_rejection(arrival.call)
            or self._queue.enqueue(job, now, self._estimate_wait_s())
        )
        if rejection is not None:
            self._reject(arrival, rejection)
            return
        self._dispatch(now)

    def withdraw(self, job: Job) -> None:
        """Cancel a job: remove it from the queue, or abort its run."""
        arrival: Arrival = job.payload
        if arrival.is_withdrawn:
            return
        arrival.is_withdrawn = True
        if job.started_at:
            if arrival.backend_client is not None:
                arrival.backend_client.abort()
        else:
            self._queue.withdraw(job)

    def resize(self, slots: int) -> None:
        """Set the number of calls that the backend server runs at once."""
        self._queue.resize(slots)
        self._dispatch(self._clock.monotonic())

    async def sweep(self) -> None:
        """Update the cutoff, reject expired calls and close idle connections.

        Runs until cancelled, and also aborts runs that exceed their deadline.
        """
        while True:
            is_idle = not self._queue.waiting
            await asyncio.sleep(IDLE_SWEEP_INTERVAL_S if is_idle else SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
            self._cutoff.update(self._estimate_wait_s(), now)
            for job in self._queue.drop_expired(now):
                self._reject(job.payload, Rejection(Reason.QUEUE_EXPIRED))
            if self._queue.waiting:
                self._reject_if_unavailable(now)
            for _, backend_client in self._idle:
                backend_client.close_if_idle(now)
            self._abort_overdue(now)
            self._server_limit.show()

    async def watch(self) -> None:
        """Probe a busy backend server that sends no replies, until cancelled."""
        while True:
            await asyncio.sleep(REPLY_CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            if not self.running or now - max(self._last_reply_at, self._busy_since) < (
                REPLY_TIMEOUT_S
            ):
                continue
            if await self._probe() is ProbeResult.ALIVE:
                self._last_reply_at = self._clock.monotonic()
            elif self.running:
                self._mark_missing("silent")
                for backend_client in list(self._backend_clients):
                    backend_client.abort()

    def end_calls(self) -> None:
        """Reject the calls that wait, and end those that run as ones that may have run."""
        for job in self._queue.clear():
            self._reject(job.payload, Rejection(Reason.STOPPING))
        for arrival in list(self.running):
            arrival.reply(Indeterminate(Reason.STOPPING))
            arrival.is_withdrawn = True

    def close(self) -> None:
        """Cancel all workers."""
        for task in self._workers:
            task.cancel()
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()

    def _abort_overdue(self, now: float) -> None:
        """Abort runs past their deadline whose callers have not cancelled them."""
        for arrival in self.running:
            if (
                now > arrival.expires_at + OVERDUE_S
                and arrival.backend_client is not None
            ):
                arrival.is_overdue = True
                arrival.backend_client.abort()

    def _reject_if_unavailable(self, now: float) -> None:
        current = self._backend.announcement
        instance = current.instance if current is not None else ""
        reason = self._backend.find_rejection_reason(instance, now, now)
        if reason is not None:
            for job in self._queue.clear():
                self._reject(job.payload, Rejection(reason, retry_elsewhere=True))

    def record_answer(self, call: Call, metadata: ResponseMetadata) -> None:
        """Follow what the backend server says of itself in an answer."""
        if call.instance != self._backend.instance:
            return
        match metadata.rate:
            case NamedRate(per_s):
                self._set_rate(per_s)
            case NoRate():
                self._set_rate(None)
            case UnreadableRate():
                self._metrics.count("unreadable_rates")
                if not self._rate_limit.is_known:
                    self._set_rate(None)
        pace = self._server_limit.record_statement(metadata.stated_load, call.instance)
        arrival = self.running.find(call)
        if arrival is not None:
            arrival.pace = pace
        if metadata.is_leaving and not self._backend.is_leaving:
            self.on_leaving()

    def _set_rate(self, named_per_s: float | None) -> None:
        had_limit = self._rate_limit.rate_per_s is not None
        if not self._rate_limit.set_rate(named_per_s, self._clock.monotonic()):
            return
        if had_limit is not (named_per_s is not None):
            self._journal.note(
                "rate_limit", named=named_per_s, instance=self._backend.instance
            )
        if self._dispatch_timer is not None:
            self._dispatch_timer.cancel()
            self._dispatch_delayed()

    def _estimate_wait_s(self) -> float:
        """Return the expected wait of a call that arrives now, for a slot and a turn."""
        now, waiting = self._clock.monotonic(), self._queue.waiting
        return max(
            self._queue.estimate_wait_s(),
            self._rate_limit.estimate_wait_s(waiting, now),
        )

    def _dispatch(self, now: float) -> None:
        while True:
            if self._queue.waiting and self._delay_dispatch(now):
                return
            job, expired = self._queue.dequeue(now)
            for expired_job in expired:
                self._reject(expired_job.payload, Rejection(Reason.QUEUE_EXPIRED))
            if job is None:
                return
            self._rate_limit.take(now)
            self._assign_worker(job)

    def _delay_dispatch(self, now: float) -> bool:
        """Return whether the rate limit admits no call yet, and wait until it does."""
        delay_s = self._rate_limit.compute_delay_s(now)
        if delay_s <= 0.0:
            return False
        if self._dispatch_timer is None:
            loop = asyncio.get_running_loop()
            self._dispatch_timer = loop.call_later(delay_s, self._dispatch_delayed)
        return True

    def _dispatch_delayed(self) -> None:
        self._dispatch_timer = None
        self._dispatch(self._clock.monotonic())

    def _assign_worker(self, job: Job) -> None:
        while self._idle:
            waiter, _ = self._idle.pop()
            if not waiter.done():
                waiter.set_result(job)
                return
        backend_client = self._create_backend_client()
        self._backend_clients.add(backend_client)
        task = asyncio.get_running_loop().create_task(self._work(backend_client, job))
        self._workers.add(task)
        task.add_done_callback(self._discard_worker)

    async def _work(self, backend_client: BackendClient, job: Job) -> None:
        """Run jobs one after the other through one backend client."""
        try:
            with backend_client:
                while True:
                    await self._run(backend_client, job)
                    waiter = asyncio.get_running_loop().create_future()
                    self._idle.append((waiter, backend_client))
                    self._dispatch(self._clock.monotonic())
                    job = await waiter
        finally:
            self._backend_clients.discard(backend_client)

    async def _run(self, backend_client: BackendClient, job: Job) -> None:
        arrival: Arrival = job.payload
        result: Result = Indeterminate(Reason.BACKEND_LOST)
        arrival.backend_client = backend_client
        if not self.running:
            self._busy_since = self._clock.monotonic()
        self.running.add(arrival)
        reason = self._backend.find_rejection_reason(
            arrival.call.instance, self._clock.monotonic(), job.expires_at
        )
        try:
            if arrival.is_withdrawn:
                result = Rejection(Reason.CLIENT_LEFT)
            elif reason is not None:
                result = Rejection(reason, retry_elsewhere=True)
            else:
                result = await self._forward(arrival, backend_client, job.expires_at)
        finally:
            arrival.backend_client = None
            self.running.remove(arrival)
            now = self._clock.monotonic()
            self._retry_limiter.record_end(arrival.call)
            self._queue.finish(job, now, isinstance(result, Reply))
        self._record_work(job, result, now)
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
        self._record_result(arrival, result)
        if not arrival.is_withdrawn:
            arrival.reply(result)
        elif isinstance(result, Reply):
            self.record_undelivered(arrival.call.id, "withdrawn")

    async def _forward(
        self, arrival: Arrival, backend_client: BackendClient, expires_at: float
    ) -> Result:
        """Run a call at the backend server, and record its arrival.

        The retry budget is checked again, since other calls may have used it up while
        this call was queued.
        """
        rejection = self._retry_limiter.find_rejection(arrival.call)
        if rejection is not None:
            return rejection
        self._retry_limiter.record_arrival(arrival.call)
        result = await backend_client.run(arrival.call, expires_at)
        return Indeterminate(Reason.DEADLINE) if arrival.is_overdue else result

    def _record_result(self, arrival: Arrival, result: Result) -> None:
        match result:
            case Reply():
                self._last_reply_at = self._clock.monotonic()
                self._crashes.record_answer(arrival.call)
            case Rejection(reason=Reason.NO_BACKEND | Reason.MISDIRECTED):
                if arrival.call.instance == self._backend.instance:
                    self._mark_missing(result.reason)
            case Rejection() | Indeterminate():
                if result.reason is Reason.BACKEND_LOST and not arrival.is_withdrawn:
                    self._crashes.record_lost_call(arrival.call)
                    self._schedule_crash_check()
                self._metrics.count(f"backend_failures:{result.reason}")
                self._journal.trace(
                    "backend_failed",
                    request=arrival.call.id,
                    reason=result.reason,
                    instance=arrival.call.instance,
                    withdrawn=arrival.is_withdrawn,
                )

    def _record_work(self, job: Job, result: Result, now: float) -> None:
        """Count a run of which only the backend server's own work took the time.

        One that waited for its own calls shows how busy other services are, a failed
        one may have ended early, and a cold process is slow at any concurrency.
        """
        arrival: Arrival = job.payload
        if (
            arrival.pace is not None
            and not arrival.has_calls
            and job.started_at >= self._backend.cold_until
            and isinstance(result, Reply)
            and result.status < MIN_FAILURE_STATUS
        ):
            self._server_limit.record_run(job, arrival.call.route, arrival.pace, now)

    def record_undelivered(self, request_id: str, reason: str, **fields: Any) -> None:
        """Log and count a reply of the backend server that its caller does not get."""
        self._metrics.count(f"undelivered_answers:{reason}")
        self._journal.trace(
            "answer_undelivered", request=request_id, reason=reason, **fields
        )

    def _schedule_crash_check(self) -> None:
        """Start a probe to determine whether a lost call was due to a backend crash."""
        now = self._clock.monotonic()
        if (
            now - self._crash_checked_at < CRASH_CHECK_INTERVAL_S
            or self._backend.is_missing
        ):
            return
        self._crash_checked_at = now
        task = asyncio.get_running_loop().create_task(self._check_listening())
        self._workers.add(task)
        task.add_done_callback(self._discard_worker)

    async def _check_listening(self) -> None:
        if await self._probe() is ProbeResult.REFUSED:
            self._mark_missing("refused")

    def _mark_missing(self, reason: str) -> None:
        if not self._backend.is_missing:
            self._backend.is_missing = True
            self._journal.note("backend_missing", reason=reason)
            running = [arrival.call for arrival in self.running]
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

    def _discard_worker(self, task: asyncio.Task[None]) -> None:
        self._workers.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._journal.note("worker_failed", error=repr(task.exception()))


def _ignore() -> None:
    """Do nothing; the default until a callback is set."""
