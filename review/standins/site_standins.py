"""Stand-ins for a small deployment: store, backend servers, clients, node processes.

Only the standard library is used. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import shutil
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
GRACE_S = 6.0
CONTACT_S = 3.0
HELD, BROKEN, NOT_RUNNABLE = 0, 1, 2
"""Exit statuses of a script."""
SETTINGS = """\
[node]
id = "{id}"
zone = "{zone}"
service = "{service}"
clients = "{clients}"
peers = "{peers}"
readiness = "{readiness}"
announcements = "{announcements}"
backend = "{backend}"
metrics_port = {metrics_port}
is_first_start = {first_start}

[store]
address = "{store}"

[stopping]
drain_s = {drain_s}
grace_s = {grace_s}

[retries]
ratio = 0.2
slack = 48
window_s = 10
"""
"""The settings that ``deploy/node.toml.template`` renders."""
ROUTES = {
    "read": {
        "host": "books.example",
        "prefix": "/read/",
        "kind": "safe",
        "service": "books",
        "timeout_s": 5.0,
        "target_latency_s": 1.2,
        "max_attempts": 2,
        "priority": 0,
    }
}

_reserved: list[socket.socket] = []


def reserve_address() -> str:
    """Return a free loopback address, bound but not listening until the end."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((HOST, 0))
    _reserved.append(reserved)
    return f"{HOST}:{reserved.getsockname()[1]}"


