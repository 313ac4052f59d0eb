"""The admission level: the priority below which calls are rejected on arrival."""

from __future__ import annotations

from collections import Counter

from cassiahatch_kernel.priorities import PRIORITY_COUNT

WINDOW_S = 0.1
"""Length of the window over which calls are counted."""
FIRST_STEP = 16
"""Decrease of the level after the first window without rejections."""
STEP_GROWTH = 2
"""Growth factor of the step while no slot is free."""
STEP_GROWTH_WHEN_FREE = 4
"""Growth factor of the step while slots are free."""


class AdmissionLevel:
    """Adapts the admission level so that the offered load matches the capacity.

    After a window with rejections, the level is set so that the calls offered at or
    above it are no more than were admitted in the window. After each window without
    rejections it is lowered by a step that grows, faster while slots are free.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_admitted", "_offered", "_rejected", "_step", "_window_end", "value")

    def __init__(self, now: float) -> None:
        self.value = 0
        self._step = FIRST_STEP
        self._window_end = now + WINDOW_S
        self._start_window()

    def count_offered(self, priority: int) -> None:
        """Count a call that requested a slot."""
        self._offered[priority] += 1

    def count_admitted(self) -> None:
        """Count a call that got a slot."""
        self._admitted += 1

    def count_rejected(self) -> None:
        """Count a call that was rejected because of load, or expired in the queue."""
        self._rejected += 1

    def update(self, has_free_slots: bool, now: float) -> None:
        """Update the level if the window has ended, and start the next window."""
        if now < self._window_end:
            return
        if self._rejected:
            self._set_from_offered()
        elif self.value:
            self._lower(STEP_GROWTH_WHEN_FREE if has_free_slots else STEP_GROWTH)
        self._window_end = now + WINDOW_S
        self._start_window()

    def _set_from_offered(self) -> None:
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
        self._rejected = 0
