"""Large replies at the serving end of a link, until the peer has got them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from cassiahatch_node.mesh.answer_memory import AnswerMemory, AnswerSpace
from cassiahatch_node.mesh.frames import BODY_PART_BYTES, BodyFrame


@dataclass(slots=True)
class UnsentReply:
    """The body of a large reply, of which the peer has not got everything."""

    request_id: str
    rest: memoryview
    expires_at: float
    """Deadline of the call in monotonic seconds."""
    space: AnswerSpace


class UnsentReplies:
    """Bodies of large replies, sent in parts and in turns once the peer takes them.

    Parameters
    ----------
    memory : AnswerMemory
        Accounts for the bodies.
    """

    __slots__ = ("_memory", "_replies", "_taken", "last_expiry")

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._replies: dict[int, UnsentReply] = {}
        self._taken: deque[int] = deque()
        """Calls whose replies the peer has asked for."""
        self.last_expiry = float("-inf")
        """Latest deadline of all replies so far, in monotonic seconds."""

    def __len__(self) -> int:
        return len(self._replies)

    def add(self, number: int, request_id: str, body: bytes, expires_at: float) -> None:
        """Keep a body until the peer takes it, or its call expires."""
        self.last_expiry = max(self.last_expiry, expires_at)
        space = self._memory.hold(len(body))
        self._replies[number] = UnsentReply(
            request_id, memoryview(body), expires_at, space
        )

    def take(self, number: int) -> None:
        """Let a body be sent: the peer has memory for it."""
        self._taken.append(number)

    def next_part(self) -> BodyFrame | None:
        """Return the next part to send, or None if there is none."""
        while self._taken:
            number = self._taken.popleft()
            reply = self._replies.get(number)
            if reply is None:
                continue
            part = bytes(reply.rest[:BODY_PART_BYTES])
            reply.rest = reply.rest[BODY_PART_BYTES:]
            if reply.rest:
                self._taken.append(number)
            else:
                self.drop(number)
            return BodyFrame(number, part)
        return None

    def drop(self, number: int) -> None:
        """Drop what is left of a body, if anything."""
        reply = self._replies.pop(number, None)
        if reply is not None:
            reply.space.release()

    def drop_expired(self, now: float) -> list[str]:
        """Drop the bodies whose calls have expired; return the ids of their requests."""
        expired = [
            (number, reply.request_id)
            for number, reply in self._replies.items()
            if now > reply.expires_at
        ]
        for number, _ in expired:
            self.drop(number)
        return [request_id for _, request_id in expired]

    def clear(self) -> list[str]:
        """Drop all bodies; return the ids of their requests."""
        return self.drop_expired(float("inf"))
