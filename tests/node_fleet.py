"""A fleet of node processes, their clients, and series of signals and faults."""

from __future__ import annotations

import asyncio
import signal
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from operator import itemgetter
from pathlib import Path

from mesh_site import Backend, MessageReader, Site, make_headers, render_request, send
from test_mesh_process import NodeProcess

GRACE_S = 6.0
TIMEOUT_S = 3.0
"""Timeout of the routes."""
SLOTS = 60
CLIENTS_PER_NODE = 8
SLACK_S = 0.25
"""Time from the last byte of a request to the loss of its connection from which on the
request may have been read."""


@dataclass(frozen=True)
class Send:
    """Send a signal to a node."""

    number: signal.Signals
    node: int = 0


@dataclass(frozen=True)
class Configure:
    """Write another configuration to the store."""

    timeout_s: float


@dataclass(frozen=True)
class Store:
    """Change how the store behaves."""

    changes: dict[str, object]


@dataclass(frozen=True)
class Announce:
    """Announce the state of a node's backend server, and wait for no acknowledgement."""

    state: str
    node: int = 0


Step = Send | Configure | Store | Announce


@dataclass
class Outcome:
    """One request as its client saw it."""

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    """0 if the connection ended without a whole answer."""


@dataclass
class Client:
    """Sends requests one after another on kept connections until its node is gone."""

    name: str
    address: str
    method: str
    target: str
    pause_s: float
    outcomes: list[Outcome] = field(default_factory=list)

    async def run(self) -> None:
        host, port = self.address.split(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except ConnectionError:
                return
            try:
                while await self._exchange(MessageReader(reader, False), writer):
                    await asyncio.sleep(self.pause_s)
            except ConnectionError:
                pass
            writer.close()
            await asyncio.sleep(0.01)

    async def _exchange(
        self, messages: MessageReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request, and tell whether the connection can be used again."""
        clock = asyncio.get_running_loop()
        request_id = f"{self.name}-{len(self.outcomes)}"
        headers = make_headers(request_id, 4000)
        writer.write(render_request(self.method, self.target, headers))
        outcome = Outcome(request_id, clock.time())
        self.outcomes.append(outcome)
        answer = None
        with suppress(ConnectionError):
            answer = await messages.read()
        outcome.ended_at = clock.time()
        if answer is None:
            return False
        outcome.status = answer.status
        return answer.headers.get("connection") != "close"


@dataclass(frozen=True)
class Series:
    """Steps by their seconds from the first request on, and what the clients send."""

    steps: tuple[tuple[float, Step], ...]
    work_s: float = 0.1
    method: str = "GET"
    target: str = "/read/1"
    pause_s: float = 0.05
    nodes: int = 2
    ends_within_s: float = GRACE_S
    """Longest time from SIGTERM to the end of a process."""


@dataclass
class Fleet:
    """Node processes of one service, their backend servers and the store."""

    site: Site
    nodes: list[NodeProcess]
    told_at: dict[int, float] = field(default_factory=dict)
    """Times at which nodes were told to stop, by their number."""
    ended_at: dict[int, float] = field(default_factory=dict)
    endings: list[asyncio.Task] = field(default_factory=list)

    async def open_clients(self, series: Series) -> list[Client]:
        """Wait until each node reaches all backend servers, and return its clients."""
        clients = []
        for node in self.nodes:
            await node.announce(SLOTS)
        for number, node in enumerate(self.nodes):
            address = node.fields["clients"]
            async with asyncio.timeout(10):
                while not await reaches_all(address, self.nodes):
                    await asyncio.sleep(0.05)
            clients += [
                Client(
                    f"c{number}-{n}",
                    address,
                    series.method,
                    series.target,
                    series.pause_s,
                )
                for n in range(CLIENTS_PER_NODE)
            ]
        for node in self.nodes:
            node.backend.work_s = series.work_s
        return clients

    async def play(self, series: Series) -> None:
        """Take the steps of a series at their times."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        announcements = []
        for at_s, step in sorted(series.steps, key=itemgetter(0)):
            await asyncio.sleep(started_at + at_s - loop.time())
            match step:
                case Send(number, node):
                    if number == signal.SIGTERM:
                        self._tell(node)
                    if self.nodes[node].child.returncode is None:
                        self.nodes[node].child.send_signal(number)
                case Configure(timeout_s):
                    self.site.configure(make_routes(timeout_s))
                case Store(changes):
                    for name, value in changes.items():
                        setattr(self.site.store, name, value)
                case Announce(state, node):
                    sequence = 2 + len(announcements)
                    heartbeat = self.nodes[node].send_heartbeat(state, SLOTS, sequence)
                    announcements.append(asyncio.create_task(heartbeat))
        async with asyncio.timeout(2 * GRACE_S):
            await asyncio.gather(*self.endings)
        for task in announcements:
            task.cancel()
        await asyncio.gather(*announcements, return_exceptions=True)

    def _tell(self, node: int) -> None:
        if node not in self.told_at:
            self.told_at[node] = asyncio.get_running_loop().time()
            self.endings.append(asyncio.create_task(self._wait_for_end(node)))

    async def _wait_for_end(self, node: int) -> None:
        await self.nodes[node].child.wait()
        self.ended_at[node] = asyncio.get_running_loop().time()

    def find_faults(self, clients: list[Client], ends_within_s: float) -> list[str]:
        """Return what each of the sentences on planned work forbids."""
        arrived = {
            arrival.message.headers["cassiahatch-request-id"]
            for node in self.nodes
            for arrival in node.backend.arrivals
        }
        faults = []
        for outcome in (o for client in clients for o in client.outcomes if o.ended_at):
            took_s = outcome.ended_at - outcome.sent_at
            has_arrived = outcome.request_id in arrived
            is_own = outcome.status in (502, 504) and took_s < TIMEOUT_S - SLACK_S
            is_taken_back = outcome.status == 503 and has_arrived
            text = f"{outcome} took {took_s:.2f} s, arrived: {has_arrived}"
            if outcome.status == 0 and (has_arrived or took_s > SLACK_S):
                faults.append(f"lost: {text}")
            elif is_own or is_taken_back:
                faults.append(f"answered in place of its server: {text}")
        for node, told_at in self.told_at.items():
            status, took_s = (
                self.nodes[node].child.returncode,
                self.ended_at[node] - told_at,
            )
            if status or took_s > ends_within_s:
                faults.append(f"node {node} ended with {status} after {took_s:.2f} s")
        return faults


async def reaches_all(address: str, nodes: list[NodeProcess]) -> bool:
    """Return whether requests to a node reach the backend server of each node."""
    for node in nodes:
        node.backend.arrivals.clear()
        node.backend.work_s = 0.05
    headers = make_headers("first")
    answers = await asyncio.gather(
        *(send(address, "GET", "/read/1", headers) for _ in range(3 * len(nodes)))
    )
    has_all = all(node.backend.arrivals for node in nodes)
    return has_all and all(answer.status == 200 for answer in answers)


def make_routes(timeout_s: float) -> dict[str, dict]:
    route = {"service": "books", "timeout_s": timeout_s}
    return {
        "read": {"prefix": "/read/"} | route,
        "write": {"prefix": "/write/", "kind": "unsafe"} | route,
    }


async def run_series(series: Series, folder: Path) -> list[str]:
    """Play a series on node processes, and return the faults that clients saw."""
    log = (folder / "out.log").open("wb")
    async with (
        asyncio.timeout(60),
        Site(log.fileno()) as site,
        AsyncExitStack() as stack,
    ):
        site.configure(make_routes(TIMEOUT_S))
        fleet = Fleet(site, [])
        for number in range(series.nodes):
            node = NodeProcess(folder, site, Backend("books", f"i-{number}"))
            node.settings_path = folder / f"node-{number}.toml"
            node.fields |= {"id": f"p{number}", "grace": str(GRACE_S)}
            await node.backend.open(stack)
            node.backend.node_address = node.fields["clients"]
            node.backend.downstream_targets = {"/read/chain": ["/read/1", "/read/2"]}
            await node.start(log.fileno())
            fleet.nodes.append(node)
        try:
            clients = await fleet.open_clients(series)
            tasks = [asyncio.create_task(client.run()) for client in clients]
            await fleet.play(series)
            await asyncio.sleep(SLACK_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return fleet.find_faults(clients, series.ends_within_s)
        finally:
            for node in fleet.nodes:
                if node.child.returncode is None:
                    node.child.kill()
                await node.child.wait()
            log.close()
