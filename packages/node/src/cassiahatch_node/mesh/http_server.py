"""HTTP server for clients, with one task for each connection."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Rejection
from cassiahatch_kernel.routes import Limits
from cassiahatch_node.mesh.answer_memory import AnswerMemory
from cassiahatch_node.mesh.body_memory import BodyMemory
from cassiahatch_node.mesh.client_connection import ClientConnection
from cassiahatch_node.mesh.client_requests import Answer, ClientRequest
from cassiahatch_node.mesh.http_messages import RawRequest
from cassiahatch_node.mesh.request_reader import RequestReader

SWEEP_INTERVAL_S = 0.5
"""Interval at which connections are checked for timeouts."""


class RequestHandler(Protocol):
    """Decodes and answers the requests of all connections."""

    def check(self, raw: RawRequest) -> Rejection | None:
        """Return why a request whose head has been read can't be served, or None."""

    def route(self, raw: RawRequest) -> ClientRequest:
        """Decode a request and find its route."""

    async def answer(self, request: ClientRequest) -> Answer:
        """Serve a request, and return what to send to its client."""

    async def send(self, connection: ClientConnection, answer: Answer) -> None:
        """Write the answer to a connection's oldest request, once its turn has come."""

    def reject(
        self,
        connection: ClientConnection,
        rejection: Rejection,
        raw: RawRequest | None = None,
    ) -> None:
        """Respond to a malformed, oversized or slow request; close the connection."""

    def record_undelivered(
        self, request_id: str, reason: str, pending_bytes: int
    ) -> None:
        """Log and count an answer that its client has not received."""


class ClientServer:
    """Listening socket for clients, and the connections accepted on it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : callable
        Returns the current limits.
    handler : RequestHandler
        Decodes and answers requests.
    body_memory : BodyMemory
        Accounts for the bodies that the node holds.
    max_framing_bytes : int
        Bytes of chunk sizes and chunk extensions that a request may have beyond those
        that its body allows.
    answer_memory : AnswerMemory
        Accounts for the answers that wait for earlier ones on their connections.
    on_error : callable
        Called with the exception of a connection's task that failed.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], Limits],
        handler: RequestHandler,
        body_memory: BodyMemory,
        max_framing_bytes: int,
        answer_memory: AnswerMemory,
        on_error: Callable[[BaseException], None],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.handler = handler
        self.answer_memory = answer_memory
        self.body_memory = body_memory
        self.max_framing_bytes = max_framing_bytes
        body_memory.on_release = self._share_memory
        self.waiting_for_memory: deque[RequestReader] = deque()
        """Readers of bodies that wait for memory, in order of arrival."""
        self.on_error = on_error
        self.connections: set[ClientConnection] = set()
        self.is_ending = False
        """Whether no more requests are read."""

    async def listen(self, host: str, port: int, backlog: int) -> asyncio.Server:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: ClientConnection(self), host, port, backlog=backlog
        )

    def _share_memory(self) -> None:
        """Let waiting bodies have the memory that was released, in order of arrival."""
        waiting = self.waiting_for_memory
        while waiting and waiting[0].try_get_memory():
            pass

    def report_failure(self, task: asyncio.Task[object]) -> None:
        """Pass the exception of a failed task to ``on_error``."""
        if not task.cancelled() and task.exception() is not None:
            self.on_error(task.exception())

    @property
    def open_count(self) -> int:
        """Number of connections with a request in progress, or an answer on its way."""
        now = self.clock.monotonic()
        return sum(connection.is_open(now) for connection in self.connections)

    def end(self) -> None:
        """Read no more requests, and close each connection after its last response."""
        self.is_ending = True
        for connection in self.connections:
            connection.end()

    def report_undelivered(self, reason: str) -> None:
        """Report the answers that clients have not received when the process ends."""
        for connection in self.connections:
            connection.report_undelivered(reason)

    async def sweep(self) -> None:
        """Check all connections for timeouts periodically, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now, limits = self.clock.monotonic(), self.limits()
            for connection in list(self.connections):
                connection.check_timeouts(now, limits)
