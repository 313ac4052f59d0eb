"""HTTP server for clients, with one task for each connection."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Rejection
from cassiahatch_kernel.routes import Limits
from cassiahatch_node.mesh.body_memory import BodyMemory
from cassiahatch_node.mesh.client_connection import ClientConnection
from cassiahatch_node.mesh.http_messages import RawRequest
from cassiahatch_node.mesh.request_reader import RequestReader

SWEEP_INTERVAL_S = 0.5
"""Interval at which connections are checked for timeouts."""

Check = Callable[[RawRequest], Rejection | None]
Serve = Callable[[ClientConnection, RawRequest], Awaitable[None]]
Reject = Callable[[ClientConnection, Rejection, RawRequest | None], None]


class ClientServer:
    """Listening socket for clients, and the connections accepted on it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : callable
        Returns the current limits.
    check : callable
        Returns the rejection of a request whose head has been read, or None.
    serve : callable
        Serves one request and writes the response.
    reject : callable
        Responds to malformed, oversized or slow requests.
    body_memory : BodyMemory
        Accounts for the bodies that the node holds.
    max_framing_bytes : int
        Bytes of chunk sizes and chunk extensions that a request may have beyond those
        that its body allows.
    on_error : callable
        Called with the exception of a connection task that failed.
    on_undelivered : callable
        Called with the request id of an answer that its client has not received, the
        reason, and the number of its bytes that were on their way.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], Limits],
        check: Check,
        serve: Serve,
        reject: Reject,
        body_memory: BodyMemory,
        max_framing_bytes: int,
        on_error: Callable[[BaseException], None],
        on_undelivered: Callable[[str, str, int], None],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.check = check
        self.serve = serve
        self.reject = reject
        self.body_memory = body_memory
        self.max_framing_bytes = max_framing_bytes
        body_memory.on_release = self._share_memory
        self.waiting_for_memory: deque[RequestReader] = deque()
        """Readers of bodies that wait for memory, in order of arrival."""
        self.on_error = on_error
        self.on_undelivered = on_undelivered
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

    def report_failure(self, task: asyncio.Task[None]) -> None:
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
