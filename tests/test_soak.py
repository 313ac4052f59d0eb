"""Short runs of the soak test, with seeds that once failed, and tests of its oracle."""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from mesh_site import HOST, Arrival, Message
from soak.client_kinds import (
    ClientKind,
    HalfClose,
    Pipeline,
    ReadLate,
    ReuseIdle,
    SafePipeline,
    SplitBody,
    Steady,
)
from soak.clients import Client, RequestRecord
from soak.cluster import DRAIN_S, MAX_ATTEMPTS, RETRY_SLACK, Injection
from soak.faults import (
    Configure,
    Fault,
    HarmPath,
    HarmStore,
    PauseNode,
    StopNode,
    draw_schedule,
)
from soak.losses import LATE_GRACE_S, LOSS_SLACK_S, MAX_UNPLANNED_LOSSES
from soak.oracle import Observations, check_safety, check_time_bounds
from soak.run import run_seed
from soak.stalls import TICK_S, StallWatch

LENGTH_S = 4.0
SEEDS = [
    1,
    # A stopping node dropped a request that it had accepted shortly before it ended.
    4,
    # Answers that clients read late were cut by a stop, in the node's own buffers.
    8,
    # Answers to requests that came after SIGTERM are cut when the grace period ends.
    52,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_throughout_a_run(seed: int, tmp_path: Path) -> None:
    result = run_seed(seed, LENGTH_S, tmp_path)
    assert result.violations == []
    assert result.answered_count > 0


KINDS = [
    Steady(),
    ReadLate(0, 0.2),
    Pipeline(3),
    SafePipeline((0.2, 0.1)),
    SplitBody(0.1),
    HalfClose(),
    ReuseIdle(0.0),
]
HEAD = b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n"


@pytest.mark.parametrize("kind", KINDS, ids=str)
@pytest.mark.parametrize("answer", [b"", HEAD, HEAD + b"y" * 8, HEAD + b"y" * 9])
def test_an_answer_with_fewer_bytes_than_announced_is_none(
    kind: ClientKind, answer: bytes
) -> None:
    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def scenario() -> list[RequestRecord]:
        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        vm = FakeVm(client_address=f"{HOST}:{port}")
        client = Client("c", vm, random.Random(0))
        await client.send("POST", "/write/", kind)
        server.close()
        return client.records

    first, *others = asyncio.run(scenario())
    assert (first.answer is not None) is (answer == HEAD + b"y" * 9)
    assert first.was_closed is (first.answer is None)
    assert all(record.was_closed for record in others)


def test_same_seed_draws_the_same_faults() -> None:
    assert draw_schedule(7, 6, 20.0) == draw_schedule(7, 6, 20.0)
    assert draw_schedule(7, 6, 20.0) != draw_schedule(8, 6, 20.0)


@dataclass(slots=True)
class FakeVm:
    """Attributes of a VM that the oracle reads."""

    number: int = 0
    client_address: str = ""
    starts: int = 1
    stopped_at: dict[int, float] = field(default_factory=dict)
    backends: list = field(default_factory=list)
    drain_acknowledged_at: dict[str, float] = field(default_factory=dict)
    suspensions: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True)
class FakeBackend:
    """Attributes of a backend server that the oracle reads."""

    instance: str
    crashed_at: float = math.inf


@dataclass(slots=True)
class FakeCluster:
    """Attributes of a cluster that the oracle reads."""

    vms: list[FakeVm]
    injections: list[Injection] = field(default_factory=list)
    stall_watch: StallWatch = field(default_factory=StallWatch)


def build_observations() -> Observations:
    vms = [FakeVm(n, backends=[FakeBackend(f"shop-{n}-0")]) for n in range(4)]
    return Observations([], {}, FakeCluster(vms))


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


def add_answer_of_later_request(observations: Observations) -> None:
    record_request(
        observations,
        "a",
        answer=make_answer(504, cassiahatch_request_id="b"),
        pipelined_ids=("a", "b"),
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


def add_answer_without_configuration(observations: Observations) -> None:
    body = b'{"error":"no_configuration"}'
    record_request(observations, "a", path="/v9/", answer=make_answer(503, body))
    record_request(observations, "b", path="/v9/", answer=make_answer(404), sent_at=2.0)


def add_retries_beyond_budget(observations: Observations) -> None:
    for number in range(RETRY_SLACK + 20):
        for at in (1.0, 1.1):
            record_arrival(observations, f"a{number}", "shop-0-0", ran=False, at=at)


def add_attempts_beyond_limit(observations: Observations) -> None:
    for number in range(MAX_ATTEMPTS + 1):
        record_arrival(observations, "a", f"shop-{number}-0")


def make_loss(
    fault: Fault | None = None,
    count: int = 1,
    run_s: float | None = 0.1,
    stopped_at: float = math.inf,
    crashed_at: float = math.inf,
    stall: tuple[float, float] | None = None,
    suspensions: dict[int, tuple[float, float]] | None = None,
    **fields: object,
) -> Callable[[Observations], None]:
    """Return a function that adds requests whose connection was closed.

    Parameters
    ----------
    run_s : float or None
        Length of the backend server's work; None for requests that it did not get.
    stall : tuple of float or None
        Two ticks of the soak's event loop between which it did not run.
    suspensions : dict or None
        Time in which a node's process did not run, by VM.
    """
    closed = {"was_closed": True, "last_sent_at": 1.0, "ended_at": 1.5}

    def add(observations: Observations) -> None:
        vm = observations.cluster.vms[0]
        vm.stopped_at[1] = stopped_at
        vm.backends[0].crashed_at = crashed_at
        if fault is not None:
            observations.cluster.injections.append(Injection(fault, 0.5, 1.2))
        for number, suspension in (suspensions or {}).items():
            observations.cluster.vms[number].suspensions.append(suspension)
        if stall is not None:
            observations.cluster.stall_watch.gaps.append(stall)
        for number in range(count):
            record_request(observations, f"a{number}", **(closed | fields))
            if run_s is not None:
                record_arrival(observations, f"a{number}", "shop-0-0")
                observations.arrivals[f"a{number}"][-1].ended_at = 1.0 + run_s

    return add


def make_own_answer(status: int = 504, **fields) -> Callable[[Observations], None]:
    """Return a function that adds a request that its node answered by itself."""
    return make_loss(was_closed=False, answer=make_answer(status), **fields)


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
    (add_answer_of_later_request, "order"),
    (add_answer_without_stamp, "mixed"),
    (add_stray_bytes, "mixed"),
    (add_older_configuration, "config"),
    (add_answer_without_configuration, ""),
    (add_retries_beyond_budget, "budget"),
    (add_attempts_beyond_limit, "budget"),
    (add_run_after_drain, "drain"),
]


