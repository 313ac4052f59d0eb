"""Policies of the request path, tested without a network."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahatch_kernel.exchanges import (
    OPEN_CUTOFF,
    AttemptKind,
    Indeterminate,
    Load,
    Reason,
    Rejection,
    Reply,
    Request,
    Result,
)
from cassiahatch_kernel.routes import (
    Limits,
    RouteKind,
    RouteRule,
    RouteTable,
    WeightedRoundRobin,
    WeightedService,
)
from cassiahatch_node.mesh.call_graph import CallGraph
from cassiahatch_node.mesh.egress import compute_target
from cassiahatch_node.mesh.own_backend import Announcement, BackendState, OwnBackend
from cassiahatch_node.mesh.request_state import combine_results
from cassiahatch_policies.cutoff import PathCutoff, WaitCutoff
from cassiahatch_policies.placement import Endpoint, ZoneWaitPlacement
from cassiahatch_policies.positions import compute_position
from cassiahatch_policies.retry_budget import RetryBudget
from cassiahatch_policies.slot_queue import Job, SlotQueue
from fakes import FakeClock

WEIGHTS = [(90, 10), (1, 1, 1), (70, 20, 10), (5,), (999, 1)]


@pytest.mark.parametrize("weights", WEIGHTS)
@pytest.mark.parametrize("seed", range(3))
def test_weighted_services_get_their_share_of_a_short_run(
    weights: tuple[int, ...], seed: int
) -> None:
    services = tuple(WeightedService(f"s{n}", float(w)) for n, w in enumerate(weights))
    round_robin = WeightedRoundRobin(services, random.Random(seed))
    counts = Counter(round_robin.choose() for _ in range(300))
    for service in services:
        expected = 300 * service.weight / sum(weights)
        assert abs(counts[service.service] - expected) <= len(services)


def make_rule(name: str, host: str, prefix: str) -> RouteRule:
    return RouteRule(
        name, host, prefix, (WeightedService("s"),), RouteKind.SAFE, 1.0, 1.0, 2, 0
    )


# Hypothesis seeds the examples with the source of this test, except its comments: a
# changed name in it gives other examples.
@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    prefixes=st.sets(st.text("ab", max_size=4), max_size=8),
    path=st.text("ab/", max_size=8),
)
def test_the_longest_prefix_is_found(prefixes: set[str], path: str) -> None:
    rules = tuple(
        make_rule(text, "h", f"/{text}/" if text else "/") for text in sorted(prefixes)
    )
    table = RouteTable(1, rules, Limits(), random.Random(1))
    target = f"/{path}"
    fitting = [rule for rule in rules if target.startswith(rule.prefix)]
    expected = max(fitting, key=lambda rule: len(rule.prefix), default=None)
    assert table.find("h", f"{target}?/x/") == expected
    assert table.find("other", target) is None


@pytest.mark.parametrize("age_s", [9.4, 9.9, 10.0, 10.3])
def test_first_attempts_that_have_left_the_window_allow_no_retries(
    age_s: float,
) -> None:
    budget = RetryBudget(0.2, 48.0, 10.0, True)
    budget.server_count = 1
    for number in range(110):
        budget.record_arrival(AttemptKind.FIRST, 100.0 if number < 100 else 100 + age_s)
    kind, admitted = AttemptKind.DOWNSTREAM_OF_RETRY, 0
    while budget.admits(kind, 0.0, 0.0, 100 + age_s):
        budget.record_arrival(kind, 100 + age_s)
        admitted += 1
    assert admitted <= 48 + 0.2 * (110 if age_s < 10.0 else 10)


OVERLOADS = [
    # cutoff reported for the route, None without a report; position of the request;
    # seconds since the report; whether the path is overloaded
    (None, 2.5, 0.0, False),
    (OPEN_CUTOFF, 2.5, 0.0, False),
    (2.4, 2.5, 0.0, True),
    (2.4, 2.1, 0.0, True),
    (2.4, 0.3, 0.0, False),
    (2.4, 2.5, 3.0, False),
]


@pytest.mark.parametrize(("cutoff", "position", "age_s", "expected"), OVERLOADS)
def test_failure_on_an_overloaded_path_is_not_retried(
    cutoff: float | None, position: float, age_s: float, expected: bool
) -> None:
    clock = FakeClock()
    graph = CallGraph(clock, lambda: OPEN_CUTOFF, lambda: 0.0)
    if cutoff is not None:
        graph.record_path_report("read", cutoff, 0.0)
    clock.now += age_s
    assert graph.is_overloaded("read", position, clock.now) == expected


TARGETS = [
    # timeout and target of the route; deadline of the client; target of the request
    (5.0, 1.2, 5.0, 1.2),
    (2.0, 4.0, 5.0, 2.0),
    (5.0, 1.2, 0.7, 0.7),
    (2.0, 4.0, None, 2.0),
]


@pytest.mark.parametrize(("timeout_s", "target_s", "deadline_s", "expected"), TARGETS)
def test_route_with_a_target_beyond_its_timeout_does_not_starve(
    timeout_s: float, target_s: float, deadline_s: float | None, expected: float
) -> None:
    part = WeightedService("s")
    rule = RouteRule("r", "h", "/", (part,), RouteKind.SAFE, timeout_s, target_s, 2, 0)
    request = Request("1", "1", "", "GET", "h", "/", b"", b"", 100.0, deadline_s)
    assert compute_target(request, rule) == 100.0 + expected


# Hypothesis seeds the examples with the source of this class, except its comments: a
# changed name or docstring in it gives other examples.
class BudgetMachine(RuleBasedStateMachine):
    """A chain of services, each server with a budget of its own; the fleet keeps all.

    A request that runs makes two calls to the next service; those of a repeated run
    are owed to the repeat at each service below. Servers restart at any time.
    """

    # A call made by a retried run, and every call below it, counts as an arrival that
    # the retry caused. No service may receive more of them than the fleet's budget.
    services, servers = 3, 3
    ratio, slack, window_s = 0.2, 48.0, 10.0

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.budgets = [
            [self.start(is_first=True) for _ in range(self.servers)]
            for _ in range(self.services)
        ]
        # Times of first attempts, and of arrivals caused by retries, by service.
        self.firsts: list[list[float]] = [[] for _ in range(self.services)]
        self.repeats: list[list[float]] = [[] for _ in range(self.services)]

    def start(self, is_first: bool) -> RetryBudget:
        budget = RetryBudget(self.ratio, self.slack, self.window_s, is_first)
        budget.server_count = self.servers
        budget.compute_use(self.now)
        return budget

    def arrive(
        self, depth: int, server: int, attempt_kind: AttemptKind, position: float
    ) -> None:
        budget = self.budgets[depth][server]
        # Highest retry budget use of a server of the next service.
        below = 0.0
        if depth + 1 < self.services:
            uses = [other.compute_use(self.now) for other in self.budgets[depth + 1]]
            below = max(uses)
        if attempt_kind is AttemptKind.FIRST:
            self.firsts[depth].append(self.now)
        if not budget.admits(attempt_kind, position, below, self.now):
            return
        budget.record_arrival(attempt_kind, self.now)
        if attempt_kind is not AttemptKind.FIRST:
            self.repeats[depth].append(self.now)
            attempt_kind = AttemptKind.DOWNSTREAM_OF_RETRY
        if depth + 1 < self.services:
            for number in range(2):
                next_server = (server + number) % self.servers
                self.arrive(depth + 1, next_server, attempt_kind, position)

    @rule(server=st.integers(0, 2), count=st.integers(1, 60))
    def request(self, server: int, count: int) -> None:
        for _ in range(count):
            self.arrive(0, server, AttemptKind.FIRST, 1.0)

    @rule(
        depth=st.integers(0, 2),
        server=st.integers(0, 2),
        count=st.integers(1, 80),
        position=st.floats(0, 4),
    )
    def repeat(self, depth: int, server: int, count: int, position: float) -> None:
        for _ in range(count):
            self.arrive(depth, server, AttemptKind.RETRY, position)

    @rule(depth=st.integers(0, 2), server=st.integers(0, 2))
    def restart(self, depth: int, server: int) -> None:
        self.budgets[depth][server] = self.start(is_first=False)

    @rule(seconds=st.floats(0.05, 7))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def the_window_is_kept_at_each_service(self) -> None:
        since = self.now - self.window_s
        for firsts, repeats in zip(self.firsts, self.repeats, strict=True):
            # Arrivals in the window that retries caused.
            owed = sum(at > since for at in repeats)
            # The limit counts the first attempts of the fullest of three windows.
            fullest = max(
                sum(start - self.window_s < at <= start for at in firsts)
                for start in (
                    self.now,
                    self.now - self.window_s / 2,
                    self.now - self.window_s,
                )
            )
            assert owed <= self.ratio * fullest + self.slack


TestBudget = BudgetMachine.TestCase
TestBudget.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None, derandomize=True
)


# Hypothesis seeds the examples with the source of this class, except its comments: a
# changed name or docstring in it gives other examples.
class QueueMachine(RuleBasedStateMachine):
    """The queue against a plain list."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.queue = SlotQueue(8)
        # Jobs that the queue should hold.
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.taken = 0

    # ``aim`` and ``root_aim`` are the seconds until the latency targets of the job and
    # of its root request, ``patience`` the seconds until its deadline.
    @rule(
        rank=st.integers(0, 3),
        aim=st.floats(0.01, 1),
        patience=st.floats(0.05, 4),
        root_aim=st.floats(-1, 2),
    )
    def offer(self, rank: int, aim: float, patience: float, root_aim: float) -> None:
        now = self.now
        job = Job(None, rank, now + aim, now + patience, False, now + root_aim)
        rejection = self.queue.enqueue(job, self.now)
        if rejection is None:
            self.waiting.append(job)
        else:
            assert rejection.reason is Reason.QUEUE_FULL
            assert rejection.retry_after_s > 0
            assert len(self.running) + len(self.waiting) >= self.queue.limit

    @rule(aim=st.floats(0.06, 1))
    def offer_top(self, aim: float) -> None:
        target_at = self.now + aim
        job = Job(None, 0, target_at, self.now + 4.0, True, target_at)
        wait_s = self.queue.estimate_wait_s()
        if self.queue.enqueue(job, self.now) is None:
            self.waiting.append(job)
        else:
            assert wait_s > 0

    @rule()
    def take(self) -> None:
        job, expired = self.queue.dequeue(self.now)
        for late in expired:
            self.waiting.remove(late)
        if job is not None:
            self.waiting.remove(job)
            self.running.append(job)
            assert job.expires_at > self.now
            if self.now - job.queued_at > 0.06:
                assert job.expires_at - self.now > 0.06
            # Jobs start in order of their root target, plus 0.1 s per rank.
            turns = [w.root_target_at + 0.1 * w.rank for w in self.waiting]
            turn = job.root_target_at + 0.1 * job.rank
            assert all(turn <= other + 1e-9 for other in turns)

    @rule(index=st.integers(0, 7), answered=st.booleans())
    def finish(self, index: int, answered: bool) -> None:
        if self.running:
            job = self.running.pop(index % len(self.running))
            self.queue.finish(job, self.now, answered)

    @rule(index=st.integers(0, 7))
    def withdraw(self, index: int) -> None:
        if self.waiting:
            self.queue.withdraw(self.waiting.pop(index % len(self.waiting)))

    @rule()
    def drop(self) -> None:
        for job in self.queue.drop_expired(self.now):
            self.waiting.remove(job)

    @rule(seconds=st.floats(0.001, 0.5))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def counts_agree(self) -> None:
        assert self.queue.waiting == len(self.waiting)
        assert self.queue.running == len(self.running) <= self.queue.limit


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)


