"""Quotas of teams on a fleet in virtual time, with the nodes' real links."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import pytest

from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_kernel.ports import Committed, Conflict, Row
from cassiahatch_kernel.teams import Team, TeamTable
from cassiahatch_node.mesh.frames import QuotaRequestFrame, encode_frame
from cassiahatch_node.mesh.link_out import PeerLink
from cassiahatch_node.mesh.quota_keepers import KEEPER_TABLE
from cassiahatch_node.mesh.quota_setup import make_team_quotas
from cassiahatch_node.mesh.settings import (
    MeshSettings,
    NodeSection,
    QuotaSection,
    StoreSection,
)
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.quota_tenure import TENURE_S, find_position
from fleet_model import STORE_DELAY_S, Access, Fleet, Node, StoreClient
from virtual_loop import VirtualLoop, run_in_virtual_time

ADDRESS = "127.0.0.1:9"
QUOTAS = QuotaSection()
CLAIM_S = 1.5
"""Time after a tenure's end in which another node has claimed the position."""


class WritableStoreClient(StoreClient):
    """The store as one machine reaches it, with conditional writes."""

    async def write_row(
        self, table: str, key: str, value: bytes, version: int
    ) -> Committed | Conflict:
        await asyncio.sleep(STORE_DELAY_S)
        await self._check_access()
        rows = {row.key: row for row in self._store.read(table, 0).rows}
        current = rows.get(key, Row(key, b"", 0))
        if current.version != version:
            return Conflict(key, current.version, current.value)
        self._store.put(table, key, value)
        return Committed(self._store.version)


class QuotaNode(Node):
    """A node that enforces quotas, and counts the bytes of its messages for that."""

    def __init__(self, fleet: QuotaFleet, node_id: str, zone: str) -> None:
        super().__init__(fleet, node_id, zone)
        self.sent_bytes = 0
        section = NodeSection(
            id=node_id,
            zone=zone,
            service="s",
            clients=ADDRESS,
            peers=ADDRESS,
            readiness=ADDRESS,
            announcements=ADDRESS,
            backend=ADDRESS,
            is_first_start=fleet.loop.time() < fleet.opened_at + 1,
        )
        settings = MeshSettings(
            node=section, store=StoreSection(address=ADDRESS), quotas=QUOTAS
        )
        self.quotas = make_team_quotas(
            settings,
            WritableStoreClient(fleet.store, node_id),
            self.directory,
            lambda: fleet.teams,
            fleet.loop,
            random.Random(f"{fleet.seed} {node_id}"),
            Metrics(),
            self._journal,
        )
        self.links.on_quota_request = self._answer

    def start(self) -> None:
        super().start()
        for run in (self.quotas.run, self.quotas.keepers.run):
            self._tasks.append(self._loop.create_task(run()))

    def _answer(self, frame: QuotaRequestFrame):
        answer = self.quotas.keepers.answer(frame)
        self.sent_bytes += len(encode_frame(answer)) + len(encode_frame(frame))
        return answer

    def _create_link(self, member) -> PeerLink:
        link = super()._create_link(member)
        link._callbacks.on_quota_grant = self.quotas.on_grant
        return link


