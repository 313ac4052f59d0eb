"""Routes and teams that are in force together."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.routes import RouteTable
from cassiahatch_kernel.teams import TeamTable


class Ruleset(msgspec.Struct, frozen=True):
    """Routes and teams of one version of the configuration.

    A request is decoded, routed and identified by one of these. With the routes of one
    version and the teams of another, it could be served as neither allows.
    """

    routes: RouteTable
    teams: TeamTable
