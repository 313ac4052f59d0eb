"""Connections to the backend server: one task runs one job after the other on each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from types import TracebackType

import httptools

from cassiahatch_kernel.exchanges import Call, Lost, Reason, Rejection, Reply, Result
from cassiahatch_node.mesh.dialect import Dialect
from cassiahatch_node.mesh.http_messages import RawHeaders, RawResponse, ReplyFacts
from cassiahatch_node.mesh.open_answers import OpenAnswers

CONNECT_TIMEOUT_S = 1.0
"""A loopback connection that takes longer never comes."""
PROBE_TIMEOUT_S = 0.4
"""Longest time of a connection that only finds out whether somebody listens."""
DEFAULT_IDLE_S = 4.0
"""How long an unused connection is kept if the backend server does not say."""
IDLE_MARGIN_S = 1.0
"""How much sooner than the backend server this end lets go of an unused connection."""
FRESH_ENOUGH_S = 0.5
"""Longest idle time of a connection that carries a call which may not be repeated."""
MISDIRECTED = 421
MAX_STRAYS = 4
"""Answers to other requests passed over on one connection: a late one, or a second one
to each of a few requests."""


class BackendConnection(asyncio.Protocol):
    """One connection to the backend server; at most one request at a time."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_expects_no_body",
        "_headers",
        "_is_inside",
        "_is_until_end",
        "_open_answers",
        "_parser",
        "_received_bytes",
        "_responses",
        "_transport",
        "_waiter",
        "idle_timeout_s",
        "is_closed",
        "is_endless",
        "used_at",
    )

    def __init__(self, open_answers: OpenAnswers) -> None:
        self._open_answers = open_answers
        self._received_bytes = 0
        self._body_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[RawResponse | None] | None = None
        self._responses: list[RawResponse] = []
        self._expects_no_body = False
        self._is_until_end = False
        self._is_inside = False
        self._headers: RawHeaders = []
        self._body = bytearray()
        self.is_closed = False
        self.is_endless = False
        """Whether it was ended because its answer went beyond the bounds."""
        self.used_at = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_S

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End what waits for a response."""
        self.is_closed = True
        self._release()
        self._resolve(None)

    def eof_received(self) -> bool:
        """Complete a response that has no length and lasts until the end."""
        if self._is_until_end and self._waiter is not None:
            self._complete(keeps_alive=False)
        self.is_closed = True
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._waiter is None and not self._responses:
            self.close()
            return
        self._received_bytes += len(data)
        self._open_answers.held_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break_off()
            return
        if not self._open_answers.admits(self._received_bytes, self._body_bytes):
            self.is_endless = True
            self._break_off()

    def on_message_begin(self) -> None:
        """Begin a response."""
        self._headers = []
        self._body = bytearray()
        self._is_inside = True
        self._is_until_end = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header field."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        if self._expects_no_body and self._parser.get_status_code() >= 200:
            self._complete(keeps_alive=False)
            return
        names = {name.lower() for name, _ in self._headers}
        self._is_until_end = not names & {b"content-length", b"transfer-encoding"}

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body += body
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Hand the response to whoever waits."""
        self._is_inside = False
        if self._parser.get_status_code() >= 200 and not self._expects_no_body:
            self._complete(self._parser.should_keep_alive())

    def send(self, data: bytes, expects_no_body: bool) -> None:
        """Send a request."""
        self._release()
        self._expects_no_body = expects_no_body
        self._transport.write(data)

    async def read(self) -> RawResponse | None:
        """Return the next whole response, or None if none will come."""
        if self._responses:
            return self._responses.pop(0)
        if self.is_closed:
            return None
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            return await self._waiter
        finally:
            self._waiter = None

    @property
    def has_extra(self) -> bool:
        """Whether more came than answers to the requests that were sent."""
        return bool(self._responses) or self._is_inside

    def is_fresh(self, now: float, is_idempotent: bool) -> bool:
        """Tell whether the connection can be trusted with one more request."""
        bound_s = self.idle_timeout_s
        if not is_idempotent:
            bound_s = min(bound_s, FRESH_ENOUGH_S)
        return not self.is_closed and now - self.used_at <= bound_s

    def close(self) -> None:
        """End the connection at once; the backend server drops what it runs."""
        self.is_closed = True
        self._transport.abort()

    def _break_off(self) -> None:
        """End the connection; a whole answer that came before stays one."""
        self.close()
        if not self._responses:
            self._resolve(None)

    def _release(self) -> None:
        """Take in that nothing is held of an answer any more."""
        self._open_answers.held_bytes -= self._received_bytes
        self._received_bytes = 0
        self._body_bytes = 0

    def _complete(self, keeps_alive: bool) -> None:
        body, self._body = bytes(self._body), bytearray()
        status = self._parser.get_status_code()
        self._is_until_end = False
        self._resolve(RawResponse(status, self._headers, body, keeps_alive))

    def _resolve(self, response: RawResponse | None) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(response)
        elif response is not None:
            self._responses.append(response)


