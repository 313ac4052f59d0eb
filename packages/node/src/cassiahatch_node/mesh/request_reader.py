"""Reads requests from a client's connection, within limits and memory."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_node.mesh.body_memory import LARGE_BODY_BYTES, BodySpace
from cassiahatch_node.mesh.dialect import BadRequestError
from cassiahatch_node.mesh.http_messages import RawHeaders, RawRequest

if TYPE_CHECKING:
    from cassiahatch_node.mesh.http_server import ClientServer

MAX_PIPELINED = 16
"""Pipelined requests buffered on one connection before reading is paused."""
FIELD_OVERHEAD_BYTES = 4
"""Size of the colon, the space and the CRLF of a header field."""
FRAMING_BYTES_PER_BODY_BYTE = 8
"""Framing bytes that each byte of a body allows; a chunk of one byte takes six."""
BODILESS_METHODS = (b"GET", b"HEAD")
MEMORY_WAIT_S = 0.25
"""Time for which a body waits for memory before its request is rejected. Meanwhile the
client is not read from."""
MEMORY_RETRY_AFTER_S = 0.5
"""``Retry-After`` of requests whose bodies find no memory."""


class RequestReader:
    """Parses the requests of one connection, and admits their bodies.

    Parameters
    ----------
    server : ClientServer
        Provides the limits, the check of heads and the memory for bodies.
    on_change : callable
        Called when a request is complete or has failed, or ``is_full`` may have changed.
    send_continue : callable
        Asks a client that waits for it to send the body.
    """

    __slots__ = (
        "_body",
        "_body_size",
        "_framed_size",
        "_head_size",
        "_header_size",
        "_headers",
        "_is_checked",
        "_is_in_fields",
        "_max_header_bytes",
        "_memory_timer",
        "_message_began_at",
        "_on_change",
        "_parser",
        "_received_at",
        "_send_continue",
        "_server",
        "_space",
        "_target",
        "_unfinished_size",
        "_wanted_bytes",
        "failure",
        "is_in_body",
        "progressed_at",
        "requests",
        "started_at",
        "wants_continue",
    )

    def __init__(
        self,
        server: ClientServer,
        on_change: Callable[[], None],
        send_continue: Callable[[], None],
    ) -> None:
        self._server = server
        self._on_change = on_change
        self._send_continue = send_continue
        self._parser = httptools.HttpRequestParser(self)
        self.requests: deque[tuple[RawRequest, BodySpace | None]] = deque()
        """Completely received requests, each with the memory of its body."""
        self._space: BodySpace | None = None
        """Memory of the body that is being received."""
        self._wanted_bytes = 0
        """Size of the body that waits for memory; 0 if none does."""
        self._memory_timer: asyncio.TimerHandle | None = None
        self._headers: RawHeaders = []
        self._body = bytearray()
        self.failure: Rejection | None = None
        """Why the last request is not read to its end, or None."""
        self.started_at: float | None = None
        """Monotonic seconds at which the first byte of an incomplete request was read."""
        self.progressed_at = 0.0
        """Monotonic seconds at which the last part of the body was read, or the first
        byte of the request. Trailers are no progress, since they may be endless."""
        self.wants_continue = False
        """Whether the client waits to be asked for the body, which has to wait until
        earlier requests have been answered."""
        self._received_at = 0.0
        self._is_in_fields = False
        """Whether header fields or trailers are received, or a part of a chunk may be."""
        self.is_in_body = False
        """Whether a head has been read and its body has not."""
        self._header_size = 0
        """Size of the target, the header fields and the trailers."""
        self._head_size = 0
        """The same without the trailers; 0 before the end of the head."""
        self._unfinished_size = 0
        """Bytes received of an incomplete head, or of incomplete trailers, without the
        first segment."""
        self._framed_size = 0
        """Bytes received of the body and its framing, without the first segment."""

    @property
    def is_full(self) -> bool:
        """Whether a body waits for memory, or many requests wait."""
        return bool(self._wanted_bytes) or len(self.requests) >= MAX_PIPELINED

    def feed(self, data: bytes, now: float) -> None:
        """Parse received data and enforce the size limit of header fields and trailers."""
        self._received_at = now
        if self._is_in_fields:
            self._unfinished_size += len(data)
        if self.is_in_body:
            self._framed_size += len(data)
        try:
            self._parse(data)
        except (httptools.HttpParserError, BadRequestError):
            self.fail(Reason.BAD_REQUEST)
        if self._is_in_fields:
            unfinished_size = self._head_size + self._unfinished_size
            self._check_header_size(max(self._header_size, unfinished_size))
        if self.is_in_body:
            self._check_framing_size()

    def _parse(self, data: bytes) -> None:
        rest = memoryview(data)
        while True:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as error:
                rest = rest[error.args[0] :]
            self._ignore_upgrade()

    def _ignore_upgrade(self) -> None:
        """Read on after a head that offers to change the protocol.

        The parser takes what follows such a head for the other protocol. A parser that
        has not seen the offer reads it as the body.

        Raises
        ------
        BadRequestError
            If the request is for a tunnel (``CONNECT``), which needs the offer.
        """
        method = self._parser.get_method()
        if method == b"CONNECT":
            raise BadRequestError("CONNECT is not supported")
        version = self._parser.get_http_version()
        fields = [
            name + b": " + value + b"\r\n"
            for name, value in self._headers
            if name.lower() != b"upgrade"
        ]
        start = b"%s %s HTTP/%s\r\n" % (method, self._target, version.encode())
        self._parser = httptools.HttpRequestParser(self)
        received_at, self._received_at = self._received_at, self._message_began_at
        self._parser.feed_data(b"".join((start, *fields, b"\r\n")))
        self._received_at = received_at

    def pop(self) -> tuple[RawRequest, BodySpace | None]:
        """Remove and return the first request, with the memory of its body."""
        request = self.requests.popleft()
        self._on_change()
        return request

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        if self.failure is not None:
            return
        self._message_began_at = self._received_at
        self.started_at = self.progressed_at = self._received_at
        self.wants_continue = False
        self._is_checked = False
        self._headers = []
        self._body = bytearray()
        self._body_size = self._framed_size = 0
        self._header_size = self._head_size = 0
        self._unfinished_size = 0
        self._is_in_fields = True
        self._target = b""
        self._max_header_bytes = self._server.limits().max_header_bytes

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self.failure is None:
            self._target += url
            self._header_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the size of a header field or trailer, and store the header field.

        Trailers are dropped: as a header field, one could identify another team, or
        change the deadline of a request that has been checked. Fields beyond the limit
        are dropped too, since one segment may hold tens of thousands of empty ones.
        """
        self._header_size += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if self._header_size <= self._max_header_bytes and not self.is_in_body:
            self._headers.append((name, value))

    def on_chunk_header(self) -> None:
        """Count what follows as trailers, unless a part of the body follows.

        The parser does not tell the size of a chunk: trailers follow one of size 0.
        """
        self._is_in_fields = True
        self._unfinished_size = 0

    def on_headers_complete(self) -> None:
        """Check the size of the head, and admit the body if there is one."""
        self._is_in_fields = False
        self._head_size = self._header_size
        if self._parser.should_upgrade():
            return
        self.is_in_body = True
        self._check_header_size(self._header_size)
        if self.failure is None and self._parser.get_method() not in BODILESS_METHODS:
            self._admit_body(_find_body_size(self._headers))

    def _admit_body(self, size: int | None) -> None:
        """Reserve memory for the body, and let a client that waits for it send it.

        A request with a large body, or one of unknown size, is checked before the body
        is read.

        Parameters
        ----------
        size : int or None
            Size of the body; None if it is unknown.
        """
        expects_continue = _expects_continue(self._headers)
        if size is not None and not self._fits_limits(size):
            self.fail(Reason.BODY_TOO_LARGE)
            return
        if expects_continue or size is None or size > LARGE_BODY_BYTES:
            rejection = self._server.handler.check(self.make_request())
            if rejection is not None:
                self.failure = rejection
                self._on_change()
                return
            self._is_checked = True
        if size and not self._get_space().try_extend(size):
            self._wait_for_memory(size)
        elif expects_continue:
            self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the limits on its size and on the memory."""
        self._is_in_fields = False
        if self.failure is not None:
            return
        self.progressed_at = self._received_at
        self._body_size += len(body)
        if self._wanted_bytes or self._body_size <= self._get_space().size:
            self._body += body
        elif not self._fits_limits(self._body_size):
            self.fail(Reason.BODY_TOO_LARGE)
        elif self._get_space().try_extend(self._body_size):
            self._body += body
        else:
            self.fail(Reason.BODY_MEMORY_FULL, MEMORY_RETRY_AFTER_S)

    def on_message_complete(self) -> None:
        """Queue the request for the task, unless a limit was exceeded."""
        self._is_in_fields = False
        if self._header_size > self._head_size:
            self._check_header_size(self._header_size)
        if self.failure is not None or self._parser.should_upgrade():
            return
        self.stop_waiting_for_memory()
        self.is_in_body = False
        request = self.make_request()
        request.body, self._body = bytes(self._body), bytearray()
        request.is_checked = self._is_checked
        space, self._space = self._space, None
        self.requests.append((request, space))
        self.started_at = None
        self.wants_continue = False
        self._on_change()

    def make_request(self) -> RawRequest:
        """Return the request that is being received, without its body."""
        return RawRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"",
            self._message_began_at,
            self._parser.should_keep_alive(),
        )

    def _fits_limits(self, size: int) -> bool:
        """Return whether a body of this size may be sent at all."""
        server = self._server
        return size <= server.limits().max_body_bytes and (
            server.body_memory.can_ever_hold(size)
        )

    def _get_space(self) -> BodySpace:
        if self._space is None:
            self._space = BodySpace(self._server.body_memory)
        return self._space

    def _wait_for_memory(self, size: int) -> None:
        """Read no more until there is memory for the body, or reject its request."""
        self._wanted_bytes = size
        self._server.waiting_for_memory.append(self)
        self._on_change()
        self._memory_timer = asyncio.get_running_loop().call_later(
            MEMORY_WAIT_S, self.fail, Reason.BODY_MEMORY_FULL, MEMORY_RETRY_AFTER_S
        )

    def try_get_memory(self) -> bool:
        """Continue to read the body that waits for memory, if there is enough now."""
        if not self._get_space().try_extend(self._wanted_bytes):
            return False
        self.stop_waiting_for_memory()
        if _expects_continue(self._headers):
            self._send_continue()
        self._on_change()
        return True

    def stop_waiting_for_memory(self) -> None:
        """Give up the place in the queue for memory, if there is one."""
        if not self._wanted_bytes:
            return
        self._wanted_bytes = 0
        self._memory_timer.cancel()
        self._server.waiting_for_memory.remove(self)

    def release_memory(self) -> None:
        """Release the memory of requests that are not served, and read no more.

        The parser is dropped since it refers back to this object: such a cycle, and the
        fields and the body in it, would stay until the garbage collector runs.
        """
        spaces = [space for _, space in self.requests] + [self._space]
        self.requests.clear()
        self._headers = []
        self._body = bytearray()
        self._space = self._parser = None
        for space in spaces:
            if space is not None:
                space.release()

    def _check_header_size(self, size: int) -> None:
        if size > self._max_header_bytes:
            self.fail(Reason.HEADERS_TOO_LARGE)

    def _check_framing_size(self) -> None:
        """Limit the chunk sizes and their extensions, as far as the body needs fewer."""
        allowed_bytes = (1 + FRAMING_BYTES_PER_BODY_BYTE) * self._body_size
        if self._framed_size > allowed_bytes + self._server.max_framing_bytes:
            self.fail(Reason.HEADERS_TOO_LARGE)

    def fail(self, reason: Reason, retry_after_s: float = 0.0) -> None:
        """Read the current request no further, and no other one."""
        self.stop_waiting_for_memory()
        if self.failure is None:
            self.failure = Rejection(reason, retry_after_s)
            self._on_change()


def _find_body_size(headers: RawHeaders) -> int | None:
    """Return the size of the body that the headers announce, or None if they do not."""
    size: int | None = 0
    for name, value in headers:
        lower = name.lower()
        if lower == b"transfer-encoding":
            return None
        if lower == b"content-length" and value.strip().isdigit():
            size = int(value)
    return size


def _expects_continue(headers: RawHeaders) -> bool:
    return any(
        name.lower() == b"expect" and value.lower() == b"100-continue"
        for name, value in headers
    )
