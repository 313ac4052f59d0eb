"""What callers get while a service deep in the call graph is overloaded."""

from __future__ import annotations

import pytest

from cassiahatch_policies.cutoff import PROBE_INTERVAL_S, REPORT_FRESH_S, PathCutoff
from load_model import REQUEST_KINDS, LoadModel

FALL_AT = 8.0
LENGTH_S = 12.0
MOST_URGENT = 0.99
"""Share of the highest rank that is to be served at up to 1.8 times the capacity."""
WHOLE = 0.95
"""Share of the work that is to go to requests which end whole."""
IN_TARGET = 0.95
"""Share of the requests let in that are to meet a target far shorter than others'."""
RECOVERY_S = 1.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.8, 1.2, 1.8])
def test_the_most_urgent_are_served_and_little_work_is_lost(
    load: float, seed: int
) -> None:
    outcome = LoadModel(load, FALL_AT, seed).simulate(LENGTH_S)
    assert outcome.compute_completed_share(0, 0.0, FALL_AT) >= MOST_URGENT
    assert outcome.compute_useful_call_share() >= WHOLE


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.2, 1.8, 3.0])
def test_all_are_served_a_second_after_the_load_has_fallen(
    load: float, seed: int
) -> None:
    outcome = LoadModel(load, FALL_AT, seed).simulate(LENGTH_S)
    begin, end = FALL_AT + RECOVERY_S, LENGTH_S - 1.0
    for kind in REQUEST_KINDS:
        assert outcome.compute_completed_share(kind.rank, begin, end) >= MOST_URGENT


@pytest.mark.parametrize("load", [1.8, 3.0])
def test_the_target_of_a_request_keeps_its_calls_from_waiting_behind_newer_ones(
    load: float,
) -> None:
    by_root = LoadModel(load, FALL_AT, 5).simulate(LENGTH_S)
    by_arrival = LoadModel(load, FALL_AT, 5, uses_root_targets=False).simulate(LENGTH_S)
    gain = by_root.compute_in_target_share(1.0, FALL_AT)
    assert gain > by_arrival.compute_in_target_share(1.0, FALL_AT) + 0.1


@pytest.mark.parametrize("load", [1.2, 1.5, 1.8])
def test_short_targets_are_met_beside_long_requests(load: float) -> None:
    outcome = LoadModel(load, FALL_AT, 5).simulate(LENGTH_S)
    assert outcome.compute_in_target_share(1.0, FALL_AT, rank=1) >= IN_TARGET


def test_a_refused_route_is_probed_by_single_requests() -> None:
    path = PathCutoff()
    path.observe(1.0, 10.0)
    steps = [10.0 + number / 100 for number in range(200)]
    let_in = [at for at in steps if path.admits(2.5, at)]
    assert let_in[0] >= 10.0 + REPORT_FRESH_S - 1e-6
    gaps = [later - sooner for sooner, later in zip(let_in, let_in[1:], strict=False)]
    assert min(gaps) >= PROBE_INTERVAL_S - 1e-6
    assert path.admits(0.5, 10.1)
    assert path.admits(2.5, 13.0), "old reports say nothing"
