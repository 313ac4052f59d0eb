"""JSON messages of control requests from nodes and operators."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.members import Member
from cassiahatch_kernel.plan_changes import ListChange
from cassiahatch_kernel.plans import AcceptedLists
from cassiahatch_policies.once.ledger import KeyRecord
from cassiahatch_policies.once.tenure import Tenure
from cassiahatch_policies.quarantine import Crash


class GossipRequest(msgspec.Struct, frozen=True):
    """Digest of a node's state, and its recent updates."""

    lists_version: int
    lists_change_id: str
    members_hash: str
    news: tuple[Member, ...] = ()
    """Member records: recent updates, or the contents of buckets that differ."""
    crashes: tuple[Crash, ...] = ()
    is_different: bool = False
    """Whether the sender asks for member updates and bucket hashes.

    Set when an earlier exchange showed different members, and when an update triggered
    the round.
    """
    bucket_hashes: tuple[str, ...] = ()
    """Hashes of the sender's roster buckets.

    Set when the members still differ after both nodes exchanged recent updates.
    """


class GossipReply(msgspec.Struct, frozen=True):
    """Updates that the requesting node is missing."""

    lists_version: int
    members_hash: str
    news: tuple[Member, ...] = ()
    """Member records: recent updates, or the contents of buckets that differ."""
    crashes: tuple[Crash, ...] = ()
    bucket_hashes: tuple[str, ...] = ()
    changes: tuple[ListChange, ...] = ()
    lists: AcceptedLists | None = None
    """Complete lists; set if the changes since the node's version are not kept."""


class FleetState(msgspec.Struct, frozen=True):
    """Members and plan lists that a starting node loads from a seed."""

    members: tuple[Member, ...]
    lists: AcceptedLists


class GrantRequest(msgspec.Struct, frozen=True):
    """Request for quota units of one partition, by customer."""

    partition: str
    wanted: dict[str, int]


class GrantReply(msgspec.Struct, frozen=True):
    """Quota units granted, by customer."""

    given: dict[str, int]


class HandoverRequest(msgspec.Struct, frozen=True):
    """Tenure that is offered to a successor, with the records of its keys."""

    tenure: Tenure
    records: tuple[KeyRecord, ...]


class Acknowledgement(msgspec.Struct, frozen=True):
    """Reply to a request that was carried out."""

    done: bool = True


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error response."""

    code: str
    detail: str
    outcome: str = ""
    request_id: str = ""
