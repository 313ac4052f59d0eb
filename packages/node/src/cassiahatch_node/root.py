"""Composition root of a node: wires its parts and runs its tasks."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import AsyncExitStack

from tornado.httpserver import HTTPServer
from tornado.web import Application

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock, SystemClock
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.outcomes import Outcome, Refusal
from cassiahatch_kernel.registry import PLUGINS, load_plugins
from cassiahatch_node.backend.announcement import Announcement, read_routes
from cassiahatch_node.backend.client import LOOPBACK, BackendClient
from cassiahatch_node.control.client import ControlClient
from cassiahatch_node.control.gossip import Gossip
from cassiahatch_node.control.quota import QuotaClient, QuotaKeeper
from cassiahatch_node.control.registration import Poller, Registration
from cassiahatch_node.control.status import NodeStatus
from cassiahatch_node.control.tenures import TenureManager
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.frontends import backend, caller, control
from cassiahatch_node.ingress import Ingress
from cassiahatch_node.observability.events import log_event, log_warning
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.observability.tracing import Tracing
from cassiahatch_node.once import OnceGuard
from cassiahatch_node.peers.link import PEER_PATH, PeerLink
from cassiahatch_node.peers.pool import LinkPool
from cassiahatch_node.peers.server import PeerConnection, PeerService
from cassiahatch_node.router import Router
from cassiahatch_node.settings import Settings
from cassiahatch_node.supervision import run_supervised
from cassiahatch_policies.once import TenureBook

WEBSOCKET_PING_INTERVAL_S = 5.0
DRAIN_POLL_S = 0.02
MAX_HEADER_BYTES = 32_768
BODY_TIMEOUT_S = 10.0
IDLE_CONNECTION_TIMEOUT_S = 120.0
MAX_CONTROL_BODY_BYTES = 67_108_864
HANDOVER_TIMEOUT_S = 5.0


class AddressInUseError(CodedError):
    """The node can't listen at an address given in its settings."""

    code = "address_in_use"