def test_a_root_request_is_queued_only_while_it_can_meet_its_target() -> None:
    queue = SlotQueue(8)
    for number in range(queue.limit):
        queue.enqueue(Job(number, 0, 5.0, 9.0), 1.0)
        job, _ = queue.dequeue(1.0)
        job.started_at = 0.9
        queue.finish(job, 1.0, True)
    accepted = 0
    while queue.enqueue(Job(None, 0, 2.2, 6.0, True), 1.0) is None:
        accepted += 1
    assert 1.0 <= (accepted - queue.limit) * 0.1 / queue.limit <= 1.2
    call = Job(None, 0, 2.2, 6.0, False)
    assert queue.enqueue(call, 1.0) is None, (
        "a call is rejected although work has been done for its request"
    )


PLACEMENT_CASES = [
    # loads by (zone, running, waiting, wait_ms), time_to_target_ms, expected index
    ([("a", 1, 0, 0), ("b", 0, 0, 0)], 300, 0),
    ([("a", 8, 20, 20), ("b", 0, 0, 0)], 300, 0),
    ([("a", 8, 80, 120), ("b", 0, 0, 0)], 300, 1),
    ([("a", 8, 80, 120), ("b", 8, 80, 110)], 300, 0),
    ([("a", 8, 80, 120), ("b", 0, 0, 0)], 4000, 0),
    ([("b", 5, 0, 0), ("c", 2, 0, 0)], 300, 1),
]


