"""Large replies at the calling end of a link, while their bodies are received."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cassiahatch_kernel.exchanges import Reply
from cassiahatch_node.mesh.answer_memory import AnswerMemory, AnswerSpace
from cassiahatch_node.mesh.frames import BadFrameError, BodyFrame


@dataclass(slots=True)
class PartialReply:
    """A reply whose body is being received, or waits for memory."""

    reply: Reply
    """The reply without its body."""
    missing_bytes: int
    space: AnswerSpace
    parts: list[bytes] = field(default_factory=list)


class PartialReplies:
    """Replies to the calls on one link, by the numbers of the calls.

    Parameters
    ----------
    memory : AnswerMemory
        Accounts for the bodies.
    take : callable
        Asks the peer for the body of a reply, by the number of its call.
    """

    __slots__ = ("_memory", "_replies", "_take")

    def __init__(self, memory: AnswerMemory, take: Callable[[int], None]) -> None:
        self._memory = memory
        self._take = take
        self._replies: dict[int, PartialReply] = {}

    def add(self, number: int, reply: Reply, size: int) -> None:
        """Ask for the body of a reply as soon as there is memory for it."""
        space = self._memory.request(size, lambda: self._take(number))
        self._replies[number] = PartialReply(reply, size, space)

    def receive(self, frame: BodyFrame) -> Reply | None:
        """Add a part, and return the reply if it is complete.

        Parts of dropped replies are ignored.

        Raises
        ------
        BadFrameError
            If the body is longer than announced.
        """
        partial = self._replies.get(frame.number)
        if partial is None:
            return None
        partial.parts.append(frame.data)
        partial.missing_bytes -= len(frame.data)
        if partial.missing_bytes < 0:
            raise BadFrameError(
                f"body is {-partial.missing_bytes} bytes longer than announced"
            )
        if partial.missing_bytes:
            return None
        del self._replies[frame.number]
        # Two turns of the event loop later, the waiting task accounts for the body.
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, partial.space.release)
        return msgspec.structs.replace(partial.reply, body=b"".join(partial.parts))

    def drop(self, number: int) -> None:
        """Drop a reply, if there is one: its call has ended."""
        partial = self._replies.pop(number, None)
        if partial is not None:
            partial.space.release()

    def clear(self) -> None:
        """Drop all replies."""
        for number in list(self._replies):
            self.drop(number)
