"""Pipelining: which of a connection's requests are served at the same time.

Clients may send further requests before the first has its answer. A request that may
run more than once is served beside those before it; any other one waits for them and is
served alone, since its client may rely on the order of their effects. The load it is
made for is connections that carry several short requests at once, such as 16 of 37 ms.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_OPEN = 16
"""Requests of one connection that are served at the same time. The requests behind them
wait in the connection's reader."""


@dataclass(slots=True, frozen=True)
class Place:
    """What a request on a connection means for the requests around it."""

    is_safe: bool
    """Whether it may be served beside other requests."""
    is_last: bool
    """Whether its answer closes the connection. A client sends what it sent behind such
    a request again, so nothing behind it may be served."""


def may_open(before: Place, place: Place, open_count: int) -> bool:
    """Return whether a request may be served before those ahead of it have answers.

    Parameters
    ----------
    before : Place
        Of the request directly before it.
    place : Place
        Of the request itself.
    open_count : int
        Number of the connection's requests that are served or wait for their turn to be
        answered. All of these but the first were opened by the same rule.
    """
    return (
        open_count < MAX_OPEN
        and before.is_safe
        and not before.is_last
        and place.is_safe
    )
