"""A request that passes between two nodes, and the ways in which it can end."""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec

OPEN_CUTOFF = 1000.0
"""A cutoff beyond every position: nothing is refused at the edge."""


class Reason(StrEnum):
    """Why a request ended without a backend server's answer, or was sent again."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_REQUEST = "slow_request"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_MEMBER = "no_member"
    EDGE_OVERLOAD = "edge_overload"
    UNREACHABLE = "unreachable"
    LINK_LOST = "link_lost"
    NO_BACKEND = "no_backend"
    OTHER_INSTANCE = "other_instance"
    DRAINING = "draining"
    STOPPING = "stopping"
    QUEUE_FULL = "queue_full"
    QUEUE_EXPIRED = "queue_expired"
    MISDIRECTED = "misdirected"
    RETRY_BUDGET_EXHAUSTED = "repeats_spent"
    SHED = "shed"
    BACKEND_LOST = "backend_lost"
    BACKEND_GARBLED = "backend_garbled"
    BACKEND_ENDLESS = "backend_endless"
    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    ROUTE_TIMEOUT = "route_timeout"
    CLIENT_LEFT = "client_left"


class AttemptKind(IntEnum):
    """Whether an arrival at a backend server is owed to a repeat."""

    FIRST = 0
    """Neither the request nor one on whose behalf it is made was sent before."""
    RETRY = 1
    """The request has been sent to a backend server before."""
    BELOW_RETRY = 2
    """The request is made while a retry runs, or further below one."""

    @property
    def log_name(self) -> str:
        """Name of the kind in logs and metrics, which operators' tools match."""
        return ("first", "repeat", "below_repeat")[self]


class Request(msgspec.Struct):
    """What a client asked of the node beside it."""

    id: str
    root: str
    """Id of the top request on whose behalf it is made; its own at the top."""
    parent: str
    """Id of the request during whose run it is made; empty at the top."""
    method: str
    host: str
    target: str
    """Path and query, as sent."""
    head: bytes
    """Rendered header lines that are passed on unchanged."""
    body: bytes
    arrived: float
    """Seconds of the node's clock at which the request was read."""
    timeout_s: float | None
    """How long the client waits from then on; None if it did not say."""


class Call(msgspec.Struct, array_like=True, frozen=True):
    """A request on its way to one instance of a backend server."""

    id: str
    route: str
    method: str
    host: str
    target: str
    head: bytes
    body: bytes
    caller: str
    """Service of the VM at which the request began."""
    instance: str
    """Identity of the backend server's process that may run it."""
    remaining_ms: float
    """Milliseconds until the answer is useless, counted at the moment of sending."""
    target_ms: float
    """Milliseconds until the answer loses part of its worth; negative once it has."""
    rank: int
    """Rank of the top request; 0 is the most urgent."""
    position: float
    """Rank and a hash of the top request, by which overload is decided."""
    is_root: bool
    """Made by a client, not by a backend server during a run."""
    is_idempotent: bool
    root_target_ms: float = 0.0
    """Milliseconds until the answer to the top request loses part of its worth, counted
    at the moment of sending; negative once it has."""
    attempt_kind: AttemptKind = AttemptKind.FIRST


class Reply(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A backend server's whole answer."""

    status: int
    head: bytes
    body: bytes


class Rejection(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The request was certainly not run and will not be."""

    reason: Reason
    retry_after_s: float = 0.0
    retry_elsewhere: bool = False
    """Another backend server may accept the same request."""


class Indeterminate(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The request may have run; no usable answer is known."""

    reason: Reason


Result = Reply | Rejection | Indeterminate
"""Any way in which a request can end."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """How busy a backend server is, as the node beside it counts."""

    running: int = 0
    waiting: int = 0
    limit: int = 0
    """Requests that it may run at once."""
    wait_ms: float = 0.0
    """Expected wait of a request that arrives now."""
    cutoff: float = OPEN_CUTOFF
    """Positions from here on had better be refused at the edge."""
    accepts: bool = True
    """False once it is leaving, gone, or its node is stopping."""
    retry_budget_use: float = 0.0
    """Share of the allowed repeats that it got."""
