"""HTTP messages as parsed, before a dialect decodes them."""

from __future__ import annotations

import msgspec

RawHeaders = list[tuple[bytes, bytes]]
"""Header fields in the order received, with names in their original case."""


class RawRequest(msgspec.Struct):
    """A completely received request, or the head of one."""

    method: str
    target: str
    headers: RawHeaders
    body: bytes
    arrived: float
    """Monotonic seconds at which its first byte was read."""
    keeps_alive: bool
    is_checked: bool = False
    """Whether it was checked and admitted before its body was read."""


class RawResponse(msgspec.Struct):
    """A completely received response."""

    status: int
    headers: RawHeaders
    body: bytes
    keeps_alive: bool


class NamedRate(msgspec.Struct, frozen=True):
    """The backend server takes so many requests a second from all nodes together."""

    per_s: float


class NoRate(msgspec.Struct, frozen=True):
    """The backend server names no limit."""


class UnreadableRate(msgspec.Struct, frozen=True):
    """The backend server names a limit that is not a decimal number."""


RateStatement = NamedRate | NoRate | UnreadableRate
"""What a response says of the rate that its backend server takes."""


class StatedLoad(msgspec.Struct, frozen=True):
    """The backend server states its load."""

    running: int
    waiting: int
    slots: int
    pace: float | None
    """Time that work takes on its machine now, 100 being usual; None if not stated."""


class NoLoad(msgspec.Struct, frozen=True):
    """The backend server states no load."""


class UnreadableLoad(msgspec.Struct, frozen=True):
    """The backend server states a load that can't be read, which states nothing."""


LoadStatement = StatedLoad | NoLoad | UnreadableLoad
"""What a response says of the load of its backend server."""


class ResponseMetadata(msgspec.Struct):
    """Metadata of a response, decoded from its headers by a dialect."""

    request_id: str
    """Id of the answered request; empty if the response does not give one."""
    is_complete: bool
    """Whether the response carries the headers that the dialect requires of it."""
    was_not_run: bool
    """Whether the backend server states that it did not run the request."""
    instance: str
    """Identity of the backend server's process; empty if not given."""
    idle_timeout_s: float | None
    """Idle time in seconds after which the backend server closes the connection."""
    head: bytes
    """Rendered header lines that are forwarded to the client."""
    rate: RateStatement = NoRate()
    is_leaving: bool = False
    """Whether the backend server says that it leaves."""
    stated_load: LoadStatement = NoLoad()
