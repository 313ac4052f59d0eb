"""HTTP client for outgoing requests, based on libcurl."""

from __future__ import annotations

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

MAX_BODY_BYTES = 67_108_864
"""Default limit of a response body, whether or not its length is announced.

It equals the default of ``max_body_bytes`` in the mesh configuration. libcurl itself
limits the headers to 300 KB.
"""


class _ResponseHead:
    """Whether the head of the last response has ended.

    libcurl takes a head that ends with its connection as a whole one.
    """

    __slots__ = ("is_complete",)

    def __init__(self) -> None:
        self.is_complete = False

    def record_line(self, line: str) -> None:
        """Record a line, with its end, of the head or of the trailers."""
        if line.startswith("HTTP/"):
            self.is_complete = False
        elif line in ("\r\n", "\n"):
            self.is_complete = True


def make_client(max_clients: int) -> CurlAsyncHTTPClient:
    """Return a new client that runs at most ``max_clients`` requests concurrently."""
    return CurlAsyncHTTPClient(force_instance=True, max_clients=max_clients)


async def fetch_response(
    client: CurlAsyncHTTPClient,
    request: HTTPRequest,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> HTTPResponse | CurlError:
    """Send a request and return the response of any status, or the transport error."""
    prepare = request.prepare_curl_callback

    def limit_body(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.MAXFILESIZE_LARGE, max_body_bytes)
        if prepare is not None:
            prepare(curl)

    request.prepare_curl_callback = limit_body
    head = _ResponseHead()
    request.header_callback = head.record_line
    try:
        response = await client.fetch(request, raise_error=False)
    except CurlError as error:
        return error
    if not head.is_complete:
        return CurlError(pycurl.E_PARTIAL_FILE, "the response ends in its head")
    return response
