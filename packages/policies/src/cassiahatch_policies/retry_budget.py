"""The budget of requests that reach a service more than once.

Answers the load of failing backend servers: repeats stay below a fixed share of the
requests in any window, over the whole fleet and with nothing shared between nodes.
"""

from __future__ import annotations

from collections import deque

from cassiahatch_kernel.registry import PLUGINS

HELD_SHARE = 0.8
"""Share of the allowed ratio and slack that is used, since calls made by a repeated
run are repeats too and are not seen by the node that repeats it."""
LEAST_SHARE = 0.3
"""Share of the budget that any request may use; the rest is for the most urgent."""
POSITIONS = 3.0
"""Position at which only the least share is left."""
BUCKET_S = 0.5
"""Resolution of the window."""


class _Window:
    """Counts of requests and repeats in the recent past."""

    __slots__ = ("_buckets", "_span", "repeats", "requests")

    def __init__(self, window_s: float) -> None:
        self._span = int(window_s / BUCKET_S)
        self._buckets: deque[list[int]] = deque()
        self.requests = 0
        self.repeats = 0

    def add(self, now: float, requests: int, repeats: int) -> None:
        """Count at the present moment."""
        tick = int(now / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != tick:
            self.forget(now)
            self._buckets.append([tick, 0, 0])
        self._buckets[-1][1] += requests
        self._buckets[-1][2] += repeats
        self.requests += requests
        self.repeats += repeats

    def forget(self, now: float) -> None:
        """Drop what lies before the window."""
        oldest = int(now / BUCKET_S) - self._span
        while self._buckets and self._buckets[0][0] < oldest:
            _, requests, repeats = self._buckets.popleft()
            self.requests -= requests
            self.repeats -= repeats


@PLUGINS.register("retry_budget", "share")
class RetryBudget:
    """A node's part of the fleet's budget, for each service.

    Parameters
    ----------
    ratio : float
        Repeats that the fleet may make for each request of a service.
    slack : float
        Repeats that the fleet may make besides, in a window.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = ("_ratio", "_slack", "_window_s", "_windows", "fleet_size")

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._windows: dict[str, _Window] = {}
        self.change_bounds(ratio, slack, window_s)
        self.fleet_size = 1
        """Nodes among which the slack is divided."""

    def change_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Put other bounds in force; a changed window begins anew."""
        self._ratio = ratio * HELD_SHARE
        self._slack = slack * HELD_SHARE
        if window_s != getattr(self, "_window_s", window_s):
            self._windows.clear()
        self._window_s = window_s

    def note_request(self, service: str, now: float) -> None:
        """Count the first sending of a request."""
        self._find(service).add(now, 1, 0)

    def spend(self, service: str, position: float, now: float) -> bool:
        """Tell whether a request may be sent once more, and count it if so.

        The fuller the budget is used, the lower a position must be: under lasting
        failures the same top requests get all their repeats and end whole, instead
        of all getting some and none enough.
        """
        window = self._find(service)
        window.forget(now)
        allowed = self._ratio * window.requests + self._slack / self.fleet_size
        reach = min(1.0, max(0.0, position) / POSITIONS)
        if window.repeats + 1 > allowed * (1.0 - (1.0 - LEAST_SHARE) * reach):
            return False
        window.add(now, 0, 1)
        return True

    def _find(self, service: str) -> _Window:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window(self._window_s)
        return window
