"""What reached each service, told apart by what it is owed to."""

from __future__ import annotations

from collections import Counter


class Oracle:
    """Arrivals at each service, counted as the bound on repeats counts them.

    A request that runs again makes its calls again; these are owed to the repeat, as
    is what their runs call.
    """

    def __init__(self) -> None:
        self.arrivals: Counter[tuple[str, str]] = Counter()
        """By service, and ``first``, ``repeat`` or ``below_repeat``."""
        self._seen: set[str] = set()
        self._owed: set[str] = set()

    def note(self, service: str, request_id: str) -> bool:
        """Count an arrival, and tell whether its run is owed to a repeat."""
        kind = "below_repeat" if request_id in self._owed else "first"
        if request_id in self._seen:
            kind = "repeat"
        self._seen.add(request_id)
        self.arrivals[service, kind] += 1
        return kind != "first"

    def note_call(self, request_id: str, is_owed: bool) -> None:
        """Take in that a run is about to make a call."""
        if is_owed:
            self._owed.add(request_id)

    def count_repeats(self, service: str) -> int:
        """Return the arrivals of a service that are owed to repeats."""
        kinds = ("repeat", "below_repeat")
        return sum(self.arrivals[service, kind] for kind in kinds)