@pytest.mark.parametrize(("loads", "time_to_target_ms", "expected"), PLACEMENT_CASES)
def test_the_own_zone_is_used_unless_its_wait_exceeds_the_zone_penalty(
    loads: list[tuple[str, int, int, float]], time_to_target_ms: float, expected: int
) -> None:
    endpoints = []
    for number, (zone, running, waiting, wait_ms) in enumerate(loads):
        endpoint = Endpoint(f"n{number}", zone, 8)
        endpoint.record_load(Load(running, waiting, 8, wait_ms), 50.0)
        endpoints.append(endpoint)
    chosen = ZoneWaitPlacement("a", random.Random(1)).choose(
        endpoints, set(), time_to_target_ms, 50.1
    )
    assert chosen is endpoints[expected]


def test_leaving_tried_and_ejected_endpoints_are_not_selected() -> None:
    endpoints = [Endpoint(f"n{number}", "a", 8) for number in range(3)]
    endpoints[0].accepts = False
    placement = ZoneWaitPlacement("a", random.Random(1))
    assert placement.choose(endpoints, {"n1"}, 100, 5.0) is endpoints[2]
    assert placement.choose(endpoints, {"n1", "n2"}, 100, 5.0) is None
    endpoints[2].eject(5.0)
    assert placement.choose(endpoints, set(), 100, 5.1) is endpoints[1]
    endpoints[1].eject(5.0)
    assert placement.choose(endpoints, set(), 100, 5.1) is not None, (
        "no ejected endpoint is selected when no other one accepts requests"
    )


