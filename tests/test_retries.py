from __future__ import annotations

import random

import pytest
from hypothesis import given, settings, strategies

from cassiahatch_policies.retries import RetryAccount, UnboundedRetries

MAX_DEPTH = 7


def run_tree(account_type, allowance: int, random_source: random.Random) -> int:
    """Count the retries in a call tree with failed calls and lost answers."""
    account = account_type(allowance)
    return call_service(account_type, account, MAX_DEPTH, random_source)


def call_service(
    account_type, account, depth: int, random_source: random.Random
) -> int:
    retries = 0
    while True:
        share = account.reserve_for_attempt()
        attempt_account = account_type(share)
        if depth > 1:
            for _call in range(random_source.randint(0, 3)):
                call_share = attempt_account.reserve_for_downstream()
                call_account = account_type(call_share)
                retries += call_service(
                    account_type, call_account, depth - 1, random_source
                )
                attempt_account.return_unused(call_share, call_account.available)
        is_lost = random_source.random() < 0.3
        account.return_unused(share, 0 if is_lost else attempt_account.available)
        if random_source.random() < 0.5 or not account.spend():
            return retries
        retries += 1


# Hypothesis seeds the examples with the source of this test, except its comments: a
# changed name in it gives other examples.
@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(allowance=strategies.integers(0, 8), seed=strategies.integers(0, 10**6))
def test_retries_of_a_whole_tree_stay_within_the_allowance(allowance, seed):
    assert run_tree(RetryAccount, allowance, random.Random(seed)) <= allowance


def test_retries_multiply_over_the_layers_without_an_account():
    totals = [run_tree(UnboundedRetries, 1, random.Random(s)) for s in range(5)]
    assert max(totals) > 20


@pytest.mark.parametrize(
    ("reserved", "unused", "available"),
    [(2, 2, 3), (2, 0, 1), (2, 99, 3), (2, -5, 1)],
    ids=[
        "all returned",
        "answer lost",
        "peer reports too many",
        "peer reports less than 0",
    ],
)
def test_returned_retries_are_capped_at_the_reserved_share(reserved, unused, available):
    account = RetryAccount(3)
    assert account.reserve_for_downstream() == reserved
    account.return_unused(reserved, unused)
    assert account.available == available
