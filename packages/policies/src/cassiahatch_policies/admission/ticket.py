"""Tickets: the state of one call in admission control."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto


class TicketState(Enum):
    """State of a call in admission control; the names appear in spans."""

    QUEUED = auto()
    ADMITTED = auto()
    REFUSED = auto()
    """Rejected because of load."""
    EXPIRED = auto()
    """Removed from the queue: too late for an answer in time, or cancelled."""
    FINISHED = auto()
    """Its slot was released."""


class Completion(Enum):
    """Result of an admitted call at the backend server."""

    SUCCEEDED = auto()
    SHED = auto()
    """The backend server rejected it because of load."""
    FAILED = auto()


@dataclass(slots=True, eq=False)
class Ticket:
    """The request of one call for a slot, and its state."""

    priority: int
    arrived: float
    """Monotonic seconds at which the slot was requested."""
    deadline: float
    state: TicketState = TicketState.QUEUED
    started: float = 0.0
    """Monotonic seconds at which the call was admitted."""
    notify: Callable[[], None] | None = None
    """Callback, called once when the ticket is admitted, rejected or expires."""

    def set_state(self, state: TicketState) -> None:
        """Set the state and call ``notify``, if set."""
        self.state = state
        if self.notify is not None:
            self.notify()
            self.notify = None
