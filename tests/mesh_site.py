"""A mesh in one process: a store, backend servers, sidecars and an HTTP client."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import socket
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from cassiahatch_node.mesh.root import Sidecar
from cassiahatch_node.mesh.settings import (
    AnswerSection,
    BodySection,
    MeshSettings,
    NodeSection,
    QuotaSection,
    RetrySection,
    RevocationSection,
    SpanSection,
    StoreSection,
)
from endless_answers import CHUNKED, ENDLESS_ANSWERS, MAX_ENDLESS_S, EndlessAnswer
from retry_oracle import RetryOracle

HOST = "127.0.0.1"
NOT_EXECUTED = "Cassiahatch-Not-Executed: 1\r\n"
STAMP = "3e1b.07.5a2"
"""Value of the header ``Cassiahatch-Server-Stamp`` in answers."""
RECEIVE_BUFFER_BYTES = 32_768
"""Receive buffer of a slow client, much smaller than by default."""
PORTS = range(10_000, 32_000)
"""Ports below the kernel's ephemeral range. The kernel could give an ephemeral port to
an outgoing connection between the port's choice here and its use."""
_port_random = random.Random(os.getpid())
_reserved_sockets: list[socket.socket] = []


def reserve_port() -> int:
    """Return a free port, reserved for this process and its children.

    A bound socket that does not listen reserves the port: the probes of other
    processes bind without SO_REUSEADDR and fail, while servers bind with it and
    succeed.
    """
    while True:
        port = _port_random.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            reserved.bind((HOST, port))
        except OSError:
            reserved.close()
            continue
        _reserved_sockets.append(reserved)
        return port


def release_ports() -> None:
    """Close the sockets that reserve ports, whose tests have ended."""
    while _reserved_sockets:
        _reserved_sockets.pop().close()


