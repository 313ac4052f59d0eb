"""Announcement by which the local backend server registers with the node."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from cassiahatch_kernel.members import Route
from cassiahatch_kernel.priorities import Importance
from cassiahatch_node.settings import Count, Name, Port


class RouteAnnouncement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Route that the backend server serves."""

    method: Annotated[str, Meta(pattern="^[A-Z]{3,10}$")]
    prefix: Annotated[str, Meta(pattern="^/")]
    importance: str = "normal"
    idempotent: bool = True


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Registration that a backend server sends when it is ready for calls."""

    service: Name
    instance: Name
    """Identity of the process; a repeated announcement has no effect."""
    port: Port
    slots: Count
    routes: tuple[RouteAnnouncement, ...]
    cancel_path: str = ""
    """Path under which ``DELETE`` of a call's token cancels the call; empty if none."""


def read_routes(announcement: Announcement) -> tuple[Route, ...]:
    """Return the routes of an announcement.

    Raises
    ------
    KeyError
        If the name of an importance is unknown.
    """
    return tuple(
        Route(
            route.method,
            route.prefix,
            Importance[route.importance.upper()],
            route.idempotent,
        )
        for route in announcement.routes
    )
