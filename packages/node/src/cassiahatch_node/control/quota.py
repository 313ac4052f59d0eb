"""Enforcement of plan limits with quota units.

Each customer is assigned to a group of keepers: the nodes that hold the tenures of the
group's quota partitions. Each keeper grants units at the plan's rate, and a node pays
for a request with as many units as there are keepers, fetched in advance.
"""

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
from cassiahatch_policies.quota import GRANT_TTL_S, Grant

GRANTS_PATH = "/control/grants"
FETCH_INTERVAL_S = 0.2
FETCH_TIMEOUT_S = 0.4
UNITS_WAIT_S = 0.5
"""How long a request waits for units when its node has too few."""
EMPTY_REPLY_TTL_S = 0.2
"""How long requests are rejected at once after the keepers granted no units."""
ACCOUNT_IDLE_S = 2.0
"""Time without requests after which a customer's account is dropped."""


class NotKeeperError(CodedError):
    """The node holds no tenure of the requested quota partition."""

    code = "not_keeper"
    status = 409


def find_group(customer: str, groups: int) -> int:
    """Return the number of the keeper group that a customer is assigned to."""
    return hash_text(customer) % groups


class QuotaKeeper:
    """Grants quota units for the partitions whose tenure this node holds.

    Parameters
    ----------
    plugins : PluginSettings
        Name of the bucket plug-in.
    fleet : Fleet
        Source of the plan lists in force.
    book : TenureBook
        Tenures that this node holds.
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
        self._buckets: dict[tuple[str, str], _BucketEntry] = {}

    def grant(self, request: GrantRequest) -> GrantReply:
        """Grant units to the customers of a request, as far as their plans allow.

        Raises
        ------
        NotKeeperError
            If this node holds no tenure of the partition that is valid now.
        """
        now_ms = int(self._clock.wall() * MS_PER_S)
        holding = self._book.find(request.partition)
        if holding is None or not self._book.accepts(request.partition, now_ms):
            raise NotKeeperError(f"no valid tenure of {request.partition} on this node")
        given = {
            customer: self._grant_one(holding, customer, units)
            for customer, units in request.wanted.items()
        }
        return GrantReply(given)

    def _grant_one(self, holding: Holding, customer: str, requested: int) -> int:
        plan = self._fleet.plans.find_plan(customer)
        if plan is None:
            return 0
        version = self._fleet.plans.version
        key = (holding.tenure.partition, customer)
        entry = self._buckets.get(key)
        if entry is None or entry.epoch != holding.tenure.epoch:
            bucket = PLUGINS.create(
                "quota_keeper", self._plugins.quota_keeper, plan, holding.held_since
            )
            entry = self._buckets[key] = _BucketEntry(
                bucket, holding.tenure.epoch, version
            )
        now = self._clock.monotonic()
        if entry.version != version:
            entry.bucket.change_plan(plan, now)
            entry.version = version
        return entry.bucket.grant(requested, now)


@dataclass(slots=True)
class _BucketEntry:
    """Token bucket of a customer, with the tenure epoch and the plan lists' version."""

    bucket: Any
    epoch: int
    version: int