class QuotaFleet(Fleet):
    """Nodes that enforce quotas."""

    node_type = QuotaNode

    def __init__(self, loop: VirtualLoop, size: int, teams: list[Team]) -> None:
        self.teams = TeamTable(teams)
        self.opened_at = loop.time()
        super().__init__(loop, {zone: size // 3 for zone in ("a", "b", "c")})

    def find_keeper(self, team: str) -> QuotaNode:
        """Return the node that keeps a team's quota."""
        position = find_position(team)
        return next(
            node
            for node in self.nodes.values()
            if node.quotas.keepers.find_holding(position) is not None
        )


@dataclass(slots=True)
class Traffic:
    """Requests of one team, and what came of them."""

    team: Team
    rate_per_s: float
    runs: list[float] = field(default_factory=list)
    rejections: list[tuple[float, Reason]] = field(default_factory=list)

    async def send(self, fleet: QuotaFleet, seconds: float) -> None:
        """Send requests at random times through random live nodes."""
        draws = random.Random(f"{fleet.seed} {self.team.name}")
        ends_at = fleet.loop.time() + seconds
        async with asyncio.TaskGroup() as requests:
            while fleet.loop.time() < ends_at:
                await asyncio.sleep(draws.expovariate(self.rate_per_s))
                node = draws.choice(list(fleet.nodes.values()))
                requests.create_task(self._send_one(fleet.loop, node))

    async def _send_one(self, loop: VirtualLoop, node: QuotaNode) -> None:
        paid = node.quotas.try_admit(self.team.name)
        if paid is False:
            paid = await node.quotas.wait_for_unit(self.team.name)
        if isinstance(paid, Rejection):
            self.rejections.append((loop.time(), paid.reason))
        else:
            self.runs.append(loop.time())

    def find_excess(self) -> float:
        """Return by how much the runs of the worst window pass the limit."""
        team, worst, end = self.team, float("-inf"), 0
        quota = team.rate_per_s * QUOTAS.window_s + team.burst
        limit = quota * (1 + QUOTAS.overrun) + QUOTAS.slack
        runs = sorted(self.runs)
        for first, start in enumerate(runs):
            while end < len(runs) and runs[end] <= start + QUOTAS.window_s:
                end += 1
            worst = max(worst, end - first - limit)
        return worst


async def kill_keeper(fleet: QuotaFleet) -> None:
    fleet.kill(fleet.find_keeper("t0").id)


async def restart_keeper(fleet: QuotaFleet) -> None:
    keeper = fleet.find_keeper("t0")
    fleet.kill(keeper.id)
    await asyncio.sleep(0.3)
    fleet.start(keeper.id, keeper.zone)


async def restart_all(fleet: QuotaFleet) -> None:
    nodes = list(fleet.nodes.values())
    for node in nodes:
        fleet.kill(node.id)
    for node in nodes:
        fleet.start(node.id, node.zone)


async def release_keeper(fleet: QuotaFleet) -> None:
    await fleet.find_keeper("t0").quotas.keepers.release()


async def lose_store(fleet: QuotaFleet, seconds: float = 2.0) -> None:
    for node_id in fleet.nodes:
        fleet.store.access[node_id] = Access.BUSY
    await asyncio.sleep(seconds)
    fleet.store.access.clear()


async def lose_store_for_long(fleet: QuotaFleet) -> None:
    await lose_store(fleet, 2 * TENURE_S)


async def cut_keeper_from_store(fleet: QuotaFleet) -> None:
    fleet.store.access[fleet.find_keeper("t0").id] = Access.SILENT


async def do_nothing(fleet: QuotaFleet) -> None:
    """Leave the fleet in calm."""


FAULTS = [
    # fault; requests as a share of the rate; longest time after the fault in which
    # requests are rejected below the limit
    (do_nothing, 0.85, 0.0),
    (do_nothing, 6.0, 0.0),
    (kill_keeper, 0.85, TENURE_S + CLAIM_S),
    (kill_keeper, 6.0, 0.0),
    (restart_keeper, 0.85, 3.0),
    (restart_keeper, 6.0, 0.0),
    (restart_all, 0.85, 4.0),
    (restart_all, 6.0, 0.0),
    (release_keeper, 0.85, 1.0),
    (lose_store, 0.85, 0.0),
    (lose_store_for_long, 6.0, 0.0),
    (cut_keeper_from_store, 0.85, TENURE_S + CLAIM_S),
]
SECONDS = 30.0
FAULT_AT_S = 8.0


@pytest.mark.parametrize(("fault", "share", "outage_s"), FAULTS)
def test_limits_hold_and_teams_below_them_are_served(
    fault, share: float, outage_s: float
) -> None:
    teams = [Team(f"t{n}", (), None, 20.0, 20.0) for n in range(4)]

    async def scenario(loop: VirtualLoop) -> None:
        async with QuotaFleet(loop, 9, teams) as fleet:
            traffic = [Traffic(team, 20.0 * share) for team in teams]
            async with asyncio.TaskGroup() as group:
                for part in traffic:
                    group.create_task(part.send(fleet, SECONDS))
                await asyncio.sleep(FAULT_AT_S)
                failed_at = loop.time()
                await fault(fleet)
            for part in traffic:
                assert part.find_excess() <= 0
                check_service(part, share, failed_at, outage_s)

    run_in_virtual_time(scenario)


def check_service(
    part: Traffic, share: float, failed_at: float, outage_s: float
) -> None:
    """Check the rejections below the limit, and their kinds above it."""
    if share > 1:
        reasons = Counter(reason for _, reason in part.rejections)
        assert reasons.keys() <= {Reason.QUOTA_EXCEEDED, Reason.QUOTA_UNKNOWN}
        assert reasons[Reason.QUOTA_EXCEEDED] > 0
        return
    for at, reason in part.rejections:
        assert failed_at <= at <= failed_at + outage_s + 1
        assert reason is Reason.QUOTA_UNKNOWN


def test_fleet_writes_two_rows_a_second_and_reads_none_in_calm() -> None:
    async def scenario(loop: VirtualLoop) -> None:
        teams = [Team("t0", (), None, 1.0)]
        async with QuotaFleet(loop, 9, teams) as fleet:
            before = fleet.store.version
            await asyncio.sleep(20.0)
            writes = fleet.store.version - before
            assert 36 <= writes <= 42
            keys = {row.key for row in fleet.store.read(KEEPER_TABLE, 0).rows}
            assert len(keys) == 8

    run_in_virtual_time(scenario)