@dataclass(slots=True)
class Message:
    """A parsed HTTP request or response."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class MessageReader:
    """Reads HTTP requests or responses from a stream."""

    def __init__(self, stream: asyncio.StreamReader, is_request: bool) -> None:
        self._stream = stream
        request_parser = httptools.HttpRequestParser if is_request else None
        self._parser = (request_parser or httptools.HttpResponseParser)(self)
        self._is_request = is_request
        self._completed: list[Message] = []

    def on_message_begin(self) -> None:
        self._message = Message()

    def on_url(self, url: bytes) -> None:
        self._message.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._message.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._message.body += body

    def on_message_complete(self) -> None:
        if self._is_request:
            self._message.method = self._parser.get_method().decode()
        else:
            self._message.status = self._parser.get_status_code()
        self._completed.append(self._message)

    async def read(self) -> Message | None:
        while not self._completed:
            data = await self._stream.read(65536)
            if not data:
                return None
            self._parser.feed_data(data)
        return self._completed.pop(0)


class Store:
    """The platform's store, which can fail, lose answers and drop its history."""

    def __init__(self) -> None:
        self.address = f"{HOST}:{reserve_port()}"
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.oldest_version = 0
        self.era = 0
        """Number of times that it has come back from a copy."""
        self.era_header = ""
        """Header line sent in place of that of the era."""
        self.is_down = False
        self.refuses_reads = False
        """Tables can't be read, but transactions are applied."""
        self.loses_answers = False
        """Transactions are applied, but their answers are not sent."""
        self.delay_s = 0.0
        """Time that each request waits before it is handled."""
        self.endless_part = ""
        """Part of each answer that never ends, or empty: ``body``, ``chunks``,
        ``fields`` or ``trailers``."""
        self.max_sent_bytes = 0
        """Size of the longest endless answer when the node closed the connection."""
        self.request_count = 0
        self.feed_request_count = 0
        self.broken_keys: set[str] = set()
        """Keys of the rows whose values are not sent in valid base64."""
        self.on_page: Callable[[], None] = lambda: None
        """Called after each page of a read that has more pages."""
        self._changed = asyncio.Event()

    async def open(self, stack: AsyncExitStack) -> None:
        host, port = self.address.split(":")
        server = await asyncio.start_server(self._serve, host, int(port))
        stack.callback(server.close)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = value, self.version
        self.history.append((self.version, table, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def drop_history(self) -> None:
        """Drop the history, so that clients must read the table again."""
        self.oldest_version = self.version
        self.history.clear()

    def copy(self) -> tuple[dict, int]:
        """Return a copy to which the store can be rolled back."""
        return dict(self.rows), self.version

    def roll_back(self, copy: tuple[dict, int]) -> None:
        """Come back from a copy, in the next era."""
        self.rows, self.version = dict(copy[0]), copy[1]
        self.drop_history()
        self.oldest_version = 0
        self.era += 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        request = await MessageReader(reader, True).read()
        if request is None:
            writer.close()
            return
        self.request_count += 1
        await asyncio.sleep(self.delay_s)
        if self.endless_part:
            await self._send_endless(writer)
            return
        status, body = 503, {}
        is_write = "rows-tx" in request.target
        if not self.is_down and (is_write or not self.refuses_reads):
            status, body = await self._answer(request)
        if not (self.loses_answers and is_write):
            data = json.dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                f"{self.era_header if self.era_header else self._render_era()}"
                "Content-Type: application/json\r\n\r\n".encode()
                + data
            )
        writer.close()

    def _render_era(self) -> str:
        return f"Store-Era: {self.era}\r\n" if self.era else ""

    async def _send_endless(self, writer) -> None:
        preambles = {
            "body": b"HTTP/1.1 200 X\r\n\r\n",
            "chunks": f"HTTP/1.1 200 X\r\n{CHUNKED}\r\n".encode(),
            "fields": b"HTTP/1.1 200 X\r\n",
            "trailers": f"HTTP/1.1 200 X\r\n{CHUNKED}\r\n2\r\n{{}}\r\n0\r\n".encode(),
        }
        repeated = {
            "body": b" " * 65536,
            "chunks": b"10000\r\n" + b" " * 65536 + b"\r\n",
            "fields": b"X-More: more\r\n" * 4000,
            "trailers": b"X-More: more\r\n" * 4000,
        }
        writer.write(preambles[self.endless_part])
        part, sent_bytes = self.endless_part, 0
        try:
            while not writer.is_closing():
                writer.write(repeated[part])
                sent_bytes += len(repeated[part])
                self.max_sent_bytes = max(self.max_sent_bytes, sent_bytes)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match url.path:
            case "/v1/rows-get":
                rows = [
                    self._render(table, key, value, version)
                    for (table, key), (value, version) in sorted(self.rows.items())
                    if table == query["table"] and key >= query.get("from", "")
                ]
                limit = int(query.get("limit", 500))
                has_more = len(rows) > limit
                page = {
                    "rows": rows[:limit],
                    "has_more": has_more,
                    **self._render_version(),
                }
                if has_more:
                    self.on_page()
                return 200, page
            case "/v1/rows-feed":
                self.feed_request_count += 1
                return await self._feed(query)
            case "/v1/rows-tx":
                return self._transact(json.loads(request.body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            if not self.oldest_version <= after <= self.version:
                return 410, {}
            rows = [
                self._render(table, key, value, version)
                for version, table, key, value in self.history
                if version > after and table == query["table"]
            ]
            remaining_s = ends_at - asyncio.get_running_loop().time()
            if rows or remaining_s <= 0:
                return 200, {"rows": rows, **self._render_version()}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body["expected"]:
            current = self.rows.get((row["table"], row["key"]), (b"", 0))
            if current[1] != row["ver"]:
                rendered = self._render(row["table"], row["key"], *current)
                return 412, {
                    "rows": [rendered] if current[1] else [],
                    **self._render_version(),
                }
        for row in body.get("puts", ()):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", ()):
            self.put(row["table"], row["key"], None)
        return 200, self._render_version()

    def _render_version(self) -> dict:
        return {"ver": self.version, "now_s": asyncio.get_running_loop().time()}

    def _render(self, table: str, key: str, value: bytes | None, version: int) -> dict:
        if value is None:
            return {"table": table, "key": key, "ver": version, "tombstone": True}
        text = base64.b64encode(value).decode()
        if key in self.broken_keys:
            text = "broken=" + text
        return {"table": table, "part": "", "key": key, "value": text, "ver": version}


@dataclass(slots=True)
class Arrival:
    """A request received by a backend server."""

    instance: str
    message: Message
    at: float
    ran: bool = True
    ended_at: float | None = None
    """Time at which the work on it ended; None while it runs."""
    was_cancelled: bool = False
    """The connection was closed before the answer."""
    sent_bytes: int = 0
    """Bytes sent of an endless answer."""


class Backend:
    """A backend server that runs requests or injects faults.

    The next requests are handled as listed in ``script``, further ones at random as
    given by ``faults``.
    """

    def __init__(
        self,
        service: str,
        instance: str,
        slots: int = 4,
        oracle: RetryOracle | None = None,
    ) -> None:
        self._oracle = oracle or RetryOracle()
        self._random = random.Random(instance)
        self.downstream_targets: dict[str, list[str]] = {}
        """Targets that a run calls in turn, by path prefix of its request."""
        self.faults: dict[str, float] = {}
        """Share of the requests by action; the other requests are answered."""
        self.node_address = ""
        """Address of the node through which the runs make their calls."""
        self.service = service
        self.instance = instance
        self.slots = slots
        self.address = f"{HOST}:{reserve_port()}"
        self.arrivals: list[Arrival] = []
        self.work_s = 0.0
        """Duration of a run without its calls."""
        self.connections = 0
        self.running = 0
        self.max_running = 0
        self.sequence = 0
        self.born = 1000
        self.script: list[str] = []
        """Actions for the next requests; see ``_handle_request``."""
        self.make_body: Callable[[str], bytes] = self._make_short_body
        """Returns the body of the answer to a request, by its id."""
        self.answer_headers = ""
        """Header lines that it adds to each answer."""
        self.stated_pace = ""
        """Fourth figure of the load that it states, behind a comma; empty for none."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}
        """Last refusal sent on each connection."""
        self._server: asyncio.Server | None = None

    def _make_short_body(self, request_id: str) -> bytes:
        return f"{self.instance}:{request_id}".encode()

    async def open(self, stack: AsyncExitStack) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        stack.callback(self._server.close)

    def crash(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        messages = MessageReader(reader, True)
        try:
            while (message := await messages.read()) is not None:
                if not await self._handle_request(message, writer, reader):
                    break
        except (ConnectionError, httptools.HttpParserError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle_request(self, message: Message, writer, reader) -> bool:
        loop = asyncio.get_running_loop()
        arrival = Arrival(self.instance, message, loop.time())
        self.arrivals.append(arrival)
        action = self.script.pop(0) if self.script else self._draw_action()
        request_id = message.headers.get("cassiahatch-request-id", "")
        is_caused_by_retry = self._oracle.record_arrival(self.service, request_id)
        if message.headers.get("cassiahatch-expect-instance") != self.instance:
            action = "misdirected"
        if action == "old_refusal_first":
            writer.write(self._refusals.get(writer, b""))
            action = "answer"
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            if self.work_s:
                await asyncio.sleep(self.work_s)
            if action == "answer" and not await self._make_calls(
                arrival, is_caused_by_retry
            ):
                action = "fail"
        finally:
            self.running -= 1
            arrival.ended_at = loop.time()
        if reader.at_eof() or writer.is_closing():
            arrival.was_cancelled = True
            return False
        body = self.make_body(request_id) + message.body
        good = self._render(200, request_id, body)
        match action:
            case "answer":
                writer.write(good)
            case "misdirected":
                arrival.ran = False
                writer.write(self._render(421, request_id, b""))
            case "shed":
                arrival.ran = False
                refusal = self._render(503, request_id, b"", NOT_EXECUTED)
                self._refusals[writer] = refusal
                writer.write(refusal)
            case "ran_but_shed_without_id":
                writer.write(self._render(503, "", b"", NOT_EXECUTED, has_id=False))
            case "ran_but_misdirected_without_id":
                writer.write(self._render(421, "", b"", has_id=False))
            case "ran_but_200_not_executed":
                writer.write(self._render(200, request_id, body, NOT_EXECUTED))
            case _ if action.startswith("ran_but_"):
                writer.write(self._render(int(action[-3:]), request_id, b"busy"))
            case "fail":
                writer.write(self._render(500, request_id, b"broken"))
            case "hang":
                await asyncio.sleep(30)
            case "reset":
                writer.transport.abort()
                return False
            case "die":
                self.crash()
                return False
            case "cut":
                writer.write(good[:-3])
                writer.transport.abort()
                return False
            case "unframed":
                writer.write(self._render(200, request_id, body, framed=False))
                await writer.drain()
                return False
            case "unframed_reset":
                writer.write(self._render(200, request_id, body, framed=False))
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
                writer.transport.abort()
                return False
            case "extra":
                writer.write(good + self._render(200, request_id, b"extra"))
            case "late_extra":
                writer.write(good)
                await writer.drain()
                await asyncio.sleep(0.02)
                writer.write(self._render(200, request_id, b"extra"))
            case "stray_first":
                writer.write(self._render(200, "other", b"other's") + good)
            case "other_id":
                writer.write(self._render(200, "other", body))
                writer.transport.abort()
            case "garbage":
                writer.write(b"\0\1\2 this is no HTTP\r\n\r\n")
            case "unstamped":
                writer.write(self._render(200, request_id, body, stamp=False))
            case "encoded":
                header = "Content-Encoding: gzip\r\n"
                writer.write(self._render(200, request_id, body, header))
            case "close":
                header = "Connection: close\r\n"
                writer.write(self._render(200, request_id, body, header))
                return False
            case "silent":
                return True
            case _ if action in ENDLESS_ANSWERS:
                await self._send_endless(
                    arrival, writer, ENDLESS_ANSWERS[action], request_id
                )
                return False
        return True

    async def _send_endless(
        self, arrival: Arrival, writer, endless: EndlessAnswer, request_id: str
    ) -> None:
        """Send until the node closes the connection or ``MAX_ENDLESS_S`` has passed."""
        head = self._render(200, request_id, b"", endless.header, framed=False)
        match endless.preamble:
            case "nothing":
                preamble = b""
            case "open_head":
                preamble = head.removesuffix(b"\r\n")
            case "head":
                preamble = head
            case "answer":
                body = f"{self.instance}:{request_id}".encode()
                preamble = self._render(200, request_id, body)
        writer.write(preamble + endless.opening)
        ends_at = asyncio.get_running_loop().time() + MAX_ENDLESS_S
        while asyncio.get_running_loop().time() < ends_at and not writer.is_closing():
            writer.write(endless.repeated)
            arrival.sent_bytes += len(endless.repeated)
            await writer.drain()
            await asyncio.sleep(endless.pause_s)

    def _draw_action(self) -> str:
        """Return the action for a request, drawn at random from ``faults``."""
        point = self._random.random()
        for action, share in self.faults.items():
            if point < share:
                return action
            point -= share
        return "answer"

    async def _make_calls(self, arrival: Arrival, is_caused_by_retry: bool) -> bool:
        """Make the calls of a run, and tell whether all succeeded."""
        request_id = arrival.message.headers.get("cassiahatch-request-id", "")
        run = len(self.arrivals)
        for prefix, targets in self.downstream_targets.items():
            if not arrival.message.target.startswith(prefix):
                continue
            for number, target in enumerate(targets):
                call_id = f"{request_id}.{self.instance}-{run}-{number}"
                self._oracle.record_call(call_id, is_caused_by_retry)
                headers = {"Cassiahatch-Request-Id": call_id}
                if (
                    await send(self.node_address, "GET", target, headers)
                ).status != 200:
                    return False
        return True

    def _render(
        self,
        status: int,
        request_id: str,
        body: bytes,
        extra_headers: str = "",
        framed: bool = True,
        stamp: bool = True,
        has_id: bool = True,
    ) -> bytes:
        text = f"HTTP/1.1 {status:03} X\r\n"
        if has_id:
            text += f"Cassiahatch-Request-Id: {request_id}\r\n"
        if stamp:
            text += f"Cassiahatch-Server-Stamp: {STAMP}\r\n"
        if framed:
            text += f"Content-Length: {len(body)}\r\n"
        text += f"Cassiahatch-Server-Load: 0,0,{self.slots}{self.stated_pace}\r\n"
        text += f"{self.answer_headers}{extra_headers}\r\n"
        return text.encode() + body


@dataclass(slots=True)
class Host:
    """A VM with a backend server and its sidecar."""

    backend: Backend
    settings: MeshSettings
    sidecar: Sidecar | None = None
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    @property
    def client_address(self) -> str:
        return self.settings.node.clients

    async def start(self, journal_fd: int) -> None:
        self.stack = AsyncExitStack()
        self.sidecar = Sidecar(self.settings, random.Random(7), journal_fd)
        await self.stack.enter_async_context(self.sidecar)

    async def stop(self) -> None:
        await self.stack.aclose()

    async def announce(self, state: str = "ready", **overrides: object) -> int:
        """Send a heartbeat, and return the status of the response."""
        backend = self.backend
        backend.sequence += 1
        body = {
            "service": backend.service,
            "address": backend.address,
            "zone": self.settings.node.zone,
            "version": "v1",
            "slots": backend.slots,
            "state": state,
            "cold_remaining_s": 0,
            "sequence": backend.sequence,
            "born": backend.born,
        } | overrides
        path = f"/v1/Instances.Heartbeat/{backend.instance}"
        return (await self.send_control("POST", path, json.dumps(body).encode())).status

    async def send_control(self, method: str, path: str, body: bytes = b"") -> Message:
        """Send a request to the sidecar's control address."""
        return await send(self.settings.node.announcements, method, path, body=body)


class Site:
    """A mesh with its store and VMs; a context manager."""

    def __init__(self, journal_fd: int) -> None:
        self.store = Store()
        self.oracle = RetryOracle()
        self.hosts: list[Host] = []
        self._journal_fd = journal_fd
        self._stack = AsyncExitStack()
        self.config_version = 0
        self.span_share = 0.0
        self.retries = RetrySection()
        self.answers = AnswerSection()
        self.bodies = BodySection()
        self.revocation: RevocationSection | None = None
        self.quotas: QuotaSection | None = None
        """Like ``span_share`` and ``retries``, a setting of VMs added later."""

    async def __aenter__(self) -> Site:
        await self.store.open(self._stack)
        return self

    async def __aexit__(self, *exception: object) -> None:
        for host in self.hosts:
            await host.stop()
        await self._stack.aclose()

    async def add_host(
        self, service: str, zone: str = "z1", slots: int = 4, announces: bool = True
    ) -> Host:
        """Start a VM, and announce its backend server unless ``announces`` is False."""
        number = len(self.hosts) + 1
        backend = Backend(service, f"i-{number}", slots, self.oracle)
        await backend.open(self._stack)
        node = NodeSection(
            id=f"n{number}",
            zone=zone,
            service=service,
            clients=f"{HOST}:{reserve_port()}",
            peers=f"{HOST}:{reserve_port()}",
            readiness=f"{HOST}:{reserve_port()}",
            announcements=f"{HOST}:{reserve_port()}",
            backend=backend.address,
        )
        store = StoreSection(address=self.store.address, pace_s=0.05)
        spans = SpanSection(share=self.span_share)
        settings = MeshSettings(
            node=node,
            store=store,
            spans=spans,
            retries=self.retries,
            answers=self.answers,
            bodies=self.bodies,
            revocation=self.revocation,
            quotas=self.quotas,
        )
        host = Host(backend, settings)
        backend.node_address = host.client_address
        self.hosts.append(host)
        await host.start(self._journal_fd)
        if announces:
            await host.announce()
        return host

    def configure(
        self,
        routes: dict[str, dict],
        teams: dict[str, dict] | None = None,
        **limits: object,
    ) -> None:
        """Write a new version of the configuration to the store."""
        self.config_version += 3
        defaults = {"host": "h.example", "kind": "safe", "timeout_s": 3}
        defaults |= {"target_latency_s": 1, "priority": 1, "max_attempts": 2}
        body = {
            "version": f"r{self.config_version}",
            "routes": {name: defaults | route for name, route in routes.items()},
            "services": {},
            "tenants": teams or {},
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1_000_000,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            }
            | limits,
        }
        self.store.put("op", "config", msgspec.json.encode(body))

    async def wait_for_convergence(self, timeout_s: float = 5.0) -> None:
        """Wait until all nodes have the configuration, all members and all links."""
        async with asyncio.timeout(timeout_s):
            while not self._has_converged():
                await asyncio.sleep(0.02)

    def _has_converged(self) -> bool:
        count = len(self.hosts)
        return all(
            host.sidecar.store_sync.config_version == self.config_version
            and len(host.sidecar.directory.members) == count
            and len(host.sidecar.directory.list_ready_links()) == count - 1
            for host in self.hosts
        )


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Message:
    """Send one request on a new connection, and return the response."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(render_request(method, target, headers, body))
    try:
        answer = await MessageReader(reader, False).read()
    finally:
        writer.close()
    if answer is None:
        raise ConnectionError("connection closed without a response")
    return answer


async def open_slow_client(
    address: str, request_id: str, target: str = "/read/1", deadline_ms: int = 3000
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request, and read nothing of its answer; return the connection."""
    host, port = address.split(":")
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    client.connect((host, int(port)))
    client.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=client, limit=1024)
    writer.write(render_request("GET", target, make_headers(request_id, deadline_ms)))
    return reader, writer


def render_request(
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> bytes:
    """Return a request in wire format."""
    fields = {"Host": "h.example"} | (headers or {})
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


def make_headers(request_id: str, deadline_ms: int = 2000) -> dict[str, str]:
    """Return the headers that clients send with every request."""
    return {
        "Cassiahatch-Request-Id": request_id,
        "Cassiahatch-Deadline-Ms": str(deadline_ms),
    }
