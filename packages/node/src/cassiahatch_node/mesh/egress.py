"""The way of a request from its client to a backend server, and back."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    Call,
    Lineage,
    Lost,
    Reason,
    Rejection,
    Reply,
    Request,
    Result,
)
from cassiahatch_kernel.members import Member
from cassiahatch_kernel.routes import RouteRule, RouteTable
from cassiahatch_node.mesh.call_graph import CallGraph
from cassiahatch_node.mesh.crash_watch import CrashWatch
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.ingress import Ingress
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.request_state import Passage, combine_results
from cassiahatch_node.mesh.spans import Hop, Spans, name_result
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.placement import Place, is_grey
from cassiahatch_policies.positions import compute_position
from cassiahatch_policies.retry_budget import leaves_room

MS_PER_S = 1000
EDGE_PAUSE_S = (0.4, 1.6)
"""Bounds of the pause that a caller refused at the edge is asked for; spread, so that
those who come back find room one after the other. Clients wait for a third of the time
they have left at most: 1.7 s with the longest deadlines."""
MAX_TRIES = 8
"""Attempts before a request is refused; the budget of repeats ends most sooner."""
NOT_READY_PAUSE_S = 0.5
"""Pause asked of a caller while the node knows no configuration."""
NO_MEMBER_PAUSE_S = 0.25
"""Pause asked of a caller while no backend server of the service is known."""
FIRST_FAILURE_STATUS = 500
FAR_MARGIN_S = 0.004
"""How much sooner the far node gives up than this one, so that it can still say that
the request was not run: a crossing between zones and back."""
SHED_PAUSE_S = (0.01, 0.03)
"""Bounds of the pause before a request goes once more to a backend server that has just
turned it away, doubled each time: about one run of an internal call, so that a slot may
have become free."""
LEAST_RETRY_S = 0.02
"""Time that must be left for a request to be sent once more."""


class Egress:
    """Sends requests to backend servers, again where that is safe.

    Parameters
    ----------
    own_id : str
        This node.
    directory : Directory
        The backend servers known.
    ingress : Ingress
        The door of the backend server beside this node.
    placement : object
        The plug-in that chooses a place.
    read_caller : callable
        Returns the service that runs on this VM.
    graph : CallGraph
        What runs of each route call, and the cutoffs met there.
    crashes : CrashWatch
        Keeps requests that crash backend servers from being sent.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        directory: Directory,
        ingress: Ingress,
        placement: Any,
        read_caller: Callable[[], str],
        graph: CallGraph,
        crashes: CrashWatch,
        random_source: random.Random,
        spans: Spans,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self._spans = spans
        self._random = random_source
        self._own_id = own_id
        self._clock = clock
        self._directory = directory
        self._ingress = ingress
        self._placement = placement
        self._read_caller = read_caller
        self._graph = graph
        self._crashes = crashes
        self._metrics = metrics
        self._journal = journal
        self.table: RouteTable | None = None
        """The routes in force; None until the node knows some."""

    async def serve(self, request: Request) -> Result:
        """Return how a request ended."""
        table = self.table
        if table is None:
            return Rejection(Reason.NO_CONFIGURATION, NOT_READY_PAUSE_S)
        rule = table.find(request.host, request.target)
        if rule is None:
            return Rejection(Reason.NO_ROUTE)
        patience_s = rule.timeout_s
        if request.timeout_s is not None:
            patience_s = min(patience_s, request.timeout_s)
        passage = self._begin(request, rule, table, patience_s)
        if not request.parent and not self._graph.admits(
            rule.name, passage.position, request.arrived
        ):
            pause_s = self._random.uniform(*EDGE_PAUSE_S)
            self._journal.trace(
                "refused_at_edge",
                request=request.id,
                reason=Reason.EDGE_OVERLOAD,
                route=rule.name,
                position=round(passage.position, 3),
                cutoff=round(self._graph.read_path(rule.name, request.arrived), 3),
            )
            return Rejection(Reason.EDGE_OVERLOAD, pause_s)
        result = await self._pass(passage)
        if self._spans.is_sampled(passage.position):
            spent_s = self._clock.monotonic() - request.arrived
            self._spans.write(Hop.REQUEST, request.id, spent_s, result, route=rule.name)
        return result

    def _begin(
        self, request: Request, rule: RouteRule, table: RouteTable, patience_s: float
    ) -> Passage:
        rank = rule.priority
        root_target_at = request.arrived + rule.target_latency_s
        parent = self._ingress.running.get(request.parent) if request.parent else None
        is_below_repeat = self._ingress.was_repeat(request.parent)
        if parent is not None:
            rank, root_target_at = parent.call.rank, parent.root_target_at
            self._graph.note_call(parent.call.route, rule.name)
        return Passage(
            request,
            rule,
            table.choose_service(rule),
            request.arrived + patience_s,
            rank,
            compute_position(rank, request.root),
            root_target_at,
            is_below_repeat,
        )

    async def _pass(self, passage: Passage) -> Result:
        result: Result = Rejection(Reason.NO_MEMBER, NO_MEMBER_PAUSE_S)
        for _ in range(MAX_TRIES):
            now = self._clock.monotonic()
            place = self._choose(passage, now)
            if place is None or not await self._wait_turn(passage, place, now):
                break
            now = self._clock.monotonic()
            outcome = await self._attempt(passage, place, now)
            result = combine_results(result, outcome, passage.may_have_run)
            if not self._may_go_on(passage, place, outcome):
                break
            self._metrics.count(f"sent_again:{name_result(outcome)}")
            self._journal.trace(
                "sent_again",
                request=passage.request.id,
                service=passage.service,
                after=name_result(outcome),
                node=place.node_id,
                repeat_use=round(place.load.repeat_use, 3),
            )
        return result

    async def _wait_turn(self, passage: Passage, place: Place, now: float) -> bool:
        """Pause before a place that shed the request, and tell whether time is left."""
        if place.node_id not in passage.shed_by:
            return True
        pause_s = self._random.uniform(*SHED_PAUSE_S) * 2**passage.pauses
        passage.pauses += 1
        if passage.expires_at - now < pause_s + LEAST_RETRY_S:
            return False
        await asyncio.sleep(pause_s)
        return True

    def _choose(self, passage: Passage, now: float) -> Place | None:
        """Return the next place for a request; one that shed it only if none is left."""
        places = self._directory.list_places(passage.service)
        if passage.lineage is Lineage.REPEAT:
            places = self._list_roomy(places, passage)
        target_at = passage.request.arrived + passage.rule.target_latency_s
        left_ms = (target_at - now) * MS_PER_S
        if len(passage.sent_to) < passage.rule.max_attempts:
            tried = passage.sent_to | passage.refused_by
            place = self._placement.choose(places, tried, left_ms, now)
            if place is not None:
                return place
        places = [place for place in places if place.node_id in passage.shed_by]
        return self._placement.choose(places, passage.refused_by, left_ms, now)

    def _list_roomy(self, places: list[Place], passage: Passage) -> list[Place]:
        """Return the places that still take repeats, as far as is known."""
        path = self._graph.read_use(passage.rule.name)
        return [
            place
            for place in places
            if leaves_room(place.load.repeat_use, path, passage.position)
        ]

    async def _attempt(self, passage: Passage, place: Place, now: float) -> Result:
        member = self._directory.members[place.node_id]
        place.in_flight += 1
        place.sent_since_report += 1
        try:
            outcome = await self._send(passage, member, now)
        finally:
            place.in_flight -= 1
        if self._spans.is_sampled(passage.position):
            spent_s = self._clock.monotonic() - now
            self._spans.write(
                Hop.SEND, passage.request.id, spent_s, outcome, to=place.node_id
            )
        self._learn(place, outcome)
        passage.note_attempt(place.node_id, outcome)
        return outcome

    async def _send(self, passage: Passage, member: Member, now: float) -> Result:
        call = self._make_call(passage, member, now)
        obstacle = self._crashes.find_rejection(call)
        if obstacle is not None:
            return obstacle
        if member.node_id == self._own_id:
            return await self._send_here(call, passage.expires_at)
        link = self._directory.find_link(member.node_id)
        if link is None:
            return Rejection(Reason.UNREACHABLE, elsewhere=True)
        number, future = link.start(call)
        try:
            return await self._wait(future, passage.expires_at)
        finally:
            link.withdraw(number)

    async def _send_here(self, call: Call, expires_at: float) -> Result:
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()

        def reply(result: Result) -> None:
            graph, route = self._graph, call.route
            graph.record_path_report(
                route,
                graph.compute_path_cutoff(route),
                graph.compute_path_retry_use(route),
            )
            if not future.done():
                future.set_result(result)

        job = self._ingress.make_job(call, reply)
        self._ingress.accept(job)
        try:
            return await self._wait(future, expires_at)
        finally:
            if not future.done() or future.cancelled():
                self._ingress.withdraw(job)

    async def _wait(self, future: asyncio.Future[Result], expires_at: float) -> Result:
        """Return the result, or that none came in time."""
        if future.done():
            return future.result()
        loop = asyncio.get_running_loop()
        remaining_s = max(0.0, expires_at - self._clock.monotonic())
        timer = loop.call_later(remaining_s, _expire, future)
        try:
            return await future
        finally:
            timer.cancel()

    def _make_call(self, passage: Passage, member: Member, now: float) -> Call:
        request, rule = passage.request, passage.rule
        remaining_s = passage.expires_at - now - FAR_MARGIN_S
        target_s = request.arrived + rule.target_latency_s - now
        return Call(
            request.id,
            rule.name,
            request.method,
            request.host,
            request.target,
            request.head,
            request.body,
            self._read_caller(),
            member.instance,
            remaining_s * MS_PER_S,
            target_s * MS_PER_S,
            passage.rank,
            passage.position,
            not request.parent,
            rule.is_idempotent,
            (passage.root_target_at - now) * MS_PER_S,
            passage.lineage,
        )

    def _learn(self, place: Place, outcome: Result) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Reply(status=status) if status >= FIRST_FAILURE_STATUS:
                place.answer_failure()
            case Reply():
                place.succeed()
            case Rejection(reason=Reason.UNREACHABLE | Reason.NO_BACKEND):
                place.pause(now)
            case Rejection(reason=Reason.OTHER_INSTANCE | Reason.MISDIRECTED):
                place.pause(now)
            case Rejection(reason=Reason.DRAINING):
                place.pause(now)
            case Lost(reason=Reason.LINK_LOST):
                place.pause(now)
            case Rejection(reason=Reason.SHED) | Lost():
                place.fail(now)

    def _may_go_on(self, passage: Passage, place: Place, outcome: Result) -> bool:
        """Tell whether the request may be sent to one more backend server."""
        now = self._clock.monotonic()
        if passage.expires_at - now < LEAST_RETRY_S:
            return False
        rule = passage.rule
        match outcome:
            case Rejection(elsewhere=is_open):
                return is_open
            case Reply(status=status) if status < FIRST_FAILURE_STATUS:
                return False
            case Reply() if not self._is_grey(place, passage.service):
                return False
            case Lost() | Reply():
                return rule.is_idempotent and len(passage.sent_to) < rule.max_attempts

    def _is_grey(self, place: Place, service: str) -> bool:
        return is_grey(place, self._directory.list_places(service))


def _expire(future: asyncio.Future[Result]) -> None:
    if not future.done():
        future.set_result(Lost(Reason.DEADLINE))
