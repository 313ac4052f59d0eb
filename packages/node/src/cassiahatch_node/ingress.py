"""Ingress: admission of calls to this node's backend server."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any

from tornado.httputil import HTTPHeaders

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.members import Route, find_route
from cassiahatch_kernel.outcomes import Outcome, Refusal, Unknown
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.backend.announcement import Announcement, read_routes
from cassiahatch_node.backend.client import (
    CUSTOMER_HEADER,
    REMAINING_HEADER,
    REQUEST_ID_HEADER,
    TOKEN_HEADER,
    BackendClient,
    HealthSignal,
    probe_port,
)
from cassiahatch_node.backend.running_calls import RunningCall, RunningCalls
from cassiahatch_node.observability.events import log_event, log_warning
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.observability.tracing import ActiveSpan, Tracing
from cassiahatch_node.settings import Settings
from cassiahatch_node.wire import Load
from cassiahatch_policies.admission import Completion, Ticket, TicketState
from cassiahatch_policies.quarantine import Crash, compute_fingerprint

TICK_INTERVAL_S = 0.05
CRASH_PROBE_DELAY_S = 0.05
"""How long lost calls are collected before the backend server is probed."""
CANCEL_GRACE_S = 2.0
"""How long a cancelled call may keep its slot if the backend server sends no answer."""


@dataclass(slots=True)
class BackendServer:
    """Announced backend server, and its admission control."""

    announcement: Announcement
    routes: tuple[Route, ...]
    admission: Any
    reject_from: float = float("inf")
    """Monotonic seconds from which a draining backend server receives no new calls."""
    lost_calls: list[str] = field(default_factory=list)
    """Fingerprints of calls whose connections were lost, kept until the next probe."""


class Ingress:
    """Admits calls to the backend server and runs them, or rejects them.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    clock : Clock
        Source of time.
    client : BackendClient
        Client for the backend server.
    metrics, tracing : Metrics, Tracing
        Receivers of measurements.
    quarantine : object
        The quarantine plug-in, which isolates calls that crash backend servers.
    """

    __slots__ = (
        "_busy",
        "_client",
        "_clock",
        "_crashes",
        "_metrics",
        "_quarantine",
        "_settings",
        "_tracing",
        "backend",
        "on_crash",
        "on_lost",
        "running",
    )

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        client: BackendClient,
        metrics: Metrics,
        tracing: Tracing,
        quarantine: Any,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._client = client
        self._metrics = metrics
        self._tracing = tracing
        self._quarantine = quarantine
        self._crashes = 0
        self._busy = asyncio.Event()
        self.backend: BackendServer | None = None
        self.running = RunningCalls()
        self.on_crash = _log_unreported_crash
        self.on_lost = _log_unreported_loss

    @property
    def load(self) -> Load:
        """Calls at the backend server, running and queued, and its admission level."""
        if self.backend is None:
            return Load()
        admission = self.backend.admission
        return Load(admission.in_flight + admission.queued, admission.level)

    def attach(self, announcement: Announcement) -> bool:
        """Register an announced backend server, and return whether it is new.

        If connections to the previous instance were lost, it is reported as crashed.
        """
        if self.backend is not None:
            if self.backend.announcement.instance == announcement.instance:
                return False
            if self.backend.lost_calls:
                fingerprints, self.backend.lost_calls = self.backend.lost_calls, []
                self._report_crash(fingerprints)
        admission = PLUGINS.create(
            "admission",
            self._settings.plugins.admission,
            announcement.slots,
            self._clock.monotonic(),
        )
        routes = read_routes(announcement)
        self.backend = BackendServer(announcement, routes, admission)
        return True

    def drain(self) -> None:
        """Reject new calls once the drain notice has passed."""
        if self.backend is not None:
            notice = self._settings.calls.drain_notice_s
            reject_from = self._clock.monotonic() + notice
            self.backend.reject_from = min(self.backend.reject_from, reject_from)

    def detach(self) -> None:
        """Remove the backend server, so that no call is sent to it."""
        self.backend = None

    async def tick(self) -> None:
        """Update admission periodically until cancelled; wait while it is idle."""
        while True:
            await self._busy.wait()
            await asyncio.sleep(TICK_INTERVAL_S)
            self._tick()

    def _tick(self) -> None:
        if self.backend is None:
            self._busy.clear()
            return
        admission = self.backend.admission
        admission.tick(self._clock.monotonic())
        if not (admission.in_flight or admission.queued or admission.level):
            self._busy.clear()

    async def serve(self, call: Call, context: CallContext) -> Outcome:
        """Run a call at the backend server, or reject it."""
        refusal = self._check(call)
        if refusal is not None:
            return self._count_refusal(refusal, context)
        backend = self.backend
        self._busy.set()
        fingerprint = compute_fingerprint(call)
        now = self._clock.monotonic()
        if self._quarantine.is_quarantined(fingerprint, now):
            detail = "the request crashed at least two backend servers"
            return self._count_refusal(
                Refusal("quarantined", detail, 422, level=0), context
            )
        with self._tracing.open_span("ingress", context.traceparent) as span:
            span.set_attribute("request_id", context.request_id)
            ticket = backend.admission.request(context.priority, context.deadline, now)
            await self._wait_for_slot(backend, ticket)
            self._metrics.record("queue_wait", self._clock.monotonic() - now)
            if ticket.state is not TicketState.ADMITTED:
                span.set_attribute("refused", ticket.state.name)
                return self._count_refusal(_make_refusal(ticket, backend), context)
            if not self._quarantine.try_start(fingerprint, now):
                backend.admission.finish(ticket, Completion.FAILED, now)
                detail = "another request suspected of a crash is running; retry later"
                return self._count_refusal(
                    Refusal("suspect_waits", detail, 503, elsewhere=True), context
                )
            return await self._run(backend, ticket, call, context, span, fingerprint)

    def _check(self, call: Call) -> Refusal | None:
        backend = self.backend
        if backend is None or backend.announcement.service != call.service:
            detail = f"this node has no backend server of service {call.service}"
            return Refusal("no_backend", detail, elsewhere=True)
        if self._clock.monotonic() >= backend.reject_from:
            return Refusal("draining", "the backend server is draining", elsewhere=True)
        route = find_route(backend.routes, call.method, call.path)
        if route is None:
            return Refusal(
                "unknown_route",
                "the backend server announced no such route",
                404,
            )
        return None

    def _count_refusal(self, refusal: Refusal, context: CallContext) -> Refusal:
        self._metrics.count(f"refused:{refusal.code}")
        return replace(refusal, unused_retries=context.retries)

    async def _wait_for_slot(self, backend: BackendServer, ticket: Ticket) -> None:
        if ticket.state is not TicketState.QUEUED:
            return
        decided = asyncio.Event()
        ticket.notify = decided.set
        try:
            await decided.wait()
        except asyncio.CancelledError:
            backend.admission.cancel(ticket)
            self._release_slot(backend, ticket)
            raise

    def _release_slot(self, backend: BackendServer, ticket: Ticket) -> None:
        if ticket.state is TicketState.ADMITTED:
            now = self._clock.monotonic()
            backend.admission.finish(ticket, Completion.FAILED, now)

    async def _run(
        self,
        backend: BackendServer,
        ticket: Ticket,
        call: Call,
        context: CallContext,
        span: ActiveSpan,
        fingerprint: str,
    ) -> Outcome:
        account = PLUGINS.create(
            "retries", self._settings.plugins.retries, context.retries
        )
        running = self.running.add(call, context, account)
        headers = _make_headers(running, span, self._clock.monotonic())
        started = self._clock.monotonic()
        remaining = context.deadline - started
        send_task = asyncio.create_task(
            self._client.send(backend.announcement.port, call, headers, remaining)
        )
        send_task.add_done_callback(
            lambda done: self._finish_run(backend, ticket, running, fingerprint, done)
        )
        try:
            outcome, _signal = await asyncio.shield(send_task)
        except asyncio.CancelledError:
            self._cancel(backend, running, send_task)
            raise
        if isinstance(outcome, Unknown) and outcome.code == "deadline":
            self._cancel(backend, running, send_task)
        self._metrics.record("backend", self._clock.monotonic() - started)
        span.set_attribute("outcome", type(outcome).__name__)
        level = max(running.level, backend.admission.level)
        return replace(outcome, unused_retries=account.available, level=level)

    def _finish_run(
        self,
        backend: BackendServer,
        ticket: Ticket,
        running: RunningCall,
        fingerprint: str,
        done: asyncio.Task[tuple[Outcome, HealthSignal]],
    ) -> None:
        now = self._clock.monotonic()
        signal = HealthSignal.TIMED_OUT if done.cancelled() else done.result()[1]
        match signal:
            case HealthSignal.CONNECTION_LOST:
                self._record_lost_call(backend, fingerprint)
            case HealthSignal.CONNECTION_REFUSED:
                self._handle_loss(backend)
        self.running.remove(running)
        running.cancel_downstream()
        self._quarantine.record_end(
            fingerprint, was_answered=signal is HealthSignal.ANSWERED
        )
        completion = {
            HealthSignal.ANSWERED: Completion.SUCCEEDED,
            HealthSignal.SHED: Completion.SHED,
        }.get(signal, Completion.FAILED)
        backend.admission.finish(ticket, completion, now)

    def _cancel(
        self,
        backend: BackendServer,
        running: RunningCall,
        send_task: asyncio.Task[tuple[Outcome, HealthSignal]],
    ) -> None:
        running.cancel_downstream()
        path = backend.announcement.cancel_path
        if path and running.call.idempotent:
            self._metrics.count("cancelled")
            asyncio.create_task(
                self._client.cancel(backend.announcement.port, path, running.token)
            )
        if not send_task.done():
            loop = asyncio.get_running_loop()
            loop.call_later(CANCEL_GRACE_S, send_task.cancel)

    def _record_lost_call(self, backend: BackendServer, fingerprint: str) -> None:
        backend.lost_calls.append(fingerprint)
        if len(backend.lost_calls) == 1:
            asyncio.create_task(self._confirm_crash(backend))

    async def _confirm_crash(self, backend: BackendServer) -> None:
        await asyncio.sleep(CRASH_PROBE_DELAY_S)
        fingerprints, backend.lost_calls = backend.lost_calls, []
        if not fingerprints or await probe_port(backend.announcement.port):
            return
        self._handle_loss(backend)
        self._report_crash(fingerprints)

    def _handle_loss(self, backend: BackendServer) -> None:
        if self.backend is backend:
            self.backend = None
            self.on_lost()

    def _report_crash(self, fingerprints: list[str]) -> None:
        self._crashes += 1
        crash = Crash(
            f"{self._settings.node.id}/{self._clock.wall():.3f}/{self._crashes}",
            self._quarantine.select_suspects(fingerprints),
        )
        self._metrics.count("backend_crashes")
        log_warning("backend_crashed", crash=crash.crash_id, running=len(fingerprints))
        self.on_crash(crash)


def _log_unreported_loss() -> None:
    log_event("loss_not_reported")


def _log_unreported_crash(crash: Crash) -> None:
    log_event("crash_not_reported", crash=crash.crash_id)


def _make_refusal(ticket: Ticket, backend: BackendServer) -> Outcome:
    if ticket.state is TicketState.EXPIRED:
        return Refusal("expired", "the deadline passed while the call was queued", 504)
    level = max(backend.admission.level, ticket.priority + 1)
    return Refusal("overloaded", "priority below the admission level", 503, level=level)


def _make_headers(running: RunningCall, span: ActiveSpan, now: float) -> HTTPHeaders:
    headers = HTTPHeaders()
    for header in running.call.headers:
        headers.add(header.name, header.value)
    context = running.context
    headers[TOKEN_HEADER] = running.token
    headers[REMAINING_HEADER] = str(int((context.deadline - now) * 1000))
    headers[CUSTOMER_HEADER] = context.customer
    headers[REQUEST_ID_HEADER] = context.request_id
    headers["traceparent"] = span.traceparent
    if running.call.key:
        headers["Idempotency-Key"] = running.call.key
    return headers
