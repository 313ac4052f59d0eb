"""Interface of the plug-ins that encode messages of clients and backend servers."""

from __future__ import annotations

from typing import Protocol

from cassiahatch_kernel.exchanges import Call, Rejection, Reply, Request
from cassiahatch_node.mesh.http_messages import (
    RawRequest,
    RawResponse,
    ResponseMetadata,
)


class BadRequestError(Exception):
    """A request lacks a required header or value."""


class Dialect(Protocol):
    """Translates between HTTP messages and the kernel's exchange types.

    The plug-in is selected by the ``dialect`` setting.
    """

    def decode_request(self, raw: RawRequest, has_teams: bool = False) -> Request:
        """Decode a client's request.

        Parameters
        ----------
        has_teams : bool, optional
            Whether keys identify teams, so that they are not forwarded.

        Raises
        ------
        BadRequestError
            If the request lacks a required header or value.
        """

    def encode_call(self, call: Call, remaining_s: float) -> bytes:
        """Encode the head of a call for the backend server."""

    def decode_response(self, response: RawResponse) -> ResponseMetadata:
        """Decode the headers of a backend server's response."""

    def encode_reply(self, reply: Reply, closes: bool) -> bytes:
        """Encode a backend server's reply for the client."""

    def encode_failure(
        self,
        status: int,
        request_id: str,
        rejection: Rejection,
        closes: bool,
        has_body: bool = True,
    ) -> bytes:
        """Encode an error response of the node; omit a ``Retry-After`` of 0.

        Parameters
        ----------
        has_body : bool, optional
            Whether a body may follow the head: not in response to a HEAD request.
        """
