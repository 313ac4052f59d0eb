"""Composition root of a sidecar: wires its parts and runs its tasks."""

from __future__ import annotations

import asyncio
import gc
import random
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

from cassiahatch_kernel.clock import BootClock
from cassiahatch_kernel.configurations import Configuration
from cassiahatch_kernel.members import Member
from cassiahatch_kernel.registry import MESH_GROUP, PLUGINS, load_plugins
from cassiahatch_kernel.routes import Limits, RouteTable
from cassiahatch_kernel.rulesets import Ruleset
from cassiahatch_kernel.teams import Team, TeamTable
from cassiahatch_node.mesh.announcement_handler import AnnouncementHandler
from cassiahatch_node.mesh.answer_memory import AnswerMemory
from cassiahatch_node.mesh.arrivals import ArrivalLog
from cassiahatch_node.mesh.backend_client import BackendClient, probe_backend
from cassiahatch_node.mesh.body_memory import BodyMemory
from cassiahatch_node.mesh.call_graph import CallGraph
from cassiahatch_node.mesh.control_server import ControlService, start_control_server
from cassiahatch_node.mesh.crash_watch import CrashWatch
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.egress import Egress
from cassiahatch_node.mesh.frames import LINK_VERSION, Hello
from cassiahatch_node.mesh.front_end import FrontEnd
from cassiahatch_node.mesh.http_server import ClientServer
from cassiahatch_node.mesh.ingress import Ingress
from cassiahatch_node.mesh.journal import EXIT_WAIT_S, Journal
from cassiahatch_node.mesh.lease import LeaseWatch, make_lease
from cassiahatch_node.mesh.link_in import LinkService, PeerConnection
from cassiahatch_node.mesh.link_out import LinkCallbacks, PeerLink
from cassiahatch_node.mesh.own_backend import OwnBackend
from cassiahatch_node.mesh.process_signals import ProcessSignals
from cassiahatch_node.mesh.quota_payments import QuotaPayments
from cassiahatch_node.mesh.quota_setup import make_team_quotas
from cassiahatch_node.mesh.readers import ReaderElection
from cassiahatch_node.mesh.registration import Registration
from cassiahatch_node.mesh.response_limits import ResponseLimits
from cassiahatch_node.mesh.retry_limiter import RetryLimiter
from cassiahatch_node.mesh.server_limit import ServerLimit
from cassiahatch_node.mesh.settings import MeshSettings, split_address
from cassiahatch_node.mesh.settings_watch import SettingsWatch
from cassiahatch_node.mesh.spans import Spans
from cassiahatch_node.mesh.stopping import GracefulStop
from cassiahatch_node.mesh.store_sync import StoreSync
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.supervision import run_supervised

BACKLOG = 512
"""Connections that may wait to be accepted: more than a burst of clients opens in the
time that the node needs to wake up."""
TICK_INTERVAL_S = 0.2
"""Interval of the ticks by which a suspension of the VM is detected."""
DRAIN_MARGIN_S = 0.5
"""Time before the end of the drain period at which a draining backend server gets its
last call."""
MAX_EXIT_WAIT_SHARE = 0.5
"""Largest share of the rest of the grace period for which the end of the process waits
for the reader of the log."""
GC_THRESHOLDS = (20_000, 20, 100)
"""Thresholds of the garbage collector, the first one in allocations. They are far above
the default, because a call allocates some dozens of objects, nearly all of which are
freed by reference counting."""
MS_PER_S = 1000


