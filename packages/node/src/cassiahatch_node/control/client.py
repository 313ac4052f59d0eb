"""Client for control requests: JSON over HTTP to the peer port of another node."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest

from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.errors import CodedError
from cassiahatch_node.http_client import fetch_response, make_client
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.peers.link import PEER_KEY_HEADER

CONTROL_TIMEOUT_S = 1.0
MAX_CONTROL_REQUESTS = 64
"""Maximum number of control requests that a node sends concurrently."""

Reply = TypeVar("Reply")


class ControlError(CodedError):
    """A peer did not answer a control request, or rejected it."""

    code = "control_failed"
    status = 502


class ControlClient:
    """Sends control requests to peers.

    Parameters
    ----------
    key : str
        Key shared by all nodes of the fleet, sent with each request.
    metrics : Metrics
        Counters of requests and bytes.
    """

    __slots__ = ("_client", "_key", "_metrics")

    def __init__(self, key: str, metrics: Metrics) -> None:
        self._client = make_client(MAX_CONTROL_REQUESTS)
        self._key = key
        self._metrics = metrics

    def close(self) -> None:
        """Close the HTTP client and its connections."""
        self._client.close()

    async def post(
        self,
        address: str,
        path: str,
        message: Any,
        reply_type: type[Reply],
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> Reply:
        """Post a message to the peer at ``address`` and return its decoded reply.

        Raises
        ------
        ControlError
            If no reply arrived, its status was not 200 or it could not be decoded.
        """
        body = msgspec.json.encode(message)
        return await self._exchange(address, path, "POST", body, reply_type, timeout_s)

    async def get(self, address: str, path: str, reply_type: type[Reply]) -> Reply:
        """Fetch ``path`` from the peer at ``address`` and return the decoded reply."""
        return await self._exchange(
            address, path, "GET", None, reply_type, CONTROL_TIMEOUT_S
        )

    async def _exchange(
        self,
        address: str,
        path: str,
        method: str,
        body: bytes | None,
        reply_type: type[Reply],
        timeout_s: float,
    ) -> Reply:
        response = await fetch_response(
            self._client,
            HTTPRequest(
                f"http://{address}{path}",
                method=method,
                headers={PEER_KEY_HEADER: self._key},
                body=body,
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
            ),
        )
        self._metrics.count("control_requests")
        self._metrics.count("control_bytes_sent", len(body or b""))
        if isinstance(response, CurlError):
            raise ControlError(f"{address}{path}: {response.message}")
        if response.code != 200:
            raise ControlError(
                f"{address}{path}: status {response.code} {response.reason}, expected 200"
            )
        self._metrics.count("control_bytes_received", len(response.body))
        try:
            return msgspec.json.decode(response.body, type=reply_type)
        except UNDECODABLE as error:
            raise ControlError(f"{address}{path}: {error}") from None
