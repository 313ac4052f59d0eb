"""State of a request across its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from cassiahatch_kernel.exchanges import (
    AttemptKind,
    Indeterminate,
    Reason,
    Rejection,
    Reply,
    Request,
    Result,
)
from cassiahatch_kernel.routes import RouteRule


@dataclass(slots=True)
class RequestState:
    """State of a request that is being sent, over all its attempts."""

    request: Request
    rule: RouteRule
    service: str
    expires_at: float
    """Deadline in monotonic seconds."""
    rank: int
    position: float
    team: str
    """Name of the team that the root request belongs to; empty for none."""
    root_target_at: float
    """Monotonic seconds at which the latency target of its root request passes; a later
    answer is worth less."""
    is_caused_by_retry: bool = False
    """Whether the run that makes the request is a retry, or was caused by one."""
    rejected_by: set[str] = field(default_factory=set)
    """Nodes that rejected the request before it reached their backend server."""
    sent_to: set[str] = field(default_factory=set)
    """Nodes whose backend server received the request, whether or not it ran it."""
    shed_by: set[str] = field(default_factory=set)
    """Nodes whose backend server shed the request."""
    backoffs: int = 0
    """Number of backoffs before retries to nodes in ``shed_by``."""
    may_have_run: bool = False

    @property
    def attempt_kind(self) -> AttemptKind:
        """Kind of the next attempt, as reported to its backend server."""
        if self.sent_to:
            return AttemptKind.RETRY
        return (
            AttemptKind.DOWNSTREAM_OF_RETRY
            if self.is_caused_by_retry
            else AttemptKind.FIRST
        )

    def record_attempt(self, node_id: str, outcome: Result) -> None:
        """Record the outcome of an attempt at a node."""
        match outcome:
            case Rejection(reason=Reason.SHED):
                self.sent_to.add(node_id)
                self.shed_by.add(node_id)
            case Rejection(reason=Reason.MISDIRECTED):
                self.sent_to.add(node_id)
            case Rejection():
                self.rejected_by.add(node_id)
            case _:
                self.sent_to.add(node_id)
                self.may_have_run = True


def combine_results(previous: Result, outcome: Result, may_have_run: bool) -> Result:
    """Return the result of a request after another attempt.

    An error reply is kept if later attempts bring no reply. Once an attempt may have
    run, a later rejection counts as ``Indeterminate``, since ``Rejection`` states that
    the request was not run.
    """
    match previous, outcome:
        case _, Reply():
            return outcome
        case Reply(), _:
            return previous
        case _, Rejection() if may_have_run:
            return Indeterminate(outcome.reason)
        case _:
            return outcome
