"""Members of the fleet: nodes with their backend servers and routes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from cassiahatch_kernel.decoding import Counter, Milliseconds, Port, Slots
from cassiahatch_kernel.priorities import Importance


class MemberState(StrEnum):
    """Whether a member accepts calls."""

    IDLE = "idle"
    """No backend server has registered with the node."""
    READY = "ready"
    DRAINING = "draining"
    """The backend server is leaving and accepts no new calls."""
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class Route:
    """One kind of call that a service accepts."""

    method: str
    prefix: str
    importance: Importance = Importance.NORMAL
    idempotent: bool = True


@dataclass(slots=True, frozen=True)
class Claim:
    """A member's tenure of one partition.

    A tenure is the exclusive right to run the calls whose idempotency keys fall into
    the partition.
    """

    partition: str
    epoch: int
    """Number of the tenure; a later tenure of the partition has a higher one."""


@dataclass(slots=True, frozen=True)
class Member:
    """A node and the backend server on its VM."""

    node_id: str
    host: str
    peer_port: Port
    zone: str
    incarnation: Milliseconds
    """Start of the node's process, in milliseconds since the Unix epoch."""
    sequence: Counter = 0
    """Number of changes to this record within the incarnation."""
    state: MemberState = MemberState.IDLE
    service: str = ""
    slots: Slots = 0
    routes: tuple[Route, ...] = ()
    claims: tuple[Claim, ...] = ()
    instance: str = ""
    """Identity of the backend server's process, if the platform provides one."""
    born_ms: Milliseconds = 0
    """Start of that process, in milliseconds since the Unix epoch."""
    departed: tuple[tuple[Milliseconds, str], ...] = ()
    """Start and instance of processes of its backend server that have left."""
    store_era: Counter = 0
    """Era of the store that its node knew when it wrote this record."""

    @property
    def version(self) -> tuple[int, int]:
        """Version of this member's record; a higher one replaces a lower one."""
        return self.incarnation, self.sequence

    @property
    def process(self) -> tuple[int, str]:
        """Start and identity of the backend server's process."""
        return self.born_ms, self.instance

    @property
    def address(self) -> str:
        """Address for peer links, as ``host:port``."""
        return f"{self.host}:{self.peer_port}"

    @property
    def identity(self) -> str:
        """Node id and address; unique, as only one process can hold it at a time."""
        return f"{self.node_id}@{self.address}"


def find_route(routes: tuple[Route, ...], method: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, or None."""
    matches = [
        route
        for route in routes
        if route.method == method and path.startswith(route.prefix)
    ]
    return max(matches, key=lambda route: len(route.prefix), default=None)
