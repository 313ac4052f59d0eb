"""Candidates for the positions of quota keepers, and the links to them."""

from __future__ import annotations

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.members import MemberState
from cassiahatch_node.mesh.directory import Directory
from cassiahatch_policies.quota_tenure import POSITIONS, rank_candidates

RANKED = 16
"""Candidates of a position that are considered, also those that are not running."""
STANDBYS = 4
"""Candidates among them that see to it that a position has a holder. Others claim it only
when they are asked for it, so that few nodes open links for this."""
REFRESH_INTERVAL_S = 2.0
"""Shortest interval between two rankings of the members."""
MEMBERS_RANKED_PER_S = 500
"""Members ranked a second: with a hash of 0.3 us for each position, 0.1 % of a core."""
AVOIDANCE_S = 1.0
"""Time for which a node that did not help is not asked for a position, if there are
others."""


class QuotaCandidates:
    """Ranks the members as keepers, and knows which of them can be reached."""

    __slots__ = (
        "_avoided",
        "_clock",
        "_directory",
        "_own_id",
        "_ranked_at",
        "_rankings",
        "is_leaving",
    )

    def __init__(self, own_id: str, directory: Directory, clock: Clock) -> None:
        self._own_id = own_id
        self._directory = directory
        self._clock = clock
        self._rankings: list[list[str]] = [[] for _ in range(POSITIONS)]
        self._ranked_at = float("-inf")
        self._avoided: dict[tuple[int, str], float] = {}
        """Positions and nodes that did not help with them, and until when."""
        self.is_leaving = False
        """Whether this node stops and is no longer a candidate."""

    def avoid(self, position: int, node_id: str) -> None:
        """Prefer other nodes for a while, since this one did not help.

        It may still be the keeper of other positions.
        """
        now = self._clock.monotonic()
        self._avoided = {
            key: until for key, until in self._avoided.items() if until > now
        }
        self._avoided[position, node_id] = now + AVOIDANCE_S

    def is_first(self, position: int) -> bool:
        """Return whether no other candidate for a position can be reached before this."""
        ready = self._list_ready(position)[:STANDBYS]
        if self._own_id not in ready:
            return False
        ahead = ready[: ready.index(self._own_id)]
        return not any(self.is_reachable(node_id) for node_id in ahead)

    def choose(self, position: int) -> str | None:
        """Return the first candidate that can be reached, or None."""
        now = self._clock.monotonic()
        for node_id in self._list_ready(position):
            is_avoided = self._avoided.get((position, node_id), now) > now
            if not is_avoided and self.is_reachable(node_id):
                return node_id
        return None

    def is_reachable(self, node_id: str) -> bool:
        """Return whether a node can be asked; opens the link to it."""
        if node_id == self._own_id:
            return not self.is_leaving
        link = self._directory.ensure_link(node_id)
        return link is not None and link.is_ready

    def _list_ready(self, position: int) -> list[str]:
        self._refresh()
        members = self._directory.members
        return [
            node_id
            for node_id in self._rankings[position]
            if node_id in members and members[node_id].state is MemberState.READY
        ]

    def _refresh(self) -> None:
        members, now = self._directory.members, self._clock.monotonic()
        interval_s = max(REFRESH_INTERVAL_S, len(members) / MEMBERS_RANKED_PER_S)
        if now - self._ranked_at < interval_s:
            return
        self._ranked_at = now
        running = [
            node_id
            for node_id, member in members.items()
            if member.state is not MemberState.LEFT
        ]
        self._rankings = [
            rank_candidates(position, running, RANKED) for position in range(POSITIONS)
        ]
