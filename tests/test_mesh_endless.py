"""Answers without end, from each of the servers that a node asks."""

from __future__ import annotations

import asyncio

import pytest

from cassiahatch_kernel.exchanges import Call, Indeterminate, Reason, Result
from cassiahatch_kernel.members import Member, MemberState
from cassiahatch_node.mesh import frames
from cassiahatch_node.mesh.frames import FrameDecoder, encode_frame
from cassiahatch_node.mesh.settings import AnswerSection
from cassiahatch_node.mesh.store_sync import encode_member
from cassiahatch_platform.store import MAX_RESPONSE_BYTES
from endless_answers import ENDLESS
from mesh_site import HOST, Site, find_port, name_request, send
from test_mesh import ROUTES, play

BOUNDS = AnswerSection(
    max_head_bytes=16_384, max_body_bytes=524_288, max_total_bytes=786_432
)
SOCKET_BYTES = 8_388_608
"""What the kernel's buffers of a loopback connection may hold besides."""
TIMEOUT_S = 1.5
DRIPS = ("drip_head", "drip_body")
"""They stay within the bounds on bytes, and end at the deadline."""


async def build_endless(site: Site) -> None:
    site.answers = BOUNDS
    route = ROUTES["read"] | {"timeout_s": TIMEOUT_S}
    site.configure(ROUTES | {"read": route})
    for service in ("shop", "books", "books"):
        await site.add(service)
    await site.settle()


async def wait_for_end(site: Site) -> None:
    """Wait until no connection to a backend server is in use."""
    async with asyncio.timeout(3):
        while any(host.sidecar.ingress.running for host in site.hosts):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("action", ENDLESS)
def test_an_answer_without_end_costs_only_its_request(action: str) -> None:
    async def scene(site: Site) -> None:
        await build_endless(site)
        for host in site.hosts[1:]:
            host.backend.script = [action]
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        clients = site.hosts[0].clients
        first = await send(clients, "GET", "/read/1", name_request("r1"))
        spent_s = loop.time() - began_at
        await wait_for_end(site)
        if action == "endless_after":
            assert first.status == 200
        elif action in DRIPS:
            assert first.status == 504
            assert spent_s < TIMEOUT_S + 0.3
        else:
            assert first.status == 502, "both servers answered without end"
            assert spent_s < TIMEOUT_S
        arrived = [entry for host in site.hosts for entry in host.backend.arrived]
        most = BOUNDS.max_head_bytes + 9 * BOUNDS.max_body_bytes + SOCKET_BYTES
        assert all(entry.sent_bytes <= most for entry in arrived)
        for host in site.hosts[1:]:
            host.backend.script = []
        second = await send(clients, "GET", "/read/2", name_request("r2"))
        assert second.body in (b"i-2:r2", b"i-3:r2")

    play(scene)


def test_answers_without_end_are_bounded_together() -> None:
    async def scene(site: Site) -> None:
        await build_endless(site)
        for host in site.hosts[1:]:
            host.backend.script = ["endless_body"] * 20
        clients = site.hosts[0].clients
        held = []

        async def watch() -> None:
            while True:
                for host in site.hosts[1:]:
                    held.append(host.sidecar.response_limits.buffered_bytes)
                await asyncio.sleep(0)

        watching = asyncio.create_task(watch())
        await asyncio.gather(
            *(
                send(clients, "GET", "/read/1", name_request(f"r{number}"))
                for number in range(12)
            )
        )
        watching.cancel()
        await wait_for_end(site)
        # Each connection may add one reading before it is ended.
        assert max(held) <= BOUNDS.max_total_bytes + 4 * 262_144
        assert all(
            host.sidecar.response_limits.buffered_bytes == 0 for host in site.hosts
        )

    play(scene)


