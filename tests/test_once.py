from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.keys import mint_key
from cassiahatch_kernel.members import Member, Route
from cassiahatch_kernel.outcomes import Answer, Outcome, Refusal, Unknown
from cassiahatch_kernel.priorities import Importance
from cassiahatch_node import once as once_module
from cassiahatch_node.control import tenures as tenure_module
from cassiahatch_node.control.client import ControlError
from cassiahatch_node.control.tenures import HandoverRejectedError, TenureManager
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.once import OnceGuard
from cassiahatch_node.settings import (
    NodeSettings,
    OnceSettings,
    PeerSettings,
    PlatformSettings,
    QuotaSettings,
    Settings,
)
from cassiahatch_policies.membership import Roster
from cassiahatch_policies.once import Fail, Ledger, Replay, Run, TenureBook, Wait
from cassiahatch_policies.once.tenure import Tenure, TenurePolicy, plan_claim
from fakes import FakeClock, FakeTable, SkewedClock
from fuzzing import run_machine

POLICY = TenurePolicy(length_ms=60_000, renew_before_ms=30_000, skew_ms=2_000)
NOW = 1_000_000_000


@pytest.mark.parametrize(
    ("row", "start_ms", "epoch"),
    [
        (None, NOW, 1),
        (Tenure("p", "b", 1, 4, 0, NOW + 1), None, 0),
        (Tenure("p", "b", 1, 4, 0, NOW - 1_000), None, 0),
        (Tenure("p", "b", 1, 4, 0, NOW - 3_000), NOW - 3_000, 5),
        (Tenure("p", "a", 6, 4, 0, NOW + 50_000), NOW + 2_000, 5),
        (Tenure("p", "a", 7, 4, 0, NOW + 50_000, "t"), NOW + 2_000, 5),
        (Tenure("p", "a", 8, 4, 0, NOW + 50_000), None, 0),
    ],
    ids=[
        "free",
        "held",
        "within skew",
        "ended",
        "restarted",
        "records missing",
        "clock set back",
    ],
)
def test_claims_never_overlap_an_earlier_tenure(row, start_ms, epoch):
    claimed = plan_claim(row, "p", "a", 7, NOW, POLICY)
    if start_ms is None:
        assert claimed is None
    else:
        assert (claimed.start_ms, claimed.epoch) == (start_ms, epoch)


@pytest.mark.parametrize(
    ("outcome", "fingerprint", "decision_type"),
    [
        (Answer(200, body=b"ok"), "same", Replay),
        (Unknown("backend_lost", ""), "same", Fail),
        (Refusal("overloaded", ""), "same", Run),
        (None, "same", Wait),
        (Answer(200, body=b"ok"), "other", Fail),
    ],
)
def test_a_key_seen_before_is_decided_by_its_record(
    outcome, fingerprint, decision_type
):
    ledger = Ledger(600_000, 2_000, 1_000)
    assert isinstance(ledger.begin("p", "k", NOW, "same", NOW), Run)
    if outcome is not None:
        ledger.finish("k", outcome)
    assert isinstance(ledger.begin("p", "k", NOW, fingerprint, NOW), decision_type)


@pytest.mark.parametrize(
    ("mint_ms", "outcome"),
    [
        (NOW + 2_001, Refusal),
        (NOW - 600_001, Unknown),
        (NOW + 2_000, None),
        (NOW - 600_000, None),
    ],
)
def test_keys_outside_their_lifetime_are_not_run(mint_ms, outcome):
    decision = Ledger(600_000, 2_000, 1_000).begin("p", "k", mint_ms, "f", NOW)
    if outcome is None:
        assert isinstance(decision, Run)
    else:
        assert isinstance(decision.outcome, outcome)


def test_a_full_ledger_rejects_new_keys_until_its_records_expire():
    ledger = Ledger(1_000, 0, 2)
    ledger.begin("p", "a", NOW, "f", NOW)
    ledger.finish("a", Answer(200, body=b"xx"))
    assert isinstance(ledger.begin("p", "b", NOW, "f", NOW), Fail)
    ledger.drop_expired(NOW + 2_000)
    assert isinstance(ledger.begin("p", "b", NOW + 2_000, "f", NOW + 2_000), Run)


def test_keys_without_answers_count_towards_the_capacity():
    ledger = Ledger(1_000, 0, 2_000)
    decisions = [ledger.begin("p", str(n), NOW, "f", NOW) for n in range(50)]
    assert 0 < sum(isinstance(d, Run) for d in decisions) <= 5


def test_an_expired_key_is_not_run_after_the_clock_is_set_back():
    ledger = Ledger(1_000, 0, 1_000)
    ledger.begin("p", "a", NOW, "f", NOW)
    ledger.finish("a", Answer(200))
    ledger.drop_expired(NOW + 5_000)
    assert isinstance(ledger.begin("p", "a", NOW, "f", NOW + 500), Fail)


ROUTE = Route("POST", "/orders", Importance.CRITICAL, idempotent=False)
NODES = ("a", "b", "c")
SHARDS = 2


