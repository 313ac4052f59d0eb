from __future__ import annotations

import pytest
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahatch_kernel.plans import Plan
from cassiahatch_policies import quota
from cassiahatch_policies.quota import GRANT_TTL_S, Grant, KeeperBucket, Wallet
from fuzzing import run_machine

KEEPERS = 2
PLAN = Plan(rate=10, burst=12)
ROUNDING = 1e-6


# Hypothesis seeds the examples with the source of this class, except its comments: a
# changed name or docstring in it gives other examples.
class QuotaMachine(RuleBasedStateMachine):
    """Nodes fetch units from keepers that are replaced; answers are late or lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.keepers = [KeeperBucket(PLAN, self.now) for _ in range(KEEPERS)]
        self.wallets = [Wallet(KEEPERS, self.now) for _ in range(3)]
        # Grants whose answers have not reached their wallets, by index of the wallet.
        self.under_way: list[tuple[int, Grant]] = []
        # Times of the requests that were paid for.
        self.spent: list[float] = []

    @rule(seconds=strategies.sampled_from([0.01, 0.1, 0.3, 1.0, 5.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(
        wallet=strategies.integers(0, 2),
        keeper=strategies.integers(0, KEEPERS - 1),
        wanted=strategies.sampled_from([1, 4, 1000]),
    )
    def ask(self, wallet, keeper, wanted):
        units = self.keepers[keeper].grant(wanted, self.now)
        self.under_way.append((wallet, Grant(units, self.now + quota.GRANT_TTL_S)))

    @rule()
    def deliver(self):
        for wallet, grant in self.under_way:
            self.wallets[wallet].add(grant)
        self.under_way.clear()

    @rule()
    def lose_answers(self):
        self.under_way.clear()

    @rule(keeper=strategies.integers(0, KEEPERS - 1))
    def replace_keeper(self, keeper):
        self.keepers[keeper] = KeeperBucket(PLAN, self.now)

    @rule(wallet=strategies.integers(0, 2), count=strategies.integers(1, 30))
    def spend(self, wallet, count):
        for _request in range(count):
            if self.wallets[wallet].pay_new_request(self.now):
                self.spent.append(self.now)

    @invariant()
    def no_window_passes_the_plan(self):
        for first, start in enumerate(self.spent):
            used = len(self.spent) - first
            allowed = PLAN.rate * (self.now - start) + PLAN.burst
            assert used <= allowed + ROUNDING


def test_no_customer_exceeds_its_plan_in_any_window():
    run_machine(QuotaMachine, examples=300, steps=50)


def apply_without_grant_lifetime(self, plan):
    """Set the bucket's capacity to the whole burst.

    Units that may still be spent until their grant expires are not deducted.
    """
    self._rate = plan.rate
    self._burst = plan.burst


@pytest.mark.parametrize(
    ("apply", "is_within_burst"),
    [(KeeperBucket._apply, True), (apply_without_grant_lifetime, False)],
    ids=["actual", "grant lifetime not deducted"],
)
def test_units_spent_just_before_they_expire_do_not_exceed_the_burst(
    monkeypatch, apply, is_within_burst
):
    monkeypatch.setattr(KeeperBucket, "_apply", apply)
    keepers = [KeeperBucket(PLAN, 0.0) for _ in range(KEEPERS)]
    wallet = Wallet(KEEPERS, 60.0)
    for requested_at in (60.0, 60.0 + GRANT_TTL_S * 0.99):
        for keeper in keepers:
            wallet.add(
                Grant(keeper.grant(1000, requested_at), requested_at + GRANT_TTL_S)
            )
    paid = sum(wallet.pay_new_request(60.0 + GRANT_TTL_S * 0.99) for _ in range(100))
    assert (paid <= PLAN.burst) is is_within_burst


@pytest.mark.parametrize(
    ("seconds", "wanted", "granted"),
    [(0.0, 5, 0), (0.3, 5, 3), (0.55, 5, 5), (60.0, 1000, 7), (60.0, -3, 0)],
)
def test_a_bucket_is_empty_at_first_and_fills_at_the_rate(seconds, wanted, granted):
    assert KeeperBucket(PLAN, 0.0).grant(wanted, seconds) == granted


def test_a_changed_plan_applies_from_the_change_on():
    bucket = KeeperBucket(PLAN, 0.0)
    bucket.change_plan(Plan(rate=1, burst=2), 10.0)
    assert bucket.grant(100, 10.0) == 1
