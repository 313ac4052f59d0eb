"""A call to a service, and the context propagated with it."""

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
    """A request by a caller to a service."""

    service: str
    method: str
    path: str
    """Path and query relative to the service; starts with a slash."""
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    idempotent: bool = True
    key: str = ""
    """Idempotency key, a UUIDv7; empty if the call is idempotent."""
    first_attempt: bool = False
    """The caller guarantees that it has never sent this key before."""


@dataclass(slots=True, frozen=True)
class CallContext:
    """Context propagated from the root request to every call made on its behalf."""

    request_id: str
    """Identity of the root request, shared by all calls made on its behalf."""
    customer: str
    importance: Importance
    plan_rank: int
    """Rank of the customer's plan; higher is rejected later."""
    deadline: float
    """Time of this process's monotonic clock after which the answer is useless."""
    retries: int
    """Retry budget left for this call and all calls made on its behalf."""
    depth: int = 0
    """Number of calls that led to this one; 0 for the root request."""
    traceparent: str = ""

    @property
    def priority(self) -> int:
        """Priority of the call; a higher one is rejected later under overload."""
        return compute_priority(
            self.importance, self.plan_rank, self.depth, self.request_id
        )

    def descend(self, importance: Importance, deadline: float) -> CallContext:
        """Return the context of a call made on behalf of this one.

        Parameters
        ----------
        importance : Importance
            Importance of the called route; the higher of this and the caller's is used.
        deadline : float
            Deadline requested for the new call; capped at the deadline of this one.
        """
        return replace(
            self,
            importance=max(self.importance, importance),
            deadline=min(self.deadline, deadline),
            depth=self.depth + 1,
        )
