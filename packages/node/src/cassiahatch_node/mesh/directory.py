"""The members known to a node, with the links to them and their load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from types import TracebackType

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.departures import Departures, Process
from cassiahatch_kernel.exchanges import Load
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.link_out import PeerLink
from cassiahatch_node.supervision import run_supervised
from cassiahatch_policies.placement import Endpoint

CHECK_INTERVAL_S = 0.2
"""How often links are checked for silence."""
FULL_MESH_MAX_MEMBERS = 32
"""Largest fleet whose nodes are linked in a full mesh from the start. In a larger one a
node opens links in advance only within its availability zone."""

LinkFactory = Callable[[Member], PeerLink]


class Directory:
    """Newest record of each member, its endpoint for load balancing, and its link.

    A context manager that closes the links.

    Parameters
    ----------
    own_id : str
        Node id of this node.
    zone : str
        Availability zone of this node.
    create_link : callable
        Creates the link to a member.
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
        self._endpoints: dict[str, dict[str, Endpoint]] = {}
        self._endpoint_lists: dict[str, list[Endpoint]] = {}
        """Cached list of endpoints per service, dropped when one of them changes."""
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._departures: dict[str, Departures] = {}
        """Processes of each member that are known to leave. Its member record may say
        otherwise, written by a node that has restarted since."""
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

    def update(self, member: Member) -> bool:
        """Store a record if it is newer, and return whether it was.

        A changed address closes the link. In a small fleet, or to a member of this
        node's zone, a link is opened at once.
        """
        self.record_departures(member.node_id, member.departed)
        if member.state is MemberState.DRAINING:
            self.record_departures(member.node_id, (member.process,))
        previous = self.members.get(member.node_id)
        if previous is not None and member.version <= previous.version:
            return False
        self.members[member.node_id] = member
        if previous is not None:
            self._remove_endpoint(previous)
            if previous.address != member.address:
                self._close_link(member.node_id)
        if member.state is not MemberState.LEFT and member.service:
            self._add_endpoint(member)
        if member.node_id != self._own_id and self._needs_eager_link(member):
            self.ensure_link(member.node_id).connect_now()
        return True

    def remove(self, node_id: str) -> None:
        """Remove a member whose record was deleted from the store."""
        self._departures.pop(node_id, None)
        previous = self.members.pop(node_id, None)
        if previous is not None:
            self._remove_endpoint(previous)
            self._close_link(node_id)

    def list_endpoints(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service, opening links that do not exist yet."""
        endpoints = self._endpoint_lists.get(service)
        if endpoints is None:
            endpoints = list(self._endpoints.get(service, {}).values())
            self._endpoint_lists[service] = endpoints
            for endpoint in endpoints:
                endpoint.is_reachable = self._is_reachable(endpoint.node_id)
        return endpoints

    def refresh_reachability(self, node_id: str) -> None:
        """Update a member's reachability after its link became ready or was lost."""
        member, link = self.members.get(node_id), self._links.get(node_id)
        if member is not None:
            endpoint = self._endpoints.get(member.service, {}).get(node_id)
            if endpoint is not None:
                endpoint.is_reachable = link is not None and link.is_ready

    def ensure_link(self, node_id: str) -> PeerLink | None:
        """Return the link to a member, creating it first if there is none.

        Returns None for an unknown member.
        """
        link = self._links.get(node_id)
        if link is None:
            member = self.members.get(node_id)
            if member is None:
                return None
            link = self._links[node_id] = self._create_link(member)
            supervised = run_supervised(link.run, self._log_task_failure)
            self._tasks[node_id] = asyncio.create_task(supervised)
        return link

    def reconnect(self, node_id: str) -> None:
        """Connect now if the link to a peer is down.

        Called when the peer has connected to this node, so it is running.
        """
        link = self._links.get(node_id)
        if link is not None and not link.is_ready:
            link.connect_now()

    def record_load(self, node_id: str, load: Load) -> None:
        """Record the load of a member's backend server."""
        member = self.members.get(node_id)
        if member is None:
            return
        if load.leaving is not None:
            self.record_departures(node_id, (load.leaving,))
        endpoint = self._endpoints.get(member.service, {}).get(node_id)
        if endpoint is not None:
            endpoint.record_load(load, self._clock.monotonic())
            if self.is_leaving(node_id, member.process):
                endpoint.accepts = False

    def record_departures(self, node_id: str, processes: Iterable[Process]) -> None:
        """Record that processes of a member have said that they leave."""
        for process in processes:
            self._departures.setdefault(node_id, Departures()).record(process)
        member = self.members.get(node_id)
        if member is not None and self.is_leaving(node_id, member.process):
            endpoint = self._endpoints.get(member.service, {}).get(node_id)
            if endpoint is not None:
                endpoint.accepts = False

    def record_own_departures(self, processes: Iterable[Process]) -> None:
        """Record what a peer knows of departures of this node's backend server."""
        self.record_departures(self._own_id, processes)

    def list_departures(self, node_id: str) -> tuple[Process, ...]:
        """Return the processes of a member that have said that they leave."""
        departures = self._departures.get(node_id)
        return () if departures is None else departures.list_processes()

    def is_leaving(self, node_id: str, process: Process) -> bool:
        """Return whether a member's process has said that it leaves."""
        departures = self._departures.get(node_id)
        return departures is not None and departures.covers(process)

    def end_calls(self) -> None:
        """End all calls to peers, which may run on there."""
        for link in self._links.values():
            link.end_calls()

    def list_ready_links(self) -> list[PeerLink]:
        """Return the links that are ready."""
        return [link for link in self._links.values() if link.is_ready]

    def list_ready_zone_links(self) -> list[PeerLink]:
        """Return the links that are ready and lead to nodes of this node's zone."""
        return [
            link
            for link in self.list_ready_links()
            if self.find_zone(link.node_id) == self._zone
        ]

    def find_zone(self, node_id: str) -> str | None:
        """Return the availability zone of a member, or None if it is unknown."""
        member = self.members.get(node_id)
        return None if member is None else member.zone

    def count_endpoints(self, service: str) -> int:
        """Return the number of known backend servers of a service."""
        return len(self._endpoints.get(service, ()))

    def count_ready(self) -> int:
        """Return the number of members whose backend server is ready."""
        return sum(m.state is MemberState.READY for m in self.members.values())

    async def check_links(self) -> None:
        """Check all links for silence, periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            for link in self._links.values():
                link.check(now)

    def _add_endpoint(self, member: Member) -> None:
        endpoint = Endpoint(member.node_id, member.zone, member.slots)
        endpoint.accepts = member.state is MemberState.READY and not self.is_leaving(
            member.node_id, member.process
        )
        self._endpoints.setdefault(member.service, {})[member.node_id] = endpoint
        self._endpoint_lists.pop(member.service, None)

    def _remove_endpoint(self, member: Member) -> None:
        self._endpoints.get(member.service, {}).pop(member.node_id, None)
        self._endpoint_lists.pop(member.service, None)

    def _is_reachable(self, node_id: str) -> bool:
        if node_id == self._own_id:
            return True
        link = self.ensure_link(node_id)
        return link is not None and link.is_ready

    def _needs_eager_link(self, member: Member) -> bool:
        return len(self.members) <= FULL_MESH_MAX_MEMBERS or member.zone == self._zone

    def _log_task_failure(self, name: str, error: Exception) -> None:
        self._journal.note("task_failed", task=name, error=repr(error))

    def _close_link(self, node_id: str) -> None:
        self._links.pop(node_id, None)
        task = self._tasks.pop(node_id, None)
        if task is not None:
            task.cancel()
