"""Retry budget: the limit on the arrivals that retries cause at a service.

In a chain of services with failing backend servers, a request that is run again makes
its calls again, so each service receives the calls caused by retries at all services
that call it, directly or not, in addition to retries of its own calls. Only the node of
a backend server sees all calls that arrive there, and it knows for each of them whether
a retry caused it. Each of these nodes therefore enforces the limit for its backend
server, which enforces it for the service across the fleet, with no state shared between
nodes.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from cassiahatch_kernel.exchanges import AttemptKind
from cassiahatch_kernel.registry import PLUGINS

MAX_USE = 0.9
"""Budget use above which no arrival caused by a retry is admitted. The rest is a
reserve for a falling request rate: a window may hold fewer first attempts than the one
before it."""
RETRY_MAX_USE = 0.8
"""Budget use up to which a request may be retried. Above it only calls made by runs
that a retry has caused are admitted, since the work of those runs would be lost."""
DOWNSTREAM_MAX_USE = 0.7
"""Budget use of a downstream service up to which a request may be retried. It is lower
than ``RETRY_MAX_USE``, since a retry of only the call that failed downstream costs far
less than one of the complete request."""
MIN_RETRY_SHARE = 0.3
"""Share of ``RETRY_MAX_USE`` that every request may use; the rest is reserved for
urgent requests."""
MIN_SHARE_POSITION = 3.0
"""Position from which on requests may use only ``MIN_RETRY_SHARE``."""
BUCKET_S = 0.5
"""Resolution of the sliding window."""
REPORT_TTL_S = 2.0
"""Age at which a reported budget use expires."""
REPORT_WEIGHT = 0.2
"""Weight of the newest report in the moving average, since the backend servers of a
service differ."""


class _Window:
    """Counts first attempts and arrivals caused by retries in a sliding window."""

    __slots__ = ("_bucket_count", "_buckets", "first_attempts", "retry_arrivals")

    def __init__(self, window_s: float) -> None:
        self._bucket_count = int(window_s / BUCKET_S)
        self._buckets: deque[list[int]] = deque()
        self.first_attempts = 0
        self.retry_arrivals = 0

    def add(self, now: float, first_attempts: int, retry_arrivals: int) -> None:
        """Count arrivals at the current time."""
        index = int(now / BUCKET_S)
        if not self._buckets or self._buckets[-1][0] != index:
            self.drop_expired(now)
            self._buckets.append([index, 0, 0])
        self._buckets[-1][1] += first_attempts
        self._buckets[-1][2] += retry_arrivals
        self.first_attempts += first_attempts
        self.retry_arrivals += retry_arrivals

    def drop_expired(self, now: float) -> None:
        """Remove the counts from before the window."""
        oldest = int(now / BUCKET_S) - self._bucket_count
        while self._buckets and self._buckets[0][0] < oldest:
            _, first_attempts, retry_arrivals = self._buckets.popleft()
            self.first_attempts -= first_attempts
            self.retry_arrivals -= retry_arrivals

    def count_first_attempts(self, now: float) -> int:
        """Return the first attempts that are certainly within the window.

        Those of the oldest bucket may be from before it.
        """
        oldest = int(now / BUCKET_S) - self._bucket_count
        if self._buckets and self._buckets[0][0] <= oldest:
            return self.first_attempts - self._buckets[0][1]
        return self.first_attempts


@PLUGINS.register("retry_budget", "arrivals")
class RetryBudget:
    """One backend server's share of the retry budget of its service.

    Parameters
    ----------
    ratio : float
        Arrivals caused by retries that a service may receive per first attempt.
    slack : float
        Additional arrivals of this kind that a service may receive in a window.
    window_s : float
        Length of the window in seconds.
    is_first_start : bool
        Whether no earlier process can have used a part of the slack.
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
        """Number of backend servers of the service, which share the slack; 0 if
        unknown."""
        self.set_limits(ratio, slack, window_s)

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Apply other limits; another length of the window clears the counts."""
        self._ratio = ratio
        self._slack = slack
        if window_s != self._window_s:
            if self._window_s:
                self._is_first_start = False
            self._window = _Window(window_s)
            self._window_s = window_s
            self._started_at = None

    def record_arrival(self, attempt_kind: AttemptKind, now: float) -> None:
        """Count a call that is about to be sent to the backend server."""
        is_first = attempt_kind is AttemptKind.FIRST
        self._window.add(now, int(is_first), int(not is_first))

    def admits(
        self,
        attempt_kind: AttemptKind,
        position: float,
        downstream_use: float,
        now: float,
    ) -> bool:
        """Return whether a call may be sent to the backend server.

        Parameters
        ----------
        position : float
            Position of its root request.
        downstream_use : float
            Highest budget use at the services that its run calls.
        """
        match attempt_kind:
            case AttemptKind.FIRST:
                return True
            case AttemptKind.DOWNSTREAM_OF_RETRY:
                return self._compute_use(1, now) <= MAX_USE
            case AttemptKind.RETRY:
                return allows_retry(self._compute_use(1, now), downstream_use, position)

    def compute_use(self, now: float) -> float:
        """Return the share of the budget in use; above 1 if the budget is empty."""
        return self._compute_use(0, now)

    def _compute_use(self, added: int, now: float) -> float:
        window = self._window
        window.drop_expired(now)
        retry_arrivals = window.retry_arrivals + added
        if not retry_arrivals:
            return 0.0
        first_attempts = window.count_first_attempts(now)
        allowed = self._ratio * first_attempts + self._compute_slack(now)
        return retry_arrivals / allowed if allowed > 0 else float(retry_arrivals) + 1.0

    def _compute_slack(self, now: float) -> float:
        """Return the backend server's share of the slack.

        If an earlier process may have used it, a full window must pass first.
        """
        if self._started_at is None:
            self._started_at = now
        may_be_used = (
            now - self._started_at < self._window_s and not self._is_first_start
        )
        if may_be_used or not self.server_count:
            return 0.0
        return self._slack / self.server_count


@dataclass(slots=True)
class PathRetryUse:
    """Highest retry budget use at a route's service and downstream.

    A moving average of what results report.
    """

    value: float = 0.0
    reported_at: float = float("-inf")

    def observe(self, use: float, now: float) -> None:
        """Update the average with the use that a result reported.

        An expired average is replaced.
        """
        if now - self.reported_at > REPORT_TTL_S:
            self.value = use
        else:
            self.value += REPORT_WEIGHT * (use - self.value)
        self.reported_at = now

    def read(self, now: float) -> float:
        """Return the current average; 0 if the reports have expired."""
        return self.value if now - self.reported_at <= REPORT_TTL_S else 0.0


def allows_retry(use: float, downstream_use: float, position: float) -> bool:
    """Return whether a request may be retried at a backend server.

    The more of the budget is in use, the lower its position must be. Under lasting
    failures the same root requests then get all their retries and complete, instead of
    all requests getting some retries and none enough.

    Parameters
    ----------
    use : float
        Share of the backend server's retry budget in use.
    downstream_use : float
        Highest budget use at the services that its run calls.
    position : float
        Position of its root request.
    """
    fraction = min(1.0, max(0.0, position) / MIN_SHARE_POSITION)
    max_use = RETRY_MAX_USE * (1.0 - (1.0 - MIN_RETRY_SHARE) * fraction)
    return use <= max_use and downstream_use <= DOWNSTREAM_MAX_USE
