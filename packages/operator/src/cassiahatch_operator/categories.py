"""Ticket categories taken over from the help desk, and the related node counters."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Category:
    """A ticket category of the help desk."""

    name: str
    counters: tuple[str, ...]
    """Node counters whose increase leads to such tickets."""


CATEGORIES = (
    Category("double spray", ("once_unknown",)),
    Category("twice-booked fitting", ("once_unknown",)),
    Category("stuck queue", ("refused:expired", "refused:overloaded", "late_answers")),
)
