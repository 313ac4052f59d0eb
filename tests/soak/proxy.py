"""TCP proxy on loopback that simulates network faults."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from mesh_site import HOST, reserve_port

CHUNK_BYTES = 65536
DELAY_S = 0.15
"""Time by which the mode ``delay`` delays each chunk."""
CHECK_INTERVAL_S = 0.05


class Proxy:
    """Forwards connections to ``target``, with the faults of ``faults.PROXY_MODES``.

    Once a direction of a connection has dropped bytes, it drops all later ones too, as
    if the network had lost its state of the connection; new connections work once the
    fault has ended.
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
        stack.callback(self._abort_connections)
        stack.callback(server.close)

    def set_mode(self, mode: str) -> None:
        """Start a mode; ``reset`` also aborts all open connections.

        Parameters
        ----------
        mode : str
            One of ``PROXY_MODES``, or ``pass`` to forward without faults.
        """
        self._mode = mode
        if mode == "reset":
            self._abort_connections()

    def _abort_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._mode == "reset":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target[0], int(self._target[1])
            )
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer, "deaf"))
                group.create_task(self._forward(target_reader, writer, "mute"))
        except* (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers -= writers
            for each in writers:
                each.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_mode: str,
    ) -> None:
        """Forward the bytes of one direction.

        Parameters
        ----------
        drop_mode : str
            Mode in which only the bytes of this direction are dropped.
        """
        is_dropping = False
        while data := await reader.read(CHUNK_BYTES):
            if self._mode == "delay":
                await asyncio.sleep(DELAY_S)
            is_dropping = is_dropping or self._mode in ("silent", drop_mode)
            if not is_dropping and not writer.is_closing():
                writer.write(data)
                await writer.drain()
        while is_dropping:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if reader.at_eof() and self._mode == "pass":
                break
        if not writer.is_closing():
            writer.write_eof()
