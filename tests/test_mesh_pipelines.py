"""Pipelined requests are served side by side and answered in the order sent."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

import pytest

from cassiahatch_node.mesh.settings import AnswerSection
from mesh_site import (
    Arrival,
    Backend,
    Message,
    MessageReader,
    Site,
    make_headers,
    render_request,
    send,
)
from test_mesh import run_scenario
from test_mesh_process import NodeProcess
from test_mesh_process import run_scenario as run_process_scenario

MOST_OPEN = 16
"""Requests of one connection that may be served at the same time."""
ROUTES = {
    "read": {"prefix": "/read/", "service": "books", "max_attempts": 1},
    "order": {"prefix": "/order/", "service": "books", "kind": "unsafe"},
}


@dataclass(frozen=True)
class Sent:
    """A pipelined request, and what the backend server does with it."""

    target: str = "/read/1"
    work_s: float = 0.1
    action: str = "answer"
    status: int = 200
    """Status that the client gets; 0 if it gets no answer."""
    closes: bool = False
    """Whether it carries ``Connection: close``."""
    has_id: bool = True
    answer_bytes: int = 10


def render(sent: list[Sent]) -> bytes:
    return b"".join(
        render_request(
            "GET",
            request.target,
            (make_headers(f"r{number}", 5000) if request.has_id else {})
            | ({"Connection": "close"} if request.closes else {}),
        )
        for number, request in enumerate(sent)
    )


def set_behaviour(backend: Backend, sent: list[Sent]) -> None:
    """Make the runs of the requests go as listed, whatever the order they arrive in."""
    handle = backend._handle_request

    async def handle_request(message: Message, writer, reader) -> bool:
        request = sent[int(message.headers["cassiahatch-request-id"].strip("r"))]
        backend.script.insert(0, request.action)
        backend.work_s = request.work_s
        return await handle(message, writer, reader)

    backend._handle_request = handle_request
    backend.make_body = lambda name: b"y" * sent[int(name.strip("r"))].answer_bytes


async def build_pipeline_site(site: Site, sent: list[Sent], **limits: object) -> None:
    site.configure(ROUTES, **limits)
    await site.add_host("books", slots=40)
    await site.wait_for_convergence()
    host = site.hosts[-1]
    # Until the first answer of a backend server, only one request is sent to it.
    await send(host.client_address, "GET", "/read/1", make_headers("first"))
    host.backend.max_running = 0
    host.backend.arrivals.clear()
    set_behaviour(host.backend, sent)


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def read_answers(reader: asyncio.StreamReader, count: int) -> list[Message]:
    """Return up to ``count`` answers, or those before the connection was closed."""
    messages, answers = MessageReader(reader, False), []
    while len(answers) < count and (answer := await messages.read()) is not None:
        answers.append(answer)
    return answers


def list_statuses(answers: list[Message], sent: list[Sent]) -> list[int]:
    """Return the statuses in order, and 0 for requests without an answer."""
    ids = [answer.headers.get("cassiahatch-request-id") for answer in answers]
    assert ids == [f"r{n}" if sent[n].has_id else None for n in range(len(answers))]
    statuses = [answer.status for answer in answers]
    return statuses + [0] * (len(sent) - len(statuses))


def overlap(arrival: Arrival, other: Arrival) -> bool:
    return arrival.at < other.ended_at and other.at < arrival.ended_at


SLOW = Sent(work_s=0.3)
ORDER = Sent("/order/1", 0.1)
CASES = {
    # requests, most of them that ran at once; which failure the case guards against
    # The answer that is ready first is sent first.
    "later_ready_first": ([SLOW, Sent(work_s=0.2), Sent()], 3),
    # An order overtakes or is overtaken by a request of the same client.
    "unsafe_in_the_middle": ([SLOW, ORDER, Sent(), Sent()], 2),
    "unsafe_in_front": ([ORDER, Sent(work_s=0.1), ORDER, ORDER], 1),
    # A rejection closes the connection, or goes out before its turn.
    "rejection_in_the_middle": ([SLOW, Sent("/none/", status=404), SLOW], 2),
    # A failure in front is left out, or discards the answers behind it.
    "failure_in_front": ([Sent("/read/1", 0.3, "garbage", 502), Sent(), Sent()], 3),
    "error_in_the_middle": ([SLOW, Sent(action="fail", status=500), SLOW], 3),
    # A request behind the last one is passed on, and sent again by its client.
    "close_in_the_middle": ([SLOW, Sent(closes=True), Sent(status=0)], 2),
    "close_in_front": ([Sent(work_s=0.1, closes=True), Sent(status=0)], 1),
    "invalid_in_the_middle": ([SLOW, Sent(has_id=False, status=400), Sent(status=0)], 1),
    "invalid_in_front": ([Sent(has_id=False, status=400), Sent(status=0)], 0),
    # One connection takes all slots of a backend server.
    "more_than_may_be_open": ([SLOW] * (2 * MOST_OPEN + 5), MOST_OPEN),
}  # fmt: skip


@pytest.mark.parametrize("pause_s", [0.0, 0.002], ids=["at_once", "in_turn"])
@pytest.mark.parametrize(("sent", "most_at_once"), CASES.values(), ids=CASES)
def test_answers_come_in_the_order_of_their_requests(
    sent: list[Sent], most_at_once: int, pause_s: float
) -> None:
    async def scenario(site: Site) -> None:
        await build_pipeline_site(site, sent)
        host = site.hosts[0]
        reader, writer = await connect(host.client_address)
        if pause_s:
            for part in render(sent).split(b"\r\n\r\n")[:-1]:
                writer.write(part + b"\r\n\r\n")
                await asyncio.sleep(pause_s)
        else:
            writer.write(render(sent))
        answers = await read_answers(reader, len(sent))
        assert list_statuses(answers, sent) == [request.status for request in sent]
        assert host.backend.max_running == most_at_once
        arrivals = host.backend.arrivals
        assert len(arrivals) == sum(
            request.status not in (0, 400, 404) for request in sent
        )
        orders = [one for one in arrivals if one.message.target == "/order/1"]
        assert not any(
            overlap(order, other)
            for order in orders
            for other in arrivals
            if other is not order
        )
        if any(request.status in (0, 400) for request in sent):
            assert not await reader.read()
        writer.close()
        assert host.sidecar.answer_memory.total_bytes == 0

    run_scenario(scenario)


# Guards against runs that go on although nobody gets their answers.
def test_a_client_that_leaves_cancels_all_its_requests() -> None:
    sent = [Sent(work_s=0.5)] * 3 + [ORDER]

    async def scenario(site: Site) -> None:
        await build_pipeline_site(site, sent)
        host = site.hosts[0]
        _, writer = await connect(host.client_address)
        writer.write(render(sent))
        await asyncio.sleep(0.2)
        assert host.backend.running == 3
        assert host.sidecar.answer_memory.early_bytes > 0
        writer.transport.abort()
        await asyncio.sleep(0.6)
        assert [arrival.was_cancelled for arrival in host.backend.arrivals] == [
            True
        ] * 3
        assert host.sidecar.answer_memory.total_bytes == 0
        assert host.sidecar._clients.open_count == 0

    run_scenario(scenario)


# Guards against an interim response that a client takes for one to an earlier request.
def test_a_body_is_asked_for_after_the_answers_to_earlier_requests() -> None:
    sent = [Sent(work_s=1.4), Sent(work_s=1.4), Sent(answer_bytes=10)]

    async def scenario(site: Site) -> None:
        await build_pipeline_site(site, sent, header_timeout_s=1)
        reader, writer = await connect(site.hosts[0].client_address)
        headers = make_headers("r2", 5000) | {"Expect": "100-continue"}
        headers["Content-Length"] = "4"
        writer.write(render(sent[:2]) + render_request("PUT", "/read/1", headers))
        *answers, interim = await read_answers(reader, 3)
        assert list_statuses(answers, sent[:2]) == [200] * 2
        assert interim.status == 100
        await asyncio.sleep(0.7)
        writer.write(b"body")
        (answer,) = await read_answers(reader, 1)
        assert (answer.status, answer.body) == (200, b"y" * 10 + b"body")
        writer.close()

    run_scenario(scenario)


def make_slow_front(front_bytes: int, statuses: list[int], size: int) -> list[Sent]:
    """Return requests whose answers wait behind a slow one."""
    front = Sent(work_s=0.7, answer_bytes=front_bytes)
    return [front, *(Sent(status=status, answer_bytes=size) for status in statuses)]


KIB = 1024
MEMORY_CASES = {
    # memory for answers, requests, most that ran at once, bytes that wait after 0.4 s
    "within": (8192 * KIB, make_slow_front(10, [200] * 8, 50_000), 9, 8 * 50_000),
    # Early answers take all the memory, of which the first one then gets none.
    "two_open": (512 * KIB, make_slow_front(10, [200] * 8, 50_000), 3, 2 * 50_000),
    "none_open": (128 * KIB, make_slow_front(10, [200] * 3, 50_000), 1, 0),
    "large": (1024 * KIB, make_slow_front(900_000, [200], 200_000), 2, 200_000),
    "dropped": (1024 * KIB, make_slow_front(900_000, [502] * 2, 250_000), 3, 0),
}


@pytest.mark.parametrize(
    ("memory_bytes", "sent", "most_at_once", "waiting_bytes"),
    MEMORY_CASES.values(),
    ids=MEMORY_CASES,
)
def test_answers_that_wait_for_earlier_ones_are_held_within_the_memory(
    memory_bytes: int, sent: list[Sent], most_at_once: int, waiting_bytes: int
) -> None:
    async def scenario(site: Site) -> None:
        site.answers = AnswerSection(max_total_bytes=memory_bytes)
        await site.add_host("shop")
        await build_pipeline_site(site, sent)
        caller, server = site.hosts
        reader, writer = await connect(caller.client_address)
        reading = asyncio.create_task(read_answers(reader, len(sent)))
        writer.write(render(sent))
        await asyncio.sleep(0.4)
        memory = caller.sidecar.answer_memory
        assert waiting_bytes <= memory.early_bytes <= memory_bytes / 4
        assert memory.early_bytes == memory.total_bytes
        answers = await reading
        assert list_statuses(answers, sent) == [request.status for request in sent]
        assert all(
            len(answer.body) == request.answer_bytes
            for answer, request in zip(answers, sent, strict=True)
            if answer.status == 200
        )
        assert server.backend.max_running == most_at_once
        writer.close()
        await asyncio.sleep(0.05)
        assert memory.total_bytes == 0

    run_scenario(scenario)


# Guards against a connection that reads no more because it was idle while its requests
# ran.
def test_a_connection_with_open_requests_is_not_idle() -> None:
    sent = [Sent(work_s=0.5), Sent(work_s=2.2), Sent(), Sent()]

    async def scenario(site: Site) -> None:
        await build_pipeline_site(site, sent, idle_timeout_s=1)
        reader, writer = await connect(site.hosts[0].client_address)
        first_bytes = len(render(sent[:3]))
        writer.write(render(sent)[:first_bytes])
        answers = await read_answers(reader, 3)
        writer.write(render(sent)[first_bytes:])
        answers += await read_answers(reader, 1)
        assert list_statuses(answers, sent) == [200] * 4
        assert not await reader.read()
        writer.close()

    run_scenario(scenario)


STOPS = {
    # What is passed on is answered, also behind what is answered at the end of the stop.
    "all_ready": [Sent(work_s=0.4), *[Sent(work_s=0.2)] * 5],
    "none_ready": [Sent(work_s=4.0, status=502)] * 6,
    "front_not_ready": [Sent(work_s=4.0, status=502), *[Sent()] * 5],
    "middle_not_ready": [Sent(), Sent(work_s=4.0, status=502), Sent()],
}


@pytest.mark.parametrize("sent", STOPS.values(), ids=STOPS)
def test_a_stop_answers_all_that_was_passed_on(
    sent: list[Sent], tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        await process.announce(slots=40, sequence=2)
        set_behaviour(process.backend, sent)
        process.backend.arrivals.clear()
        reader, writer = await connect(process.fields["clients"])
        writer.write(render(sent))
        await asyncio.sleep(0.15)
        assert len(process.backend.arrivals) == len(sent)
        process.child.send_signal(signal.SIGTERM)
        answers = await read_answers(reader, len(sent))
        assert list_statuses(answers, sent) == [request.status for request in sent]
        closing = [answer.headers.get("connection") for answer in answers]
        assert closing == [None] * (len(sent) - 1) + ["close"]
        assert not await reader.read()
        writer.close()
        assert await process.child.wait() == 0
        assert not process.find_events("answer_undelivered")

    run_process_scenario(scenario, tmp_path, grace="2")
