"""Graceful stop of a node, without aborting requests in progress."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_node.mesh.front_end import FrontEnd
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import OwnBackend

CLIENT_NOTICE_S = 2.3
"""Time after SIGTERM in which clients still send requests: they probe the readiness
once a second and stop using the node after two failed probes."""
IDLE_S = 0.2
"""Time without open requests after which the node may exit."""
PEER_NOTICE_S = 1.6
"""Time after SIGTERM in which peers may still send calls to the backend server. Calls
received by then are mostly answered when the clients have moved elsewhere."""
POLL_S = 0.05
ANSWER_S = 0.02
"""Time in which the requests that are open at the end write their answers."""


class GracefulStop:
    """Finishes open requests, and takes none that might not finish in time.

    The backend server keeps running, so peers may send it calls for as long as there
    is time to answer them.

    Parameters
    ----------
    admission : StopAdmission
        The plug-in that decides which requests are still taken.
    servers : list of asyncio.Server
        Listeners for clients and peers, which close last.
    count_open : callable
        Returns the number of open requests and calls.
    broadcast_load : callable
        Tells the peers whether the backend server accepts calls.
    answer_open : callable
        Answers the requests that are still open as ones that may have run.
    end_connections : callable
        Reads nothing more from clients and peers, and closes their connections once
        they have got what was written.
    count_links : callable
        Returns the number of links that peers have not closed.
    """

    __slots__ = (
        "_admission",
        "_answer_open",
        "_backend",
        "_broadcast_load",
        "_clock",
        "_count_links",
        "_count_open",
        "_end_connections",
        "_front_end",
        "_journal",
        "_servers",
        "_started_at",
    )

    def __init__(
        self,
        admission: Any,
        backend: OwnBackend,
        front_end: FrontEnd,
        servers: list[asyncio.Server],
        count_open: Callable[[], int],
        broadcast_load: Callable[[], None],
        answer_open: Callable[[], None],
        end_connections: Callable[[], None],
        count_links: Callable[[], int],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._admission = admission
        self._backend = backend
        self._front_end = front_end
        self._servers = servers
        self._count_open = count_open
        self._broadcast_load = broadcast_load
        self._answer_open = answer_open
        self._end_connections = end_connections
        self._count_links = count_links
        self._clock = clock
        self._journal = journal
        self._started_at = clock.monotonic()

    async def run(self) -> None:
        """Stop the node, and return when the process may exit."""
        self._journal.note("stopping", open=self._count_open())
        self._backend.stop_admission = self._admission
        self._front_end.stop_admission = self._admission
        await self._serve_until_idle()
        await self._drain()
        self._journal.note("stopped", open=self._count_open())

    async def _serve_until_idle(self) -> None:
        """Serve until no request is open and clients have noticed the stop."""
        idle_since = self._started_at
        while (now := self._clock.monotonic()) < self._admission.ends_at:
            if now - self._started_at > PEER_NOTICE_S and not self._backend.is_stopping:
                self._backend.is_stopping = True
                self._broadcast_load()
            if self._count_open():
                idle_since = now
            if now - self._started_at > CLIENT_NOTICE_S and now - idle_since > IDLE_S:
                return
            await asyncio.sleep(POLL_S)

    async def _drain(self) -> None:
        """Take no more requests, and end when the open ones have been answered.

        The connections end before the process does: a request that is read after the
        last look at what is open would be lost.
        """
        self._admission.is_closed = True
        self._backend.is_stopping = True
        self._broadcast_load()
        ends_at = self._admission.ends_at
        await asyncio.sleep(max(0.0, min(IDLE_S, ends_at - self._clock.monotonic())))
        await self._wait_while(self._count_open, ends_at)
        for server in self._servers:
            server.close()
        if self._count_open():
            self._answer_open()
            await asyncio.sleep(ANSWER_S)
        self._end_connections()
        await self._wait_while(self._count_open, self._admission.exits_at)
        closed_by = min(self._clock.monotonic() + IDLE_S, self._admission.exits_at)
        await self._wait_while(self._count_links, closed_by)

    async def _wait_while(self, count: Callable[[], int], ends_at: float) -> None:
        """Wait until nothing is left, or a time in monotonic seconds."""
        while count() and (rest_s := ends_at - self._clock.monotonic()) > 0.0:
            await asyncio.sleep(min(POLL_S, rest_s))
