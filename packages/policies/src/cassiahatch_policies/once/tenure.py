"""Tenures: leases by which one process at a time runs the keys of a partition.

Safety depends only on the shared table of the tenures. Two tenures of one partition
never cover the same mint time, because a new one starts where the row says that the
previous one ends. A holder that resumes after a pause can therefore only run keys that
no successor accepts.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec


class Tenure(msgspec.Struct, frozen=True):
    """The row of one partition in the table.

    A tenure is a lease over key mint times: while its owner holds it, no other process
    runs the partition's keys that were minted within its bounds.
    """

    partition: str
    owner: str
    """Identity and address of the holder."""
    incarnation: int
    """Incarnation of the holder's process."""
    epoch: int
    """Number of the tenure; each claim and each handover increases it."""
    start_ms: int
    """First mint time that is accepted, in milliseconds since the Unix epoch."""
    end_ms: int
    """First mint time that is no longer accepted."""
    transfer_id: str = ""
    """Identity of the handover whose records the holder needs; empty if none."""


@dataclass(slots=True, frozen=True)
class TenurePolicy:
    """Durations of tenures, and the bound on clock skew."""

    length_ms: int
    renew_before_ms: int
    """Remaining time below which a tenure is renewed."""
    skew_ms: int
    """Bound on the difference between the clocks of callers and nodes."""


def plan_claim(
    row: Tenure | None,
    partition: str,
    owner: str,
    incarnation: int,
    now_ms: int,
    policy: TenurePolicy,
) -> Tenure | None:
    """Return the row by which ``owner`` claims the partition, or None.

    None means that another process may still hold it.

    A partition without a row is claimed from now on. A tenure that has ended is
    continued from its end. A tenure of an earlier process on the same address is
    claimed at once, because that process has ended: the keys that it may have run were
    minted at most ``skew_ms`` after now, and the new tenure starts there. The same
    holds for a tenure that was handed over to this process without its records
    arriving. The claiming process must not hold the partition already.

    Parameters
    ----------
    row : Tenure or None
        The current row.
    partition, owner : str
        The partition to claim, and the identity and address of the claiming node.
    incarnation : int
        Incarnation of the claiming process.
    now_ms : int
        Milliseconds since the Unix epoch.
    policy : TenurePolicy
        Duration of the tenure, and the bound on clock skew.
    """
    if row is None:
        return Tenure(
            partition, owner, incarnation, 1, now_ms, now_ms + policy.length_ms
        )
    if row.owner == owner and row.incarnation <= incarnation:
        start_ms = max(row.start_ms, now_ms + policy.skew_ms)
    elif row.end_ms + policy.skew_ms < now_ms:
        start_ms = row.end_ms
    else:
        return None
    end_ms = max(row.end_ms, now_ms + policy.length_ms)
    return Tenure(partition, owner, incarnation, row.epoch + 1, start_ms, end_ms)


def plan_renewal(held: Tenure, now_ms: int, policy: TenurePolicy) -> Tenure | None:
    """Return the extended tenure to write, or None if enough time is left.

    A tenure that has ended may be extended too: as long as its row is unchanged, no
    other process has continued it, and the holder has all its records.
    """
    if held.end_ms - now_ms >= policy.renew_before_ms:
        return None
    return msgspec.structs.replace(held, end_ms=now_ms + policy.length_ms)


def plan_transfer(
    held: Tenure, owner: str, incarnation: int, transfer_id: str
) -> Tenure:
    """Return the row by which the tenure is handed over to a successor.

    The successor takes over only with the records that were sent under the same
    ``transfer_id``; the records of an earlier attempt may lack keys.
    """
    return msgspec.structs.replace(
        held,
        owner=owner,
        incarnation=incarnation,
        epoch=held.epoch + 1,
        transfer_id=transfer_id,
    )


@dataclass(slots=True, frozen=True)
class Holding:
    """A tenure held by this process, as last confirmed by the table."""

    tenure: Tenure
    row_version: int
    """Version of the row, on which the next write is conditional."""
    held_since: float
    """Monotonic seconds from which this process has held this epoch."""
    closed: bool = False
    """Whether keys are no longer accepted, because a handover has started."""


class TenureBook:
    """The tenures held by this process, by partition."""

    __slots__ = ("_holdings",)

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}

    def hold(self, tenure: Tenure, row_version: int, now: float) -> None:
        """Record a tenure that the table confirmed, unless a later epoch is held.

        Parameters
        ----------
        tenure : Tenure
            The row.
        row_version : int
            Version of the row.
        now : float
            Monotonic seconds.
        """
        held = self._holdings.get(tenure.partition)
        if held is None or held.tenure.epoch < tenure.epoch:
            held = Holding(tenure, row_version, now)
        elif held.tenure.epoch == tenure.epoch:
            held = replace(held, tenure=tenure, row_version=row_version)
        self._holdings[tenure.partition] = held

    def close(self, partition: str) -> Holding | None:
        """Stop accepting keys of a partition; return its holding, or None."""
        held = self._holdings.get(partition)
        if held is None:
            return None
        self._holdings[partition] = replace(held, closed=True)
        return held

    def reopen(self, partition: str) -> None:
        """Accept keys again after a handover that was certainly not committed."""
        held = self._holdings[partition]
        self._holdings[partition] = replace(held, closed=False)

    def drop(self, partition: str) -> None:
        """Remove the tenure of a partition that another process now holds."""
        self._holdings.pop(partition, None)

    def find(self, partition: str) -> Holding | None:
        """Return the holding of a partition, or None."""
        return self._holdings.get(partition)

    def list_open(self) -> list[Holding]:
        """Return the holdings that accept keys."""
        return [held for held in self._holdings.values() if not held.closed]

    def list_closed(self) -> list[Holding]:
        """Return the holdings whose handover has started and not been completed."""
        return [held for held in self._holdings.values() if held.closed]

    def accepts(self, partition: str, mint_ms: int) -> bool:
        """Return whether a key minted at ``mint_ms`` may be run by this process."""
        held = self._holdings.get(partition)
        if held is None or held.closed:
            return False
        return held.tenure.start_ms <= mint_ms < held.tenure.end_ms
