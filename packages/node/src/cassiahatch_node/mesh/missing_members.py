"""Members whose rows are missing since the store has come back from an older copy."""

from __future__ import annotations

from collections.abc import Iterable

from cassiahatch_kernel.ports import Scan
from cassiahatch_kernel.store_versions import get_era

RETURN_S = 10.0
"""Time in which a member's node has written its row again: it learns of the new era
within 5 s, when its copy of the members becomes stale, and then writes at once."""


class MissingMembers:
    """Decides when a member is removed whose row a new era does not have."""

    __slots__ = ("_deadlines", "_era")

    def __init__(self) -> None:
        self._era = 0
        self._deadlines: dict[str, float] = {}
        """Monotonic seconds until which a missing row may return, by its key."""

    def find_removed(self, known: Iterable[str], scan: Scan, now: float) -> set[str]:
        """Return the keys of the rows that a whole table no longer has.

        Parameters
        ----------
        known : iterable of str
            Keys of the rows known before.
        now : float
            Monotonic seconds.
        """
        missing = set(known) - {row.key for row in scan.rows}
        era = get_era(scan.revision)
        if era > self._era:
            self._era = era
            for key in missing:
                self._deadlines[key] = now + RETURN_S
        return missing - self._deadlines.keys()

    def drop_overdue(self, scan: Scan, now: float) -> set[str]:
        """Return the keys of the rows that have not returned in time, and forget them."""
        for row in scan.rows:
            self._deadlines.pop(row.key, None)
        overdue = {key for key, at in self._deadlines.items() if now >= at}
        for key in overdue:
            del self._deadlines[key]
        return overdue
