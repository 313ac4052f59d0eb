"""The learned limit of a backend server, and the shares of fast and slow servers."""

from __future__ import annotations

import asyncio
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from cassiahatch_kernel.exchanges import Load
from cassiahatch_node.mesh.http_messages import (
    LoadStatement,
    NoLoad,
    RawResponse,
    StatedLoad,
    UnreadableLoad,
)
from cassiahatch_platform.dialect import PlatformDialect
from cassiahatch_policies.learned_limit import LearnedLimit
from cassiahatch_policies.placement import Endpoint, ZoneWaitPlacement
from cassiahatch_policies.slot_queue import Job, SlotQueue
from cassiahatch_policies.work_times import MIN_BASELINE_RUNS
from mesh_site import Site, make_headers, send
from test_mesh import ROUTES, run_scenario

SLOTS = 79
MAX_LIMIT = 75
WORK_S = 0.05
SPREAD = 0.5
SIZES = {"small": 0.75, "large": 2.0}
"""Work of each route; the mean is 1 with the usual share of large ones, 0.2."""
TAIL_SHARE, TAIL_FACTOR = 0.01, 5.0
RECOVERED_AT = 12.0
"""Slowdowns last from 10.0 to 10.6 s. From 1.4 s after that on, the limit must be as
expected for this share of the runs: the rest is left for trials."""
MIN_SHARE = 0.85
LENGTH_S = 20.0


def compute_thrashing(concurrency: int) -> float:
    """Above 48, each further run costs more than it does."""
    return max(1.0, (concurrency / 48) ** 2)


def has_event(now: float) -> bool:
    return 10.0 <= now < 10.6


SLOWDOWNS: dict[str, Callable[[int, float], float]] = {
    # factor of the work time, by concurrency and time
    "none": lambda running, now: 1.0,
    "knee above the limit": lambda running, now: 1.3 if running > 0.95 * SLOTS else 1.0,
    "saturated": lambda running, now: max(1.0, running / 48),
    "thrashing": lambda running, now: compute_thrashing(running),
    "deep knee": lambda running, now: 2.2 if running > 48 else 1.0,
    "neighbour": lambda running, now: 2.5 if has_event(now) else 1.0,
    "passing": lambda running, now: compute_thrashing(running) ** has_event(now),
}
PACES: dict[str, Callable[[float], float]] = {
    "usual": lambda now: 100.0,
    "neighbour": lambda now: 250.0 if has_event(now) else 100.0,
    "fast": lambda now: 10.0,
    "mostly slow": lambda now: 10.0 if int(now * 40) % 20 == 0 else 2000.0,
    "wild": lambda now: (10.0, 2000.0, 100.0, 0.0, 99_999.0)[int(now * 3) % 5],
    "none": lambda now: 0.0,
}


@dataclass(slots=True)
class ServerModel:
    """A server behind a queue that is offered a share of its slots, in virtual time."""

    slowdown: str
    pace: str = "usual"
    offered: float = 1.1
    """Offered load, as a share of the largest limit at the usual work time."""
    burst_share: float = 0.2
    """Share of the large requests between 10 and 14 s."""
    initial_share: float = 0.2
    """Share of the load that is offered at first; all of it is after 2 s."""
    limits: list[tuple[float, int]] = field(default_factory=list)
    """Times and limits, one for each run that ended."""
    learned: LearnedLimit = field(default_factory=LearnedLimit)

    def simulate(self, seed: int) -> None:
        source = random.Random(seed)
        queue = SlotQueue(SLOTS, self.learned)
        running: list[tuple[float, int, Job]] = []
        now, arrives_at, number = 0.0, 0.0, 0
        while now < LENGTH_S:
            if running and running[0][0] <= arrives_at:
                now, _, job = heapq.heappop(running)
                queue.finish(job, now, True)
                queue.observe(job, PACES[self.pace](now), now, job.payload)
                self.limits.append((now, queue.limit))
            else:
                now = arrives_at
                load = self.offered * min(1.0, self.initial_share + now / 2)
                arrives_at += source.expovariate(load * MAX_LIMIT / WORK_S)
                large_share = self.burst_share if 10.0 <= now < 14.0 else 0.2
                route = "large" if source.random() < large_share else "small"
                queue.enqueue(Job(route, 0, now + 0.3, now + 0.7), now)
            while (job := queue.dequeue(now)[0]) is not None:
                number += 1
                work_s = WORK_S * source.lognormvariate(-(SPREAD**2) / 2, SPREAD)
                if source.random() < TAIL_SHARE:
                    work_s *= TAIL_FACTOR
                work_s *= SLOWDOWNS[self.slowdown](job.concurrency, now)
                work_s *= SIZES[job.payload]
                heapq.heappush(running, (now + work_s, number, job))


