"""A change is in force in time at each node that the store serves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from cassiahatch_kernel.members import Member
from cassiahatch_kernel.ports import HistoryGoneError, Row, Scan
from cassiahatch_node.mesh.confirmations import CONFIG_MAX_AGE_S
from cassiahatch_node.mesh.member_records import encode_member
from cassiahatch_node.mesh.readers import (
    CHECK_INTERVAL_S,
    MAX_HELPER_LINKS,
    READERS_PER_ZONE,
    ReaderElection,
)
from cassiahatch_platform.store import PAGE_ROWS, PlatformStore
from fleet_model import STORE_DELAY_S, Access, Fleet
from fuzzing import run_machine
from mesh_site import Store
from virtual_loop import VirtualLoop, run_in_virtual_time

IN_FORCE_S = 2.0
"""Bound on the time from the acknowledgement of a version until it is in force."""
CONTACT_S = 3.0
"""Time without a disturbance after which the bound holds for a node."""
SMALL = {"z1": 4, "z2": 4, "z3": 4, "z4": 4}
LARGE = {"z1": 13, "z2": 13, "z3": 14, "z4": 12, "z5": 11}


def refuse_readers_of(fleet: Fleet, zone: str, access: Access) -> None:
    for node_id in fleet.list_readers(zone):
        fleet.store.access[node_id] = access


def refuse_readers(fleet: Fleet, access: Access) -> None:
    refuse_readers_of(fleet, "z1", access)


def refuse_all_but_last(fleet: Fleet, access: Access) -> None:
    for node_id in fleet.zones["z1"][:-1]:
        fleet.store.access[node_id] = access


def refuse_zone(fleet: Fleet, access: Access) -> None:
    for node_id in fleet.zones["z1"]:
        fleet.store.access[node_id] = access


def refuse_every_other(fleet: Fleet, access: Access) -> None:
    for node_ids in fleet.zones.values():
        for node_id in node_ids[::2]:
            fleet.store.access[node_id] = access


@dataclass(slots=True)
class Case:
    """Machines that die, machines that the store refuses, and for how long."""

    refuse: Callable[[Fleet, Access], None]
    access: Access
    zones: dict[str, int]
    killed: int = 0
    """Number of readers of each zone that die before."""


CASES = [
    Case(refuse, access, zones, killed)
    for refuse in (
        refuse_readers,
        refuse_all_but_last,
        refuse_zone,
        refuse_every_other,
    )
    for access in (Access.SILENT, Access.BUSY)
    for zones, killed in ((SMALL, 0), (SMALL, 2), (LARGE, 0), (LARGE, 6))
]


def describe(case: Case) -> str:
    size = sum(case.zones.values())
    access = case.access.name.lower()
    return f"{case.refuse.__name__}-{access}-{size}-nodes-{case.killed}-killed"


def list_late(fleet: Fleet, is_checked: Callable[[str], bool]) -> list[str]:
    """Return the checked nodes without the newest configuration."""
    newest = max(fleet.store.configured_at)
    return [
        node.id
        for node in fleet.nodes.values()
        if node.store_sync.config_version < newest and is_checked(node.id)
    ]


@pytest.mark.parametrize("case", CASES, ids=describe)
def test_a_version_is_not_late_at_a_node_while_the_store_refuses_others(
    case: Case,
) -> None:
    async def scenario(loop: VirtualLoop) -> None:
        async with Fleet(loop, case.zones) as fleet:
            for zone in fleet.zones:
                for node_id in sorted(fleet.zones[zone])[: case.killed]:
                    fleet.kill(node_id)
            await asyncio.sleep(4.0)
            case.refuse(fleet, case.access)
            for version, pause_s in ((2, 1.25), (3, 2.0), (4, 2.0), (5, 2.5)):
                await asyncio.sleep(pause_s)
                fleet.store.configure(version)
                await asyncio.sleep(IN_FORCE_S)
                assert not list_late(fleet, lambda node_id: True), version

    run_in_virtual_time(scenario)


def test_a_row_that_changes_between_two_pages_of_a_read_is_not_lost() -> None:
    """The store's version of the first page is the one to follow from."""

    async def run() -> None:
        store = Store()
        client = PlatformStore(store.address, 1.0)
        async with AsyncExitStack() as stack:
            await store.open(stack)
            stack.callback(client.close)
            for number in range(PAGE_ROWS + 1):
                store.put("members", f"n{number:04}", b"old")
            store.on_page = lambda: store.put("members", "n0000", b"new")
            scan = await client.read_table("members")
            changes = await client.follow_table("members", scan.revision, 0.0)
        rows = {row.key: row.value for row in (*scan.rows, *changes.rows)}
        assert len(rows) == PAGE_ROWS + 1
        assert rows["n0000"] == b"new"

    asyncio.run(run())


