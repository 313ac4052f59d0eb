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
PART_INTERVAL_S = 0.2
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


BODY_PART = b"z" * 100_000
UNREAD_BYTES = [
    # parts that follow a request, whether that is the last one, statuses
    pytest.param([render_read("r2")] * 3, True, [200], id="requests"),
    pytest.param([b"\0garbage\r\n\r\n"] * 8, False, [200, 400], id="garbage"),
    pytest.param(
        [render_request("PUT", "/read/1", {"Content-Length": "1100000"})]
        + [BODY_PART] * 11,
        False,
        [200, 413],
        id="body too large",
    ),
    pytest.param(
        [
            render_request(
                "PUT", "/away/1", make_headers("r2") | {"Content-Length": "900000"}
            )
        ]
        + [BODY_PART] * 9,
        False,
        [200, 404],
        id="no route",
    ),
    pytest.param(
        [b"GET / HTTP/1.1\r\n"] + [b"X-More: more\r\n" * 1_000] * 8,
        False,
        [200, 431],
        id="head too large",
    ),
]


@pytest.mark.parametrize(("parts", "closes", "statuses"), UNREAD_BYTES)
def test_bytes_behind_a_request_do_not_reset_its_answer(
    parts: list[bytes], closes: bool, statuses: list[int], tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await configure(process)
        process.backend.make_body = lambda request_id: b"y" * SIZE
        reader, writer = await open_slowly(process.fields["clients"])
        headers = make_headers("r1", 5000) | ({"Connection": "close"} if closes else {})
        writer.write(render_request("GET", "/read/1", headers))

        async def send_parts() -> None:
            for part in parts:
                await asyncio.sleep(PART_INTERVAL_S)
                writer.write(part)

        sending = asyncio.create_task(send_parts())
        messages = MessageReader(SlowStream(reader, 2 * BYTES_PER_S), False)
        answers = [await messages.read() for _ in statuses]
        assert [answer.status for answer in answers] == statuses
        assert len(answers[0].body) == SIZE
        assert await messages.read() is None
        sending.cancel()
        writer.close()

    run_scenario(scenario, tmp_path)


HALF_CLOSES = [
    # seconds from the request until the client shuts its sending half, whether it runs
    # then, size of the answer, whether that arrives
    pytest.param(0.0, 1.0, 10, False, id="at once"),
    pytest.param(0.3, 1.0, 10, False, id="during the run"),
    pytest.param(0.6, 0.1, 500_000, True, id="after the answer"),
]


@pytest.mark.parametrize(("after_s", "work_s", "size", "arrives"), HALF_CLOSES)
def test_a_client_that_stops_sending_counts_as_gone_unless_it_has_its_answer(
    after_s: float, work_s: float, size: int, arrives: bool, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await configure(process)
        process.backend.work_s = work_s
        process.backend.make_body = lambda request_id: b"y" * size
        others = [
            asyncio.create_task(process.send_request(f"o{number}"))
            for number in range(3)
        ]
        reader, writer = await open_slowly(process.fields["clients"])
        writer.write(render_read("r1"))
        await asyncio.sleep(after_s)
        writer.write_eof()
        answer = await MessageReader(reader, False).read()
        assert (answer is not None and len(answer.body) == size) is arrives
        assert set(await asyncio.gather(*others)) == {200}
        await asyncio.sleep(1.2 * work_s)
        runs = [
            arrival
            for arrival in process.backend.arrivals
            if arrival.message.headers["cassiahatch-request-id"] == "r1"
        ]
        assert all(run.was_cancelled is not arrives for run in runs)
        writer.close()

    run_scenario(scenario, tmp_path)


REUSE_SHARE, REUSES, CLIENTS = 0.8, 3, 30
"""Clients reuse connections that were idle for up to four fifths of the idle timeout."""


def test_connections_are_reused_until_four_fifths_of_the_idle_timeout(
    tmp_path: Path,
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await configure(process, idle_timeout_s=IDLE_TIMEOUT_S)
        await process.announce(slots=CLIENTS, sequence=2)

        async def reuse(name: str) -> list[int]:
            reader, writer = await open_slowly(process.fields["clients"])
            messages, statuses = MessageReader(reader, False), []
            for _ in range(REUSES):
                writer.write(render_read(name))
                statuses.append((await messages.read()).status)
                await asyncio.sleep(REUSE_SHARE * IDLE_TIMEOUT_S)
            writer.close()
            return statuses

        received = await asyncio.gather(*(reuse(f"c{n}") for n in range(CLIENTS)))
        assert received == [[200] * REUSES] * CLIENTS

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
