"""What a process used, as Linux tells it."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_FIELD = 11
SYSTEM_FIELD = 12


@dataclass(slots=True, frozen=True)
class Usage:
    """Processor time and memory of a process."""

    processor_s: float
    resident_bytes: int


def read_usage(pid: int) -> Usage:
    """Return what a process used until now."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(ticks / CLOCK_TICKS_PER_S, pages * os.sysconf("SC_PAGE_SIZE"))
