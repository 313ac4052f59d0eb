"""Clients of a run, and their records of requests and answers."""

from __future__ import annotations

import asyncio
import random
import socket
from dataclasses import dataclass, field

from mesh_site import Message, MessageReader, make_headers, render_request
from soak.backend import render_order
from soak.client_kinds import (
    VARIED_DEADLINE_S,
    ClientKind,
    HalfClose,
    Pipeline,
    ReadLate,
    ReuseIdle,
    SafePipeline,
    SplitBody,
    Steady,
    draw_kind,
)
from soak.cluster import Cluster, Vm

DEADLINE_S = 2.0
MAX_RETRY_AFTER_S = 0.3
"""Longest time for which a client follows ``Retry-After``."""
LEAVE_S = 3.0
"""Time for which some clients do not use a node that has closed a connection."""
REQUEST_KINDS = (
    ("GET", "/shop/"),
    ("GET", "/books/"),
    ("GET", "/maps/"),
    ("POST", "/order/"),
)
VARIED_REQUEST_KINDS = (("GET", "/read/"), ("POST", "/write/"))
MAX_WORK_S = 0.3
"""Longest work of a backend server on a request of ``VARIED_REQUEST_KINDS``."""
SEGMENT_BYTES = 1448
WINDOW_BYTES = 8192
"""Segment size and receive buffer of a client that reads late."""
CHECK_INTERVAL_S = 0.02
STEADY = Steady()


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
    deadline_s: float = DEADLINE_S
    answer: Message | None = field(default=None, repr=False)
    """None if the connection was closed first, or no answer arrived in time."""
    was_closed: bool = False
    has_stray_bytes: bool = False
    """Whether bytes that belong to no request arrived before it was sent."""
    is_on_kept_connection: bool = False
    """Whether an earlier request was answered on the same connection."""
    last_sent_at: float | None = None
    """Time at which its last byte was sent; None if it was not sent whole."""
    ended_at: float | None = None
    """Time at which its answer was complete, or its connection was closed."""
    has_left: bool = False
    """Whether the client has closed its sending half, and is owed no answer."""
    pipelined_ids: tuple[str, ...] = ()
    """Ids of the requests sent with it at once, in order, with its own."""


@dataclass(slots=True)
class Connection:
    """An open connection of a client."""

    socket: socket.socket
    stream: asyncio.StreamReader
    messages: MessageReader
    writer: asyncio.StreamWriter
    answer_count: int = 0


