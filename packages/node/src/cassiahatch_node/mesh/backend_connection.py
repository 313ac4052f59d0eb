"""One connection to the backend server, and the answers that come on it."""

from __future__ import annotations

import asyncio

import httptools

from cassiahatch_node.mesh.answer_buffers import AnswerBuffers
from cassiahatch_node.mesh.http_messages import RawHeaders, RawResponse

DEFAULT_IDLE_S = 4.0
"""How long an unused connection is kept if the backend server does not say."""
FRESH_ENOUGH_S = 0.5
"""Longest idle time of a connection that carries a call which may not be repeated."""


class BackendConnection(asyncio.Protocol):
    """One connection to the backend server; at most one request at a time."""

    __slots__ = (
        "_body",
        "_body_bytes",
        "_expects_no_body",
        "_headers",
        "_is_inside",
        "_is_until_end",
        "_answer_buffers",
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

    def __init__(self, answer_buffers: AnswerBuffers) -> None:
        self._answer_buffers = answer_buffers
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
        self._answer_buffers.buffered_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break_off()
            return
        if not self._answer_buffers.admits(self._received_bytes, self._body_bytes):
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
        self._answer_buffers.buffered_bytes -= self._received_bytes
        self._received_bytes = 0
        self._body_bytes = 0

    def _complete(self, keeps_alive: bool) -> None:
        body, self._body = bytes(self._body), bytearray()
        status = self._parser.get_status_code()
        self._is_until_end = False
        self._release()
        self._resolve(RawResponse(status, self._headers, body, keeps_alive))

    def _resolve(self, response: RawResponse | None) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(response)
        elif response is not None:
            self._responses.append(response)
