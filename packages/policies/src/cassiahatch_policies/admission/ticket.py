"""The place of one call in admission."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto


class TicketState(Enum):
    """Where a call stands."""

    QUEUED = auto()
    ADMITTED = auto()
    REFUSED = auto()
    EXPIRED = auto()
    """Its deadline passed while it was queued."""
    FINISHED = auto()


class Completion(Enum):
    """How an admitted call ended at the backend server."""

    SUCCEEDED = auto()
    SHED = auto()
    """The backend server refused it for load."""
    FAILED = auto()


@dataclass(slots=True, eq=False)
class Ticket:
    """One call that asks for a slot."""

    priority: int
    arrived: float
    deadline: float
    state: TicketState = TicketState.QUEUED
    started: float = 0.0
    notify: Callable[[], None] | None = None
    """Called once when the ticket leaves the queue."""

    def move(self, state: TicketState) -> None:
        """Change the state and tell whoever waits."""
        self.state = state
        if self.notify is not None:
            self.notify()
            self.notify = None
