"""What the nodes of a fleet tell an operator."""

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
HANDOUT = 3
"""Nodes that get accepted lists from the operator's command itself."""


class NoNodeError(CodedError):
    """No node of the settings answered."""

    code = "no_node"
    status = 503


@dataclass(slots=True, frozen=True)
class Unreachable:
    """A member that did not answer."""

    node_id: str
    zone: str
    error: str


class FleetView:
    """Asks the nodes of a fleet.

    Parameters
    ----------
    nodes : tuple of str
        Peer addresses to begin with.
    client : ControlClient
        Reaches nodes.
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
            If none does.
        """
        errors: list[str] = []
        for address in self._nodes:
            try:
                return await self._client.get(address, STATE_PATH, FleetState)
            except ControlError as error:
                errors.append(error.detail)
        raise NoNodeError("; ".join(errors) or "the settings name no nodes")

    async def read_statuses(self) -> list[NodeStatus | Unreachable]:
        """Return the status of every member."""
        state = await self.read_state()
        return list(await asyncio.gather(*(self._ask(m) for m in state.members)))

    async def read_spans(self, wanted: str) -> list[SpanRecord]:
        """Return the spans of a request on all nodes, in the order of their start."""
        state = await self.read_state()
        found = await asyncio.gather(
            *(self._ask_spans(m.address, wanted) for m in state.members)
        )
        return sorted((s for spans in found for s in spans), key=lambda s: s.start_ns)

    async def hand_out(self, accepted: AcceptedLists) -> int:
        """Give accepted lists to a few nodes, and return how many took them."""
        taken = 0
        for address in await self._list_addresses():
            try:
                await self._client.post(address, LISTS_PATH, accepted, Acknowledgement)
            except ControlError:
                continue
            taken += 1
            if taken == HANDOUT:
                break
        return taken

    async def _list_addresses(self) -> list[str]:
        try:
            members = (await self.read_state()).members
        except NoNodeError:
            return list(self._nodes)
        return list(dict.fromkeys([*self._nodes, *(m.address for m in members)]))

    async def _ask(self, member: object) -> NodeStatus | Unreachable:
        try:
            return await self._client.get(member.address, STATUS_PATH, NodeStatus)
        except ControlError as error:
            return Unreachable(member.node_id, member.zone, error.detail)

    async def _ask_spans(self, address: str, wanted: str) -> list[SpanRecord]:
        path = f"{SPANS_PATH}?id={wanted}"
        try:
            return await self._client.get(address, path, list[SpanRecord])
        except ControlError:
            return []
