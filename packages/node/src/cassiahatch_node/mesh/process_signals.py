"""The signals of a node's process, caught from its first line to its end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from types import FrameType

from cassiahatch_kernel.clock import BootClock

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Handlers of SIGTERM, SIGINT and SIGHUP.

    Handlers that belong to an event loop exist only while it does. These are there
    before anything listens, and keep what they are told until something follows them.
    """

    __slots__ = (
        "_clock",
        "_loop",
        "_on_reload",
        "_on_stop",
        "_reloads",
        "told_to_stop_at",
    )

    def __init__(self) -> None:
        self._clock = BootClock()
        self.told_to_stop_at: float | None = None
        """Monotonic seconds at which the first SIGTERM or SIGINT came, or None."""
        self._reloads = False
        """Whether SIGHUP has come and nothing followed the signals then."""
        self._loop: asyncio.AbstractEventLoop | None = None
        for number in STOP_SIGNALS:
            signal.signal(number, self._handle_stop)
        signal.signal(signal.SIGHUP, self._handle_reload)

    def follow(
        self, on_stop: Callable[[], None], on_reload: Callable[[], None]
    ) -> None:
        """Pass each signal on in the running event loop, and those that have come.

        Parameters
        ----------
        on_stop : callable
            Called after each SIGTERM or SIGINT.
        on_reload : callable
            Called after each SIGHUP.
        """
        self._on_stop, self._on_reload = on_stop, on_reload
        self._loop = asyncio.get_running_loop()
        if self.told_to_stop_at is not None:
            on_stop()
        if self._reloads:
            on_reload()

    def ignore(self) -> None:
        """Ignore the signals from now on: the process ends.

        The interpreter restores the default action of handlers before it ends, but not
        of signals that are ignored.
        """
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _handle_stop(self, number: int, frame: FrameType | None) -> None:
        if self.told_to_stop_at is None:
            self.told_to_stop_at = self._clock.monotonic()
        if self._is_followed():
            self._loop.call_soon_threadsafe(self._on_stop)

    def _handle_reload(self, number: int, frame: FrameType | None) -> None:
        self._reloads = True
        if self._is_followed():
            self._loop.call_soon_threadsafe(self._on_reload)

    def _is_followed(self) -> bool:
        return self._loop is not None and not self._loop.is_closed()
