"""Requests exchanged between nodes, and their possible results.

Structs with ``array_like`` are encoded by position: their fields keep their order.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum

import msgspec

OPEN_CUTOFF = 1000.0
"""Cutoff above every possible position, with which no request is rejected at the edge.

A cutoff is the position from which on the edge rejects requests; see ``Call.position``.
"""


class Reason(StrEnum):
    """Why a request failed without a backend server's answer, or was retried.

    The values appear in logs, metrics and answers.
    """

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    SLOW_REQUEST = "slow_request"
    BODY_MEMORY_FULL = "body_memory_full"
    """The node already holds as many bytes of request bodies as it may."""
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    """The request carries no key of a team, or several keys."""
    UNKNOWN_PARENT = "unknown_parent"
    """The call belongs to no run that the node knows, and carries no key."""
    CONFIGURATION_EXPIRED = "configuration_expired"
    """The configuration in force may be too old to decide whether a key is still valid."""
    CONFIGURATION_CHANGED = "configuration_changed"
    """While the request waited for a unit of its team's quota, its key was given to
    another team."""
    QUOTA_EXCEEDED = "quota_exceeded"
    """The team has used up its quota."""
    QUOTA_UNKNOWN = "quota_unknown"
    """No keeper has granted a unit of the team's quota in time, or refused one."""
    NO_MEMBER = "no_member"
    """No backend server of the service could be reached."""
    EDGE_OVERLOAD = "edge_overload"
    """Rejected at the edge: the route's service or one downstream is overloaded."""
    UNREACHABLE = "unreachable"
    """There is no link to the chosen node."""
    LINK_LOST = "link_lost"
    NO_BACKEND = "no_backend"
    """The node has no backend server that accepts connections."""
    OTHER_INSTANCE = "other_instance"
    """Another process has replaced the backend server that the call was sent to."""
    DRAINING = "draining"
    """The backend server is leaving."""
    STOPPING = "stopping"
    """The node is stopping."""
    EXPIRED = "expired"
    """The deadline had passed when the request had been read: it was sent slowly, or the
    VM had been suspended."""
    QUEUE_FULL = "queue_full"
    """The queue is too long for an answer in time."""
    QUEUE_EXPIRED = "queue_expired"
    """The call waited in the queue until too little time was left to run it."""
    MISDIRECTED = "misdirected"
    """Another backend server has taken over the address."""
    RETRY_BUDGET_EXHAUSTED = "repeats_spent"
    """Retries already cause too many of the backend server's arrivals."""
    SHED = "shed"
    """The backend server reported that it did not run the request."""
    BACKEND_LOST = "backend_lost"
    """The connection to the backend server was lost while the request ran."""
    BACKEND_GARBLED = "backend_garbled"
    """The answer was incomplete or belonged to another request."""
    BACKEND_ENDLESS = "backend_endless"
    """The answer exceeded the limits on its size or on stray answers before it."""
    ANSWER_MEMORY_FULL = "answer_memory_full"
    """There was no memory to keep a large answer until those before it were sent."""
    QUARANTINED = "quarantined"
    """The request has crashed backend servers and is no longer run."""
    DEADLINE = "deadline"
    ROUTE_TIMEOUT = "route_timeout"
    CLIENT_LEFT = "client_left"
    """The client disconnected."""


class AttemptKind(IntEnum):
    """Whether an arrival at a backend server is caused by a retry."""

    FIRST = 0
    """Neither the request nor any request that led to it has been sent before."""
    RETRY = 1
    """The request itself has been sent to a backend server before."""
    DOWNSTREAM_OF_RETRY = 2
    """The request is made by the run of a retry, or further downstream of one."""

    @property
    def log_name(self) -> str:
        """Name of the kind in logs and metrics, which operators' tools match."""
        return ("first", "repeat", "below_repeat")[self]


class Request(msgspec.Struct):
    """A request that a client sent to the node on its VM."""

    id: str
    root: str
    """Id of the root request on whose behalf it is made; equals ``id`` at the root."""
    parent: str
    """Id of the request during whose run it is made, as its own id has it; empty at the
    root. A client may choose such an id, so a request with a key has no parent."""
    method: str
    host: str
    target: str
    """Path and query, as the client sent them."""
    head: bytes
    """Header lines in wire format, forwarded unchanged."""
    body: bytes
    arrived: float
    """Time of the node's monotonic clock at which the request was read."""
    timeout_s: float | None
    """How long the client waits from ``arrived`` on; None if it did not say."""
    api_key: bytes = b""
    """Key of the team, which stays at this node; empty if the request carries none,
    or several."""


class Call(msgspec.Struct, array_like=True, frozen=True):
    """A request sent to one instance of a backend server."""

    id: str
    route: str
    method: str
    host: str
    target: str
    head: bytes
    body: bytes
    caller: str
    """Service of the VM from which the request was sent."""
    instance: str
    """Identity of the only backend server process that may run it."""
    remaining_ms: float
    """Milliseconds from the moment of sending until the answer is useless."""
    target_ms: float
    """Milliseconds from the moment of sending until the latency target passes, after
    which the answer loses part of its value; negative once it has passed."""
    rank: int
    """Rank of the root request; 0 is the most urgent."""
    position: float
    """Rank of the root request plus a hash of its id; under overload, higher positions
    are rejected first."""
    is_root: bool
    """The call was made by a client, not by a backend server during a run."""
    is_idempotent: bool
    root_target_ms: float = 0.0
    """Milliseconds from the moment of sending until the latency target of the root
    request passes; negative once it has passed."""
    attempt_kind: AttemptKind = AttemptKind.FIRST
    team: str = ""
    """Name of the team that the root request belongs to; empty for none."""


class Reply(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Complete answer of a backend server."""

    status: int
    head: bytes
    body: bytes


class Rejection(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The request was not run and will not be."""

    reason: Reason
    retry_after_s: float = 0.0
    retry_elsewhere: bool = False
    """Whether another backend server may accept the same request."""


class Indeterminate(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The request may have run, but no usable answer was received."""

    reason: Reason


Result = Reply | Rejection | Indeterminate
"""Any result of a request."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of a backend server, as measured by the node on its VM."""

    running: int = 0
    waiting: int = 0
    limit: int = 0
    """Number of requests that may run concurrently."""
    wait_ms: float = 0.0
    """Expected wait of a request that arrives now."""
    cutoff: float = OPEN_CUTOFF
    """Position from which on the edge should reject requests."""
    accepts: bool = True
    """False while the backend server is leaving or gone, or its node is stopping."""
    retry_budget_use: float = 0.0
    """Share of its retry budget that is used."""
    leaving: tuple[int, str] | None = None
    """Start and identity of its process if that has said that it leaves, which it never
    takes back."""
    work_ms: float = 0.0
    """Mean work time of a request now, in milliseconds; 0 if the server states no pace
    or makes calls in all its runs."""
