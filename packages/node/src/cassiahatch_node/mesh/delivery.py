"""What was written to a connection and has not been received at its other end."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

NO_DESCRIPTOR = -1
_INT = struct.Struct("i")


class Delivery:
    """Follows the bytes written to a connection until its other end has them.

    They wait in the transport, and then in the kernel until they are acknowledged. The
    kernel drops its part if the connection is reset.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    """

    __slots__ = ("_descriptor", "_is_complete", "_transport")

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        socket = transport.get_extra_info("socket")
        self._descriptor = socket.fileno() if socket is not None else NO_DESCRIPTOR
        self._is_complete = True

    def record_write(self) -> None:
        """Note that bytes were written."""
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the other end has received all that was written."""
        if not self._is_complete:
            self._is_complete = not self.count_pending_bytes()
        return self._is_complete

    def count_pending_bytes(self) -> int:
        """Return the number of bytes in the transport and in the kernel.

        After a loss of the connection it is the kernel's part only.
        """
        return self._transport.get_write_buffer_size() + self._count_unacknowledged()

    def close(self) -> None:
        """Forget the socket, whose descriptor may soon be that of another one."""
        self._is_complete = True
        self._descriptor = NO_DESCRIPTOR

    def _count_unacknowledged(self) -> int:
        try:
            result = fcntl.ioctl(self._descriptor, termios.TIOCOUTQ, bytes(_INT.size))
        except OSError:
            # No socket, or a closed one.
            return 0
        return _INT.unpack(result)[0]
