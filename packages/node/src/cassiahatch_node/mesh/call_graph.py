"""What runs of each route call, and the cutoffs and repeats met along those calls."""

from __future__ import annotations

from collections.abc import Callable

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import OPEN_CUTOFF
from cassiahatch_policies.cutoff import PathCutoff
from cassiahatch_policies.retry_budget import PathUse


class CallGraph:
    """Routes called by the runs of each route at the backend server beside the node.

    Learnt from the calls that pass the node, each of which names the run that makes
    it. Together with the cutoffs that results report, it tells which cutoff a request
    of a route will meet, there and below.

    Parameters
    ----------
    read_local_cutoff, read_local_retry_use : callable
        Return the cutoff of the backend server beside the node, and the share of the
        allowed repeats that it got.
    """

    __slots__ = (
        "_calls",
        "_clock",
        "_cutoffs",
        "_read_local_cutoff",
        "_read_local_retry_use",
        "_uses",
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
        self._calls: dict[str, set[str]] = {}
        self._cutoffs: dict[str, PathCutoff] = {}
        self._uses: dict[str, PathUse] = {}

    def note_call(self, parent_route: str, route: str) -> None:
        """Take in that a run of one route called another."""
        called = self._calls.get(parent_route)
        if called is None:
            called = self._calls[parent_route] = set()
        called.add(route)

    def compute_path_cutoff(self, route: str) -> float:
        """Return the lowest cutoff at this service and below it, for a route."""
        lowest = self._read_local_cutoff()
        called = self._calls.get(route)
        if called:
            now = self._clock.monotonic()
            for name in called:
                path = self._cutoffs.get(name)
                if path is not None:
                    lowest = min(lowest, path.read(now))
        return lowest

    def admits(self, route: str, position: float, now: float) -> bool:
        """Tell whether a top request at a position may be sent on."""
        path = self._cutoffs.get(route)
        return path is None or path.admits(position, now)

    def read_path(self, route: str, now: float) -> float:
        """Return the cutoff that results of a route report, open if none do."""
        path = self._cutoffs.get(route)
        return OPEN_CUTOFF if path is None else path.read(now)

    def record_path_report(self, route: str, cutoff: float, use: float) -> None:
        """Take in what a result of a route reported of its service and those below.

        Parameters
        ----------
        cutoff : float
            Lowest cutoff.
        use : float
            Highest share of the allowed repeats used.
        """
        now = self._clock.monotonic()
        path = self._cutoffs.get(route)
        if path is None:
            path = self._cutoffs[route] = PathCutoff()
            self._uses[route] = PathUse()
        path.observe(cutoff, now)
        self._uses[route].observe(use, now)

    def read_use(self, route: str) -> float:
        """Return the share used at or below a route, as its results report it."""
        known = self._uses.get(route)
        return 0.0 if known is None else known.read(self._clock.monotonic())

    def compute_downstream_retry_use(self, route: str) -> float:
        """Return the highest share used at the services that runs of a route call."""
        called = self._calls.get(route, ())
        return max((self.read_use(name) for name in called), default=0.0)

    def compute_path_retry_use(self, route: str) -> float:
        """Return the highest share used at this service and below it, for a route."""
        return max(
            self._read_local_retry_use(), self.compute_downstream_retry_use(route)
        )

    def clear(self) -> None:
        """Forget which routes call which: the configuration has changed."""
        self._calls.clear()
