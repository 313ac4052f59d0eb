"""HTTP server for clients, with one task for each connection."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Reason
from cassiahatch_kernel.routes import Limits
from cassiahatch_node.mesh.http_messages import RawHeaders, RawRequest

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED = 16
"""Pipelined requests buffered on one connection before reading is paused."""
FIELD_OVERHEAD_BYTES = 4
"""Size of the colon, the space and the CRLF of a header field."""
BODILESS_METHODS = (b"GET", b"HEAD")
SWEEP_INTERVAL_S = 0.5
"""Interval at which connections are checked for timeouts."""

Serve = Callable[["ClientConnection", RawRequest], Awaitable[None]]
Reject = Callable[["ClientConnection", Reason], None]


class ClientConnection(asyncio.Protocol):
    """A client connection, whose ``run`` task serves its requests in order."""

    __slots__ = (
        "_request_started_at",
        "_body",
        "_body_size",
        "_failure",
        "_header_size",
        "_headers",
        "_is_busy",
        "_is_in_header",
        "_parser",
        "_requests",
        "_drained",
        "_server",
        "_target",
        "_task",
        "_transport",
        "_unfinished_size",
        "_request_ready",
        "closes",
        "last_data_at",
    )

    def __init__(self, server: ClientServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[RawRequest] = deque()
        self._request_ready: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._failure: Reason | None = None
        self._request_started_at: float | None = None
        self._is_busy = False
        self._is_in_header = False
        self._header_size = 0
        self._unfinished_size = 0
        """Bytes received of an incomplete header, without its first segment."""
        self.closes = False
        """Whether the connection is closed after the current response."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its task."""
        self._transport = transport
        self.last_data_at = self._server.clock.monotonic()
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self.run())
        self._task.add_done_callback(self._server.report_failure)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the task, since no response can be delivered."""
        self._server.connections.discard(self)
        self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received data and enforce the header size limit."""
        self.last_data_at = self._server.clock.monotonic()
        if self._failure is not None:
            return
        if self._request_started_at is None:
            self._request_started_at = self.last_data_at
        if self._is_in_header:
            self._unfinished_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._failure = self._failure or Reason.BAD_REQUEST
            self._wake_task()
        if self._is_in_header:
            self._check_header_size(max(self._header_size, self._unfinished_size))

    def pause_writing(self) -> None:
        """Delay the next request while the write buffer is full."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Continue with the next request once the write buffer has drained."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def run(self) -> None:
        """Serve requests in order until the connection closes."""
        try:
            while (request := await self._read()) is not None:
                self._is_busy = True
                self.closes = not request.keeps_alive or self._server.is_stopping
                await self._server.serve(self, request)
                self._is_busy = False
                self.last_data_at = self._server.clock.monotonic()
                if self.closes:
                    break
                if self._drained is not None:
                    await self._drained
            if self._failure is not None:
                self.closes = True
                self._server.reject(self, self._failure)
        finally:
            self._is_busy = False
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""
        self._transport.write(data)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received, queued or served."""
        return (
            self._is_busy
            or bool(self._requests)
            or self._request_started_at is not None
        )

    def check_timeouts(self, now: float, limits: Limits) -> None:
        """Close an idle connection, or fail one that sends a request too slowly."""
        if self._is_busy or self._requests:
            return
        if self._request_started_at is None:
            if now - self.last_data_at >= limits.idle_timeout_s:
                self._transport.close()
        elif now - self._request_started_at >= limits.header_timeout_s:
            is_receiving_body = now - self.last_data_at < limits.header_timeout_s
            if not (self._has_body_started() and is_receiving_body):
                self._fail(Reason.SLOW_REQUEST)

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._header_size = 0
        self._unfinished_size = 0
        self._is_in_header = True
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._header_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field and count its size."""
        self._headers.append((name, value))
        self._header_size += len(name) + len(value) + FIELD_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Check the header size, and send ``100 Continue`` if the client expects it."""
        self._is_in_header = False
        self._check_header_size(self._header_size)
        if self._parser.get_method() not in BODILESS_METHODS and _expects_continue(
            self._headers
        ):
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body and enforce the body size limit."""
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self._server.limits().max_body_bytes:
            self._fail(Reason.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Queue the request for the task, unless a limit was exceeded."""
        if self._failure is not None:
            return
        parser = self._parser
        parts = self._body
        self._requests.append(
            RawRequest(
                parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                self._headers,
                parts[0] if len(parts) == 1 else b"".join(parts),
                self.last_data_at,
                parser.should_keep_alive(),
            )
        )
        self._request_started_at = None
        if len(self._requests) >= MAX_PIPELINED:
            self._transport.pause_reading()
        self._wake_task()

    async def _read(self) -> RawRequest | None:
        if not self._requests and self._failure is None:
            self._request_ready = asyncio.get_running_loop().create_future()
            await self._request_ready
        if not self._requests:
            return None
        request = self._requests.popleft()
        if len(self._requests) == MAX_PIPELINED - 1:
            self._transport.resume_reading()
        return request

    def _check_header_size(self, size: int) -> None:
        if size > self._server.limits().max_header_bytes:
            self._fail(Reason.HEADERS_TOO_LARGE)

    def _has_body_started(self) -> bool:
        return bool(getattr(self, "_body", None))

    def _fail(self, failure: Reason) -> None:
        if self._failure is None:
            self._failure = failure
            self._wake_task()

    def _wake_task(self) -> None:
        waiter = self._request_ready
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


class ClientServer:
    """Listening socket for clients, and the connections accepted on it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : callable
        Returns the current limits.
    serve : callable
        Serves one request and writes the response.
    reject : callable
        Responds to malformed, oversized or slow requests.
    on_error : callable
        Called with the exception of a connection task that failed.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], Limits],
        serve: Serve,
        reject: Reject,
        on_error: Callable[[BaseException], None],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.serve = serve
        self.reject = reject
        self.on_error = on_error
        self.connections: set[ClientConnection] = set()
        self.is_stopping = False

    async def listen(self, host: str, port: int, backlog: int) -> asyncio.Server:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=backlog
        )

    def report_failure(self, task: asyncio.Task[None]) -> None:
        """Pass the exception of a failed task to ``on_error``."""
        if not task.cancelled() and task.exception() is not None:
            self.on_error(task.exception())

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self.connections)

    async def sweep(self) -> None:
        """Check all connections for timeouts periodically, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now, limits = self.clock.monotonic(), self.limits()
            for connection in list(self.connections):
                connection.check_timeouts(now, limits)


def _expects_continue(headers: RawHeaders) -> bool:
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in headers
    )
