"""Client of the platform's object store: plain HTTP."""

from __future__ import annotations

from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from cassiahatch_kernel.ports import StoreUnavailableError
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.http_client import fetch_response, make_client

MAX_CLIENTS = 20


@PLUGINS.register("objects", "http")
class HttpObjectStore:
    """The object store at a URL.

    Parameters
    ----------
    url : str
        Scheme, host and port.
    timeout_s : float
        How long to wait for an answer.
    """

    __slots__ = ("_client", "_timeout_s", "_url")

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._client = make_client(MAX_CLIENTS)

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        response = await self._fetch("GET", name, None)
        return None if response.code == 404 else response.body

    async def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._fetch("PUT", name, body)

    async def _fetch(self, method: str, name: str, body: bytes | None) -> HTTPResponse:
        request = HTTPRequest(
            f"{self._url}/objects/{name}",
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        response = await fetch_response(self._client, request)
        if isinstance(response, CurlError):
            raise StoreUnavailableError(f"objects: {response.message}")
        if response.code not in (200, 404):
            raise StoreUnavailableError(f"objects: {response.code} {response.reason}")
        return response
