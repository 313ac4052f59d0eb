"""The task that claims, renews and hands over tenures in the table.

A tenure is the exclusive right of one node to serve a partition for a period of time:
to run the calls whose idempotency keys belong to a shard and were minted in it, or
to grant the quota units of a keeper.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import msgspec

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.hashing import hash_text
from cassiahatch_kernel.members import Claim, Member, MemberState
from cassiahatch_kernel.ports import (
    ABSENT,
    BadStoreDataError,
    Committed,
    Condition,
    Conflict,
    Row,
    StoreUnavailableError,
    Table,
    Write,
)
from cassiahatch_node.control.client import ControlClient, ControlError
from cassiahatch_node.control.messages import Acknowledgement, HandoverRequest
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.observability.events import log_event, log_warning
from cassiahatch_node.once import OnceGuard
from cassiahatch_node.settings import Settings
from cassiahatch_policies.once.tenure import (
    Holding,
    Tenure,
    TenureBook,
    TenurePolicy,
    plan_claim,
    plan_renewal,
    plan_transfer,
)

ROUND_INTERVAL_S = 0.5
START_DELAY_S = 1.5
"""Delay of the first round after a start, so that gossip can deliver the members."""
CLAIM_DEFERRAL_S = 2.0
"""How long a node leaves a free partition to the member ranked first for it."""
ROW_RECHECK_S = 30.0
"""Interval between reads of the row of a partition that this node does not hold."""
STAGE_TIMEOUT_S = 10.0
"""How long received records are kept while the table does not show the handover."""
STAGE_POLL_S = 0.1
RUNNING_POLL_S = 0.02
"""Interval between checks whether the running calls of a closed tenure have ended."""
HANDOVER_PATH = "/control/handover"
ROW_PREFIX = "tenure/"
QUOTA_PREFIX = "quota/"
MS_PER_S = 1000


class HandoverRejectedError(CodedError):
    """The node accepts no tenures, because its backend server is not ready."""

    code = "leaving"
    status = 409


@dataclass(slots=True, eq=False)
class _StagedHandover:
    """Handover that was received and is not confirmed by the table yet."""

    request: HandoverRequest
    expires_at: float
    """Monotonic seconds."""

    @property
    def partition(self) -> str:
        return self.request.tenure.partition


class TenureManager:
    """Claims, renews and hands over this node's tenures.

    Each round renews tenures, claims free partitions, and hands at most one tenure to
    a member that holds fewer, so that each member holds its share.

    Parameters
    ----------
    settings : Settings
        Settings of the node: shards, keepers and tenure lengths.
    fleet : Fleet
        Source of the members and of this node's own record.
    book : TenureBook
        Tenures that this node holds.
    guard : OnceGuard
        Owner of the key records that are transferred with a tenure.
    table : Table
        The platform's table service.
    client : ControlClient
        Client for requests to successors.
    clock : Clock
        Source of time.
    random_source : random.Random
        Random source for the jitter of the interval.
    """

    __slots__ = (
        "_book",
        "_client",
        "_clock",
        "_fleet",
        "_guard",
        "_lock",
        "_next_checks",
        "_policy",
        "_settings",
        "_random",
        "_staged",
        "_table",
        "_transfers",
        "_wake",
    )

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        book: TenureBook,
        guard: OnceGuard,
        table: Table,
        client: ControlClient,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._book = book
        self._guard = guard
        self._table = table
        self._client = client
        self._clock = clock
        self._random = random_source
        self._next_checks: dict[str, float] = {}
        self._staged: list[_StagedHandover] = []
        self._transfers = 0
        self._lock = asyncio.Lock()
        self._wake = asyncio.Event()
        once = settings.once
        self._policy = TenurePolicy(
            int(once.tenure_s * MS_PER_S),
            int(once.renew_before_s * MS_PER_S),
            int(once.skew_s * MS_PER_S),
        )

    async def run(self) -> None:
        """Run rounds until cancelled."""
        await asyncio.sleep(START_DELAY_S)
        while True:
            await self.step()
            await self._wait_for_round()

    async def step(self) -> None:
        """Run one round, and publish the tenures that are then held."""
        async with self._lock:
            try:
                await self._process_staged()
                await self._resolve_closed()
                await self._renew()
                await self._claim()
                await self._balance()
            except StoreUnavailableError as error:
                log_event("tenures_wait", error=error.detail)
            except BadStoreDataError as error:
                log_warning("bad_tenure_row", error=error.detail)
        self._publish()
        self._guard.drop_expired()

    def list_partitions(self) -> list[str]:
        """Return the partitions whose tenure this node may hold."""
        own = self._fleet.own
        if own.state is not MemberState.READY:
            return []
        quota = self._settings.quota
        quota_partitions = [
            f"{QUOTA_PREFIX}{group}/{keeper}"
            for group in range(quota.groups)
            for keeper in range(quota.keepers)
        ]
        partitions = [
            p for p in quota_partitions if self._find_service(p) == own.service
        ]
        if any(not route.idempotent for route in own.routes):
            shards = range(self._settings.once.shards)
            partitions += [f"{own.service}/{shard}" for shard in shards]
        return partitions

    async def hand_over_all(self) -> None:
        """Hand every tenure over to another member, before this node stops."""
        async with self._lock:
            await self._hand_over_all()
        self._publish()

    async def _hand_over_all(self) -> None:
        own = self._fleet.own
        for holding in self._book.list_open():
            successor = self._choose_member(holding.tenure.partition, own.node_id)
            if successor is None:
                continue
            try:
                await self._hand_over(holding, successor)
            except (StoreUnavailableError, BadStoreDataError) as error:
                log_warning("handover_failed", error=error.detail)

    def stage(self, request: HandoverRequest) -> None:
        """Store the records of a tenure until the table shows that this node owns it.

        Raises
        ------
        HandoverRejectedError
            If this node's backend server is not ready, such as before a stop.
        """
        if self._fleet.own.state is not MemberState.READY:
            raise HandoverRejectedError(
                "the node accepts no tenures: its backend server is not ready"
            )
        self._guard.expect_handover(request.tenure.partition)
        expires_at = self._clock.monotonic() + STAGE_TIMEOUT_S
        self._staged.append(_StagedHandover(request, expires_at))
        self._wake.set()

    async def _wait_for_round(self) -> None:
        seconds = ROUND_INTERVAL_S * (0.5 + self._random.random())
        if self._staged:
            seconds = STAGE_POLL_S
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    async def _process_staged(self) -> None:
        for staged in list(self._staged):
            if await self._activate_staged(staged.request):
                self._remove_staged(staged)
            elif self._clock.monotonic() >= staged.expires_at:
                log_warning("handover_not_seen", partition=staged.partition)
                self._remove_staged(staged)

    def _remove_staged(self, staged: _StagedHandover) -> None:
        self._staged.remove(staged)
        if not self._is_staged(staged.partition):
            self._guard.clear_expected(staged.partition)

    async def _renew(self) -> None:
        for holding in self._book.list_open():
            renewed = plan_renewal(holding.tenure, self._now_ms(), self._policy)
            if renewed is not None:
                await self._write(renewed, holding.row_version)

    async def _resolve_closed(self) -> None:
        """Resolve handovers that the table may or may not have committed.

        Writing the row again increases its version, so a handover write that is still
        in transit fails.
        """
        for holding in self._book.list_closed():
            if await self._write(holding.tenure, holding.row_version):
                self._book.reopen(holding.tenure.partition)

    async def _claim(self) -> None:
        now = self._clock.monotonic()
        for partition in self.list_partitions():
            if self._book.find(partition) is not None or self._is_staged(partition):
                continue
            if now < self._next_checks.get(partition, 0.0):
                continue
            if not self._should_claim(partition):
                continue
            is_first_check = partition not in self._next_checks
            self._next_checks[partition] = now + ROW_RECHECK_S
            await self._try_claim(partition, is_first_check)

    def _is_staged(self, partition: str) -> bool:
        return any(staged.partition == partition for staged in self._staged)

    def _should_claim(self, partition: str) -> bool:
        holder = self._fleet.roster.find_holder(partition)
        if holder is None:
            return True
        return self._choose_member(partition, holder.node_id) == self._fleet.own

    async def _try_claim(self, partition: str, is_first_check: bool) -> None:
        row = await self._table.read(ROW_PREFIX + partition)
        current = _decode_tenure(row)
        own = self._fleet.own
        if current is None and is_first_check and self._choose_member(partition) != own:
            self._next_checks[partition] = self._clock.monotonic() + CLAIM_DEFERRAL_S
            return
        if current is not None and self._owns(current) and not current.transfer_id:
            self._hold(current, row.version)
            return
        tenure = plan_claim(
            current,
            partition,
            own.identity,
            own.incarnation,
            self._now_ms(),
            self._policy,
        )
        if tenure is not None:
            await self._write(tenure, row.version if row else ABSENT)

    async def _balance(self) -> None:
        """Hand one tenure to its first-ranked member if that has at least two fewer."""
        own = self._fleet.own
        for holding in self._book.list_open():
            partition = holding.tenure.partition
            successor = self._choose_member(partition)
            if successor is None or successor == own:
                continue
            if len(successor.claims) + 1 < len(own.claims):
                await self._hand_over(holding, successor)
                return

    def _choose_member(self, partition: str, excluded_id: str = "") -> Member | None:
        """Return the member ranked first for a partition by rendezvous hashing."""
        candidates = self._fleet.roster.list_ready_members(
            self._find_service(partition)
        )
        return max(
            (m for m in candidates if m.node_id != excluded_id),
            key=lambda m: hash_text(f"{partition}|{m.node_id}"),
            default=None,
        )

    def _find_service(self, partition: str) -> str:
        """Return the service whose members may hold a partition.

        Quota partitions are distributed over the services by hash, so that a node ranks
        only the members of one service for each and not the whole fleet.
        """
        service = partition.partition("/")[0]
        if not partition.startswith(QUOTA_PREFIX):
            return service
        services = self._fleet.roster.list_services()
        return services[hash_text(partition) % len(services)]

    async def _hand_over(self, holding: Holding, successor: Member) -> None:
        partition = holding.tenure.partition
        closed = self._book.close(partition)
        if closed is None:
            return
        while self._guard.ledger.count_running(partition):
            await asyncio.sleep(RUNNING_POLL_S)
        self._transfers += 1
        own = self._fleet.own
        transfer_id = f"{own.identity}/{own.incarnation}/{self._transfers}"
        next_tenure = plan_transfer(
            closed.tenure, successor.identity, successor.incarnation, transfer_id
        )
        records = tuple(self._guard.ledger.list_records(partition))
        try:
            await self._client.post(
                successor.address,
                HANDOVER_PATH,
                HandoverRequest(next_tenure, records),
                Acknowledgement,
            )
        except ControlError as error:
            log_event("handover_refused", partition=partition, error=error.detail)
            self._book.reopen(partition)
            return
        if await self._write(next_tenure, closed.row_version):
            self._guard.set_successor(partition, successor.node_id)
            self._release(partition)

    def _release(self, partition: str) -> None:
        self._book.drop(partition)
        self._guard.ledger.drop_partition(partition)
        self._next_checks[partition] = self._clock.monotonic() + ROW_RECHECK_S
        self._publish()

    async def _activate_staged(self, request: HandoverRequest) -> bool:
        row = await self._table.read(ROW_PREFIX + request.tenure.partition)
        if row is None or _decode_tenure(row) != request.tenure:
            return False
        self._guard.ledger.import_records(list(request.records))
        self._hold(request.tenure, row.version)
        self._publish()
        return True

    async def _write(self, tenure: Tenure, row_version: int) -> bool:
        """Write a row, and return whether the table holds it.

        After a conflict or a lost answer the row is read again to find out.
        """
        key = ROW_PREFIX + tenure.partition
        try:
            result = await self._table.transact(
                [Condition(key, row_version)],
                [Write(key, msgspec.json.encode(tenure))],
            )
        except StoreUnavailableError:
            return await self._reconcile(tenure)
        match result:
            case Committed():
                self._hold_if_owned(tenure, result.revision)
                return True
            case Conflict():
                return await self._reconcile(tenure)

    async def _reconcile(self, tenure: Tenure) -> bool:
        """Read a row again, apply it, and return whether it is ``tenure``."""
        row = await self._table.read(ROW_PREFIX + tenure.partition)
        current = _decode_tenure(row)
        if row is None or current is None:
            return False
        if current == tenure:
            self._hold_if_owned(current, row.version)
            return True
        if not self._owns(current):
            self._release_lost(current)
        elif self._book.find(current.partition) is not None:
            self._hold(current, row.version)
        return False

    def _hold_if_owned(self, tenure: Tenure, row_version: int) -> None:
        if self._owns(tenure):
            self._hold(tenure, row_version)
            log_event("tenure_held", partition=tenure.partition, epoch=tenure.epoch)

    def _hold(self, tenure: Tenure, row_version: int) -> None:
        self._book.hold(tenure, row_version, self._clock.monotonic())

    def _release_lost(self, current: Tenure) -> None:
        if self._book.find(current.partition) is not None:
            log_warning("tenure_lost", partition=current.partition, to=current.owner)
            self._release(current.partition)

    def _owns(self, tenure: Tenure) -> bool:
        own = self._fleet.own
        return (tenure.owner, tenure.incarnation) == (own.identity, own.incarnation)

    def _publish(self) -> None:
        claims = tuple(
            Claim(held.tenure.partition, held.tenure.epoch)
            for held in self._book.list_open()
        )
        self._fleet.set_claims(tuple(sorted(claims, key=lambda c: c.partition)))

    def _now_ms(self) -> int:
        return int(self._clock.wall() * MS_PER_S)


def _decode_tenure(row: Row | None) -> Tenure | None:
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=Tenure)
    except UNDECODABLE as error:
        raise BadStoreDataError(f"{row.key}: {error}") from None
