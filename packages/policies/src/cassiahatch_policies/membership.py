"""The fleet as one node knows it, and what two nodes tell each other."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from cassiahatch_kernel.hashing import hash_text
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_kernel.registry import PLUGINS

BUCKET_COUNT = 128
NEWS_TERM_S = 15.0
LEFT_TERM_S = 600.0


class Digest(msgspec.Struct, frozen=True):
    """What a node knows, in brief."""

    lists_version: int
    members_hash: str


@dataclass(slots=True)
class Entry:
    """A member's newest record, and when it became known here."""

    member: Member
    learnt_at: float


def _hash_member(member: Member) -> int:
    text = f"{member.node_id}|{member.incarnation}|{member.sequence}"
    return hash_text(text)


def _find_bucket(node_id: str) -> int:
    return hash_text(node_id) % BUCKET_COUNT


@PLUGINS.register("membership", "roster")
class Roster:
    """Newest record of each member; a record is only replaced by a newer one.

    Each bucket of members has a hash that changes with any record in it, so two
    nodes find what differs without sending all they know.
    """

    __slots__ = ("_buckets", "_by_service", "_entries", "_holders", "revision")

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._by_service: dict[str, dict[str, Member]] = {}
        self._holders: dict[str, dict[str, int]] = {}
        self._buckets = [0] * BUCKET_COUNT
        self.revision = 0
        """Counts the changes of this roster."""

    def __len__(self) -> int:
        return len(self._entries)

    def merge(self, members: Iterable[Member], now: float) -> list[Member]:
        """Take in records, and return those that were news."""
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
        """Return the members of a service that take new calls."""
        members = self._by_service.get(service, {}).values()
        return [m for m in members if m.state is MemberState.READY]

    def find_holder(self, partition: str) -> Member | None:
        """Return the member with the newest claim on a partition, or None."""
        best: Member | None = None
        best_epoch = 0
        for node_id, epoch in self._holders.get(partition, {}).items():
            entry = self._entries.get(node_id)
            if entry is not None and epoch > best_epoch:
                best = entry.member
                best_epoch = epoch
        return best

    def list_service_members(self, service: str) -> list[Member]:
        """Return the members of a service, also those that take no new calls."""
        return list(self._by_service.get(service, {}).values())

    def count_ready(self) -> int:
        """Return how many members take new calls."""
        return sum(m.state is MemberState.READY for m in self.list_members())

    def count_partitions(self) -> int:
        """Return how many partitions have a known holder."""
        return sum(bool(holders) for holders in self._holders.values())

    def list_services(self) -> list[str]:
        """Return the services that have members, sorted."""
        return sorted(service for service, found in self._by_service.items() if found)

    def list_recent_updates(self, now: float) -> list[Member]:
        """Return records that became known lately."""
        return [
            entry.member
            for entry in self._entries.values()
            if now - entry.learnt_at < NEWS_TERM_S
        ]

    def compute_hash(self) -> str:
        """Return one hash over all records."""
        return xxhash.xxh64_hexdigest(b"".join(b.to_bytes(8) for b in self._buckets))

    def list_bucket_hashes(self) -> list[str]:
        """Return the hash of each bucket."""
        return [f"{bucket:016x}" for bucket in self._buckets]

    def list_differing(self, bucket_hashes: list[str]) -> list[Member]:
        """Return the records in buckets whose hash is another one there."""
        if len(bucket_hashes) != BUCKET_COUNT:
            return []
        differing = {
            number
            for number, text in enumerate(self.list_bucket_hashes())
            if text != bucket_hashes[number]
        }
        return [
            entry.member
            for entry in self._entries.values()
            if _find_bucket(entry.member.node_id) in differing
        ]

    def drop_left(self, now: float) -> None:
        """Drop members that left long ago."""
        for entry in list(self._entries.values()):
            is_old = now - entry.learnt_at >= LEFT_TERM_S
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
            self._unlink(entry.member)
        self._buckets[bucket] ^= _hash_member(member)
        self._entries[member.node_id] = Entry(member, now)
        if member.state is not MemberState.LEFT:
            self._link(member)
        self.revision += 1
        return True

    def _link(self, member: Member) -> None:
        if member.service:
            self._by_service.setdefault(member.service, {})[member.node_id] = member
        for claim in member.claims:
            holders = self._holders.setdefault(claim.partition, {})
            holders[member.node_id] = claim.epoch

    def _unlink(self, member: Member) -> None:
        self._by_service.get(member.service, {}).pop(member.node_id, None)
        for claim in member.claims:
            self._holders.get(claim.partition, {}).pop(member.node_id, None)
