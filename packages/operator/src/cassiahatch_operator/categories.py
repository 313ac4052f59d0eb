"""The help desk's inherited ticket categories and the counters behind them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Category:
    """One ticket category."""

    name: str
    counters: tuple[str, ...]
    """Counters of nodes that would raise such tickets."""


CATEGORIES = (
    Category("double spray", ("once_unknown",)),
    Category("twice-booked fitting", ("once_unknown",)),
    Category("stuck queue", ("refused:expired", "refused:overloaded", "late_answers")),
)
