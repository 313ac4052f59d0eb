"""An event loop in virtual time, whose connections stay in memory."""

from __future__ import annotations

import asyncio
import gc
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

LINK_DELAY_S = 0.002
"""Time that written bytes take to the other end of a connection."""


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += timeout or 0.0
        return super().select(0)


class MemoryTransport:
    """One end of a connection; ``connect`` creates both."""

    def __init__(
        self, loop: VirtualLoop, protocol: asyncio.Protocol, host: str
    ) -> None:
        self._loop = loop
        self._host = host
        self._arrives_at = 0.0
        self._protocol = protocol
        self._is_closed = False
        self.other_end: MemoryTransport | None = None

    def write(self, data: bytes) -> None:
        delay_s = LINK_DELAY_S + self._loop.added_delays_s.get(self._host, 0.0)
        self._arrives_at = max(self._loop.time() + delay_s, self._arrives_at)
        self._loop.call_at(self._arrives_at, self.other_end.deliver, data)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def get_write_buffer_size(self) -> int:
        return 0

    def deliver(self, data: bytes) -> None:
        if not self._is_closed:
            self._protocol.data_received(data)

    def abort(self) -> None:
        for end in (self, self.other_end):
            if not end._is_closed:
                end._is_closed = True
                self._loop.call_soon(end._protocol.connection_lost, None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting, and connects to protocols by their host."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)
        self.listeners: dict[str, Callable[[], asyncio.Protocol]] = {}
        """Creates the serving end of a connection, by host."""
        self.added_delays_s: dict[str, float] = {}
        """Time that messages take longer on the connections that a host serves."""

    def time(self) -> float:
        return self._jumping_selector.now

    monotonic = time

    def wall(self) -> float:
        return self.time()

    async def create_connection(self, factory, host=None, port=None, **options):
        await asyncio.sleep(LINK_DELAY_S)
        listener = self.listeners.get(host)
        if listener is None:
            raise ConnectionRefusedError(host)
        calling, serving = factory(), listener()
        ends = [MemoryTransport(self, end, host) for end in (calling, serving)]
        ends[0].other_end, ends[1].other_end = ends[1], ends[0]
        serving.connection_made(ends[1])
        calling.connection_made(ends[0])
        return ends[0], calling


def run_in_virtual_time(
    make: Callable[[VirtualLoop], Coroutine[Any, Any, None]],
    allows_failed_tasks: bool = True,
) -> None:
    """Run a coroutine to its end on a new loop; cancels the tasks that it leaves.

    With ``allows_failed_tasks`` False, an exception that nobody catches fails the run.
    """
    loop = VirtualLoop()
    failures: list[dict[str, Any]] = []
    loop.set_exception_handler(lambda _, context: failures.append(context))
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(make(loop))
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    finally:
        loop.close()
    gc.collect()
    assert allows_failed_tasks or not failures
