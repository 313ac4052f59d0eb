from __future__ import annotations

import pytest
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiahatch_kernel.priorities import (
    Importance,
    compute_priority,
    passes_level,
)
from cassiahatch_policies.admission import (
    Completion,
    OpenAdmission,
    PriorityAdmission,
    TicketState,
)
from fuzzing import run_machine

SLOTS = 3


# Hypothesis seeds the examples with the source of this class, except its comments: a
# changed name or docstring in it gives other examples.
class AdmissionMachine(RuleBasedStateMachine):
    """Calls of all priorities ask for slots, end, and are given up."""

    kind = PriorityAdmission

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.admission = self.kind(SLOTS, self.now)
        self.running: list = []
        self.queued: list = []

    @rule(
        priority=strategies.integers(0, 9),
        patience=strategies.sampled_from([0.05, 1.0, 5.0]),
        count=strategies.integers(1, 8),
    )
    def arrive(self, priority, patience, count):
        for _call in range(count):
            before = list(self.queued)
            ticket = self.admission.request(priority, self.now + patience, self.now)
            self.queued.append(ticket)
            self.sort_out(before)

    @rule(completion=strategies.sampled_from(list(Completion)))
    def end_one(self, completion):
        if self.running:
            before = list(self.queued)
            self.admission.finish(self.running.pop(0), completion, self.now)
            self.sort_out(before)

    @rule(seconds=strategies.sampled_from([0.05, 0.1, 0.5]))
    def pass_time(self, seconds):
        before = list(self.queued)
        self.now += seconds
        self.admission.tick(self.now)
        self.sort_out(before)

    @rule()
    def give_up(self):
        if self.queued:
            self.admission.cancel(self.queued.pop())

    # Takes admitted and rejected calls off the list of queued ones, and checks that no
    # call of lower priority is kept when a call is rejected.
    def sort_out(self, before):
        refused = [t for t in self.queued if t.state is TicketState.REFUSED]
        admitted = [t for t in self.queued if t.state is TicketState.ADMITTED]
        self.running += admitted
        self.queued = [t for t in self.queued if t.state is TicketState.QUEUED]
        for ticket in refused:
            lower = [t for t in self.queued + admitted if t.priority < ticket.priority]
            assert not lower, "a lower call was kept when a higher one was refused"

    @invariant()
    def slots_are_kept(self):
        assert len(self.running) == self.admission.in_flight
        assert self.admission.in_flight <= SLOTS


# A baseline without admission control, in which an assertion is to fail. The source of
# this class seeds its examples too.
class OpenMachine(AdmissionMachine):
    """The same without control."""

    kind = OpenAdmission


def test_no_call_is_rejected_while_one_of_lower_priority_is_kept():
    run_machine(AdmissionMachine, examples=300, steps=50)


def test_the_state_machine_detects_missing_admission_control():
    with pytest.raises(AssertionError):
        run_machine(OpenMachine, examples=50, steps=50)


@pytest.mark.parametrize(
    ("higher", "lower"),
    [
        ((Importance.CRITICAL, 0, 0), (Importance.IMPORTANT, 15, 7)),
        ((Importance.NORMAL, 3, 0), (Importance.NORMAL, 2, 7)),
        ((Importance.NORMAL, 3, 2), (Importance.NORMAL, 3, 1)),
    ],
    ids=["importance before plan", "plan before depth", "depth before hash"],
)
def test_priorities_order_by_importance_plan_depth_and_hash(higher, lower):
    for number in range(50):
        first = compute_priority(*higher, f"a{number}")
        second = compute_priority(*lower, f"b{number}")
        assert first > second


@pytest.mark.parametrize("depth", range(8))
def test_calls_of_the_same_requests_are_rejected_at_every_depth(depth):
    level = compute_priority(Importance.NORMAL, 2, depth, "cut")
    for number in range(100):
        priority = compute_priority(Importance.NORMAL, 2, depth, f"r{number}")
        root_priority = compute_priority(Importance.NORMAL, 2, 0, f"r{number}")
        assert passes_level(root_priority, level) == (priority >= level)


def test_no_call_is_rejected_without_overload():
    admission = PriorityAdmission(4, 0.0)
    for number in range(1000):
        now = number * 0.05
        ticket = admission.request(0, now + 2.0, now)
        assert ticket.state is TicketState.ADMITTED
        admission.finish(ticket, Completion.SUCCEEDED, now + 0.01)
        admission.tick(now + 0.02)
    assert admission.level == 0


def test_the_admission_level_returns_to_zero_after_overload():
    admission = PriorityAdmission(1, 0.0)
    tickets = [admission.request(60_000, 9.0, 0.0) for _ in range(40)]
    admission.tick(0.11)
    assert admission.level > 0
    for ticket in tickets:
        admission.cancel(ticket)
        admission.finish(ticket, Completion.SUCCEEDED, 0.2)
    for step in range(1, 20):
        admission.tick(0.2 + step * 0.1)
    assert admission.level == 0
