"""A stop waits for receivers that can still get an answer, and only for those."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import pytest

from cassiahatch_node.mesh.delivery import Delivery
from cassiahatch_node.mesh.frames import (
    LINK_VERSION,
    CallFrame,
    FrameDecoder,
    Hello,
    ResultFrame,
    encode_frame,
)
from cassiahatch_node.mesh.store_sync import MEMBER_TABLE
from mesh_site import MessageReader, make_headers, render_request, send
from test_mesh_delivery import connect_slowly, make_call, open_slowly, render_read
from test_mesh_process import NodeProcess, run_scenario

MAX_STOP_S = 4.0
"""Time after which rule DRAIN counts a stopping machine that still seems ready."""
BODY_BYTES = 60_000
"""Less than the transport's limit: the connection is not paused."""
ENDLESS_DEADLINE_MS = 20_000


async def measure_stop(process: NodeProcess) -> float:
    """Wait for the end of a process that was told to stop, and return the time taken."""
    began_at = time.monotonic()
    assert await process.child.wait() == 0
    return time.monotonic() - began_at


def count_unread_bytes(node_port: int, client_port: int) -> int:
    """Return how many bytes of a client the node's process has not read."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, _, queues, *_ = line.split()
        ports = int(local.split(":")[1], 16), int(remote.split(":")[1], 16)
        if ports == (node_port, client_port):
            return int(queues.split(":")[1], 16)
    return 0


def test_a_request_behind_a_last_answer_is_answered_or_not_read(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.work_s = 0.5
        process.backend.make_body = lambda request_id: b"y" * 3_000_000
        address = process.fields["clients"]
        reader, writer = await open_slowly(address)
        writer.write(render_read("r1"))
        await asyncio.sleep(0.2)
        process.child.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.8)
        request = render_read("r2")
        writer.write(request)
        await asyncio.sleep(0.5)
        client_port = writer.get_extra_info("sockname")[1]
        unread_bytes = count_unread_bytes(int(address.split(":")[1]), client_port)
        messages, answers = MessageReader(reader, False), []
        try:
            while (answer := await messages.read()) is not None:
                answers.append(answer)
        except ConnectionError:
            pass
        writer.close()
        assert len(answers) == 2 or unread_bytes == len(request)

    run_scenario(scenario, tmp_path)


def test_a_request_that_crosses_the_end_does_not_cut_the_answer_before_it(
    tmp_path: Path,
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.make_body = lambda request_id: b"y" * BODY_BYTES
        routes = {"read": {"prefix": "/read/", "service": "books", "timeout_s": 6}}
        process.site.configure(routes)
        await asyncio.sleep(1.0)
        reader, writer = await open_slowly(process.fields["clients"])
        writer.write(render_read("r1"))
        await asyncio.sleep(0.2)
        process.child.send_signal(signal.SIGTERM)
        await asyncio.sleep(3.0)
        # Resets the connection if the process has ended.
        writer.write(render_read("r2"))
        await asyncio.sleep(0.2)
        answer = None
        try:
            answer = await MessageReader(reader, False).read()
        except ConnectionError:
            pass
        writer.close()
        assert answer is not None and len(answer.body) == BODY_BYTES

    run_scenario(scenario, tmp_path)


async def reset_unread(process: NodeProcess) -> None:
    """Let a client leave, by a reset, while its last answer is on its way."""
    process.backend.make_body = lambda request_id: b"y" * BODY_BYTES
    process.backend.work_s = 0.5
    _, writer = await open_slowly(process.fields["clients"])
    writer.write(render_read("r1"))
    await asyncio.sleep(0.2)
    process.child.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.8)
    writer.transport.abort()


async def let_deadline_pass(process: NodeProcess) -> None:
    """Let a client not read its answer until its deadline has passed."""
    process.backend.make_body = lambda request_id: b"y" * BODY_BYTES
    _, writer = await open_slowly(process.fields["clients"])
    writer.write(render_request("GET", "/read/1", make_headers("r1", 700)))
    await asyncio.sleep(1.0)
    process.child.send_signal(signal.SIGTERM)
    process.fields["kept"] = writer


async def drop_call(process: NodeProcess) -> None:
    """Let a peer not read the result of a call until its deadline has passed."""
    process.backend.make_body = lambda request_id: b"y" * BODY_BYTES
    link, loop = connect_slowly(process.fields["peers"]), asyncio.get_running_loop()
    hello = encode_frame(Hello(LINK_VERSION, "n9", 0, 0))
    call = msgspec.structs.replace(make_call(1), remaining_ms=700.0)
    await loop.sock_sendall(link, hello + encode_frame(CallFrame(1, call)))
    await asyncio.sleep(1.0)
    process.child.send_signal(signal.SIGTERM)
    process.fields["kept"] = link


async def stop_reading_news(process: NodeProcess) -> None:
    """Let a peer get all its results, and no longer take what else it is told."""
    link, loop = connect_slowly(process.fields["peers"]), asyncio.get_running_loop()
    hello = encode_frame(Hello(LINK_VERSION, "n9", 0, 0))
    await loop.sock_sendall(link, hello + encode_frame(CallFrame(1, make_call(1))))
    decoder, results = FrameDecoder(), []
    while not results:
        frames = decoder.feed(await loop.sock_recv(link, 65_536), 0.0)
        results += [frame for frame in frames if isinstance(frame, ResultFrame)]
    for number in range(400):
        await process.announce(slots=4 + number % 2, sequence=10 + number)
    process.child.send_signal(signal.SIGTERM)
    process.fields["kept"] = link


async def leave_without_store(process: NodeProcess) -> None:
    """Let the backend server leave, and say so each second, while the store is away."""
    process.site.store.is_down = True
    body = {
        "service": "books", "address": process.backend.address, "zone": "z1",
        "slots": 4, "state": "draining", "sequence": 9, "born": 1,
    }  # fmt: skip
    path = f"/v1/Instances.Heartbeat/{process.backend.instance}"

    async def repeat() -> None:
        for number in range(7):
            body["sequence"] = 9 + number
            data = json.dumps(body).encode()
            sending = send(process.fields["control"], "POST", path, body=data)
            asyncio.ensure_future(sending).add_done_callback(
                lambda task: task.exception()
            )
            await asyncio.sleep(1.0)

    process.fields["kept"] = asyncio.ensure_future(repeat())
    await asyncio.sleep(0.5)
    process.child.send_signal(signal.SIGTERM)


async def keep_rejected_connection(process: NodeProcess) -> None:
    """Let a client read a rejection, and close its connection only much later."""
    reader, writer = await open_slowly(process.fields["clients"])
    headers = make_headers("r1", ENDLESS_DEADLINE_MS) | {"Content-Length": "9000000"}
    writer.write(render_request("PUT", "/read/1", headers))
    assert (await MessageReader(reader, False).read()).status == 413
    process.child.send_signal(signal.SIGTERM)
    process.fields["kept"] = writer


async def keep_two_requests_open(process: NodeProcess) -> None:
    """Let a client send its next but one request with each answer, until told to close."""
    process.backend.work_s = 0.1
    (await process.site.add_host("books")).backend.work_s = 0.1
    await asyncio.sleep(0.5)
    reader, writer = await open_slowly(process.fields["clients"])

    async def send_on() -> None:
        messages = MessageReader(reader, False)
        writer.write(render_read("r0") + render_read("r1"))
        for number in range(2, 1000):
            answer = await messages.read()
            if answer is None or answer.headers.get("connection") == "close":
                break
            writer.write(render_read(f"r{number}"))
        writer.close()

    process.fields["kept"] = asyncio.ensure_future(send_on())
    await asyncio.sleep(0.5)
    process.child.send_signal(signal.SIGTERM)


HOLDERS = [
    reset_unread,
    let_deadline_pass,
    drop_call,
    stop_reading_news,
    leave_without_store,
    keep_rejected_connection,
    keep_two_requests_open,
]


@pytest.mark.parametrize("hold", HOLDERS, ids=lambda hold: hold.__name__)
def test_a_stop_is_not_held_by_those_who_need_no_more(
    hold: Callable[[NodeProcess], Awaitable[None]], tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await hold(process)
        spent_s = await measure_stop(process)
        kept = process.fields.get("kept")
        if isinstance(kept, asyncio.Future):
            kept.cancel()
        elif kept is not None:
            kept.close()
        assert spent_s < MAX_STOP_S

    run_scenario(scenario, tmp_path)


def test_an_idle_close_does_not_cut_an_answer_on_its_way(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.make_body = lambda request_id: b"y" * BODY_BYTES
        routes = {"read": {"prefix": "/read/", "service": "books", "timeout_s": 6}}
        process.site.configure(routes, idle_timeout_s=1)
        await asyncio.sleep(1.0)
        reader, writer = await open_slowly(process.fields["clients"])
        writer.write(render_read("r1"))
        # Closed without reading on; the second request crosses that.
        await asyncio.sleep(2.5)
        writer.write(render_read("r2"))
        await asyncio.sleep(0.2)
        answer = None
        try:
            answer = await MessageReader(reader, False).read()
        except ConnectionError:
            pass
        writer.close()
        assert answer is not None and len(answer.body) == BODY_BYTES

    run_scenario(scenario, tmp_path)


def test_connections_of_clients_that_left_are_closed_in_calm(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.make_body = lambda request_id: b"y" * BODY_BYTES
        folder = Path(f"/proc/{process.child.pid}/fd")
        await process.announce(slots=40, sequence=2)
        await asyncio.sleep(0.5)
        before = len(os.listdir(folder))
        writers = []
        for number in range(40):
            _, writer = await open_slowly(process.fields["clients"])
            headers = make_headers(f"r{number}", 5000) | {"Connection": "close"}
            writer.write(render_request("GET", "/read/1", headers))
            writers.append(writer)
        await asyncio.sleep(1.0)
        for writer in writers:
            writer.transport.abort()
        # Longer than connections to the backend server are kept, shorter than idle ones.
        await asyncio.sleep(7.0)
        kept = len(os.listdir(folder)) - before
        assert kept <= 0

    run_scenario(scenario, tmp_path)


def test_results_that_an_ending_process_drops_are_logged(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.make_body = lambda request_id: b"y" * BODY_BYTES
        link, loop = connect_slowly(process.fields["peers"]), asyncio.get_running_loop()
        hello = encode_frame(Hello(LINK_VERSION, "n9", 0, 0))
        calls = [CallFrame(n, make_call(n)) for n in range(4)]
        await loop.sock_sendall(link, hello + b"".join(map(encode_frame, calls)))
        await asyncio.sleep(0.5)
        process.child.send_signal(signal.SIGTERM)
        assert await process.child.wait() == 0
        link.close()
        assert process.find_events("answer_undelivered")

    run_scenario(scenario, tmp_path)


class SocketlessTransport:
    """A transport without a socket."""

    def get_extra_info(self, name: str) -> socket.socket | None:
        return None

    def get_write_buffer_size(self) -> int:
        return 0


def test_delivery_without_a_socket_is_complete() -> None:
    delivery = Delivery(SocketlessTransport())
    delivery.record_answer(1.0)
    assert delivery.is_complete


def test_a_call_on_a_link_that_is_closed_ends_then(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        site = process.site
        host = await site.add_host("chapters")
        route = {"prefix": "/list/", "service": "chapters", "timeout_s": 3}
        site.configure({"list": route})
        while await process.send_request("w", "/list/1") != 200:
            await asyncio.sleep(0.05)
        host.backend.work_s = 0.8
        sending = asyncio.create_task(process.send_request("r1", "/list/1"))
        await asyncio.sleep(0.3)
        key = next(key for table, key in site.store.rows if key == "n1")
        began_at = time.monotonic()
        site.store.put(MEMBER_TABLE, key, None)
        status = await sending
        assert status == 200 or time.monotonic() - began_at < 1.5

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("grace", ["3", "6", "12"])
def test_requests_that_are_open_at_the_end_get_an_answer(
    grace: str, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        routes = {"read": {"prefix": "/read/", "service": "books", "timeout_s": 30}}
        process.site.configure(routes)
        await asyncio.sleep(1.0)
        process.backend.work_s = 25.0
        headers = make_headers("r1", ENDLESS_DEADLINE_MS)
        clients = process.fields["clients"]
        sending = asyncio.create_task(send(clients, "GET", "/read/1", headers))
        await asyncio.sleep(0.3)
        process.child.send_signal(signal.SIGTERM)
        spent_s = await measure_stop(process)
        answer = (await asyncio.gather(sending, return_exceptions=True))[0]
        assert not isinstance(answer, Exception)
        assert answer.status == 502
        assert spent_s < float(grace)

    run_scenario(scenario, tmp_path, grace=grace)
