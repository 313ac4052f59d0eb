"""Pool of a node's links, one for each peer that it calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import TracebackType

from cassiahatch_kernel.members import Member
from cassiahatch_node.peers.link import PeerLink

SWEEP_INTERVAL_S = 5.0

LinkFactory = Callable[[Member], PeerLink]


class LinkPool:
    """Creates links on first use, and closes those that remain idle.

    Parameters
    ----------
    create_link : callable
        Creates the link to a member.
    idle_timeout_s : float
        Seconds since the start of its last call after which a link with no call in
        flight is closed.
    """

    __slots__ = ("_create_link", "_idle_timeout_s", "_links", "_sweep_task", "_tasks")

    def __init__(self, create_link: LinkFactory, idle_timeout_s: float) -> None:
        self._create_link = create_link
        self._idle_timeout_s = idle_timeout_s
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._sweep_task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> LinkPool:
        self._sweep_task = asyncio.create_task(self._close_idle_links())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        tasks = list(self._tasks.values())
        if self._sweep_task is not None:
            tasks.append(self._sweep_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def __len__(self) -> int:
        return len(self._links)

    def get(self, member: Member) -> PeerLink:
        """Return the link to a member, creating it if there is none."""
        link = self._links.get(member.address)
        if link is None:
            link = self._create_link(member)
            self._links[member.address] = link
            self._tasks[member.address] = asyncio.create_task(link.run())
        return link

    async def _close_idle_links(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for address, link in list(self._links.items()):
                is_idle = now - link.last_used > self._idle_timeout_s
                if is_idle and not link.in_flight:
                    del self._links[address]
                    self._tasks.pop(address).cancel()
