"""Tenures of the keepers of quotas: who may grant units for a position, and until when.

A row of the store names the holder of a position and the end of its tenure on the
store's clock. Each write is conditional on the row's version, so that of two nodes that
claim a position only one succeeds.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import msgspec

from cassiahatch_kernel.hashing import hash_text

POSITIONS = 8
"""Number of keepers. More of them spread the messages of requests without units at hand;
each costs a write to the store in every ``RENEWAL_INTERVAL_S``, 2 a second in all."""
RENEWAL_INTERVAL_S = 4.0
TENURE_S = 6.5
"""Length of a tenure: the store may be away for 2.5 s before one ends. When a keeper is
lost, an eighth of the teams wait for as long as this for a new one."""
CLOCK_MARGIN_S = 0.05
"""Time by which a holder ends its tenure early. Clocks differ in speed by less than that
in the time for which a measurement of the store's clock is used."""


class StoreTime(msgspec.Struct, frozen=True):
    """A reading of the store's clock, with the monotonic seconds around it."""

    read_at: float
    """Seconds of the store's clock."""
    sent_at: float
    received_at: float

    def compute_latest(self, now: float) -> float:
        """Return the latest that the store's clock may show."""
        return self.read_at + now - self.sent_at

    def find_local(self, store_time: float) -> float:
        """Return the monotonic seconds by which the store's clock surely shows a time."""
        return self.received_at + store_time - self.read_at


class TenureRow(msgspec.Struct, array_like=True, frozen=True):
    """Row of a position: its holder, and the end of the holder's tenure."""

    holder: str
    """Node id; empty if the row can't be decoded."""
    address: str
    """Address of the holder, at which only one process can listen at a time."""
    process: int
    """Random number of the holder's process."""
    number: int
    """Number of the tenure; the next one of the position has a higher one."""
    ends_at: float
    """Seconds of the store's clock."""


class Candidate(msgspec.Struct, frozen=True):
    """A node that claims positions."""

    node_id: str
    address: str
    """Address at which the node listens for links."""
    process: int
    is_first_start: bool
    """Whether the whole system starts for the first time."""


class Claim(msgspec.Struct, frozen=True):
    """A row to write, and the tenure that begins once it is written."""

    row: TenureRow
    started_at: float
    """Monotonic seconds at which the last predecessor ceased to grant units; minus
    infinity if there was none."""
    ends_at: float
    """Monotonic seconds until which units may be granted."""
    is_continued: bool = False
    """Whether the row already is that of this process."""


class Wait(msgspec.Struct, frozen=True):
    """The position has a holder until these monotonic seconds."""

    until: float


def plan_claim(
    row: TenureRow | None, own: Candidate, store_time: StoreTime, now: float
) -> Claim | Wait:
    """Return how to claim a position, or until when another node holds it.

    An earlier process of the same node and address has ended, since this one listens
    there.
    """
    if row is None:
        started_at = float("-inf") if own.is_first_start else now
        return _make_claim(own, 1, store_time, started_at, now)
    if (row.holder, row.address) == (own.node_id, own.address):
        is_continued = row.process == own.process
        number = row.number + (not is_continued)
        return _make_claim(own, number, store_time, now, now, is_continued)
    ended_at = store_time.find_local(row.ends_at)
    if ended_at > now:
        return Wait(ended_at)
    return _make_claim(own, row.number + 1, store_time, ended_at, now)


def plan_renewal(row: TenureRow, store_time: StoreTime, now: float) -> Claim:
    """Return the row that prolongs a tenure from now on."""
    ends_at = store_time.compute_latest(now) + TENURE_S
    renewed = msgspec.structs.replace(row, ends_at=ends_at)
    return Claim(renewed, now, now + TENURE_S - CLOCK_MARGIN_S, is_continued=True)


def _make_claim(
    own: Candidate,
    number: int,
    store_time: StoreTime,
    started_at: float,
    now: float,
    is_continued: bool = False,
) -> Claim:
    ends_at = store_time.compute_latest(now) + TENURE_S
    row = TenureRow(own.node_id, own.address, own.process, number, ends_at)
    return Claim(row, started_at, now + TENURE_S - CLOCK_MARGIN_S, is_continued)


def find_position(team: str) -> int:
    """Return the position whose holder keeps a team's quota."""
    return hash_text(team) % POSITIONS


def rank_candidates(position: int, node_ids: Iterable[str], count: int) -> list[str]:
    """Return the first nodes in the order in which they should hold a position.

    The order of two nodes is the same whatever other nodes are known.
    """
    return heapq.nsmallest(
        count, node_ids, key=lambda node_id: hash_text(f"{position}/{node_id}")
    )
