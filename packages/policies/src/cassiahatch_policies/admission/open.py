"""Admission of everything, as the baseline without control."""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_policies.admission.ticket import Completion, Ticket, TicketState


@PLUGINS.register("admission", "open")
class OpenAdmission:
    """Admits every call at once."""

    __slots__ = ("in_flight", "slots")

    level = 0
    queued = 0

    def __init__(self, slots: int, now: float) -> None:
        self.in_flight = 0
        self.slots = slots

    @property
    def limit(self) -> int:
        """Calls that the backend server said it can run at once."""
        return self.slots

    def request(self, priority: int, deadline: float, now: float) -> Ticket:
        """Admit a call."""
        self.in_flight += 1
        return Ticket(priority, now, deadline, TicketState.ADMITTED, now)

    def finish(self, ticket: Ticket, completion: Completion, now: float) -> None:
        """Give back the slot of a call."""
        ticket.state = TicketState.FINISHED
        self.in_flight -= 1

    def cancel(self, ticket: Ticket) -> None:
        """Do nothing; no call is ever queued."""

    def tick(self, now: float) -> None:
        """Do nothing; nothing changes with time."""
