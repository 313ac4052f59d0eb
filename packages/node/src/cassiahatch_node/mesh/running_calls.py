"""The calls that the local backend server is running."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from cassiahatch_kernel.exchanges import Call, Result
from cassiahatch_node.mesh.backend_client import BackendClient


@dataclass(slots=True)
class Arrival:
    """A call received by the node of the backend server that is to run it."""

    call: Call
    reply: Callable[[Result], None]
    root_target_at: float
    """Monotonic seconds at which the latency target of its root request passes; a later
    answer is worth less."""
    backend_client: BackendClient | None = None
    """Client through which the call runs; None while it does not run."""
    is_withdrawn: bool = False
    expires_at: float = float("inf")
    """Deadline in monotonic seconds, after which an answer is useless to the caller."""
    is_overdue: bool = False
    """Whether the run was aborted ``OVERDUE_S`` after its deadline."""
    has_calls: bool = False
    """Whether the run has made calls of its own, for which it waited."""
    pace: float | None = None
    """Pace that the answer states; None if it states none."""


class RunningCalls:
    """Running calls by id, which tell on whose behalf a run makes calls of its own.

    Clients choose the ids of their requests, so several calls may have the same one.
    """

    __slots__ = ("_by_id",)

    def __init__(self) -> None:
        self._by_id: dict[str, list[Arrival]] = {}

    def __iter__(self) -> Iterator[Arrival]:
        return (arrival for group in self._by_id.values() for arrival in group)

    def __bool__(self) -> bool:
        return bool(self._by_id)

    def add(self, arrival: Arrival) -> None:
        """Add a call that begins to run."""
        self._by_id.setdefault(arrival.call.id, []).append(arrival)

    def remove(self, arrival: Arrival) -> None:
        """Remove a call that has ended; the others of its id stay."""
        group = self._by_id[arrival.call.id]
        group[:] = [other for other in group if other is not arrival]
        if not group:
            del self._by_id[arrival.call.id]

    def find(self, call: Call) -> Arrival | None:
        """Return the arrival of a call, or None if that does not run."""
        group = self._by_id.get(call.id, ())
        return next((arrival for arrival in group if arrival.call is call), None)

    def find_parent(self, call_id: str) -> Arrival | None:
        """Return the run that an id names as the parent of a call, or None.

        With runs of several teams under the id it is not known which of them makes the
        call, so none is returned.
        """
        group = self._by_id.get(call_id)
        if group is None or len({arrival.call.team for arrival in group}) > 1:
            return None
        return group[-1]
