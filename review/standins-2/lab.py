"""Stand-ins for the platform's store, backend servers and clients, and node processes.

Only the standard library is used. Everything but the nodes runs in the process of the
script; a node is started with the ``run`` line of ``deploy/system.toml`` on settings that
are rendered from the template named there.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import re
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
DESCRIPTORS = 8192
"""Soft limit that the script asks for, for its own sockets and those of the nodes. It is
lower where the hard limit is."""
MAX_HEADER_LINES = 10_000


class CannotRunError(Exception):
    """The case could not be played, so that it shows nothing."""


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        at = time.monotonic() - self._started_at
        self._file.write(f"{at:9.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def pick_hosts(count: int) -> list[str]:
    """Return loopback addresses, one for each machine, that nothing listens on."""
    generator = random.SystemRandom()
    while True:
        net = f"127.{generator.randint(20, 250)}.{generator.randint(1, 250)}"
        hosts = [f"{net}.{number}" for number in range(1, count + 1)]
        if all(_is_free(host, 9464) for host in hosts):
            return hosts


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def reserve(host: str) -> str:
    """Return ``host:port`` with a port that is free there."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def split(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


# HTTP


@dataclass(slots=True)
class Message:
    """A request or a response."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """Return a header field, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ", 1)[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ", 2)[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with its body; None if the connection ends before its head.

    Raises
    ------
    EOFError
        If the connection ends within the message.
    """
    start = await reader.readline()
    if not start:
        return None
    headers: list[tuple[str, str]] = []
    for _ in range(MAX_HEADER_LINES):
        line = await reader.readline()
        if line in (b"\r\n", b"\n"):
            break
        if not line:
            raise EOFError("the connection ended within a head")
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))
    message = Message(start.decode("latin-1").strip(), headers)
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    elif length := int(message.get("content-length") or 0):
        message.body = await reader.readexactly(length)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while size := int((await reader.readline()).split(b";")[0] or b"0", 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    while (await reader.readline()) not in (b"\r\n", b"\n", b""):
        pass
    return b"".join(parts)


def render_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return an encoded request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def render_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an encoded response."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(
    address: str, data: bytes, timeout_s: float = 5.0
) -> Message | None:
    """Send a request on a new connection and return the response; None if it is cut."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split(address))
            try:
                writer.write(data)
                return await read_message(reader)
            finally:
                writer.close()
    except (OSError, EOFError, asyncio.IncompleteReadError):
        return None


# The platform's store


class Store:
    """The platform's tables, with a steady clock and no faults unless told."""

    def __init__(self, record: Record, host: str) -> None:
        self._record = record
        self.address = reserve(host)
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._changes: list[tuple[int, str, str, str]] = []
        self._version = 1
        self.era: int | None = None
        """Number in the header ``Store-Era``; None if the store sends none."""
        self._changed = asyncio.Condition()
        self.before_answer: Callable[[Message], Awaitable[bool]] | None = None
        """Called with each request; if it returns False the connection is closed."""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, *split(self.address))

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    async def put(self, table: str, key: str, value: bytes, part: str = "") -> int:
        """Write a row as the operator does, and return its version."""
        async with self._changed:
            version = self._set(table, part, key, base64.b64encode(value).decode())
            self._changed.notify_all()
        return version

    async def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration; its acknowledgement is the return of this call."""
        await self.put("op", "config", json.dumps(configuration).encode())
        self._record.note(f"operator: {configuration['version']} is acknowledged")

    def copy(self) -> tuple[Any, ...]:
        """Return a copy of the rows and of the history."""
        return dict(self.rows), self._version, list(self._changes)

    async def return_from(self, copy: tuple[Any, ...]) -> None:
        """Come back from an older copy: what was written since is gone."""
        async with self._changed:
            rows, self._version, changes = copy
            self.rows, self._changes = dict(rows), list(changes)
            self.era = (self.era or 0) + 1
            self._changed.notify_all()
        self._record.note(f"store: comes back from an older copy, era {self.era}")

    def read(self, table: str, key: str) -> Any:
        """Return the decoded JSON value of a row, or None."""
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def _set(self, table: str, part: str, key: str, value: str | None) -> int:
        self._version += 1
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = value, self._version
        self._changes.append((self._version, table, part, key))
        return self._version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request)
                hook = self.before_answer
                if hook is not None and not await hook(request):
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query))
        match request.method, url.path:
            case "POST", "/v1/rows-tx":
                status, body = await self._transact(json.loads(request.body))
            case "GET", "/v1/rows-get":
                status, body = 200, self._get(query)
            case "GET", "/v1/rows-feed":
                status, body = 200, await self._feed(query)
            case _:
                status, body = 404, {}
        body = {"ver": self._version, "now_s": time.monotonic(), **body}
        headers = {"Content-Type": "application/json"}
        if self.era is not None:
            headers["Store-Era"] = str(self.era)
        return render_response(status, headers, json.dumps(body).encode())

    async def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        found = [self._describe(entry) for entry in body.get("expected", ())]
        for entry, row in zip(body.get("expected", ()), found, strict=True):
            if entry["ver"] != row["ver"]:
                return 412, {"rows": [row for row in found if row["ver"]]}
        async with self._changed:
            for entry in body.get("puts", ()):
                self._set(
                    entry["table"], entry.get("part", ""), entry["key"], entry["value"]
                )
            for entry in body.get("remove", ()):
                self._set(entry["table"], entry.get("part", ""), entry["key"], None)
            self._changed.notify_all()
        return 200, {}

    def _describe(self, entry: dict[str, Any]) -> dict[str, Any]:
        table, part, key = entry["table"], entry.get("part", ""), entry["key"]
        value, version = self.rows.get((table, part, key), ("", 0))
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": version,
        }

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        table, part = query["table"], query.get("part", "")
        keys = sorted(k for t, p, k in self.rows if (t, p) == (table, part))
        keys = [key for key in keys if key >= query.get("from", "")]
        limit = min(500, int(query.get("limit", 500)))
        rows = [
            self._describe({"table": table, "part": part, "key": key})
            for key in keys[:limit]
        ]
        return {"rows": rows, "has_more": len(keys) > limit}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        async with self._changed:
            while True:
                keys = {
                    (p, k) for v, t, p, k in self._changes if t == table and v > after
                }
                rest_s = ends_at - time.monotonic()
                if keys or rest_s <= 0:
                    break
                try:
                    async with asyncio.timeout(rest_s):
                        await self._changed.wait()
                except TimeoutError:
                    pass
        rows = [
            self._describe({"table": table, "part": part, "key": key})
            for part, key in keys
        ]
        for row in rows:
            row["tombstone"] = row["ver"] == 0
        return {"rows": sorted(rows, key=lambda row: row["ver"])}


# Backend servers


class Upstream:
    """A sound backend server beside a node, which counts what it runs."""

    def __init__(
        self,
        record: Record,
        service: str,
        instance: str,
        address: str,
        control: str,
        zone: str,
        slots: int = 64,
        work_s: float = 0.02,
        heartbeat_s: float = 1.5,
    ) -> None:
        self.record = record
        self.service, self.instance = service, instance
        self.address, self.control, self.zone = address, control, zone
        self.slots, self.work_s, self.heartbeat_s = slots, work_s, heartbeat_s
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs: list[tuple[float, str, Message]] = []
        """Monotonic seconds, request id and request of each run."""
        self.make_body: Callable[[Message], bytes] = lambda _: b"ok " * 10
        self.verbose = True
        self._sequence = itertools.count(1)
        self._tasks: list[asyncio.Task[Any]] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        await self.listen()
        self._tasks.append(asyncio.create_task(self._beat()))

    async def listen(self) -> None:
        """Listen without a word to the node."""
        self._server = await asyncio.start_server(self._serve, *split(self.address))

    def close(self) -> None:
        """End as a crash does: nothing is said, and all connections are reset."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        for task in self._tasks:
            task.cancel()

    async def heartbeat(self, **overrides: Any) -> int | None:
        """Send a heartbeat, and return the status; None without an answer."""
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_s": 0,
            "sequence": next(self._sequence),
            "born": self.born,
        } | overrides
        return await self._say("Heartbeat", body)

    async def leave(self) -> int | None:
        """Say that it leaves, and return the status; None without an answer."""
        return await self._say("Leave", {"born": self.born})

    async def _say(self, word: str, body: dict[str, Any]) -> int | None:
        data = render_request(
            "POST",
            f"/v1/Instances.{word}/{self.instance}",
            {"Host": self.control, "Content-Type": "application/json"},
            json.dumps(body).encode(),
        )
        try:
            answer = await exchange(self.control, data, 1.0)
        except TimeoutError:
            return None
        return None if answer is None else answer.status

    async def _beat(self) -> None:
        while True:
            await self.heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self.answer(request))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request: Message) -> bytes:
        """Run a request and return the response."""
        request_id = request.get("cassiahatch-request-id") or ""
        expected = request.get("cassiahatch-expect-instance")
        if expected not in (None, self.instance):
            return render_response(
                421, {"Cassiahatch-Instance-Id": self.instance}, b""
            )
        self.runs.append((time.monotonic(), request_id, request))
        if self.verbose:
            self.record.note(f"{self.instance}: runs {request_id}")
        await asyncio.sleep(self.work_s)
        return self.render(request, 200)

    def render(self, request: Message, status: int) -> bytes:
        """Return the response of a run."""
        headers = {
            "Cassiahatch-Request-Id": request.get("cassiahatch-request-id") or "",
            "Cassiahatch-Server-Stamp": f"stamp.{self.instance}",
            "Keep-Alive": "timeout=10",
        }
        return render_response(status, headers, self.make_body(request))


