"""Keeping plan limits: granting units as a keeper, and fetching them as a node."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass, field
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.hashing import hash_text
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.control.client import ControlClient, ControlError
from cassiahatch_node.control.messages import GrantReply, GrantRequest
from cassiahatch_node.control.tenures import MS_PER_S, QUOTA_PREFIX
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.settings import PluginSettings, QuotaSettings
from cassiahatch_policies.once.tenure import Holding, TenureBook
from cassiahatch_policies.quota import GRANT_TERM_S, Grant

GRANTS_PATH = "/control/grants"
FETCH_INTERVAL_S = 0.2
FETCH_TIMEOUT_S = 0.4
FIRST_WAIT_S = 0.5
"""How long a request waits for units when its node holds none."""
EMPTY_TERM_S = 0.2
"""How long an empty reply is taken to hold."""
IDLE_S = 2.0


class NotKeeperError(CodedError):
    """The node does not keep that part of the plans."""

    code = "not_keeper"
    status = 409


def find_group(customer: str, groups: int) -> int:
    """Return the group of keepers to which a customer belongs."""
    return hash_text(customer) % groups


class QuotaKeeper:
    """Grants units of the quota partitions that this node holds.

    Parameters
    ----------
    plugins : PluginSettings
        Names the bucket to use.
    fleet : Fleet
        Has the lists in force.
    book : TenureBook
        The tenures held.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_book", "_buckets", "_clock", "_fleet", "_plugins")

    def __init__(
        self, plugins: PluginSettings, fleet: Fleet, book: TenureBook, clock: Clock
    ) -> None:
        self._plugins = plugins
        self._fleet = fleet
        self._book = book
        self._clock = clock
        self._buckets: dict[tuple[str, str], _Kept] = {}

    def grant(self, request: GrantRequest) -> GrantReply:
        """Give out units.

        Raises
        ------
        NotKeeperError
            If no tenure held by this node allows it now.
        """
        now_ms = int(self._clock.wall() * MS_PER_S)
        held = self._book.find(request.partition)
        if held is None or not self._book.accept(request.partition, now_ms):
            raise NotKeeperError(f"this node does not keep {request.partition}")
        given = {
            customer: self._grant_one(held, customer, units)
            for customer, units in request.wanted.items()
        }
        return GrantReply(given)

    def _grant_one(self, held: Holding, customer: str, wanted: int) -> int:
        plan = self._fleet.plans.find_plan(customer)
        if plan is None:
            return 0
        version = self._fleet.plans.version
        key = (held.tenure.partition, customer)
        kept = self._buckets.get(key)
        if kept is None or kept.epoch != held.tenure.epoch:
            bucket = PLUGINS.create(
                "quota_keeper", self._plugins.quota_keeper, plan, held.since
            )
            kept = self._buckets[key] = _Kept(bucket, held.tenure.epoch, version)
        now = self._clock.monotonic()
        if kept.version != version:
            kept.bucket.change(plan, now)
            kept.version = version
        return kept.bucket.grant(wanted, now)


@dataclass(slots=True)
class _Kept:
    bucket: Any
    epoch: int
    version: int


@dataclass(slots=True)
class _Account:
    wallet: Any
    filled: asyncio.Event = field(default_factory=asyncio.Event)
    empty_at: float = float("-inf")
    empty_replies: int = 0
    """Replies without units since the last with some."""
    waiting: int = 0


