"""Connections from clients: one task reads requests and writes answers."""

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
"""Requests read ahead on one connection before reading pauses."""
FIELD_OVERHEAD_BYTES = 4
"""The colon, the space and the line's end of a header field."""
BODILESS_METHODS = (b"GET", b"HEAD")
SWEEP_INTERVAL_S = 0.5
"""How often idle and slow connections are looked for."""

Serve = Callable[["ClientConnection", RawRequest], Awaitable[None]]
Reject = Callable[["ClientConnection", Reason], None]


class ClientConnection(asyncio.Protocol):
    """One connection; ``run`` serves its requests in order until it ends."""

    __slots__ = (
        "_began_at",
        "_body",
        "_body_size",
        "_fault",
        "_header_size",
        "_headers",
        "_is_busy",
        "_is_in_header",
        "_parser",
        "_requests",
        "_room",
        "_server",
        "_target",
        "_task",
        "_transport",
        "_unfinished_size",
        "_waiter",
        "closes",
        "heard_at",
    )

    def __init__(self, server: ClientServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[RawRequest] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None
        self._fault: Reason | None = None
        self._began_at: float | None = None
        self._is_busy = False
        self._is_in_header = False
        self._header_size = 0
        self._unfinished_size = 0
        """Bytes of a header whose end has not come, beyond those it began with."""
        self.closes = False
        """Whether the connection ends after the answer under way."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the task of the connection."""
        self._transport = transport
        self.heard_at = self._server.clock.monotonic()
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self.run())
        self._task.add_done_callback(self._server.check_end)

    def connection_lost(self, error: Exception | None) -> None:
        """End the task: nobody is left to answer."""
        self._server.connections.discard(self)
        self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        self.heard_at = self._server.clock.monotonic()
        if self._fault is not None:
            return
        if self._began_at is None:
            self._began_at = self.heard_at
        if self._is_in_header:
            self._unfinished_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault = self._fault or Reason.BAD_REQUEST
            self._wake()
        if self._is_in_header:
            self._check_header_size()

    def pause_writing(self) -> None:
        """Take in that the client reads slowly."""
        self._room = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Take in that the client has caught up."""
        if self._room is not None and not self._room.done():
            self._room.set_result(None)
        self._room = None

    async def run(self) -> None:
        """Serve one request after the other."""
        try:
            while (request := await self._read()) is not None:
                self._is_busy = True
                self.closes = not request.keeps_alive or self._server.is_stopping
                await self._server.serve(self, request)
                self._is_busy = False
                self.heard_at = self._server.clock.monotonic()
                if self.closes:
                    break
                if self._room is not None:
                    await self._room
            if self._fault is not None:
                self.closes = True
                self._server.reject(self, self._fault)
        finally:
            self._is_busy = False
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""
        self._transport.write(data)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being served or has been read."""
        return self._is_busy or bool(self._requests) or self._began_at is not None

    def check_time(self, now: float, limits: Limits) -> None:
        """End the connection if it is idle, or slow to send a request."""
        if self._is_busy or self._requests:
            return
        if self._began_at is None:
            if now - self.heard_at >= limits.idle_timeout_s:
                self._transport.close()
        elif now - self._began_at >= limits.header_timeout_s:
            body_is_moving = now - self.heard_at < limits.header_timeout_s
            if not (self._body_started() and body_is_moving):
                self._fail(Reason.SLOW_REQUEST)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._headers: RawHeaders = []
        self._body: list[bytes] = []
        self._body_size = 0
        self._header_size = 0
        self._unfinished_size = 0
        self._is_in_header = True
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url
        self._header_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header field."""
        self._headers.append((name, value))
        self._header_size += len(name) + len(value) + FIELD_OVERHEAD_BYTES

    def on_headers_complete(self) -> None:
        """Check the header, and answer a client that waits to send the body."""
        self._is_in_header = False
        self._check_header_size()
        if self._parser.get_method() not in BODILESS_METHODS and _expects_continue(
            self._headers
        ):
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body.append(body)
        self._body_size += len(body)
        if self._body_size > self._server.limits().max_body_bytes:
            self._fail(Reason.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Hand the request to the task, unless it went beyond a limit."""
        if self._fault is not None:
            return
        parser = self._parser
        parts = self._body
        self._requests.append(
            RawRequest(
                parser.get_method().decode("latin-1"),
                self._target.decode("latin-1"),
                self._headers,
                parts[0] if len(parts) == 1 else b"".join(parts),
                self.heard_at,
                parser.should_keep_alive(),
            )
        )
        self._began_at = None
        if len(self._requests) >= MAX_PIPELINED:
            self._transport.pause_reading()
        self._wake()

    async def _read(self) -> RawRequest | None:
        if not self._requests and self._fault is None:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        if not self._requests:
            return None
        request = self._requests.popleft()
        if len(self._requests) == MAX_PIPELINED - 1:
            self._transport.resume_reading()
        return request

    def _check_header_size(self) -> None:
        size = max(self._header_size, self._unfinished_size)
        if size > self._server.limits().max_header_bytes:
            self._fail(Reason.HEADERS_TOO_LARGE)

    def _body_started(self) -> bool:
        return bool(getattr(self, "_body", None))

    def _fail(self, fault: Reason) -> None:
        if self._fault is None:
            self._fault = fault
            self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


class ClientServer:
    """The listening socket for clients, and the connections taken on it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : callable
        Returns the limits in force.
    serve : callable
        Serves one request and writes the answer.
    reject : callable
        Answers bytes that are no acceptable request.
    on_error : callable
        Hears of a connection whose task failed.
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
        """Start to take connections."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=backlog
        )

    def check_end(self, task: asyncio.Task[None]) -> None:
        """Report a task that ended with an error."""
        if not task.cancelled() and task.exception() is not None:
            self.on_error(task.exception())

    @property
    def busy_count(self) -> int:
        """Connections with a request under way."""
        return sum(connection.is_busy for connection in self.connections)

    async def sweep(self) -> None:
        """Look for idle and slow connections, for ever."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now, limits = self.clock.monotonic(), self.limits()
            for connection in list(self.connections):
                connection.check_time(now, limits)


def _expects_continue(headers: RawHeaders) -> bool:
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in headers
    )
