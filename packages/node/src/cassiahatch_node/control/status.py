"""What a node tells operators of itself."""

from __future__ import annotations

import msgspec


class NodeStatus(msgspec.Struct, frozen=True):
    """The state of one node."""

    node_id: str
    zone: str
    service: str
    state: str
    lists_version: int
    in_flight: int
    queued: int
    limit: int
    level: int
    """Priority below which calls are refused."""
    members: int
    ready_members: int
    links: int
    partitions: int
    """Partitions whose holder is known."""
    tenures: int
    keys: int
    quarantined: tuple[str, ...]
    counters: dict[str, int]
