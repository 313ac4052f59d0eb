"""The backend server beside the node, as it announced itself."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from cassiahatch_kernel.members import Route
from cassiahatch_kernel.priorities import Importance
from cassiahatch_node.settings import Count, Name, Port


class RouteAnnouncement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of call that the backend server takes."""

    method: Annotated[str, Meta(pattern="^[A-Z]{3,10}$")]
    prefix: Annotated[str, Meta(pattern="^/")]
    importance: str = "normal"
    idempotent: bool = True


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a backend server says of itself when it starts."""

    service: Name
    instance: Name
    """Identity of the process; announcing it again changes nothing."""
    port: Port
    slots: Count
    routes: tuple[RouteAnnouncement, ...]
    cancel_path: str = ""
    """Path below which ``DELETE`` with a call's token cancels it."""


def read_routes(announcement: Announcement) -> tuple[Route, ...]:
    """Return the routes of an announcement.

    Raises
    ------
    KeyError
        If an importance is not one of the known names.
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
