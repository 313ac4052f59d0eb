"""A TCP proxy on loopback that harms what passes it."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from mesh_site import HOST, reserve_port

CHUNK_BYTES = 65536
DELAY_S = 0.15
"""How long the mode ``delay`` holds each piece back."""
HOLD_POLL_S = 0.05


class Proxy:
    """Passes connections on to ``target``, and does harm in the modes of ``faults``.

    A connection that met ``silent`` never passes anything again, as if the path had
    lost track of it; new ones work once the mode has ended.
    """

    def __init__(self, target: str) -> None:
        self.address = f"{HOST}:{reserve_port()}"
        self._target = target.split(":")
        self._mode = "pass"
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, stack: AsyncExitStack) -> None:
        """Listen until the stack is closed."""
        host, port = self.address.split(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        stack.callback(self._close)
        stack.callback(server.close)

    def change(self, mode: str) -> None:
        """Begin a mode; ``reset`` ends all connections at once."""
        self._mode = mode
        if mode == "reset":
            self._close()

    def _close(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode == "reset":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target[0], int(self._target[1])
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, "deaf"))
                group.create_task(self._pump(far_reader, writer, "mute"))
        except* (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers -= both
            for end in both:
                end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        loss: str,
    ) -> None:
        """Pass bytes on; ``loss`` is the mode in which this direction loses them."""
        is_lost = False
        while data := await reader.read(CHUNK_BYTES):
            if self._mode == "delay":
                await asyncio.sleep(DELAY_S)
            is_lost = is_lost or self._mode in ("silent", loss)
            if not is_lost and not writer.is_closing():
                writer.write(data)
                await writer.drain()
        while is_lost:
            await asyncio.sleep(HOLD_POLL_S)
            if reader.at_eof() and self._mode == "pass":
                break
        if not writer.is_closing():
            writer.write_eof()
