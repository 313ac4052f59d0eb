"""Egress: the choice of an upstream for a call, and retries."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.keys import find_shard
from cassiahatch_kernel.members import Member, Route, find_route
from cassiahatch_kernel.outcomes import (
    Answer,
    Outcome,
    Refusal,
    Unknown,
    convert_to_unknown,
)
from cassiahatch_kernel.priorities import passes_level
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.observability.tracing import Tracing
from cassiahatch_node.peers.pool import LinkPool
from cassiahatch_node.settings import Settings
from cassiahatch_node.wire import Load
from cassiahatch_policies.membership import Roster
from cassiahatch_policies.picker import Target

PATH_LEVEL_TTL_S = 0.5
"""How long an observed admission level is used."""
PATH_LEVEL_WEIGHT = 0.2
"""Weight of a new level in the moving average."""
HOLDER_WAIT_S = 1.5
"""How long a non-idempotent call waits for a holder to be known during a handover."""
HOLDER_POLL_S = 0.02
MAX_BACKEND_LOSSES = 2
"""Number of backend servers lost while running a call after which it is not retried."""

ServeLocally = Callable[[Call, CallContext, bool], Awaitable[Outcome]]


@dataclass(slots=True)
class PathLevel:
    """Moving average of the admission level at a route's service and downstream."""

    value: float = 0.0
    updated: float = float("-inf")
    """Monotonic seconds of the last update."""

    def observe(self, level: int, now: float) -> None:
        """Update the average with the level of an outcome.

        An expired average is replaced.
        """
        if now - self.updated > PATH_LEVEL_TTL_S:
            self.value = float(level)
        self.value += PATH_LEVEL_WEIGHT * (level - self.value)
        self.updated = now

    def would_admit(self, priority: int, now: float) -> bool:
        """Return whether the level admits a call; True if the level has expired."""
        if now - self.updated > PATH_LEVEL_TTL_S:
            return True
        return passes_level(priority, int(self.value))


