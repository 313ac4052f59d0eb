"""The ledger: records of the idempotency keys that were seen under a tenure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from cassiahatch_kernel.outcomes import Answer, Outcome, Refusal, Unknown

RECORD_BYTES = 400
"""Bytes counted for a record, in addition to the body of its answer."""


class KeyState(Enum):
    """State of the only run of a key."""

    RUNNING = auto()
    ANSWERED = auto()
    LOST = auto()
    """The call may have run, but its answer is not known."""


@dataclass(slots=True)
class KeyRecord:
    """Record of one idempotency key: the state of its run, and its answer."""

    partition: str
    key: str
    fingerprint: str
    """Hash of the request, by which reuse of the key for another one is detected."""
    mint_ms: int
    """Time at which the key was minted, in milliseconds since the Unix epoch."""
    state: KeyState = KeyState.RUNNING
    answer: Answer | None = None


@dataclass(slots=True, frozen=True)
class Run:
    """The key is new: run the call, then call ``Ledger.finish``."""


@dataclass(slots=True, frozen=True)
class Wait:
    """A call with the key is running: wait for its outcome."""


@dataclass(slots=True, frozen=True)
class Replay:
    """The key was answered before: return the same answer."""

    answer: Answer


@dataclass(slots=True, frozen=True)
class Fail:
    """The call must not be run: return ``outcome``."""

    outcome: Refusal | Unknown


Decision = Run | Wait | Replay | Fail
"""Decision on a non-idempotent call."""


class Ledger:
    """Records of the keys of the tenures that this process holds.

    Each record keeps the complete answer, which is returned to retries with the key.

    Parameters
    ----------
    lifetime_ms : int
        Age after which a key without a record is not run. Records are kept for
        ``skew_ms`` longer.
    skew_ms : int
        Bound on the difference between clocks.
    capacity : int
        Size of records and answers in bytes at which new keys are rejected.
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
        """Decide on a call whose key the tenure accepts.

        Parameters
        ----------
        partition : str
            Partition of the key.
        key : str
            Idempotency key.
        mint_ms, now_ms : int
            Mint time of the key and current time, in milliseconds since the Unix
            epoch.
        fingerprint : str
            Hash of the request that was sent with the key.
        """
        now_ms = self._advance(now_ms)
        record = self._records.get(key)
        if record is not None:
            return self._decide_by_record(record, fingerprint)
        if mint_ms > now_ms + self._skew_ms:
            return Fail(
                Refusal(
                    "key_from_future",
                    "the key's mint time is too far in the future",
                    400,
                )
            )
        if mint_ms < now_ms - self._lifetime_ms:
            return Fail(Unknown("key_expired", "the key is older than its lifetime"))
        if self._bytes >= self._capacity:
            return Fail(
                Refusal("ledger_full", "the ledger of recent keys is full", 503)
            )
        self._records[key] = KeyRecord(partition, key, fingerprint, mint_ms)
        self._bytes += RECORD_BYTES
        return Run()

    def finish(self, key: str, outcome: Outcome) -> None:
        """Record the outcome of the run of a key.

        A refused call did not run, so the record of its key is removed.
        """
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
        """Drop the records of keys that are now too old to be run again."""
        oldest = self._advance(now_ms) - self._lifetime_ms - self._skew_ms
        for record in list(self._records.values()):
            if record.mint_ms < oldest and record.state is not KeyState.RUNNING:
                self._remove(record)

    def list_records(self, partition: str) -> list[KeyRecord]:
        """Return the records of a partition."""
        return [r for r in self._records.values() if r.partition == partition]

    def import_records(self, records: list[KeyRecord]) -> None:
        """Add the records received from a predecessor in a handover.

        Runs that had not ended there count as lost.
        """
        for record in records:
            if record.state is KeyState.RUNNING:
                record.state = KeyState.LOST
            existing = self._records.get(record.key)
            if existing is not None:
                self._remove(existing)
            self._records[record.key] = record
            self._bytes += RECORD_BYTES
            if record.answer is not None:
                self._bytes += len(record.answer.body)

    def drop_partition(self, partition: str) -> None:
        """Drop the records of a partition that another process now holds."""
        for record in self.list_records(partition):
            self._remove(record)

    def count_running(self, partition: str) -> int:
        """Return the number of keys of a partition whose call is running."""
        return sum(r.state is KeyState.RUNNING for r in self.list_records(partition))

    def _advance(self, now_ms: int) -> int:
        """Return the latest time seen: a clock set back makes no expired key valid."""
        self._latest_ms = max(self._latest_ms, now_ms)
        return self._latest_ms

    def _remove(self, record: KeyRecord) -> None:
        del self._records[record.key]
        self._bytes -= RECORD_BYTES
        if record.answer is not None:
            self._bytes -= len(record.answer.body)

    def _decide_by_record(self, record: KeyRecord, fingerprint: str) -> Decision:
        if record.fingerprint != fingerprint:
            detail = "the key was used for another request"
            return Fail(Refusal("key_reused", detail, 422))
        match record.state:
            case KeyState.RUNNING:
                return Wait()
            case KeyState.ANSWERED if record.answer is not None:
                return Replay(record.answer)
            case _:
                detail = "a call with the key may have run, but its answer is not known"
                return Fail(Unknown("answer_lost", detail))
