"""Memory for request bodies: the bytes of them that a node may hold at once."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType

LARGE_BODY_BYTES = 32 * 1024
"""Size above which a body is large: its request is checked before the body is read, and
the body is sent over links in parts."""
LARGE_SHARE = 0.8
"""Share of the memory that large bodies may take. The rest is left to the small bodies of
other requests."""


class BodyMemory:
    """Accounts for the request bodies that a node holds.

    Parameters
    ----------
    max_total_bytes : int
        Size limit for all request bodies together.
    """

    __slots__ = ("held_bytes", "max_total_bytes", "on_release")

    def __init__(self, max_total_bytes: int) -> None:
        self.max_total_bytes = max_total_bytes
        self.held_bytes = 0
        """Bytes reserved for the bodies held or being received."""
        self.on_release: Callable[[], None] = _ignore
        """Called when reserved bytes have been released."""

    def compute_limit(self, size: int) -> int:
        """Return up to how many bytes in all a body of this size may be admitted."""
        if size <= LARGE_BODY_BYTES:
            return self.max_total_bytes
        return int(LARGE_SHARE * self.max_total_bytes)

    def can_ever_hold(self, size: int) -> bool:
        """Return whether a body of this size fits if there is no other."""
        return size <= self.compute_limit(size)


class BodySpace:
    """The part of the memory that is reserved for one body.

    A context manager that releases it.
    """

    __slots__ = ("_memory", "size")

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.size = 0

    def __enter__(self) -> BodySpace:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()

    def try_extend(self, size: int) -> bool:
        """Reserve ``size`` bytes in all, or return False if they are not free."""
        memory = self._memory
        held_bytes = memory.held_bytes + size - self.size
        if held_bytes > memory.compute_limit(size):
            return False
        memory.held_bytes = held_bytes
        self.size = size
        return True

    def release(self) -> None:
        """Release what is reserved."""
        if self.size:
            self._memory.held_bytes -= self.size
            self.size = 0
            self._memory.on_release()


def _ignore() -> None:
    """Do nothing; the default until a callback is set."""
