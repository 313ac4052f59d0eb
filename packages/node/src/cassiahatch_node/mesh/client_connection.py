"""A client's HTTP connection, whose task serves its requests."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import nullcontext
from typing import TYPE_CHECKING

import httptools

from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_kernel.routes import Limits
from cassiahatch_node.mesh.body_memory import LARGE_BODY_BYTES, BodySpace
from cassiahatch_node.mesh.delivery import Delivery
from cassiahatch_node.mesh.http_messages import RawHeaders, RawRequest

if TYPE_CHECKING:
    from cassiahatch_node.mesh.http_server import ClientServer

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED = 16
"""Pipelined requests buffered on one connection before reading is paused."""
FIELD_OVERHEAD_BYTES = 4
"""Size of the colon, the space and the CRLF of a header field."""
BODILESS_METHODS = (b"GET", b"HEAD")
MEMORY_WAIT_S = 0.25
"""Time for which a body waits for memory before its request is rejected. Meanwhile the
client is not read from."""
MEMORY_RETRY_AFTER_S = 0.5
"""``Retry-After`` of requests whose bodies find no memory."""
STOPPING_RETRY_AFTER_S = 1.5
"""``Retry-After`` while the node shuts down: the time until its next process accepts
requests."""
LINGER_S = 5.0
"""Time without a byte of a rejected request after which its connection is closed. Closing
it while the client sends would reset it, and the client might never see the response."""
MAX_LINGER_S = 30.0
"""Longest time for which the bytes of a rejected request are read and dropped."""
DELIVERY_CHECK_S = (0.01, 0.5)
"""Bounds of the pause between two checks of whether a client has got its last answer,
doubled each time."""


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
        "_is_checked",
        "_is_delivering",
        "_is_ending",
        "_is_in_body",
        "_is_in_header",
        "_is_paused",
        "_memory_timer",
        "_message_began_at",
        "_parser",
        "_requests",
        "_space",
        "_wanted_bytes",
        "_delivery",
        "_drained",
        "_server",
        "_target",
        "_task",
        "_transport",
        "_unfinished_size",
        "_unread_bytes",
        "_request_ready",
        "closes",
        "last_data_at",
        "request_id",
    )

    def __init__(self, server: ClientServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[tuple[RawRequest, BodySpace | None]] = deque()
        """Completely received requests, each with the memory of its body."""
        self._space: BodySpace | None = None
        """Memory of the body that is being received."""
        self._wanted_bytes = 0
        """Size of the body that waits for memory; 0 if none does."""
        self._memory_timer: asyncio.TimerHandle | None = None
        self._request_ready: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._failure: Rejection | None = None
        self._request_started_at: float | None = None
        self._is_busy = False
        self._is_in_header = False
        self._is_in_body = False
        """Whether a head has been read and its body has not."""
        self._is_paused = False
        self._is_ending = False
        """Whether no more requests are read."""
        self._is_delivering = False
        """Whether the last response has been written, or there will be none."""
        self._header_size = 0
        self._unfinished_size = 0
        """Bytes received of an incomplete header, without its first segment."""
        self._unread_bytes = 0
        """Bytes that the client had not read at the last check."""
        self.closes = False
        """Whether the current response is the last one."""
        self.request_id = ""
        """Id of the request that is served, or was served last."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its task."""
        self._transport = transport
        self._delivery = Delivery(transport)
        self.last_data_at = self._server.clock.monotonic()
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self.run())
        self._task.add_done_callback(self._server.report_failure)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the task, since no response can be delivered."""
        self._server.connections.discard(self)
        self.report_undelivered("client_left")
        self._delivery.close()
        self._task.cancel()
        self._stop_waiting_for_memory()
        self._release_memory()

    def data_received(self, data: bytes) -> None:
        """Parse received data and enforce the header size limit."""
        self.last_data_at = self._server.clock.monotonic()
        if self._failure is not None or self._is_ending or self._is_delivering:
            return
        if self._is_in_header:
            self._unfinished_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(Reason.BAD_REQUEST)
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
            while await self._wait_for_request():
                self._is_busy = True
                await self._serve_next()
                self._is_busy = False
                self.last_data_at = self._server.clock.monotonic()
                if self.closes:
                    break
                await self.drain()
            if self._failure is not None and not self.closes:
                self._reject(self._failure)
            await self._deliver()
        finally:
            self._is_busy = False
            self._transport.close()

    async def _serve_next(self) -> None:
        request, space = self._requests.popleft()
        self._update_reading()
        with space or nullcontext():
            self.closes = not request.keeps_alive
            await self._server.serve(self, request)

    def _reject(self, rejection: Rejection) -> None:
        """Respond to a request that is not read, and drop what still arrives of it."""
        head = self._make_request() if self._is_in_body else None
        self._server.reject(self, rejection, head)
        self._request_started_at = None
        self._release_memory()
        self._update_reading()

    async def _deliver(self) -> None:
        """Wait until the client has got the last response.

        If the connection were closed earlier, the end of the process or a reset could
        take what is on its way. The client of a rejected request may read the response
        only when it has sent everything, so that is read until it closes.
        """
        if self._transport.is_closing():
            return
        self._is_delivering = True
        self._update_reading()
        self._transport.write_eof()
        ends_at = self._server.clock.monotonic() + MAX_LINGER_S
        pause_s, max_pause_s = DELIVERY_CHECK_S
        while not self._delivery.is_complete or self._is_lingering(ends_at):
            await asyncio.sleep(pause_s)
            pause_s = min(max_pause_s, 2 * pause_s)

    def _is_lingering(self, ends_at: float) -> bool:
        """Return whether the rest of a rejected request may still arrive."""
        now = self._server.clock.monotonic()
        is_sending = now - self.last_data_at < LINGER_S
        return self._failure is not None and is_sending and now < ends_at

    def end(self) -> None:
        """Read no more requests, and close after the response to those that were read."""
        if self._request_started_at is not None:
            self._fail(Reason.STOPPING, STOPPING_RETRY_AFTER_S)
        self._is_ending = True
        self._update_reading()
        self._wake_task()

    def write(self, data: bytes) -> None:
        """Send bytes to the client."""
        self._delivery.record_write()
        self._transport.write(data)

    @property
    def is_clogged(self) -> bool:
        """Whether the client has more to read than the write buffer should hold."""
        return self._drained is not None

    async def drain(self) -> None:
        """Wait until the client has read most of what was written."""
        if self._drained is not None:
            self.last_data_at = self._server.clock.monotonic()
            await self._drained

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received, queued, served or its answer read."""
        return (
            self._is_busy
            or self.has_next_request
            or self._failure is not None
            or not self._delivery.is_complete
        )

    @property
    def has_next_request(self) -> bool:
        """Whether another request has been read, or a part of it that is read on."""
        is_receiving = self._request_started_at is not None and not self._is_ending
        return bool(self._requests) or is_receiving

    def check_timeouts(self, now: float, limits: Limits) -> None:
        """Close an idle connection, or fail one that sends a request too slowly."""
        if self._drained is not None or self._is_delivering:
            self._check_reader(now, limits)
            return
        if self._is_busy or self._requests or self._failure is not None:
            return
        if self._request_started_at is None:
            self._check_reader(now, limits)
            is_idle = now - self.last_data_at >= limits.idle_timeout_s
            if is_idle and self._delivery.is_complete:
                self._transport.close()
        elif now - self._request_started_at >= limits.header_timeout_s:
            is_receiving_body = now - self.last_data_at < limits.header_timeout_s
            if not (self._has_body_started() and is_receiving_body):
                self._fail(Reason.SLOW_REQUEST)

    def _check_reader(self, now: float, limits: Limits) -> None:
        """Close a connection whose client has read nothing for the idle timeout.

        What the kernel holds is still sent, but not what the process holds.
        """
        delivery = self._delivery
        unread_bytes = 0 if delivery.is_complete else delivery.count_pending_bytes()
        if unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self.last_data_at = now
        elif unread_bytes and now - self.last_data_at >= limits.idle_timeout_s:
            self.report_undelivered("not_read")
            if self._transport.get_write_buffer_size():
                self._transport.abort()
            else:
                self._transport.close()

    def report_undelivered(self, reason: str) -> None:
        """Report an answer that the client has not received, if there is one.

        Parameters
        ----------
        reason : str
            Why the client will not receive it.
        """
        is_open = self._is_busy or not self._delivery.is_complete
        if self.request_id and is_open:
            pending_bytes = self._delivery.count_pending_bytes()
            self._server.on_undelivered(self.request_id, reason, pending_bytes)
            self.request_id = ""

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._message_began_at = self.last_data_at
        self._request_started_at = self.last_data_at
        self._is_checked = False
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
        """Check the size of the head, and admit the body if there is one."""
        self._is_in_header = False
        self._is_in_body = True
        self._check_header_size(self._header_size)
        if self._failure is None and (
            self._parser.get_method() not in BODILESS_METHODS
        ):
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
            self._fail(Reason.BODY_TOO_LARGE)
            return
        if expects_continue or size is None or size > LARGE_BODY_BYTES:
            rejection = self._server.check(self._make_request())
            if rejection is not None:
                self._failure = rejection
                self._wake_task()
                return
            self._is_checked = True
        if size and not self._get_space().try_extend(size):
            self._wait_for_memory(size)
        elif expects_continue:
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the limits on its size and on the memory."""
        if self._failure is not None:
            return
        self._body_size += len(body)
        if self._wanted_bytes or self._body_size <= self._get_space().size:
            self._body.append(body)
        elif not self._fits_limits(self._body_size):
            self._fail(Reason.BODY_TOO_LARGE)
        elif self._get_space().try_extend(self._body_size):
            self._body.append(body)
        else:
            self._fail(Reason.BODY_MEMORY_FULL, MEMORY_RETRY_AFTER_S)

    def on_message_complete(self) -> None:
        """Queue the request for the task, unless a limit was exceeded."""
        if self._failure is not None:
            return
        self._stop_waiting_for_memory()
        self._is_in_body = False
        parts, self._body = self._body, []
        request = self._make_request()
        request.body = parts[0] if len(parts) == 1 else b"".join(parts)
        request.is_checked = self._is_checked
        space, self._space = self._space, None
        self._requests.append((request, space))
        self._request_started_at = None
        self._update_reading()
        self._wake_task()

    def _make_request(self) -> RawRequest:
        """Return the request that is being received, without its body."""
        return RawRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            b"",
            self._message_began_at,
            self._parser.should_keep_alive(),
        )

    async def _wait_for_request(self) -> bool:
        """Wait for a request; return False if the connection is to be closed instead."""
        if not (self._requests or self._failure is not None or self._is_ending):
            self._request_ready = asyncio.get_running_loop().create_future()
            await self._request_ready
        return bool(self._requests)

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
        self._update_reading()
        self._memory_timer = asyncio.get_running_loop().call_later(
            MEMORY_WAIT_S, self._fail, Reason.BODY_MEMORY_FULL, MEMORY_RETRY_AFTER_S
        )

    def try_get_memory(self) -> bool:
        """Continue to read the body that waits for memory, if there is enough now."""
        if not self._get_space().try_extend(self._wanted_bytes):
            return False
        self._stop_waiting_for_memory()
        if _expects_continue(self._headers):
            self._transport.write(CONTINUE)
        self._update_reading()
        return True

    def _stop_waiting_for_memory(self) -> None:
        if not self._wanted_bytes:
            return
        self._wanted_bytes = 0
        self._memory_timer.cancel()
        self._server.waiting_for_memory.remove(self)

    def _release_memory(self) -> None:
        """Release the memory of bodies that are not served."""
        spaces = [space for _, space in self._requests] + [self._space]
        self._requests.clear()
        self._body = []
        self._space = None
        for space in spaces:
            if space is not None:
                space.release()

    def _update_reading(self) -> None:
        """Pause reading while a body waits for memory, or many requests wait."""
        is_full = bool(self._wanted_bytes) or len(self._requests) >= MAX_PIPELINED
        is_last = self._is_ending or self._is_delivering
        pauses = is_full or (is_last and self._failure is None)
        if pauses is self._is_paused or self._transport.is_closing():
            return
        self._is_paused = pauses
        if pauses:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _check_header_size(self, size: int) -> None:
        if size > self._server.limits().max_header_bytes:
            self._fail(Reason.HEADERS_TOO_LARGE)

    def _has_body_started(self) -> bool:
        return bool(getattr(self, "_body", None))

    def _fail(self, reason: Reason, retry_after_s: float = 0.0) -> None:
        self._stop_waiting_for_memory()
        if self._failure is None:
            self._failure = Rejection(reason, retry_after_s)
            self._wake_task()

    def _wake_task(self) -> None:
        waiter = self._request_ready
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


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
