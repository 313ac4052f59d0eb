"""Gossip protocol that propagates members, plan lists and crashes between nodes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.members import Member
from cassiahatch_kernel.plan_changes import ListChange
from cassiahatch_kernel.plans import AcceptedLists, PlanListError, check_lists
from cassiahatch_node.control.client import ControlClient, ControlError
from cassiahatch_node.control.messages import FleetState, GossipReply, GossipRequest
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.observability.events import log_event, log_warning
from cassiahatch_node.settings import PeerSettings
from cassiahatch_policies.quarantine import Crash

GOSSIP_PATH = "/control/gossip"
STATE_PATH = "/control/state"
CRASH_RETENTION_S = 10.0
"""How long a crash is included in gossip messages."""
URGENT_FANOUT = 3
"""Random peers contacted in a round that an update triggered."""


class Gossip:
    """Exchanges digests and recent updates with a random peer at every interval.

    An update triggers a round at once, with several peers.

    Parameters
    ----------
    settings : PeerSettings
        Seed addresses and gossip interval.
    fleet : Fleet
        Local state: members, plan lists and this node's own record.
    quarantine : object
        The quarantine plug-in, to which crashes are reported.
    client : ControlClient
        Client for requests to peers.
    clock : Clock
        Source of time.
    random_source : random.Random
        Random source for the choice of peers.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_crashes",
        "_fleet",
        "_quarantine",
        "_settings",
        "_random",
        "_urgent_peers",
        "_wake",
    )

    def __init__(
        self,
        settings: PeerSettings,
        fleet: Fleet,
        quarantine: Any,
        client: ControlClient,
        clock: Clock,
        random_source: random.Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._random = random_source
        self._crashes: list[tuple[Crash, float]] = []
        self._urgent_peers: set[str] = set()
        self._wake = asyncio.Event()

    async def run(self) -> None:
        """Fetch the state from the seeds, then run gossip rounds until cancelled."""
        await self._fetch_state()
        while True:
            is_triggered = await self._wait_for_round()
            peers = self._choose_peers(URGENT_FANOUT if is_triggered else 1)
            await asyncio.gather(
                *(self._exchange(peer, is_triggered) for peer in peers)
            )

    def trigger_round(self) -> None:
        """Start the next round now instead of at the end of the interval."""
        self._wake.set()

    def report_crash(self, crash: Crash) -> None:
        """Record a crash and, if it is new, propagate it.

        The next round also contacts every known member of this node's service.
        """
        if self._quarantine.record_crash(crash, self._clock.monotonic()):
            self._crashes.append((crash, self._clock.monotonic()))
            members = self._fleet.roster.list_service_members(self._fleet.own.service)
            self._urgent_peers.update(member.address for member in members)
            self.trigger_round()

    def reply(self, request: GossipRequest) -> GossipReply:
        """Apply a peer's updates and return those that the peer is missing."""
        self._apply_updates(request.news, request.crashes)
        fleet = self._fleet
        differs = request.members_hash != fleet.roster.compute_hash()
        updates = self._choose_updates(request)
        hashes: list[str] = []
        if differs and request.is_different:
            hashes = fleet.roster.list_bucket_hashes()
        changes: tuple[ListChange, ...] = ()
        lists = None
        if request.lists_version < fleet.plans.version:
            changes = fleet.list_changes(request.lists_version, request.lists_change_id)
            lists = None if changes else fleet.plans.accepted
        return GossipReply(
            lists_version=fleet.plans.version,
            members_hash=fleet.roster.compute_hash(),
            news=tuple(updates) if differs else (),
            crashes=self._list_recent_crashes(),
            bucket_hashes=tuple(hashes),
            changes=changes,
            lists=lists,
        )

    def _choose_updates(self, request: GossipRequest) -> list[Member]:
        roster = self._fleet.roster
        if request.bucket_hashes:
            return roster.list_differing(list(request.bucket_hashes))
        if request.is_different:
            return roster.list_recent_updates(self._clock.monotonic())
        return []

    def get_state(self) -> FleetState:
        """Return the members and plan lists that a starting node loads."""
        members = tuple(self._fleet.roster.list_members())
        return FleetState(members, self._fleet.plans.accepted)

    async def _wait_for_round(self) -> bool:
        try:
            async with asyncio.timeout(self._settings.gossip_interval_s):
                await self._wake.wait()
        except TimeoutError:
            return False
        self._wake.clear()
        return True

    def _choose_peers(self, count: int) -> list[str]:
        own = self._fleet.own.address
        addresses = {m.address for m in self._fleet.roster.list_members()}
        addresses.update(self._settings.seeds)
        addresses.discard(own)
        chosen = self._random.sample(sorted(addresses), min(count, len(addresses)))
        urgent, self._urgent_peers = self._urgent_peers & addresses, set()
        return sorted(urgent.union(chosen))

    async def _fetch_state(self) -> None:
        for seed in self._settings.seeds:
            try:
                state = await self._client.get(seed, STATE_PATH, FleetState)
            except ControlError as error:
                log_event("seed_unreachable", seed=seed, error=error.detail)
                continue
            self._fleet.merge_members(list(state.members))
            self._fleet.adopt_lists(state.lists)

    async def _exchange(self, address: str, is_triggered: bool) -> None:
        """Synchronize with one peer.

        If the hashes of the members differ, recent updates are exchanged; if they
        still differ after that, the contents of the buckets that differ.
        """
        try:
            reply = await self._send(address, self._make_request(is_triggered))
            if self._differs(reply) and not is_triggered:
                reply = await self._send(address, self._make_request(True))
            if self._differs(reply) and reply.bucket_hashes:
                await self._send(address, self._make_repair(reply))
        except ControlError as error:
            log_event("gossip_failed", peer=address, error=error.detail)

    def _differs(self, reply: GossipReply) -> bool:
        return reply.members_hash != self._fleet.roster.compute_hash()

    async def _send(self, address: str, request: GossipRequest) -> GossipReply:
        reply = await self._client.post(address, GOSSIP_PATH, request, GossipReply)
        self._apply_updates(reply.news, reply.crashes)
        if self._fleet.adopt_changes(reply.changes):
            self.trigger_round()
        if reply.lists is not None:
            self._adopt_lists(reply.lists, address)
        return reply

    def _adopt_lists(self, accepted: AcceptedLists, address: str) -> None:
        try:
            check_lists(accepted.lists)
        except PlanListError as error:
            log_warning("bad_lists_from_peer", peer=address, error=error.detail)
            return
        if self._fleet.adopt_lists(accepted):
            self.trigger_round()

    def _make_request(self, with_updates: bool) -> GossipRequest:
        fleet = self._fleet
        updates = (
            fleet.roster.list_recent_updates(self._clock.monotonic())
            if with_updates
            else []
        )
        return GossipRequest(
            lists_version=fleet.plans.version,
            lists_change_id=fleet.plans.accepted.change_id,
            members_hash=fleet.roster.compute_hash(),
            news=tuple(updates),
            crashes=self._list_recent_crashes(),
            is_different=with_updates,
        )

    def _make_repair(self, reply: GossipReply) -> GossipRequest:
        fleet = self._fleet
        missing = fleet.roster.list_differing(list(reply.bucket_hashes))
        return GossipRequest(
            lists_version=fleet.plans.version,
            lists_change_id=fleet.plans.accepted.change_id,
            members_hash=fleet.roster.compute_hash(),
            news=tuple(missing),
            is_different=True,
            bucket_hashes=tuple(fleet.roster.list_bucket_hashes()),
        )

    def _apply_updates(
        self, members: tuple[Any, ...], crashes: tuple[Crash, ...]
    ) -> None:
        if self._fleet.merge_members(list(members)):
            self._fleet.roster.drop_left(self._clock.monotonic())
        for crash in crashes:
            self.report_crash(crash)

    def _list_recent_crashes(self) -> tuple[Crash, ...]:
        oldest = self._clock.monotonic() - CRASH_RETENTION_S
        self._crashes = [(c, at) for c, at in self._crashes if at >= oldest]
        return tuple(crash for crash, _at in self._crashes)