@dataclass
class World:
    """State shared by all nodes, with the pending faults."""

    clock: FakeClock = field(default_factory=FakeClock)
    table: FakeTable = field(default_factory=FakeTable)
    nodes: dict[str, FakeNode] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    told_not_run: set[str] = field(default_factory=set)
    drop_next: bool = False
    late_handovers: list[tuple[FakeNode, object]] = field(default_factory=list)


class FakeControl:
    """Delivers messages at once, or later after an error at the sender."""

    def __init__(self, world: World) -> None:
        self.world = world

    async def post(self, address, path, message, reply_type):
        target = next(
            n for n in self.world.nodes.values() if n.fleet.own.address == address
        )
        if self.world.drop_next:
            self.world.drop_next = False
            self.world.late_handovers.append((target, message))
            raise ControlError("no reply")
        try:
            target.keeper.stage(message)
        except HandoverRejectedError as error:
            raise ControlError(error.detail) from None


class FakeNode:
    """The tenures and the ledger of one node, which uses the shared table."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.clock = SkewedClock(world.clock)
        self.start()

    def start(self) -> None:
        config = Settings(
            node=NodeSettings(
                id=NODES[self.number],
                zone="z",
                host="127.0.0.1",
                caller_port=1,
                local_port=2,
                peer_port=100 + self.number,
            ),
            peers=PeerSettings(key="x" * 16),
            platform=PlatformSettings(table="http://t", objects="http://o"),
            once=OnceSettings(
                shards=SHARDS, tenure_s=60, renew_before_s=30, key_lifetime_s=300
            ),
            quota=QuotaSettings(keepers=1),
        )
        self.fleet = Fleet(config.node, self.clock, Roster())
        self.fleet.announce("s", 4, (ROUTE,))
        self.book = TenureBook()
        self.result: Outcome = Answer(200)
        self.guard = OnceGuard(
            config.once, self.clock, self.book, self._run, self._forward_call
        )
        self.keeper = TenureManager(
            config,
            self.fleet,
            self.book,
            self.guard,
            self.world.table,
            FakeControl(self.world),
            self.clock,
            random.Random(self.number),
        )

    async def serve(self, key: str) -> Outcome:
        call = Call("s", "POST", "/orders", idempotent=False, key=key)
        deadline = self.clock.monotonic()
        context = CallContext("r", "c", Importance.CRITICAL, 0, deadline + 5, 0)
        return await self.guard.serve(call, context)

    async def _run(self, call: Call, context: CallContext) -> Outcome:
        if not isinstance(self.result, Refusal):
            self.world.runs[call.key] += 1
        return self.result

    async def _forward_call(
        self, node_id: str, call: Call, context: CallContext
    ) -> Outcome:
        return Refusal("not_holder", "", elsewhere=True)


def meet(world: World) -> None:
    """Give every node the records of all members."""
    records: list[Member] = [n.fleet.own for n in world.nodes.values()]
    for node in world.nodes.values():
        node.fleet.merge_members(records)


# Hypothesis seeds the examples with the source of this class, except its comments: a
# changed name or docstring in it gives other examples.
class OnceMachine(RuleBasedStateMachine):
    """Callers send keys to any node while nodes, clocks and the table fail."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = World()
        self.source = random.Random(5)
        self.keys: list[str] = []
        for number, name in enumerate(NODES):
            self.world.nodes[name] = FakeNode(self.world, number)
        meet(self.world)
        for _round in range(2):
            for node in self.world.nodes.values():
                self.do(node.keeper.step())
            meet(self.world)
            self.world.clock.now += 3

    def teardown(self) -> None:
        self.loop.close()

    def do(self, work):
        return self.loop.run_until_complete(work)

    @rule(
        node=strategies.sampled_from(NODES),
        fault=strategies.sampled_from(["lose_next", "delay_next", "is_out"]),
        is_handover=strategies.booleans(),
    )
    def act_while_the_table_fails(self, node, fault, is_handover):
        keeper = self.world.nodes[node].keeper
        setattr(self.world.table, fault, True)
        self.do(keeper.hand_over_all() if is_handover else keeper.step())
        setattr(self.world.table, fault, False)
        meet(self.world)

    @rule(
        seconds=strategies.sampled_from([0.5, 3, 20, 70]),
        awake=strategies.lists(strategies.sampled_from(NODES), unique=True),
    )
    def pass_time_with_some_nodes_paused(self, seconds, awake):
        self.world.clock.now += seconds
        for name in awake:
            self.do(self.world.nodes[name].keeper.step())
        meet(self.world)

    @rule(node=strategies.sampled_from(NODES), offset=strategies.sampled_from([-1, 1]))
    def set_clock_wrong_within_the_bound(self, node, offset):
        self.world.nodes[node].clock.offset = offset * 0.9

    @rule(node=strategies.sampled_from(NODES))
    def crash_and_restart(self, node):
        crashed = self.world.nodes[node]
        self.world.clock.now += 0.01
        crashed.clock.offset = 0.0
        crashed.start()
        meet(self.world)
        self.do(crashed.keeper.step())
        meet(self.world)

    @rule(node=strategies.sampled_from(NODES))
    def hand_over(self, node):
        self.do(self.world.nodes[node].keeper.hand_over_all())

    @rule()
    def drop_a_handover_message(self):
        self.world.drop_next = True

    @rule()
    def deliver_late(self):
        self.world.table.deliver_late()
        late, self.world.late_handovers = self.world.late_handovers, []
        for target, message in late:
            target.keeper.stage(
                msgspec.convert(msgspec.to_builtins(message), type(message))
            )

    @rule(
        order=strategies.permutations(NODES),
        result=strategies.sampled_from(
            [Answer(200), Unknown("backend_lost", ""), Refusal("overloaded", "")]
        ),
        is_new=strategies.booleans(),
        skew=strategies.sampled_from([-0.9, 0.0, 0.9]),
    )
    def send_through_every_node(self, order, result, is_new, skew):
        if is_new or not self.keys:
            self.keys.append(mint_key(self.world.clock.now + skew, self.source))
        key = self.source.choice(self.keys[-6:])
        for name in order:
            target = self.world.nodes[name]
            target.result = result
            outcome = self.do(target.serve(key))
            if isinstance(outcome, Refusal) and outcome.key_checked:
                assert self.world.runs[key] == 0, "told not run, but it had run"

    @invariant()
    def no_key_runs_twice(self):
        assert max(self.world.runs.values(), default=0) <= 1


