"""JSON messages of the control exchanges between nodes and with operators."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.members import Member
from cassiahatch_kernel.plan_changes import ListChange
from cassiahatch_kernel.plans import AcceptedLists
from cassiahatch_policies.once.ledger import KeyRecord
from cassiahatch_policies.once.tenure import Tenure
from cassiahatch_policies.quarantine import Crash


class GossipRequest(msgspec.Struct, frozen=True):
    """What a node knows, in brief, and its news."""

    lists_version: int
    lists_change_id: str
    members_hash: str
    news: tuple[Member, ...] = ()
    crashes: tuple[Crash, ...] = ()
    is_different: bool = False
    """An exchange before this one showed that the two nodes know different members."""
    bucket_hashes: tuple[str, ...] = ()
    """Sent when the news of both did not make up the difference."""


class GossipReply(msgspec.Struct, frozen=True):
    """What the asking node lacks."""

    lists_version: int
    members_hash: str
    news: tuple[Member, ...] = ()
    crashes: tuple[Crash, ...] = ()
    bucket_hashes: tuple[str, ...] = ()
    changes: tuple[ListChange, ...] = ()
    lists: AcceptedLists | None = None
    """Sent when the changes since the asking node's version are not kept."""


class FleetState(msgspec.Struct, frozen=True):
    """All that a starting node needs."""

    members: tuple[Member, ...]
    lists: AcceptedLists


class GrantRequest(msgspec.Struct, frozen=True):
    """Units wanted, by customer."""

    partition: str
    wanted: dict[str, int]


class GrantReply(msgspec.Struct, frozen=True):
    """Units given, by customer."""

    given: dict[str, int]


class HandoverRequest(msgspec.Struct, frozen=True):
    """The records of a tenure that its holder is about to give up."""

    tenure: Tenure
    records: tuple[KeyRecord, ...]


class Acknowledgement(msgspec.Struct, frozen=True):
    """What was asked has been done."""

    done: bool = True


class ErrorBody(msgspec.Struct, frozen=True):
    """Why a request was not served."""

    code: str
    detail: str
    outcome: str = ""
    request_id: str = ""
