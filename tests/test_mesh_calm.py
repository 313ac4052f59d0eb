"""Requests on kept connections are answered while nothing stops: no answer is lost."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from mesh_site import MessageReader, make_headers, render_request
from test_mesh_delivery import open_slowly, render_read
from test_mesh_process import NodeProcess, run_scenario

ROUTES = {
    "read": {"prefix": "/read/", "service": "books"},
    "buy": {"prefix": "/buy/", "service": "books", "kind": "unsafe"},
}


async def configure(process: NodeProcess, **limits: object) -> None:
    """Write a configuration with these limits, and wait until it is in force."""
    process.site.configure(ROUTES, **limits)
    async with asyncio.timeout(10):
        while await process.send_request("configured", "/buy/1") != 200:
            await asyncio.sleep(0.05)


IDLE_TIMEOUT_S = 2.0
READ_INTERVAL_S = 0.1
SIZE, BYTES_PER_S = 120_000, 30_000
"""Size of an answer, and how much of it a slow client reads in a second."""


class SlowStream:
    """A stream that is read at a limited rate."""

    def __init__(self, stream: asyncio.StreamReader, bytes_per_s: int) -> None:
        self._stream = stream
        self.part_bytes = round(bytes_per_s * READ_INTERVAL_S)

    async def read(self, size: int) -> bytes:
        await asyncio.sleep(READ_INTERVAL_S)
        return await self._stream.read(self.part_bytes)


SLOW_READERS = [
    # seconds after which the next request is sent: before the answer is read, and after
    2.7,
    4.5,
]


@pytest.mark.parametrize("next_after_s", SLOW_READERS)
def test_an_answer_that_is_read_for_longer_than_the_idle_timeout_is_not_cut(
    next_after_s: float, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await configure(process, idle_timeout_s=IDLE_TIMEOUT_S)
        process.backend.make_body = lambda request_id: b"y" * SIZE
        reader, writer = await open_slowly(process.fields["clients"])
        writer.write(render_read("r1"))
        loop = asyncio.get_running_loop()
        loop.call_later(next_after_s, writer.write, render_read("r2"))
        stream = SlowStream(reader, BYTES_PER_S)
        messages = MessageReader(stream, False)
        for _ in range(2):
            answer = await messages.read()
            assert (answer.status, len(answer.body)) == (200, SIZE)
            stream.part_bytes = SIZE
        writer.close()

    run_scenario(scenario, tmp_path)


FAILURES = [
    # action of the backend server, target, status
    ("answer", "/read/1", 200),
    ("fail", "/read/1", 500),
    ("silent", "/read/1", 504),
    ("garbage", "/buy/1", 502),
    ("answer", "/unknown/1", 404),
]


@pytest.mark.parametrize(("action", "target", "status"), FAILURES)
def test_the_answer_after_that_to_a_head_request_is_readable(
    action: str, target: str, status: int, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await configure(process)
        process.backend.script = [action]
        reader, writer = await open_slowly(process.fields["clients"])
        writer.write(render_request("HEAD", target, make_headers("r1", 500)))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 %d " % status)
        writer.write(render_read("r2"))
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"Cassiahatch-Request-Id: r2\r\n" in head
        writer.close()

    run_scenario(scenario, tmp_path)


def test_a_part_of_a_request_behind_a_whole_one_is_answered(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        await configure(process, header_timeout_s=1)
        reader, writer = await open_slowly(process.fields["clients"])
        writer.write(render_read("r1") + render_read("r2")[:-10])
        messages = MessageReader(reader, False)
        assert (await messages.read()).status == 200
        async with asyncio.timeout(3):
            assert (await messages.read()).status == 408
        writer.close()

    run_scenario(scenario, tmp_path)


def test_an_empty_line_after_a_body_is_not_answered(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        await configure(process, header_timeout_s=1)
        reader, writer = await open_slowly(process.fields["clients"])
        messages = MessageReader(reader, False)
        for request_id in ("r1", "r2"):
            headers = make_headers(request_id)
            writer.write(render_request("POST", "/read/1", headers, b"body"))
            answer = await messages.read()
            assert answer.headers.get("cassiahatch-request-id") == request_id
            writer.write(b"\r\n")
            await asyncio.sleep(1.8)
        writer.close()

    run_scenario(scenario, tmp_path)