CASES = [
    # arguments of the model, limits expected at last, least limit
    pytest.param({"slowdown": "none"}, (75, 75), 75, id="full"),
    pytest.param({"slowdown": "none", "offered": 0.6}, (75, 75), 75, id="calm"),
    pytest.param({"slowdown": "none", "pace": "wild"}, (30, 75), 30, id="lies"),
    pytest.param(
        {"slowdown": "none", "offered": 0.95, "burst_share": 0.4},
        (75, 75),
        75,
        id="burst-of-large-work",
    ),
    pytest.param({"slowdown": "knee above the limit"}, (75, 75), 75, id="knee-above"),
    pytest.param({"slowdown": "thrashing"}, (40, 56), 30, id="knee"),
    pytest.param({"slowdown": "deep knee"}, (40, 56), 30, id="deep-knee"),
    pytest.param(
        {"slowdown": "thrashing", "initial_share": 1.0},
        (40, 56),
        30,
        id="never-below-the-knee",
    ),
    pytest.param(
        {"slowdown": "thrashing", "offered": 0.4}, (75, 75), 75, id="knee-not-reached"
    ),
    pytest.param(
        {"slowdown": "neighbour", "pace": "neighbour"}, (75, 75), 75, id="stated"
    ),
    pytest.param({"slowdown": "neighbour"}, (75, 75), 45, id="unstated"),
    pytest.param({"slowdown": "passing"}, (75, 75), 45, id="passing-knee"),
]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("arguments", "expected", "least"), CASES)
def test_the_limit_follows_the_knee_and_nothing_else(
    arguments: dict[str, object], expected: tuple[int, int], least: int, seed: int
) -> None:
    """Guards against a limit that swings, misses a knee, or stays low after an event."""
    model = ServerModel(**arguments)
    model.simulate(seed)
    limits = [limit for at, limit in model.limits if at >= RECOVERED_AT]
    low, high = expected
    share = sum(low <= limit <= high for limit in limits) / len(limits)
    assert share >= MIN_SHARE
    assert min(limit for _, limit in model.limits) >= least


@pytest.mark.parametrize("pace", ["fast", "mostly slow", "wild"])
def test_no_statement_makes_a_server_look_faster(pace: str) -> None:
    """Guards against a server that draws load from others by what it states."""
    model = ServerModel("none", pace, 0.8)
    model.simulate(1)
    assert model.learned.work_s >= 0.75 * WORK_S


def test_a_limit_between_work_that_gives_the_same_costs_no_throughput() -> None:
    """Guards against a search that goes on where no limit is better than another."""
    learning, fixed = ServerModel("saturated"), ServerModel("saturated", "none")
    learning.simulate(1)
    fixed.simulate(1)
    assert len(learning.limits) >= 0.97 * len(fixed.limits)
    assert {limit for _, limit in fixed.limits} == {MAX_LIMIT}


LOADS: list[tuple[list[bytes], LoadStatement]] = [
    ([b"3,1,79"], StatedLoad(3, 1, 79, None)),
    ([b" 3,1,79,100 "], StatedLoad(3, 1, 79, 100.0)),
    ([b"0,0,4,87.5"], StatedLoad(0, 0, 4, 87.5)),
    ([], NoLoad()),
    ([b"3,1,79,100", b"3,1,79"], UnreadableLoad()),
    ([b""], UnreadableLoad()),
    ([b"3,1"], UnreadableLoad()),
    ([b"3,1,79,100,5"], UnreadableLoad()),
    ([b"3,1,79,-100"], UnreadableLoad()),
    ([b"-1,0,4"], UnreadableLoad()),
    ([b"3,1,79,nan"], UnreadableLoad()),
    ([b"3,1,79,1e3"], UnreadableLoad()),
    ([b"3,1,79," + b"9" * 400], UnreadableLoad()),
    ([b"many"], UnreadableLoad()),
]


