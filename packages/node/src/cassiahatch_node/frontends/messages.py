"""HTTP encoding of calls and outcomes for callers and backend servers."""

from __future__ import annotations

from urllib.parse import unquote

import msgspec
from tornado.httputil import HTTPServerRequest
from tornado.web import RequestHandler

from cassiahatch_kernel.calls import Call, Header
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.keys import read_mint_ms
from cassiahatch_kernel.members import Route
from cassiahatch_kernel.outcomes import Answer, Outcome, Refusal, Unknown
from cassiahatch_node.backend.client import HOP_BY_HOP_HEADERS
from cassiahatch_node.control.messages import ErrorBody

OUTCOME_HEADER = "Cassiahatch-Outcome"
CODE_HEADER = "Cassiahatch-Code"
REQUEST_ID_HEADER = "Cassiahatch-Request-Id"
TIMEOUT_HEADER = "Cassiahatch-Timeout-Ms"
FIRST_ATTEMPT_HEADER = "Cassiahatch-First-Attempt"
KEY_HEADER = "Idempotency-Key"
OWN_HEADER_PREFIX = "cassiahatch-"
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"authorization", "traceparent", "tracestate"}
"""Headers of a request that are not forwarded with its call."""
MIN_TIMEOUT_MS = 1


class BadRequestError(CodedError):
    """The request is malformed."""

    code = "bad_request"
    status = 400


def read_call(
    request: HTTPServerRequest, service: str, path: str, route: Route
) -> Call:
    """Return the call that a request contains.

    Raises
    ------
    BadKeyError
        If the idempotency key of a non-idempotent call is missing or malformed.
    """
    key = "" if route.idempotent else request.headers.get(KEY_HEADER, "")
    if not route.idempotent:
        read_mint_ms(key)
    query = f"?{request.query}" if request.query else ""
    return Call(
        service=service,
        method=request.method or "",
        path=path + query,
        headers=_select_headers(request),
        body=request.body,
        idempotent=route.idempotent,
        key=key,
        first_attempt=request.headers.get(FIRST_ATTEMPT_HEADER, "") == "1",
    )


def read_timeout_s(request: HTTPServerRequest, default_s: float, max_s: float) -> float:
    """Return the timeout that the caller requests, capped at ``max_s``.

    Raises
    ------
    BadRequestError
        If the header is not a whole number of milliseconds above 0.
    """
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return default_s
    if not text.isascii() or not text.isdigit() or int(text) < MIN_TIMEOUT_MS:
        raise BadRequestError(
            f"{TIMEOUT_HEADER} must be a whole number of milliseconds above 0"
        )
    return min(max_s, int(text) / 1000)


def split_path(request: HTTPServerRequest, skipped_count: int) -> tuple[str, str]:
    """Split a path into the service and the path within the service.

    The first ``skipped_count`` segments are ignored.

    Raises
    ------
    BadRequestError
        If there is no service, or the path has a ``.`` or ``..`` segment.
    """
    segments = request.path.split("/")[1 + skipped_count :]
    if len(segments) < 2 or not segments[0]:
        raise BadRequestError("the path must have the form /SERVICE/PATH")
    if any(unquote(segment) in (".", "..") for segment in segments):
        raise BadRequestError("the path must not contain . or .. segments")
    return segments[0], "/" + "/".join(segments[1:])


def write_outcome(handler: RequestHandler, outcome: Outcome, request_id: str) -> None:
    """Respond to a request with the outcome of its call."""
    handler.set_header(REQUEST_ID_HEADER, request_id)
    match outcome:
        case Answer():
            handler.set_status(outcome.status)
            handler.set_header(OUTCOME_HEADER, "ran")
            handler.clear_header("Content-Type")
            for header in outcome.headers:
                handler.add_header(header.name, header.value)
            if outcome.status not in (204, 304):
                handler.write(outcome.body)
        case Refusal():
            _write_failure(handler, outcome, "not-run", request_id)
        case Unknown():
            _write_failure(handler, outcome, "unknown", request_id)


def write_error(handler: RequestHandler, error: CodedError, request_id: str) -> None:
    """Respond to a request that was rejected before its call was run."""
    refusal = Refusal(error.code, error.detail, error.status)
    write_outcome(handler, refusal, request_id)


def _write_failure(
    handler: RequestHandler,
    outcome: Refusal | Unknown,
    outcome_name: str,
    request_id: str,
) -> None:
    handler.set_status(outcome.status)
    handler.set_header(OUTCOME_HEADER, outcome_name)
    handler.set_header(CODE_HEADER, outcome.code)
    handler.set_header("Content-Type", "application/json")
    body = ErrorBody(outcome.code, outcome.detail, outcome_name, request_id)
    handler.write(msgspec.json.encode(body))


def _select_headers(request: HTTPServerRequest) -> tuple[Header, ...]:
    return tuple(
        Header(name, value)
        for name, value in request.headers.get_all()
        if name.lower() not in DROPPED_HEADERS
        and not name.lower().startswith(OWN_HEADER_PREFIX)
        and name.lower() != KEY_HEADER.lower()
    )
