"""The HTTP client of all outgoing requests."""

from __future__ import annotations

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

MAX_BODY_BYTES = 67_108_864
"""Longest body of an answer, whether its length is announced or not: the longest that
a configuration allows by default. The library bounds heads at 300 KB."""


def make_client(max_clients: int) -> CurlAsyncHTTPClient:
    """Return a client of its own, with at most ``max_clients`` requests at once."""
    return CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)


async def fetch_response(
    client: CurlAsyncHTTPClient,
    request: HTTPRequest,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> HTTPResponse | CurlError:
    """Return the response of any status, or what kept it from coming."""
    prepare = request.prepare_curl_callback

    def bound(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.MAXFILESIZE_LARGE, max_body_bytes)
        if prepare is not None:
            prepare(curl)

    request.prepare_curl_callback = bound
    try:
        return await client.fetch(request, raise_error=False)
    except CurlError as error:
        return error
