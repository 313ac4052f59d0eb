"""Clocks, injected into the code that makes decisions."""

from __future__ import annotations

import time
from functools import partial
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic and of wall-clock time."""

    def monotonic(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """The clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return monotonic seconds since an arbitrary origin."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class BootClock(SystemClock):
    """A clock whose monotonic time also advances while the VM is suspended."""

    __slots__ = ()

    monotonic = staticmethod(partial(time.clock_gettime, time.CLOCK_BOOTTIME))
    """Return the seconds since the VM booted, including time spent suspended.

    Called several times per request, so a C function is bound directly to save the
    cost of a Python frame.
    """
