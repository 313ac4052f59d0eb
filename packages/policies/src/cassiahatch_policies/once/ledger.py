"""The record of keys that a tenure has seen."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from cassiahatch_kernel.outcomes import Answer, Outcome, Refusal, Unknown

RECORD_BYTES = 400
"""What a record takes beside the body of its answer."""


class KeyState(Enum):
    """Where the one run of a key stands."""

    RUNNING = auto()
    ANSWERED = auto()
    LOST = auto()
    """It may have run; the answer is not known."""


@dataclass(slots=True)
class KeyRecord:
    """What became of one key."""

    partition: str
    key: str
    fingerprint: str
    """Hash of the request, so that a key is not used for two requests."""
    mint_ms: int
    state: KeyState = KeyState.RUNNING
    answer: Answer | None = None


@dataclass(slots=True, frozen=True)
class Run:
    """The key is new: run it, then call ``finish`` or ``withdraw``."""


@dataclass(slots=True, frozen=True)
class Wait:
    """The key runs now: wait for that run's outcome."""


@dataclass(slots=True, frozen=True)
class Replay:
    """The key was answered before: give the same answer."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class Fail:
    """The key must not be run here."""

    outcome: Refusal | Unknown


Decision = Run | Wait | Replay | Fail
"""What to do with a non-idempotent call."""


class Ledger:
    """Keys of the tenures that this process holds, each with its whole answer.

    Parameters
    ----------
    lifetime_ms : int
        Age after which a key is refused, and its record forgotten.
    skew_ms : int
        Bound on how far clocks may differ.
    capacity : int
        Most bytes of records and answers kept; new keys are refused beyond it.
    """

    __slots__ = (
        "_bytes",
        "_capacity",
        "_latest_ms",
        "_lifetime_ms",
        "_records",
        "_skew_ms",
    )

    def __init__(self, lifetime_ms: int, skew_ms: int, capacity: int) -> None:
        self._lifetime_ms = lifetime_ms
        self._skew_ms = skew_ms
        self._capacity = capacity
        self._records: dict[str, KeyRecord] = {}
        self._bytes = 0
        self._latest_ms = 0

    def __len__(self) -> int:
        return len(self._records)

    def begin(
        self, partition: str, key: str, mint_ms: int, fingerprint: str, now_ms: int
    ) -> Decision:
        """Decide what to do with a key that the tenure accepts.

        Parameters
        ----------
        partition : str
            Partition of the key.
        key : str
            Idempotency key.
        mint_ms, now_ms : int
            Milliseconds since the Unix epoch.
        fingerprint : str
            Hash of the request that comes with the key.
        """
        now_ms = self._advance(now_ms)
        record = self._records.get(key)
        if record is not None:
            return self._decide_known(record, fingerprint)
        if mint_ms > now_ms + self._skew_ms:
            return Fail(Refusal("key_from_future", "mint time is ahead", 400))
        if mint_ms < now_ms - self._lifetime_ms:
            return Fail(Unknown("key_expired", "the key is older than its lifetime"))
        if self._bytes >= self._capacity:
            return Fail(Refusal("ledger_full", "too many recent keys", 503))
        self._records[key] = KeyRecord(partition, key, fingerprint, mint_ms)
        self._bytes += RECORD_BYTES
        return Run()

    def finish(self, key: str, outcome: Outcome) -> None:
        """Record how the run of a key ended."""
        match outcome:
            case Refusal():
                self._remove(self._records[key])
            case Answer():
                record = self._records[key]
                record.state = KeyState.ANSWERED
                record.answer = outcome
                self._bytes += len(outcome.body)
            case Unknown():
                self._records[key].state = KeyState.LOST

    def drop_expired(self, now_ms: int) -> None:
        """Drop records of keys that are refused for their age by now."""
        oldest = self._advance(now_ms) - self._lifetime_ms - self._skew_ms
        for record in list(self._records.values()):
            if record.mint_ms < oldest and record.state is not KeyState.RUNNING:
                self._remove(record)

    def list_records(self, partition: str) -> list[KeyRecord]:
        """Return the records of a partition, for the successor."""
        return [r for r in self._records.values() if r.partition == partition]

    def import_records(self, records: list[KeyRecord]) -> None:
        """Take in the records of a predecessor."""
        for record in records:
            if record.state is KeyState.RUNNING:
                record.state = KeyState.LOST
            known = self._records.get(record.key)
            if known is not None:
                self._remove(known)
            self._records[record.key] = record
            self._bytes += RECORD_BYTES
            if record.answer is not None:
                self._bytes += len(record.answer.body)

    def drop_partition(self, partition: str) -> None:
        """Forget the records of a partition that was handed over."""
        for record in self.list_records(partition):
            self._remove(record)

    def count_running(self, partition: str) -> int:
        """Return how many keys of a partition run now."""
        return sum(r.state is KeyState.RUNNING for r in self.list_records(partition))

    def _advance(self, now_ms: int) -> int:
        """Return the latest time seen, so that a clock set back revives no key."""
        self._latest_ms = max(self._latest_ms, now_ms)
        return self._latest_ms

    def _remove(self, record: KeyRecord) -> None:
        del self._records[record.key]
        self._bytes -= RECORD_BYTES
        if record.answer is not None:
            self._bytes -= len(record.answer.body)

    def _decide_known(self, record: KeyRecord, fingerprint: str) -> Decision:
        if record.fingerprint != fingerprint:
            detail = "the key was used for another request"
            return Fail(Refusal("key_reused", detail, 422))
        match record.state:
            case KeyState.RUNNING:
                return Wait()
            case KeyState.ANSWERED if record.answer is not None:
                return Replay(record.answer)
            case _:
                detail = "the key may have run; its answer is lost"
                return Fail(Unknown("answer_lost", detail))