@pytest.mark.parametrize(
    ("failure_rates", "outliers"),
    [
        ((0.0, 0.0, 0.0), ()),
        ((0.5, 0.0, 0.0), (0,)),
        ((0.5, 0.45, 0.5), ()),
        ((0.05, 0.0, 0.0), ()),
    ],
)
def test_an_outlier_is_avoided_if_other_endpoints_fail_less_often(
    failure_rates: tuple[float, ...], outliers: tuple[int, ...]
) -> None:
    random_source = random.Random(3)
    endpoints = [Endpoint(f"n{number}", "a", 8) for number in range(len(failure_rates))]
    for endpoint, failure_rate in zip(endpoints, failure_rates, strict=True):
        for _ in range(300):
            if random_source.random() < failure_rate:
                endpoint.record_error_reply()
            else:
                endpoint.record_success()
    placement = ZoneWaitPlacement("a", random_source)
    counts = Counter()
    for _ in range(600):
        counts[placement.choose(endpoints, set(), 300, 1.0).node_id] += 1
    for number in range(len(failure_rates)):
        share = counts[f"n{number}"] / 600
        assert share < 0.06 if number in outliers else share > 0.15


def test_the_cutoff_falls_under_overload_and_recovers_within_a_second() -> None:
    cutoff = WaitCutoff()
    now = 0.0
    for _ in range(12):
        cutoff.record_arrival(2.9)
        cutoff.update(0.3, now)
        now += 0.1
    assert cutoff.value < 1.6
    ended_at = now
    while cutoff.value < 2.9:
        cutoff.update(0.0, now)
        now += 0.1
        assert now <= ended_at + 1.0 + 1e-9
    for _ in range(100):
        cutoff.update(0.3, now)
        now += 0.1
    assert cutoff.value >= 0.6, "the most urgent requests are all rejected"


def test_the_cutoff_does_not_change_while_the_queue_drains() -> None:
    cutoff = WaitCutoff()
    cutoff.record_arrival(2.9)
    cutoff.update(0.5, 0.0)
    before, wait_s = cutoff.value, 0.5
    for step in range(1, 8):
        wait_s *= 0.8
        cutoff.update(wait_s, step * 0.25)
    assert cutoff.value == before


def test_a_path_cutoff_follows_its_reports_until_they_expire() -> None:
    path = PathCutoff()
    assert path.read(0.0) == OPEN_CUTOFF
    for _ in range(20):
        path.observe(2.4, 1.0)
    assert abs(path.read(1.1) - 2.4) < 0.1
    for _ in range(20):
        path.observe(OPEN_CUTOFF, 1.2)
    assert path.read(1.2) > 4
    assert path.read(9.0) == OPEN_CUTOFF