MANY = MAX_UNPLANNED_LOSSES + 1
KEPT = {"is_on_kept_connection": True}
LATE = {"stopped_at": 0.5, "run_s": LATE_GRACE_S, "deadline_s": 9.0, "ended_at": 6.4}
PAUSE_ELSEWHERE = PauseNode(3, 0.7)
"""A fault that excuses single losses, and does not touch the VM of the requests."""
LOSSES = [
    # At any time, few kept connections are closed on which a request was passed on.
    (make_loss(PAUSE_ELSEWHERE, MANY, **KEPT), "lost"),
    (make_loss(PAUSE_ELSEWHERE, MANY - 1, **KEPT), ""),
    (make_loss(PAUSE_ELSEWHERE, MANY), ""),
    (make_loss(PauseNode(0, 0.7), MANY, **KEPT), ""),
    # A fault of the store alone excuses nothing.
    (make_loss(HarmStore("down", 0.7)), "lost"),
    (make_loss(HarmPath(0, "store", "reset", 0.7)), ""),
    # Planned operations lose no request that was passed on or read.
    (make_loss(StopNode(0), stopped_at=0.5), "lost"),
    (make_loss(Configure(1)), "lost"),
    (make_loss(run_s=None), "lost"),
    (make_loss(ended_at=1.0 + 2.0), ""),
    (make_loss(run_s=0.3, crashed_at=1.2), ""),
    (make_loss(run_s=0.1, crashed_at=1.2), "lost"),
    (make_loss(**LATE), ""),
    (make_loss(**LATE | {"run_s": LATE_GRACE_S - 1.0}), "lost"),
    (make_loss(**LATE | {"sent_at": 4.0}), "lost"),
    (make_loss(has_left=True), ""),
    # A process that the machine did not run is disturbed, for that time.
    (make_loss(suspensions={0: (0.5, 1.2)}), ""),
    (make_loss(suspensions={0: (0.2, 0.9)}), "lost"),
    (make_loss(suspensions={0: (1.6, 2.5)}), "lost"),
    (make_loss(suspensions={1: (0.5, 1.2)}), "lost"),
    (make_own_answer(stopped_at=0.5, run_s=1.0, suspensions={0: (0.5, 1.2)}), ""),
    # A close that a request crosses loses nothing if the request was not passed on.
    (make_loss(run_s=None, ended_at=1.0 + LOSS_SLACK_S), ""),
    (make_loss(ended_at=1.0 + LOSS_SLACK_S), "lost"),
    # A close during a stall of the soak is observed only after it.
    (make_loss(run_s=None, stall=(1.15, 1.5)), ""),
    (make_loss(run_s=None, stall=(1.0, 1.2)), "lost"),
    (make_loss(run_s=None, stall=(0.5, 1.0)), "lost"),
    (make_loss(run_s=None, stall=(1.5, 2.0)), "lost"),
    (make_loss(stall=(1.15, 1.5)), "lost"),
    # A stopping node gives no answer in place of one that is still worked on.
    (make_own_answer(stopped_at=0.5, run_s=1.0), "lost"),
    (make_own_answer(502, stopped_at=0.5, run_s=1.0), "lost"),
    (make_own_answer(stopped_at=0.5, run_s=0.3), ""),
    (make_own_answer(run_s=1.0), ""),
    (make_own_answer(stopped_at=0.5, run_s=3.0, ended_at=1.0 + 2.0), ""),
]


def test_stalls_of_the_event_loop_are_measured() -> None:
    async def scenario() -> float:
        watch = StallWatch()
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.1)
        since = asyncio.get_running_loop().time()
        time.sleep(0.3)  # noqa: ASYNC251
        await asyncio.sleep(0.1)
        task.cancel()
        return watch.measure(since, asyncio.get_running_loop().time())

    assert asyncio.run(scenario()) >= 0.3 - 2 * TICK_S


@pytest.mark.parametrize(("add", "expected"), CASES + LOSSES)
def test_oracle_detects_each_violation(
    add: Callable[[Observations], None], expected: str
) -> None:
    observations = build_observations()
    add(observations)
    violations = check_safety(observations) + check_time_bounds(observations)
    assert {line.split(":")[0] for line in violations} == ({expected} - {""})
