"""Counting and logging of calls sent to the local backend server."""

from __future__ import annotations

import asyncio
from collections import Counter

from cassiahatch_kernel.exchanges import AttemptKind
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.observability.metrics import Metrics

REPORT_INTERVAL_S = 0.5
"""Time between two log lines; equals the resolution of the retry budget's window."""


class ArrivalLog:
    """Reports how many arrivals were first attempts, and how many retries caused."""

    __slots__ = ("_counts", "_journal", "_metrics")

    def __init__(self, metrics: Metrics, journal: Journal) -> None:
        self._metrics = metrics
        self._journal = journal
        self._counts: Counter[AttemptKind] = Counter()

    def record(self, attempt_kind: AttemptKind) -> None:
        """Count a call that is about to be sent to the backend server."""
        self._counts[attempt_kind] += 1

    async def run(self) -> None:
        """Report the counts periodically until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Add the counts to the metrics; log them if retries caused any arrival."""
        counts, self._counts = self._counts, Counter()
        by_name = {kind.log_name: counts[kind] for kind in AttemptKind}
        for name, amount in by_name.items():
            self._metrics.count(f"arrivals:{name}", amount)
        if counts.total() > counts[AttemptKind.FIRST]:
            self._journal.note("arrivals", **by_name)