def split(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Record:
    """The lines of ``record.txt``, with seconds since the start of the script."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


@dataclass(slots=True)
class Message:
    """A parsed HTTP message."""

    start: str
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


async def read_message(
    reader: asyncio.StreamReader, pause_s: float = 0.0, step: int = 65536
) -> Message | None:
    """Read a message whose body has a length; None if the connection ends before it.

    Parameters
    ----------
    pause_s, step : float, int
        Pause after each ``step`` bytes of the body, for a slow reader.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    missing = int(headers.get("content-length", 0))
    parts = []
    while missing:
        try:
            data = await reader.read(min(step, missing))
        except ConnectionError:
            data = b""
        if not data:
            return Message(lines[0], headers, b"".join(parts), False)
        parts.append(data)
        missing -= len(data)
        if pause_s and missing:
            await asyncio.sleep(pause_s)
    return Message(lines[0], headers, b"".join(parts))


def render(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message in wire format."""
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store; each address of it can be turned away on its own."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.addresses: list[str] = []
        self.down: set[str] = set()
        """Addresses at which the store answers 503 to everything."""
        self.answer_s = 0.004
        """Time in which the store answers."""
        self._changed = asyncio.Event()

    async def listen(self) -> str:
        """Listen at one more address, and return it."""
        address = reserve_address()

        async def serve(reader, writer) -> None:
            request = await read_message(reader)
            if request is not None:
                await asyncio.sleep(self.answer_s)
                status, body = 503, {}
                if address not in self.down:
                    status, body = await self._answer(request)
                    if address in self.down:
                        status, body = 503, {}
                data = json.dumps(body).encode()
                headers = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(data)),
                    "Connection": "close",
                }
                writer.write(render(f"HTTP/1.1 {status} X", headers, data))
            writer.close()

        await asyncio.start_server(serve, *split(address))
        self.addresses.append(address)
        return address

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row."""
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = value, self.version
        self.history.append((self.version, table, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def put_config(self, number: int, routes: dict, **limits: float) -> None:
        """Write the operator's configuration."""
        config = {
            "version": f"r{number}",
            "routes": routes,
            "services": {},
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3.0,
                "idle_timeout_s": 15.0,
            }
            | limits,
        }
        self.put("op", "config", json.dumps(config).encode())

    async def _answer(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.start.split(" ", 2)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-get":
            limit = int(query.get("limit", 500))
            found = [
                self._row(table, key, value, version)
                for (table, key), (value, version) in sorted(self.rows.items())
                if table == query["table"] and key >= query.get("from", "")
            ]
            return 200, {
                "rows": found[:limit],
                "has_more": len(found) > limit,
                **self._stamp(),
            }
        if url.path == "/v1/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/v1/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> dict:
        after, ends_at = (
            int(query["after"]),
            time.monotonic() + int(query.get("wait_ms", 0)) / 1000,
        )
        while True:
            rows = [
                self._row(table, key, value, version)
                for version, table, key, value in self.history
                if version > after and table == query["table"]
            ]
            remaining_s = ends_at - time.monotonic()
            if rows or remaining_s <= 0:
                return {"rows": rows, **self._stamp()}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expected", ()):
            value, version = self.rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["ver"]:
                current = self._row(row["table"], row["key"], value, version)
                return 412, {"rows": [current] if version else [], **self._stamp()}
        for row in body.get("puts", ()):
            value = base64.b64decode(row["value"])
            self.record.write(f"store: row {row['table']}/{row['key']} = {value!r}")
            self.put(row["table"], row["key"], value)
        for row in body.get("remove", ()):
            self.put(row["table"], row["key"], None)
        return 200, self._stamp()

    def _stamp(self) -> dict:
        return {"ver": self.version, "now_s": time.monotonic()}

    def _row(self, table: str, key: str, value: bytes | None, version: int) -> dict:
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}


@dataclass(slots=True)
class Run:
    """A request that a backend server ran."""

    request_id: str
    at: float
    instance: str
    start: str
    caller: str = ""
    """Service that the node names as the one on the machine of the request."""
    body: bytes = b""
    was_answered: bool = False


@dataclass
class Backend:
    """A backend server: runs requests, and says of itself what the pages say."""

    service: str
    instance: str
    zone: str
    record: Record
    slots: int = 20
    work_s: float = 0.02
    make_body: Callable[[str], bytes] = lambda request_id: request_id.encode()
    address: str = field(default_factory=reserve_address)
    control: str = ""
    state: str = "ready"
    runs: list[Run] = field(default_factory=list)
    left_acknowledged_at: float | None = None
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    _sequence: int = 0
    _server: asyncio.Server | None = None
    _beats: asyncio.Task | None = None

    async def open(self) -> None:
        """Listen, and begin to send heartbeats to ``control``."""
        self._server = await asyncio.start_server(self._serve, *split(self.address))
        self._beats = asyncio.create_task(self._beat())

    async def exit(self) -> None:
        """End like a process that exits."""
        self._beats.cancel()
        self._server.close()
        self.record.write(f"backend {self.instance}: exits")

    def stop_beats(self) -> None:
        """Send no more heartbeats."""
        self._beats.cancel()

    async def leave_persistently(self, pause_s: float) -> None:
        """Announce that it leaves until that is acknowledged."""
        while not await self.leave():
            await asyncio.sleep(pause_s)

    async def leave(self) -> bool:
        """Announce that it leaves, and return whether that was acknowledged."""
        self._beats.cancel()
        path = f"/v1/Instances.Leave/{self.instance}"
        body = json.dumps({"born": self.born}).encode()
        status = await post(self.control, path, body)
        is_acknowledged = status is not None and 200 <= status < 300
        if is_acknowledged:
            self.left_acknowledged_at = self.record.now()
        self.record.write(f"backend {self.instance}: leave answered with {status}")
        return is_acknowledged

    async def beat_once(self) -> int | None:
        """Send one heartbeat, and return the status of the answer."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_s": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        path = f"/v1/Instances.Heartbeat/{self.instance}"
        return await post(self.control, path, json.dumps(body).encode())

    async def _beat(self) -> None:
        while True:
            status = await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.1)

    async def _serve(self, reader, writer) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_whole:
                    break
                await self._handle(request, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _handle(self, request: Message, writer) -> None:
        request_id = request.headers.get("cassiahatch-request-id", "")
        headers = {
            "Cassiahatch-Request-Id": request_id,
            "Cassiahatch-Instance-Id": self.instance,
            "Keep-Alive": "timeout=10",
        }
        expected = request.headers.get("cassiahatch-expect-instance", self.instance)
        if expected != self.instance:
            self.record.write(f"backend {self.instance}: 421 to {request_id}")
            headers["Content-Length"] = "0"
            writer.write(render("HTTP/1.1 421 Misdirected Request", headers))
            return
        caller = request.headers.get("cassiahatch-caller-service", "")
        run = Run(
            request_id,
            self.record.now(),
            self.instance,
            request.start,
            caller,
            request.body,
        )
        self.runs.append(run)
        self.record.write(
            f"backend {self.instance}: runs {request_id} of {caller}, "
            f"{len(request.body)} bytes of body"
        )
        await asyncio.sleep(self.work_s)
        body = self.make_body(request_id)
        headers["Cassiahatch-Server-Stamp"] = STAMP
        headers["Content-Length"] = str(len(body))
        writer.write(render("HTTP/1.1 200 OK", headers, body))
        await writer.drain()
        run.was_answered = True


class Node:
    """A node process, run with the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, backend: Backend, store: str, record: Record
    ) -> None:
        self.name = name
        self.backend = backend
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix=f"review-{name}-"))
        self._fields = {
            "id": name,
            "zone": zone,
            "service": backend.service,
            "backend": backend.address,
            "store": store,
            "metrics_port": split(reserve_address())[1],
            "drain_s": DRAIN_S,
            "grace_s": GRACE_S,
        }
        for field_name in ("clients", "peers", "readiness", "announcements"):
            self._fields[field_name] = reserve_address()
        backend.control = self._fields["announcements"]
        self.clients = self._fields["clients"]
        self.started_at = 0.0
        self._starts = 0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start a process of the node."""
        path = self._folder / "local.toml"
        first_start = "true" if not self._starts else "false"
        path.write_text(SETTINGS.format(**self._fields, first_start=first_start))
        deps = ROOT / "target" / "deps"
        if not (deps / "cassiahatch_node").is_dir():
            print("target/deps is missing: run the build of the deploy file first")
            sys.exit(NOT_RUNNABLE)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {"PYTHONPATH": str(deps), "CASSIAHATCH_NODE_FILE": str(path)}
        with (self._folder / "log.txt").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "cassiahatch_node.mesh", str(path),
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        self._starts += 1
        self.started_at = self._record.now()
        self._record.write(f"node {self.name}: started, process {self.process.pid}")

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the node says that it is ready."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if await self.is_ready():
                self._record.write(f"node {self.name}: ready")
                return
            await asyncio.sleep(0.1)
        print(f"node {self.name} is not ready")
        sys.exit(NOT_RUNNABLE)

    async def is_ready(self) -> bool:
        """Return whether the node answers its readiness probe with 200."""
        address = self._fields["readiness"]
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*split(address))
                request = render("GET /v1/readiness HTTP/1.1", {"Host": address})
                writer.write(request)
                answer = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.start.split()[1] == "200"

    async def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._record.write(f"node {self.name}: signal {number}")
        self.process.send_signal(number)

    async def wait_end(self, timeout_s: float = 10.0) -> int:
        """Wait until the process ends, and return its status."""
        async with asyncio.timeout(timeout_s):
            status = await self.process.wait()
        self._record.write(f"node {self.name}: ended with {status}")
        return status

    async def end(self) -> None:
        """Kill the process if it still runs, and remove its folder."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


