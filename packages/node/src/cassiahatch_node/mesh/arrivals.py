"""Counts of what reaches the backend server beside the node, and their log."""

from __future__ import annotations

import asyncio
from collections import Counter

from cassiahatch_kernel.exchanges import AttemptKind
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.observability.metrics import Metrics

REPORT_INTERVAL_S = 0.5
"""Time between two log lines: the resolution at which the budget of repeats counts."""


class ArrivalLog:
    """Tells how many arrivals were first ones, and how many are owed to repeats."""

    __slots__ = ("_counts", "_journal", "_metrics")

    def __init__(self, metrics: Metrics, journal: Journal) -> None:
        self._metrics = metrics
        self._journal = journal
        self._counts: Counter[AttemptKind] = Counter()

    def note(self, attempt_kind: AttemptKind) -> None:
        """Count one request that is about to reach the backend server."""
        self._counts[attempt_kind] += 1

    async def run(self) -> None:
        """Report what has gathered, for ever."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report()

    def report(self) -> None:
        """Add to the metrics, and write a line if repeats were among the arrivals."""
        counts, self._counts = self._counts, Counter()
        by_name = {kind.log_name: counts[kind] for kind in AttemptKind}
        for name, amount in by_name.items():
            self._metrics.count(f"arrivals:{name}", amount)
        if counts.total() > counts[AttemptKind.FIRST]:
            self._journal.note("arrivals", **by_name)
