"""HTTP requests to the platform's services."""

from __future__ import annotations

from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from cassiahatch_kernel.ports import StoreUnavailableError
from cassiahatch_node.http_client import fetch_response, make_client

MAX_CONCURRENT_REQUESTS = 20


class PlatformClient:
    """Sends requests to one of the platform's services.

    Parameters
    ----------
    name : str
        Name of the service, used in error messages.
    url : str
        Scheme, host and port of the service.
    timeout_s : float
        Timeout of a request.
    """

    __slots__ = ("_client", "_name", "_timeout_s", "_url")

    def __init__(self, name: str, url: str, timeout_s: float) -> None:
        self._name = name
        self._url = url
        self._timeout_s = timeout_s
        self._client = make_client(MAX_CONCURRENT_REQUESTS)

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def fetch(
        self, method: str, path: str, body: bytes | None = None
    ) -> HTTPResponse:
        """Send a request and return the response, whose status is 200 or 404.

        Raises
        ------
        StoreUnavailableError
            If no such response was received; the request may have taken effect.
        """
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            connect_timeout=self._timeout_s,
            request_timeout=self._timeout_s,
        )
        response = await fetch_response(self._client, request)
        if isinstance(response, CurlError):
            raise StoreUnavailableError(f"{self._name}: {response.message}")
        if response.code not in (200, 404):
            detail = (
                f"{self._name}: expected status 200 or 404, "
                f"got {response.code} {response.reason}"
            )
            raise StoreUnavailableError(detail)
        return response
