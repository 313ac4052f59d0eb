"""Clients of a run, and what they saw."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from mesh_site import Message, MessageReader, make_headers, render_request
from soak.world import Vm, World

DEADLINE_S = 2.0
MAX_PAUSE_S = 0.3
GAP_S = 0.02
"""Time between two requests of a client."""
KINDS = (("GET", "/shop/"), ("GET", "/books/"), ("GET", "/maps/"), ("POST", "/order/"))


@dataclass(slots=True)
class Seen:
    """One request as its client saw it."""

    id: str
    method: str
    path: str
    sent_at: float
    vm: int
    start: int
    """Which process of the node was running when it was sent."""
    answer: Message | None = None
    """None if the connection ended first, or no answer came in time."""
    was_closed: bool = False
    is_extra: bool = False
    """Bytes came after the answer that belong to no request."""


class Client:
    """Sends one request after the other on connections that it keeps.

    Parameters
    ----------
    name : str
        Start of the ids of its requests.
    """

    def __init__(self, name: str, vm: Vm, source: random.Random) -> None:
        self._name = name
        self._vm = vm
        self._random = source
        self._count = 0
        self._streams: tuple[MessageReader, asyncio.StreamWriter] | None = None
        self.seen: list[Seen] = []

    async def run(self, world: World) -> None:
        """Send requests, for ever."""
        while True:
            method, path = self._random.choice(KINDS)
            if self._random.random() < 0.2:
                method, path = "GET", f"/v{max(world.stored_at)}/"
            seen = await self.ask(method, path)
            pause_s = GAP_S
            if seen.answer is not None and "retry-after" in seen.answer.headers:
                pause_s = min(MAX_PAUSE_S, float(seen.answer.headers["retry-after"]))
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.5))

    async def ask(self, method: str, path: str) -> Seen:
        """Send a request, and return what came of it."""
        self._count += 1
        now = asyncio.get_running_loop().time()
        seen = Seen(
            f"{self._name}-{self._count}", method, path, now,
            self._vm.number, self._vm.starts,
        )  # fmt: skip
        self.seen.append(seen)
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                await self._exchange(seen)
        except TimeoutError:
            self._drop()
        except OSError:
            seen.was_closed = True
            self._drop()
        return seen

    async def _exchange(self, seen: Seen) -> None:
        if self._streams is None:
            host, port = self._vm.clients.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            self._streams = MessageReader(reader, False), writer
        messages, writer = self._streams
        seen.is_extra = bool(messages._completed)
        headers = make_headers(seen.id, int(DEADLINE_S * 1000))
        body = seen.id.encode() if seen.method == "POST" else b""
        writer.write(render_request(seen.method, seen.path + "x", headers, body))
        answer = await messages.read()
        if answer is None:
            seen.was_closed = True
            self._drop()
            return
        seen.answer = answer
        if answer.headers.get("connection") == "close":
            self._drop()

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