class ScriptedClient:
    """A store that gives its answers in turn, and the last one again and again."""

    def __init__(self, answers: list[Scan | type[HistoryGoneError]]) -> None:
        self._answers = answers
        self.request_count = 0

    async def read_table(self, table: str) -> Scan:
        return await self.follow_table(table, 0, 0.0)

    async def follow_table(self, table: str, since: int, wait_s: float) -> Scan:
        self.request_count += 1
        await asyncio.sleep(STORE_DELAY_S)
        number = min(self.request_count, len(self._answers)) - 1
        answer = self._answers[number]
        if answer is HistoryGoneError:
            raise HistoryGoneError("gone")
        return answer


def make_member_scan(version: int, *node_ids: str) -> Scan:
    rows = tuple(
        Row(node_id, encode_member(Member(node_id, "10.0.0.9", 1, "z1", 1)), version)
        for node_id in node_ids
    )
    return Scan(rows, (), version, 900.0 + version)


BOTH = make_member_scan(50, "n1", "n2")
STALE_READS = {
    "a stale full read removes no member": [
        BOTH,
        HistoryGoneError,
        make_member_scan(30, "n1"),
    ],
    "a stale answer of the feed takes nothing back": [BOTH, make_member_scan(30)],
    "history that stays gone": [BOTH, HistoryGoneError],
}


@pytest.mark.parametrize("answers", STALE_READS.values(), ids=STALE_READS)
def test_a_copy_never_goes_back_when_the_store_forgets_its_history(
    answers: list[Scan | type[HistoryGoneError]],
) -> None:
    async def scenario(loop: VirtualLoop) -> None:
        client = ScriptedClient(answers)
        async with Fleet(loop, {"z1": 1}) as fleet:
            (node,) = fleet.nodes.values()
            fleet.kill(node.id)
            sync = node.store_sync
            sync._store = client
            task = asyncio.create_task(sync.follow_members())
            await asyncio.sleep(3.0)
            task.cancel()
            assert {"n1", "n2"} <= sync._directory.members.keys()
            assert sync.members_version == 50
            assert client.request_count <= 10

    run_in_virtual_time(scenario)


