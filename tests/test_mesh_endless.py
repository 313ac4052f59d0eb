"""Endless answers of the servers that a node calls: backend, store and peers."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from cassiahatch_kernel.exchanges import Call, Indeterminate, Reason, Result
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_node.mesh import frames
from cassiahatch_node.mesh.backend_connection import BackendConnection
from cassiahatch_node.mesh.frames import FrameDecoder, encode_frame
from cassiahatch_node.mesh.member_records import encode_member
from cassiahatch_node.mesh.response_limits import ResponseLimits
from cassiahatch_node.mesh.settings import AnswerSection
from cassiahatch_platform.store import MAX_RESPONSE_BYTES
from endless_answers import ENDLESS_ANSWERS
from mesh_site import HOST, Site, make_headers, reserve_port, send
from test_mesh import ROUTES, run_scenario

LIMITS = AnswerSection(
    max_head_bytes=16_384,
    max_body_bytes=524_288,
    max_total_bytes=786_432,
    max_backend_bytes=786_432,
)
SOCKET_BYTES = 8_388_608
"""Largest number of bytes that the kernel buffers for a loopback connection."""
TIMEOUT_S = 1.5
SLOW_ANSWERS = ("drip_head", "drip_body")
"""Answers that stay within the size limits, and are aborted at the deadline."""


async def build_limited_site(site: Site) -> None:
    site.answers = LIMITS
    route = ROUTES["read"] | {"timeout_s": TIMEOUT_S}
    site.configure(ROUTES | {"read": route})
    for service in ("shop", "books", "books"):
        await site.add_host(service)
    await site.wait_for_convergence()


async def wait_until_idle(site: Site) -> None:
    """Wait until no node has a running call."""
    async with asyncio.timeout(3):
        while any(host.sidecar.ingress.running for host in site.hosts):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("action", ENDLESS_ANSWERS)
def test_an_endless_answer_affects_only_its_own_request(action: str) -> None:
    async def scenario(site: Site) -> None:
        await build_limited_site(site)
        for host in site.hosts[1:]:
            host.backend.script = [action]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        address = site.hosts[0].client_address
        first = await send(address, "GET", "/read/1", make_headers("r1"))
        spent_s = loop.time() - started_at
        await wait_until_idle(site)
        if action == "endless_after":
            assert first.status == 200
        elif action in SLOW_ANSWERS:
            assert first.status == 504
            assert spent_s < TIMEOUT_S + 0.3
        else:
            assert first.status == 502, "the answers of both servers were endless"
            assert spent_s < TIMEOUT_S
        arrivals = [a for host in site.hosts for a in host.backend.arrivals]
        max_sent_bytes = (
            LIMITS.max_head_bytes + 9 * LIMITS.max_body_bytes + SOCKET_BYTES
        )
        assert all(arrival.sent_bytes <= max_sent_bytes for arrival in arrivals)
        for host in site.hosts[1:]:
            host.backend.script = []
        second = await send(address, "GET", "/read/2", make_headers("r2"))
        assert second.body in (b"i-2:r2", b"i-3:r2")

    run_scenario(scenario)


def test_the_total_size_of_buffered_answers_is_limited() -> None:
    async def scenario(site: Site) -> None:
        await build_limited_site(site)
        for host in site.hosts[1:]:
            host.backend.script = ["endless_body"] * 20
        address = site.hosts[0].client_address
        buffered_bytes = []

        async def sample_buffers() -> None:
            while True:
                for host in site.hosts[1:]:
                    buffered_bytes.append(host.sidecar.response_limits.buffered_bytes)
                await asyncio.sleep(0)

        sampling = asyncio.create_task(sample_buffers())
        await asyncio.gather(
            *(
                send(address, "GET", "/read/1", make_headers(f"r{number}"))
                for number in range(12)
            )
        )
        sampling.cancel()
        await wait_until_idle(site)
        # Each connection may add the data of one read before it is closed.
        assert max(buffered_bytes) <= LIMITS.max_total_bytes + 4 * 262_144
        assert all(
            host.sidecar.response_limits.buffered_bytes == 0 for host in site.hosts
        )

    run_scenario(scenario)


def test_complete_answers_release_their_buffer_space() -> None:
    size = LIMITS.max_total_bytes // 3

    async def scenario(site: Site) -> None:
        await build_limited_site(site)
        address = site.hosts[0].client_address
        body = b"y" * size

        async def request_status(request_id: str) -> int:
            answer = await send(
                address, "GET", "/read/1", make_headers(request_id), body
            )
            return answer.status

        for host in site.hosts[1:]:
            host.backend.work_s = 0.05
        for turn in range(3):
            request_ids = [f"r{turn}-{number}" for number in range(4)]
            assert await asyncio.gather(*map(request_status, request_ids)) == [200] * 4
            buffered_bytes = [
                host.sidecar.response_limits.buffered_bytes for host in site.hosts
            ]
            assert buffered_bytes == [0] * 3, "idle connections buffer nothing"

    run_scenario(scenario)


@pytest.mark.parametrize("part", ["body", "chunks", "fields", "trailers"])
def test_an_endless_answer_of_the_store_raises_store_unavailable(
    part: str,
) -> None:
    async def scenario(site: Site) -> None:
        await build_limited_site(site)
        site.store.endless_part = part
        read = site.hosts[0].sidecar._store.read_table("members")
        with pytest.raises(Exception, match="(?i)exceed|large|size|many") as caught:
            await read
        assert type(caught.value).__name__ == "StoreUnavailableError"
        assert site.store.max_sent_bytes <= MAX_RESPONSE_BYTES + SOCKET_BYTES
        site.store.endless_part = ""
        answer = await send(
            site.hosts[0].client_address, "GET", "/read/1", make_headers("r1")
        )
        assert answer.status == 200

    run_scenario(scenario)


def test_a_run_that_no_caller_cancels_ends_after_its_deadline() -> None:
    async def scenario(site: Site) -> None:
        await build_limited_site(site)
        host = site.hosts[1]
        host.backend.script = ["silent"]
        result: asyncio.Future[Result] = asyncio.Future()
        head = b"Cassiahatch-Request-Id: r1\r\n"
        call = Call(
            "r1", "read", "GET", "h.example", "/read/1", head, b"", "shop",
            host.backend.instance, 200.0, 200.0, 1, 1.0, True, True, 200.0,
        )  # fmt: skip
        ingress = host.sidecar.ingress
        ingress.accept(ingress.make_job(call, result.set_result))
        async with asyncio.timeout(1):
            assert await result == Indeterminate(Reason.DEADLINE)
        await wait_until_idle(site)

    run_scenario(scenario)


UNFINISHED_FRAME = (1_000_000).to_bytes(4, "big")
"""Length prefix of a frame whose bytes then arrive one by one."""
FRAME_TIMEOUT_S = 0.5


async def send_slowly(reader, writer) -> bool:
    """Send a frame byte by byte, and tell whether the node closed the connection."""
    writer.write(UNFINISHED_FRAME)
    ends_at = asyncio.get_running_loop().time() + 3
    while asyncio.get_running_loop().time() < ends_at:
        writer.write(b"x")
        await asyncio.sleep(0.05)
        if reader.at_eof() or writer.is_closing():
            return True
    return False


@pytest.mark.parametrize("role", ["serving", "calling"])
def test_an_unfinished_frame_closes_the_link(
    role: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frames, "FRAME_TIMEOUT_S", FRAME_TIMEOUT_S)

    async def scenario(site: Site) -> None:
        await build_limited_site(site)
        if role == "serving":
            peers = site.hosts[1].sidecar._settings.node.peers
            host, port = peers.split(":")
            assert await send_slowly(*await asyncio.open_connection(host, int(port)))
        else:
            port = reserve_port()
            was_closed: asyncio.Future[bool] = asyncio.Future()

            async def serve(reader, writer) -> None:
                hello = site.hosts[1].sidecar._make_hello()
                writer.write(encode_frame(msgspec.structs.replace(hello, node_id="n9")))
                result = await send_slowly(reader, writer)
                if not was_closed.done():
                    was_closed.set_result(result)
                writer.close()

            server = await asyncio.start_server(serve, HOST, port)
            peer = Member("n9", HOST, port, "z1", 1, 1, MemberState.READY, "maps", 4)
            site.store.put("members", "n9", encode_member(peer))
            assert await was_closed
            server.close()
        address = site.hosts[0].client_address
        answer = await send(address, "GET", "/read/1", make_headers("r1"))
        assert answer.status == 200

    run_scenario(scenario)


def test_a_frame_is_overdue_only_after_its_timeout() -> None:
    decoder = FrameDecoder()
    decoder.feed(UNFINISHED_FRAME + b"x" * 100, 10.0)
    decoder.feed(b"x", 10.0 + frames.FRAME_TIMEOUT_S)
    assert not decoder.is_overdue(10.0 + frames.FRAME_TIMEOUT_S)
    assert decoder.is_overdue(10.1 + frames.FRAME_TIMEOUT_S)


MAX_READ_BYTES = 65_536
"""Most bytes that may be parsed before other connections have a turn."""


class FakeTransport:
    """A transport that only tells whether it was aborted."""

    is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


CHUNK_SIZES = [
    # bytes of a chunk, bytes of the body, whether it is taken
    (1, 65_536, True),
    (1, 1_048_576, False),
    (2, 1_048_576, False),
    (64, 1_048_576, True),
    (65_536, 1_048_576, True),
]


# Guards against an event loop that stood still while it parsed tiny chunks.
@pytest.mark.parametrize(("chunk_bytes", "body_bytes", "is_taken"), CHUNK_SIZES)
def test_a_long_answer_in_tiny_chunks_is_aborted_early(
    chunk_bytes: int, body_bytes: int, is_taken: bool
) -> None:
    limits = AnswerSection()
    connection = BackendConnection(
        ResponseLimits(
            limits.max_head_bytes, limits.max_body_bytes, limits.max_total_bytes
        )
    )
    transport = FakeTransport()
    connection.connection_made(transport)

    async def feed() -> None:
        reading = asyncio.create_task(connection.read())
        await asyncio.sleep(0)
        chunk = b"%x\r\n" % chunk_bytes + b"y" * chunk_bytes + b"\r\n"
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head + chunk * (body_bytes // chunk_bytes) + b"0\r\n\r\n"
        while data and not transport.is_aborted:
            buffer = connection.get_buffer(-1)
            assert len(buffer) <= MAX_READ_BYTES
            part, data = data[: len(buffer)], data[len(buffer) :]
            buffer[: len(part)] = part
            connection.buffer_updated(len(part))
        response = await reading
        assert (response is not None) == is_taken
        assert connection.exceeded_limits != is_taken
        if is_taken:
            assert response.body == b"y" * body_bytes

    asyncio.run(feed())
