"""Bounds on what is held of answers that have not ended."""

from __future__ import annotations

FRAMING_SHARE = 8
"""Bytes of chunk sizes and line ends allowed for each byte of a body: a chunk of one
byte takes six."""


class AnswerBuffers:
    """What all connections to the backend server hold of answers under way.

    Parameters
    ----------
    max_head_bytes : int
        Longest head of an answer, with informational answers and trailers.
    max_body_bytes : int
        Longest body of an answer.
    max_total_bytes : int
        Most that the answers under way may hold together.
    """

    __slots__ = (
        "buffered_bytes",
        "max_body_bytes",
        "max_head_bytes",
        "max_total_bytes",
    )

    def __init__(
        self, max_head_bytes: int, max_body_bytes: int, max_total_bytes: int
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.max_total_bytes = max_total_bytes
        self.buffered_bytes = 0
        """Bytes received of answers that have not ended."""

    def admits(self, received_bytes: int, body_bytes: int) -> bool:
        """Tell whether an answer may go on.

        When all together hold too much, those end that hold more than a head.

        Parameters
        ----------
        received_bytes : int
            All that came since the request was sent.
        body_bytes : int
            The part of it that belongs to a body.
        """
        framing_bytes = received_bytes - body_bytes
        if body_bytes > self.max_body_bytes:
            return False
        if framing_bytes > self.max_head_bytes + FRAMING_SHARE * body_bytes:
            return False
        is_large = received_bytes > self.max_head_bytes
        return not is_large or self.buffered_bytes <= self.max_total_bytes
