"""Quotas of teams: decision tables, and a seeded model of keepers and nodes.

The model's oracle counts what all nodes spend in every window, while keepers are killed,
paused, replaced and cut off from the store, limits change, and grants are late or lost.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import msgspec
import pytest

from cassiahatch_policies import quota_tenure
from cassiahatch_policies.quota_tenure import (
    POSITIONS,
    TENURE_S,
    Candidate,
    Claim,
    StoreTime,
    TenureRow,
    Wait,
    find_position,
    plan_claim,
    plan_renewal,
    rank_candidates,
)
from cassiahatch_policies.team_quota import (
    GRANT_LIFE_S,
    Allowance,
    Grant,
    QuotaBound,
    Refill,
    TeamBucket,
)

BOUND = QuotaBound(window_s=5.0, overrun=0.1, slack=20.0)
NEVER = float("-inf")
ROUNDING = 1e-6

REFILLS = [
    # bound; rate; burst; refill of the bucket
    (BOUND, 100.0, 50.0, Refill(100.0, 75.0)),
    (BOUND, 100.0, 0.0, Refill(100.0, 20.0)),
    (QuotaBound(5.0, 0.0, 0.0), 10.0, 20.0, Refill(10.0, 15.0)),
    (QuotaBound(5.0, 0.0, 0.0), 11.0, 1.0, Refill(10.0, 1.0)),
    (QuotaBound(5.0, 0.0, 0.0), 0.1, 0.0, Refill(0.0, 0.0)),
]


@pytest.mark.parametrize(("bound", "rate", "burst", "refill"), REFILLS)
def test_bucket_grants_no_more_than_the_limit(
    bound: QuotaBound, rate: float, burst: float, refill: Refill
) -> None:
    made = bound.compute_refill(rate, burst)
    assert made.rate_per_s == pytest.approx(refill.rate_per_s)
    assert made.capacity == pytest.approx(refill.capacity)


STARTS = [
    # time since the predecessor's end; units; whether a lack shows a used quota
    (float("inf"), 75, True),
    (0.0, 0, False),
    (0.5, 50, False),
    (5.0, 75, True),
]


@pytest.mark.parametrize(("since_s", "units", "is_settled"), STARTS)
def test_successor_grants_what_has_flowed_in_since_its_predecessor(
    since_s: float, units: int, is_settled: bool
) -> None:
    bucket = TeamBucket(BOUND, 100.0, 50.0, 100.0 - since_s)
    assert bucket.is_settled(100.0) is is_settled
    assert bucket.grant(1000, 100.0) == units


def test_lowered_quota_applies_at_once_and_a_raised_one_adds_no_units() -> None:
    bucket = TeamBucket(BOUND, 100.0, 50.0, NEVER)
    bucket.set_quota(10.0, 0.0, 100.0)
    assert bucket.grant(1000, 100.0) == 20
    bucket.set_quota(100.0, 50.0, 100.0)
    assert bucket.grant(1000, 100.0) == 0
    assert bucket.compute_wait_s(25, 100.0) == pytest.approx(0.25)


RETURNS = [
    # units of the first and the second grant; time between them; units granted after
    # the first grant has been returned
    (40, 0, 0.0, 75),
    (40, 30, 0.0, 45),
    (40, 75, 0.4, 0),
    (40, 75, 0.2, 20),
    (75, 0, 9.0, 75),
]


@pytest.mark.parametrize(("first", "second", "pause_s", "units"), RETURNS)
def test_returned_units_count_as_never_granted(
    first: int, second: int, pause_s: float, units: int
) -> None:
    bucket = TeamBucket(BOUND, 100.0, 50.0, NEVER)
    assert bucket.grant(first, 100.0) == first
    serial, now = bucket.serial, 100.0 + pause_s
    granted = bucket.grant(second, now)
    bucket.take_back(first, serial, now)
    bucket.take_back(first, serial + 9, now)
    assert granted + bucket.grant(1000, now) == pytest.approx(units + granted)


def test_allowance_spends_returns_and_expires() -> None:
    allowance = Allowance(0.0)
    assert allowance.take(0.0) is None
    early, late = Grant(2, 0.5, 1, 1), Grant(5, 0.9, 1, 2)
    allowance.add(early)
    allowance.add(late)
    assert allowance.take(0.1) is early
    assert allowance.take(0.1) is early
    assert allowance.take(0.1) is late
    assert allowance.give_back(early, 0.1)
    assert allowance.take(0.1) is early
    assert not allowance.give_back(early, 0.5)
    assert allowance.count_units(0.8) == 4
    assert [grant.units for grant in allowance.remove_surplus(0.8)] == [4]
    assert allowance.take(0.8) is None
    assert allowance.give_back(late, 0.8)
    assert allowance.take(0.8) is late


DEMANDS = [
    # requests a second; waiting; units held; units requested
    (0, 1, 0, 1),
    (2, 1, 0, 1),
    (2, 0, 0, 0),
    (100, 0, 0, 30),
    (100, 0, 14, 16),
    (100, 0, 20, 0),
    (100, 5, 20, 15),
]


@pytest.mark.parametrize(("demand", "waiting", "held", "requested"), DEMANDS)
def test_units_are_requested_ahead_only_where_many_are_spent(
    demand: float, waiting: int, held: int, requested: int
) -> None:
    allowance = Allowance(0.0)
    allowance.demand_per_s = demand
    allowance.add(Grant(held, 1.0))
    assert allowance.compute_request(waiting, 0.0) == requested
    allowance.refuse(1.0, 0.5)
    assert allowance.compute_request(0, 0.4) == 0


OWN = Candidate("n1", "h:1", 7, is_first_start=False)
STORE_TIME = StoreTime(read_at=500.0, sent_at=10.0, received_at=10.2)
"""The store's clock is between 489.8 and 490 s ahead of the node's."""
CLAIMS = [
    # row; monotonic seconds; tenure's number, start and whether it is continued; or until
    # when the position has a holder
    (None, 11.0, (1, 11.0, False)),
    (TenureRow("n2", "h:2", 3, 4, 501.0), 11.1, 11.2),
    (TenureRow("n2", "h:2", 3, 4, 501.0), 11.3, (5, 11.2, False)),
    (TenureRow("n1", "h:1", 3, 4, 900.0), 11.0, (5, 11.0, False)),
    (TenureRow("n1", "h:9", 3, 4, 501.0), 11.1, 11.2),
    (TenureRow("n1", "h:1", 7, 4, 501.0), 11.0, (4, 11.0, True)),
]


@pytest.mark.parametrize(("row", "now", "expected"), CLAIMS)
def test_position_is_claimed_once_its_holder_has_surely_ended(
    row: TenureRow | None, now: float, expected: object
) -> None:
    match plan_claim(row, OWN, STORE_TIME, now):
        case Wait(until):
            assert until == pytest.approx(expected)
        case Claim() as claim:
            found = claim.row.number, claim.started_at, claim.is_continued
            assert found == pytest.approx(expected)
            latest_at_end = STORE_TIME.compute_latest(claim.ends_at)
            assert claim.ends_at > now + 0.9 * TENURE_S
            assert latest_at_end < claim.row.ends_at


def test_first_start_of_the_system_begins_with_full_buckets() -> None:
    first = Candidate("n1", "h:1", 7, is_first_start=True)
    assert plan_claim(None, first, STORE_TIME, 11.0).started_at == NEVER
    row = TenureRow("n2", "h:2", 3, 4, 400.0)
    assert plan_claim(row, first, STORE_TIME, 11.0).started_at > NEVER


def test_candidates_keep_their_order_when_others_join() -> None:
    few, many = [f"n{i}" for i in range(9)], [f"n{i}" for i in range(99)]
    for position in range(POSITIONS):
        ranked = rank_candidates(position, many, 99)
        assert rank_candidates(position, few, 9) == [n for n in ranked if n in few]
    counts = [0] * POSITIONS
    for number in range(800):
        counts[find_position(f"t-{number}")] += 1
    assert min(counts) > 50


@dataclass(slots=True)
class ModelHolding:
    """A tenure as a node knows it."""

    claim: Claim
    version: int
    bucket: TeamBucket


@dataclass(slots=True)
class ModelSpend:
    """A request that was paid for."""

    at: float
    grant: Grant
    has_run: bool = True


@dataclass(slots=True)
class ModelNode:
    """A node: candidate, keeper and spender."""

    own: Candidate
    quota: tuple[float, float]
    allowance: Allowance
    holding: ModelHolding | None = None
    spends: list[ModelSpend] = field(default_factory=list)
    """Requests that may still turn out not to have run."""


@dataclass(slots=True)
class ModelClaim:
    """A write to the store on its way."""

    node: ModelNode
    claim: Claim
    version: int
    is_answer_lost: bool


QUOTAS = [(10.0, 10.0), (4.0, 0.0), (10.0, 40.0), (20.0, 10.0)]
STORE_OFFSET_S = 333.0
MODEL_BOUND = QuotaBound(window_s=5.0, overrun=0.1, slack=2.0)
STEPS = 700


class Model:
    """Nodes that spend as much as they can as late as they may, under faults."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self.row: TenureRow | None = None
        self.version = 0
        self.quota = QUOTAS[0]
        self.nodes = [self._make_node(n, n, is_first=True) for n in range(3)]
        self.writes: list[ModelClaim] = []
        self.spends: list[ModelSpend] = []
        self.quotas = [(self.now, self.quota)]
        """Quotas in force at some node, by the time from which on."""
        self.is_busy = True
        self.is_spending = True
        self.loss = self.random.choice((0.0, 0.1))
        self.fault_share = self.random.choice((0.0, 0.01, 0.03))
        self.return_share = self.random.choice((0.0, 0.1, 0.3))

    def play(self) -> float:
        """Play to the end; return by how much the worst window passed its limit."""
        for _ in range(STEPS):
            self.now += self.random.choice(
                (0.02, 0.1, 0.2) if self.is_busy else (0.45, 2, 6)
            )
            if self.random.random() < (0.02 if self.is_busy else 0.3):
                self.is_busy = not self.is_busy
            if self.random.random() < (0.02 if self.is_spending else 0.3):
                self.is_spending = not self.is_spending
            self._keep_tenure(self.random.choice(self.nodes))
            self._finish_writes()
            for node in self.nodes:
                self._use(node)
            if self.random.random() < self.fault_share:
                self._disturb()
        return self._find_excess()

    def _make_node(self, number: int, process: int, is_first: bool) -> ModelNode:
        own = Candidate(f"n{number}", "h:1", process, is_first)
        return ModelNode(own, self.quota, Allowance(self.now))

    def _keep_tenure(self, node: ModelNode) -> None:
        """Read the row and write it; another node may write in between."""
        sent_at = self.now - self.random.choice((0.001, 0.2))
        received_at = self.now
        read_at = self.random.uniform(sent_at, received_at) + STORE_OFFSET_S
        store_time = StoreTime(read_at, sent_at, received_at)
        holding = node.holding
        if holding is not None and self.now < holding.claim.ends_at:
            if self.now < holding.claim.ends_at - TENURE_S / 2:
                return
            claim = plan_renewal(holding.claim.row, store_time, self.now)
            version = holding.version
        else:
            claim = plan_claim(self.row, node.own, store_time, self.now)
            version = self.version
        if isinstance(claim, Claim):
            is_lost = self.random.random() < 0.2
            self.writes.append(ModelClaim(node, claim, version, is_lost))

    def _finish_writes(self) -> None:
        for write in list(self.writes):
            if self.random.random() < 0.3:
                continue
            self.writes.remove(write)
            node = write.node
            if write.version != self.version:
                is_own = self.row is not None and self.row.process == node.own.process
                if node.holding is not None and is_own:
                    node.holding.version = self.version
                continue
            self.version += 1
            self.row = write.claim.row
            if not write.is_answer_lost and node in self.nodes:
                self._take(node, write.claim)

    def _take(self, node: ModelNode, claim: Claim) -> None:
        holding = node.holding
        number = claim.row.number
        if holding and claim.is_continued and holding.claim.row.number == number:
            holding.claim, holding.version = claim, self.version
        else:
            bucket = TeamBucket(MODEL_BOUND, *node.quota, claim.started_at)
            node.holding = ModelHolding(claim, self.version, bucket)

    def _find_keeper(self) -> ModelNode | None:
        """Return a node that believes that it holds the position."""
        keepers = [
            node
            for node in self.nodes
            if node.holding is not None and holds(node.holding.claim, self.now)
        ]
        return self.random.choice(keepers) if keepers else None

    def _use(self, node: ModelNode) -> None:
        keeper = self._find_keeper()
        draw = self.random.random
        allowance = node.allowance
        if keeper is not None:
            bucket = keeper.holding.bucket
            bucket.set_quota(*keeper.quota, self.now)
            units = bucket.grant(self.random.choice((1, 5, 1000)), self.now)
            requested_at = self.now - self.random.choice((0, 0.1))
            if units and draw() >= self.loss:
                number = keeper.holding.claim.row.number
                ends_at = requested_at + GRANT_LIFE_S
                allowance.add(Grant(units, ends_at, number, bucket.serial))
        if self.is_spending:
            while (grant := allowance.spend(self.now)) is not None:
                node.spends.append(ModelSpend(self.now, grant))
                self.spends.append(node.spends[-1])
        if node.spends and draw() < self.return_share:
            self._give_back(node, keeper)
        if draw() >= self.return_share:
            return
        for grant in allowance.remove_surplus(self.now):
            self._return(keeper, grant, grant.units)

    def _give_back(self, node: ModelNode, keeper: ModelNode | None) -> None:
        """Let requests that were spent last turn out not to have run."""
        for spend in node.spends[-8:]:
            spend.has_run = False
            if not node.allowance.give_back(spend.grant, self.now):
                self._return(keeper, spend.grant, 1)
        node.spends.clear()

    def _return(self, keeper: ModelNode | None, grant: Grant, units: int) -> None:
        if keeper is not None and keeper.holding.claim.row.number == grant.tenure:
            keeper.holding.bucket.take_back(units, grant.serial, self.now)

    def _disturb(self) -> None:
        node = self.random.choice(self.nodes)
        match self.random.choice(("kill", "quota", "learn", "pause")):
            case "kill":
                number = self.nodes.index(node)
                process = self.random.getrandbits(40)
                self.nodes[number] = self._make_node(number, process, is_first=False)
            case "quota":
                self.quota = self.random.choice(QUOTAS)
            case "learn":
                self._forget_quotas()
                node.quota = self.quota
                self.quotas.append((self.now, node.quota))
            case "pause":
                self.now += self.random.choice((1.0, TENURE_S))

    def _forget_quotas(self) -> None:
        """Note the quotas of all nodes as in force until now."""
        self.quotas += [(self.now, node.quota) for node in self.nodes]

    def _find_excess(self) -> float:
        self._forget_quotas()
        worst, end = NEVER, 0
        runs = [spend.at for spend in self.spends if spend.has_run]
        for first, start in enumerate(runs):
            while end < len(runs) and runs[end] <= start + MODEL_BOUND.window_s:
                end += 1
            quotas = self._list_quotas(start - GRANT_LIFE_S, start + 5.0)
            rate, burst = (max(values) for values in zip(*quotas, strict=True))
            limit = MODEL_BOUND.compute_limit(rate, burst)
            worst = max(worst, end - first - limit)
        return worst

    def _list_quotas(self, start: float, end: float) -> list[tuple[float, float]]:
        """Return the quotas that a node had at some moment of a time."""
        later = [quota for at, quota in self.quotas if start <= at <= end]
        before = [at for at, _ in self.quotas if at < start]
        after = [at for at, _ in self.quotas if at > end]
        edges = {max(before, default=NEVER), min(after, default=NEVER)}
        return later + [quota for at, quota in self.quotas if at in edges]


