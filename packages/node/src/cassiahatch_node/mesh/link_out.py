"""The calling end of a link: one outbound connection that multiplexes many calls."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    Call,
    Indeterminate,
    Load,
    Reason,
    Rejection,
    Reply,
    Result,
)
from cassiahatch_node.mesh.answer_memory import AnswerMemory
from cassiahatch_node.mesh.body_memory import LARGE_BODY_BYTES
from cassiahatch_node.mesh.frames import (
    BODY_PART_BYTES,
    LINK_VERSION,
    BadFrameError,
    BodyFrame,
    CallFrame,
    CancelFrame,
    ClearFrame,
    CrashFrame,
    Frame,
    FrameDecoder,
    Hello,
    LoadFrame,
    ProbeFrame,
    QuotaGrantFrame,
    QuotaRequestFrame,
    ReaderFrame,
    ResultFrame,
    TakeFrame,
    UpdateFrame,
    encode_frame,
)
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.partial_replies import PartialReplies

CONNECT_TIMEOUT_S = 0.6
"""Twice the longest TCP handshake between zones with one lost packet."""
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds of the backoff between attempts to connect, doubled after each attempt."""
HELLO_TIMEOUT_S = 1.0
"""Time allowed from the connection to the peer's ``Hello``."""
PROBE_AFTER_S = 0.4
"""Silence after which a link with pending calls is probed."""
PROBE_TIMEOUT_S = 0.6
"""Time without an answer to a probe after which the link is closed."""
IDLE_PROBE_AFTER_S = 5.0
"""Silence after which a link without pending calls is probed. It is longer because no
caller waits on such a link, and a large fleet has thousands of them."""


@dataclass(slots=True)
class LinkCallbacks:
    """Callbacks by which a link reports to its owner."""

    on_load: Callable[[str, Load], None]
    on_path_report: Callable[[str, float, float], None]
    """Called with the route of each result, and the cutoff and the used share of the
    retry budget that the result reported."""
    on_update: Callable[[UpdateFrame], None]
    make_update: Callable[[Hello], UpdateFrame | None]
    """Returns what the sender of a ``Hello`` lacks, or None if it is up to date."""
    make_hello: Callable[[], Hello]
    on_hello: Callable[[Hello], None]
    """Called with each ``Hello``, which also says when the peer's copies were current."""
    on_crash: Callable[[CrashFrame | ClearFrame], None]
    on_readiness_change: Callable[[str], None]
    """Called with the peer's id when the link becomes ready, and when it is lost."""
    on_quota_grant: Callable[[str, QuotaGrantFrame], None] | None = None
    """Called with the id of the peer and its answer; None if quotas are not enforced."""


