"""Answers that a node has written reach their clients and peers whole."""

from __future__ import annotations

import asyncio
import signal
import socket
from dataclasses import dataclass
from pathlib import Path

import pytest

from cassiahatch_kernel.exchanges import Call, Reply
from cassiahatch_node.mesh.frames import (
    LINK_VERSION,
    CallFrame,
    FrameDecoder,
    Hello,
    ResultFrame,
    encode_frame,
)
from mesh_site import MessageReader, make_headers, render_request
from test_mesh_process import NodeProcess, run_scenario

SEGMENT_BYTES = 1448
"""Segment size of an Ethernet link, in place of the 64 KB of loopback."""
WINDOW_BYTES = 8192
DEADLINE_MS = 5000
READ_AFTER_S = 4.3


def connect_slowly(address: str) -> socket.socket:
    """Return a connection over a link with small segments and a small window."""
    client = socket.socket()
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    host, port = address.split(":")
    client.connect((host, int(port)))
    client.setblocking(False)
    return client


async def open_slowly(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection(sock=connect_slowly(address), limit=1024)


async def exchange(process: NodeProcess, requests: bytes, pause_s: float) -> list:
    """Send requests, read nothing for a while, and return the complete answers."""
    reader, writer = await open_slowly(process.fields["clients"])
    writer.write(requests)
    await asyncio.sleep(pause_s)
    messages, answers = MessageReader(reader, False), []
    try:
        while (answer := await messages.read()) is not None:
            answers.append(answer)
    except ConnectionError:
        pass
    writer.close()
    return answers


def render_read(request_id: str) -> bytes:
    return render_request("GET", "/read/1", make_headers(request_id, DEADLINE_MS))


async def read_late(
    process: NodeProcess, size: int, after_s: float = 0.0, pause_s: float = READ_AFTER_S
) -> int:
    """Request an answer, read none of it for a while, and return its bytes of body."""
    await asyncio.sleep(after_s)
    client, loop = connect_slowly(process.fields["clients"]), asyncio.get_running_loop()
    await loop.sock_sendall(client, render_read(str(size)))
    await asyncio.sleep(pause_s)
    parts = []
    try:
        while data := await loop.sock_recv(client, 65_536):
            parts.append(data)
    except ConnectionError:
        pass
    client.close()
    return len(b"".join(parts).partition(b"\r\n\r\n")[2])


# Smaller ones lie wholly in the kernel; one that pauses the transport saves the others.
SIZES = [range(60_000, 127_000, 1_500), range(128_000, 400_000, 20_000)]


@pytest.mark.parametrize("sizes", SIZES, ids=str)
def test_answers_that_are_read_late_are_not_cut_by_a_stop(
    sizes: range, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await process.announce(slots=40, sequence=2)
        routes = {"read": {"prefix": "/read/", "service": "books", "timeout_s": 6}}
        process.site.configure(routes)
        await asyncio.sleep(1.0)
        process.backend.make_body = lambda request_id: b"y" * int(request_id)
        reading = [asyncio.create_task(read_late(process, size)) for size in sizes]
        await asyncio.sleep(0.5)
        process.child.send_signal(signal.SIGTERM)
        assert await asyncio.gather(*reading) == list(sizes)
        assert await process.child.wait() == 0
        assert not process.find_events("answer_undelivered")

    run_scenario(scenario, tmp_path)


# Such requests are taken, and answered before the process ends, but read only after that.
@pytest.mark.parametrize("size", [100_000, 125_000, 180_000])
def test_what_is_not_read_when_the_process_ends_is_sent_after_it(
    size: int, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.make_body = lambda request_id: b"y" * int(request_id)
        clients = [read_late(process, size, 1.4, 4.8) for _ in range(3)]
        reading = asyncio.gather(*clients)
        process.child.send_signal(signal.SIGTERM)
        assert await process.child.wait() == 0
        assert await reading == [size] * 3

    run_scenario(scenario, tmp_path)


PIPELINES = [
    # requests sent at once, seconds of work each, size of each answer, reading pause
    (4, 0.3, 10, 0.0),
    (4, 0.3, 30_000, 2.0),
    (16, 0.05, 10, 0.0),
]


@pytest.mark.parametrize(("count", "work_s", "size", "pause_s"), PIPELINES)
def test_pipelined_requests_are_all_answered_by_a_stopping_node(
    count: int, work_s: float, size: int, pause_s: float, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.work_s = work_s
        process.backend.make_body = lambda request_id: b"y" * size
        requests = b"".join(render_read(f"r{number}") for number in range(count))
        sending = asyncio.create_task(exchange(process, requests, pause_s))
        await asyncio.sleep(0.1)
        process.child.send_signal(signal.SIGTERM)
        answers = await sending
        assert [answer.status for answer in answers] == [200] * count
        closing = [answer.headers.get("connection") for answer in answers]
        assert closing == [None] * (count - 1) + ["close"]
        assert await process.child.wait() == 0

    run_scenario(scenario, tmp_path)


CALL_COUNT = 8
LATENCY_TARGET_MS = 1000.0


def make_call(number: int) -> Call:
    return Call(
        f"r{number}", "read", "GET", "h.example", "/read/1",
        f"Cassiahatch-Request-Id: r{number}\r\n".encode(), b"", "shop", "i-1",
        float(DEADLINE_MS), LATENCY_TARGET_MS, 1, 1.5, True, True,
    )  # fmt: skip


@pytest.mark.parametrize("size", [100, 20_000, 40_000, 60_000])
def test_results_that_a_peer_reads_late_are_not_cut_by_a_stop(
    size: int, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.make_body = lambda request_id: b"y" * size
        link, loop = connect_slowly(process.fields["peers"]), asyncio.get_running_loop()
        hello = encode_frame(Hello(LINK_VERSION, "n9", 0, 0))
        calls = [CallFrame(n, make_call(n)) for n in range(CALL_COUNT)]
        await loop.sock_sendall(link, hello + b"".join(map(encode_frame, calls)))
        await asyncio.sleep(0.5)
        process.child.send_signal(signal.SIGTERM)
        await asyncio.sleep(READ_AFTER_S - 0.5)
        # Resets the connection if the process has closed it.
        await loop.sock_sendall(link, hello)
        decoder, results = FrameDecoder(), []
        try:
            while data := await loop.sock_recv(link, 65_536):
                frames = decoder.feed(data, 0.0)
                results += [frame for frame in frames if isinstance(frame, ResultFrame)]
        except ConnectionError:
            pass
        assert sorted(result.number for result in results) == list(range(CALL_COUNT))
        assert all(isinstance(result.result, Reply) for result in results)
        assert all(len(result.result.body) == size for result in results)
        link.close()
        assert await process.child.wait() == 0

    run_scenario(scenario, tmp_path)


@dataclass(frozen=True)
class Upload:
    """A body of a rejected request, which its client sends in parts before it reads."""

    part_bytes: int
    parts: int
    pause_s: float


UPLOADS = [Upload(100_000, 30, 0.1), Upload(1_000_000, 3, 0.0), Upload(200_000, 6, 1.3)]


@pytest.mark.parametrize("upload", UPLOADS, ids=str)
def test_a_rejection_reaches_a_client_that_sends_its_whole_body_first(
    upload: Upload, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        reader, writer = await open_slowly(process.fields["clients"])
        headers = make_headers("r1", 20_000)
        headers["Content-Length"] = str(upload.part_bytes * upload.parts)
        writer.write(render_request("PUT", "/read/1", headers))
        # The window is small, so that the answer is on its way until it is read.
        for _ in range(upload.parts):
            await asyncio.sleep(upload.pause_s)
            writer.write(b"y" * upload.part_bytes)
            await writer.drain()
        answer = await MessageReader(reader, False).read()
        assert answer.status == 413
        writer.close()

    run_scenario(scenario, tmp_path)


IDLE_TIMEOUT_S = 2
IDLE_READ_BYTES = 120_000


def test_a_connection_is_not_idle_while_its_client_reads(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        routes = {"read": {"prefix": "/read/", "service": "books"}}
        process.site.configure(routes, idle_timeout_s=IDLE_TIMEOUT_S)
        process.backend.make_body = lambda request_id: b"y" * IDLE_READ_BYTES
        client = connect_slowly(process.fields["clients"])
        loop, received = asyncio.get_running_loop(), b""
        await loop.sock_sendall(client, render_read("r1"))
        for _ in range(20):
            await asyncio.sleep(IDLE_TIMEOUT_S / 10)
            received += await loop.sock_recv(client, 3_000)
        # A request that a closed connection gets resets it.
        await loop.sock_sendall(client, render_read("r2"))
        try:
            while received.count(b"y") < 2 * IDLE_READ_BYTES:
                data = await loop.sock_recv(client, 65_536)
                if not data:
                    break
                received += data
        except ConnectionError:
            pass
        assert received.count(b"y") == 2 * IDLE_READ_BYTES
        client.close()

    run_scenario(scenario, tmp_path)