@pytest.mark.parametrize(("values", "expected"), LOADS)
def test_a_stated_load_is_read_by_clear_rules(
    values: list[bytes], expected: LoadStatement
) -> None:
    """Guards against odd statements that raise, or count for something."""
    headers = [(b"Cassiahatch-Server-Load", value) for value in values]
    metadata = PlatformDialect().decode_response(RawResponse(200, headers, b"", True))
    assert metadata.stated_load == expected
    assert metadata.head == b""


SHARES = [
    # work times in ms by server (0: none is reported), requests in progress, bounds of
    # the number that each gets
    ([60.0, 160.0], 40, [(25, 35), (5, 15)]),
    ([60.0, 100.0, 160.0], 200, [(70, 75), (60, 75), (45, 65)]),
    ([100.0, 100.0], 40, [(20, 20), (20, 20)]),
    ([60.0, 0.0], 40, [(20, 20), (20, 20)]),
    ([0.0, 0.0], 40, [(20, 20), (20, 20)]),
]


@pytest.mark.parametrize(("work_ms", "requests", "bounds"), SHARES)
def test_a_fast_server_gets_more_requests_and_none_stays_idle(
    work_ms: list[float], requests: int, bounds: list[tuple[int, int]]
) -> None:
    """Guards against equal shares of unequal servers, and against starving one."""
    endpoints = [Endpoint(f"n{number}", "a", SLOTS) for number in range(len(work_ms))]
    for endpoint, value in zip(endpoints, work_ms, strict=True):
        endpoint.record_load(Load(limit=MAX_LIMIT, work_ms=value), 5.0)
    placement = ZoneWaitPlacement("a", random.Random(1))
    for _ in range(requests):
        endpoint = placement.choose(endpoints, set(), 300.0, 5.1)
        endpoint.sent_since_report += 1
    for endpoint, (low, high) in zip(endpoints, bounds, strict=True):
        assert low <= endpoint.sent_since_report <= high


def test_requests_wait_where_slots_are_free_soonest() -> None:
    """Guards against a queue at a slow server while a fast one ends runs sooner."""
    endpoints = [Endpoint(f"n{number}", "a", SLOTS) for number in range(2)]
    for endpoint, work_ms in zip(endpoints, (60.0, 160.0), strict=True):
        load = Load(MAX_LIMIT - 1, limit=MAX_LIMIT, work_ms=work_ms)
        endpoint.record_load(load, 5.0)
    placement = ZoneWaitPlacement("a", random.Random(1))
    chosen = Counter()
    for _ in range(110):
        endpoint = placement.choose(endpoints, set(), 300.0, 5.1)
        endpoint.sent_since_report += 1
        chosen[endpoint.node_id] += 1
    assert 2.0 <= chosen["n0"] / chosen["n1"] <= 4.0


STATEMENTS = [
    # pace that answers state, cold seconds, whether the runs make calls, whether the
    # reports then carry a work time
    ("", 0, False, False),
    (",100", 0, False, True),
    (",0", 0, False, False),
    (",100", 60, False, False),
    (",100", 0, True, False),
]


@pytest.mark.parametrize(("pace", "cold_s", "has_calls", "expected"), STATEMENTS)
def test_only_own_work_at_a_stated_pace_is_measured(
    pace: str, cold_s: int, has_calls: bool, expected: bool
) -> None:
    """Guards against learning from cold starts and from waits for other services."""

    async def scenario(site: Site) -> None:
        site.configure(ROUTES | {"shop": {"prefix": "/shop/", "service": "shop"}})
        shop, books = await site.add_host("shop"), await site.add_host("books")
        await site.wait_for_convergence()
        books.backend.stated_pace = pace
        await books.announce(cold_remaining_s=cold_s)
        if has_calls:
            books.backend.downstream_targets["/read/"] = ["/shop/1"]
        requests = [
            send(shop.client_address, "GET", "/read/1", make_headers(f"q{number}"))
            for number in range(MIN_BASELINE_RUNS + 10)
        ]
        statuses = [message.status for message in await asyncio.gather(*requests)]
        assert statuses.count(200) >= MIN_BASELINE_RUNS
        await asyncio.sleep(0.15)
        endpoint = shop.sidecar.directory.list_endpoints("books")[0]
        assert (endpoint.load.work_ms > 0.0) is expected
        assert endpoint.load.limit == 3
        shows = "cassiahatch_server_limit 3" in books.sidecar.metrics.render()
        assert shows is expected

    run_scenario(scenario)
