"""Signals, suspensions, configurations and faults of the store that overlap."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
import uvloop

from cassiahatch_node.mesh.journal import EXIT_WAIT_S, Journal
from cassiahatch_node.observability.metrics import Metrics
from mesh_site import Backend, MessageReader, Site, make_headers, render_request, send
from node_fleet import Announce, Configure, Send, Series, Store, run_series
from test_mesh_process import NodeProcess, run_scenario


@asynccontextmanager
async def start_unannounced(folder: Path) -> AsyncIterator[NodeProcess]:
    """Start a sidecar process, and kill it at the end if it still runs."""
    log = (folder / "out.log").open("wb")
    async with asyncio.timeout(20), Site(log.fileno()) as site:
        process = NodeProcess(folder, site, Backend("books", "i-1"))
        await process.start(log.fileno())
        try:
            yield process
        finally:
            if process.child.returncode is None:
                process.child.kill()
            await process.child.wait()
            log.close()


async def connect_when_listening(
    process: NodeProcess,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = process.fields["clients"].split(":")
    while True:
        try:
            return await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            await asyncio.sleep(0.001)


@pytest.mark.parametrize("after_s", [0.0, 0.002, 0.01, 0.03, 0.1])
def test_a_node_that_is_stopped_while_it_starts_answers_what_it_reads(
    after_s: float, tmp_path: Path
) -> None:
    async def run() -> None:
        async with start_unannounced(tmp_path) as process:
            reader, writer = await connect_when_listening(process)
            writer.write(render_request("GET", "/read/1", make_headers("r1")))
            await asyncio.sleep(after_s)
            process.child.send_signal(signal.SIGTERM)
            answer = await MessageReader(reader, False).read()
            assert answer is not None
            assert answer.status == 503
            writer.close()
            assert await process.child.wait() == 0

    uvloop.run(run())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP], ids=str)
def test_signals_while_a_node_ends_leave_its_exit_status(
    number: signal.Signals, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.child.send_signal(signal.SIGTERM)
        while process.child.returncode is None:
            process.child.send_signal(number)
            await asyncio.sleep(0.001)
        assert process.child.returncode == 0

    run_scenario(scenario, tmp_path)


def test_a_reload_that_is_asked_for_while_a_node_starts_is_done(tmp_path: Path) -> None:
    async def run() -> None:
        async with start_unannounced(tmp_path) as process:
            _, writer = await connect_when_listening(process)
            process.child.send_signal(signal.SIGHUP)
            await process.wait_for_event("settings_reloaded")
            writer.close()

    uvloop.run(run())


TERM, HUP, STOP, CONT = signal.SIGTERM, signal.SIGHUP, signal.SIGSTOP, signal.SIGCONT
AWAY, LOSES, SLOW = {"is_down": True}, {"loses_answers": True}, {"delay_s": 1.0}
DRAINS = tuple((0.6 + 0.9 * n, Announce("draining")) for n in range(6))
HUPS = tuple((0.4 + 0.1 * n, Send(HUP)) for n in range(30))
SERIES = {
    "hups_terms_and_configurations": Series(
        (
            (0.3, Configure(2.9)),
            (0.5, Send(TERM)),
            (0.6, Configure(3.1)),
            (2.5, Send(TERM)),
            *HUPS,
        )
    ),
    "suspended_after": Series(
        ((0.5, Send(TERM)), (0.6, Send(STOP)), (3.1, Send(CONT)))
    ),
    "suspended_before": Series(
        ((0.5, Send(STOP)), (1.0, Send(TERM)), (1.5, Send(CONT)))
    ),
    "store_slow": Series(
        ((0.3, Store(SLOW)), (0.4, Configure(2.9)), (0.5, Send(TERM)), *HUPS)
    ),
    "store_away": Series(
        ((0.3, Store(AWAY)), (0.5, Send(TERM)), *DRAINS), ends_within_s=5.0
    ),
    "store_loses_answers": Series(
        ((0.3, Store(LOSES)), (0.5, Send(TERM)), *DRAINS), ends_within_s=5.0
    ),
    "one_after_the_other": Series(
        tuple((0.5 + 0.5 * n, Send(TERM, n)) for n in range(3)), 0.3, nodes=3
    ),
    "calls_of_runs": Series(
        ((0.5, Send(TERM)), (0.9, Send(TERM, 1))), 0.3, target="/read/chain"
    ),
    "unsafe": Series(
        ((0.5, Send(TERM)), (0.6, Send(TERM, 1))), 2.5, "POST", "/write/1"
    ),
}


@pytest.mark.parametrize("name", SERIES)
def test_no_request_is_lost_when_planned_work_and_faults_of_the_store_overlap(
    name: str, tmp_path: Path
) -> None:
    assert uvloop.run(run_series(SERIES[name], tmp_path)) == []


SHORT_GRACE_S = 2.0


def test_requests_that_run_at_the_end_of_the_grace_are_answered_before_the_process_ends(
    tmp_path: Path,
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.backend.work_s = 10.0
        sending = [
            asyncio.create_task(
                send(
                    process.fields["clients"],
                    "GET",
                    "/read/1",
                    make_headers(name, 2900),
                )
            )
            for name in ("r1", "r2", "r3")
        ]
        await asyncio.sleep(0.2)
        process.child.send_signal(signal.SIGTERM)
        started_at = time.monotonic()
        answers = await asyncio.gather(*sending)
        assert [answer.status for answer in answers] == [502] * 3
        assert await process.child.wait() == 0
        assert time.monotonic() - started_at < SHORT_GRACE_S
        assert not process.find_events("answer_undelivered")

    run_scenario(scenario, tmp_path, grace=str(SHORT_GRACE_S))


@pytest.mark.parametrize("reads", [True, False])
def test_the_last_log_lines_wait_for_a_slow_reader_but_not_for_ever(
    reads: bool,
) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        read_fd, write_fd = os.pipe()
        os.set_blocking(read_fd, False)
        os.write(write_fd, b"\n" * 4096)

        def write_lines() -> float:
            with Journal("n1", Metrics(), write_fd) as journal:
                for number in range(1000):
                    journal.note("line", number=number)
                journal.note("stopped")
                started_at = time.monotonic()
            os.close(write_fd)
            return time.monotonic() - started_at

        writing, log = loop.run_in_executor(None, write_lines), b""
        while reads:
            await asyncio.sleep(0.01)
            try:
                data = os.read(read_fd, 16_384)
            except BlockingIOError:
                continue
            if not data:
                break
            log += data
        assert log.endswith(b'"stopped"}\n') == reads
        assert await writing < EXIT_WAIT_S + 0.2
        os.close(read_fd)

    uvloop.run(run())
