"""Keepers of teams' quotas: the positions that this node holds, and their buckets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.ports import (
    ABSENT,
    Committed,
    Conflict,
    FeedStore,
    Row,
    StoreUnavailableError,
)
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_kernel.store_versions import get_era
from cassiahatch_kernel.teams import TeamTable
from cassiahatch_node.mesh.frames import (
    QuotaAsk,
    QuotaGrant,
    QuotaGrantFrame,
    QuotaRequestFrame,
)
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.quota_candidates import QuotaCandidates
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.quota_tenure import (
    POSITIONS,
    RENEWAL_INTERVAL_S,
    TENURE_S,
    Candidate,
    Claim,
    StoreTime,
    TenureRow,
    Wait,
    plan_claim,
    plan_renewal,
)
from cassiahatch_policies.team_quota import QuotaBound

KEEPER_TABLE = "quota_keepers"
CHECK_INTERVAL_S = 0.25
"""Mean interval of the checks of tenures."""
STARTUP_S = 1.0
"""Time after its start in which a node claims no position that nobody asks it for: it
does not yet know which nodes come before it."""
RETRY_INTERVAL_S = 0.4
"""Interval between attempts while the store is unavailable or a write conflicts."""
STORE_TIME_MAX_AGE_S = 60.0
"""Age from which the reading of the store's clock is replaced. Clocks whose speeds differ
by 200 ppm diverge by 12 ms in this time."""
MS_PER_S = 1000
_DECODER = msgspec.json.Decoder(TenureRow)


@dataclass(slots=True)
class Holding:
    """A position that this node holds, or has held, with the teams' buckets."""

    row: TenureRow
    version: int
    """Version of the row in the store."""
    started_at: float
    ends_at: float
    renew_at: float
    buckets: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class _Foreign:
    """What is known about a position that another node holds."""

    holder: str = ""
    until: float = float("-inf")
    """Monotonic seconds before which the row need not be read again."""
    is_wanted: bool = False
    """Whether a node has asked this one for the position."""


