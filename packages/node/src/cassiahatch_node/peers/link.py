"""The calling end of a link: one outbound connection that multiplexes many calls."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from tornado.httpclient import HTTPRequest
from tornado.websocket import (
    WebSocketClientConnection,
    WebSocketClosedError,
    websocket_connect,
)

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.outcomes import Outcome, Refusal, Unknown
from cassiahatch_node.observability.events import log_event
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.settings import PeerSettings
from cassiahatch_node.wire import (
    BadMessageError,
    CallMessage,
    CancelMessage,
    DrainMessage,
    Load,
    OutcomeMessage,
    ProbeMessage,
    ProbeReply,
    decode_message,
    encode_message,
    make_call_message,
    read_outcome,
)

PEER_PATH = "/peer"
PEER_KEY_HEADER = "Cassiahatch-Peer-Key"
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
MESSAGE_OVERHEAD_BYTES = 65_536
"""Maximum size of a message in excess of the largest body."""

LoadCallback = Callable[[Load], None]
DrainCallback = Callable[[str], None]


class PeerLink:
    """The outbound connection to one peer; ``run`` is the peer's task.

    Outcomes are matched to calls by a number that is never reused, so a late or
    duplicate outcome is never taken for that of another call.

    Parameters
    ----------
    address : str
        Host and peer port of the peer.
    on_load : callable
        Called with each load that the peer reports.
    on_drain : callable
        Called with the peer's node id when its backend server starts draining.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_connected",
        "_connection",
        "_last_received_at",
        "_max_body_bytes",
        "_metrics",
        "_numbers",
        "_on_drain",
        "_on_load",
        "_pending",
        "_settings",
        "last_used",
    )

    def __init__(
        self,
        address: str,
        settings: PeerSettings,
        max_body_bytes: int,
        clock: Clock,
        metrics: Metrics,
        on_load: LoadCallback,
        on_drain: DrainCallback,
    ) -> None:
        self._address = address
        self._settings = settings
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._metrics = metrics
        self._on_load = on_load
        self._on_drain = on_drain
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Outcome]] = {}
        self._connection: WebSocketClientConnection | None = None
        self._connected = asyncio.Event()
        self._last_received_at = clock.monotonic()
        self.last_used = clock.monotonic()

    @property
    def in_flight(self) -> int:
        """Number of calls waiting for an outcome."""
        return len(self._pending)

    async def run(self) -> None:
        """Connect, read until the connection ends, and reconnect until cancelled."""
        backoff = FIRST_BACKOFF_S
        while True:
            connection = await self._connect()
            if connection is None:
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF_S, backoff * 2)
                continue
            backoff = FIRST_BACKOFF_S
            self._connection = connection
            self._connected.set()
            try:
                await self._monitor(connection)
            finally:
                self._connected.clear()
                self._connection = None
                connection.close()
                self._fail_pending()
            log_event("link_lost", peer=self._address)

    async def call(self, call: Call, context: CallContext, as_holder: bool) -> Outcome:
        """Send a call and wait for its outcome.

        Returns
        -------
        Outcome
            A ``Refusal`` only if the peer rejected the call, or it was not sent.
        """
        self.last_used = self._clock.monotonic()
        try:
            async with asyncio.timeout(self._settings.connect_timeout_s):
                await self._connected.wait()
        except TimeoutError:
            return _refuse_unreachable(self._address)
        number = next(self._numbers)
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        now = self._clock.monotonic()
        message = make_call_message(number, call, context, as_holder, now)
        if not self._send(message):
            return _refuse_unreachable(self._address)
        self._pending[number] = future
        return await self._wait(number, future, context.deadline - now)

    async def _wait(
        self, number: int, future: asyncio.Future[Outcome], remaining: float
    ) -> Outcome:
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                return await future
        except TimeoutError:
            self._send(CancelMessage(number))
            return Unknown("deadline", "no answer before the deadline")
        except asyncio.CancelledError:
            self._send(CancelMessage(number))
            raise
        finally:
            self._pending.pop(number, None)

    async def _connect(self) -> WebSocketClientConnection | None:
        request = HTTPRequest(
            f"ws://{self._address}{PEER_PATH}",
            headers={PEER_KEY_HEADER: self._settings.key},
            connect_timeout=self._settings.connect_timeout_s,
            request_timeout=self._settings.connect_timeout_s,
        )
        try:
            return await websocket_connect(
                request,
                max_message_size=self._max_body_bytes + MESSAGE_OVERHEAD_BYTES,
            )
        except Exception as error:
            self._metrics.count("link_connect_failures")
            log_event("link_refused", peer=self._address, error=str(error))
            return None

    async def _monitor(self, connection: WebSocketClientConnection) -> None:
        """Read until the connection ends, or remains silent after a probe."""
        self._last_received_at = self._clock.monotonic()
        is_probed = False
        read_task = asyncio.create_task(self._read(connection))
        try:
            while not read_task.done():
                await asyncio.wait({read_task}, timeout=self._settings.probe_interval_s)
                silent_s = self._clock.monotonic() - self._last_received_at
                if silent_s < self._settings.probe_interval_s:
                    is_probed = False
                elif is_probed:
                    self._metrics.count("silent_links")
                    return
                else:
                    is_probed = self._send(ProbeMessage())
        finally:
            read_task.cancel()

    async def _read(self, connection: WebSocketClientConnection) -> None:
        while True:
            body = await connection.read_message()
            if body is None:
                return
            self._last_received_at = self._clock.monotonic()
            try:
                self._handle_message(decode_message(body))
            except BadMessageError as error:
                self._metrics.count("bad_peer_messages")
                log_event("bad_peer_message", peer=self._address, error=error.detail)
                return

    def _handle_message(self, message: object) -> None:
        match message:
            case OutcomeMessage():
                self._on_load(message.load)
                future = self._pending.pop(message.id, None)
                if future is None or future.done():
                    self._metrics.count("late_answers")
                else:
                    future.set_result(read_outcome(message))
            case ProbeReply():
                self._on_load(message.load)
            case DrainMessage():
                self._on_drain(message.node_id)
            case _:
                raise BadMessageError(
                    "message not expected at the calling end of a link"
                )

    def _send(self, message: CallMessage | CancelMessage | ProbeMessage) -> bool:
        if self._connection is None:
            return False
        try:
            self._connection.write_message(encode_message(message), binary=True)
        except WebSocketClosedError:
            return False
        return True

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, {}
        for future in pending.values():
            if not future.done():
                future.set_result(
                    Unknown("link_lost", f"the link to {self._address} was lost", 502)
                )


def _refuse_unreachable(address: str) -> Refusal:
    return Refusal("peer_unreachable", f"no link to {address}", elsewhere=True)
