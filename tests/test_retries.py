from __future__ import annotations

import random

import pytest
from hypothesis import given, settings, strategies

from cassiahatch_policies.retries import RetryAccount, UnboundedRetries

MAX_DEPTH = 7


def run_tree(kind, allowance: int, source: random.Random) -> int:
    """Return the retries of a whole tree whose calls fail and whose answers get lost."""
    account = kind(allowance)
    return call_service(kind, account, MAX_DEPTH, source)


def call_service(kind, account, depth: int, source: random.Random) -> int:
    retries = 0
    while True:
        share = account.reserve_for_attempt()
        below = kind(share)
        if depth > 1:
            for _call in range(source.randint(0, 3)):
                deeper_share = below.reserve_for_downstream()
                deeper = kind(deeper_share)
                retries += call_service(kind, deeper, depth - 1, source)
                below.return_unused(deeper_share, deeper.available)
        is_lost = source.random() < 0.3
        account.return_unused(share, 0 if is_lost else below.available)
        if source.random() < 0.5 or not account.spend():
            return retries
        retries += 1


@settings(max_examples=300, derandomize=True, deadline=None, database=None)
@given(allowance=strategies.integers(0, 8), seed=strategies.integers(0, 10**6))
def test_retries_of_a_whole_tree_stay_within_the_allowance(allowance, seed):
    assert run_tree(RetryAccount, allowance, random.Random(seed)) <= allowance


def test_retries_of_each_layer_multiply_without_the_account():
    totals = [run_tree(UnboundedRetries, 1, random.Random(s)) for s in range(5)]
    assert max(totals) > 20


@pytest.mark.parametrize(
    ("lent", "unused", "available"),
    [(2, 2, 3), (2, 0, 1), (2, 99, 3), (2, -5, 1)],
    ids=["all back", "lost", "a peer that lies upwards", "a peer that lies downwards"],
)
def test_what_comes_back_is_never_more_than_was_lent(lent, unused, available):
    account = RetryAccount(3)
    assert account.reserve_for_downstream() == lent
    account.return_unused(lent, unused)
    assert account.available == available
