"""The budget of requests that reach a service more than once.

Answers the load of failing backend servers in a chain of services: a request that runs
again makes its calls again, so each service gets the repeats of all those above it
besides its own. Only the node beside a backend server sees all that arrives there, and
it knows for each arrival whether a repeat is its cause: so each of these nodes keeps the
bound for its backend server, and then the fleet keeps it for the service, with nothing
shared between nodes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from cassiahatch_kernel.exchanges import AttemptKind
from cassiahatch_kernel.registry import PLUGINS

HELD_SHARE = 0.9
"""Share of the allowed repeats beyond which nothing that is owed to one is run. The rest
is for requests that fell off since: a window may hold fewer than the one before it."""
REPEAT_SHARE = 0.8
"""Share up to which a request may be repeated; beyond it there is room only for calls
of runs that were repeated above, whose work would be lost."""
BELOW_SHARE = 0.7
"""Share used at a service below up to which a request may be repeated: less than
``REPEAT_SHARE``, since a repeat of the call that failed costs far less than the whole."""
LEAST_SHARE = 0.3
"""Share of ``REPEAT_SHARE`` that any request may use; the rest is for the urgent."""
POSITIONS = 3.0
"""Position at which only the least share is left."""
BUCKET_S = 0.5
"""Resolution of the window."""
STALE_S = 2.0
"""Age at which a reported share says nothing any more."""
SMOOTHING = 0.2
"""Weight of the newest report: the backend servers of a service differ."""


class _Window:
    """Counts of first arrivals and of repeats in the recent past."""

    __slots__ = ("_buckets", "_span", "firsts", "repeats")

    def __init__(self, window_s: float) -> None:
        self._span = int(window_s / BUCKET_S)
        self._buckets: deque[list[int]] = deque()
        self.firsts = 0
        self.repeats = 0

    def add(self, now: float, firsts: int, repeats: int) -> None:
        """Count at the present moment."""
        tick = int(now / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != tick:
            self.forget(now)
            self._buckets.append([tick, 0, 0])
        self._buckets[-1][1] += firsts
        self._buckets[-1][2] += repeats
        self.firsts += firsts
        self.repeats += repeats

    def forget(self, now: float) -> None:
        """Drop what lies before the window."""
        oldest = int(now / BUCKET_S) - self._span
        while self._buckets and self._buckets[0][0] < oldest:
            _, firsts, repeats = self._buckets.popleft()
            self.firsts -= firsts
            self.repeats -= repeats


@PLUGINS.register("retry_budget", "arrivals")
class RetryBudget:
    """One backend server's part of the bound on its service's repeats.

    Parameters
    ----------
    ratio : float
        Arrivals owed to repeats that a service may get for each first arrival.
    slack : float
        Such arrivals that a service may get besides, in a window.
    window_s : float
        Length of the window in seconds.
    is_first_start : bool
        Whether no earlier process can have spent a part of the slack.
    """

    __slots__ = (
        "_is_first_start",
        "_ratio",
        "_slack",
        "_started_at",
        "_window",
        "_window_s",
        "server_count",
    )

    def __init__(
        self, ratio: float, slack: float, window_s: float, is_first_start: bool
    ) -> None:
        self._window_s = 0.0
        self._is_first_start = is_first_start
        self._started_at: float | None = None
        self.server_count = 0
        """Backend servers of the service, which share the slack; 0 if unknown."""
        self.set_limits(ratio, slack, window_s)

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Put other bounds in force; a changed window begins anew."""
        self._ratio = ratio
        self._slack = slack
        if window_s != self._window_s:
            if self._window_s:
                self._is_first_start = False
            self._window = _Window(window_s)
            self._window_s = window_s
            self._started_at = None

    def record_arrival(self, attempt_kind: AttemptKind, now: float) -> None:
        """Count what is about to reach the backend server."""
        is_first = attempt_kind is AttemptKind.FIRST
        self._window.add(now, int(is_first), int(not is_first))

    def admits(
        self, attempt_kind: AttemptKind, position: float, below: float, now: float
    ) -> bool:
        """Tell whether an arrival may reach the backend server.

        Parameters
        ----------
        position : float
            Position of its top request.
        below : float
            Highest share used at the services that its run calls.
        """
        match attempt_kind:
            case AttemptKind.FIRST:
                return True
            case AttemptKind.BELOW_RETRY:
                return self._read_use(1, now) <= HELD_SHARE
            case AttemptKind.RETRY:
                return allows_retry(self._read_use(1, now), below, position)

    def compute_use(self, now: float) -> float:
        """Return the share of the allowed repeats that is used; above 1 if none are."""
        return self._read_use(0, now)

    def _read_use(self, more: int, now: float) -> float:
        window = self._window
        window.forget(now)
        repeats = window.repeats + more
        if not repeats:
            return 0.0
        allowed = self._ratio * window.firsts + self._read_slack(now)
        return repeats / allowed if allowed > 0 else float(repeats) + 1.0

    def _read_slack(self, now: float) -> float:
        """Return the backend server's part of the slack.

        A window must pass first if an earlier process may have spent it.
        """
        if self._started_at is None:
            self._started_at = now
        is_spent = now - self._started_at < self._window_s and not self._is_first_start
        if is_spent or not self.server_count:
            return 0.0
        return self._slack / self.server_count


@dataclass(slots=True)
class PathRetryUse:
    """The share of the allowed repeats used at or below a route, over its results."""

    value: float = 0.0
    reported_at: float = float("-inf")

    def observe(self, use: float, now: float) -> None:
        """Take in what a result carried."""
        if now - self.reported_at > STALE_S:
            self.value = use
        else:
            self.value += SMOOTHING * (use - self.value)
        self.reported_at = now

    def read(self, now: float) -> float:
        """Return the share to count with now."""
        return self.value if now - self.reported_at <= STALE_S else 0.0


def allows_retry(use: float, below: float, position: float) -> bool:
    """Tell whether a request may be repeated at a backend server.

    The fuller the budget is used, the lower a position must be: under lasting failures
    the same top requests get all their repeats and end whole, instead of all getting
    some and none enough.

    Parameters
    ----------
    use : float
        Share of the allowed repeats used there.
    below : float
        Highest share used at the services that its run calls.
    position : float
        Position of its top request.
    """
    reach = min(1.0, max(0.0, position) / POSITIONS)
    share = REPEAT_SHARE * (1.0 - (1.0 - LEAST_SHARE) * reach)
    return use <= share and below <= BELOW_SHARE
