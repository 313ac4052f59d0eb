"""Admission without overload control, as a baseline for comparison."""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_policies.admission.ticket import Completion, Ticket, TicketState


@PLUGINS.register("admission", "open")
class OpenAdmission:
    """Admits every call immediately."""

    __slots__ = ("in_flight", "slots")

    level = 0
    queued = 0

    def __init__(self, slots: int, now: float) -> None:
        self.in_flight = 0
        self.slots = slots

    @property
    def limit(self) -> int:
        """Slots that the backend server announced; not enforced."""
        return self.slots

    def request(self, priority: int, deadline: float, now: float) -> Ticket:
        """Admit a call."""
        self.in_flight += 1
        return Ticket(priority, now, deadline, TicketState.ADMITTED, now)

    def finish(self, ticket: Ticket, completion: Completion, now: float) -> None:
        """Release the slot of a call."""
        ticket.state = TicketState.FINISHED
        self.in_flight -= 1

    def cancel(self, ticket: Ticket) -> None:
        """Do nothing; calls are never queued."""

    def tick(self, now: float) -> None:
        """Do nothing; no state depends on time."""
