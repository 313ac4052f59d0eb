"""Outbound request handling: backend server selection, sending and retries."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    AttemptKind,
    Call,
    Indeterminate,
    Reason,
    Rejection,
    Reply,
    Request,
    Result,
)
from cassiahatch_kernel.members import Member
from cassiahatch_kernel.routes import RouteRule
from cassiahatch_kernel.rulesets import Ruleset
from cassiahatch_node.mesh.call_graph import CallGraph
from cassiahatch_node.mesh.crash_watch import CrashWatch
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.ingress import Ingress
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.lease import LeaseWatch
from cassiahatch_node.mesh.request_state import RequestState, combine_results
from cassiahatch_node.mesh.spans import Hop, Spans, format_result
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.identification import (
    Identity,
    identify_call,
    identify_request,
)
from cassiahatch_policies.placement import Endpoint, is_outlier
from cassiahatch_policies.positions import compute_position
from cassiahatch_policies.retry_budget import allows_retry

MS_PER_S = 1000
EDGE_RETRY_AFTER_S = (0.4, 1.6)
"""Bounds of the random ``Retry-After`` on requests rejected at the edge. The range
spreads the retries of callers over time, so that capacity is free when each arrives.
Clients wait for at most a third of their remaining time: 1.7 s with the longest
deadlines."""
MAX_ATTEMPTS = 8
"""Limit on attempts for one request; the retry budget stops most requests earlier."""
NO_MEMBER_RETRY_AFTER_S = 0.25
"""``Retry-After`` sent while no backend server of the service is available."""
MIN_FAILURE_STATUS = 500
REMOTE_DEADLINE_MARGIN_S = 0.004
"""Time by which the deadline given to the remote node is earlier than the local one:
one round trip between availability zones, so that the remote node can still report that
the request was not run."""
SHED_BACKOFF_S = (0.01, 0.03)
"""Bounds of the random backoff before a request is sent again to a backend server that
has shed it, doubled each time. They match the duration of one internal call, after
which a slot may have become free."""
MIN_RETRY_TIME_S = 0.02
"""Time that must remain before the deadline for a request to be retried."""


class Egress:
    """Sends requests to backend servers, and retries those that are safe to retry.

    Parameters
    ----------
    own_id : str
        Id of this node.
    directory : Directory
        The known backend servers.
    ingress : Ingress
        Runs the calls for the local backend server.
    placement : object
        The plug-in that selects a backend server for each attempt.
    caller : str
        Name of the service that runs on this VM.
    graph : CallGraph
        Routes that the runs of each route call, with the reported cutoffs.
    crashes : CrashWatch
        Rejects quarantined requests before they are sent.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        directory: Directory,
        ingress: Ingress,
        placement: Any,
        caller: str,
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
        self._caller = caller
        self._graph = graph
        self._crashes = crashes
        self._metrics = metrics
        self._journal = journal
        self.rules: Ruleset | None = None
        """Routes and teams in force; None until the node has received a
        configuration."""
        self.lease: LeaseWatch | None = None
        """The lease on the configuration; None if keys need no revocation in bounded
        time."""
        self.is_ending = False
        """Whether the process ends, so that nothing is sent any more."""

    def identify(
        self, request: Request, rules: Ruleset, rule: RouteRule
    ) -> Identity | Rejection:
        """Return whose request it is and its rank, or a rejection.

        A call of a run at the local backend server belongs to the team of that run.
        A key counts only while the configuration lease holds.
        """
        match self._find_identity(request, rules, rule):
            case Identity(has_key=True) as identity if self.lease is not None:
                return self.lease.find_rejection() or identity
            case result:
                return result

    def _find_identity(
        self, request: Request, rules: Ruleset, rule: RouteRule
    ) -> Identity | Rejection:
        if not request.parent:
            return identify_request(rules.teams, rule, request.api_key)
        parent = self._ingress.running.find_parent(request.parent)
        parent_call = None if parent is None else parent.call
        return identify_call(rules.teams, rule, parent_call)

    async def serve(
        self, request: Request, rules: Ruleset, rule: RouteRule, identity: Identity
    ) -> Result:
        """Send an admitted request from a local client and return its result.

        Parameters
        ----------
        rules : Ruleset
            Routes and teams by which it was admitted, of which ``rule`` is one.
        """
        state = self._create_state(request, rules, rule, identity)
        result = await self._send_with_retries(state)
        if self._spans.is_sampled(state.position):
            spent_s = self._clock.monotonic() - request.arrived
            self._spans.write(Hop.REQUEST, request.id, spent_s, result, route=rule.name)
        return result

    def find_overload(
        self, request: Request, rule: RouteRule, identity: Identity
    ) -> Rejection | None:
        """Return the rejection of a root request beyond its route's cutoff.

        Only the head of the request needs to have been read. One that is admitted may
        count as a probe of its route, so each request is checked once. One that only
        looks like a call, by an id that a client chose, counts as a root request.
        """
        if self._ingress.running.find_parent(request.parent) is not None:
            return None
        position = compute_position(identity.rank, request.root)
        if not self._graph.admits(rule.name, position, request.arrived):
            retry_after_s = self._random.uniform(*EDGE_RETRY_AFTER_S)
            self._journal.trace(
                "refused_at_edge",
                request=request.id,
                reason=Reason.EDGE_OVERLOAD,
                route=rule.name,
                team=identity.team,
                position=round(position, 3),
                cutoff=round(
                    self._graph.get_reported_cutoff(rule.name, request.arrived), 3
                ),
            )
            return Rejection(Reason.EDGE_OVERLOAD, retry_after_s)
        return None

    def _create_state(
        self, request: Request, rules: Ruleset, rule: RouteRule, identity: Identity
    ) -> RequestState:
        root_target_at = compute_target(request, rule)
        parent = self._ingress.running.find_parent(request.parent)
        is_caused_by_retry = self._ingress.was_caused_by_retry(request.parent)
        if parent is not None:
            root_target_at = parent.root_target_at
            parent.has_calls = True
            self._graph.record_call(parent.call.route, rule.name)
        return RequestState(
            request,
            rule,
            rules.routes.choose_service(rule),
            compute_expiry(request, rule),
            identity.rank,
            compute_position(identity.rank, request.root),
            identity.team,
            root_target_at,
            is_caused_by_retry,
        )

    async def _send_with_retries(self, state: RequestState) -> Result:
        result: Result = Rejection(Reason.NO_MEMBER, NO_MEMBER_RETRY_AFTER_S)
        for _ in range(MAX_ATTEMPTS):
            now = self._clock.monotonic()
            endpoint = self._choose_endpoint(state, now)
            if endpoint is None or not await self._back_off(state, endpoint, now):
                break
            now = self._clock.monotonic()
            outcome = await self._attempt(state, endpoint, now)
            result = combine_results(result, outcome, state.may_have_run)
            if not self._may_retry(state, endpoint, outcome):
                break
            self._metrics.count(f"sent_again:{format_result(outcome)}")
            self._journal.trace(
                "sent_again",
                request=state.request.id,
                service=state.service,
                after=format_result(outcome),
                node=endpoint.node_id,
                repeat_use=round(endpoint.load.retry_budget_use, 3),
            )
        return result

    async def _back_off(
        self, state: RequestState, endpoint: Endpoint, now: float
    ) -> bool:
        """Wait before a retry to an endpoint that shed the request.

        Returns False if the deadline leaves too little time.
        """
        if endpoint.node_id not in state.shed_by:
            return True
        backoff_s = self._random.uniform(*SHED_BACKOFF_S) * 2**state.backoffs
        state.backoffs += 1
        if state.expires_at - now < backoff_s + MIN_RETRY_TIME_S:
            return False
        await asyncio.sleep(backoff_s)
        return True

    def _choose_endpoint(self, state: RequestState, now: float) -> Endpoint | None:
        """Return the endpoint for the next attempt.

        An endpoint that has shed the request is chosen only if no other is available.
        """
        endpoints = self._directory.list_endpoints(state.service)
        if state.attempt_kind is AttemptKind.RETRY:
            endpoints = self._list_within_retry_budget(endpoints, state)
        target_at = compute_target(state.request, state.rule)
        time_to_target_ms = (target_at - now) * MS_PER_S
        if len(state.sent_to) < state.rule.max_attempts:
            excluded = state.sent_to | state.rejected_by
            endpoint = self._placement.choose(
                endpoints, excluded, time_to_target_ms, now
            )
            if endpoint is not None:
                return endpoint
        endpoints = [
            endpoint for endpoint in endpoints if endpoint.node_id in state.shed_by
        ]
        return self._placement.choose(
            endpoints, state.rejected_by, time_to_target_ms, now
        )

    def _list_within_retry_budget(
        self, endpoints: list[Endpoint], state: RequestState
    ) -> list[Endpoint]:
        """Return the endpoints whose reported retry budget use allows another retry."""
        downstream_use = self._graph.get_reported_retry_use(state.rule.name)
        return [
            endpoint
            for endpoint in endpoints
            if allows_retry(
                endpoint.load.retry_budget_use, downstream_use, state.position
            )
        ]

    async def _attempt(
        self, state: RequestState, endpoint: Endpoint, now: float
    ) -> Result:
        member = self._directory.members[endpoint.node_id]
        endpoint.in_flight += 1
        endpoint.sent_since_report += 1
        try:
            outcome = await self._send(state, member, now)
        finally:
            endpoint.in_flight -= 1
        if self._spans.is_sampled(state.position):
            spent_s = self._clock.monotonic() - now
            self._spans.write(
                Hop.SEND, state.request.id, spent_s, outcome, to=endpoint.node_id
            )
        self._update_health(endpoint, outcome)
        state.record_attempt(endpoint.node_id, outcome)
        return outcome

    async def _send(self, state: RequestState, member: Member, now: float) -> Result:
        call = self._make_call(state, member, now)
        rejection = self._crashes.find_rejection(call)
        if rejection is not None:
            return rejection
        if member.node_id == self._own_id:
            return await self._send_local(call, state.expires_at)
        link = self._directory.ensure_link(member.node_id)
        if link is None:
            return Rejection(Reason.UNREACHABLE, retry_elsewhere=True)
        number, future = link.send_call(call)
        try:
            return await self._wait_result(future, state.expires_at)
        finally:
            link.cancel(number)

    async def _send_local(self, call: Call, expires_at: float) -> Result:
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
            return await self._wait_result(future, expires_at)
        finally:
            if not future.done() or future.cancelled():
                self._ingress.withdraw(job)

    async def _wait_result(
        self, future: asyncio.Future[Result], expires_at: float
    ) -> Result:
        """Wait for a result; return ``Indeterminate`` if the deadline passes first."""
        if future.done():
            return future.result()
        loop = asyncio.get_running_loop()
        remaining_s = max(0.0, expires_at - self._clock.monotonic())
        timer = loop.call_later(remaining_s, _set_deadline_exceeded, future)
        try:
            return await future
        finally:
            timer.cancel()

    def _make_call(self, state: RequestState, member: Member, now: float) -> Call:
        request, rule = state.request, state.rule
        remaining_s = state.expires_at - now - REMOTE_DEADLINE_MARGIN_S
        target_s = compute_target(request, rule) - now
        return Call(
            request.id,
            rule.name,
            request.method,
            request.host,
            request.target,
            request.head,
            request.body,
            self._caller,
            member.instance,
            remaining_s * MS_PER_S,
            target_s * MS_PER_S,
            state.rank,
            state.position,
            not request.parent,
            rule.is_idempotent,
            (state.root_target_at - now) * MS_PER_S,
            state.attempt_kind,
            state.team,
        )

    def _update_health(self, endpoint: Endpoint, outcome: Result) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Reply(status=status) if status >= MIN_FAILURE_STATUS:
                endpoint.record_error_reply()
            case Reply():
                endpoint.record_success()
            case Rejection(reason=Reason.UNREACHABLE | Reason.NO_BACKEND):
                endpoint.eject(now)
            case Rejection(reason=Reason.OTHER_INSTANCE | Reason.MISDIRECTED):
                endpoint.eject(now)
            case Rejection(reason=Reason.DRAINING):
                endpoint.eject(now)
            case Indeterminate(reason=Reason.LINK_LOST):
                endpoint.eject(now)
            case Rejection(reason=Reason.SHED) | Indeterminate():
                endpoint.record_failure(now)

    def _may_retry(
        self, state: RequestState, endpoint: Endpoint, outcome: Result
    ) -> bool:
        """Return whether the request may be sent once more."""
        now = self._clock.monotonic()
        if self.is_ending or state.expires_at - now < MIN_RETRY_TIME_S:
            return False
        rule = state.rule
        match outcome:
            case Rejection(retry_elsewhere=retry_elsewhere):
                return retry_elsewhere
            case Reply(status=status) if status < MIN_FAILURE_STATUS:
                return False
            case Reply() if not self._is_outlier(endpoint, state.service):
                return False
            case Reply() if self._graph.is_overloaded(rule.name, state.position, now):
                return False
            case Indeterminate() | Reply():
                return rule.is_idempotent and len(state.sent_to) < rule.max_attempts

    def _is_outlier(self, endpoint: Endpoint, service: str) -> bool:
        return is_outlier(endpoint, self._directory.list_endpoints(service))


def compute_expiry(request: Request, rule: RouteRule) -> float:
    """Return the earlier of the client's deadline and the route's timeout."""
    timeout_s = rule.timeout_s
    if request.timeout_s is not None:
        timeout_s = min(timeout_s, request.timeout_s)
    return request.arrived + timeout_s


def compute_target(request: Request, rule: RouteRule) -> float:
    """Return when the latency target of a request passes, in monotonic seconds.

    It is no later than the deadline. Otherwise, calls of a route whose timeout is shorter
    than its target would be queued behind requests that can wait longer.
    """
    return min(request.arrived + rule.target_latency_s, compute_expiry(request, rule))


def _set_deadline_exceeded(future: asyncio.Future[Result]) -> None:
    if not future.done():
        future.set_result(Indeterminate(Reason.DEADLINE))
