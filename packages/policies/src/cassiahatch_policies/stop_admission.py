"""Which requests a node still takes after it has been told to stop.

A request that is running when the process ends is cut without an answer, and one that
may not be repeated is then lost. For a while the clients and peers of a stopping node
can't know of the stop; what they send is taken. Later requests are taken only if their
deadlines pass before the process ends, so that each gets an answer. The others are
rejected as not run, while other nodes can still take them.
"""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS

NOTICE_S = 2.8
"""Time after SIGTERM in which all requests are taken. Clients probe the readiness once a
second and stop using a node after two failed probes."""
MAX_NOTICE_SHARE = 0.5
"""Largest share of the grace period for that."""
END_SHARE = 0.95
"""Share of the grace period after which requests that are still open are answered."""
EXIT_SHARE = 0.97
"""Share of the grace period after which the process exits although answers are on their
way."""
EXIT_S = 0.2
"""Time that a process needs to exit."""
ANSWER_S = 0.1
"""Time from a deadline until the answer that it has passed is sent."""


@PLUGINS.register("stop_admission", "deadline")
class StopAdmission:
    """Admits requests to a node that stops.

    Parameters
    ----------
    started_at : float
        Monotonic seconds of the SIGTERM.
    grace_s : float
        Seconds from SIGTERM to SIGKILL.
    """

    __slots__ = (
        "_last_deadline",
        "_notice_ends_at",
        "ends_at",
        "exits_at",
        "is_closed",
    )

    def __init__(self, started_at: float, grace_s: float) -> None:
        notice_s = min(NOTICE_S, MAX_NOTICE_SHARE * grace_s)
        self._notice_ends_at = started_at + notice_s
        self.ends_at = started_at + min(END_SHARE * grace_s, grace_s - EXIT_S)
        """Monotonic seconds at which the requests that are still open are answered."""
        self.exits_at = started_at + min(EXIT_SHARE * grace_s, grace_s - EXIT_S)
        """Monotonic seconds at which the process exits at the latest."""
        self._last_deadline = self.ends_at - ANSWER_S
        self.is_closed = False
        """Whether no request is taken any more: the node is idle and exits."""

    def admits(self, expires_at: float, now: float) -> bool:
        """Return whether a request with this deadline is taken.

        Parameters
        ----------
        expires_at, now : float
            Monotonic seconds.
        """
        if self.is_closed:
            return False
        return now < self._notice_ends_at or expires_at <= self._last_deadline
