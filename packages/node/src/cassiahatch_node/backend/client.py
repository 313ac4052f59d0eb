"""Client of the local backend server."""

from __future__ import annotations

from enum import Enum, auto

import pycurl
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders
from tornado.tcpclient import TCPClient

from cassiahatch_kernel.calls import Call, Header
from cassiahatch_kernel.outcomes import Answer, Outcome, Refusal, Unknown
from cassiahatch_node.http_client import fetch_response, make_client

LOOPBACK = "127.0.0.1"
TOKEN_HEADER = "Cassiahatch-Token"
REMAINING_HEADER = "Cassiahatch-Remaining-Ms"
CUSTOMER_HEADER = "Cassiahatch-Customer"
REQUEST_ID_HEADER = "Cassiahatch-Request-Id"
NOT_RUN_HEADER = "Cassiahatch-Not-Run"
"""Response header that guarantees that the call did not start; it holds the reason."""

CANCEL_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.5
SHED_REASON = "overloaded"
LOCAL_REASONS = frozenset({SHED_REASON, "draining", "starting"})
"""Reasons specific to this backend server; another upstream may accept the call."""
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "expect",
        "x-http-reason",
    }
)
"""Headers that concern one connection or are set by the HTTP client; not forwarded."""


class HealthSignal(Enum):
    """Health of the backend server, as indicated by the result of one call."""

    ANSWERED = auto()
    SHED = auto()
    CONNECTION_LOST = auto()
    """The connection was lost after the call was sent, as when the process crashes."""
    CONNECTION_REFUSED = auto()
    """No process listens on the port, so the call was not sent."""
    TIMED_OUT = auto()


class BackendClient:
    """Sends calls to the backend server, each on a new connection.

    curl retries a request by itself if a reused connection turns out to be closed,
    which may run the call twice. It does not retry on a new connection.

    Parameters
    ----------
    max_connections : int
        Maximum number of concurrent calls.
    max_body_bytes : int
        Maximum size of a response body.
    """

    __slots__ = ("_client", "_max_body_bytes")

    def __init__(self, max_connections: int, max_body_bytes: int) -> None:
        self._client = make_client(max_connections)
        self._max_body_bytes = max_body_bytes

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def send(
        self, port: int, call: Call, headers: HTTPHeaders, timeout_s: float
    ) -> tuple[Outcome, HealthSignal]:
        """Send a call, and return its outcome and the resulting health signal."""
        response = await fetch_response(
            self._client,
            HTTPRequest(
                f"http://{LOOPBACK}:{port}{call.path}",
                method=call.method,
                headers=headers,
                body=call.body or None,
                allow_nonstandard_methods=True,
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
                follow_redirects=False,
                decompress_response=False,
                prepare_curl_callback=_force_new_connection,
            ),
        )
        if isinstance(response, CurlError):
            return _classify_failure(response)
        return self._classify_response(response)

    async def cancel(self, port: int, path: str, token: str) -> None:
        """Ask the backend server to stop a call whose outcome is no longer needed."""
        request = HTTPRequest(
            f"http://{LOOPBACK}:{port}{path}/{token}",
            method="DELETE",
            request_timeout=CANCEL_TIMEOUT_S,
        )
        await fetch_response(self._client, request)

    def _classify_response(
        self, response: HTTPResponse
    ) -> tuple[Outcome, HealthSignal]:
        reason = response.headers.get(NOT_RUN_HEADER)
        if reason is not None and response.code >= 400:
            is_shed = reason == SHED_REASON
            refusal = Refusal(
                f"backend_{reason}",
                "the backend server rejected the call",
                elsewhere=reason in LOCAL_REASONS,
            )
            return refusal, HealthSignal.SHED if is_shed else HealthSignal.ANSWERED
        if not _has_delimited_body(response):
            detail = "no Content-Length or Transfer-Encoding: can't detect truncation"
            return Unknown("unframed_answer", detail, 502), HealthSignal.ANSWERED
        body = response.body
        if len(body) > self._max_body_bytes:
            return Unknown("answer_too_large", "", 502), HealthSignal.ANSWERED
        headers = tuple(
            Header(name, value)
            for name, value in response.headers.get_all()
            if name.lower() not in HOP_BY_HOP_HEADERS
            and not name.lower().startswith("cassiahatch-")
        )
        return Answer(response.code, headers, body), HealthSignal.ANSWERED


async def probe_port(port: int) -> bool:
    """Return whether a loopback port accepts connections."""
    try:
        stream = await TCPClient().connect(LOOPBACK, port, timeout=PROBE_TIMEOUT_S)
    except (OSError, TimeoutError):
        return False
    stream.close()
    return True


def _force_new_connection(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)


def _has_delimited_body(response: HTTPResponse) -> bool:
    if response.code in (204, 304) or response.request.method == "HEAD":
        return True
    headers = response.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def _classify_failure(error: CurlError) -> tuple[Outcome, HealthSignal]:
    match error.errno:
        case pycurl.E_COULDNT_CONNECT:
            detail = "could not connect to the backend server"
            refusal = Refusal("backend_unreachable", detail, elsewhere=True)
            return refusal, HealthSignal.CONNECTION_REFUSED
        case pycurl.E_OPERATION_TIMEDOUT:
            detail = "the backend server did not respond before the deadline"
            return Unknown("deadline", detail), HealthSignal.TIMED_OUT
        case _:
            detail = f"connection to the backend server lost (curl error {error.errno})"
            return Unknown("backend_lost", detail, 502), HealthSignal.CONNECTION_LOST
