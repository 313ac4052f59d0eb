"""Times at which the soak's own event loop did not run."""

from __future__ import annotations

import asyncio

TICK_S = 0.02


class StallWatch:
    """Records the stalls of the event loop, in which nothing can be observed.

    A client whose connection is closed during a stall observes this after it, so the
    stall is no part of a time that is known to have passed.
    """

    __slots__ = ("gaps",)

    def __init__(self) -> None:
        self.gaps: list[tuple[float, float]] = []
        """Beginnings and ends of the pauses between two ticks that were late."""

    async def run(self) -> None:
        """Record stalls until cancelled."""
        loop = asyncio.get_running_loop()
        ticked_at = loop.time()
        while True:
            await asyncio.sleep(TICK_S)
            now = loop.time()
            if now - ticked_at > 2 * TICK_S:
                self.gaps.append((ticked_at, now))
            ticked_at = now

    def measure(self, since: float, until: float) -> float:
        """Return the seconds for which the loop was stalled between two times."""
        overlaps = (min(end, until) - max(start, since) for start, end in self.gaps)
        return sum(max(0.0, overlap - TICK_S) for overlap in overlaps)
