"""Tenures: who may run the keys of a partition that were minted in a span.

Safety rests on the table alone. Two tenures of one partition never share a mint
time, because a new one starts where the row says the last one ends. A holder that
was paused and wakes can therefore only run keys which no successor accepts.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec


class Tenure(msgspec.Struct, frozen=True):
    """The row of one partition in the table."""

    partition: str
    owner: str
    """Identity and address of the holder."""
    incarnation: int
    """Incarnation of the holder's process."""
    epoch: int
    start_ms: int
    """Earliest mint time accepted, in milliseconds since the Unix epoch."""
    end_ms: int
    """First mint time no longer accepted."""
    transfer_id: str = ""
    """Identity of the hand-over whose records the holder needs; empty if none."""


@dataclass(slots=True, frozen=True)
class TenurePolicy:
    """How long tenures last."""

    length_ms: int
    renew_before_ms: int
    """A tenure is extended once less than this is left."""
    skew_ms: int
    """Bound on how far callers' and nodes' clocks may differ."""


def plan_claim(
    row: Tenure | None,
    partition: str,
    owner: str,
    incarnation: int,
    now_ms: int,
    policy: TenurePolicy,
) -> Tenure | None:
    """Return the row to write so that ``owner`` holds the partition, or None.

    A free partition is taken from now on. One whose tenure is over is continued
    where it ended. One held by an earlier process on the same address is taken at
    once, since that process has ended: keys that it may have run were minted no
    later than the clock bound after now. So is one that was handed over to this
    process when its records did not arrive. The caller does not hold the partition.

    Parameters
    ----------
    row : Tenure or None
        The row as read.
    partition, owner : str
        What is claimed, and the claiming node.
    incarnation : int
        Incarnation of the claiming process.
    now_ms : int
        Milliseconds since the Unix epoch.
    policy : TenurePolicy
        Lengths and the clock bound.
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
    """Return the longer tenure to write, or None while enough is left.

    A tenure that is over may be extended too: while its row is unchanged, nobody
    continued it, and the holder has all its records.
    """
    if held.end_ms - now_ms >= policy.renew_before_ms:
        return None
    return msgspec.structs.replace(held, end_ms=now_ms + policy.length_ms)


def plan_transfer(
    held: Tenure, owner: str, incarnation: int, transfer_id: str
) -> Tenure:
    """Return the row that hands the whole tenure to a successor with its records.

    The successor takes over only with the records that were sent under the same
    ``transfer_id``; those of an attempt before it may lack keys.
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
    """A tenure that this process holds, as last confirmed by the table."""

    tenure: Tenure
    row_version: int
    held_since: float
    """Monotonic seconds at which this process began to hold the epoch."""
    closed: bool = False
    """Set for good before the tenure is handed over."""


class TenureBook:
    """The tenures that this process holds."""

    __slots__ = ("_holdings",)

    def __init__(self) -> None:
        self._holdings: dict[str, Holding] = {}

    def hold(self, tenure: Tenure, row_version: int, now: float) -> None:
        """Take in what the table confirmed, unless a later epoch is held.

        Parameters
        ----------
        tenure : Tenure
            The row.
        row_version : int
            Version of the row, for the next write.
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
        """Stop accepting for a partition, and return what was held."""
        held = self._holdings.get(partition)
        if held is None:
            return None
        self._holdings[partition] = replace(held, closed=True)
        return held

    def reopen(self, partition: str) -> None:
        """Accept again after a hand-over that the table certainly did not take."""
        held = self._holdings[partition]
        self._holdings[partition] = replace(held, closed=False)

    def drop(self, partition: str) -> None:
        """Forget a partition that another process holds now."""
        self._holdings.pop(partition, None)

    def find(self, partition: str) -> Holding | None:
        """Return what is held of a partition, or None."""
        return self._holdings.get(partition)

    def list_open(self) -> list[Holding]:
        """Return the holdings that accept."""
        return [held for held in self._holdings.values() if not held.closed]

    def list_closed(self) -> list[Holding]:
        """Return the holdings that were closed and not handed over yet."""
        return [held for held in self._holdings.values() if held.closed]

    def accepts(self, partition: str, mint_ms: int) -> bool:
        """Tell whether a key minted at ``mint_ms`` may be run here."""
        held = self._holdings.get(partition)
        if held is None or held.closed:
            return False
        return held.tenure.start_ms <= mint_ms < held.tenure.end_ms
