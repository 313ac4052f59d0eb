"""Clients of a run, and their records of requests and answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from mesh_site import Message, MessageReader, make_headers, render_request
from soak.cluster import Cluster, Vm

DEADLINE_S = 2.0
MAX_RETRY_AFTER_S = 0.3
"""Longest time for which a client follows ``Retry-After``."""
PAUSE_S = 0.02
"""Mean time between an answer and the next request of a client."""
REQUEST_KINDS = (
    ("GET", "/shop/"),
    ("GET", "/books/"),
    ("GET", "/maps/"),
    ("POST", "/order/"),
)


@dataclass(slots=True)
class RequestRecord:
    """A request and its answer, as observed by the client."""

    id: str
    method: str
    path: str
    sent_at: float
    vm: int
    node_start: int
    """How often the node of this VM had been started when the request was sent;
    identifies its process."""
    answer: Message | None = None
    """None if the connection was closed first, or no answer arrived in time."""
    was_closed: bool = False
    has_stray_bytes: bool = False
    """Whether bytes that belong to no request arrived before it was sent."""


class Client:
    """Sends requests one after the other on a persistent connection.

    Parameters
    ----------
    id_prefix : str
        Prefix of the ids of its requests.
    """

    def __init__(self, id_prefix: str, vm: Vm, random_source: random.Random) -> None:
        self._id_prefix = id_prefix
        self._vm = vm
        self._random_source = random_source
        self._count = 0
        self._connection: tuple[MessageReader, asyncio.StreamWriter] | None = None
        self.records: list[RequestRecord] = []

    async def run(self, cluster: Cluster) -> None:
        """Send requests until cancelled."""
        while True:
            method, path = self._random_source.choice(REQUEST_KINDS)
            if self._random_source.random() < 0.2:
                method, path = "GET", f"/v{max(cluster.stored_at)}/"
            record = await self.send(method, path)
            pause_s = PAUSE_S
            if record.answer is not None and "retry-after" in record.answer.headers:
                pause_s = min(
                    MAX_RETRY_AFTER_S, float(record.answer.headers["retry-after"])
                )
            await asyncio.sleep(pause_s * self._random_source.uniform(0.5, 1.5))

    async def send(self, method: str, path: str) -> RequestRecord:
        """Send a request, wait for the answer, and return the record of both."""
        self._count += 1
        now = asyncio.get_running_loop().time()
        record = RequestRecord(
            f"{self._id_prefix}-{self._count}", method, path, now,
            self._vm.number, self._vm.starts,
        )  # fmt: skip
        self.records.append(record)
        try:
            async with asyncio.timeout(DEADLINE_S + 1.0):
                await self._exchange(record)
        except TimeoutError:
            self._disconnect()
        except OSError:
            record.was_closed = True
            self._disconnect()
        return record

    async def _exchange(self, record: RequestRecord) -> None:
        if self._connection is None:
            host, port = self._vm.client_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            self._connection = MessageReader(reader, False), writer
        messages, writer = self._connection
        record.has_stray_bytes = bool(messages._completed)
        headers = make_headers(record.id, int(DEADLINE_S * 1000))
        body = record.id.encode() if record.method == "POST" else b""
        writer.write(render_request(record.method, record.path + "x", headers, body))
        answer = await messages.read()
        if answer is None:
            record.was_closed = True
            self._disconnect()
            return
        record.answer = answer
        if answer.headers.get("connection") == "close":
            self._disconnect()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None
