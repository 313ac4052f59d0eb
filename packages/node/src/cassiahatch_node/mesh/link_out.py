"""The calling end of a link: one connection to a peer that carries many calls."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    Call,
    Indeterminate,
    Load,
    Reason,
    Rejection,
    Result,
)
from cassiahatch_node.mesh.frames import (
    LINK_VERSION,
    BadFrameError,
    CallFrame,
    CancelFrame,
    ClearFrame,
    CrashFrame,
    Frame,
    FrameReader,
    Hello,
    LoadFrame,
    NewsFrame,
    ProbeFrame,
    ReaderFrame,
    ResultFrame,
    encode_frame,
)
from cassiahatch_node.mesh.journal import Journal

CONNECT_TIMEOUT_S = 0.6
"""Twice the longest handshake with one lost packet between zones."""
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Pauses between attempts to connect, doubled with each."""
GREETING_TIMEOUT_S = 1.0
"""Longest time between a connection and the greeting of the peer."""
PROBE_AFTER_S = 0.4
"""Silence on a link with calls under way after which it is probed."""
PROBE_TIMEOUT_S = 0.6
"""Time without an answer to a probe after which a link is given up."""
IDLE_PROBE_S = 5.0
"""Silence on an unused link after which it is probed: nobody waits on it, and a large
fleet has thousands of them."""


@dataclass(slots=True)
class LinkEvents:
    """What a link tells its owner."""

    on_load: Callable[[str, Load], None]
    on_path: Callable[[str, float, float], None]
    """Hears the cutoff and the share of repeats used that a result of a route told."""
    on_news: Callable[[NewsFrame], None]
    on_hello: Callable[[Hello], NewsFrame | None]
    make_hello: Callable[[], Hello]
    on_crash: Callable[[CrashFrame | ClearFrame], None]
    on_ready: Callable[[str], None]
    """Hears that the link stands, and that it is lost."""


