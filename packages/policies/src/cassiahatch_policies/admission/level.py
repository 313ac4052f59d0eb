"""The admission level: the priority below which calls are refused on arrival."""

from __future__ import annotations

from collections import Counter

from cassiahatch_kernel.priorities import PRIORITY_COUNT

WINDOW_S = 0.1
FIRST_STEP = 16
GROWTH = 2
GROWTH_WHEN_FREE = 4


class AdmissionLevel:
    """Learns the level at which the offered load meets the capacity.

    A window with refusals sets the level from the priorities offered in it. Each
    window without refusals lowers it, by a step that grows, faster while slots are
    free.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_admitted", "_offered", "_refused", "_step", "_window_end", "value")

    def __init__(self, now: float) -> None:
        self.value = 0
        self._step = FIRST_STEP
        self._window_end = now + WINDOW_S
        self._start_window()

    def count_offered(self, priority: int) -> None:
        """Count a call that arrived."""
        self._offered[priority] += 1

    def count_admitted(self) -> None:
        """Count a call that got a slot."""
        self._admitted += 1

    def count_refused(self) -> None:
        """Count a call that was refused for load."""
        self._refused += 1

    def update(self, has_free_slots: bool, now: float) -> None:
        """Close the window if it is over, and move the level."""
        if now < self._window_end:
            return
        if self._refused:
            self._raise()
        elif self.value:
            self._lower(GROWTH_WHEN_FREE if has_free_slots else GROWTH)
        self._window_end = now + WINDOW_S
        self._start_window()

    def _raise(self) -> None:
        self._step = FIRST_STEP
        remaining = self._admitted
        for priority in sorted(self._offered, reverse=True):
            remaining -= self._offered[priority]
            if remaining < 0:
                self.value = min(priority + 1, PRIORITY_COUNT - 1)
                return

    def _lower(self, growth: int) -> None:
        self.value = max(0, self.value - self._step)
        self._step *= growth

    def _start_window(self) -> None:
        self._offered: Counter[int] = Counter()
        self._admitted = 0
        self._refused = 0
