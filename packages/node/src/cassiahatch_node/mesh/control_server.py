"""HTTP endpoints for announcements, readiness probes and metrics, but not calls."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from cassiahatch_kernel.errors import CodedError
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import Announcement, Leave
from cassiahatch_node.observability.metrics import Metrics

METRICS_PATH = "/metrics"
MAX_BODY_BYTES = 65_536


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of an error response."""

    error: str
    detail: str


@dataclass(slots=True)
class ControlService:
    """The parts of the node that the endpoints need."""

    codec: Any
    """The plug-in that defines the paths and bodies of announcements."""
    metrics: Metrics
    journal: Journal
    is_ready: Callable[[], bool]
    handle_announcement: Callable[[Announcement], Awaitable[bool]]
    handle_leave: Callable[[Leave], Awaitable[bool]]
    open_count: int = 0
    """Number of requests that have not been answered."""


def start_control_server(
    service: ControlService, host: str, port: int, takes_announcements: bool
) -> HTTPServer:
    """Serve the endpoints to the platform and the backend server.

    Parameters
    ----------
    takes_announcements : bool
        Whether this is the address for announcements, which only processes on the same
        VM can reach.
    """
    server = HTTPServer(
        lambda request: asyncio.ensure_future(
            _serve_request(service, request, takes_announcements)
        ),
        max_body_size=MAX_BODY_BYTES,
    )
    server.listen(port, host)
    return server


async def _serve_request(
    service: ControlService, request: HTTPServerRequest, takes_announcements: bool
) -> None:
    service.open_count += 1
    try:
        await _handle_request(service, request, takes_announcements)
    finally:
        service.open_count -= 1


async def _handle_request(
    service: ControlService, request: HTTPServerRequest, takes_announcements: bool
) -> None:
    try:
        status, body = await _dispatch(service, request, takes_announcements)
    except CodedError as error:
        service.journal.trace(
            "bad_control_request", reason=error.code, error=error.detail
        )
        body = msgspec.json.encode(ErrorBody(error.code, error.detail))
        status = error.status
    headers = HTTPHeaders({"Content-Length": str(len(body))})
    headers["Content-Type"] = "application/json"
    if request.path == METRICS_PATH:
        headers["Content-Type"] = "text/plain; version=0.0.4"
    connection = request.connection
    if connection.stream.closed():
        return
    connection.write_headers(ResponseStartLine("HTTP/1.1", status, ""), headers, body)
    connection.finish()


async def _dispatch(
    service: ControlService, request: HTTPServerRequest, takes_announcements: bool
) -> tuple[int, bytes]:
    path = request.path
    if request.method == "GET":
        if service.codec.is_readiness(path):
            return (200 if service.is_ready() else 503), b"{}"
        if path == METRICS_PATH:
            return 200, service.metrics.render().encode()
    elif request.method == "POST" and takes_announcements:
        instance = service.codec.find_heartbeat(path)
        if instance is not None:
            announcement = service.codec.decode(instance, request.body)
            return (
                200 if await service.handle_announcement(announcement) else 503
            ), b"{}"
        instance = service.codec.find_leave(path)
        if instance is not None:
            leave = service.codec.decode_leave(instance, request.body)
            return (200 if await service.handle_leave(leave) else 503), b"{}"
    return 404, msgspec.json.encode(ErrorBody("unknown_path", path))
