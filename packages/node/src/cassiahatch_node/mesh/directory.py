"""The backend servers that a node may send requests to, and the links to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Load
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.link_out import PeerLink
from cassiahatch_policies.placement import Place

CHECK_INTERVAL_S = 0.2
"""How often links are checked for silence."""
STANDING_LINKS = 32
"""Largest fleet in which each node keeps a link to every other from the start."""

LinkFactory = Callable[[Member], PeerLink]


class Directory:
    """Newest record of each member, its place in the choice, and the link to it.

    A context manager that ends the links.

    Parameters
    ----------
    own_id : str
        This node.
    zone : str
        Its availability zone.
    create_link : callable
        Makes the link to a member.
    """

    def __init__(
        self,
        own_id: str,
        zone: str,
        clock: Clock,
        create_link: LinkFactory,
        journal: Journal,
    ) -> None:
        self._own_id = own_id
        self._zone = zone
        self._clock = clock
        self._create_link = create_link
        self._journal = journal
        self._places: dict[str, dict[str, Place]] = {}
        self._listed: dict[str, list[Place]] = {}
        """Places by service, each list kept until one of its places changes."""
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.members: dict[str, Member] = {}

    def __enter__(self) -> Directory:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks.values():
            task.cancel()

    def learn(self, member: Member) -> bool:
        """Take in a record, and tell whether it was news."""
        known = self.members.get(member.node_id)
        if known is not None and member.version <= known.version:
            return False
        self.members[member.node_id] = member
        if known is not None:
            self._drop_place(known)
            if known.address != member.address:
                self._end_link(member.node_id)
        if member.state is not MemberState.LEFT and member.service:
            self._add_place(member)
        if member.node_id != self._own_id and self._wants_link(member):
            self.ensure_link(member.node_id).connect_now()
        return True

    def forget(self, node_id: str) -> None:
        """Drop a member whose record was removed."""
        known = self.members.pop(node_id, None)
        if known is not None:
            self._drop_place(known)
            self._end_link(node_id)

    def list_places(self, service: str) -> list[Place]:
        """Return the places of a service, and see to it that each has a link."""
        places = self._listed.get(service)
        if places is None:
            places = list(self._places.get(service, {}).values())
            self._listed[service] = places
            for place in places:
                place.is_reachable = self._is_reachable(place.node_id)
        return places

    def note_link(self, node_id: str) -> None:
        """Take in that a link to a member now stands, or is lost."""
        member, link = self.members.get(node_id), self._links.get(node_id)
        if member is not None:
            place = self._places.get(member.service, {}).get(node_id)
            if place is not None:
                place.is_reachable = link is not None and link.is_ready

    def ensure_link(self, node_id: str) -> PeerLink | None:
        """Return the link to a member, opening it if there is none."""
        link = self._links.get(node_id)
        if link is None:
            member = self.members.get(node_id)
            if member is None:
                return None
            link = self._links[node_id] = self._create_link(member)
            self._tasks[node_id] = asyncio.create_task(link.run())
        return link

    def hear_of(self, node_id: str) -> None:
        """Connect to a peer now if its link is down: it has just connected here."""
        link = self._links.get(node_id)
        if link is not None and not link.is_ready:
            link.connect_now()

    def report_load(self, node_id: str, load: Load) -> None:
        """Take in how busy a member's backend server is."""
        member = self.members.get(node_id)
        if member is None:
            return
        place = self._places.get(member.service, {}).get(node_id)
        if place is not None:
            place.report(load, self._clock.monotonic())

    def list_links(self) -> list[PeerLink]:
        """Return the links that stand."""
        return [link for link in self._links.values() if link.is_ready]

    def list_zone_links(self) -> list[PeerLink]:
        """Return the links that stand to nodes of the own zone."""
        return [
            link
            for link in self.list_links()
            if self.find_zone(link.node_id) == self._zone
        ]

    def find_zone(self, node_id: str) -> str | None:
        """Return the availability zone of a member, or None if it is not known."""
        member = self.members.get(node_id)
        return None if member is None else member.zone

    def count_places(self, service: str) -> int:
        """Return how many backend servers of a service are known."""
        return len(self._places.get(service, ()))

    def count_ready(self) -> int:
        """Return how many members have a backend server that has not left."""
        return sum(m.state is MemberState.READY for m in self.members.values())

    async def check_links(self) -> None:
        """Look for silent links, for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            for link in self._links.values():
                link.check(now)

    def _add_place(self, member: Member) -> None:
        place = Place(member.node_id, member.zone, member.slots)
        place.accepts = member.state is MemberState.READY
        self._places.setdefault(member.service, {})[member.node_id] = place
        self._listed.pop(member.service, None)

    def _drop_place(self, member: Member) -> None:
        self._places.get(member.service, {}).pop(member.node_id, None)
        self._listed.pop(member.service, None)

    def _is_reachable(self, node_id: str) -> bool:
        if node_id == self._own_id:
            return True
        link = self.ensure_link(node_id)
        return link is not None and link.is_ready

    def _wants_link(self, member: Member) -> bool:
        return len(self.members) <= STANDING_LINKS or member.zone == self._zone

    def _end_link(self, node_id: str) -> None:
        self._links.pop(node_id, None)
        task = self._tasks.pop(node_id, None)
        if task is not None:
            task.cancel()