def claim_as_plain_lease(row, partition, owner, incarnation, now_ms, policy):
    """Claim another node's ended tenure and accept its keys, as a plain lease does."""
    claimed = plan_claim(row, partition, owner, incarnation, now_ms, policy)
    if claimed is None or row is None or row.owner == owner:
        return claimed
    return msgspec.structs.replace(claimed, start_ms=row.start_ms)


def claim_with_earlier_keys(row, partition, owner, incarnation, now_ms, policy):
    """Claim the tenure of an earlier process, and accept keys that it may have run."""
    claimed = plan_claim(row, partition, owner, incarnation, now_ms, policy)
    if claimed is None or row is None or row.owner != owner:
        return claimed
    return msgspec.structs.replace(claimed, start_ms=row.start_ms)


def transfer_without_identity(held, owner, incarnation, transfer_id):
    """Hand over with the same transfer id in every attempt."""
    return original_plan_transfer(held, owner, incarnation, "same")


original_plan_transfer = tenure_module.plan_transfer


@pytest.fixture(autouse=True)
def no_handover_polls(monkeypatch):
    monkeypatch.setattr(once_module, "HANDOVER_POLLS", 0)
    monkeypatch.setattr(logging.getLogger("absl"), "disabled", True)


def test_no_key_runs_twice_under_any_faults():
    run_machine(OnceMachine, examples=200, steps=40)


@pytest.mark.parametrize(
    ("name", "mutant"),
    [("plan_claim", claim_as_plain_lease), ("plan_claim", claim_with_earlier_keys)],
    ids=["plain lease", "earlier keys accepted after a restart"],
)
def test_the_state_machine_detects_wrong_claims(
    monkeypatch, name: str, mutant: Callable
):
    monkeypatch.setattr(tenure_module, name, mutant)
    with pytest.raises(AssertionError):
        run_machine(OnceMachine, examples=200, steps=40)


@pytest.mark.parametrize(
    ("plan", "is_activated"),
    [(original_plan_transfer, False), (transfer_without_identity, True)],
    ids=["actual", "same transfer id"],
)
def test_records_of_an_earlier_handover_attempt_are_not_activated(
    monkeypatch, plan, is_activated
):
    """Records sent by the first attempt lack the keys that ran before the second."""
    monkeypatch.setattr(tenure_module, "plan_transfer", plan)
    machine = OnceMachine()
    world = machine.world
    old = next(n for n in world.nodes.values() if n.book.find("s/0"))
    world.drop_next = True
    machine.do(old.keeper.hand_over_all())
    [(successor, stale)] = world.late_handovers
    machine.do(old.keeper.hand_over_all())
    assert machine.do(successor.keeper._activate_staged(stale)) is is_activated
    machine.teardown()


def test_a_successor_activates_staged_records_instead_of_claiming():
    machine = OnceMachine()
    world = machine.world
    old = next(n for n in world.nodes.values() if n.book.find("s/0"))
    machine.do(old.keeper.hand_over_all())
    tenure = msgspec.json.decode(world.table.rows["tenure/s/0"].value, type=Tenure)
    [successor] = [
        n for n in world.nodes.values() if n.fleet.own.identity == tenure.owner
    ]
    world.clock.now += 60
    machine.do(successor.keeper._claim())
    machine.do(successor.keeper.step())
    assert successor.book.find("s/0").tenure.start_ms == tenure.start_ms
    machine.teardown()
