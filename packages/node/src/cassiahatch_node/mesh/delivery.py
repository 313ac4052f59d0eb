"""What was written to a connection and has not been received at its other end."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios

NO_DESCRIPTOR = -1
HANDED_OVER_BYTES = 4 * 1024 * 1024
"""Most bytes that the kernel is asked to take of one connection when the process ends.
Its own limit (``net.core.wmem_max``) may be lower."""
_INT = struct.Struct("i")


class Delivery:
    """Follows the answers written to a connection until its other end has them.

    Their bytes wait in the transport, and then in the kernel until they are
    acknowledged. The kernel drops its part if the connection is reset.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    """

    __slots__ = (
        "_descriptor",
        "_expires_at",
        "_is_complete",
        "_later_bytes",
        "_socket",
        "_transport",
        "is_lost",
    )

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self._descriptor = NO_DESCRIPTOR
        if self._socket is not None:
            self._descriptor = self._socket.fileno()
        self._is_complete = True
        self._expires_at = float("-inf")
        """Monotonic seconds until which the last answer is of use to its receiver."""
        self._later_bytes = 0
        """Bytes written behind the last answer."""
        self.is_lost = False
        """Whether the other end has reset the connection before it had all answers."""

    def record_answer(self, expires_at: float) -> None:
        """Note that an answer, or a part of one, was written.

        Parameters
        ----------
        expires_at : float
            Monotonic seconds after which its receiver no longer waits for it.
        """
        self._is_complete = False
        self._expires_at = max(self._expires_at, expires_at)
        self._later_bytes = 0

    def record_other(self, size: int) -> None:
        """Note that bytes were written which belong to no answer."""
        self._later_bytes += size

    @property
    def is_complete(self) -> bool:
        """Whether the other end has received all answers, or never will."""
        if not self._is_complete:
            is_received = self.count_pending_bytes() <= self._later_bytes
            self.is_lost = not is_received and self._is_reset()
            self._is_complete = is_received or self.is_lost
        return self._is_complete

    def is_awaited(self, now: float) -> bool:
        """Return whether the other end still waits for an answer on its way."""
        return now < self._expires_at and not self.is_complete

    def count_pending_bytes(self) -> int:
        """Return the number of bytes in the transport and in the kernel.

        After a loss of the connection it is the kernel's part only.
        """
        return self._transport.get_write_buffer_size() + self._count_unacknowledged()

    def hand_over(self) -> None:
        """Let the kernel take what the transport holds, since the process ends.

        The kernel sends on after that.
        """
        if self._descriptor != NO_DESCRIPTOR and not self.is_complete:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, HANDED_OVER_BYTES
            )

    def close(self) -> None:
        """Forget the socket, whose descriptor may soon be that of another one."""
        self._is_complete = True
        self._descriptor = NO_DESCRIPTOR

    def _count_unacknowledged(self) -> int:
        if self._descriptor == NO_DESCRIPTOR:
            return 0
        try:
            result = fcntl.ioctl(self._descriptor, termios.TIOCOUTQ, bytes(_INT.size))
        except OSError:
            # The socket is closed.
            return 0
        return _INT.unpack(result)[0]

    def _is_reset(self) -> bool:
        """Return whether the socket has an error, also while nothing reads from it."""
        if self._descriptor == NO_DESCRIPTOR:
            return False
        poll = select.poll()
        poll.register(self._descriptor, 0)
        return any(events & select.POLLERR for _, events in poll.poll(0))
