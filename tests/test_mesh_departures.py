"""Departures hold against heartbeats sent before them, restarts and ids used again."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass

import pytest

from cassiahatch_kernel.departures import MAX_DEPARTURES, Departures, Process
from cassiahatch_node.mesh.member_records import decode_member
from mesh_site import Host, Site, make_headers, send
from test_mesh import build_site, run_scenario
from test_mesh_announcements import WALL_S

FIRST, SECOND = 1_000, 2_000
"""Starts of two processes, in milliseconds since the Unix epoch."""
AFTER = int((time.time() + 3600) * 1000)
"""Start of a process after any departure of these tests."""


@dataclass(frozen=True)
class Heartbeat:
    """A heartbeat arrives at the node."""

    instance: str
    born: int
    state: str = "ready"


@dataclass(frozen=True)
class Leave:
    """A leave message arrives, and is to be acknowledged."""

    instance: str
    born: int | None = None


@dataclass(frozen=True)
class Restart:
    """The node is stopped and started again."""


Message = Heartbeat | Leave | Restart
"""What happens to the node in turn."""
LATE = Heartbeat("a", FIRST)
SEQUENCES: dict[str, tuple[list[Message], Process | None]] = {
    # what happens in turn; the process that is in service after that, if any is
    "a heartbeat after the leave": ([Leave("a", FIRST), LATE, LATE], None),
    "the same without a start": ([Leave("a"), LATE, LATE], None),
    "the same after a restart": ([Leave("a", FIRST), Restart(), LATE], None),
    "without a start, after two": ([Leave("a"), Restart(), Restart(), LATE], None),
    "started again under its id": (
        [LATE, Leave("a", SECOND), Heartbeat("a", SECOND)],
        None,
    ),
    "the same without a start in the leave": (
        [LATE, Leave("a"), Heartbeat("a", SECOND)],
        None,
    ),
    "started again under another id": (
        [LATE, Leave("b", SECOND), Heartbeat("b", SECOND)],
        (FIRST, "a"),
    ),
    "the same after a restart, without a start": (
        [LATE, Leave("b"), Restart(), Heartbeat("b", SECOND)],
        (FIRST, "a"),
    ),
    "a leave of the process before": (
        [LATE, Heartbeat("a", SECOND), Leave("a", FIRST)],
        (SECOND, "a"),
    ),
    "a leave of the process before, of another id": (
        [LATE, Heartbeat("b", SECOND), Leave("a"), LATE],
        (SECOND, "b"),
    ),
    "a late drain of the process before": (
        [LATE, Heartbeat("a", SECOND), Heartbeat("a", FIRST, "draining")],
        (SECOND, "a"),
    ),
    "the id is used again": (
        [LATE, Leave("a"), Heartbeat("a", AFTER)],
        (AFTER, "a"),
    ),
    "the id is used again after a restart": (
        [LATE, Leave("a", FIRST), Restart(), Heartbeat("a", AFTER)],
        (AFTER, "a"),
    ),
    "two departures, heartbeats of both": (
        [
            Leave("a", FIRST),
            Leave("b", SECOND),
            Restart(),
            LATE,
            Heartbeat("b", SECOND),
        ],
        None,
    ),
}


async def stop_process(host: Host) -> None:
    """Stop a sidecar and, like the end of a process, close its connections."""
    host.sidecar._links.abort_links(0.0)
    await host.stop()


async def follow(site: Site, host: Host, message: Message) -> None:
    """Let a message arrive at a node, or restart it."""
    match message:
        case Heartbeat(instance=instance, born=born, state=state):
            host.backend.instance = instance
            assert await host.announce(state, born=born) == 200
        case Leave(instance=instance, born=born):
            body = b"" if born is None else json.dumps({"born": born}).encode()
            path = f"/v1/Instances.Leave/{instance}"
            assert (await host.send_control("POST", path, body)).status == 200
            stored = decode_member(site.store.rows["members", "n2"][0], WALL_S)
            assert Departures(stored.departed).covers((born or FIRST, instance))
        case Restart():
            await stop_process(host)
            await host.start(site._journal_fd)
            await site.wait_for_convergence()


def read_process_in_service(host: Host) -> Process | None:
    backend = host.sidecar.backend
    return backend.announcement.process if backend.accepts else None


async def wait_until_served(host: Host) -> None:
    """Wait until a request of a VM's client is served."""
    async with asyncio.timeout(3):
        while (
            await send(host.client_address, "GET", "/read/0", make_headers("r0"))
        ).status != 200:
            await asyncio.sleep(0.05)


# Guards against an acknowledged leave that heartbeats sent before it undid.
@pytest.mark.parametrize(("messages", "expected"), SEQUENCES.values(), ids=SEQUENCES)
def test_no_process_returns_from_an_acknowledged_departure(
    messages: list[Message], expected: Process | None
) -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["shop"])
        shop, books = site.hosts[0], await site.add_host("books", announces=False)
        await asyncio.sleep(0.2)
        for message in messages:
            await follow(site, books, message)
        assert read_process_in_service(books) == expected
        if expected is not None:
            _, books.backend.instance = expected
            await wait_until_served(shop)
        answer = await send(shop.client_address, "GET", "/read/1", make_headers("r1"))
        assert answer.status == (503 if expected is None else 200)
        await follow(site, books, Restart())
        assert read_process_in_service(books) == expected

    run_scenario(scenario)


# Guards against a departure that was acknowledged and not recorded.
def test_a_departure_of_an_unknown_process_is_acknowledged_only_once_it_is_stored() -> (
    None
):
    async def scenario(site: Site) -> None:
        await build_site(site, ["shop", "books"])
        books = site.hosts[1]
        site.store.is_down = True
        path = "/v1/Instances.Leave/i-unknown"
        answers = [await books.send_control("POST", path) for _ in range(2)]
        assert [answer.status for answer in answers] == [503, 503]
        site.store.is_down = False
        async with asyncio.timeout(5):
            while (await books.send_control("POST", path)).status != 200:
                await asyncio.sleep(0.05)
        assert books.sidecar.backend.accepts

    run_scenario(scenario)


@pytest.mark.parametrize(
    "body", [b"[]", b"{", b'{"born":"x"}', b'{"born":-1}', b"\xff"]
)
def test_a_leave_that_can_not_be_read_changes_nothing(body: bytes) -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["shop", "books"])
        books = site.hosts[1]
        path = f"/v1/Instances.Leave/{books.backend.instance}"
        assert (await books.send_control("POST", path, body)).status == 400
        assert books.sidecar.backend.accepts

    run_scenario(scenario)


RECORDED: list[tuple[list[Process], Process, bool]] = [
    # departures in turn; a process; whether it has left
    ([], (0, "a"), False),
    ([(0, "a")], (0, "a"), True),
    ([(5, "a")], (4, "a"), True),
    ([(5, "a")], (6, "a"), False),
    ([(5, "a"), (3, "a")], (5, "a"), True),
    ([(5, "a")], (5, "b"), False),
    ([(born, f"i{born}") for born in range(9)], (8, "i8"), True),
    ([(born, f"i{born}") for born in reversed(range(9))], (8, "i8"), True),
]


@pytest.mark.parametrize(("recorded", "process", "expected"), RECORDED)
def test_departures_cover_earlier_processes_of_the_instance_and_stay_bounded(
    recorded: list[Process], process: Process, expected: bool
) -> None:
    departures = Departures(recorded)
    assert departures.covers(process) is expected
    assert len(departures.list_processes()) <= MAX_DEPARTURES
    assert not any(departures.record(known) for known in departures.list_processes())
