"""Tasks that write this node's member row and read member rows and plan lists."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import msgspec

from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.plans import AcceptedLists, PlanListError, check_lists
from cassiahatch_kernel.ports import (
    BadStoreDataError,
    ObjectStore,
    StoreUnavailableError,
    Table,
    Write,
)
from cassiahatch_node.control.gossip import Gossip
from cassiahatch_node.control.lists import LISTS_ROW, ListsPointer, load_lists
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.observability.events import log_event, log_warning
from cassiahatch_node.settings import PlatformSettings

MEMBER_PREFIX = "member/"


class Registration:
    """Writes this node's member row when it joins and removes it when it leaves.

    Parameters
    ----------
    fleet : Fleet
        Source of this node's own record.
    table : Table
        The platform's table service.
    settings : PlatformSettings
        Poll interval.
    """

    __slots__ = ("_fleet", "_settings", "_table", "_written")

    def __init__(self, fleet: Fleet, table: Table, settings: PlatformSettings) -> None:
        self._fleet = fleet
        self._table = table
        self._settings = settings
        self._written: tuple[int, str] | None = None

    async def run(self) -> None:
        """Write the row when the backend server has become ready or has changed.

        Runs until cancelled; a failed write is retried in the next iteration.
        """
        while True:
            own = self._fleet.own
            row_state = (own.incarnation, own.service)
            if own.state is MemberState.READY and row_state != self._written:
                await self._write(own, row_state)
            await asyncio.sleep(self._settings.poll_interval_s / 4)

    async def leave(self) -> None:
        """Remove the row."""
        if self._written is None:
            return
        try:
            await self._table.transact([], [Write(self._key(self._fleet.own), None)])
        except StoreUnavailableError as error:
            log_warning("leave_not_written", error=error.detail)

    async def _write(self, own: Member, row_state: tuple[int, str]) -> None:
        row = msgspec.json.encode(replace(own, claims=()))
        try:
            await self._table.transact([], [Write(self._key(own), row)])
        except StoreUnavailableError as error:
            log_event("join_waits", error=error.detail)
            return
        self._written = row_state

    def _key(self, member: Member) -> str:
        return MEMBER_PREFIX + member.node_id


class Poller:
    """Reads member rows and plan lists from the platform and propagates changes.

    Only a few nodes of each availability zone poll; gossip reaches the others.

    Parameters
    ----------
    fleet : Fleet
        Receives the members and lists.
    gossip : Gossip
        Propagates what is new to other nodes.
    table, objects : Table, ObjectStore
        The platform's table and object services.
    settings : PlatformSettings
        Poll interval, and number of pollers in a zone.
    random_source : random.Random
        Random source for the jitter of the interval.
    """

    __slots__ = (
        "_fleet",
        "_gossip",
        "_objects",
        "_revision",
        "_settings",
        "_random",
        "_table",
    )

    def __init__(
        self,
        fleet: Fleet,
        gossip: Gossip,
        table: Table,
        objects: ObjectStore,
        settings: PlatformSettings,
        random_source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._gossip = gossip
        self._table = table
        self._objects = objects
        self._settings = settings
        self._random = random_source
        self._revision = 0

    async def run(self) -> None:
        """Poll in each interval in which this node is a poller, until cancelled."""
        while True:
            if self._is_poller():
                try:
                    await self._read_members()
                    await self._read_lists()
                except (StoreUnavailableError, BadStoreDataError) as error:
                    log_event("poll_failed", code=error.code, error=error.detail)
            jitter = 0.5 + self._random.random()
            await asyncio.sleep(self._settings.poll_interval_s * jitter)

    def _is_poller(self) -> bool:
        if not self._fleet.is_ready:
            return True
        own = self._fleet.own
        members = self._fleet.roster.list_members()
        zone_node_ids = sorted(m.node_id for m in members if m.zone == own.zone)
        return own.node_id in zone_node_ids[: self._settings.pollers_per_zone]

    async def _read_members(self) -> None:
        scan = await self._table.scan(MEMBER_PREFIX, self._revision)
        members = [decode_member(row.value) for row in scan.rows]
        new_members = self._fleet.merge_members([m for m in members if m is not None])
        for key in scan.removed:
            new_members += self._mark_left(key.removeprefix(MEMBER_PREFIX))
        self._revision = scan.revision
        if new_members:
            self._gossip.trigger_round()

    def _mark_left(self, node_id: str) -> list[Member]:
        member = self._fleet.roster.get(node_id)
        if member is None or member.state is MemberState.LEFT:
            return []
        if node_id == self._fleet.own.node_id:
            return []
        left = replace(member, state=MemberState.LEFT, sequence=member.sequence + 1)
        return self._fleet.merge_members([left])

    async def _read_lists(self) -> None:
        row = await self._table.read(LISTS_ROW)
        if row is None:
            return
        pointer = ListsPointer.decode(row.value)
        if pointer.version <= self._fleet.plans.version:
            return
        accepted = await load_lists(self._objects, pointer)
        self._adopt(accepted)

    def _adopt(self, accepted: AcceptedLists) -> None:
        try:
            check_lists(accepted.lists)
        except PlanListError as error:
            log_warning("bad_lists_in_store", error=error.detail)
            return
        if self._fleet.adopt_lists(accepted):
            self._gossip.trigger_round()


def decode_member(value: bytes) -> Member | None:
    """Return the member in a row, or None if the value is not valid."""
    try:
        return msgspec.json.decode(value, type=Member)
    except UNDECODABLE as error:
        log_warning("bad_member_row", error=str(error))
        return None