class BackendSign(Enum):
    """What a connection that carries nothing tells of the backend server."""

    ALIVE = auto()
    REFUSED = auto()
    """Nobody listens at its address."""
    SILENT = auto()


async def probe_backend(host: str, port: int) -> BackendSign:
    """Tell whether the backend server takes a connection."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            transport, _ = await loop.create_connection(asyncio.Protocol, host, port)
    except ConnectionRefusedError:
        return BackendSign.REFUSED
    except OSError:
        return BackendSign.SILENT
    transport.abort()
    return BackendSign.ALIVE


class BackendLine:
    """What one task uses to talk to the backend server; holds at most one connection.

    A context manager that ends the connection.

    Parameters
    ----------
    host, port : str, int
        Address of the backend server.
    dialect : Dialect
        Encoding of requests and responses.
    now : callable
        Returns clock seconds.
    open_answers : OpenAnswers
        Bounds what is held of answers, over all lines.
    """

    __slots__ = (
        "_aborts",
        "_connection",
        "_dialect",
        "_host",
        "_now",
        "_open_answers",
        "_port",
    )

    def __init__(
        self,
        host: str,
        port: int,
        dialect: Dialect,
        now: Callable[[], float],
        open_answers: OpenAnswers,
    ) -> None:
        self._open_answers = open_answers
        self._host = host
        self._port = port
        self._dialect = dialect
        self._now = now
        self._connection: BackendConnection | None = None
        self._aborts = 0

    def __enter__(self) -> BackendLine:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.abort()

    def abort(self) -> None:
        """End the connection; the backend server drops what it runs on it."""
        self._aborts += 1
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def drop_if_idle(self, now: float) -> None:
        """End a connection that the backend server is about to close."""
        connection = self._connection
        if connection is None:
            return
        if connection.is_closed or not connection.is_fresh(now, True):
            self.abort()

    async def run(self, call: Call, expires_at: float) -> Result:
        """Send a call to the backend server and wait for its whole answer.

        Returns
        -------
        Result
            How the call ended; a rejection only if it was certainly not run.
        """
        connection = self._connection
        if connection is None or not connection.is_fresh(
            self._now(), call.is_idempotent
        ):
            self.abort()
            aborts = self._aborts
            connection = await self._connect()
            if connection is None:
                return Rejection(Reason.NO_BACKEND, elsewhere=True)
            if self._aborts != aborts:
                connection.close()
                return Rejection(Reason.CLIENT_LEFT)
            self._connection = connection
        result, may_reuse = await self._exchange(connection, call, expires_at)
        connection.used_at = self._now()
        if not may_reuse:
            self.abort()
        return result

    async def _exchange(
        self, connection: BackendConnection, call: Call, expires_at: float
    ) -> tuple[Result, bool]:
        data = self._dialect.write_call(call, expires_at - self._now())
        connection.send(data, call.method == "HEAD")
        strays = 0
        while True:
            response = await connection.read()
            if response is None:
                is_endless = connection.is_endless
                reason = Reason.BACKEND_ENDLESS if is_endless else Reason.BACKEND_LOST
                return Lost(reason), False
            facts = self._dialect.read_reply(response)
            if not facts.request_id or facts.request_id == call.id:
                break
            strays += 1
            if strays > MAX_STRAYS:
                return Lost(Reason.BACKEND_ENDLESS), False
        if facts.idle_timeout_s is not None:
            connection.idle_timeout_s = max(0.0, facts.idle_timeout_s - IDLE_MARGIN_S)
        may_reuse = response.keeps_alive and not (strays or connection.has_extra)
        return _judge(call, response, facts), may_reuse

    async def _connect(self) -> BackendConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(self._open_answers),
                    self._host,
                    self._port,
                )
        except OSError:
            return None
        connection.used_at = self._now()
        return connection


def _judge(call: Call, response: RawResponse, facts: ReplyFacts) -> Result:
    if response.status == MISDIRECTED:
        return Rejection(Reason.MISDIRECTED, elsewhere=True)
    if facts.was_not_run:
        return Rejection(Reason.SHED, elsewhere=True)
    if not facts.is_whole or facts.request_id != call.id:
        return Lost(Reason.BACKEND_GARBLED)
    return Reply(response.status, facts.head, response.body)
