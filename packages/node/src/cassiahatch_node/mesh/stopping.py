"""The stop of a node that cuts no request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_node.mesh.front_end import FrontEnd
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.own_backend import OwnBackend

NOTICE_S = 2.3
"""Time after SIGTERM in which clients still come: they ask once a second whether the
node is ready and stay away after two misses."""
QUIET_S = 0.2
"""How long nothing must be under way before the node ends."""
GRACE_SHARE = 0.86
"""Share of the time before SIGKILL after which the node ends whatever is still under
way; five sixths of it belong to the requests."""
ACCEPT_SHARE = 0.5
"""Share of the time before SIGKILL after which no more is begun: what comes later might
not end in time."""
PEER_NOTICE_S = 1.6
"""Time after SIGTERM in which peers still send calls for the backend server: what
comes by then is mostly answered when the clients have gone."""
POLL_S = 0.05


class GracefulStop:
    """Finishes what is under way, and begins nothing that might not end in time.

    The backend server goes on running, so peers may send it calls for as long as there
    is time to answer them.

    Parameters
    ----------
    grace_s : float
        Seconds between SIGTERM and SIGKILL.
    servers : list of asyncio.Server
        The listeners of clients and peers, which close last.
    count_open : callable
        Returns how many requests and calls are under way.
    announce_load : callable
        Tells the peers whether the backend server takes calls.
    """

    __slots__ = (
        "_announce_load",
        "_backend",
        "_clock",
        "_count_open",
        "_front",
        "_grace_s",
        "_journal",
        "_servers",
        "_started",
    )

    def __init__(
        self,
        grace_s: float,
        backend: OwnBackend,
        front: FrontEnd,
        servers: list[asyncio.Server],
        count_open: Callable[[], int],
        announce_load: Callable[[], None],
        clock: Clock,
        journal: Journal,
    ) -> None:
        self._grace_s = grace_s
        self._backend = backend
        self._front = front
        self._servers = servers
        self._count_open = count_open
        self._announce_load = announce_load
        self._clock = clock
        self._journal = journal
        self._started = clock.monotonic()

    async def run(self) -> None:
        """Return when the process may end."""
        self._journal.note("stopping", open=self._count_open())
        await self._serve_on()
        await self._finish()
        self._journal.note("stopped", open=self._count_open())

    async def _serve_on(self) -> None:
        """Serve until all is quiet, for half of the time at most."""
        quiet_since = self._started
        closes_at = self._started + self._grace_s * ACCEPT_SHARE
        while (now := self._clock.monotonic()) < closes_at:
            if now - self._started > PEER_NOTICE_S and not self._backend.is_stopping:
                self._backend.is_stopping = True
                self._announce_load()
            if self._count_open():
                quiet_since = now
            if now - self._started > NOTICE_S and now - quiet_since > QUIET_S:
                return
            await asyncio.sleep(POLL_S)

    async def _finish(self) -> None:
        """Begin nothing more, and wait for what is under way."""
        ends_at = self._started + self._grace_s * GRACE_SHARE
        self._backend.is_stopping = self._backend.is_closed = True
        self._front.is_closed = True
        self._announce_load()
        await asyncio.sleep(QUIET_S)
        while self._count_open() and self._clock.monotonic() < ends_at:
            await asyncio.sleep(POLL_S)
        for server in self._servers:
            server.close()
