"""The reader of requests holds no more than its limits allow, whatever it is fed."""

from __future__ import annotations

import asyncio
import tracemalloc
from collections import deque
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahatch_kernel.exchanges import Reason
from cassiahatch_kernel.routes import Limits
from cassiahatch_node.mesh.body_memory import BodyMemory
from cassiahatch_node.mesh.request_reader import RequestReader

LIMITS = Limits(max_header_bytes=2048, max_body_bytes=800_000)
MAX_FRAMING_BYTES = 4096
SEGMENT_BYTES = 262_144
"""Most bytes that the event loop reads from a connection at once."""
MAX_HELD_BYTES = 1_100_000
"""Bound on the memory of a reader: a longest body, which grows by an eighth at a time."""
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BODY = CHUNKED + b"2\r\nzz\r\n"


class FakeServer:
    """Provides the limits of a server without connections."""

    max_framing_bytes = MAX_FRAMING_BYTES

    def __init__(self) -> None:
        self.handler = self
        self.body_memory = BodyMemory(1_000_000)
        self.waiting_for_memory = deque()

    def limits(self) -> Limits:
        return LIMITS

    def check(self, request: object) -> None:
        """Admit each request."""


def make_reader() -> RequestReader:
    return RequestReader(FakeServer(), lambda: None, lambda: None)


def measure_held_bytes(reader: RequestReader, segments: list[bytes]) -> int:
    """Feed the segments until one fails, and return the memory that is held then."""
    tracemalloc.start()
    try:
        for segment in segments:
            if reader.failure is not None:
                break
            reader.feed(segment, 1.0)
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def split(data: bytes, size: int = SEGMENT_BYTES) -> list[bytes]:
    return [data[begin : begin + size] for begin in range(0, len(data), size)]


LONG = [
    # what is read, reason why it is not read on
    pytest.param(HEAD + b"a:\r\n" * 60_000, Reason.HEADERS_TOO_LARGE, id="fields"),
    pytest.param(BODY + b"0\r\n" + b"a:\r\n" * 60_000, Reason.HEADERS_TOO_LARGE,
                 id="trailers"),
    pytest.param(BODY + b"0\r\nX-T: " + b"t" * 800_000, Reason.HEADERS_TOO_LARGE,
                 id="trailer"),
    pytest.param(BODY + b"1;x=" + b"y" * 800_000, Reason.HEADERS_TOO_LARGE,
                 id="extension"),
    pytest.param(BODY + (b"1;x=" + b"y" * 99 + b"\r\nz\r\n") * 9000,
                 Reason.HEADERS_TOO_LARGE, id="extensions"),
    pytest.param(CHUNKED + b"2\r\nzz\r\n" * 399_000, None, id="chunks of two bytes"),
    pytest.param(CHUNKED + b"1\r\nz\r\n" * 799_000, None, id="chunks of one byte"),
    pytest.param(CHUNKED + b"2\r\nzz\r\n" * 401_000, Reason.BODY_TOO_LARGE, id="body"),
]  # fmt: skip


# Guards against memory that many short parts of a request take beyond their size.
@pytest.mark.parametrize(("data", "reason"), LONG)
def test_a_long_request_takes_no_more_memory_than_its_limits(
    data: bytes, reason: Reason | None
) -> None:
    reader = make_reader()
    held_bytes = measure_held_bytes(reader, split(data))
    assert held_bytes < MAX_HELD_BYTES
    assert (reader.failure and reader.failure.reason) == reason
    assert not reader.requests


# Guards against fields that a closed connection keeps until the garbage collector runs.
def test_a_reader_that_has_released_its_memory_holds_no_fields() -> None:
    reader = make_reader()
    reader.feed(HEAD + b"a:\r\n" * 500, 1.0)
    reader.release_memory()
    assert reader._parser is None
    assert not reader._headers


PIECES = [
    HEAD, CHUNKED, BODY, b"0\r\n", b"\r\n", b"X-T: t\r\n", b"a:\r\n", b"X-T: ", b"t" * 99,
    b"1;x=y\r\nz\r\n", b"1;x=", b"2\r\nzz\r\n", b"Upgrade: x\r\nConnection: upgrade\r\n",
    b"Content-Length: 9\r\n\r\n", b"GET /t HTTP/1.1\r\nHost: h\r\n\r\n", b"\0", b"ffffffff\r\n",
]  # fmt: skip
REPEATED = st.tuples(st.sampled_from(PIECES), st.sampled_from([1, 1, 1, 2, 40, 3000]))


# Guards against combinations that the tables lack, in any segments.
@given(
    pieces=st.lists(REPEATED, max_size=12),
    cuts=st.lists(st.integers(0, 300_000), max_size=6),
)
@settings(max_examples=300, deadline=None, derandomize=True, database=None)
def test_a_reader_holds_no_more_than_its_limits_whatever_it_is_fed(
    pieces: list[tuple[bytes, int]], cuts: list[int]
) -> None:
    async def run() -> None:
        data = BODY + b"".join(piece * count for piece, count in pieces)
        ends = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
        reader = make_reader()
        for begin, end in pairwise(ends):
            for segment in split(data[begin:end]):
                if reader.failure is None and not reader.is_full:
                    reader.feed(segment, 1.0)
        fields_bytes = len(reader._headers) * 4
        assert fields_bytes <= LIMITS.max_header_bytes
        assert len(reader._body) <= LIMITS.max_body_bytes
        assert (
            not reader.is_in_body
            or reader.failure
            or (reader._framed_size <= MAX_FRAMING_BYTES + 9 * reader._body_size)
        )
        for request, space in reader.requests:
            assert sum(len(n) + len(v) + 4 for n, v in request.headers) <= 2048
            assert len(request.body) <= (space.size if space else 0)
        reader.stop_waiting_for_memory()
        reader.release_memory()
        assert reader._server.body_memory.held_bytes == 0

    asyncio.run(run())