class Client:
    """Sends requests one after the other on a persistent connection.

    Parameters
    ----------
    id_prefix : str
        Prefix of the ids of its requests.
    pause_s : float
        Mean time between an answer and its next request.
    answer_sizes : tuple of int, optional
        One of ``ANSWER_SIZES`` for a client that draws the kind of each exchange; all
        others are ``Steady``.
    leaves : bool
        Whether it leaves a node that closes its connection, as one that stops does.
    """

    def __init__(
        self,
        id_prefix: str,
        vm: Vm,
        random_source: random.Random,
        pause_s: float = 0.0,
        answer_sizes: tuple[int, int] | None = None,
        leaves: bool = False,
    ) -> None:
        self._id_prefix = id_prefix
        self._vm = vm
        self._random_source = random_source
        self._pause_s = pause_s
        self._answer_sizes = answer_sizes
        self._leaves = leaves
        self._count = 0
        self._connection: Connection | None = None
        self.records: list[RequestRecord] = []

    async def run(self, cluster: Cluster) -> None:
        """Send requests until cancelled."""
        while True:
            if self._answer_sizes is not None:
                record = await self._send_varied(self._answer_sizes)
            else:
                record = await self._send_steady(cluster)
            pause_s = self._pause_s
            if record.answer is not None and "retry-after" in record.answer.headers:
                pause_s = min(
                    MAX_RETRY_AFTER_S, float(record.answer.headers["retry-after"])
                )
            if self._leaves and self._connection is None and record.answer is not None:
                pause_s = LEAVE_S
            await asyncio.sleep(pause_s * self._random_source.uniform(0.5, 1.5))

    async def _send_steady(self, cluster: Cluster) -> RequestRecord:
        method, path = self._random_source.choice(REQUEST_KINDS)
        if self._random_source.random() < 0.2:
            method, path = "GET", f"/v{max(cluster.stored_at)}/"
        return await self.send(method, path)

    async def _send_varied(self, answer_sizes: tuple[int, int]) -> RequestRecord:
        kind = draw_kind(self._random_source, answer_sizes)
        method, path = self._random_source.choice(VARIED_REQUEST_KINDS)
        work_s, answer_bytes = self._random_source.uniform(0.0, MAX_WORK_S), 0
        match kind:
            case ReadLate(answer_bytes=answer_bytes):
                self._disconnect()
            case SplitBody():
                method, path = VARIED_REQUEST_KINDS[1]
            case SafePipeline():
                method, path = VARIED_REQUEST_KINDS[0]
            case ReuseIdle(wait_s=wait_s) if self._connection is not None:
                await asyncio.sleep(wait_s)
        order = render_order(answer_bytes, work_s)
        return await self.send(method, path, kind, order, VARIED_DEADLINE_S)

    async def send(
        self,
        method: str,
        path: str,
        kind: ClientKind = STEADY,
        order: str = "",
        deadline_s: float = DEADLINE_S,
    ) -> RequestRecord:
        """Send requests, wait for the answers, and return the last one's record.

        Parameters
        ----------
        order : str
            What the backend server does, as ``render_order`` returns it; not for a
            ``SafePipeline``, which has an order for each request.
        """
        match kind:
            case Pipeline(count=count):
                orders = [order] * count
            case SafePipeline(work_s=works):
                orders = [render_order(0, work_s) for work_s in works]
            case _:
                orders = [order]
        records = [
            self._make_record(method, path, order, deadline_s) for order in orders
        ]
        pipelined_ids = tuple(record.id for record in records)
        for record in records:
            record.pipelined_ids = pipelined_ids
        self.records += records
        try:
            async with asyncio.timeout(deadline_s + 1.0):
                await self._exchange(kind, records)
        except TimeoutError:
            self._disconnect()
        except OSError:
            for record in records:
                if record.answer is None:
                    record.was_closed, record.ended_at = True, self._read_clock()
            self._disconnect()
        return records[-1]

    def _make_record(
        self, method: str, path: str, order: str, deadline_s: float
    ) -> RequestRecord:
        self._count += 1
        return RequestRecord(
            f"{self._id_prefix}-{self._count}{order}", method, path, self._read_clock(),
            self._vm.number, self._vm.starts, deadline_s,
        )  # fmt: skip

    async def _exchange(self, kind: ClientKind, records: list[RequestRecord]) -> None:
        connection = await self._connect(kind)
        for record in records:
            record.has_stray_bytes = bool(connection.messages._completed)
            record.is_on_kept_connection = connection.answer_count > 0
            record.has_left = isinstance(kind, HalfClose)
        await self._write(kind, connection.writer, records)
        if isinstance(kind, ReadLate):
            await _wait_unless_closed(connection.socket, kind.wait_s)
            connection.writer.transport.resume_reading()
        for record in records:
            answer = await connection.messages.read()
            if answer is None:
                raise ConnectionResetError("closed without a complete answer")
            record.answer, record.ended_at = answer, self._read_clock()
            connection.answer_count += 1
        if answer.headers.get("connection") == "close" or record.has_left:
            self._disconnect()

    async def _connect(self, kind: ClientKind) -> Connection:
        if self._connection is not None and self._connection.stream.at_eof():
            self._disconnect()
        if self._connection is None:
            host, port = self._vm.client_address.split(":")
            client = socket.socket()
            if isinstance(kind, ReadLate):
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            client.setblocking(False)
            try:
                loop = asyncio.get_running_loop()
                await loop.sock_connect(client, (host, int(port)))
            except BaseException:
                client.close()
                raise
            stream, writer = await asyncio.open_connection(sock=client)
            messages = MessageReader(stream, False)
            self._connection = Connection(client, stream, messages, writer)
            if isinstance(kind, ReadLate):
                writer.transport.pause_reading()
        return self._connection

    async def _write(
        self,
        kind: ClientKind,
        writer: asyncio.StreamWriter,
        records: list[RequestRecord],
    ) -> None:
        data = b"".join(map(_render, records))
        match kind:
            case SplitBody(wait_s=wait_s):
                half = len(data) - len(records[-1].id) // 2
                writer.write(data[:half])
                await asyncio.sleep(wait_s)
                if writer.transport.is_closing():
                    raise ConnectionResetError("closed before the last part was sent")
                writer.write(data[half:])
            case HalfClose():
                writer.write(data)
                writer.write_eof()
            case _:
                writer.write(data)
        for record in records:
            record.last_sent_at = self._read_clock()

    def _read_clock(self) -> float:
        return asyncio.get_running_loop().time()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.writer.transport.abort()
            self._connection = None


def _render(record: RequestRecord) -> bytes:
    headers = make_headers(record.id, int(record.deadline_s * 1000))
    body = record.id.encode() if record.method == "POST" else b""
    return render_request(record.method, record.path + "x", headers, body)


async def _wait_unless_closed(client: socket.socket, wait_s: float) -> None:
    """Wait without reading, or until the connection is closed and nothing arrived."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + wait_s
    while loop.time() < ends_at:
        try:
            if not client.recv(1, socket.MSG_PEEK):
                return
        except BlockingIOError:
            pass
        except ConnectionError:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)
