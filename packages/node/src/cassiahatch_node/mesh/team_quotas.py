"""Enforcement of teams' quotas at the node that received a request."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_kernel.teams import TeamTable
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_node.mesh.frames import (
    QuotaAsk,
    QuotaGrant,
    QuotaGrantFrame,
    QuotaRequestFrame,
    QuotaReturn,
)
from cassiahatch_node.mesh.quota_candidates import QuotaCandidates
from cassiahatch_node.mesh.quota_keepers import QuotaKeepers
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.quota_tenure import POSITIONS, find_position
from cassiahatch_policies.team_quota import GRANT_LIFE_S, Grant

TICK_INTERVAL_S = 0.1
"""Interval at which a node measures demand, and asks again for units that are missing."""
UNIT_WAIT_S = 0.6
"""Time for which a request without a unit waits: longer than a reply of the store and of
the keeper that then begins, short of the time that clients leave for retries."""
REPLY_TIMEOUT_S = 0.25
"""Time without an answer after which a request for units is sent again, to another
candidate: far above a round trip between zones, and below the life of a grant."""
MIN_EXHAUSTED_S = 0.05
MAX_EXHAUSTED_S = 0.25
"""Bounds of the time for which requests are rejected at once after the keeper has said
that the quota is used up. Units flow in meanwhile, and any node may get them. The upper
bound is also the least ``Retry-After``: the answer may not change before."""
PAUSE_S = 0.05
"""Pause after an answer without a keeper, or without units and without saying that the
quota is used up. Each request that arrives would otherwise ask again at once."""
MAX_REFUSAL_S = 0.25
"""Time for which a candidate may answer that it knows no keeper before another one is
asked: a candidate that has the store reads and writes the row in less."""
MAX_PENDING_RETURNS = 256
"""Returns kept while there is no keeper to send them to. Others only cost units."""
RETRY_SPREAD = (1.0, 2.0)
"""Bounds of the random factor on ``Retry-After``, so that rejected requests don't come
back at the same time."""
UNKNOWN_RETRY_AFTER_S = 0.5
"""``Retry-After`` of requests that got no unit in time."""
IDLE_S = 3.0
"""Time without requests after which what is known of a team is dropped."""
MS_PER_S = 1000


@dataclass(slots=True)
class _Account:
    """Units of a team at this node, and the requests that wait for some."""

    keeper: _Keeper
    allowance: Any
    waiting: deque[asyncio.Future[Grant | Rejection]] = field(default_factory=deque)


@dataclass(slots=True)
class _Keeper:
    """What this node knows of the keeper of a position."""

    holder: str = ""
    """Node that was last known to hold the position."""
    asked: str = ""
    """Node to which a request is on its way; empty if there is none."""
    number: int = 0
    asked_at: float = float("-inf")
    is_delayed: bool = False
    """Whether units have been missing since that request."""
    paused_until: float = float("-inf")
    refused_by: str = ""
    refused_since: float = float("-inf")
    """Node whose last answers named no keeper, and since when."""
    referred_at: float = float("-inf")
    returns: deque[QuotaReturn] = field(
        default_factory=lambda: deque(maxlen=MAX_PENDING_RETURNS)
    )
    accounts: dict[str, _Account] = field(default_factory=dict)
    """Accounts of the position's teams."""
    short: dict[str, _Account] = field(default_factory=dict)
    """Those of them with requests that wait for units."""


