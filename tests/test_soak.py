"""Short runs of the soak test, with seeds that once failed, and tests of its oracle."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from mesh_site import Arrival, Message
from soak.clients import RequestRecord
from soak.cluster import DRAIN_S, MAX_ATTEMPTS, RETRY_SLACK
from soak.faults import draw_schedule
from soak.oracle import Observations, check_safety, check_time_bounds
from soak.run import run_seed

LENGTH_S = 4.0
SEEDS = [
    1,
    # A stopping node dropped a request that it had accepted shortly before it ended.
    4,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_throughout_a_run(seed: int, tmp_path: Path) -> None:
    result = run_seed(seed, LENGTH_S, tmp_path)
    assert result.violations == []
    assert result.answered_count > 0


def test_same_seed_draws_the_same_faults() -> None:
    assert draw_schedule(7, 6, 20.0) == draw_schedule(7, 6, 20.0)
    assert draw_schedule(7, 6, 20.0) != draw_schedule(8, 6, 20.0)


@dataclass(slots=True)
class FakeVm:
    """Attributes of a VM that the oracle reads."""

    backends: list = field(default_factory=list)
    drain_acknowledged_at: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class FakeBackend:
    """Attributes of a backend server that the oracle reads."""

    instance: str


@dataclass(slots=True)
class FakeCluster:
    """Attributes of a cluster that the oracle reads."""

    vms: list[FakeVm]


def build_observations(is_planned: bool = False) -> Observations:
    vms = [FakeVm([FakeBackend(f"shop-{n}-0")]) for n in range(4)]
    return Observations([], {}, FakeCluster(vms), is_planned)


def record_request(
    observations: Observations, request_id: str, **fields: object
) -> RequestRecord:
    record = RequestRecord(request_id, "GET", "/shop/", 1.0, 0, 1)
    for key, value in fields.items():
        setattr(record, key, value)
    observations.records.append(record)
    return record


def record_arrival(
    observations: Observations,
    request_id: str,
    instance: str,
    ran: bool = True,
    at: float = 1.0,
) -> None:
    message = Message("GET", "/", 0, {}, b"")
    arrival = Arrival(instance, message, at, ran)
    observations.arrivals.setdefault(request_id, []).append(arrival)


def make_answer(
    status: int, body: bytes = b"", has_stamp: bool = False, **headers: str
):
    fields = {key.replace("_", "-"): value for key, value in headers.items()}
    if has_stamp:
        fields["cassiahatch-server-stamp"] = "s"
    return Message("", "", status, fields, body)


def add_matching_answer(observations: Observations) -> None:
    record_arrival(observations, "a", "shop-0-0")
    record_request(observations, "a", answer=make_answer(200, b"shop-0-0:a", True))


def add_second_run(observations: Observations) -> None:
    for number in range(2):
        record_arrival(observations, "a", f"shop-{number}-0")
        observations.arrivals["a"][-1].message = Message("POST", "/", 0, {}, b"a")
    record_request(observations, "a", method="POST")


def add_run_of_rejected_request(observations: Observations) -> None:
    record_arrival(observations, "a", "shop-0-0")
    record_request(observations, "a", answer=make_answer(503))


def add_answer_of_other_request(observations: Observations) -> None:
    record_arrival(observations, "a", "shop-0-0")
    record_request(observations, "a", answer=make_answer(200, b"shop-0-0:b", True))


def add_answer_with_other_id(observations: Observations) -> None:
    record_request(
        observations, "a", answer=make_answer(504, cassiahatch_request_id="b")
    )


def add_answer_without_stamp(observations: Observations) -> None:
    record_arrival(observations, "a", "shop-0-0")
    record_request(observations, "a", answer=make_answer(200, b"shop-0-0:a"))


def add_stray_bytes(observations: Observations) -> None:
    record_request(observations, "a", has_stray_bytes=True)


def add_older_configuration(observations: Observations) -> None:
    record_request(observations, "a", path="/v9/", answer=make_answer(200, b"", True))
    record_arrival(observations, "a", "shop-0-0")
    observations.records[-1].answer = make_answer(503)
    observations.arrivals.clear()
    record_request(observations, "b", path="/v9/", answer=make_answer(404), sent_at=2.0)


def add_retries_beyond_budget(observations: Observations) -> None:
    for number in range(RETRY_SLACK + 20):
        for at in (1.0, 1.1):
            record_arrival(observations, f"a{number}", "shop-0-0", ran=False, at=at)


def add_attempts_beyond_limit(observations: Observations) -> None:
    for number in range(MAX_ATTEMPTS + 1):
        record_arrival(observations, "a", f"shop-{number}-0")


def add_lost_request(observations: Observations) -> None:
    observations.is_planned = True
    record_arrival(observations, "a", "shop-0-0")
    record_request(observations, "a", was_closed=True)


def add_run_after_drain(observations: Observations) -> None:
    observations.cluster.vms[0].drain_acknowledged_at["shop-0-0"] = 1.0
    record_arrival(observations, "a", "shop-0-0", at=1.0 + DRAIN_S + 1.0)


CASES: list[tuple[Callable[[Observations], None], str]] = [
    # function that adds observations, expected violation; empty if there is none
    (add_matching_answer, ""),
    (add_second_run, "twice"),
    (add_run_of_rejected_request, "refused"),
    (add_answer_of_other_request, "mixed"),
    (add_answer_with_other_id, "mixed"),
    (add_answer_without_stamp, "mixed"),
    (add_stray_bytes, "mixed"),
    (add_older_configuration, "config"),
    (add_retries_beyond_budget, "budget"),
    (add_attempts_beyond_limit, "budget"),
    (add_lost_request, "lost"),
    (add_run_after_drain, "drain"),
]


@pytest.mark.parametrize(("add", "expected"), CASES)
def test_oracle_detects_each_violation(
    add: Callable[[Observations], None], expected: str
) -> None:
    observations = build_observations()
    add(observations)
    violations = check_safety(observations) + check_time_bounds(observations)
    assert {line.split(":")[0] for line in violations} == ({expected} - {""})
