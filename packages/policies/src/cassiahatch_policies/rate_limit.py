"""Rate limit: the limit that a backend server names on the requests sent to it.

A backend server in need names the requests a second that it takes from all nodes
together. All of them pass the node beside it, which therefore keeps the limit alone,
with no state shared between nodes.
"""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS

BURST_S = 0.25
"""Time whose share of requests may be sent at once after a pause."""
MIN_RATE_PER_S = 0.5
"""Least rate that is sent, also under a limit of 0: only an answer tells that the limit
has ended."""
UNKNOWN_RATE_PER_S = 2.0
"""Rate until the first answer after a start of the node, which has lost what earlier
answers named. The first request goes at once."""


@PLUGINS.register("rate_limit", "token-bucket")
class TokenBucket:
    """Spaces out the requests to a backend server at the rate that it names.

    Parameters
    ----------
    is_first_start : bool
        Whether no process has run before, so that no earlier answer can have named a
        limit. Requests are then not limited until an answer names one: otherwise the
        first requests of the day would wait while the backend server has free slots.
    """

    __slots__ = ("_burst", "_rate_per_s", "_refilled_at", "_tokens", "is_known")

    def __init__(self, is_first_start: bool = False) -> None:
        self._rate_per_s = None if is_first_start else UNKNOWN_RATE_PER_S
        self._burst = 1.0
        self._tokens = 1.0
        self._refilled_at = float("-inf")
        self.is_known = False
        """Whether an answer has shown if there is a limit, since the node started."""

    @property
    def rate_per_s(self) -> float | None:
        """Requests a second that may be sent; None if no limit is known."""
        return self._rate_per_s if self.is_known else None

    def set_rate(self, rate_per_s: float | None, now: float) -> bool:
        """Follow the limit that an answer names, and return whether it has changed.

        Parameters
        ----------
        rate_per_s : float or None
            The limit in requests a second; None if the answer names none.
        """
        if rate_per_s is not None:
            rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        if self.is_known and rate_per_s == self._rate_per_s:
            return False
        self._refill(now)
        self.is_known = True
        self._rate_per_s = rate_per_s
        if rate_per_s is not None:
            self._burst = max(1.0, rate_per_s * BURST_S)
            self._tokens = min(self._tokens, self._burst)
        return True

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._refill(now)
        self._tokens -= 1.0

    def compute_delay_s(self, now: float) -> float:
        """Return the seconds until a request may be sent; 0 if it may be sent now."""
        if self._rate_per_s is None:
            return 0.0
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self._rate_per_s)

    def estimate_wait_s(self, waiting: int, now: float) -> float:
        """Return the expected wait of a request behind ``waiting`` others.

        An unknown limit delays requests only until the first answer, so it counts as
        none.
        """
        if self.rate_per_s is None:
            return 0.0
        return self.compute_delay_s(now) + waiting / self.rate_per_s

    def _refill(self, now: float) -> None:
        if self._rate_per_s is None:
            self._tokens = 0.0
        else:
            elapsed_s = max(0.0, now - self._refilled_at)
            refilled = self._tokens + elapsed_s * self._rate_per_s
            self._tokens = min(self._burst, refilled)
        self._refilled_at = now