def test_answers_that_have_ended_leave_room_for_others() -> None:
    size = BOUNDS.max_total_bytes // 3

    async def scene(site: Site) -> None:
        await build_endless(site)
        clients = site.hosts[0].clients
        body = b"y" * size

        async def ask(name: str) -> int:
            answer = await send(clients, "GET", "/read/1", name_request(name), body)
            return answer.status

        for host in site.hosts[1:]:
            host.backend.work_s = 0.05
        for turn in range(3):
            names = [f"r{turn}-{number}" for number in range(4)]
            assert await asyncio.gather(*map(ask, names)) == [200] * 4
            held = [host.sidecar.response_limits.buffered_bytes for host in site.hosts]
            assert held == [0] * 3, "kept connections hold nothing"

    play(scene)


@pytest.mark.parametrize("action", ["body", "chunks", "fields"])
def test_an_answer_without_end_of_the_store_is_a_loss_of_the_store(
    action: str,
) -> None:
    async def scene(site: Site) -> None:
        await build_endless(site)
        site.store.endless = action
        reading = site.hosts[0].sidecar._store.read_table("members")
        with pytest.raises(Exception, match="(?i)exceed|large|size|many") as caught:
            await reading
        assert type(caught.value).__name__ == "StoreUnavailableError"
        assert site.store.most_sent_bytes <= MAX_RESPONSE_BYTES + SOCKET_BYTES
        site.store.endless = ""
        answer = await send(site.hosts[0].clients, "GET", "/read/1", name_request("r1"))
        assert answer.status == 200

    play(scene)


def test_a_run_whose_caller_fell_silent_ends_after_its_deadline() -> None:
    async def scene(site: Site) -> None:
        await build_endless(site)
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
        await wait_for_end(site)

    play(scene)


UNFINISHED = (1_000_000).to_bytes(4, "big")
"""The announced length of a frame whose bytes then come one by one."""
FRAME_TIMEOUT_S = 0.5


async def drip(reader, writer) -> bool:
    """Send a frame byte by byte, and tell whether the node ended the connection."""
    writer.write(UNFINISHED)
    ends_at = asyncio.get_running_loop().time() + 3
    while asyncio.get_running_loop().time() < ends_at:
        writer.write(b"x")
        await asyncio.sleep(0.05)
        if reader.at_eof() or writer.is_closing():
            return True
    return False


@pytest.mark.parametrize("end", ["serving", "calling"])
def test_a_frame_without_end_ends_the_link(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frames, "FRAME_TIMEOUT_S", FRAME_TIMEOUT_S)

    async def scene(site: Site) -> None:
        await build_endless(site)
        if end == "serving":
            peers = site.hosts[1].sidecar._settings.node.peers
            host, port = peers.split(":")
            assert await drip(*await asyncio.open_connection(host, int(port)))
        else:
            port = find_port()
            was_ended: asyncio.Future[bool] = asyncio.Future()

            async def serve(reader, writer) -> None:
                greeting = site.hosts[1].sidecar._make_hello()
                writer.write(encode_frame(greeting))
                result = await drip(reader, writer)
                if not was_ended.done():
                    was_ended.set_result(result)
                writer.close()

            server = await asyncio.start_server(serve, HOST, port)
            peer = Member("n9", HOST, port, "z1", 1, 1, MemberState.READY, "maps", 4)
            site.store.put("members", "n9", encode_member(peer))
            assert await was_ended
            server.close()
        clients = site.hosts[0].clients
        answer = await send(clients, "GET", "/read/1", name_request("r1"))
        assert answer.status == 200

    play(scene)


def test_a_frame_is_without_end_only_beyond_its_time() -> None:
    decoder = FrameDecoder()
    decoder.feed(UNFINISHED + b"x" * 100, 10.0)
    decoder.feed(b"x", 10.0 + frames.FRAME_TIMEOUT_S)
    assert not decoder.is_overdue(10.0 + frames.FRAME_TIMEOUT_S)
    assert decoder.is_overdue(10.1 + frames.FRAME_TIMEOUT_S)