def holds(claim: Claim, now: float) -> bool:
    """Return whether a tenure allows to grant units."""
    return now < claim.ends_at


SEEDS = 80


def find_violation() -> int | None:
    """Return the first seed with which a window exceeds its limit, or None."""
    seeds = (seed for seed in range(SEEDS) if Model(seed).play() > ROUNDING)
    return next(seeds, None)


def test_no_window_of_a_team_exceeds_its_limit() -> None:
    assert find_violation() is None


def refill_without_grant_life(self: QuotaBound, rate: float, burst: float) -> Refill:
    limit = self.compute_limit(rate, burst)
    return Refill(rate, limit - rate * self.window_s)


def claim_with_full_bucket(row, own, store_time, now):
    plan = quota_tenure.plan_claim(row, own, store_time, now)
    return plan if isinstance(plan, Wait) else replace_start(plan, NEVER)


def replace_start(claim: Claim, started_at: float) -> Claim:
    return Claim(claim.row, started_at, claim.ends_at, claim.is_continued)


def give_back_ended(self: Allowance, grant: Grant, now: float) -> bool:
    grant.expires_at = now + GRANT_LIFE_S
    grant.units += 1
    self._grants.append(grant)
    return True


def spend_ended(self: Allowance, now: float) -> Grant | None:
    for grant in self._grants:
        if grant.units:
            grant.units -= 1
            return grant
    return None


def claim_early(row, own, store_time, now):
    if row is not None:
        row = msgspec.structs.replace(row, ends_at=row.ends_at - 3)
    return quota_tenure.plan_claim(row, own, store_time, now)


FAULTS = {
    "grant life not deducted": (
        QuotaBound,
        "compute_refill",
        refill_without_grant_life,
    ),
    "successor starts full": (None, "plan_claim", claim_with_full_bucket),
    "grant prolonged by a return": (Allowance, "give_back", give_back_ended),
    "ended grants are spent": (Allowance, "spend", spend_ended),
    "claimed before the end": (None, "plan_claim", claim_early),
    "tenure without an end": (None, "holds", lambda claim, now: True),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_oracle_detects(monkeypatch: pytest.MonkeyPatch, fault: str) -> None:
    owner, name, faulty = FAULTS[fault]
    if owner is None:
        monkeypatch.setitem(globals(), name, faulty)
    else:
        monkeypatch.setattr(owner, name, faulty)
    assert find_violation() is not None