class QuotaKeepers:
    """Holds positions by tenures in the store, and grants units to nodes.

    Parameters
    ----------
    own : Candidate
        This node and its process.
    get_teams : callable
        Returns the teams of the configuration in force.
    bound : QuotaBound
        The limit that the buckets keep.
    bucket_plugin : str
        Name of the plug-in of the buckets.
    """

    def __init__(
        self,
        own: Candidate,
        store: FeedStore,
        candidates: QuotaCandidates,
        get_teams: Callable[[], TeamTable],
        bound: QuotaBound,
        bucket_plugin: str,
        clock: Clock,
        random_source: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self._own = own
        self._store = store
        self._candidates = candidates
        self._get_teams = get_teams
        self._bound = bound
        self._bucket_plugin = bucket_plugin
        self._clock = clock
        self._random = random_source
        self._metrics = metrics
        self._journal = journal
        self._started_at = clock.monotonic()
        self._holdings: dict[int, Holding] = {}
        self._foreign = [_Foreign() for _ in range(POSITIONS)]
        self._unreadable: dict[tuple[int, int], TenureRow] = {}
        """Rows that can't be decoded, by position and version, with the latest end that
        their tenures can have."""
        self._store_time: StoreTime | None = None
        self._wanted = asyncio.Event()
        self._store_era = 0
        """Highest era in which the table was read."""
        self._claims_from = float("-inf")
        """Monotonic seconds before which no position is claimed."""

    def find_holding(self, position: int) -> Holding | None:
        """Return the position's holding if its tenure is current, else None."""
        holding = self._holdings.get(position)
        if holding is None or self._clock.monotonic() >= holding.ends_at:
            return None
        return holding

    def answer(self, frame: QuotaRequestFrame) -> QuotaGrantFrame:
        """Take units back and grant others, if this node holds the position."""
        holding = self.find_holding(frame.position)
        if holding is None:
            return self._refer(frame)
        now = self._clock.monotonic()
        for back in frame.returns:
            bucket = holding.buckets.get(back.team)
            if bucket is not None and back.tenure == holding.row.number:
                bucket.take_back(back.units, back.serial, now)
        grants = tuple(self._grant(holding, ask, now) for ask in frame.asks)
        return QuotaGrantFrame(frame.number, frame.position, holding.row.number, grants)

    async def run(self) -> None:
        """Renew and claim tenures until cancelled, while a team has a quota."""
        while True:
            await self._wait_for_check()
            if self._get_teams().has_quotas and not self._candidates.is_leaving:
                await self._renew_due()
                await self._claim_missing()

    async def release(self) -> None:
        """Grant no more units, and end the tenures in the store."""
        self._candidates.is_leaving = True
        now = self._clock.monotonic()
        holdings, self._holdings = self._holdings, {}
        async with asyncio.TaskGroup() as writes:
            for position, holding in holdings.items():
                if now < holding.ends_at and self._store_time is not None:
                    ends_at = self._store_time.compute_latest(now)
                    row = msgspec.structs.replace(holding.row, ends_at=ends_at)
                    writes.create_task(self._write(position, row, holding.version))

    def _refer(self, frame: QuotaRequestFrame) -> QuotaGrantFrame:
        """Name the holder of a position, or see to it that there is one."""
        if not 0 <= frame.position < POSITIONS:
            return QuotaGrantFrame(frame.number, frame.position)
        foreign = self._foreign[frame.position]
        if self._clock.monotonic() < foreign.until:
            return QuotaGrantFrame(frame.number, frame.position, holder=foreign.holder)
        foreign.is_wanted = True
        self._wanted.set()
        return QuotaGrantFrame(frame.number, frame.position)

    def _grant(self, holding: Holding, ask: QuotaAsk, now: float) -> QuotaGrant:
        team = self._get_teams().get(ask.team)
        if team is None:
            return QuotaGrant(ask.team, 0)
        if team.rate_per_s <= 0:
            return QuotaGrant(ask.team, ask.units)
        bucket = holding.buckets.get(ask.team)
        if bucket is None:
            bucket = holding.buckets[ask.team] = PLUGINS.create(
                "team_bucket",
                self._bucket_plugin,
                self._bound,
                team.rate_per_s,
                team.burst,
                holding.started_at,
            )
        bucket.set_quota(team.rate_per_s, team.burst, now)
        units = bucket.grant(ask.units, now)
        self._metrics.count("quota_units:granted", units)
        wait_ms = 0
        if units < ask.units:
            self._metrics.count("quota_units:refused", ask.units - units)
            if bucket.is_settled(now):
                wait_s = bucket.compute_wait_s(ask.units - units, now)
                wait_ms = max(1, int(wait_s * MS_PER_S))
        return QuotaGrant(ask.team, units, bucket.serial, wait_ms)

    async def _wait_for_check(self) -> None:
        interval_s = CHECK_INTERVAL_S * (0.5 + self._random.random())
        try:
            async with asyncio.timeout(interval_s):
                await self._wanted.wait()
        except TimeoutError:
            return
        self._wanted.clear()

    async def _renew_due(self) -> None:
        now = self._clock.monotonic()
        due = {
            position: holding
            for position, holding in self._holdings.items()
            if holding.renew_at <= now < holding.ends_at
        }
        if due and self._is_store_time_old(now):
            await self._read_rows()
        if self._store_time is None:
            return
        async with asyncio.TaskGroup() as renewals:
            for position, holding in due.items():
                renewals.create_task(self._renew(position, holding))

    def _is_store_time_old(self, now: float) -> bool:
        store_time = self._store_time
        return store_time is None or now - store_time.sent_at > STORE_TIME_MAX_AGE_S

    async def _renew(self, position: int, holding: Holding) -> None:
        now = self._clock.monotonic()
        holding.renew_at = now + RETRY_INTERVAL_S
        claim = plan_renewal(holding.row, self._store_time, now)
        match await self._write(position, claim.row, holding.version):
            case Committed(revision):
                holding.version, holding.row = revision, claim.row
                holding.ends_at = claim.ends_at
                holding.renew_at = now + RENEWAL_INTERVAL_S
            case Conflict(version=version, value=value):
                row = self._decode_conflict(position, value, version)
                is_own = row is not None and row.process == self._own.process
                if is_own or await self._is_restored(row, holding):
                    holding.version = version
                else:
                    self._lose(position, row)

    def _decode_conflict(
        self, position: int, value: bytes, version: int
    ) -> TenureRow | None:
        if version == ABSENT:
            return None
        return self._decode(position, Row("", value, version))

    async def _is_restored(self, row: TenureRow | None, holding: Holding) -> bool:
        """Return whether the store has come back from before a tenure began.

        No other node claims the position before this tenure has ended.
        """
        await self._read_rows()
        is_later = self._store_era > get_era(holding.version)
        return is_later and (row is None or row.number < holding.row.number)

    def _lose(self, position: int, row: TenureRow | None) -> None:
        self._holdings.pop(position, None)
        holder = "" if row is None else row.holder
        self._journal.note("quota_tenure_lost", position=position, holder=holder)

    async def _claim_missing(self) -> None:
        now = self._clock.monotonic()
        positions = [
            position
            for position, foreign in enumerate(self._foreign)
            if now >= foreign.until and self._should_claim(position, foreign, now)
        ]
        if not positions:
            return
        rows = await self._read_rows()
        if now < self._claims_from:
            return
        async with asyncio.TaskGroup() as claims:
            for position in positions:
                self._foreign[position].until = now + RETRY_INTERVAL_S
                if rows is not None:
                    row = rows.get(str(position))
                    claims.create_task(self._claim(position, row))

    def _should_claim(self, position: int, foreign: _Foreign, now: float) -> bool:
        if self.find_holding(position) is not None:
            return False
        if foreign.is_wanted:
            return True
        is_starting = now - self._started_at < STARTUP_S
        return not is_starting and self._candidates.is_first(position)

    async def _claim(self, position: int, stored: Row | None) -> None:
        foreign, now = self._foreign[position], self._clock.monotonic()
        row = None if stored is None else self._decode(position, stored)
        match plan_claim(row, self._own, self._store_time, now):
            case Wait(until):
                foreign.holder, foreign.until = row.holder, until
                foreign.is_wanted = False
            case Claim() as claim:
                version = ABSENT if stored is None else stored.version
                outcome = await self._write(position, claim.row, version)
                is_leaving = self._candidates.is_leaving
                if isinstance(outcome, Committed) and not is_leaving:
                    self._take(position, claim, outcome.revision, now)

    def _take(
        self, position: int, claim: Claim, version: int, written_at: float
    ) -> None:
        """Begin a tenure, or continue one whose row this process wrote before."""
        holding = self._holdings.get(position)
        renew_at = written_at + RENEWAL_INTERVAL_S
        if claim.is_continued and holding and holding.row.number == claim.row.number:
            holding.row, holding.version = claim.row, version
            holding.ends_at, holding.renew_at = claim.ends_at, renew_at
        else:
            self._holdings[position] = Holding(
                claim.row, version, claim.started_at, claim.ends_at, renew_at
            )
        self._foreign[position].is_wanted = False
        empty_s = max(0.0, self._clock.monotonic() - claim.started_at)
        self._journal.note(
            "quota_tenure_won",
            position=position,
            number=claim.row.number,
            since_predecessor_s=round(empty_s, 3) if empty_s < float("inf") else None,
        )

    async def _write(
        self, position: int, row: TenureRow, version: int
    ) -> Committed | Conflict | None:
        """Write a row, and return None if the store did not answer."""
        try:
            return await self._store.write_row(
                KEEPER_TABLE, str(position), msgspec.json.encode(row), version
            )
        except StoreUnavailableError as error:
            self._journal.trace(
                "quota_tenure_not_written", position=position, error=error.detail
            )
            return None

    async def _read_rows(self) -> dict[str, Row] | None:
        """Read the table and the store's clock; return None if that failed."""
        sent_at = self._clock.monotonic()
        try:
            scan = await self._store.read_table(KEEPER_TABLE)
        except StoreUnavailableError as error:
            self._journal.trace("quota_tenures_not_read", error=error.detail)
            return None
        received_at = self._clock.monotonic()
        if not scan.read_at:
            self._journal.trace("quota_tenures_not_read", error="store without a clock")
            return None
        self._store_time = StoreTime(scan.read_at, sent_at, received_at)
        self._follow_era(get_era(scan.revision), received_at)
        return {row.key: row for row in scan.rows}

    def _follow_era(self, era: int, now: float) -> None:
        """Claim nothing in a new era until each tenure of before it has ended.

        The store may have lost their rows. That also ends the first start of the system,
        in which a position without a row has had no holder. A process that starts in a
        later era than the first can't know when that began.
        """
        if era > self._store_era:
            self._store_era = era
            self._claims_from = now + TENURE_S
            self._own = msgspec.structs.replace(self._own, is_first_start=False)
            self._journal.note("quota_claims_delayed", era=era, delay_s=TENURE_S)

    def _decode(self, position: int, stored: Row) -> TenureRow:
        """Return the row; one that can't be decoded ends after the longest tenure."""
        try:
            return _DECODER.decode(stored.value)
        except UNDECODABLE as error:
            key = position, stored.version
            if key not in self._unreadable:
                self._journal.note(
                    "bad_quota_keeper", position=position, error=str(error)
                )
                latest = self._store_time.compute_latest(self._clock.monotonic())
                self._unreadable[key] = TenureRow("", "", 0, 0, latest + TENURE_S)
            return self._unreadable[key]