class PeerLink(asyncio.Protocol):
    """The outbound connection to one peer; ``run`` is the peer's task.

    Results are matched to calls by a number that is never reused, so a late result is
    never taken for that of another call.

    Parameters
    ----------
    node_id : str
        Node id of the peer.
    host, port : str, int
        Address of the peer.
    answer_memory : AnswerMemory
        Accounts for the large answers that the node holds.
    """

    __slots__ = (
        "_bodies",
        "_callbacks",
        "_clock",
        "_connect_requested",
        "_decoder",
        "_is_connected",
        "_is_writable",
        "_host",
        "_journal",
        "_last_received_at",
        "_numbers",
        "_partial_replies",
        "_pending",
        "_port",
        "_probed_at",
        "_transport",
        "_wake",
        "_was_ready",
        "is_ready",
        "node_id",
    )

    def __init__(
        self,
        node_id: str,
        host: str,
        port: int,
        clock: Clock,
        callbacks: LinkCallbacks,
        answer_memory: AnswerMemory,
        journal: Journal,
    ) -> None:
        self.node_id = node_id
        self._host = host
        self._port = port
        self._clock = clock
        self._callbacks = callbacks
        self._journal = journal
        self._numbers = itertools.count(1)
        self._pending: dict[int, tuple[str, asyncio.Future[Result]]] = {}
        self._partial_replies = PartialReplies(answer_memory, self._take_reply)
        self._transport: asyncio.Transport | None = None
        self._decoder = FrameDecoder()
        self._wake = asyncio.Event()
        """Wakes ``run`` when the connection is lost or has bodies to send."""
        self._is_connected = False
        self._is_writable = True
        """Whether the peer reads fast enough for more parts of bodies."""
        self._bodies: deque[tuple[int, memoryview]] = deque()
        """Calls whose bodies are being sent in turns, and what is left of each."""
        self._connect_requested = asyncio.Event()
        self._last_received_at = 0.0
        self._probed_at = 0.0
        self.is_ready = False
        """Whether the link is connected and the peer has sent its ``Hello``."""
        self._was_ready = False
        """Whether the last connection became ready."""

    async def run(self) -> None:
        """Connect, wait until the connection is lost, and reconnect until cancelled."""
        self.end_calls()
        backoff_s = FIRST_BACKOFF_S
        while True:
            self._was_ready = False
            try:
                await self._connect_and_wait()
            finally:
                self.end_calls()
            if self._was_ready:
                self._journal.note("link_lost", peer=self.node_id)
                backoff_s = FIRST_BACKOFF_S
            self._connect_requested.clear()
            try:
                async with asyncio.timeout(backoff_s):
                    await self._connect_requested.wait()
            except TimeoutError:
                self._connect_requested.clear()
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def connect_now(self) -> None:
        """Cut the backoff short, since the peer is known to be running."""
        self._connect_requested.set()

    def send_call(self, call: Call) -> tuple[int, asyncio.Future[Result]]:
        """Send a call, and return its number and the future of its result.

        While the link is down the call is rejected at once.
        """
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        if not self.is_ready:
            future.set_result(Rejection(Reason.UNREACHABLE, retry_elsewhere=True))
            return number, future
        self._pending[number] = call.route, future
        if len(call.body) > LARGE_BODY_BYTES:
            head = msgspec.structs.replace(call, body=b"")
            self._send(CallFrame(number, head, len(call.body)))
            self._bodies.append((number, memoryview(call.body)))
            self._wake.set()
        else:
            self._send(CallFrame(number, call))
        return number, future

    def cancel(self, number: int) -> None:
        """Cancel a call at the peer: its caller no longer waits for the result."""
        if self._pending.pop(number, None) is not None:
            self._send(CancelFrame(number))
            self._partial_replies.drop(number)

    def check(self, now: float) -> None:
        """Probe the link if it is silent, and close it if it remains silent.

        It is also closed if a frame or the peer's ``Hello`` is overdue.
        """
        if self._decoder.is_overdue(now):
            self._journal.note("frame_endless", peer=self.node_id)
            self._transport.abort()
            return
        if not self.is_ready:
            if self._transport and now - self._last_received_at > HELLO_TIMEOUT_S:
                self._transport.abort()
            return
        if self._probed_at > self._last_received_at:
            if now - self._probed_at > PROBE_TIMEOUT_S:
                silent_s = round(now - self._last_received_at, 3)
                self._journal.note("link_silent", peer=self.node_id, silent_s=silent_s)
                self._transport.abort()
        elif now - self._last_received_at > (
            PROBE_AFTER_S if self._pending else IDLE_PROBE_AFTER_S
        ):
            self._probed_at = now
            self._send(ProbeFrame())

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send ``Hello`` to the peer."""
        self._transport = transport
        self._decoder = FrameDecoder()
        self._last_received_at = self._clock.monotonic()
        self._probed_at = self._last_received_at
        self._is_connected = self._is_writable = True
        self._send(self._callbacks.make_hello())

    def connection_lost(self, error: Exception | None) -> None:
        """Report the loss, and wake the task that reconnects."""
        self._decoder = FrameDecoder()
        self.is_ready = False
        self._callbacks.on_readiness_change(self.node_id)
        self._is_connected = False
        self._wake.set()

    def pause_writing(self) -> None:
        """Send no more parts of bodies while the write buffer is full."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Send more parts of bodies: the write buffer has drained."""
        self._is_writable = True
        self._wake.set()

    def data_received(self, data: bytes) -> None:
        """Decode and handle the frames received."""
        self._last_received_at = self._clock.monotonic()
        try:
            for frame in self._decoder.feed(data, self._last_received_at):
                self._handle_frame(frame)
        except BadFrameError as error:
            self._journal.note("bad_frame", peer=self.node_id, error=error.detail)
            self._transport.abort()

    async def _connect_and_wait(self) -> None:
        loop = asyncio.get_running_loop()
        self._wake.clear()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, self._host, self._port)
        except OSError as error:
            self._journal.trace("link_refused", peer=self.node_id, error=str(error))
            return
        try:
            while self._is_connected:
                self._send_body_parts()
                await self._wake.wait()
                self._wake.clear()
        finally:
            self._transport.abort()

    def _send_body_parts(self) -> None:
        """Send parts of the bodies in turns, while the peer reads them."""
        while self._bodies and self._is_writable:
            number, rest = self._bodies.popleft()
            if number not in self._pending:
                continue
            self._send(BodyFrame(number, bytes(rest[:BODY_PART_BYTES])))
            if len(rest) > BODY_PART_BYTES:
                self._bodies.append((number, rest[BODY_PART_BYTES:]))

    def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case ResultFrame():
                self._callbacks.on_load(self.node_id, frame.load)
                self._handle_result(frame)
            case BodyFrame():
                self._receive_body_part(frame)
            case LoadFrame():
                self._callbacks.on_load(self.node_id, frame.load)
            case Hello():
                self._handle_hello(frame)
            case UpdateFrame():
                self._callbacks.on_update(frame)
            case CrashFrame() | ClearFrame():
                self._callbacks.on_crash(frame)
            case QuotaGrantFrame() if self._callbacks.on_quota_grant:
                self._callbacks.on_quota_grant(self.node_id, frame)
            case _:
                raise BadFrameError(
                    f"{frame.__class__.__name__} not expected at the calling end of a link"
                )

    def _handle_result(self, frame: ResultFrame) -> None:
        number = frame.number
        if number not in self._pending:
            return
        route, _ = self._pending[number]
        self._callbacks.on_path_report(route, frame.cutoff, frame.retry_budget_use)
        match frame:
            case ResultFrame(result=Reply() as reply, following_bytes=size) if size:
                self._partial_replies.add(number, reply, size)
            case _:
                self._end_call(number, frame.result)

    def _take_reply(self, number: int) -> None:
        self._send(TakeFrame(number))

    def _receive_body_part(self, frame: BodyFrame) -> None:
        """End the call once its reply is complete."""
        reply = self._partial_replies.receive(frame)
        if reply is not None:
            self._end_call(frame.number, reply)

    def _end_call(self, number: int, result: Result) -> None:
        _, future = self._pending.pop(number)
        if not future.done():
            future.set_result(result)

    def _handle_hello(self, hello: Hello) -> None:
        if hello.link_version != LINK_VERSION:
            raise BadFrameError(
                f"peer has link version {hello.link_version}, expected {LINK_VERSION}"
            )
        if hello.node_id != self.node_id:
            raise BadFrameError(
                f"peer at {self._host}:{self._port} is {hello.node_id!r}, "
                f"expected {self.node_id!r}"
            )
        if not self.is_ready:
            self.is_ready = self._was_ready = True
            self._callbacks.on_readiness_change(self.node_id)
            self._journal.note("link_ready", peer=self.node_id)
        self._callbacks.on_hello(hello)
        update = self._callbacks.make_update(hello)
        if update is not None:
            self._send(update)

    def send_if_ready(
        self, frame: UpdateFrame | ReaderFrame | QuotaRequestFrame
    ) -> None:
        """Send a message that needs no result if the link is ready."""
        if self.is_ready:
            self._send(frame)

    def request_update(self) -> None:
        """Ask the peer for what this node lacks, by sending ``Hello`` again."""
        if self.is_ready:
            self._send(self._callbacks.make_hello())

    def _send(self, frame: Frame) -> None:
        """Send a frame, unless the connection is lost and ``run`` is about to see that."""
        if self._is_connected:
            self._transport.write(encode_frame(frame))

    def end_calls(self) -> None:
        """End the calls in progress, whose results can't be received any more."""
        pending, self._pending = self._pending, {}
        self._bodies.clear()
        self._partial_replies.clear()
        for _, future in pending.values():
            if not future.done():
                future.set_result(Indeterminate(Reason.LINK_LOST))
