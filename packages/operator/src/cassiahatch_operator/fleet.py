"""Client for the control requests of operators to the nodes of a fleet."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.plans import AcceptedLists
from cassiahatch_node.control.client import ControlClient, ControlError
from cassiahatch_node.control.gossip import STATE_PATH
from cassiahatch_node.control.messages import Acknowledgement, FleetState
from cassiahatch_node.control.status import NodeStatus
from cassiahatch_node.observability.tracing import SpanRecord

LISTS_PATH = "/control/lists"
STATUS_PATH = "/control/status"
SPANS_PATH = "/control/spans"
MAX_PUSHES = 3
"""Limit on the nodes to which accepted lists are sent directly; gossip propagates them
to the others."""


class NoNodeError(CodedError):
    """None of the nodes in the settings answered."""

    code = "no_node"
    status = 503


@dataclass(slots=True, frozen=True)
class Unreachable:
    """A member of the fleet that did not answer."""

    node_id: str
    zone: str
    error: str


class FleetClient:
    """Sends control requests to the nodes of a fleet.

    Parameters
    ----------
    nodes : tuple of str
        Peer addresses of the nodes that are contacted first.
    client : ControlClient
        Client for control requests.
    """

    __slots__ = ("_client", "_nodes")

    def __init__(self, nodes: tuple[str, ...], client: ControlClient) -> None:
        self._nodes = nodes
        self._client = client

    async def read_state(self) -> FleetState:
        """Return the state of the first node that answers.

        Raises
        ------
        NoNodeError
            If no node answers.
        """
        errors: list[str] = []
        for address in self._nodes:
            try:
                return await self._client.get(address, STATE_PATH, FleetState)
            except ControlError as error:
                errors.append(error.detail)
        raise NoNodeError("; ".join(errors) or "the settings list no nodes")

    async def read_statuses(self) -> list[NodeStatus | Unreachable]:
        """Return the status of every member of the fleet."""
        state = await self.read_state()
        return list(
            await asyncio.gather(*(self._fetch_status(m) for m in state.members))
        )

    async def read_spans(self, identifier: str) -> list[SpanRecord]:
        """Return the spans of a request or trace on all nodes, in order of start."""
        state = await self.read_state()
        spans_by_node = await asyncio.gather(
            *(self._fetch_spans(m.address, identifier) for m in state.members)
        )
        return sorted(
            (s for spans in spans_by_node for s in spans), key=lambda s: s.start_ns
        )

    async def push_lists(self, accepted: AcceptedLists) -> int:
        """Send accepted lists to a few nodes, and return how many acknowledged them."""
        push_count = 0
        for address in await self._list_addresses():
            try:
                await self._client.post(address, LISTS_PATH, accepted, Acknowledgement)
            except ControlError:
                continue
            push_count += 1
            if push_count == MAX_PUSHES:
                break
        return push_count

    async def _list_addresses(self) -> list[str]:
        try:
            members = (await self.read_state()).members
        except NoNodeError:
            return list(self._nodes)
        return list(dict.fromkeys([*self._nodes, *(m.address for m in members)]))

    async def _fetch_status(self, member: object) -> NodeStatus | Unreachable:
        try:
            return await self._client.get(member.address, STATUS_PATH, NodeStatus)
        except ControlError as error:
            return Unreachable(member.node_id, member.zone, error.detail)

    async def _fetch_spans(self, address: str, identifier: str) -> list[SpanRecord]:
        path = f"{SPANS_PATH}?id={identifier}"
        try:
            return await self._client.get(address, path, list[SpanRecord])
        except ControlError:
            return []
