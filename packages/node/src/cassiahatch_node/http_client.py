"""The HTTP client of all outgoing requests."""

from __future__ import annotations

from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse


def make_client(max_clients: int) -> CurlAsyncHTTPClient:
    """Return a client of its own, with at most ``max_clients`` requests at once."""
    return CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)


async def fetch_response(
    client: CurlAsyncHTTPClient, request: HTTPRequest
) -> HTTPResponse | CurlError:
    """Return the response of any status, or what kept it from coming."""
    try:
        return await client.fetch(request, raise_error=False)
    except CurlError as error:
        return error
