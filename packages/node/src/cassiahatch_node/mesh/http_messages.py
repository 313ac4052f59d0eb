"""HTTP messages as they were read, before anything is made of them."""

from __future__ import annotations

import msgspec

RawHeaders = list[tuple[bytes, bytes]]
"""Header fields in their order, names as sent."""


class RawRequest(msgspec.Struct):
    """A whole request."""

    method: str
    target: str
    headers: RawHeaders
    body: bytes
    arrived: float
    """Clock seconds at which its last byte was read."""
    keeps_alive: bool


class RawResponse(msgspec.Struct):
    """A whole response."""

    status: int
    headers: RawHeaders
    body: bytes
    keeps_alive: bool


class ResponseMetadata(msgspec.Struct):
    """What a response says of itself, once its headers were understood."""

    request_id: str
    """Id of the request that it answers; empty if it names none."""
    is_complete: bool
    """It bears the marks that every answer of a backend server bears."""
    was_not_run: bool
    """The backend server vouches that it did not run the request."""
    instance: str
    """Identity of the backend server's process, where it says so."""
    idle_timeout_s: float | None
    """Seconds after which the backend server closes the connection unused."""
    head: bytes
    """Rendered header lines that are passed on to the client."""