class Router:
    """Sends calls to upstreams, and retries them within their retry account.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    clock : Clock
        Source of time.
    random_source : random.Random
        Random source of the picker.
    roster : Roster
        Source of the known members.
    metrics, tracing : Metrics, Tracing
        Receivers of measurements.
    serve_locally : callable
        Serves a call whose chosen upstream is this node's own backend server.
    """

    __slots__ = (
        "_clock",
        "_last_holders",
        "_metrics",
        "_path_levels",
        "_picker",
        "_roster",
        "_serve_locally",
        "_settings",
        "_targets",
        "_tracing",
        "pool",
    )

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random_source: random.Random,
        roster: Roster,
        metrics: Metrics,
        tracing: Tracing,
        serve_locally: ServeLocally,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._roster = roster
        self._metrics = metrics
        self._tracing = tracing
        self._serve_locally = serve_locally
        self._picker = PLUGINS.create(
            "picker", settings.plugins.picker, settings.node.zone, random_source
        )
        self._targets: dict[str, Target] = {}
        self._last_holders: dict[str, str] = {}
        self._path_levels: dict[tuple[str, Route], PathLevel] = {}
        self.pool: LinkPool | None = None

    def find_route(self, service: str, method: str, path: str) -> Route | None:
        """Return the announced route of a service that a call matches, or None."""
        for member in self._roster.list_service_members(service):
            route = find_route(member.routes, method, path)
            if route is not None:
                return route
        return None

    def get_target(self, member: Member) -> Target:
        """Return the upstream state of a member."""
        target = self._targets.get(member.node_id)
        if target is None:
            target = Target(member)
            self._targets[member.node_id] = target
        target.member = member
        return target

    def record_load(self, node_id: str, load: Load) -> None:
        """Record the load that a peer reported."""
        target = self._targets.get(node_id)
        if target is not None:
            target.record_load(load.in_flight, load.level, self._clock.monotonic())

    async def call(
        self, call: Call, context: CallContext, route: Route, account: Any
    ) -> Outcome:
        """Send a call, retrying where that is safe, and return its outcome.

        Parameters
        ----------
        call, context : Call, CallContext
            The call, and the context that is propagated with it.
        route : Route
            Route of the call; an admission level is kept for each route.
        account : object
            Retry account, which bounds the retries of the call and of the calls
            downstream of it; unused retries remain in it.
        """
        with self._tracing.open_span("egress", context.traceparent) as span:
            span.set_attribute("request_id", context.request_id)
            span.set_attribute("service", call.service)
            context = replace(context, traceparent=span.traceparent)
            outcome = await self._call_with_retries(call, context, route, account)
            span.set_attribute("outcome", type(outcome).__name__)
        return replace(outcome, unused_retries=account.available)

    async def _call_with_retries(
        self, call: Call, context: CallContext, route: Route, account: Any
    ) -> Outcome:
        path_level = self._path_levels.setdefault((call.service, route), PathLevel())
        tried: set[str] = set()
        may_have_run = False
        backend_losses = 0
        while True:
            outcome = self._refuse_early(context, path_level)
            if outcome is None:
                outcome = await self._attempt(call, context, account, tried)
                path_level.observe(outcome.level, self._clock.monotonic())
            if (
                isinstance(outcome, Refusal)
                and may_have_run
                and not outcome.key_checked
            ):
                outcome = convert_to_unknown(outcome)
            may_have_run = may_have_run or isinstance(outcome, Unknown)
            backend_losses += _is_backend_loss(outcome)
            if backend_losses >= MAX_BACKEND_LOSSES or not _may_retry(call, outcome):
                return outcome
            if not account.spend():
                return outcome
            self._metrics.count("retries")

    def _refuse_early(
        self, context: CallContext, path_level: PathLevel
    ) -> Refusal | None:
        now = self._clock.monotonic()
        if now >= context.deadline:
            return Refusal(
                "expired", "the deadline passed before the call was sent", 504
            )
        if path_level.would_admit(context.priority, now):
            return None
        self._metrics.count("refused_early")
        level = int(path_level.value)
        return Refusal(
            "overloaded",
            "priority below the admission level of the route",
            level=level,
        )

    async def _attempt(
        self, call: Call, context: CallContext, account: Any, tried: set[str]
    ) -> Outcome:
        target = await self._choose_target(call, context, tried)
        if not isinstance(target, Target):
            return target
        tried.add(target.member.node_id)
        share = account.reserve_for_attempt()
        sent = replace(context, retries=share)
        target.in_flight += 1
        try:
            outcome = await self._send(target.member, call, sent)
        finally:
            target.in_flight -= 1
        account.return_unused(share, outcome.unused_retries)
        self._update_target(target, outcome)
        return outcome

    async def _send(self, member: Member, call: Call, context: CallContext) -> Outcome:
        as_holder = not call.idempotent
        if member.node_id == self._settings.node.id:
            return await self._serve_locally(call, context, as_holder)
        return await self.pool.get(member).call(call, context, as_holder)

    def _update_target(self, target: Target, outcome: Outcome) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Answer():
                target.record_success()
            case Refusal(code="peer_unreachable" | "no_backend" | "draining"):
                target.eject(now)
            case Refusal(code="backend_unreachable") | Unknown(code="link_lost"):
                target.record_failure(now)

    async def _choose_target(
        self, call: Call, context: CallContext, tried: set[str]
    ) -> Target | Refusal:
        if not call.idempotent:
            return await self._choose_holder(call, context, tried)
        members = self._roster.list_ready_members(call.service)
        candidates = [m for m in members if m.node_id not in tried] or members
        if not candidates:
            return Refusal(
                "no_upstream", f"no upstream known for service {call.service}"
            )
        targets = [self.get_target(member) for member in candidates]
        now = self._clock.monotonic()
        target = self._picker.pick(targets, context.priority, now)
        if target is None:
            self._metrics.count("refused_early")
            level = min(t.level for t in targets)
            return Refusal(
                "overloaded",
                "priority below the admission level of all upstreams",
                level=level,
            )
        return target

    async def _choose_holder(
        self, call: Call, context: CallContext, tried: set[str]
    ) -> Target | Refusal:
        """Return the holder of the key's partition.

        If none is known, the last holder is returned, which can forward the call.
        """
        shard = find_shard(call.key, self._settings.once.shards)
        partition = f"{call.service}/{shard}"
        until = min(context.deadline, self._clock.monotonic() + HOLDER_WAIT_S)
        while True:
            holder = self._roster.find_holder(partition)
            if holder is not None:
                self._last_holders[partition] = holder.node_id
                return self.get_target(holder)
            last_holder = self._roster.get(self._last_holders.get(partition, ""))
            if last_holder is not None and last_holder.node_id not in tried:
                return self.get_target(last_holder)
            if self._clock.monotonic() >= until:
                break
            await asyncio.sleep(HOLDER_POLL_S)
        return Refusal(
            "key_not_owned", f"no known node holds the tenure of {partition}"
        )


def _is_backend_loss(outcome: Outcome) -> bool:
    """Return whether the backend server seems to have crashed during the call."""
    return isinstance(outcome, Unknown) and outcome.code == "backend_lost"


def _may_retry(call: Call, outcome: Outcome) -> bool:
    match outcome:
        case Refusal(elsewhere=True):
            return True
        case Unknown(code="link_lost"):
            return True
        case Unknown(code="backend_lost"):
            return call.idempotent
        case _:
            return False
