"""CPU time and memory of a process, read from Linux's proc file system."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
UTIME_INDEX = 11
STIME_INDEX = 12
"""Indexes of the user and system time among the fields after the command name."""


@dataclass(slots=True, frozen=True)
class Usage:
    """Resource usage of a process."""

    cpu_s: float
    """User and system time since the start of the process."""
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[UTIME_INDEX]) + int(fields[STIME_INDEX])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / CLOCK_TICKS_PER_S, pages * os.sysconf("SC_PAGE_SIZE"))