class Sidecar:
    """The node of one backend server; a context manager that listens while open.

    Parameters
    ----------
    settings : MeshSettings
        The checked settings.
    random_source : random.Random, optional
        Source of randomness.
    journal_fd : int, optional
        File descriptor for log lines, standard output by default.
    """

    def __init__(
        self,
        settings: MeshSettings,
        random_source: random.Random | None = None,
        journal_fd: int | None = None,
    ) -> None:
        load_plugins(MESH_GROUP)
        self._settings = settings
        self._clock = BootClock()
        self._random = random_source or random.Random()
        self._stack = AsyncExitStack()
        self._stopping = asyncio.Event()
        self._limits = Limits()
        self._teams: tuple[Team, ...] = ()
        self._team_table = TeamTable()
        """Teams of the configuration in force, indexed."""
        self._servers: list[asyncio.Server] = []
        self._wire(journal_fd)

    def _wire(self, journal_fd: int | None) -> None:
        settings, clock, plugins = self._settings, self._clock, self._settings.plugins
        node = settings.node
        self.metrics = Metrics()
        self.journal = Journal(node.id, self.metrics, journal_fd)
        dialect = PLUGINS.create("dialect", plugins.dialect)
        self._store = PLUGINS.create(
            "feed_store",
            plugins.store,
            settings.store.address,
            settings.store.timeout_s,
        )
        backend_host, backend_port = split_address(node.backend)
        answers = settings.answers
        self.response_limits = ResponseLimits(
            answers.max_head_bytes, answers.max_body_bytes, answers.max_backend_bytes
        )
        self.answer_memory = AnswerMemory(answers.max_total_bytes)
        cutoff = PLUGINS.create("cutoff", plugins.cutoff)
        self.body_memory = BodyMemory(settings.bodies.max_total_bytes)
        retries = settings.retries
        budget = PLUGINS.create(
            "retry_budget",
            plugins.retry_budget,
            retries.ratio,
            retries.slack,
            retries.window_s,
            node.is_first_start,
        )
        self.budget = budget
        self.graph = CallGraph(
            clock, lambda: cutoff.value, lambda: budget.compute_use(clock.monotonic())
        )
        self.backend = OwnBackend(
            node.service, node.backend, settings.stopping.drain_s - DRAIN_MARGIN_S
        )
        self.spans = Spans(settings.spans.share, self.journal)
        crashes = CrashWatch(
            PLUGINS.create("quarantine", plugins.quarantine), clock, self.journal
        )
        self.crashes = crashes
        self._arrivals = ArrivalLog(self.metrics, self.journal)
        limit = PLUGINS.create("concurrency_limit", plugins.concurrency_limit)
        queue = PLUGINS.create("queue", plugins.queue, 1, limit)
        self.ingress = Ingress(
            clock,
            self.backend,
            queue,
            cutoff,
            RetryLimiter(
                clock, budget, self.graph.compute_downstream_retry_use, self._arrivals
            ),
            lambda: BackendClient(
                backend_host,
                backend_port,
                dialect,
                clock.monotonic,
                self.response_limits,
                self.ingress.record_answer,
            ),
            ServerLimit(queue, limit, clock, self.metrics, self.journal),
            PLUGINS.create("rate_limit", plugins.rate_limit, node.is_first_start),
            lambda: probe_backend(backend_host, backend_port),
            crashes,
            self.spans,
            self.metrics,
            self.journal,
        )
        self.directory = Directory(
            node.id, node.zone, clock, self._create_link, self.journal
        )
        self.store_sync = StoreSync(
            self._store,
            PLUGINS.create("configurations", plugins.configurations),
            self.directory,
            settings.store,
            clock,
            self._random,
            self.journal,
            self._apply_configuration,
        )
        self.store_sync.on_members_applied = self._on_members_applied
        self.readers = ReaderElection(
            node.id,
            node.zone,
            self.store_sync,
            self.directory,
            clock,
            self._random,
            self.journal,
        )
        self.store_sync.on_confirmed = self.readers.on_confirmed
        peer_host, peer_port = split_address(node.advertised or node.peers)
        own = Member(
            node.id, peer_host, peer_port, node.zone, int(clock.wall() * MS_PER_S)
        )
        self.registration = Registration(
            own,
            self._store,
            self.directory,
            self.store_sync,
            clock,
            self._random,
            self.journal,
        )
        self.egress = Egress(
            node.id,
            clock,
            self.directory,
            self.ingress,
            PLUGINS.create("placement", plugins.placement, node.zone, self._random),
            node.service,
            self.graph,
            crashes,
            self._random,
            self.spans,
            self.metrics,
            self.journal,
        )
        self.egress.lease = self._make_lease()
        self.quotas = make_team_quotas(
            settings,
            self._store,
            self.directory,
            lambda: self._team_table,
            clock,
            self._random,
            self.metrics,
            self.journal,
        )
        self._front_end = FrontEnd(
            dialect,
            self.egress,
            QuotaPayments(self.quotas, self.journal),
            clock,
            self.metrics,
            self.journal,
            self.answer_memory,
            self._stopping.is_set,
            lambda read_at: self._links.compute_earliest_sending(read_at),
        )
        self._clients = ClientServer(
            clock,
            lambda: self._limits,
            self._front_end,
            self.body_memory,
            settings.requests.max_framing_bytes,
            self.answer_memory,
            lambda error: self.journal.note("connection_failed", error=repr(error)),
        )
        self._announcement_handler = AnnouncementHandler(
            self.backend,
            self.registration,
            self.ingress.resize,
            self._broadcast_load,
            clock,
            self.journal,
        )
        self._links = LinkService(
            clock,
            self.ingress,
            self.journal,
            self._make_hello,
            self.store_sync.make_update,
            self.store_sync.apply_update,
            self.directory.reconnect,
            self.readers.on_reader_frame,
            self.store_sync.confirm,
            crashes.make_crash_frames,
            self.graph,
            self.body_memory,
            self.response_limits.memory,
        )
        if self.quotas is not None:
            self._links.on_quota_request = self.quotas.keepers.answer
        self.registration.on_change = self._links.broadcast_member
        crashes.broadcast = self._links.broadcast_crash
        self.ingress.on_missing = self._broadcast_load
        self.ingress.on_leaving = self._announcement_handler.handle_leaving

    async def __aenter__(self) -> Sidecar:
        try:
            await self._open()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._stack.aclose()

    async def run(self, path: Path, signals: ProcessSignals) -> None:
        """Serve until SIGTERM, then stop gracefully.

        Parameters
        ----------
        path : Path
            The settings file, which is reloaded when it changes.
        signals : ProcessSignals
            The signals of the process.
        """
        watch = SettingsWatch(path, self._settings, self.reload, self.journal)
        signals.follow(self._stopping.set, watch.wake)
        self._start_task(watch.run)
        await self._stopping.wait()
        await self.stop(signals.told_to_stop_at)

    def reload(self, settings: MeshSettings) -> None:
        """Apply changed settings, except addresses and plug-ins."""
        previous, self._settings = self._settings.revocation, settings
        self.backend.drain_s = settings.stopping.drain_s - DRAIN_MARGIN_S
        self.spans.share = settings.spans.share
        self.body_memory.max_total_bytes = settings.bodies.max_total_bytes
        retries = settings.retries
        self.budget.set_limits(retries.ratio, retries.slack, retries.window_s)
        if settings.revocation != previous:
            self.egress.lease = self._make_lease()

    async def _open(self) -> None:
        stack, node = self._stack, self._settings.node
        stack.enter_context(self.journal)
        self.journal.note("started", service=node.service, zone=node.zone)
        stack.callback(self._store.close)
        stack.enter_context(self.directory)
        stack.callback(self.ingress.close)
        await self._listen()
        for run in (
            self.journal.run,
            self.store_sync.follow_configuration,
            self.store_sync.follow_members,
            self.registration.run,
            self.readers.run,
            self.directory.check_links,
            self.ingress.sweep,
            self.ingress.watch,
            self._arrivals.run,
            self._clients.sweep,
            self._tick,
        ):
            self._start_task(run)
        if self.quotas is not None:
            self._start_task(self.quotas.run)
            self._start_task(self.quotas.keepers.run)
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)

    async def _listen(self) -> None:
        node = self._settings.node
        stack = self._stack
        server = await self._clients.listen(*split_address(node.clients), BACKLOG)
        stack.callback(server.close)
        self._servers.append(server)
        loop = asyncio.get_running_loop()
        links = await loop.create_server(
            lambda: PeerConnection(self._links),
            *split_address(node.peers),
            backlog=BACKLOG,
        )
        stack.callback(links.close)
        self._servers.append(links)
        self._control = ControlService(
            PLUGINS.create("announcements", self._settings.plugins.announcements),
            self.metrics,
            self.journal,
            self._is_ready,
            self._announcement_handler.handle_announcement,
            self._announcement_handler.handle_leave,
        )
        addresses = {node.readiness, node.announcements}
        if node.metrics_port:
            addresses.add(f"{split_address(node.peers)[0]}:{node.metrics_port}")
        for address in sorted(addresses):
            control = start_control_server(
                self._control, *split_address(address), address == node.announcements
            )
            stack.callback(control.stop)

    async def stop(self, started_at: float | None = None) -> None:
        """Stop gracefully: finish the open requests, and serve or reject new ones.

        Parameters
        ----------
        started_at : float, optional
            Monotonic seconds from which the grace period counts, by default now.
        """
        self._stopping.set()
        if self.quotas is not None:
            release = asyncio.create_task(self.quotas.keepers.release())
            self._stack.callback(release.cancel)
        if started_at is None:
            started_at = self._clock.monotonic()
        grace_s = self._settings.stopping.grace_s
        await GracefulStop(
            PLUGINS.create(
                "stop_admission",
                self._settings.plugins.stop_admission,
                started_at,
                grace_s,
            ),
            self.backend,
            self._front_end,
            self._servers,
            self._count_open,
            self._broadcast_load,
            self._answer_open,
            self._end_connections,
            lambda: len(self._links.connections),
            self._clock,
            self.journal,
        ).run()
        self._clients.report_undelivered("stopped")
        self._links.report_undelivered()
        left_s = started_at + grace_s - self._clock.monotonic()
        self.journal.exit_wait_s = min(EXIT_WAIT_S, MAX_EXIT_WAIT_SHARE * left_s)

    async def _tick(self) -> None:
        while True:
            self._links.tick()
            self.store_sync.apply_held_configuration()
            if not self._announcement_handler.is_restored:
                self._restore_backend()
            if self.egress.lease is not None:
                self.egress.lease.check()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _on_members_applied(self) -> None:
        self.budget.server_count = self.directory.count_endpoints(self.backend.service)
        self._restore_backend()
        self.registration.restore()

    def _restore_backend(self) -> None:
        if self.store_sync.has_members:
            self._announcement_handler.apply_stored()

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._limits = configuration.limits
        self._apply_teams(configuration)
        routes = RouteTable(
            configuration.version,
            configuration.rules,
            configuration.limits,
            self._random,
        )
        self.egress.rules = Ruleset(routes, self._team_table)

    def _apply_teams(self, configuration: Configuration) -> None:
        if configuration.teams == self._teams:
            return
        self._teams = configuration.teams
        self._team_table = TeamTable(configuration.teams)
        self.journal.note(
            "teams_in_force",
            version=configuration.version,
            teams=len(configuration.teams),
        )
        ambiguous = self._team_table.ambiguous_teams
        if ambiguous:
            self.journal.note("ambiguous_api_key", teams=ambiguous)

    def _make_lease(self) -> LeaseWatch | None:
        return make_lease(self._settings, self.store_sync, self.metrics, self.journal)

    def _create_link(self, member: Member) -> PeerLink:
        callbacks = LinkCallbacks(
            self.directory.record_load,
            self.graph.record_path_report,
            self.store_sync.apply_update,
            self.store_sync.make_update,
            self._make_hello,
            self.store_sync.confirm,
            self.crashes.apply_frame,
            self.directory.refresh_reachability,
            None if self.quotas is None else self.quotas.on_grant,
        )
        return PeerLink(
            member.node_id,
            member.host,
            member.peer_port,
            self._clock,
            callbacks,
            self.answer_memory,
            self.journal,
        )

    def _make_hello(self) -> Hello:
        return self.store_sync.make_hello(LINK_VERSION, self._settings.node.id)

    def _broadcast_load(self) -> None:
        load = self.ingress.load
        self.directory.record_load(self._settings.node.id, load)
        self._links.broadcast_load(load)

    def _is_ready(self) -> bool:
        return self.store_sync.has_configuration and not self._stopping.is_set()

    def _answer_open(self) -> None:
        """Answer all open requests, since the process ends."""
        self.egress.is_ending = True
        self.ingress.end_calls()
        self.directory.end_calls()

    def _end_connections(self) -> None:
        self._clients.end()
        self._links.end()

    def _count_open(self) -> int:
        """Return the number of open requests and calls, and of control requests.

        The last ones count once no calls are taken: while the store is away, there is
        nearly always a heartbeat that waits for it.
        """
        open_count = (
            self._clients.open_count + self.ingress.open_count + self._links.open_count
        )
        admission = self._front_end.stop_admission
        if admission is not None and admission.is_closed:
            open_count += self._control.open_count
        return open_count

    def _start_task(self, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task that runs until the node ends, whatever errors it meets."""
        supervised = run_supervised(run, self._log_task_failure)
        task = asyncio.create_task(supervised, name=run.__qualname__)
        self._stack.callback(task.cancel)

    def _log_task_failure(self, name: str, error: Exception) -> None:
        self.journal.note("task_failed", task=name, error=repr(error))
