"""A request on its way, and what is true of it after each attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from cassiahatch_kernel.exchanges import (
    Lineage,
    Lost,
    Reason,
    Rejection,
    Reply,
    Request,
    Result,
)
from cassiahatch_kernel.routes import RouteRule


@dataclass(slots=True)
class Passage:
    """A request on its way."""

    request: Request
    rule: RouteRule
    service: str
    expires_at: float
    """Clock seconds at which it is given up."""
    rank: int
    position: float
    root_target_at: float
    """Clock seconds after which the answer to its top request loses part of its
    worth."""
    is_below_repeat: bool = False
    """Whether it is made by a run that was a repeat, or below one."""
    refused_by: set[str] = field(default_factory=set)
    """Nodes that did not pass it on to their backend server."""
    sent_to: set[str] = field(default_factory=set)
    """Nodes whose backend server had it, whether it ran it or not."""
    shed_by: set[str] = field(default_factory=set)
    """Nodes whose backend server turned it away."""
    pauses: int = 0
    """How often it waited before it went to one of these again."""
    may_have_run: bool = False

    @property
    def lineage(self) -> Lineage:
        """What the next attempt is to the backend server that gets it."""
        if self.sent_to:
            return Lineage.REPEAT
        return Lineage.BELOW_REPEAT if self.is_below_repeat else Lineage.FIRST

    def note_attempt(self, node_id: str, outcome: Result) -> None:
        """Take in how an attempt at a node ended."""
        match outcome:
            case Rejection(reason=Reason.SHED):
                self.sent_to.add(node_id)
                self.shed_by.add(node_id)
            case Rejection(reason=Reason.MISDIRECTED):
                self.sent_to.add(node_id)
            case Rejection():
                self.refused_by.add(node_id)
            case _:
                self.sent_to.add(node_id)
                self.may_have_run = True


def combine_results(before: Result, outcome: Result, may_have_run: bool) -> Result:
    """Return what is true after one more attempt.

    A failure that was answered stays the answer, and what may have run once is never
    again called not run.
    """
    match before, outcome:
        case _, Reply():
            return outcome
        case Reply(), _:
            return before
        case _, Rejection() if may_have_run:
            return Lost(outcome.reason)
        case _:
            return outcome
