"""What a front end's encoding of messages must offer."""

from __future__ import annotations

from typing import Protocol

from cassiahatch_kernel.exchanges import Call, Rejection, Reply, Request
from cassiahatch_node.mesh.http_messages import (
    RawRequest,
    RawResponse,
    ResponseMetadata,
)


class BadRequestError(Exception):
    """The request lacks what every request must bear."""


class Dialect(Protocol):
    """Translates between HTTP messages and the types of the product."""

    def read_request(self, raw: RawRequest) -> Request:
        """Return what a client asked.

        Raises
        ------
        BadRequestError
            If something that every request must bear is missing.
        """

    def write_call(self, call: Call, remaining_s: float) -> bytes:
        """Return a call as the backend server expects it."""

    def read_reply(self, response: RawResponse) -> ResponseMetadata:
        """Return what a backend server's response says of itself."""

    def write_reply(self, reply: Reply, closes: bool) -> bytes:
        """Return a backend server's answer as the client expects it."""

    def write_failure(
        self, status: int, request_id: str, rejection: Rejection, closes: bool
    ) -> bytes:
        """Return an answer of the node's own; a pause of 0 is left out."""