@dataclass(slots=True)
class _Account:
    """Units of a customer on this node, and the state of fetching more."""

    wallet: Any
    replied: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when a keeper replied, whether it granted units or not."""
    empty_at: float = float("-inf")
    """Monotonic seconds when as many replies as keepers had been empty in a row."""
    empty_replies: int = 0
    """Consecutive replies without units."""
    waiting: int = 0
    """Requests that wait for units."""


class QuotaClient:
    """Pays for the requests that callers send to this node with quota units.

    Parameters
    ----------
    settings, plugins : QuotaSettings, PluginSettings
        Numbers of keepers and groups, and the name of the wallet plug-in.
    fleet : Fleet
        Source of the holders of the quota partitions.
    keeper : QuotaKeeper
        Called directly for partitions that this node holds.
    client : ControlClient
        Client for requests to other keepers.
    clock : Clock
        Source of time.
    metrics : Metrics
        Counters of failed fetches.
    random_source : random.Random
        Random source; not used at present.
    """

    __slots__ = (
        "_accounts",
        "_outstanding",
        "_client",
        "_clock",
        "_fleet",
        "_keeper",
        "_metrics",
        "_plugins",
        "_settings",
        "_random",
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
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._plugins = plugins
        self._fleet = fleet
        self._keeper = keeper
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._random = random_source
        self._accounts: dict[str, _Account] = {}
        self._outstanding: set[str] = set()
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Fetch units ahead of demand until cancelled."""
        async with asyncio.TaskGroup() as exchanges:
            while True:
                await self._wait_for_fetch()
                self._fetch(exchanges)
                self._drop_idle()

    async def _wait_for_fetch(self) -> None:
        try:
            async with asyncio.timeout(FETCH_INTERVAL_S if self._accounts else None):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def pay(self, customer: str) -> bool:
        """Pay for one request of a customer.

        Returns whether there were enough units.
        """
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
        if account.wallet.pay_new_request(now):
            return True
        if now - account.empty_at < EMPTY_REPLY_TTL_S:
            return False
        return await self._wait_for_units(account)

    async def _wait_for_units(self, account: _Account) -> bool:
        account.waiting += 1
        try:
            async with asyncio.timeout(UNITS_WAIT_S):
                return await self._pay_after_reply(account)
        except TimeoutError:
            return False
        finally:
            account.waiting -= 1

    async def _pay_after_reply(self, account: _Account) -> bool:
        while True:
            account.replied.clear()
            self._wake.set()
            await account.replied.wait()
            now = self._clock.monotonic()
            if account.wallet.pay(now):
                return True
            if now - account.empty_at < EMPTY_REPLY_TTL_S:
                return False

    def _fetch(self, exchanges: asyncio.TaskGroup) -> None:
        now = self._clock.monotonic()
        groups: dict[int, dict[str, int]] = {}
        for customer, account in self._accounts.items():
            units = account.wallet.compute_shortfall(account.waiting, now)
            if units:
                group = find_group(customer, self._settings.groups)
                groups.setdefault(group, {})[customer] = units
        for group, units_by_customer in groups.items():
            self._fetch_group(exchanges, group, units_by_customer)

    def _fetch_group(
        self,
        exchanges: asyncio.TaskGroup,
        group: int,
        units_by_customer: dict[str, int],
    ) -> None:
        """Send a grant request to each keeper of a group that has none outstanding."""
        keepers = range(self._settings.keepers)
        partitions = [f"{QUOTA_PREFIX}{group}/{keeper}" for keeper in keepers]
        partitions = [p for p in partitions if p not in self._outstanding]
        for partition in partitions:
            share = {
                customer: math.ceil(units / len(partitions))
                for customer, units in units_by_customer.items()
            }
            self._outstanding.add(partition)
            exchanges.create_task(self._fetch_grant(GrantRequest(partition, share)))

    async def _fetch_grant(self, request: GrantRequest) -> None:
        requested_at = self._clock.monotonic()
        try:
            reply = await self._request_grant(request)
        finally:
            self._outstanding.discard(request.partition)
        if reply is None:
            return
        for customer in request.wanted:
            self._credit(customer, reply.given.get(customer, 0), requested_at)

    def _credit(self, customer: str, units: int, requested_at: float) -> None:
        account = self._accounts.get(customer)
        if account is None:
            return
        if units:
            account.empty_replies = 0
            account.wallet.add(Grant(units, requested_at + GRANT_TTL_S))
        else:
            account.empty_replies += 1
        if account.empty_replies >= self._settings.keepers:
            account.empty_replies = 0
            account.empty_at = self._clock.monotonic()
        account.replied.set()

    async def _request_grant(self, request: GrantRequest) -> GrantReply | None:
        """Return a keeper's reply, or None without a known holder or on failure."""
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
            if now - account.wallet.last_used > ACCOUNT_IDLE_S:
                del self._accounts[customer]