async def post(address: str, path: str, body: bytes) -> int | None:
    """Send a body, and return the status of an answer that comes within a second."""
    headers = {
        "Host": address,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
    }
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*split(address))
            writer.write(render(f"POST {path} HTTP/1.1", headers, body))
            answer = await read_message(reader)
            writer.close()
    except (OSError, TimeoutError):
        return None
    return int(answer.start.split()[1]) if answer is not None else None


async def exchange(
    address: str,
    target: str,
    request_id: str,
    deadline_ms: int = 5000,
    host: str = "books.example",
    method: str = "GET",
) -> Message | None:
    """Send a request on a connection of its own; None if no answer came."""
    headers = {
        "Host": host,
        "Cassiahatch-Request-Id": request_id,
        "Cassiahatch-Deadline-Ms": str(deadline_ms),
    }
    if method == "POST":
        headers["Content-Length"] = "0"
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(*split(address))
            try:
                writer.write(render(f"{method} {target} HTTP/1.1", headers))
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


async def start_site(
    record: Record, nodes: list[Node], backends: list[Backend], routes: dict
) -> Store:
    """Start a node beside each backend server, and the store; wait until links stand."""
    store = Store(record)
    store.put_config(1, routes)
    for number, backend in enumerate(backends, 1):
        address = await store.listen()
        node = Node(f"side-{number}", backend.zone, backend, address, record)
        nodes.append(node)
        await node.start()
    for node in nodes:
        await node.wait_ready()
        await node.backend.open()
    await asyncio.sleep(4.0)
    return store


async def open_pair(record: Record, nodes: list[Node]) -> tuple[Store, list[Backend]]:
    """Start two nodes of one zone, each beside a backend server of ``books``."""
    backends = [Backend("books", f"i-{number}", "z1", record) for number in (1, 2)]
    return await start_site(record, nodes, backends, ROUTES), backends


async def send_steadily(node: Node, record: Record, statuses: dict[str, str]) -> None:
    """Send 20 requests a second to a node until cancelled."""
    for number in itertools.count(len(statuses)):
        request_id = f"{node.name}-{number:05d}"

        async def send(request_id: str = request_id) -> None:
            answer = await exchange(node.clients, "/read/1", request_id)
            status = answer.start.split()[1] if answer is not None else "none"
            statuses[request_id] = status
            record.write(f"client: {request_id} answered with {status}")

        statuses[request_id] = "open"
        record.write(f"client: {request_id} sent to {node.name}")
        asyncio.create_task(send())
        await asyncio.sleep(0.05)


def judge_drain(
    record: Record, leaver: Backend, node: Node, in_touch_from: float, drain_s: float
) -> int:
    """Return whether requests reached a backend server after its drain period.

    Only those count that the node took while it was in touch.
    """
    left_at = leaver.left_acknowledged_at
    late = [
        run
        for run in leaver.runs
        if run.at > max(in_touch_from + 0.5, left_at + drain_s)
    ]
    record.write(
        f"{len(late)} requests reached {leaver.instance} later than {drain_s} s after "
        f"its leave was acknowledged at {left_at:.3f}, sent by {node.name}, in touch "
        f"since {in_touch_from:.3f}"
    )
    return BROKEN if late else HELD


def run_script(main: Callable[[Record, bool], object], folder: Path) -> None:
    """Run a case and exit with its status; ``TROUBLE=0`` leaves the disruption out."""
    nodes: list[Node] = []
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")

    async def guarded() -> int:
        try:
            async with asyncio.timeout(110):
                return await main(record, has_trouble, nodes)
        except Exception as error:
            record.write(f"could not run: {error!r}")
            return NOT_RUNNABLE
        finally:
            for node in nodes:
                await node.end()

    loop = asyncio.new_event_loop()
    status = loop.run_until_complete(guarded())
    record.write({0: "rule held", 1: "rule broken", 2: "could not run"}[status])
    # Ends without the clean-up of connections that are still open.
    os._exit(status)
