"""Arrivals at each service, by attempt kind."""

from __future__ import annotations

from collections import Counter


class RetryOracle:
    """Counts the arrivals at each service in the same way as the retry budget.

    A retry makes the calls of its run again. These calls, and those that their runs
    make, are caused by the retry too.
    """

    def __init__(self) -> None:
        self.arrivals: Counter[tuple[str, str]] = Counter()
        """Arrivals by service and attempt kind, under the kind's name in metrics."""
        self._seen: set[str] = set()
        self._caused_by_retry: set[str] = set()

    def record_arrival(self, service: str, request_id: str) -> bool:
        """Count an arrival, and tell whether a retry caused it."""
        kind = "below_repeat" if request_id in self._caused_by_retry else "first"
        if request_id in self._seen:
            kind = "repeat"
        self._seen.add(request_id)
        self.arrivals[service, kind] += 1
        return kind != "first"

    def record_call(self, request_id: str, is_caused_by_retry: bool) -> None:
        """Record a call before a run makes it."""
        if is_caused_by_retry:
            self._caused_by_retry.add(request_id)

    def count_retry_arrivals(self, service: str) -> int:
        """Return the number of a service's arrivals that retries caused."""
        kinds = ("repeat", "below_repeat")
        return sum(self.arrivals[service, kind] for kind in kinds)
