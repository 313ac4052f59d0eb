"""An answer that ends early is never taken as whole, wherever it is cut."""

from __future__ import annotations

import asyncio

import pytest
from tornado.httputil import HTTPHeaders

from cassiahatch_kernel.calls import Call
from cassiahatch_kernel.outcomes import Answer
from cassiahatch_node.backend.client import BackendClient
from cassiahatch_node.mesh.backend_connection import BackendConnection
from cassiahatch_node.mesh.http_messages import RawResponse
from cassiahatch_node.mesh.response_limits import ResponseLimits
from mesh_site import HOST

HEAD = (
    b"Cassiahatch-Request-Id: r1\r\nCassiahatch-Server-Stamp: s\r\n"
    b"Content-Type: text/plain\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\n" + HEAD + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SIZED = OK + HEAD + b"Content-Length: 12\r\n\r\nhello, world"
CHUNKS = CHUNKED + b"00c\r\nhello, world\r\n0\r\n\r\n"
ANSWERS = {
    "a length": SIZED,
    "chunks": CHUNKS,
    "a trailer": CHUNKED + b"c\r\nhello, world\r\n0\r\nMore: 1\r\n\r\n",
    "100 before it": CONTINUE + SIZED,
    "103 before it": HINTS + SIZED,
    "two before it": CONTINUE + HINTS + CHUNKS,
    "a length of 0": OK + HEAD + b"Content-Length: 0\r\n\r\n",
    "no body by its status": b"HTTP/1.1 204 No Content\r\n" + HEAD + b"\r\n",
}


class NullTransport:
    """A transport that sends nothing."""

    def write(self, data: bytes) -> None:
        """Drop the data."""

    def abort(self) -> None:
        """Do nothing."""


async def read_cut(data: bytes, expects_no_body: bool = False) -> RawResponse | None:
    """Return what a connection makes of an answer that ends after ``data``."""
    connection = BackendConnection(ResponseLimits(65_536, 65_536, 65_536))
    connection.connection_made(NullTransport())
    connection.send(b"", expects_no_body)
    reading = asyncio.create_task(connection.read())
    await asyncio.sleep(0)
    connection.handle_data(data)
    if not connection.is_closed:
        connection.eof_received()
    connection.connection_lost(None)
    return await reading


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_an_answer_that_is_cut_anywhere_is_not_complete(answer: bytes) -> None:
    async def run() -> None:
        for length in range(1, len(answer)):
            assert await read_cut(answer[:length]) is None, answer[:length]
        whole = await read_cut(answer)
        assert whole is not None and whole.status in (200, 204)
        expected = b"hello, world" if b"hello" in answer else b""
        assert whole.body == expected
        assert b"More" not in dict(whole.headers), "a trailer is no header field"

    asyncio.run(run())


AMBIGUOUS = {
    "two lengths": OK + HEAD + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello",
    "a list of lengths": OK + HEAD + b"Content-Length: 5, 9\r\n\r\nhello",
    "a length and chunks": OK
    + HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    "a negative length": OK + HEAD + b"Content-Length: -1\r\n\r\nhello",
    "a broken chunk size": CHUNKED + b"zz\r\nhello\r\n0\r\n\r\n",
    "a chunk that is too long": CHUNKED + b"3\r\nhello\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("answer", AMBIGUOUS.values(), ids=AMBIGUOUS)
def test_an_answer_with_an_ambiguous_length_is_not_complete(answer: bytes) -> None:
    assert asyncio.run(read_cut(answer)) is None


def test_a_head_that_is_cut_is_not_complete_for_a_request_without_a_body() -> None:
    async def run() -> None:
        head = SIZED.partition(b"hello")[0]
        for length in range(1, len(head)):
            assert await read_cut(head[:length], True) is None
        assert await read_cut(head, True) is not None

    asyncio.run(run())


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_the_first_data_path_takes_no_cut_answer_as_whole(answer: bytes) -> None:
    async def run() -> None:
        lengths = iter(range(1, len(answer)))

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer[: next(lengths)])
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        client = BackendClient(4, 65_536)
        call = Call("books", "GET", "/read/1")
        for length in range(1, len(answer)):
            outcome, _ = await client.send(port, call, HTTPHeaders(), 2.0)
            assert not isinstance(outcome, Answer), answer[:length]
        client.close()
        server.close()

    asyncio.run(run())