class QuotaClient:
    """Pays for the requests that callers bring to this node.

    Parameters
    ----------
    settings, plugins : QuotaSettings, PluginSettings
        Keepers and groups, and the name of the wallet to use.
    fleet : Fleet
        Knows who keeps what.
    keeper : QuotaKeeper
        Asked directly where this node is the keeper.
    client : ControlClient
        Reaches the other keepers.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counts.
    source : random.Random
        Spreads the exchanges.
    """

    __slots__ = (
        "_accounts",
        "_asked",
        "_client",
        "_clock",
        "_fleet",
        "_keeper",
        "_metrics",
        "_plugins",
        "_settings",
        "_source",
        "_wake",
    )

    def __init__(
        self,
        settings: QuotaSettings,
        plugins: PluginSettings,
        fleet: Fleet,
        keeper: QuotaKeeper,
        client: ControlClient,
        clock: Clock,
        metrics: Metrics,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._plugins = plugins
        self._fleet = fleet
        self._keeper = keeper
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._source = source
        self._accounts: dict[str, _Account] = {}
        self._asked: set[str] = set()
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Fetch units ahead of demand for as long as the node lives."""
        async with asyncio.TaskGroup() as exchanges:
            while True:
                await self._pause()
                self._fetch(exchanges)
                self._drop_idle()

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(FETCH_INTERVAL_S if self._accounts else None):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def pay(self, customer: str) -> bool:
        """Pay for one request of a customer, and tell whether its plan allowed it."""
        now = self._clock.monotonic()
        account = self._accounts.get(customer)
        if account is None:
            wallet = PLUGINS.create(
                "quota_wallet",
                self._plugins.quota_wallet,
                self._settings.keepers,
                now,
            )
            account = self._accounts[customer] = _Account(wallet)
        if account.wallet.take(now):
            return True
        if now - account.empty_at < EMPTY_TERM_S:
            return False
        return await self._wait_for_units(account)

    async def _wait_for_units(self, account: _Account) -> bool:
        account.waiting += 1
        try:
            async with asyncio.timeout(FIRST_WAIT_S):
                return await self._pay_when_filled(account)
        except TimeoutError:
            return False
        finally:
            account.waiting -= 1

    async def _pay_when_filled(self, account: _Account) -> bool:
        while True:
            account.filled.clear()
            self._wake.set()
            await account.filled.wait()
            now = self._clock.monotonic()
            if account.wallet.pay(now):
                return True
            if now - account.empty_at < EMPTY_TERM_S:
                return False

    def _fetch(self, exchanges: asyncio.TaskGroup) -> None:
        now = self._clock.monotonic()
        groups: dict[int, dict[str, int]] = {}
        for customer, account in self._accounts.items():
            ask = account.wallet.compute_ask(account.waiting, now)
            if ask:
                group = find_group(customer, self._settings.groups)
                groups.setdefault(group, {})[customer] = ask
        for group, asks in groups.items():
            self._fetch_group(exchanges, group, asks)

    def _fetch_group(
        self, exchanges: asyncio.TaskGroup, group: int, asks: dict[str, int]
    ) -> None:
        """Ask the keepers of a group, except those that still owe an answer."""
        keepers = range(self._settings.keepers)
        partitions = [f"{QUOTA_PREFIX}{group}/{keeper}" for keeper in keepers]
        partitions = [p for p in partitions if p not in self._asked]
        for partition in partitions:
            share = {
                customer: math.ceil(ask / len(partitions))
                for customer, ask in asks.items()
            }
            self._asked.add(partition)
            exchanges.create_task(self._ask_and_fill(GrantRequest(partition, share)))

    async def _ask_and_fill(self, request: GrantRequest) -> None:
        asked_at = self._clock.monotonic()
        try:
            reply = await self._ask(request)
        finally:
            self._asked.discard(request.partition)
        if reply is None:
            return
        for customer in request.wanted:
            self._fill(customer, reply.given.get(customer, 0), asked_at)

    def _fill(self, customer: str, units: int, asked_at: float) -> None:
        account = self._accounts.get(customer)
        if account is None:
            return
        if units:
            account.empty_replies = 0
            account.wallet.add(Grant(units, asked_at + GRANT_TERM_S))
        else:
            account.empty_replies += 1
        if account.empty_replies >= self._settings.keepers:
            account.empty_replies = 0
            account.empty_at = self._clock.monotonic()
        account.filled.set()

    async def _ask(self, request: GrantRequest) -> GrantReply | None:
        """Return a keeper's reply, or None if there was none."""
        holder = self._fleet.roster.find_holder(request.partition)
        if holder is None:
            self._metrics.count("quota_without_keeper")
            return None
        try:
            if holder.node_id == self._fleet.own.node_id:
                return self._keeper.grant(request)
            return await self._client.post(
                holder.address, GRANTS_PATH, request, GrantReply, FETCH_TIMEOUT_S
            )
        except (ControlError, NotKeeperError):
            self._metrics.count("quota_ask_failures")
            return None

    def _drop_idle(self) -> None:
        now = self._clock.monotonic()
        for customer, account in list(self._accounts.items()):
            if now - account.wallet.last_used > IDLE_S:
                del self._accounts[customer]