# Nodes


class Node:
    """A node process with the settings that the platform would place."""

    def __init__(
        self, record: Record, folder: Path, host: str, node_id: str, fields: dict
    ) -> None:
        self._record = record
        self._folder = folder
        self.node_id = node_id
        listen = {
            name: reserve(host) for name in ("inbound", "outbound", "ready", "control")
        }
        self.fields: dict[str, Any] = {
            "node_id": node_id,
            "ip": host,
            "first_start": True,
            "app_addr": reserve(host),
            "listen": listen,
        } | fields
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{node_id}.log"

    @property
    def clients(self) -> str:
        """Address for requests of clients."""
        return self.fields["listen"]["outbound"]

    @property
    def control(self) -> str:
        """Address for announcements of the backend server."""
        return self.fields["listen"]["control"]

    @property
    def app(self) -> str:
        """Address of the backend server."""
        return self.fields["app_addr"]

    async def start(self, **overrides: Any) -> None:
        """Start the process, with the settings as they are now."""
        self.fields |= overrides
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["sidecar"]
        path = self._folder / f"{self.node_id}.toml"
        template = (REPOSITORY / role["template"]).read_text()
        path.write_text(render_template(template, self.fields))
        words = role["run"].split()
        words = [sys.executable if word == "python3" else word for word in words]
        words = [
            str(path) if word == "/etc/cassiahatch/local.toml" else word
            for word in words
        ]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["CASSIAHATCH_NODE_FILE"] = str(path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )
        self._record.note(f"{self.node_id}: process {self.process.pid} started")

    async def wait_ready(self) -> None:
        """Wait until the node answers the readiness probe with 200."""
        data = render_request("GET", "/v1/readiness", {"Host": "node"})
        ends_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < ends_at:
            try:
                answer = await exchange(self.fields["listen"]["ready"], data, 1.0)
            except TimeoutError:
                answer = None
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.node_id} did not become ready")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._record.note(f"{self.node_id}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def read_memory_mb(self, name: str = "VmRSS") -> float:
        """Return a figure of the process's memory in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(rf"{name}:\s+(\d+)", text)[1]) / 1024

    def read_events(self) -> list[dict[str, Any]]:
        """Return the log lines that are JSON."""
        events = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                events.append(json.loads(line))
            except ValueError:
                continue
        return events


def render_template(text: str, fields: dict[str, Any]) -> str:
    """Render the settings as DEPLOY.md says, as far as the template needs it."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        kind, name, body = match[1], match[2], match[3]
        is_there = find(name) not in (None, False, [], {})
        return body if is_there is (kind == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

    def value(match: re.Match[str]) -> str:
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


SITE_BOUNDS = {
    "drain_s": 2.5,
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 109,
}
"""Bounds of demands/kalighat-mesh-grown, on which all the cases are."""


@dataclass
class Site:
    """A store, machines with their nodes and backend servers, and the record."""

    record: Record
    folder: Path
    store: Store
    hosts: list[str]
    nodes: list[Node] = field(default_factory=list)
    upstreams: list[Upstream] = field(default_factory=list)

    def add_node(self, service: str, zone: str = "z-1", **bounds: Any) -> Node:
        """Add a machine; its number is its place in ``nodes``."""
        number = len(self.nodes)
        node = Node(
            self.record,
            self.folder,
            self.hosts[number],
            f"side-{zone}-{number + 1}",
            {
                "zone": zone,
                "service": service,
                "platform": {"address": self.store.address},
                "bounds": SITE_BOUNDS | bounds,
            },
        )
        self.nodes.append(node)
        return node

    def make_upstream(self, node: Node, **options: Any) -> Upstream:
        """Return a backend server for a node's machine."""
        upstream = Upstream(
            self.record,
            node.fields["service"],
            f"i-{len(self.upstreams) + 1:04d}",
            node.app,
            node.control,
            node.fields["zone"],
            **options,
        )
        self.upstreams.append(upstream)
        return upstream


def find_route(name: str, service: str, **options: Any) -> dict[str, Any]:
    """Return a route of a configuration, with host ``h.example``."""
    return {
        "host": "h.example",
        "prefix": f"/{name}/",
        "service": service,
        "kind": "safe",
        "timeout_s": 5.0,
        "target_latency_s": 1.5,
        "max_attempts": 2,
        "priority": 1,
    } | options


def make_configuration(version: int, routes: dict, **options: Any) -> dict[str, Any]:
    """Return a configuration with the usual limits."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": {},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_s": 3.0,
            "idle_timeout_s": 15.0,
        },
    } | options


def run_case(folder: Path, hosts: int, play: Callable[..., Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    ``play`` is called with the site and whether to cause the disruption, and returns
    whether the rule held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < DESCRIPTORS and hard != resource.RLIM_INFINITY:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, DESCRIPTORS), hard))
    elif soft < DESCRIPTORS:
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    record = Record(folder / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as name:
            addresses = pick_hosts(hosts + 1)
            store = Store(record, addresses[-1])
            site = Site(record, Path(name), store, addresses[:-1])
            try:
                async with asyncio.timeout(110):
                    await store.start()
                    return 0 if await play(site, has_trouble) else 1
            except (CannotRunError, TimeoutError, OSError) as error:
                record.note(f"the case could not run: {error!r}")
                return 2
            finally:
                for upstream in site.upstreams:
                    upstream.close()
                for node in site.nodes:
                    await node.kill()
                store.close()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for node in site.nodes:
                        if node.log_path.exists():
                            Path(keep).mkdir(parents=True, exist_ok=True)
                            (Path(keep) / node.log_path.name).write_bytes(
                                node.log_path.read_bytes()
                            )

    code = asyncio.run(main())
    record.note(f"exit {code}")
    record.close()
    sys.exit(code)
