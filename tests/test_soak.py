"""A short run of the soak, seeds that once failed, and the oracle's own checks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from mesh_site import Arrival, Message
from soak.clients import Seen
from soak.faults import draw_schedule
from soak.oracle import Evidence, check_bounds, check_safety
from soak.run import play
from soak.world import DRAIN_S, MAX_ATTEMPTS, RETRY_SLACK

LENGTH_S = 4.0
SEEDS = [
    1,
    # A stopping node cut a request that it had taken near its end.
    4,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_through_a_run(seed: int, tmp_path: Path) -> None:
    verdict = play(seed, LENGTH_S, tmp_path)
    assert verdict.broken == []
    assert verdict.answered > 0


def test_a_seed_always_draws_the_same_faults() -> None:
    assert draw_schedule(7, 6, 20.0) == draw_schedule(7, 6, 20.0)
    assert draw_schedule(7, 6, 20.0) != draw_schedule(8, 6, 20.0)


@dataclass(slots=True)
class FakeVm:
    """What the oracle reads of a VM."""

    backends: list = field(default_factory=list)
    leaving_known_at: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class FakeBackend:
    """What the oracle reads of a backend server."""

    instance: str


@dataclass(slots=True)
class FakeWorld:
    """What the oracle reads of a world."""

    vms: list[FakeVm]


def build_evidence(is_planned: bool = False) -> Evidence:
    vms = [FakeVm([FakeBackend(f"shop-{n}-0")]) for n in range(4)]
    return Evidence([], {}, FakeWorld(vms), is_planned)


def see(evidence: Evidence, name: str, **fields: object) -> Seen:
    seen = Seen(name, "GET", "/shop/", 1.0, 0, 1)
    for key, value in fields.items():
        setattr(seen, key, value)
    evidence.seen.append(seen)
    return seen


def arrive(
    evidence: Evidence, name: str, instance: str, ran: bool = True, at: float = 1.0
) -> None:
    message = Message("GET", "/", 0, {}, b"")
    entry = Arrival(instance, message, at, ran)
    evidence.arrived.setdefault(name, []).append(entry)


def answer(status: int, body: bytes = b"", stamp: bool = False, **headers: str):
    fields = {key.replace("_", "-"): value for key, value in headers.items()}
    if stamp:
        fields["cassiahatch-server-stamp"] = "s"
    return Message("", "", status, fields, body)


def add_good(evidence: Evidence) -> None:
    arrive(evidence, "a", "shop-0-0")
    see(evidence, "a", answer=answer(200, b"shop-0-0:a", True))


def add_twice(evidence: Evidence) -> None:
    for number in range(2):
        arrive(evidence, "a", f"shop-{number}-0")
        evidence.arrived["a"][-1].message = Message("POST", "/", 0, {}, b"a")
    see(evidence, "a", method="POST")


def add_refused(evidence: Evidence) -> None:
    arrive(evidence, "a", "shop-0-0")
    see(evidence, "a", answer=answer(503))


def add_other_answer(evidence: Evidence) -> None:
    arrive(evidence, "a", "shop-0-0")
    see(evidence, "a", answer=answer(200, b"shop-0-0:b", True))


def add_other_id(evidence: Evidence) -> None:
    see(evidence, "a", answer=answer(504, cassiahatch_request_id="b"))


def add_unstamped(evidence: Evidence) -> None:
    arrive(evidence, "a", "shop-0-0")
    see(evidence, "a", answer=answer(200, b"shop-0-0:a"))


def add_extra(evidence: Evidence) -> None:
    see(evidence, "a", is_extra=True)


def add_return(evidence: Evidence) -> None:
    see(evidence, "a", path="/v9/", answer=answer(200, b"", True))
    arrive(evidence, "a", "shop-0-0")
    evidence.seen[-1].answer = answer(503)
    evidence.arrived.clear()
    see(evidence, "b", path="/v9/", answer=answer(404), sent_at=2.0)


def add_repeats(evidence: Evidence) -> None:
    for number in range(RETRY_SLACK + 20):
        for at in (1.0, 1.1):
            arrive(evidence, f"a{number}", "shop-0-0", ran=False, at=at)


def add_attempts(evidence: Evidence) -> None:
    for number in range(MAX_ATTEMPTS + 1):
        arrive(evidence, "a", f"shop-{number}-0")


def add_loss(evidence: Evidence) -> None:
    evidence.is_planned = True
    arrive(evidence, "a", "shop-0-0")
    see(evidence, "a", was_closed=True)


def add_late(evidence: Evidence) -> None:
    evidence.world.vms[0].leaving_known_at["shop-0-0"] = 1.0
    arrive(evidence, "a", "shop-0-0", at=1.0 + DRAIN_S + 1.0)


CASES: list[tuple[Callable[[Evidence], None], str]] = [
    # what is seen, start of the broken promise; empty if none is
    (add_good, ""),
    (add_twice, "twice"),
    (add_refused, "refused"),
    (add_other_answer, "mixed"),
    (add_other_id, "mixed"),
    (add_unstamped, "mixed"),
    (add_extra, "mixed"),
    (add_return, "config"),
    (add_repeats, "budget"),
    (add_attempts, "budget"),
    (add_loss, "lost"),
    (add_late, "drain"),
]


@pytest.mark.parametrize(("add", "expected"), CASES)
def test_the_oracle_sees_each_broken_promise(
    add: Callable[[Evidence], None], expected: str
) -> None:
    evidence = build_evidence()
    add(evidence)
    found = check_safety(evidence) + check_bounds(evidence)
    assert {line.split(":")[0] for line in found} == ({expected} - {""})
