"""Success and latency at the edge while a downstream service is overloaded."""

from __future__ import annotations

import pytest

from cassiahatch_policies.cutoff import PROBE_INTERVAL_S, REPORT_FRESH_S, PathCutoff
from load_model import REQUEST_KINDS, LoadModel

FALL_AT = 8.0
"""Time in seconds from the start at which the load falls."""
LENGTH_S = 12.0
MIN_COMPLETED = 0.99
"""Share of the most urgent rank that must complete at up to 1.8 times the capacity, and
of every rank once the load has fallen."""
MIN_USEFUL_CALLS = 0.95
"""Share of the calls that must belong to completed requests."""
MIN_IN_TARGET = 0.95
"""Share of the admitted requests that must meet a target far below the others'."""
RECOVERY_S = 1.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [0.8, 1.2, 1.8])
def test_urgent_requests_complete_and_little_work_is_wasted(
    load: float, seed: int
) -> None:
    result = LoadModel(load, FALL_AT, seed).simulate(LENGTH_S)
    assert result.compute_completed_share(0, 0.0, FALL_AT) >= MIN_COMPLETED
    assert result.compute_useful_call_share() >= MIN_USEFUL_CALLS


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.2, 1.8, 3.0])
def test_all_ranks_complete_one_second_after_the_load_falls(
    load: float, seed: int
) -> None:
    result = LoadModel(load, FALL_AT, seed).simulate(LENGTH_S)
    begin, end = FALL_AT + RECOVERY_S, LENGTH_S - 1.0
    for kind in REQUEST_KINDS:
        assert result.compute_completed_share(kind.rank, begin, end) >= MIN_COMPLETED


@pytest.mark.parametrize("load", [1.8, 3.0])
def test_queueing_by_root_target_meets_more_targets_than_by_arrival(
    load: float,
) -> None:
    by_root = LoadModel(load, FALL_AT, 5).simulate(LENGTH_S)
    by_arrival = LoadModel(load, FALL_AT, 5, uses_root_targets=False).simulate(LENGTH_S)
    in_target = by_root.compute_in_target_share(1.0, FALL_AT)
    assert in_target > by_arrival.compute_in_target_share(1.0, FALL_AT) + 0.1


@pytest.mark.parametrize("load", [1.2, 1.5, 1.8])
def test_short_targets_are_met_while_long_requests_run(load: float) -> None:
    result = LoadModel(load, FALL_AT, 5).simulate(LENGTH_S)
    assert result.compute_in_target_share(1.0, FALL_AT, rank=1) >= MIN_IN_TARGET


def test_a_rejected_route_is_probed_by_single_requests() -> None:
    path = PathCutoff()
    path.observe(1.0, 10.0)
    times = [10.0 + number / 100 for number in range(200)]
    admitted_at = [at for at in times if path.admits(2.5, at)]
    assert admitted_at[0] >= 10.0 + REPORT_FRESH_S - 1e-6
    gaps = [
        second - first
        for first, second in zip(admitted_at, admitted_at[1:], strict=False)
    ]
    assert min(gaps) >= PROBE_INTERVAL_S - 1e-6
    assert path.admits(0.5, 10.1)
    assert path.admits(2.5, 13.0), "old reports have expired"
