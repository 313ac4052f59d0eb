"""View of the fleet from one node: members, plan lists and the node's own record."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.members import Claim, Member, MemberState, Route
from cassiahatch_kernel.plan_changes import ListChange, apply_change, diff_lists
from cassiahatch_kernel.plans import AcceptedLists, PlanIndex
from cassiahatch_node.observability.events import log_event
from cassiahatch_node.settings import NodeSettings
from cassiahatch_policies.membership import Roster

MS_PER_S = 1000
MAX_KEPT_CHANGES = 64
"""Latest list changes kept; peers that are further behind get complete lists."""


class Fleet:
    """The roster, the plan lists in force, and this node's own record.

    Parameters
    ----------
    settings : NodeSettings
        Identity, address and zone of the node.
    clock : Clock
        Source of time.
    roster : Roster
        The membership plug-in, which stores the members.
    """

    __slots__ = ("_changes", "_clock", "_own", "on_change", "plans", "roster")

    def __init__(self, settings: NodeSettings, clock: Clock, roster: Roster) -> None:
        self._clock = clock
        self.roster = roster
        self.plans = PlanIndex()
        self.on_change: Callable[[], None] = _ignore_change
        self._changes: deque[ListChange] = deque(maxlen=MAX_KEPT_CHANGES)
        self._own = Member(
            settings.id,
            settings.host,
            settings.peer_port,
            settings.zone,
            int(clock.wall() * MS_PER_S),
        )
        self._merge_own()

    @property
    def own(self) -> Member:
        """The record of this node."""
        return self._own

    @property
    def is_ready(self) -> bool:
        """Whether plan lists are in force, which admission of calls requires."""
        return self.plans.version > 0

    def announce(self, service: str, slots: int, routes: tuple[Route, ...]) -> None:
        """Publish a ready backend server with its service, slots and routes."""
        self._update_own(
            state=MemberState.READY, service=service, slots=slots, routes=routes
        )

    def set_state(self, state: MemberState) -> None:
        """Publish a change of the backend server's state."""
        if self._own.state is not state:
            self._update_own(state=state)

    def set_claims(self, claims: tuple[Claim, ...]) -> None:
        """Publish which tenures this node holds."""
        if self._own.claims != claims:
            self._update_own(claims=claims)

    def adopt_lists(self, accepted: AcceptedLists) -> bool:
        """Put lists in force if they are newer, and return whether they were."""
        previous = self.plans.accepted
        if not self.plans.adopt(accepted):
            return False
        self._changes.append(diff_lists(previous, accepted))
        log_event("lists_in_force", version=accepted.version, change=accepted.change_id)
        return True

    def list_changes(self, version: int, change_id: str) -> tuple[ListChange, ...]:
        """Return the changes since a version, or () if not all of them are kept."""
        found: list[ListChange] = []
        for change in self._changes:
            is_first = (change.base_version, change.base_change_id) == (
                version,
                change_id,
            )
            if found or is_first:
                found.append(change)
        return tuple(found)

    def adopt_changes(self, changes: tuple[ListChange, ...]) -> bool:
        """Apply changes in order, and return whether any was new."""
        adopted = False
        for change in changes:
            accepted = apply_change(self.plans.accepted, change)
            if accepted is not None:
                adopted = self.adopt_lists(accepted) or adopted
        return adopted

    def merge_members(self, members: list[Member]) -> list[Member]:
        """Merge member records, and return those that were new."""
        new_members = self.roster.merge(members, self._clock.monotonic())
        for member in new_members:
            if member.node_id == self._own.node_id:
                self._supersede_own(member)
        return new_members

    def mark_draining(self, node_id: str) -> None:
        """Mark a member as draining before its own record is updated."""
        member = self.roster.get(node_id)
        if member is not None and member.state is MemberState.READY:
            sequence = member.sequence + 1
            draining = replace(member, state=MemberState.DRAINING, sequence=sequence)
            self.merge_members([draining])

    def _supersede_own(self, other: Member) -> None:
        """Publish a newer record than the one that other nodes hold of this node."""
        incarnation = max(self._own.incarnation, other.incarnation)
        self._own = replace(
            self._own, incarnation=incarnation, sequence=other.sequence + 1
        )
        self._merge_own()

    def _update_own(self, **changes: object) -> None:
        self._own = replace(self._own, sequence=self._own.sequence + 1, **changes)
        self._merge_own()
        self.on_change()

    def _merge_own(self) -> None:
        self.roster.merge([self._own], self._clock.monotonic())


def _ignore_change() -> None:
    """Do nothing; the default until a callback is set."""
