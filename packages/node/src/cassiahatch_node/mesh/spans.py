"""Spans of sampled requests, one for each hop, as log lines."""

from __future__ import annotations

from enum import StrEnum

from cassiahatch_kernel.exchanges import Lost, Rejection, Reply, Result
from cassiahatch_node.mesh.journal import Journal

DIGITS = 1e6
"""Digits of a position that say nothing of its place in the order of refusal."""


class Hop(StrEnum):
    """The part of a request's way that a span covers."""

    REQUEST = "request"
    """From the client's request to the answer, at its own node."""
    SEND = "send"
    """One sending to a node, until its result came."""
    BACKEND = "backend"
    """The queue and the run, at the node beside the backend server."""


class Spans:
    """Writes a line for each hop of sampled requests; free of cost at a share of 0.

    All nodes sample the same requests with all their calls, by the digits of their
    position.

    Parameters
    ----------
    share : float
        Share of the top requests that are sampled.
    """

    __slots__ = ("_journal", "share")

    def __init__(self, share: float, journal: Journal) -> None:
        self.share = share
        self._journal = journal

    def is_sampled(self, position: float) -> bool:
        """Tell whether the requests at a position are sampled."""
        return self.share > 0.0 and position * DIGITS % 1.0 < self.share

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
            Its length in seconds.
        result : Result
            How it ended.
        """
        self._journal.trace(
            "span",
            request=request_id,
            hop=hop,
            spent_s=round(spent_s, 5),
            outcome=name_result(result),
            **fields,
        )


def name_result(result: Result) -> str:
    """Return a status or a reason, for log lines."""
    match result:
        case Reply(status=status):
            return str(status)
        case Rejection(reason=reason) | Lost(reason=reason):
            return reason
