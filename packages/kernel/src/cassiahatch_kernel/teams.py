"""Teams: who sends requests, identified by API keys."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Team(msgspec.Struct, frozen=True):
    """A team of the operator's configuration."""

    name: str
    keys: tuple[bytes, ...]
    """API keys, any of which identifies the team."""
    priority: int | None = None
    """Rank of the team's requests; None if each route's rank applies."""
    rate_per_s: float = 0.0
    """Requests a second that the team may send, over all nodes; 0 for no limit."""
    burst: float = 0.0
    """Requests that it may send beyond the rate after a pause."""

    def __repr__(self) -> str:
        """Return a text without the keys, which must not appear in logs."""
        return f"Team({self.name!r}, {len(self.keys)} keys)"


class TeamTable:
    """Teams of one version of the configuration, indexed by key and by name.

    A key that several teams list identifies none of them, since a request could not
    be attributed to either with certainty.

    Parameters
    ----------
    teams : iterable of Team
        The teams; their names are distinct.
    """

    __slots__ = ("_by_key", "_by_name", "ambiguous_teams", "has_quotas")

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self._by_name = {team.name: team for team in teams}
        self._by_key: dict[bytes, Team] = {}
        ambiguous_keys: set[bytes] = set()
        ambiguous_teams: set[str] = set()
        for team in self._by_name.values():
            for key in team.keys:
                other = self._by_key.setdefault(key, team)
                if other is not team:
                    ambiguous_keys.add(key)
                    ambiguous_teams |= {other.name, team.name}
        for key in ambiguous_keys:
            del self._by_key[key]
        self.ambiguous_teams = tuple(sorted(ambiguous_teams))
        """Names of the teams that share a key with another one."""
        self.has_quotas = any(t.rate_per_s > 0 for t in self._by_name.values())
        """Whether a team may only send a number of requests a second."""

    @property
    def has_teams(self) -> bool:
        """Whether there are teams, so that requests need keys."""
        return bool(self._by_name)

    def find(self, key: bytes) -> Team | None:
        """Return the team that a key identifies, or None."""
        return self._by_key.get(key)

    def get(self, name: str) -> Team | None:
        """Return the team of a name, or None."""
        return self._by_name.get(name)
