"""One HTTP/1.1 connection to the backend server, with its response parser."""

from __future__ import annotations

import asyncio
from collections import deque

import httptools

from cassiahatch_node.mesh.answer_memory import LARGE_ANSWER_BYTES, AnswerSpace
from cassiahatch_node.mesh.http_messages import RawHeaders, RawResponse
from cassiahatch_node.mesh.response_limits import ResponseLimits

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout of a connection if the backend server does not announce one."""
NON_IDEMPOTENT_MAX_IDLE_S = 0.5
"""Longest idle time of a connection that is reused for a non-idempotent call, which
can't be retried if the backend server closes the connection meanwhile."""

MIN_FINAL_STATUS = 200
"""Lowest status of a response that no other response to the same request follows."""
MAX_REJECTED_IDS = 128
"""Rejected calls that a connection remembers: more than are sent on it in the time in
which a call is sent again."""


READ_BYTES = 65_536
"""Most bytes that are read and parsed at once. A response in tiny chunks takes so much
processor time that larger reads, on many connections, would delay the event loop."""
_read_buffer = bytearray(READ_BYTES)
"""Bytes of the current read, of any connection: they are parsed before the next read."""


class BackendConnection(asyncio.BufferedProtocol):
    """A connection to the backend server that carries one request at a time."""

    __slots__ = (
        "_announced_bytes",
        "_body",
        "_body_bytes",
        "_counted_bytes",
        "_ends_at_close",
        "_expects_no_body",
        "_headers",
        "_in_head",
        "_in_response",
        "_parser",
        "_received_bytes",
        "_response_limits",
        "_responses",
        "_space",
        "_transport",
        "_waiter",
        "exceeded_limits",
        "idle_timeout_s",
        "is_closed",
        "rejected_ids",
        "used_at",
    )

    def __init__(self, response_limits: ResponseLimits) -> None:
        self._response_limits = response_limits
        self._received_bytes = 0
        self._body_bytes = 0
        self._announced_bytes = 0
        self._counted_bytes = 0
        """Bytes that count as received of an answer whose length is not known."""
        self._space: AnswerSpace | None = None
        """Memory for the body of a large answer whose length is known."""
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[RawResponse | None] | None = None
        self._responses: list[RawResponse] = []
        self._expects_no_body = False
        self._ends_at_close = False
        self._in_response = False
        self._in_head = False
        self._headers: RawHeaders = []
        self._body = bytearray()
        self.is_closed = False
        self.exceeded_limits = False
        """Whether the connection was closed because a response exceeded the limits."""
        self.rejected_ids: deque[str] = deque(maxlen=MAX_REJECTED_IDS)
        """Ids of the last calls that it has rejected here. They are sent again only on other
        connections, where a rejection that it repeats can't be taken for the answer."""
        self.used_at = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Resolve a pending read with None."""
        self.is_closed = True
        self._drop_response()
        # The parser refers back to this object, and such a cycle outlives many calls.
        self._parser = None
        self._resolve(None)

    def eof_received(self) -> bool:
        """Complete a response whose body is delimited by the end of the connection."""
        if self._ends_at_close and self._waiter is not None:
            self._complete(keeps_alive=False)
        self.is_closed = True
        return False

    def get_buffer(self, size_hint: int) -> bytearray:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, size: int) -> None:
        """Handle the bytes that were read into the buffer."""
        self.handle_data(memoryview(_read_buffer)[:size])

    def handle_data(self, data: memoryview | bytes) -> None:
        """Parse received data, and close the connection if it is invalid or too long.

        Data received while no response is expected also closes the connection.
        """
        if self._waiter is None and not self._responses:
            self.close()
            return
        self._received_bytes += len(data)
        if self._space is None:
            self._counted_bytes += len(data)
            self._response_limits.memory.receiving_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail_response()
            return
        if not self._response_limits.admits(
            self._received_bytes,
            self._body_bytes,
            self._announced_bytes,
            self._space is not None,
        ):
            self.exceeded_limits = True
            self._fail_response()

    def on_message_begin(self) -> None:
        """Start a response (parser callback)."""
        self._headers = []
        self._body = bytearray()
        self._in_response = self._in_head = True
        self._ends_at_close = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field (parser callback).

        Trailers are dropped: many short ones take more memory than they count, and as a
        header field one could say that a request was not run.
        """
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited (parser callback)."""
        self._in_head = False
        if self._is_informational:
            return
        if self._expects_no_body:
            self._complete(keeps_alive=False)
            return
        fields = {name.lower(): value for name, value in self._headers}
        self._ends_at_close = not fields.keys() & {
            b"content-length",
            b"transfer-encoding",
        }
        length = fields.get(b"content-length", b"").strip()
        self._announced_bytes = int(length) if length.isdigit() else 0
        max_bytes = self._response_limits.max_body_bytes
        if LARGE_ANSWER_BYTES < self._announced_bytes <= max_bytes:
            self._wait_for_memory()

    def _wait_for_memory(self) -> None:
        """Read the body of a large answer when there is memory for all of it."""
        memory = self._response_limits.memory
        memory.receiving_bytes -= self._counted_bytes
        self._counted_bytes = 0
        self._space = memory.request(self._announced_bytes, self._resume_reading)
        if not self._space.is_granted:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (parser callback)."""
        self._body += body
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is informational (parser callback)."""
        self._in_response = False
        if not (self._is_informational or self._expects_no_body):
            self._complete(self._parser.should_keep_alive())

    @property
    def _is_informational(self) -> bool:
        """Whether a final response follows the one that is received.

        One below 100 is invalid, and is final: a server that sends it sends no other.
        """
        return 100 <= self._parser.get_status_code() < MIN_FINAL_STATUS

    def send(self, head: bytes, expects_no_body: bool, body: bytes = b"") -> None:
        """Send a request."""
        self._release_buffered_bytes()
        self._expects_no_body = expects_no_body
        if body:
            self._transport.writelines((head, body))
        else:
            self._transport.write(head)

    async def read(self) -> RawResponse | None:
        """Return the next complete response, or None if the connection is closed."""
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
    def has_extra_data(self) -> bool:
        """Whether more responses arrived, or began, than requests were sent."""
        return bool(self._responses) or self._in_response

    def is_reusable(self, now: float, is_idempotent: bool) -> bool:
        """Return whether the connection may be reused for one more request."""
        bound_s = self.idle_timeout_s
        if not is_idempotent:
            bound_s = min(bound_s, NON_IDEMPOTENT_MAX_IDLE_S)
        return not self.is_closed and now - self.used_at <= bound_s

    def close(self) -> None:
        """Close the connection at once, so that the backend server drops its request."""
        self.is_closed = True
        self._drop_response()
        self._transport.abort()

    def _drop_response(self) -> None:
        """Free what was received of an incomplete response."""
        self._headers = []
        self._body = bytearray()
        self._release_buffered_bytes()

    def _fail_response(self) -> None:
        """Close the connection, and resolve a pending read with None.

        A complete response that came before remains available to ``read``.
        """
        self.close()
        if not self._responses:
            self._resolve(None)

    def _release_buffered_bytes(self) -> None:
        """Subtract this response from the bytes buffered of all incomplete responses."""
        memory, size = self._response_limits.memory, self._counted_bytes
        memory.receiving_bytes -= size
        self._counted_bytes = self._announced_bytes = 0
        self._received_bytes = self._body_bytes = 0
        space, self._space = self._space, None
        if space is not None and not space.is_granted:
            space.release()
        elif space is not None:
            # The waiting task runs before this, and accounts for the body from then on.
            asyncio.get_running_loop().call_soon(space.release)
        elif size:
            memory.share()

    def _complete(self, keeps_alive: bool) -> None:
        body, self._body = bytes(self._body), bytearray()
        status = self._parser.get_status_code()
        self._ends_at_close = False
        self._resolve(RawResponse(status, self._headers, body, keeps_alive))
        if self._space is not None and not self._space.is_granted:
            # A status without a body that announces one all the same.
            self._resume_reading()
        self._release_buffered_bytes()

    def _resolve(self, response: RawResponse | None) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(response)
        elif response is not None:
            self._responses.append(response)
