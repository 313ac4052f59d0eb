"""Identification of requests: the team they belong to, and their rank.

The load it answers is that of teams that share a service: each request is ranked by
the priority of its team, and requests without a valid key are rejected before any
work is done for them.
"""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.exchanges import Call, Reason, Rejection
from cassiahatch_kernel.routes import RouteRule
from cassiahatch_kernel.teams import TeamTable

UNKNOWN_PARENT_RETRY_AFTER_S = 0.5
"""``Retry-After`` of a call whose parent is unknown: the node has restarted since, and
a backend server that runs the parent again makes the call again."""


class Identity(msgspec.Struct, frozen=True):
    """Whose request it is, and how urgent."""

    team: str
    """Name of the team; empty for none."""
    rank: int
    """Rank of the team, or else of the route; 0 is the most urgent."""
    has_key: bool = False
    """Whether a key identified the team, so that its lease and its quota apply."""


def identify_request(
    teams: TeamTable, rule: RouteRule, api_key: bytes
) -> Identity | Rejection:
    """Return the identity of a root request, or its rejection.

    Parameters
    ----------
    api_key : bytes
        The key that the request carries; empty if it carries none, or several.
    """
    if not teams.has_teams:
        return Identity("", rule.priority)
    team = teams.find(api_key) if api_key else None
    if team is None:
        if rule.is_public:
            return Identity("", rule.priority)
        return Rejection(Reason.UNKNOWN_KEY)
    rank = rule.priority if team.priority is None else team.priority
    return Identity(team.name, rank, has_key=not rule.is_public)


def identify_call(
    teams: TeamTable, rule: RouteRule, parent: Call | None
) -> Identity | Rejection:
    """Return the identity of a call that a backend server makes during a run.

    It belongs to the team of its parent, whose key has been checked.

    Parameters
    ----------
    parent : Call, optional
        The call during whose run it is made; None if that is not known.
    """
    if parent is not None:
        return Identity(parent.team, parent.rank)
    if teams.has_teams and not rule.is_public:
        return Rejection(Reason.UNKNOWN_PARENT, UNKNOWN_PARENT_RETRY_AFTER_S)
    return Identity("", rule.priority)
