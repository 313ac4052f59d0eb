"""Admission by priority with a short queue."""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_policies.admission.level import AdmissionLevel
from cassiahatch_policies.admission.limit import AdaptiveLimit
from cassiahatch_policies.admission.ticket import Completion, Ticket, TicketState

MIN_WAIT_S = 0.1
MAX_WAIT_S = 1.0
WAIT_ROUNDS = 2.0
"""Longest wait, in multiples of the service time."""
SERVICE_TIME_WEIGHT = 0.1
QUEUE_ROUNDS = 4
"""Longest queue, in multiples of the slots."""
MIN_QUEUE = 16


@PLUGINS.register("admission", "priority")
class PriorityAdmission:
    """Gives slots to the highest priorities, and among equals to the newest.

    Whenever a call is refused for load, every queued call of lower priority is
    refused with it, so that none of them is admitted in its stead. A queued call
    that could no longer be answered before its deadline is dropped.

    Parameters
    ----------
    slots : int
        Slots that the backend server announced.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_level", "_limit", "_queue", "_service_s", "in_flight")

    def __init__(self, slots: int, now: float) -> None:
        self.in_flight = 0
        self._service_s = 0.0
        self._limit = AdaptiveLimit(slots)
        self._level = AdmissionLevel(now)
        self._queue: SortedKeyList = SortedKeyList(
            key=lambda ticket: (ticket.priority, ticket.arrived)
        )

    @property
    def level(self) -> int:
        """Priority below which calls are refused while the limit is reached."""
        return self._level.value

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return int(self._limit.value)

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._queue)

    def request(self, priority: int, deadline: float, now: float) -> Ticket:
        """Ask for a slot.

        Parameters
        ----------
        priority : int
            Priority of the call.
        deadline : float
            Monotonic seconds after which the call is useless.
        now : float
            Monotonic seconds.

        Returns
        -------
        Ticket
            Admitted, refused, or queued; a queued one is notified later.
        """
        self._level.count_offered(priority)
        ticket = Ticket(priority, now, deadline)
        if self.in_flight < self.limit and not self._queue:
            self._admit(ticket, now)
        elif priority < self.level:
            self._refuse_from(ticket)
        else:
            self._queue.add(ticket)
            self._bound_queue()
        return ticket

    def finish(self, ticket: Ticket, completion: Completion, now: float) -> None:
        """Give back the slot of an admitted call."""
        if ticket.state is not TicketState.ADMITTED:
            return
        ticket.state = TicketState.FINISHED
        saturated = self.in_flight >= self.limit
        self.in_flight -= 1
        self._learn_service_time(completion, now - ticket.started)
        self._limit.observe(completion, saturated, now)
        self._fill(now)

    def cancel(self, ticket: Ticket) -> None:
        """Take a queued call out because nobody waits for it any more."""
        if ticket.state is TicketState.QUEUED:
            self._queue.remove(ticket)
            ticket.state = TicketState.EXPIRED

    def tick(self, now: float) -> None:
        """Drop what waited too long and move the level."""
        self._drop_expired(now)
        longest = min(MAX_WAIT_S, max(MIN_WAIT_S, WAIT_ROUNDS * self._service_s))
        overdue = [t for t in self._queue if now - t.arrived >= longest]
        if overdue:
            highest = overdue[-1]
            self._queue.remove(highest)
            self._refuse_from(highest)
        self._level.update(self.in_flight < self.limit, now)
        self._fill(now)

    def _fill(self, now: float) -> None:
        while self._queue and self.in_flight < self.limit:
            ticket = self._queue.pop()
            if self._is_too_late(ticket, now):
                self._expire(ticket)
            else:
                self._admit(ticket, now)

    def _is_too_late(self, ticket: Ticket, now: float) -> bool:
        return ticket.deadline - now <= self._service_s

    def _learn_service_time(self, completion: Completion, seconds: float) -> None:
        if completion is Completion.SUCCEEDED:
            self._service_s += SERVICE_TIME_WEIGHT * (seconds - self._service_s)

    def _admit(self, ticket: Ticket, now: float) -> None:
        self.in_flight += 1
        ticket.started = now
        self._level.count_admitted()
        ticket.move(TicketState.ADMITTED)

    def _bound_queue(self) -> None:
        longest = max(MIN_QUEUE, self._limit.slots * QUEUE_ROUNDS)
        while len(self._queue) > longest:
            self._refuse_from(self._queue.pop(0))

    def _refuse_from(self, ticket: Ticket) -> None:
        while self._queue and self._queue[0].priority < ticket.priority:
            self._refuse(self._queue.pop(0))
        self._refuse(ticket)

    def _refuse(self, ticket: Ticket) -> None:
        self._level.count_refused()
        ticket.move(TicketState.REFUSED)

    def _drop_expired(self, now: float) -> None:
        for ticket in [t for t in self._queue if self._is_too_late(t, now)]:
            self._queue.remove(ticket)
            self._expire(ticket)

    def _expire(self, ticket: Ticket) -> None:
        self._level.count_refused()
        ticket.move(TicketState.EXPIRED)
