"""A call to a service, and the context that travels with it."""

from __future__ import annotations

from dataclasses import dataclass, replace

from cassiahatch_kernel.priorities import Importance, compute_priority


@dataclass(slots=True, frozen=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclass(slots=True, frozen=True)
class Call:
    """What a caller asks of a service."""

    service: str
    method: str
    path: str
    """Path and query below the service, starting with a slash."""
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    idempotent: bool = True
    key: str = ""
    """Idempotency key of a non-idempotent call, a UUIDv7."""
    first_attempt: bool = False
    """The caller vouches that it has never sent this key before."""


@dataclass(slots=True, frozen=True)
class CallContext:
    """What travels with a call from the top request downwards."""

    request_id: str
    customer: str
    importance: Importance
    plan_rank: int
    deadline: float
    """Monotonic seconds of this process after which the answer is useless."""
    retries: int
    """Retries that this call and everything below it may still spend."""
    depth: int = 0
    traceparent: str = ""

    @property
    def priority(self) -> int:
        """The priority of the call; a higher one is refused later."""
        return compute_priority(
            self.importance, self.plan_rank, self.depth, self.request_id
        )

    def descend(self, importance: Importance, deadline: float) -> CallContext:
        """Return the context of a call made on behalf of this one.

        Parameters
        ----------
        importance : Importance
            Importance of the route called; the higher of the two counts.
        deadline : float
            Deadline asked for the deeper call; never later than this one's.
        """
        return replace(
            self,
            importance=max(self.importance, importance),
            deadline=min(self.deadline, deadline),
            depth=self.depth + 1,
        )