class TeamQuotas:
    """Pays for the requests of clients with units that keepers grant.

    Parameters
    ----------
    own_id : str
        Id of this node.
    keepers : QuotaKeepers
        Called directly for positions that this node holds.
    get_teams : callable
        Returns the teams of the configuration in force.
    allowance_plugin : str
        Name of the plug-in that holds the units of a team.
    """

    def __init__(
        self,
        own_id: str,
        keepers: QuotaKeepers,
        candidates: QuotaCandidates,
        directory: Directory,
        get_teams: Callable[[], TeamTable],
        allowance_plugin: str,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
    ) -> None:
        self._own_id = own_id
        self.keepers = keepers
        self._candidates = candidates
        self._directory = directory
        self._get_teams = get_teams
        self._allowance_plugin = allowance_plugin
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._accounts: dict[str, _Account] = {}
        self._keepers = [_Keeper() for _ in range(POSITIONS)]
        self._requested_at: dict[int, float] = {}
        """Monotonic seconds of the requests whose grants have not ended, by number."""
        self._last_number = 0
        self._ticked_at = clock.monotonic()
        self._wake = asyncio.Event()

    def try_admit(self, name: str) -> Grant | bool:
        """Admit a request if that needs no waiting.

        Returns the grant whose unit pays for it, True if the team has no limit, or
        False if there is no unit in hand.
        """
        team = self._get_teams().get(name)
        if team is None or team.rate_per_s <= 0:
            return True
        account = self._accounts.get(name)
        if account is None:
            account = self._open_account(name)
        grant = account.allowance.take(self._clock.monotonic())
        if grant is not None:
            self._metrics.count("quota_units:spent")
        return grant or False

    async def wait_for_unit(self, name: str) -> Grant | Rejection:
        """Wait a bounded time for the unit of a request that ``try_admit`` has counted.

        Returns the grant that pays for it, or its rejection: 429 if the quota is known
        to be used up, 503 if nothing is known.
        """
        account = self._accounts[name]
        if account.allowance.is_exhausted(self._clock.monotonic()):
            return self._reject(account)
        outcome = await self._wait(name, account)
        if isinstance(outcome, Grant):
            self._metrics.count("quota_units:spent")
        return outcome

    def give_back(self, name: str, grant: Grant) -> None:
        """Take back the unit of a request that has not run and never will.

        If its grant has ended it goes to the keeper, which knows whether it may be
        granted again.
        """
        self._metrics.count("quota_units:given_back")
        account, now = self._accounts.get(name), self._clock.monotonic()
        if account is not None and account.allowance.give_back(grant, now):
            self._pay_waiting(account, now)
        else:
            self._return(name, grant, 1)

    def on_grant(self, node_id: str, frame: QuotaGrantFrame) -> None:
        """Take the units that a keeper grants, or ask the holder that it names."""
        requested_at = self._requested_at.pop(frame.number, None)
        if requested_at is None or not 0 <= frame.position < POSITIONS:
            return
        keeper = self._keepers[frame.position]
        if keeper.number == frame.number:
            keeper.asked = ""
        if not frame.tenure:
            self._follow_reference(frame.position, node_id, frame.holder)
            return
        keeper.holder, keeper.refused_by = node_id, ""
        for grant in frame.grants:
            self._credit(grant, frame.tenure, requested_at)
        if any(not grant.units and not grant.wait_ms for grant in frame.grants):
            keeper.paused_until = self._clock.monotonic() + PAUSE_S
        elif keeper.is_delayed:
            self._wake.set()

    async def run(self) -> None:
        """Request and return units until cancelled."""
        while True:
            await self._wait_for_need()
            now = self._clock.monotonic()
            is_tick = now - self._ticked_at >= TICK_INTERVAL_S
            if is_tick:
                self._ticked_at = now
                self._tick(now)
            for position, keeper in enumerate(self._keepers):
                accounts = keeper.accounts if is_tick else keeper.short
                if accounts or keeper.returns:
                    self._exchange(position, accounts, now)

    async def _wait_for_need(self) -> None:
        try:
            async with asyncio.timeout(TICK_INTERVAL_S if self._accounts else None):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    def _open_account(self, name: str) -> _Account:
        allowance = PLUGINS.create(
            "team_allowance", self._allowance_plugin, self._clock.monotonic()
        )
        account = _Account(self._keepers[find_position(name)], allowance)
        self._accounts[name] = account.keeper.accounts[name] = account
        return account

    async def _wait(self, name: str, account: _Account) -> Grant | Rejection:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Grant | Rejection] = loop.create_future()
        account.waiting.append(future)
        account.keeper.short[name] = account
        self._wake.set()
        timer = loop.call_later(UNIT_WAIT_S, _set_unknown, future)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._recover(account, future.result())
            raise
        finally:
            timer.cancel()
            if future in account.waiting:
                account.waiting.remove(future)
            if not account.waiting:
                account.keeper.short.pop(name, None)

    def _recover(self, account: _Account, outcome: Grant | Rejection) -> None:
        """Keep the unit of a request whose client left just as it was paid."""
        if isinstance(outcome, Grant):
            account.allowance.give_back(outcome, self._clock.monotonic())

    def _reject(self, account: _Account) -> Rejection:
        wait_s = max(account.allowance.wait_s, MAX_EXHAUSTED_S)
        wait_s *= self._random.uniform(*RETRY_SPREAD)
        return Rejection(Reason.QUOTA_EXCEEDED, wait_s)

    def _credit(self, granted: QuotaGrant, tenure: int, requested_at: float) -> None:
        """Add granted units, and pay for the requests that wait.

        If the quota is used up, the requests that get no unit are rejected.
        """
        account, now = self._accounts.get(granted.team), self._clock.monotonic()
        grant = Grant(
            granted.units, requested_at + GRANT_LIFE_S, tenure, granted.serial
        )
        if account is None:
            self._return(granted.team, grant, grant.units)
            return
        if granted.units:
            account.allowance.add(grant)
        self._pay_waiting(account, now)
        if granted.wait_ms:
            wait_s = granted.wait_ms / MS_PER_S
            pause_s = min(max(wait_s, MIN_EXHAUSTED_S), MAX_EXHAUSTED_S)
            account.allowance.refuse(wait_s, now + pause_s)
            while account.waiting:
                future = account.waiting.popleft()
                if not future.done():
                    future.set_result(self._reject(account))

    def _pay_waiting(self, account: _Account, now: float) -> None:
        while account.waiting:
            if account.waiting[0].done():
                account.waiting.popleft()
                continue
            grant = account.allowance.spend(now)
            if grant is None:
                return
            account.waiting.popleft().set_result(grant)

    def _follow_reference(self, position: int, node_id: str, holder: str) -> None:
        """Ask the holder that a node has named, or another candidate at last.

        Nodes whose knowledge is old may name each other, so that a second reference
        within a tick is only followed at the next one.
        """
        keeper, now = self._keepers[position], self._clock.monotonic()
        if keeper.holder == node_id:
            keeper.holder = ""
        if holder and holder != node_id and self._candidates.is_reachable(holder):
            keeper.holder = holder
            if now - keeper.referred_at > TICK_INTERVAL_S:
                self._wake.set()
            keeper.referred_at = now
            return
        keeper.paused_until = now + PAUSE_S
        if keeper.refused_by != node_id:
            keeper.refused_by, keeper.refused_since = node_id, now
        elif now - keeper.refused_since > MAX_REFUSAL_S:
            keeper.refused_by = ""
            self._candidates.avoid(position, node_id)

    def _tick(self, now: float) -> None:
        """Measure the demand, return surplus units, and drop idle accounts."""
        for name, account in list(self._accounts.items()):
            allowance = account.allowance
            allowance.measure_demand(now)
            for grant in allowance.remove_surplus(now):
                self._return(name, grant, grant.units)
            if now - allowance.last_used_at > IDLE_S and not account.waiting:
                del self._accounts[name], account.keeper.accounts[name]
        for number, at in list(self._requested_at.items()):
            if now - at > GRANT_LIFE_S:
                del self._requested_at[number]

    def _return(self, name: str, grant: Grant, units: int) -> None:
        if units and grant.serial:
            self._metrics.count("quota_units:returned", units)
            self._keepers[find_position(name)].returns.append(
                QuotaReturn(name, grant.tenure, grant.serial, units)
            )

    def _exchange(
        self, position: int, accounts: dict[str, _Account], now: float
    ) -> None:
        """Send a request for the units that are missing, unless one is on its way."""
        keeper = self._keepers[position]
        if keeper.asked:
            is_late = now - keeper.asked_at >= REPLY_TIMEOUT_S
            if not is_late and self._candidates.is_reachable(keeper.asked):
                keeper.is_delayed = True
                return
            self._candidates.avoid(position, keeper.asked)
            keeper.asked, keeper.holder = "", ""
        if now < keeper.paused_until:
            return
        asks = _list_asks(accounts, now)
        if not asks and not keeper.returns:
            return
        node_id = self._choose_node(position, keeper)
        if node_id is not None:
            self._send(node_id, position, keeper, asks, now)

    def _choose_node(self, position: int, keeper: _Keeper) -> str | None:
        if self.keepers.find_holding(position) is not None:
            return self._own_id
        if keeper.holder and self._candidates.is_reachable(keeper.holder):
            return keeper.holder
        return self._candidates.choose(position)

    def _send(
        self,
        node_id: str,
        position: int,
        keeper: _Keeper,
        asks: tuple[QuotaAsk, ...],
        now: float,
    ) -> None:
        self._last_number += 1
        number = self._last_number
        frame = QuotaRequestFrame(number, position, asks, tuple(keeper.returns))
        keeper.returns.clear()
        self._requested_at[number] = now
        keeper.asked, keeper.number, keeper.asked_at = node_id, number, now
        keeper.is_delayed = False
        if node_id == self._own_id:
            self.on_grant(node_id, self.keepers.answer(frame))
        else:
            self._directory.ensure_link(node_id).send_if_ready(frame)


def _list_asks(accounts: dict[str, _Account], now: float) -> tuple[QuotaAsk, ...]:
    asks = []
    for name, account in accounts.items():
        units = account.allowance.compute_request(len(account.waiting), now)
        if units:
            asks.append(QuotaAsk(name, units))
    return tuple(asks)


def _set_unknown(future: asyncio.Future[Grant | Rejection]) -> None:
    if not future.done():
        future.set_result(Rejection(Reason.QUOTA_UNKNOWN, UNKNOWN_RETRY_AFTER_S))
