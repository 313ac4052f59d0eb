"""The serving end of a peer link."""

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

Serve = Callable[[Call, CallContext, bool], Awaitable[Outcome]]
"""Serves a call; the flag tells that it was sent to this node as owner of its key."""


@dataclass(slots=True)
class PeerService:
    """What a connection needs from its node."""

    key: str
    clock: Clock
    metrics: Metrics
    serve: Serve
    read_load: Callable[[], Load]
    connections: set[PeerConnection]

    def announce_drain(self, node_id: str) -> None:
        """Tell every connected peer that this node's backend server is leaving."""
        for connection in list(self.connections):
            connection.send(DrainMessage(node_id))


class PeerConnection(WebSocketHandler):
    """One connection from a peer; each call on it is served in a task it owns."""

    def initialize(self, service: PeerService) -> None:
        """Take over what the connection needs."""
        self._service = service
        self._calls: dict[int, asyncio.Task[None]] = {}

    def prepare(self) -> None:
        """Refuse whoever does not hold the fleet's key."""
        offered = self.request.headers.get(PEER_KEY_HEADER, "")
        if not hmac.compare_digest(offered.encode(), self._service.key.encode()):
            self.set_status(403)
            self.finish()

    def open(self) -> None:
        """Take the connection in."""
        self.set_nodelay(True)
        self._service.connections.add(self)

    def on_message(self, body: str | bytes) -> None:
        """Start or cancel a call."""
        try:
            self._take(decode_message(body))
        except BadMessageError as error:
            self._service.metrics.count("bad_peer_messages")
            log_event("bad_peer_message", error=error.detail)
            self.close(BAD_MESSAGE_CLOSE_CODE, "bad message")

    def on_close(self) -> None:
        """Cancel the calls that the peer can't hear of any more."""
        self._service.connections.discard(self)
        for task in self._calls.values():
            task.cancel()

    def send(self, message: object) -> None:
        """Send a message unless the connection has ended."""
        try:
            self.write_message(encode_message(message), binary=True)
        except WebSocketClosedError:
            self._service.metrics.count("unsent_answers")

    def _take(self, message: object) -> None:
        match message:
            case CallMessage():
                task = asyncio.create_task(self._serve(message))
                self._calls[message.id] = task
            case CancelMessage():
                task = self._calls.get(message.id)
                if task is not None:
                    task.cancel()
            case ProbeMessage():
                self.send(ProbeReply(self._service.read_load()))
            case _:
                raise BadMessageError("not a message for the serving end")

    async def _serve(self, message: CallMessage) -> None:
        service = self._service
        context = read_context(message, service.clock.monotonic())
        try:
            outcome = await service.serve(message.call, context, message.as_holder)
            self.send(make_outcome_message(message.id, outcome, service.read_load()))
        finally:
            self._calls.pop(message.id, None)
