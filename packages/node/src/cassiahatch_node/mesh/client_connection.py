"""A client's HTTP connection, whose task serves its requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_kernel.routes import Limits
from cassiahatch_node.mesh.delivery import Delivery
from cassiahatch_node.mesh.pipeline import Pipeline
from cassiahatch_node.mesh.request_reader import RequestReader

if TYPE_CHECKING:
    from cassiahatch_node.mesh.client_requests import Answer
    from cassiahatch_node.mesh.http_server import ClientServer

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STOPPING_RETRY_AFTER_S = 1.5
"""``Retry-After`` while the node shuts down: the time until its next process accepts
requests."""
SENDING_S = 0.5
"""Time after a byte of a rejected request for which a stopping node waits for more."""
LINGER_S = 5.0
"""Time without a byte of a rejected request after which its connection is closed. Closing
it while the client sends would reset it, and the client might never see the response."""
MAX_LINGER_S = 30.0
"""Longest time for which the bytes of a rejected request are read and dropped."""
DELIVERY_CHECK_S = (0.01, 0.5)
"""Bounds of the pause between two checks of whether a client has got its last answer,
doubled each time."""


class ClientConnection(asyncio.Protocol):
    """A client connection, whose ``run`` task answers its requests in order."""

    __slots__ = (
        "_delivery",
        "_drained",
        "_is_busy",
        "_is_delivering",
        "_is_ending",
        "_is_paused",
        "_is_reported",
        "_pipeline",
        "_reader",
        "_request_ready",
        "_server",
        "_task",
        "_transport",
        "_unread_bytes",
        "closes",
        "last_data_at",
    )

    def __init__(self, server: ClientServer) -> None:
        self._server = server
        self._reader = RequestReader(server, self._on_change, self._send_continue)
        self._pipeline = Pipeline(server, self._reader)
        self._request_ready: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_busy = False
        self._is_paused = False
        self._is_ending = False
        """Whether no more requests are read."""
        self._is_delivering = False
        """Whether the last response has been written, or there will be none."""
        self._is_reported = False
        """Whether the answers that the client has not received have been reported."""
        self._unread_bytes = 0
        """Bytes that the client had not read at the last check."""
        self.closes = False
        """Whether the current response is the last one."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection and start its task."""
        self._transport = transport
        self._delivery = Delivery(transport)
        self.last_data_at = self._server.clock.monotonic()
        self._server.connections.add(self)
        if self._server.is_ending:
            self.end()
        self._task = asyncio.get_running_loop().create_task(self.run())
        self._task.add_done_callback(self._server.report_failure)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the task, since no response can be delivered."""
        self._server.connections.discard(self)
        self.report_undelivered("client_left")
        self._delivery.close()
        self._task.cancel()
        self._reader.stop_waiting_for_memory()
        self._reader.release_memory()

    def data_received(self, data: bytes) -> None:
        """Read requests, or drop what comes after the last one."""
        self.last_data_at = self._server.clock.monotonic()
        if not (self._reader.failure or self._is_ending or self._is_delivering):
            self._reader.feed(data, self.last_data_at)
            if self._is_busy:
                self._pipeline.open_early()

    def pause_writing(self) -> None:
        """Delay the next request while the write buffer is full."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Continue with the next request once the write buffer has drained."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def run(self) -> None:
        """Answer requests in order until the connection closes."""
        try:
            while await self._wait_for_request():
                self._is_busy = True
                await self._server.handler.send(self, await self._answer_next())
                self._is_busy = False
                self.last_data_at = self._server.clock.monotonic()
                if self.closes:
                    break
                await self.drain()
            if self._reader.failure is not None and not self.closes:
                self._reject(self._reader.failure)
            await self._deliver()
        finally:
            self._is_busy = False
            if self._delivery.is_lost:
                self.report_undelivered("client_left")
            self._pipeline.close()
            self._transport.close()

    async def _answer_next(self) -> Answer:
        """Return the answer to the oldest request, once there is one."""
        pipeline = self._pipeline
        answer = await pipeline.answer_next()
        self.closes = pipeline.is_front_last
        return answer

    def _reject(self, rejection: Rejection) -> None:
        """Respond to a request that is not read, and drop what still arrives of it."""
        reader = self._reader
        head = reader.make_request() if reader.is_in_body else None
        self._server.handler.reject(self, rejection, head)
        reader.started_at = None
        reader.release_memory()
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
        return self._reader.failure is not None and is_sending and now < ends_at

    def end(self) -> None:
        """Read no more requests, and close after the response to those that were read."""
        if self._reader.started_at is not None:
            self._reader.fail(Reason.STOPPING, STOPPING_RETRY_AFTER_S)
        self._is_ending = True
        self._delivery.hand_over()
        self._on_change()

    def write(self, data: bytes, expires_at: float) -> None:
        """Send a response to the client; read no more if it is the last one.

        Parameters
        ----------
        expires_at : float
            Monotonic seconds after which the client no longer waits for it.
        """
        self._is_busy = False
        self._delivery.record_answer(expires_at)
        self._transport.write(data)
        if self.closes:
            self._is_delivering = True
            self._update_reading()

    @property
    def is_clogged(self) -> bool:
        """Whether the client has more to read than the write buffer should hold."""
        return self._drained is not None

    async def drain(self) -> None:
        """Wait until the client has read most of what was written."""
        if self._drained is not None:
            self.last_data_at = self._server.clock.monotonic()
            await self._drained

    def is_open(self, now: float) -> bool:
        """Return whether a request is received, queued or served, or an answer awaited.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        return (
            self._is_busy
            or self.has_next_request
            or self._is_rejecting(now)
            or self._delivery.is_awaited(now)
        )

    def _is_rejecting(self, now: float) -> bool:
        """Return whether a request is being rejected, or still arrives all the same."""
        is_sending = now - self.last_data_at < SENDING_S
        return self._reader.failure is not None and (
            is_sending or not self._is_delivering
        )

    @property
    def has_next_request(self) -> bool:
        """Whether another request has been read, or a part of it that is read on."""
        reader = self._reader
        is_receiving = reader.started_at is not None and not self._is_ending
        return self._pipeline.has_early or bool(reader.requests) or is_receiving

    def check_timeouts(self, now: float, limits: Limits) -> None:
        """Close an idle connection, or fail one that sends a request too slowly."""
        if self._drained is not None or self._is_delivering:
            self._check_reader(now, limits)
            return
        reader = self._reader
        is_serving = self._is_busy or self._pipeline.has_early
        if is_serving or reader.requests or reader.failure is not None:
            return
        if reader.started_at is None:
            self._check_idle(now, limits)
        elif now - reader.progressed_at >= limits.header_timeout_s:
            reader.fail(Reason.SLOW_REQUEST)

    def _check_idle(self, now: float, limits: Limits) -> None:
        """End a connection whose client got its last answer an idle timeout ago."""
        self._check_reader(now, limits)
        is_idle = now - self.last_data_at >= limits.idle_timeout_s
        if is_idle and self._delivery.is_complete:
            self.end()

    def _check_reader(self, now: float, limits: Limits) -> None:
        """Close a connection whose client reads nothing, and waits for nothing.

        That is so after the idle timeout and its deadline. What the kernel holds is still sent, but not what the process holds.
        """
        delivery = self._delivery
        unread_bytes = 0 if delivery.is_complete else delivery.count_pending_bytes()
        if unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self.last_data_at = now
        elif (
            unread_bytes
            and now - self.last_data_at >= limits.idle_timeout_s
            and not delivery.is_awaited(now)
        ):
            self.report_undelivered("not_read")
            if self._transport.get_write_buffer_size():
                self._transport.abort()
            else:
                self._transport.close()

    def report_undelivered(self, reason: str) -> None:
        """Report the answers that the client has not received, if there are any.

        Parameters
        ----------
        reason : str
            Why the client will not receive them.
        """
        if self._is_reported:
            return
        delivery, pipeline = self._delivery, self._pipeline
        pending_bytes = delivery.count_pending_bytes()
        is_open = self._is_busy or not delivery.is_complete or delivery.is_lost
        request_ids = [pipeline.front_id] if is_open else []
        for request_id in filter(None, request_ids + pipeline.list_early_ids()):
            self._is_reported = True
            self._server.handler.record_undelivered(request_id, reason, pending_bytes)
            pending_bytes = 0

    async def _wait_for_request(self) -> bool:
        """Wait for a request; return False if the connection is to be closed instead."""
        reader = self._reader
        has_work = self._pipeline.has_early or reader.requests
        if not (has_work or reader.failure is not None or self._is_ending):
            if reader.wants_continue:
                # The time allowed for the request does not count the wait.
                reader.started_at = self._server.clock.monotonic()
                reader.progressed_at = reader.started_at
                self._send_continue()
            self._request_ready = asyncio.get_running_loop().create_future()
            await self._request_ready
        return self._pipeline.has_early or bool(reader.requests)

    def _update_reading(self) -> None:
        """Pause reading while the reader is full, and after the last request."""
        is_last = self._is_ending or self._is_delivering
        pauses = self._reader.is_full or (is_last and self._reader.failure is None)
        if pauses is self._is_paused or self._transport.is_closing():
            return
        self._is_paused = pauses
        if pauses:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _on_change(self) -> None:
        """Follow the reader: pause or resume reading, and wake the task."""
        self._update_reading()
        reader = self._reader
        if reader.requests or reader.failure is not None or self._is_ending:
            self._wake_task()

    def _send_continue(self) -> None:
        """Ask for a body, once nothing before its request is left to be answered.

        The client takes an interim response for one to its oldest request.
        """
        reader = self._reader
        reader.wants_continue = (
            self._is_busy or self._pipeline.has_early or bool(reader.requests)
        )
        if not reader.wants_continue:
            self._transport.write(CONTINUE)

    def _wake_task(self) -> None:
        waiter = self._request_ready
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