class Node:
    """One node; a context manager that listens while it is open.

    Parameters
    ----------
    settings : Settings
        The checked settings.
    clock : Clock, optional
        Source of time.
    random_source : random.Random, optional
        Source of randomness.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        load_plugins()
        self._settings = settings
        self._clock = clock or SystemClock()
        self._stack = AsyncExitStack()
        self._stopping = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None
        self._wire(random_source or random.Random())

    def _wire(self, random_source: random.Random) -> None:
        settings, clock = self._settings, self._clock
        plugins = settings.plugins
        calls = settings.calls
        self.metrics = Metrics()
        self.tracing = Tracing(settings.node.id, settings.tracing)
        self._quarantine = PLUGINS.create("quarantine", plugins.quarantine)
        roster = PLUGINS.create("membership", plugins.membership)
        self.fleet = Fleet(settings.node, clock, roster)
        self._table = PLUGINS.create(
            "table",
            plugins.table,
            settings.platform.table,
            settings.platform.timeout_s,
        )
        self._objects = PLUGINS.create(
            "objects",
            plugins.objects,
            settings.platform.objects,
            settings.platform.timeout_s,
        )
        self._control_client = ControlClient(settings.peers.key, self.metrics)
        self._backend_client = BackendClient(
            calls.max_connections, calls.max_body_bytes
        )
        self.ingress = Ingress(
            settings,
            clock,
            self._backend_client,
            self.metrics,
            self.tracing,
            self._quarantine,
        )
        self._book = TenureBook()
        self.guard = OnceGuard(
            settings.once, clock, self._book, self.ingress.serve, self._forward_call
        )
        self.router = Router(
            settings,
            clock,
            random_source,
            roster,
            self.metrics,
            self.tracing,
            self._serve,
        )
        self._pool = LinkPool(self._create_link, settings.peers.idle_timeout_s)
        self.router.pool = self._pool
        self.gossip = Gossip(
            settings.peers,
            self.fleet,
            self._quarantine,
            self._control_client,
            clock,
            random_source,
        )
        self.fleet.on_change = self.gossip.trigger_round
        self.ingress.on_crash = self.gossip.report_crash
        self.ingress.on_lost = self._on_backend_lost
        self.tenures = TenureManager(
            settings,
            self.fleet,
            self._book,
            self.guard,
            self._table,
            self._control_client,
            clock,
            random_source,
        )
        self._quota_keeper = QuotaKeeper(plugins, self.fleet, self._book, clock)
        self._quota_client = QuotaClient(
            settings.quota,
            plugins,
            self.fleet,
            self._quota_keeper,
            self._control_client,
            clock,
            self.metrics,
            random_source,
        )
        self._registration = Registration(self.fleet, self._table, settings.platform)
        self._poller = Poller(
            self.fleet,
            self.gossip,
            self._table,
            self._objects,
            settings.platform,
            random_source,
        )
        self._peer_service = PeerService(
            settings.peers.key,
            clock,
            self.metrics,
            self._serve,
            lambda: self.ingress.load,
            set(),
        )

    async def __aenter__(self) -> Node:
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._stack.aclose()

    async def run(self) -> None:
        """Serve until a signal or the failure of a task, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        await self._stopping.wait()
        await self.stop()

    async def stop(self) -> None:
        """Drain the backend server, finish the open requests, and leave the fleet."""
        log_event("stopping", node=self._settings.node.id)
        await self.drain()
        try:
            async with asyncio.timeout(self._settings.calls.drain_timeout_s):
                while any(app.open_requests for app in self._call_applications):
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            log_warning("stopped_with_open_requests")
        self.fleet.set_state(MemberState.LEFT)
        await asyncio.sleep(self._settings.peers.gossip_interval_s / 2)

    async def drain(self) -> None:
        """Drain the backend server, and wait for its calls or the drain timeout."""
        if self._drain_task is None and self.fleet.own.state is MemberState.READY:
            self._drain_task = asyncio.create_task(self._drain())
        if self._drain_task is not None:
            await asyncio.shield(self._drain_task)

    def announce(self, announcement: Announcement) -> None:
        """Register an announced backend server, unless it is registered already."""
        if self.ingress.attach(announcement):
            self._drain_task = None
            routes = read_routes(announcement)
            self.fleet.announce(announcement.service, announcement.slots, routes)

    async def _drain(self) -> None:
        calls = self._settings.calls
        self.fleet.set_state(MemberState.DRAINING)
        self._peer_service.announce_drain(self._settings.node.id)
        self.ingress.drain()
        notice = asyncio.create_task(asyncio.sleep(calls.drain_notice_s))
        try:
            async with asyncio.timeout(HANDOVER_TIMEOUT_S):
                await self.tenures.hand_over_all()
        except TimeoutError:
            log_warning("handover_timeout")
        await self._registration.leave()
        await notice
        try:
            async with asyncio.timeout(calls.drain_timeout_s):
                await self.guard.wait_idle()
                while len(self.ingress.running):
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            log_warning("drained_with_running_calls", running=len(self.ingress.running))

    def read_status(self) -> NodeStatus:
        """Return the status of this node."""
        own = self.fleet.own
        backend_server = self.ingress.backend
        admission = backend_server.admission if backend_server else None
        return NodeStatus(
            node_id=own.node_id,
            zone=own.zone,
            service=own.service,
            state=own.state.value,
            lists_version=self.fleet.plans.version,
            in_flight=admission.in_flight if admission else 0,
            queued=admission.queued if admission else 0,
            limit=admission.limit if admission else 0,
            level=admission.level if admission else 0,
            members=len(self.fleet.roster),
            ready_members=self.fleet.roster.count_ready(),
            links=len(self._pool),
            partitions=self.fleet.roster.count_partitions(),
            tenures=len(self._book.list_open()),
            keys=len(self.guard.ledger),
            quarantined=tuple(
                self._quarantine.list_quarantined(self._clock.monotonic())
            ),
            counters=dict(self.metrics.counters),
        )

    async def _open(self) -> None:
        stack = self._stack
        stack.enter_context(self.tracing)
        for client in (
            self._table,
            self._objects,
            self._control_client,
            self._backend_client,
        ):
            stack.callback(client.close)
        self._listen()
        await stack.enter_async_context(self._pool)
        for run in (
            self.ingress.tick,
            self.gossip.run,
            self._registration.run,
            self._poller.run,
            self.tenures.run,
            self._quota_client.run,
        ):
            supervised = run_supervised(run, _log_task_failure)
            task = asyncio.create_task(supervised, name=run.__qualname__)
            stack.push_async_callback(_cancel_task, task)
        log_event("listening", node=self._settings.node.id)

    def _listen(self) -> None:
        node = self._settings.node
        body_limit = self._settings.calls.max_body_bytes
        self._call_applications = [
            self._start_server(
                self._make_caller_application(), node.caller_port, node.host, body_limit
            ),
            self._start_server(
                self._make_backend_application(), node.local_port, LOOPBACK, body_limit
            ),
        ]
        self._start_server(
            self._make_peer_application(),
            node.peer_port,
            node.host,
            MAX_CONTROL_BODY_BYTES,
        )

    def _start_server(
        self, application: CountingApplication, port: int, host: str, body_limit: int
    ) -> CountingApplication:
        server = HTTPServer(
            application,
            max_body_size=body_limit,
            max_header_size=MAX_HEADER_BYTES,
            max_buffer_size=max(body_limit, MAX_HEADER_BYTES) + MAX_HEADER_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )
        try:
            server.listen(port, host)
        except OSError as error:
            raise AddressInUseError(
                f"can't listen at {host}:{port}: {error.strerror}"
            ) from None
        self._stack.push_async_callback(server.close_all_connections)
        self._stack.callback(server.stop)
        return application

    def _make_caller_application(self) -> CountingApplication:
        service = caller.CallerService(
            self._settings,
            self._clock,
            self.fleet,
            self.router,
            self._quota_client,
            self.metrics,
        )
        return CountingApplication(
            [("/.*", caller.CallerHandler, _make_arguments(service))]
        )

    def _make_backend_application(self) -> CountingApplication:
        service = backend.BackendService(
            self._settings,
            self._clock,
            self.fleet,
            self.ingress,
            self.router,
            self.announce,
            self.drain,
        )
        return CountingApplication(
            [
                ("/v1/announce", backend.AnnounceHandler, _make_arguments(service)),
                ("/v1/drain", backend.DrainHandler, _make_arguments(service)),
                ("/v1/leave", backend.LeaveHandler, _make_arguments(service)),
                ("/call/.*", backend.DownstreamCallHandler, _make_arguments(service)),
            ]
        )

    def _make_peer_application(self) -> CountingApplication:
        service = control.ControlService(
            self._settings.peers.key,
            self.fleet,
            self.gossip,
            self._quota_keeper,
            self.tenures,
            self.metrics,
            self.tracing,
            self.read_status,
        )
        handlers = [
            (PEER_PATH, PeerConnection, _make_arguments(self._peer_service)),
            ("/control/gossip", control.GossipHandler, _make_arguments(service)),
            ("/control/state", control.StateHandler, _make_arguments(service)),
            ("/control/lists", control.ListsHandler, _make_arguments(service)),
            ("/control/grants", control.GrantsHandler, _make_arguments(service)),
            ("/control/handover", control.HandoverHandler, _make_arguments(service)),
            ("/control/status", control.StatusHandler, _make_arguments(service)),
            ("/control/spans", control.SpansHandler, _make_arguments(service)),
            ("/healthz", control.HealthHandler, _make_arguments(service)),
            ("/readyz", control.ReadinessHandler, _make_arguments(service)),
            ("/metrics", control.MetricsHandler, _make_arguments(service)),
        ]
        return CountingApplication(
            handlers,
            websocket_ping_interval=WEBSOCKET_PING_INTERVAL_S,
            websocket_max_message_size=self._settings.calls.max_body_bytes * 2,
        )

    async def _serve(
        self, call: Call, context: CallContext, as_holder: bool
    ) -> Outcome:
        if call.idempotent:
            return await self.ingress.serve(call, context)
        if as_holder:
            return await self.guard.serve(call, context)
        return Refusal(
            "not_sent_to_holder",
            "a non-idempotent call must be sent to the holder of its key's tenure",
            400,
        )

    async def _forward_call(
        self, node_id: str, call: Call, context: CallContext
    ) -> Outcome:
        member = self.fleet.roster.get(node_id)
        if member is None:
            return Refusal(
                "not_holder", f"node {node_id} is not a known member", elsewhere=True
            )
        return await self._pool.get(member).call(call, context, as_holder=True)

    def _create_link(self, member: Member) -> PeerLink:
        return PeerLink(
            member.address,
            self._settings.peers,
            self._settings.calls.max_body_bytes,
            self._clock,
            self.metrics,
            lambda load: self.router.record_load(member.node_id, load),
            self.fleet.mark_draining,
        )

    def _on_backend_lost(self) -> None:
        self.fleet.set_state(MemberState.IDLE)


class CountingApplication(Application):
    """Counts its open requests, so that a graceful stop can wait for them."""

    open_requests = 0
    """Number of requests that have not been answered."""

    def find_handler(self, request: object, **options: object) -> object:
        """Count a request as open."""
        self.open_requests += 1
        return super().find_handler(request, **options)

    def log_request(self, handler: object) -> None:
        """Count a request as closed; metrics replace an access log."""
        self.open_requests -= 1


def _make_arguments(service: object) -> dict[str, object]:
    return {"service": service}


def _log_task_failure(name: str, error: Exception) -> None:
    log_warning("task_failed", task=name, error=repr(error))


async def _cancel_task(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
