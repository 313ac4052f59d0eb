"""Tracing spans of sampled requests, written as log lines, one for each hop."""

from __future__ import annotations

from enum import StrEnum

from cassiahatch_kernel.exchanges import Indeterminate, Rejection, Reply, Result
from cassiahatch_node.mesh.journal import Journal

SAMPLING_SCALE = 1e6
"""Factor that moves the low digits of a position into the fraction, which serves as the
sampling value. Those digits do not affect the order in which requests are rejected."""


class Hop(StrEnum):
    """Section of a request's path that a span covers."""

    REQUEST = "request"
    """From the client's request to the response, at the client's node."""
    SEND = "send"
    """One attempt at a node, from sending to the result."""
    BACKEND = "backend"
    """Queueing and run, at the node of the backend server."""


class Spans:
    """Writes a log line for each hop of sampled requests; none at a share of 0.

    Sampling depends only on the position (see ``Call.position``), so that all nodes
    sample the same root requests, together with all their calls.

    Parameters
    ----------
    share : float
        Share of the root requests that are sampled.
    """

    __slots__ = ("_journal", "share")

    def __init__(self, share: float, journal: Journal) -> None:
        self.share = share
        self._journal = journal

    def is_sampled(self, position: float) -> bool:
        """Return whether requests at a position are sampled."""
        return self.share > 0.0 and position * SAMPLING_SCALE % 1.0 < self.share

    def write(
        self,
        hop: Hop,
        request_id: str,
        spent_s: float,
        result: Result,
        **fields: object,
    ) -> None:
        """Write a span that ends now.

        Parameters
        ----------
        spent_s : float
            Duration of the span in seconds.
        result : Result
            Result of the hop.
        """
        self._journal.trace(
            "span",
            request=request_id,
            hop=hop,
            spent_s=round(spent_s, 5),
            outcome=format_result(result),
            **fields,
        )


def format_result(result: Result) -> str:
    """Return the status or the reason of a result, for log lines."""
    match result:
        case Reply(status=status):
            return str(status)
        case Rejection(reason=reason) | Indeterminate(reason=reason):
            return reason
