"""Call graph of the local service, with the state reported by downstream services."""

from __future__ import annotations

from collections.abc import Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import OPEN_CUTOFF
from cassiahatch_policies.cutoff import PathCutoff
from cassiahatch_policies.retry_budget import PathRetryUse

OVERLOAD_MARGIN = 1.0
"""Distance in ranks from the reported cutoff within which failures count as overload."""


class CallGraph:
    """Routes that the runs of each route at the local backend server call.

    Built from the outgoing calls, each of which names the run that makes it. Results
    report the cutoff and retry budget use of the services that they come from; with
    those, the graph gives the lowest cutoff and highest use along a route.

    Parameters
    ----------
    read_local_cutoff, read_local_retry_use : callable
        Return the cutoff of the local backend server, and the share of its retry
        budget in use.
    """

    __slots__ = (
        "_callees",
        "_clock",
        "_cutoffs",
        "_read_local_cutoff",
        "_read_local_retry_use",
        "_retry_uses",
    )

    def __init__(
        self,
        clock: Clock,
        read_local_cutoff: Callable[[], float],
        read_local_retry_use: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._read_local_cutoff = read_local_cutoff
        self._read_local_retry_use = read_local_retry_use
        self._callees: dict[str, set[str]] = {}
        self._cutoffs: dict[str, PathCutoff] = {}
        self._retry_uses: dict[str, PathRetryUse] = {}

    def record_call(self, parent_route: str, route: str) -> None:
        """Record that a run of ``parent_route`` called ``route``."""
        callees = self._callees.get(parent_route)
        if callees is None:
            callees = self._callees[parent_route] = set()
        callees.add(route)

    def compute_path_cutoff(self, route: str) -> float:
        """Return the lowest cutoff at this service and downstream, for a route."""
        lowest = self._read_local_cutoff()
        callees = self._callees.get(route)
        if callees:
            now = self._clock.monotonic()
            for name in callees:
                path = self._cutoffs.get(name)
                if path is not None:
                    lowest = min(lowest, path.read(now))
        return lowest

    def admits(self, route: str, position: float, now: float) -> bool:
        """Return whether the cutoff of a route admits a root request at a position."""
        path = self._cutoffs.get(route)
        return path is None or path.admits(position, now)

    def get_reported_cutoff(self, route: str, now: float) -> float:
        """Return the cutoff reported for a route; ``OPEN_CUTOFF`` if there is none."""
        path = self._cutoffs.get(route)
        return OPEN_CUTOFF if path is None else path.read(now)

    def is_overloaded(self, route: str, position: float, now: float) -> bool:
        """Return whether a route's path rejects requests close to a position.

        A failure on such a path is probably one of overload. A retry would only add to
        the load, whichever backend server it is sent to.
        """
        return self.get_reported_cutoff(route, now) < position + OVERLOAD_MARGIN

    def record_path_report(self, route: str, cutoff: float, use: float) -> None:
        """Update the state of a route from a result that it returned.

        Parameters
        ----------
        cutoff : float
            Lowest cutoff of the route's service and the services downstream.
        use : float
            Highest share of the retry budget used at any of them.
        """
        now = self._clock.monotonic()
        path = self._cutoffs.get(route)
        if path is None:
            path = self._cutoffs[route] = PathCutoff()
            self._retry_uses[route] = PathRetryUse()
        path.observe(cutoff, now)
        self._retry_uses[route].observe(use, now)

    def get_reported_retry_use(self, route: str) -> float:
        """Return the retry budget use reported for a route; 0 if there is none."""
        path = self._retry_uses.get(route)
        return 0.0 if path is None else path.read(self._clock.monotonic())

    def compute_downstream_retry_use(self, route: str) -> float:
        """Return the highest retry budget use at the services that a route calls."""
        callees = self._callees.get(route, ())
        return max((self.get_reported_retry_use(name) for name in callees), default=0.0)

    def compute_path_retry_use(self, route: str) -> float:
        """Return the highest retry budget use at this service and downstream."""
        return max(
            self._read_local_retry_use(), self.compute_downstream_retry_use(route)
        )

    def clear(self) -> None:
        """Drop all recorded calls, after a configuration change."""
        self._callees.clear()
