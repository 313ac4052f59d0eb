"""Status message of a node for operators."""

from __future__ import annotations

import msgspec


class NodeStatus(msgspec.Struct, frozen=True):
    """Snapshot of one node's state and counters."""

    node_id: str
    zone: str
    service: str
    state: str
    lists_version: int
    in_flight: int
    queued: int
    limit: int
    """Maximum number of concurrent calls at the backend server."""
    level: int
    """Admission level: calls of lower priority are rejected."""
    members: int
    ready_members: int
    links: int
    partitions: int
    """Number of partitions with a known holder."""
    tenures: int
    keys: int
    quarantined: tuple[str, ...]
    counters: dict[str, int]
