"""Size limits for backend server responses that are still being received."""

from __future__ import annotations

from cassiahatch_node.mesh.answer_memory import AnswerMemory

FRAMING_BYTES_PER_BODY_BYTE = 8
"""Framing bytes (chunk sizes and line ends) allowed for each of the first bytes of a body;
a chunk of one byte takes six. Later bytes are allowed one each, since the processor time
for a response grows with the number of its chunks."""


class ResponseLimits:
    """Limits on the incomplete responses of all backend server connections.

    Parameters
    ----------
    max_head_bytes : int
        Size limit for the head of a response, including informational (1xx) responses
        and trailers.
    max_body_bytes : int
        Size limit for the body of a response.
    max_total_bytes : int
        Size limit for all responses together until peers have got them.
    """

    __slots__ = ("max_body_bytes", "max_head_bytes", "memory")

    def __init__(
        self, max_head_bytes: int, max_body_bytes: int, max_total_bytes: int
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.memory = AnswerMemory(max_total_bytes)

    @property
    def buffered_bytes(self) -> int:
        """Bytes received so far of all incomplete responses."""
        return self.memory.receiving_bytes

    def admits(
        self,
        received_bytes: int,
        body_bytes: int,
        announced_bytes: int,
        has_memory: bool,
    ) -> bool:
        """Return whether a response is still within the limits.

        While all answers together exceed their memory, only those that have got theirs,
        and those of at most ``max_head_bytes``, are admitted.

        Parameters
        ----------
        received_bytes : int
            Bytes received since the request was sent.
        body_bytes : int
            Body bytes among them.
        announced_bytes : int
            Length of the body; 0 if it is not known yet.
        has_memory : bool
            Whether memory is reserved for the whole body.
        """
        framing_bytes = received_bytes - body_bytes
        first_bytes = min(body_bytes, self.max_head_bytes)
        if max(body_bytes, announced_bytes) > self.max_body_bytes:
            return False
        if (
            framing_bytes
            > self.max_head_bytes
            + FRAMING_BYTES_PER_BODY_BYTE * first_bytes
            + body_bytes
        ):
            return False
        exceeds_head_limit = received_bytes > self.max_head_bytes
        if has_memory or not exceeds_head_limit:
            return True
        return self.memory.total_bytes <= self.memory.max_total_bytes
