"""Membership: the records of the fleet's members that one node has."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from cassiahatch_kernel.hashing import hash_text
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.registry import PLUGINS

BUCKET_COUNT = 128
"""Number of hash buckets of a roster; the same at all nodes."""
UPDATE_RETENTION_S = 15.0
"""How long a received record is listed as a recent update."""
LEFT_RETENTION_S = 600.0
"""How long the record of a member that has left is kept."""


class Digest(msgspec.Struct, frozen=True):
    """Digest of a node's plan lists and members, for comparison with a peer's."""

    lists_version: int
    members_hash: str


@dataclass(slots=True)
class Entry:
    """Latest record of a member, and the time at which it was received."""

    member: Member
    received_at: float
    """Monotonic seconds at which the record was received."""


def _hash_member(member: Member) -> int:
    text = f"{member.node_id}|{member.incarnation}|{member.sequence}"
    return hash_text(text)


def _find_bucket(node_id: str) -> int:
    return hash_text(node_id) % BUCKET_COUNT


@PLUGINS.register("membership", "roster")
class Roster:
    """Table of members with the latest record of each.

    A record is only replaced by a later version of it. Members are distributed over
    buckets by hash. Each bucket has a hash that changes with any record in it, so that
    two nodes find the records that differ without sending all of them.
    """

    __slots__ = ("_buckets", "_by_service", "_entries", "_holders", "revision")

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._by_service: dict[str, dict[str, Member]] = {}
        self._holders: dict[str, dict[str, int]] = {}
        self._buckets = [0] * BUCKET_COUNT
        self.revision = 0
        """Number of records merged into this roster."""

    def __len__(self) -> int:
        return len(self._entries)

    def merge(self, members: Iterable[Member], now: float) -> list[Member]:
        """Merge records, and return those that were new."""
        return [member for member in members if self._merge_one(member, now)]

    def get(self, node_id: str) -> Member | None:
        """Return a member's record, or None."""
        entry = self._entries.get(node_id)
        return entry.member if entry else None

    def list_members(self) -> list[Member]:
        """Return every member that has not left."""
        return [
            entry.member
            for entry in self._entries.values()
            if entry.member.state is not MemberState.LEFT
        ]

    def list_ready_members(self, service: str) -> list[Member]:
        """Return the members of a service that accept new calls."""
        members = self._by_service.get(service, {}).values()
        return [m for m in members if m.state is MemberState.READY]

    def find_holder(self, partition: str) -> Member | None:
        """Return the member with the latest claim on a partition, or None."""
        holder: Member | None = None
        latest_epoch = 0
        for node_id, epoch in self._holders.get(partition, {}).items():
            entry = self._entries.get(node_id)
            if entry is not None and epoch > latest_epoch:
                holder = entry.member
                latest_epoch = epoch
        return holder

    def list_service_members(self, service: str) -> list[Member]:
        """Return the members of a service that have not left, ready or not."""
        return list(self._by_service.get(service, {}).values())

    def count_ready(self) -> int:
        """Return the number of members that accept new calls."""
        return sum(m.state is MemberState.READY for m in self.list_members())

    def count_partitions(self) -> int:
        """Return the number of partitions that have a known holder."""
        return sum(bool(holders) for holders in self._holders.values())

    def list_services(self) -> list[str]:
        """Return the services that have members, sorted."""
        return sorted(
            service for service, members in self._by_service.items() if members
        )

    def list_recent_updates(self, now: float) -> list[Member]:
        """Return the records received within the last ``UPDATE_RETENTION_S``."""
        return [
            entry.member
            for entry in self._entries.values()
            if now - entry.received_at < UPDATE_RETENTION_S
        ]

    def compute_hash(self) -> str:
        """Return a hash over all records."""
        return xxhash.xxh64_hexdigest(b"".join(b.to_bytes(8) for b in self._buckets))

    def list_bucket_hashes(self) -> list[str]:
        """Return the hash of each bucket."""
        return [f"{bucket:016x}" for bucket in self._buckets]

    def list_differing(self, bucket_hashes: list[str]) -> list[Member]:
        """Return the records in buckets whose hash differs from a peer's.

        Parameters
        ----------
        bucket_hashes : list of str
            Hashes of the peer's buckets; with another number of buckets than here,
            no records are returned.
        """
        if len(bucket_hashes) != BUCKET_COUNT:
            return []
        differing = {
            number
            for number, bucket_hash in enumerate(self.list_bucket_hashes())
            if bucket_hash != bucket_hashes[number]
        }
        return [
            entry.member
            for entry in self._entries.values()
            if _find_bucket(entry.member.node_id) in differing
        ]

    def drop_left(self, now: float) -> None:
        """Drop members that left at least ``LEFT_RETENTION_S`` ago."""
        for entry in list(self._entries.values()):
            is_old = now - entry.received_at >= LEFT_RETENTION_S
            if is_old and entry.member.state is MemberState.LEFT:
                self._buckets[_find_bucket(entry.member.node_id)] ^= _hash_member(
                    entry.member
                )
                del self._entries[entry.member.node_id]

    def _merge_one(self, member: Member, now: float) -> bool:
        entry = self._entries.get(member.node_id)
        if entry is not None and entry.member.version >= member.version:
            return False
        bucket = _find_bucket(member.node_id)
        if entry is not None:
            self._buckets[bucket] ^= _hash_member(entry.member)
            self._unindex(entry.member)
        self._buckets[bucket] ^= _hash_member(member)
        self._entries[member.node_id] = Entry(member, now)
        if member.state is not MemberState.LEFT:
            self._index(member)
        self.revision += 1
        return True

    def _index(self, member: Member) -> None:
        if member.service:
            self._by_service.setdefault(member.service, {})[member.node_id] = member
        for claim in member.claims:
            holders = self._holders.setdefault(claim.partition, {})
            holders[member.node_id] = claim.epoch

    def _unindex(self, member: Member) -> None:
        self._by_service.get(member.service, {}).pop(member.node_id, None)
        for claim in member.claims:
            self._holders.get(claim.partition, {}).pop(member.node_id, None)
