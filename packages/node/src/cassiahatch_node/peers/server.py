"""The serving end of links: inbound connections from peers."""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from tornado.websocket import WebSocketClosedError, WebSocketHandler

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.outcomes import Outcome
from cassiahatch_node.observability.events import log_event
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.peers.link import PEER_KEY_HEADER
from cassiahatch_node.wire import (
    BadMessageError,
    CallMessage,
    CancelMessage,
    DrainMessage,
    Load,
    ProbeMessage,
    ProbeReply,
    decode_message,
    encode_message,
    make_outcome_message,
    read_context,
)

BAD_MESSAGE_CLOSE_CODE = 1002
"""WebSocket close code of a protocol error."""

ServeCall = Callable[[Call, CallContext, bool], Awaitable[Outcome]]
"""Serves a call. The flag is set if it was sent to this node as the holder of the
tenure of its key."""


@dataclass(slots=True)
class PeerService:
    """State and callbacks that all inbound connections of a node share."""

    peer_key: str
    clock: Clock
    metrics: Metrics
    serve: ServeCall
    get_load: Callable[[], Load]
    connections: set[PeerConnection]

    def announce_drain(self, node_id: str) -> None:
        """Notify all connected peers that this node's backend server is draining."""
        for connection in list(self.connections):
            connection.send(DrainMessage(node_id))


class PeerConnection(WebSocketHandler):
    """An inbound connection; it owns a task for each call that it serves."""

    def initialize(self, service: PeerService) -> None:
        """Initialize the connection with the service of its node."""
        self._service = service
        self._tasks: dict[int, asyncio.Task[None]] = {}

    def prepare(self) -> None:
        """Reject a connection without the peer key, or with a wrong one."""
        sent_key = self.request.headers.get(PEER_KEY_HEADER, "")
        if not hmac.compare_digest(sent_key.encode(), self._service.peer_key.encode()):
            self.set_status(403)
            self.finish()

    def open(self) -> None:
        """Disable Nagle's algorithm, and register the connection with the service."""
        self.set_nodelay(True)
        self._service.connections.add(self)

    def on_message(self, body: str | bytes) -> None:
        """Handle a message, or close the connection if it is invalid."""
        try:
            self._handle_message(decode_message(body))
        except BadMessageError as error:
            self._service.metrics.count("bad_peer_messages")
            log_event("bad_peer_message", error=error.detail)
            self.close(BAD_MESSAGE_CLOSE_CODE, "bad message")

    def on_close(self) -> None:
        """Cancel the calls whose outcomes can no longer be sent to the peer."""
        self._service.connections.discard(self)
        for task in self._tasks.values():
            task.cancel()

    def send(self, message: object) -> None:
        """Send a message, or count it as unsent if the connection is closed."""
        try:
            self.write_message(encode_message(message), binary=True)
        except WebSocketClosedError:
            self._service.metrics.count("unsent_answers")

    def _handle_message(self, message: object) -> None:
        match message:
            case CallMessage():
                task = asyncio.create_task(self._serve(message))
                self._tasks[message.id] = task
            case CancelMessage():
                task = self._tasks.get(message.id)
                if task is not None:
                    task.cancel()
            case ProbeMessage():
                self.send(ProbeReply(self._service.get_load()))
            case _:
                raise BadMessageError(
                    "message not expected at the serving end of a link"
                )

    async def _serve(self, message: CallMessage) -> None:
        service = self._service
        context = read_context(message, service.clock.monotonic())
        try:
            outcome = await service.serve(message.call, context, message.as_holder)
            self.send(make_outcome_message(message.id, outcome, service.get_load()))
        finally:
            self._tasks.pop(message.id, None)
