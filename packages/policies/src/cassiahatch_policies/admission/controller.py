"""Admission control by priority, with a short queue."""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_policies.admission.level import AdmissionLevel
from cassiahatch_policies.admission.limit import AdaptiveLimit
from cassiahatch_policies.admission.ticket import Completion, Ticket, TicketState

MIN_WAIT_S = 0.1
MAX_WAIT_S = 1.0
"""Bounds of the longest wait in the queue."""
WAIT_FACTOR = 2.0
"""Longest wait in the queue, in multiples of the service time."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new service time in the moving average."""
QUEUE_FACTOR = 4
"""Capacity of the queue, in multiples of the slots."""
MIN_QUEUE_CAPACITY = 16
"""Lower bound of the capacity, for backend servers with few slots."""


@PLUGINS.register("admission", "priority")
class PriorityAdmission:
    """Admits queued calls by priority, and the newest first among equals.

    When a call is rejected because of load, every queued call of lower priority is
    rejected too, so that none of them is admitted in its place. A queued call that
    can no longer be answered before its deadline expires.

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
        """Priority below which calls are rejected while the limit is reached."""
        return self._level.value

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently."""
        return int(self._limit.value)

    @property
    def queued(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self._queue)

    def request(self, priority: int, deadline: float, now: float) -> Ticket:
        """Request a slot for a call.

        Parameters
        ----------
        priority : int
            Priority of the call.
        deadline : float
            Monotonic seconds after which the answer is useless.
        now : float
            Monotonic seconds.

        Returns
        -------
        Ticket
            Admitted, rejected or queued; a queued one is notified when it leaves the
            queue.
        """
        self._level.count_offered(priority)
        ticket = Ticket(priority, now, deadline)
        if self.in_flight < self.limit and not self._queue:
            self._admit(ticket, now)
        elif priority < self.level:
            self._reject_with_lower(ticket)
        else:
            self._queue.add(ticket)
            self._trim_queue()
        return ticket

    def finish(self, ticket: Ticket, completion: Completion, now: float) -> None:
        """Release the slot of an admitted call, and adapt the limit."""
        if ticket.state is not TicketState.ADMITTED:
            return
        ticket.state = TicketState.FINISHED
        saturated = self.in_flight >= self.limit
        self.in_flight -= 1
        self._update_service_time(completion, now - ticket.started)
        self._limit.observe(completion, saturated, now)
        self._admit_queued(now)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a queued call whose caller no longer waits for it."""
        if ticket.state is TicketState.QUEUED:
            self._queue.remove(ticket)
            ticket.state = TicketState.EXPIRED

    def tick(self, now: float) -> None:
        """Remove queued calls that waited too long, and update the level."""
        self._drop_expired(now)
        max_wait_s = min(MAX_WAIT_S, max(MIN_WAIT_S, WAIT_FACTOR * self._service_s))
        overdue = [t for t in self._queue if now - t.arrived >= max_wait_s]
        if overdue:
            highest = overdue[-1]
            self._queue.remove(highest)
            self._reject_with_lower(highest)
        self._level.update(self.in_flight < self.limit, now)
        self._admit_queued(now)

    def _admit_queued(self, now: float) -> None:
        while self._queue and self.in_flight < self.limit:
            ticket = self._queue.pop()
            if self._is_too_late(ticket, now):
                self._expire(ticket)
            else:
                self._admit(ticket, now)

    def _is_too_late(self, ticket: Ticket, now: float) -> bool:
        return ticket.deadline - now <= self._service_s

    def _update_service_time(self, completion: Completion, spent_s: float) -> None:
        if completion is Completion.SUCCEEDED:
            self._service_s += SERVICE_TIME_WEIGHT * (spent_s - self._service_s)

    def _admit(self, ticket: Ticket, now: float) -> None:
        self.in_flight += 1
        ticket.started = now
        self._level.count_admitted()
        ticket.set_state(TicketState.ADMITTED)

    def _trim_queue(self) -> None:
        capacity = max(MIN_QUEUE_CAPACITY, self._limit.slots * QUEUE_FACTOR)
        while len(self._queue) > capacity:
            self._reject_with_lower(self._queue.pop(0))

    def _reject_with_lower(self, ticket: Ticket) -> None:
        while self._queue and self._queue[0].priority < ticket.priority:
            self._reject(self._queue.pop(0))
        self._reject(ticket)

    def _reject(self, ticket: Ticket) -> None:
        self._level.count_rejected()
        ticket.set_state(TicketState.REFUSED)

    def _drop_expired(self, now: float) -> None:
        for ticket in [t for t in self._queue if self._is_too_late(t, now)]:
            self._queue.remove(ticket)
            self._expire(ticket)

    def _expire(self, ticket: Ticket) -> None:
        self._level.count_rejected()
        ticket.set_state(TicketState.EXPIRED)
