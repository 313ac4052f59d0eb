"""Memory for answers: the bytes of them that a node may hold at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType

LARGE_ANSWER_BYTES = 64 * 1024
"""Size above which an answer is large: it is sent over a link in parts, and only when the
node of the caller has memory for it."""
MAX_EARLY_SHARE = 0.25
"""Share of the memory that answers may take which wait for earlier ones on their
connections. Such an earlier answer may itself be waiting for memory, and must get it."""


class AnswerMemory:
    """Accounts for the answers that a node holds at one end of the links.

    A node has one for its backend server's answers, while they are received or wait for
    a peer, and one for those of its clients, while they are received from a peer or wait
    for the client. With a single one, two nodes could wait for each other.

    Parameters
    ----------
    max_total_bytes : int
        Size limit for all answers together.
    """

    __slots__ = (
        "_waiting",
        "early_bytes",
        "held_bytes",
        "max_total_bytes",
        "receiving_bytes",
    )

    def __init__(self, max_total_bytes: int) -> None:
        self.max_total_bytes = max_total_bytes
        self.receiving_bytes = 0
        """Bytes received so far of incomplete answers whose length is not known."""
        self.held_bytes = 0
        """Bytes reserved for all other answers."""
        self.early_bytes = 0
        """Bytes reserved for answers that wait for earlier ones on their connections."""
        self._waiting: deque[AnswerSpace] = deque()

    @property
    def total_bytes(self) -> int:
        """Bytes of all answers."""
        return self.receiving_bytes + self.held_bytes + self.early_bytes

    def hold(self, size: int) -> AnswerSpace:
        """Account for an answer that is already in memory."""
        space = AnswerSpace(self, size, _ignore)
        space.grant()
        return space

    def request(self, size: int, on_granted: Callable[[], None]) -> AnswerSpace:
        """Reserve memory for an answer as soon as there is enough.

        Parameters
        ----------
        on_granted : callable
            Called once the memory is reserved, which may be at once. Requests are
            granted in their order.
        """
        space = AnswerSpace(self, size, on_granted)
        self._waiting.append(space)
        self.share()
        return space

    def try_reserve_early(self, size: int) -> EarlySpace | None:
        """Reserve memory for an answer that may have to wait for an earlier one.

        Returns None if early answers take as much as they may, or the memory is full.
        """
        space = EarlySpace(self)
        is_full = self.total_bytes + size > self.max_total_bytes
        return None if is_full or not space.try_resize(size) else space

    def share(self) -> None:
        """Grant waiting requests as far as there is memory.

        An answer larger than the limit is granted once no other is held. Early answers
        don't count here: they wait for others, which may be among the waiting requests.
        """
        while self._waiting:
            space = self._waiting[0]
            is_full = self.total_bytes + space.size > self.max_total_bytes
            if space.is_released or not (is_full and self.held_bytes):
                self._waiting.popleft()
                space.grant()
            else:
                return


class AnswerSpace:
    """The memory of one answer; a context manager that releases it."""

    __slots__ = ("_memory", "_on_granted", "is_granted", "is_released", "size")

    def __init__(
        self, memory: AnswerMemory, size: int, on_granted: Callable[[], None]
    ) -> None:
        self._memory = memory
        self._on_granted = on_granted
        self.is_granted = False
        self.size = size
        self.is_released = False

    def __enter__(self) -> AnswerSpace:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def grant(self) -> None:
        """Reserve the memory, unless it is no longer needed."""
        if not self.is_released:
            self.is_granted = True
            self._memory.held_bytes += self.size
            self._on_granted()

    def release(self) -> None:
        """Give the memory back, or stop waiting for it."""
        if self.is_released:
            return
        self.is_released = True
        if self.is_granted:
            self._memory.held_bytes -= self.size
        self._memory.share()


class EarlySpace:
    """The memory of an answer that waits for an earlier one on its connection."""

    __slots__ = ("_is_released", "_memory", "size")

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._is_released = False
        self.size = 0

    def try_resize(self, size: int) -> bool:
        """Reserve ``size`` bytes in all, or return False if that is too much.

        Once released, nothing is reserved, and any size is allowed.
        """
        if self._is_released:
            return True
        memory = self._memory
        early_bytes = memory.early_bytes + size - self.size
        if size > self.size and early_bytes > MAX_EARLY_SHARE * memory.max_total_bytes:
            return False
        memory.early_bytes = early_bytes
        self.size = size
        memory.share()
        return True

    def release(self) -> None:
        """Give the memory back, since the answer no longer waits."""
        self.try_resize(0)
        self._is_released = True


def _ignore() -> None:
    """Do nothing: the memory is reserved at once."""