class PeerLink(asyncio.Protocol):
    """The connection to one peer; ``run`` is the task of the peer.

    Calls are matched to results by a number that is never used twice, so that a
    late result finds no call.

    Parameters
    ----------
    node_id : str
        The peer.
    host, port : str, int
        Its address.
    """

    __slots__ = (
        "_clock",
        "_ended",
        "_events",
        "_heard_at",
        "_host",
        "_journal",
        "_numbers",
        "_pending",
        "_port",
        "_probed_at",
        "_reader",
        "_transport",
        "_wanted",
        "is_ready",
        "node_id",
    )

    def __init__(
        self,
        node_id: str,
        host: str,
        port: int,
        clock: Clock,
        events: LinkEvents,
        journal: Journal,
    ) -> None:
        self.node_id = node_id
        self._host = host
        self._port = port
        self._clock = clock
        self._events = events
        self._journal = journal
        self._numbers = itertools.count(1)
        self._pending: dict[int, tuple[str, asyncio.Future[Result]]] = {}
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._ended = asyncio.Event()
        self._wanted = asyncio.Event()
        self._heard_at = 0.0
        self._probed_at = 0.0
        self.is_ready = False
        """Whether the connection stands and the peer has greeted."""

    async def run(self) -> None:
        """Connect, wait until the connection ends, and begin again."""
        backoff_s = FIRST_BACKOFF_S
        while True:
            was_ready = await self._connect_and_wait()
            self._fail_pending()
            if was_ready:
                self._journal.note("link_lost", peer=self.node_id)
                backoff_s = FIRST_BACKOFF_S
            self._wanted.clear()
            try:
                async with asyncio.timeout(backoff_s):
                    await self._wanted.wait()
            except TimeoutError:
                self._wanted.clear()
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def connect_now(self) -> None:
        """Try again without waiting for the pause to end: the peer was heard of."""
        self._wanted.set()

    def start(self, call: Call) -> tuple[int, asyncio.Future[Result]]:
        """Send a call, and return its number and its future result."""
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        number = next(self._numbers)
        if not self.is_ready:
            future.set_result(Rejection(Reason.UNREACHABLE, retry_elsewhere=True))
            return number, future
        self._pending[number] = call.route, future
        self._send(CallFrame(number, call))
        return number, future

    def withdraw(self, number: int) -> None:
        """Tell the peer that nobody waits for a call any more."""
        if self._pending.pop(number, None) is not None:
            self._send(CancelFrame(number))

    def check(self, now: float) -> None:
        """Probe the link if it is silent; give it up if it stays so."""
        if self._reader.is_endless(now):
            self._journal.note("frame_endless", peer=self.node_id)
            self._transport.abort()
            return
        if not self.is_ready:
            if self._transport and now - self._heard_at > GREETING_TIMEOUT_S:
                self._transport.abort()
            return
        if self._probed_at > self._heard_at:
            if now - self._probed_at > PROBE_TIMEOUT_S:
                silent_s = round(now - self._heard_at, 3)
                self._journal.note("link_silent", peer=self.node_id, silent_s=silent_s)
                self._transport.abort()
        elif now - self._heard_at > (PROBE_AFTER_S if self._pending else IDLE_PROBE_S):
            self._probed_at = now
            self._send(ProbeFrame())

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Greet the peer."""
        self._transport = transport
        self._reader = FrameReader()
        self._heard_at = self._clock.monotonic()
        self._probed_at = self._heard_at
        self._send(self._events.make_hello())

    def connection_lost(self, error: Exception | None) -> None:
        """Wake the task."""
        self._reader = FrameReader()
        self.is_ready = False
        self._events.on_ready(self.node_id)
        self._ended.set()

    def data_received(self, data: bytes) -> None:
        """Take in frames."""
        self._heard_at = self._clock.monotonic()
        try:
            for frame in self._reader.feed(data, self._heard_at):
                self._take(frame)
        except BadFrameError as error:
            self._journal.note("bad_frame", peer=self.node_id, error=error.detail)
            self._transport.abort()

    async def _connect_and_wait(self) -> bool:
        loop = asyncio.get_running_loop()
        self._ended.clear()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: self, self._host, self._port)
        except OSError as error:
            self._journal.trace("link_refused", peer=self.node_id, error=str(error))
            return False
        try:
            await self._ended.wait()
        finally:
            self._transport.abort()
        return True

    def _take(self, frame: Frame) -> None:
        match frame:
            case ResultFrame():
                self._events.on_load(self.node_id, frame.load)
                self._take_result(frame)
            case LoadFrame():
                self._events.on_load(self.node_id, frame.load)
            case Hello():
                self._greet(frame)
            case NewsFrame():
                self._events.on_news(frame)
            case CrashFrame() | ClearFrame():
                self._events.on_crash(frame)
            case _:
                raise BadFrameError("not a message for the calling end")

    def _take_result(self, frame: ResultFrame) -> None:
        route, future = self._pending.pop(frame.number, (None, None))
        if future is None:
            return
        self._events.on_path(route, frame.cutoff, frame.retry_budget_use)
        if not future.done():
            future.set_result(frame.result)

    def _greet(self, hello: Hello) -> None:
        if hello.link_version != LINK_VERSION:
            raise BadFrameError(f"link version {hello.link_version}")
        if not self.is_ready:
            self.is_ready = True
            self._events.on_ready(self.node_id)
            self._journal.note("link_ready", peer=self.node_id)
        news = self._events.on_hello(hello)
        if news is not None:
            self._send(news)

    def send_news(self, news: NewsFrame | ReaderFrame) -> None:
        """Tell the peer what was read from the store."""
        if self.is_ready:
            self._send(news)

    def ask_for_news(self) -> None:
        """Have the peer send what it knows and this node lacks."""
        if self.is_ready:
            self._send(self._events.make_hello())

    def _send(self, frame: Frame) -> None:
        self._transport.write(encode_frame(frame))

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for _, future in pending.values():
            if not future.done():
                future.set_result(Indeterminate(Reason.LINK_LOST))
