"""Record of which requests to the store were answered."""

from __future__ import annotations

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.ports import StoreUnavailableError
from cassiahatch_node.mesh.journal import Journal


class StoreAnswers:
    """When the store last answered about each table, and which requests fail."""

    __slots__ = ("_answered_at", "_clock", "_failing_tables", "_journal")

    def __init__(self, clock: Clock, journal: Journal) -> None:
        self._clock = clock
        self._journal = journal
        self._failing_tables: set[str] = set()
        self._answered_at: dict[str, float] = {}
        """Monotonic seconds of the store's last answer about each table."""

    @property
    def is_available(self) -> bool:
        """Whether the last request about each table succeeded."""
        return not self._failing_tables

    def measure_ages(self) -> dict[str, float]:
        """Return the seconds since the store's last answer about each table."""
        now = self._clock.monotonic()
        return {table: round(now - at, 3) for table, at in self._answered_at.items()}

    def record_failure(self, table: str, error: StoreUnavailableError) -> None:
        """Record a request that failed, and log the first one in a row."""
        if table not in self._failing_tables:
            self._failing_tables.add(table)
            self._journal.note("store_lost", table=table, error=error.detail)

    def record_success(self, table: str) -> None:
        """Record a request that was answered, and log the first one after a failure."""
        self._answered_at[table] = self._clock.monotonic()
        if table in self._failing_tables:
            self._failing_tables.discard(table)
            self._journal.note("store_regained", table=table)