@pytest.mark.parametrize("rank", [0, 1, 5])
def test_a_position_lies_within_its_rank_and_is_deterministic(rank: int) -> None:
    positions = [compute_position(rank, f"id-{number}") for number in range(400)]
    assert all(rank <= position < rank + 1 for position in positions)
    assert 0.45 < sum(positions) / 400 - rank < 0.55
    assert positions[7] == compute_position(rank, "id-7")


def make_announcement(
    instance: str, born: int, sequence: int, state: BackendState = BackendState.READY
) -> Announcement:
    return Announcement(instance, "s", "a:1", "z", 4, state, 0.0, sequence, born)


ANNOUNCEMENT_CASES = [
    # announcements (instance, born, sequence) in order of arrival, current instance
    ([("i1", 10, 1), ("i1", 10, 2)], "i1"),
    ([("i1", 10, 5), ("i2", 20, 1), ("i1", 10, 6)], "i2"),
    ([("i2", 20, 1), ("i1", 10, 9)], "i2"),
    ([("i1", 10, 9), ("i1", 30, 1)], "i1"),
]


@pytest.mark.parametrize(("announcements", "expected"), ANNOUNCEMENT_CASES)
def test_the_newest_process_is_the_current_instance(
    announcements: list[tuple[str, int, int]], expected: str
) -> None:
    backend = OwnBackend("books", "127.0.0.1:1", 1.5)
    for instance, born, sequence in announcements:
        backend.update(make_announcement(instance, born, sequence), 1.0)
    assert backend.instance == expected
    assert backend.find_rejection_reason(expected, 1.0) is None
    assert backend.find_rejection_reason("other", 1.0) is Reason.OTHER_INSTANCE


@pytest.mark.parametrize("by_leave", [True, False])
def test_a_process_that_left_is_not_accepted_again(by_leave: bool) -> None:
    backend = OwnBackend("books", "127.0.0.1:1", 1.5)
    backend.update(make_announcement("i1", 10, 1), 1.0)
    if by_leave:
        assert backend.start_draining("i1", 2.0)
    else:
        backend.update(make_announcement("i1", 10, 2, BackendState.DRAINING), 2.0)
    assert not backend.accepts
    assert backend.find_rejection_reason("i1", 3.4) is None
    assert backend.find_rejection_reason("i1", 3.6) is Reason.DRAINING
    backend.update(make_announcement("i1", 10, 3), 4.0)
    assert backend.find_rejection_reason("i1", 4.0) is Reason.DRAINING
    backend.update(make_announcement("i1", 50, 1), 5.0)
    assert backend.find_rejection_reason("i1", 5.0) is None


OK, FAILED = Reply(200, b"", b""), Reply(500, b"", b"")
SHED, FULL = Rejection(Reason.SHED), Rejection(Reason.QUEUE_FULL)
LOST = Indeterminate(Reason.LINK_LOST)
RESULT_CASES = [
    # result so far, outcome of another attempt, whether it may have run, expected
    (SHED, OK, False, OK),
    (LOST, OK, True, OK),
    (FAILED, OK, True, OK),
    (FAILED, SHED, True, FAILED),
    (FAILED, LOST, True, FAILED),
    (SHED, FULL, False, FULL),
    (LOST, SHED, True, Indeterminate(Reason.SHED)),
    (SHED, LOST, True, LOST),
]


@pytest.mark.parametrize(
    ("previous", "outcome", "may_have_run", "expected"), RESULT_CASES
)
def test_an_attempt_is_combined_with_the_result_so_far(
    previous: Result, outcome: Result, may_have_run: bool, expected: Result
) -> None:
    assert combine_results(previous, outcome, may_have_run) == expected


@pytest.mark.parametrize("count", [20, 40, 80])
def test_the_failure_rates_are_read_in_proportion_to_the_endpoints(count: int) -> None:
    reads = 0

    class Counted(Endpoint):
        def __getattribute__(self, name: str) -> object:
            nonlocal reads
            reads += name == "failure_rate"
            return super().__getattribute__(name)

    endpoints = [Counted(f"n{number}", "b", 4) for number in range(count)]
    for endpoint in endpoints:
        endpoint.failure_rate = 0.5
    reads = 0
    placement = ZoneWaitPlacement("a", random.Random(1))
    assert placement.choose(endpoints, set(), 100.0, 1.0) is not None
    assert reads <= 3 * count
