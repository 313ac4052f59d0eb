"""A planned stop: each request that is taken gets an answer before the node ends."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

import pytest

from cassiahatch_kernel.exchanges import Call, Reason, Rejection
from cassiahatch_node.mesh.frames import (
    LINK_VERSION,
    CallFrame,
    FrameDecoder,
    Hello,
    ResultFrame,
    encode_frame,
)
from cassiahatch_policies.stop_admission import StopAdmission
from mesh_site import (
    Backend,
    Message,
    MessageReader,
    Site,
    make_headers,
    render_request,
    send,
)
from test_mesh import build_site, run_scenario
from test_mesh_process import NodeProcess
from test_mesh_process import run_scenario as run_process_scenario

GRACE_S = 8.0
NOT_RUN = 503


@dataclass(frozen=True)
class Case:
    """A request sent to a node that stops."""

    at: float
    """Seconds after SIGTERM."""
    deadline_ms: int
    work_s: float
    status: int


CASES = [
    Case(0.5, 4000, 0.3, 200),
    Case(2.0, 7900, 3.0, 200),
    Case(2.3, 7900, 5.0, 200),
    Case(3.5, 2000, 0.5, 200),
    # Such requests were taken, and cut when the node ended.
    Case(3.2, 7900, 6.0, NOT_RUN),
    Case(3.6, 6000, 6.0, NOT_RUN),
    Case(3.9, 4500, 4.4, NOT_RUN),
    Case(5.0, 2000, 0.5, 200),
    Case(6.5, 3000, 2.0, NOT_RUN),
]


class Client:
    """A client with a connection of its own, or one that was in use before the stop."""

    def __init__(self, process: NodeProcess) -> None:
        self._process = process
        self._streams: tuple | None = None

    async def connect(self) -> None:
        host, port = self._process.fields["clients"].split(":")
        self._streams = await asyncio.open_connection(host, int(port))
        await self._exchange("GET", "first", 2000)

    async def send(self, case: Case, name: str) -> Message | None:
        if self._streams is None:
            host, port = self._process.fields["clients"].split(":")
            self._streams = await asyncio.open_connection(host, int(port))
        return await self._exchange("POST", name, case.deadline_ms)

    async def _exchange(self, method: str, name: str, deadline_ms: int):
        reader, writer = self._streams
        headers = make_headers(name, deadline_ms)
        writer.write(render_request(method, "/order/1", headers))
        return await MessageReader(reader, False).read()


def set_work(backend: Backend, cases: dict[str, Case]) -> None:
    """Make the runs of the requests last as long as their cases say."""
    handle = backend._handle_request

    async def handle_request(message, writer, reader):
        case = cases.get(message.headers.get("cassiahatch-request-id", ""))
        if case is not None:
            await asyncio.sleep(case.work_s)
        return await handle(message, writer, reader)

    backend._handle_request = handle_request


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
def test_what_a_stopping_node_takes_is_answered_before_it_ends(
    is_kept: bool, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.site.configure(
            {"order": {"prefix": "/order/", "service": "books", "kind": "unsafe",
                       "timeout_s": 20, "target_latency_s": 8}}
        )  # fmt: skip
        await process.announce(slots=20, sequence=2)
        cases = {f"r{number}": case for number, case in enumerate(CASES)}
        other = await process.site.add_host("books", slots=20)
        backends = process.backend, other.backend
        for backend in backends:
            set_work(backend, cases)
        clients = {name: Client(process) for name in cases}
        async with asyncio.timeout(10):
            while not other.backend.arrivals:
                await asyncio.gather(
                    *(process.send_request(f"w{n}", "/order/1") for n in range(8))
                )
        if is_kept:
            for client in clients.values():
                await client.connect()

        async def send_at(name: str, case: Case) -> int:
            await asyncio.sleep(case.at)
            answer = await clients[name].send(case, name)
            return answer.status if answer is not None else 0

        process.child.send_signal(signal.SIGTERM)
        async with asyncio.timeout(GRACE_S):
            statuses = await asyncio.gather(
                *(send_at(name, case) for name, case in cases.items())
            )
            assert await process.child.wait() == 0
        assert statuses == [case.status for case in CASES]
        arrived = {
            arrival.message.headers["cassiahatch-request-id"]
            for backend in backends
            for arrival in backend.arrivals
        }
        rejected = {name for name, case in cases.items() if case.status == NOT_RUN}
        assert not arrived & rejected
        assert process.find_events("stopped")[-1]["open"] == 0

    run_process_scenario(scenario, tmp_path, grace=str(GRACE_S))


def test_what_is_still_open_when_a_node_ends_is_answered(tmp_path: Path) -> None:
    async def scenario(process: NodeProcess) -> None:
        routes = {"order": {"prefix": "/order/", "service": "books", "timeout_s": 20}}
        process.site.configure(routes)
        other = await process.site.add_host("books", slots=20)
        backends = process.backend, other.backend
        while not other.backend.arrivals:
            await asyncio.gather(
                *(process.send_request(f"w{n}", "/order/1") for n in range(8))
            )
        cases = {f"r{number}": Case(0.0, 15_000, 9.0, 502) for number in range(8)}
        for backend in backends:
            set_work(backend, cases)
        clients = {name: Client(process) for name in cases}
        sending = [
            asyncio.create_task(clients[name].send(case, name))
            for name, case in cases.items()
        ]
        await asyncio.sleep(0.3)
        process.child.send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*sending)
        assert [answer.status for answer in answers] == [502] * len(cases)
        assert await process.child.wait() == 0
        names = [
            arrival.message.headers["cassiahatch-request-id"]
            for backend in backends
            for arrival in backend.arrivals
        ]
        assert all(names.count(name) <= 1 for name in cases)

    run_process_scenario(scenario, tmp_path, grace="3")


ADMISSIONS = [
    # grace, seconds since SIGTERM, seconds until the deadline, whether admitted
    (10.0, 0.0, 60.0, True),
    (10.0, 2.7, 60.0, True),
    (10.0, 2.9, 8.0, False),
    (10.0, 2.9, 6.4, True),
    (10.0, 5.0, 4.6, False),
    (10.0, 5.0, 4.3, True),
    (10.0, 9.3, 0.05, True),
    (10.0, 9.3, 0.2, False),
    (6.0, 2.9, 2.8, False),
    (6.0, 2.9, 2.6, True),
    (2.0, 0.9, 60.0, True),
    (2.0, 1.1, 0.9, False),
    (2.0, 1.1, 0.6, True),
]


@pytest.mark.parametrize(("grace_s", "at", "remaining_s", "is_admitted"), ADMISSIONS)
def test_a_stopping_node_takes_what_ends_in_time(
    grace_s: float, at: float, remaining_s: float, is_admitted: bool
) -> None:
    admission = StopAdmission(100.0, grace_s)
    now = 100.0 + at
    assert admission.admits(now + remaining_s, now) is is_admitted
    admission.is_closed = True
    assert not admission.admits(now + remaining_s, now)


CALLS = [
    # remaining milliseconds of a peer's call, whether it is run
    (1500.0, True),
    (4000.0, False),
]


@pytest.mark.parametrize(("remaining_ms", "is_run"), CALLS)
def test_a_stopping_node_runs_the_calls_that_end_in_time(
    remaining_ms: float, is_run: bool
) -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["shop", "books"])
        host = site.hosts[1]
        now = host.sidecar._clock.monotonic()
        host.sidecar.backend.stop_admission = StopAdmission(now - 3.0, 6.0)
        address, port = host.settings.node.peers.split(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        call = Call(
            "r1", "order", "POST", "h", "/", b"", b"", "shop", "i-2", remaining_ms,
            1.0, 1, 1.5, True, False,
        )  # fmt: skip
        for frame in (Hello(LINK_VERSION, "n9", 0, 0), CallFrame(1, call)):
            writer.write(encode_frame(frame))
        decoder, results = FrameDecoder(), []
        while not results:
            frames = decoder.feed(await reader.read(65536), 0.0)
            results = [frame for frame in frames if isinstance(frame, ResultFrame)]
        writer.close()
        assert len(host.backend.arrivals) == is_run
        if not is_run:
            expected = Rejection(Reason.STOPPING, retry_elsewhere=True)
            assert results[0].result == expected

    run_scenario(scenario)


# Guards against a grace period that began when a node that had just started noticed SIGTERM.
def test_the_grace_period_counts_from_the_signal() -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["books"])
        host = site.hosts[0]
        host.backend.work_s = 10.0
        client = asyncio.create_task(
            send(host.client_address, "GET", "/read/1", make_headers("r1", 9000))
        )
        await asyncio.sleep(0.3)
        sidecar = host.sidecar
        async with asyncio.timeout(2.0):
            await sidecar.stop(sidecar._clock.monotonic() - 4.0)
        assert (await client).status == 502

    run_scenario(scenario)