class ReadersMachine(RuleBasedStateMachine):
    """Random refusals, deaths and changes in a fleet of three zones.

    The oracle: a node that has run, and has been served by the store, for
    ``CONTACT_S`` has each version ``IN_FORCE_S`` after its acknowledgement.
    """

    def __init__(self) -> None:
        super().__init__()
        self._loop = VirtualLoop()
        asyncio.set_event_loop(self._loop)
        self._fleet = Fleet(self._loop, {"z1": 4, "z2": 3, "z3": 5})
        self._run(self._fleet.__aenter__())
        self._touched_at = dict.fromkeys(self._fleet.nodes, self._loop.time())
        """Virtual time of the last disturbance of each node."""
        self._version = 1

    def teardown(self) -> None:
        self._run(self._fleet.__aexit__())
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._run(asyncio.wait(tasks) if tasks else asyncio.sleep(0))
        self._loop.close()

    @rule(data=st.data(), access=st.sampled_from([Access.SILENT, Access.BUSY]))
    def refuse(self, data: st.DataObject, access: Access) -> None:
        for node_id in data.draw(st.sets(st.sampled_from(self._list_ids()))):
            self._fleet.store.access[node_id] = access

    @rule(zone=st.sampled_from(["z1", "z2", "z3"]))
    def refuse_acting_readers(self, zone: str) -> None:
        refuse_readers_of(self._fleet, zone, Access.SILENT)

    @rule()
    def serve_all(self) -> None:
        for node_id, access in self._fleet.store.access.items():
            if access is not Access.SERVED:
                self._fleet.store.access[node_id] = Access.SERVED
                self._touched_at[node_id] = self._loop.time()

    @precondition(lambda self: len(self._fleet.nodes) > 3)
    @rule(data=st.data())
    def kill(self, data: st.DataObject) -> None:
        self._fleet.kill(data.draw(st.sampled_from(sorted(self._fleet.nodes))))

    @precondition(lambda self: len(self._fleet.nodes) < 12)
    @rule(data=st.data())
    def restart(self, data: st.DataObject) -> None:
        dead = sorted(set(self._list_ids()) - set(self._fleet.nodes))
        node_id = data.draw(st.sampled_from(dead))
        self._fleet.start(node_id, node_id.partition("-")[0])
        self._touched_at[node_id] = self._loop.time()

    @rule(pause_s=st.floats(0.0, 4.0))
    def wait(self, pause_s: float) -> None:
        self._run(asyncio.sleep(pause_s))

    @rule()
    def change(self) -> None:
        self._version += 1
        self._fleet.store.configure(self._version)
        self._run(asyncio.sleep(IN_FORCE_S))
        assert not list_late(self._fleet, self._is_in_touch)

    def _is_in_touch(self, node_id: str) -> bool:
        is_served = self._fleet.store.access[node_id] is Access.SERVED
        calm_s = self._loop.time() - self._touched_at[node_id]
        return is_served and calm_s >= CONTACT_S

    def _list_ids(self) -> list[str]:
        return [node_id for ids in self._fleet.zones.values() for node_id in ids]

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self._loop.run_until_complete(coroutine)


def test_no_node_in_touch_is_late_under_random_refusals_and_deaths() -> None:
    run_machine(ReadersMachine, examples=40, steps=25)


def test_a_node_that_is_cut_off_opens_few_links_to_ask_for_news() -> None:
    async def scenario(loop: VirtualLoop) -> None:
        async with Fleet(loop, LARGE) as fleet:
            node = fleet.nodes["z1-1"]
            fleet.store.access[node.id] = Access.SILENT
            before = set(node.directory._links)
            for node_id in fleet.nodes.keys() - {node.id}:
                fleet.kill(node_id)
            await asyncio.sleep(60.0)
            opened = node.directory._links.keys() - before
            assert 0 < len(opened) <= MAX_HELPER_LINKS

    run_in_virtual_time(scenario)


def test_readers_without_news_send_no_heartbeats(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sent: list[str] = []
    send_heartbeats = ReaderElection._send_heartbeats

    def count_and_send(readers: ReaderElection) -> None:
        sent.append(readers._own_id)
        send_heartbeats(readers)

    async def scenario(loop: VirtualLoop) -> None:
        async with Fleet(loop, LARGE) as fleet:
            for node_id in fleet.nodes:
                fleet.store.access[node_id] = Access.SILENT
            # What was known before is relayed until it is stale.
            await asyncio.sleep(CONFIG_MAX_AGE_S + CHECK_INTERVAL_S)
            sent.clear()
            await asyncio.sleep(10.0)
            assert not sent

    monkeypatch.setattr(ReaderElection, "_send_heartbeats", count_and_send)
    run_in_virtual_time(scenario)


@pytest.mark.parametrize("zones", [SMALL, LARGE], ids=["16 nodes", "63 nodes"])
def test_a_calm_fleet_polls_the_store_by_its_zones(zones: dict[str, int]) -> None:
    async def scenario(loop: VirtualLoop) -> None:
        async with Fleet(loop, zones) as fleet:
            before, calm_s = fleet.store.request_count, 20.0
            await asyncio.sleep(calm_s)
            polls_per_s = (fleet.store.request_count - before) / calm_s
            # Two readers, each with a long poll of 0.8 s, and one of 3 s with a pause.
            assert polls_per_s <= len(zones) * READERS_PER_ZONE * (1 / 0.8 + 1 / 3.4)
            for zone in zones:
                assert len(fleet.list_readers(zone)) == READERS_PER_ZONE

    run_in_virtual_time(scenario)
