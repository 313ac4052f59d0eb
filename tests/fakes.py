"""Fakes of the clock and of the platform's stores, in memory."""

from __future__ import annotations

from cassiahatch_kernel.ports import (
    Committed,
    Condition,
    Conflict,
    Row,
    Scan,
    StoreUnavailableError,
    Write,
)


class FakeClock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now = 1_000_000.0
        self.offset = 0.0
        """Error of the wall clock in seconds."""

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + self.offset


class SkewedClock(FakeClock):
    """A clock that follows another one, with an error of its own."""

    def __init__(self, base: FakeClock) -> None:
        self.base = base
        self.offset = 0.0

    def monotonic(self) -> float:
        return self.base.now

    def wall(self) -> float:
        return self.base.now + self.offset


class FakeTable:
    """A table that can fail, lose answers and delay writes."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.revision = 0
        self.is_out = False
        """Whether the table is unavailable."""
        self.lose_next = False
        """Whether the next transaction takes effect without an answer."""
        self.delay_next = False
        """Whether the next transaction waits for ``deliver_late``."""
        self.delayed: list[tuple[list[Condition], list[Write]]] = []

    async def read(self, key: str) -> Row | None:
        if self.is_out:
            raise StoreUnavailableError("outage")
        return self.rows.get(key)

    async def scan(self, prefix: str, since: int = 0) -> Scan:
        if self.is_out:
            raise StoreUnavailableError("outage")
        rows = [r for k, r in self.rows.items() if k.startswith(prefix)]
        return Scan(tuple(r for r in rows if r.version > since), (), self.revision)

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Committed | Conflict:
        if self.is_out:
            raise StoreUnavailableError("outage")
        if self.delay_next:
            self.delay_next = False
            self.delayed.append((conditions, writes))
            raise StoreUnavailableError("answer late")
        result = self.apply(conditions, writes)
        if self.lose_next:
            self.lose_next = False
            raise StoreUnavailableError("answer lost")
        return result

    def apply(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Committed | Conflict:
        for condition in conditions:
            row = self.rows.get(condition.key)
            version = row.version if row else 0
            if version != condition.version:
                return Conflict(condition.key, version)
        self.revision += 1
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, write.value, self.revision)
        return Committed(self.revision)

    def deliver_late(self) -> None:
        """Apply the delayed transactions, each if its conditions hold."""
        delayed, self.delayed = self.delayed, []
        for conditions, writes in delayed:
            self.apply(conditions, writes)


class FakeObjects:
    """An object store."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    async def get(self, name: str) -> bytes | None:
        return self.objects.get(name)

    async def put(self, name: str, body: bytes) -> None:
        self.objects[name] = body
