"""The egress: where a call goes, and when it is sent again."""

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

PATH_LEVEL_HORIZON_S = 0.5
PATH_LEVEL_WEIGHT = 0.2
OWNER_WAIT_S = 1.5
"""How long a key's call waits for a holder to become known during a hand-over."""
OWNER_POLL_S = 0.02
MAX_LOSSES = 2
"""Backend servers that one call may lose before it is not sent again."""

ServeHere = Callable[[Call, CallContext, bool], Awaitable[Outcome]]


@dataclass(slots=True)
class PathLevel:
    """The admission level met at or below a route, smoothed."""

    value: float = 0.0
    updated: float = float("-inf")

    def observe(self, level: int, now: float) -> None:
        """Take in the level that an outcome carried."""
        if now - self.updated > PATH_LEVEL_HORIZON_S:
            self.value = float(level)
        self.value += PATH_LEVEL_WEIGHT * (level - self.value)
        self.updated = now

    def pass_level(self, priority: int, now: float) -> bool:
        """Tell whether a call would get through, as far as is known."""
        if now - self.updated > PATH_LEVEL_HORIZON_S:
            return True
        return passes_level(priority, int(self.value))


class Router:
    """Sends calls to upstreams, within the retries of their account.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    clock : Clock
        Source of time.
    source : random.Random
        Where random choices come from.
    roster : Roster
        The known members.
    metrics, tracing : Metrics, Tracing
        Where measurements go.
    serve_here : callable
        Serves a call whose chosen upstream is the one beside this node.
    """

    __slots__ = (
        "_clock",
        "_last_holders",
        "_metrics",
        "_path_levels",
        "_picker",
        "_roster",
        "_serve_here",
        "_settings",
        "_targets",
        "_tracing",
        "pool",
    )

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        source: random.Random,
        roster: Roster,
        metrics: Metrics,
        tracing: Tracing,
        serve_here: ServeHere,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._roster = roster
        self._metrics = metrics
        self._tracing = tracing
        self._serve_here = serve_here
        self._picker = PLUGINS.create(
            "picker", settings.plugins.picker, settings.node.zone, source
        )
        self._targets: dict[str, Target] = {}
        self._last_holders: dict[str, str] = {}
        self._path_levels: dict[tuple[str, Route], PathLevel] = {}
        self.pool: LinkPool | None = None

    def find_route(self, service: str, method: str, path: str) -> Route | None:
        """Return the route of a call as its service announced it, or None."""
        for member in self._roster.list_known(service):
            route = find_route(member.routes, method, path)
            if route is not None:
                return route
        return None

    def get_target(self, member: Member) -> Target:
        """Return what is known of a member as an upstream."""
        target = self._targets.get(member.node_id)
        if target is None:
            target = Target(member)
            self._targets[member.node_id] = target
        target.member = member
        return target

    def report_load(self, node_id: str, load: Load) -> None:
        """Take in the load that a peer reported."""
        target = self._targets.get(node_id)
        if target is not None:
            target.report(load.in_flight, load.level, self._clock.monotonic())

    async def call(
        self, call: Call, context: CallContext, route: Route, account: Any
    ) -> Outcome:
        """Send a call, again where that is safe, until it ends.

        Parameters
        ----------
        call, context : Call, CallContext
            What is asked, and what travels with it.
        route : Route
            The route of the call.
        account : object
            Retry account of the call; what is left stays in it.
        """
        with self._tracing.open_span("egress", context.traceparent) as hop:
            hop.note("request_id", context.request_id)
            hop.note("service", call.service)
            context = replace(context, traceparent=hop.traceparent)
            outcome = await self._call_until_ended(call, context, route, account)
            hop.note("outcome", type(outcome).__name__)
        return replace(outcome, unused_retries=account.available)

    async def _call_until_ended(
        self, call: Call, context: CallContext, route: Route, account: Any
    ) -> Outcome:
        levels = self._path_levels.setdefault((call.service, route), PathLevel())
        tried: set[str] = set()
        is_doubtful = False
        losses = 0
        while True:
            outcome = self._refuse_early(context, levels)
            if outcome is None:
                outcome = await self._attempt(call, context, account, tried)
                levels.observe(outcome.level, self._clock.monotonic())
            if isinstance(outcome, Refusal) and is_doubtful and not outcome.key_checked:
                outcome = convert_to_unknown(outcome)
            is_doubtful = is_doubtful or isinstance(outcome, Unknown)
            losses += _is_loss(outcome)
            if losses >= MAX_LOSSES or not _may_repeat(call, outcome):
                return outcome
            if not account.spend():
                return outcome
            self._metrics.count("retries")

    def _refuse_early(self, context: CallContext, levels: PathLevel) -> Refusal | None:
        now = self._clock.monotonic()
        if now >= context.deadline:
            return Refusal("expired", "the deadline passed before sending", 504)
        if levels.pass_level(context.priority, now):
            return None
        self._metrics.count("refused_early")
        level = int(levels.value)
        return Refusal("overloaded", "refused by importance", level=level)

    async def _attempt(
        self, call: Call, context: CallContext, account: Any, tried: set[str]
    ) -> Outcome:
        target = await self._choose(call, context, tried)
        if not isinstance(target, Target):
            return target
        tried.add(target.member.node_id)
        share = account.lend_attempt()
        sent = replace(context, retries=share)
        target.in_flight += 1
        try:
            outcome = await self._send(target.member, call, sent)
        finally:
            target.in_flight -= 1
        account.settle(share, outcome.unused_retries)
        self._learn(target, outcome)
        return outcome

    async def _send(self, member: Member, call: Call, context: CallContext) -> Outcome:
        as_owner = not call.idempotent
        if member.node_id == self._settings.node.id:
            return await self._serve_here(call, context, as_owner)
        return await self.pool.get(member).call(call, context, as_owner)

    def _learn(self, target: Target, outcome: Outcome) -> None:
        now = self._clock.monotonic()
        match outcome:
            case Answer():
                target.succeed()
            case Refusal(code="peer_unreachable" | "no_backend" | "draining"):
                target.eject(now)
            case Refusal(code="backend_unreachable") | Unknown(code="link_lost"):
                target.fail(now)

    async def _choose(
        self, call: Call, context: CallContext, tried: set[str]
    ) -> Target | Refusal:
        if not call.idempotent:
            return await self._choose_owner(call, context, tried)
        members = self._roster.list_service(call.service)
        fresh = [m for m in members if m.node_id not in tried] or members
        if not fresh:
            return Refusal("no_upstream", f"no upstream of {call.service} is known")
        targets = [self.get_target(member) for member in fresh]
        now = self._clock.monotonic()
        target = self._picker.pick(targets, context.priority, now)
        if target is None:
            self._metrics.count("refused_early")
            level = min(t.level for t in targets)
            return Refusal("overloaded", "refused by importance", level=level)
        return target

    async def _choose_owner(
        self, call: Call, context: CallContext, tried: set[str]
    ) -> Target | Refusal:
        """Return the holder of the key, or who held it last and can send it on."""
        shard = find_shard(call.key, self._settings.once.shards)
        partition = f"{call.service}/{shard}"
        until = min(context.deadline, self._clock.monotonic() + OWNER_WAIT_S)
        while True:
            owner = self._roster.find_holder(partition)
            if owner is not None:
                self._last_holders[partition] = owner.node_id
                return self.get_target(owner)
            last = self._roster.get(self._last_holders.get(partition, ""))
            if last is not None and last.node_id not in tried:
                return self.get_target(last)
            if self._clock.monotonic() >= until:
                break
            await asyncio.sleep(OWNER_POLL_S)
        return Refusal("key_not_owned", "no node may run this key now")


def _is_loss(outcome: Outcome) -> bool:
    """Tell whether the backend server died, or seemed to, while it ran the call."""
    return isinstance(outcome, Unknown) and outcome.code == "backend_lost"


def _may_repeat(call: Call, outcome: Outcome) -> bool:
    match outcome:
        case Refusal(elsewhere=True):
            return True
        case Unknown(code="link_lost"):
            return True
        case Unknown(code="backend_lost"):
            return call.idempotent
        case _:
            return False
