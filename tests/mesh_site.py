"""A small platform in one process: store, backend servers, nodes and clients."""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import socket
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from cassiahatch_node.mesh.root import Sidecar
from cassiahatch_node.mesh.settings import (
    AnswerSection,
    MeshSettings,
    NodeSection,
    RetrySection,
    SpanSection,
    StoreSection,
)
from endless_answers import CHUNKED, ENDLESS, ENDLESS_S, Endless
from repeat_oracle import Oracle

HOST = "127.0.0.1"
STAMP = "3e1b.07.5a2"


PORTS = range(10_000, 32_000)
"""Below the ports that the kernel gives to outgoing connections, any of which could
take a port between its choice here and its use."""
_source = random.Random(os.getpid())
_reserved: list[socket.socket] = []


def find_port() -> int:
    """Return a port that nobody uses, reserved for this process and its children.

    A socket that is bound and does not listen keeps other processes, which look
    without SO_REUSEADDR, from choosing the port; servers bind with it and get it.
    """
    while True:
        port = _source.choice(PORTS)
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
        _reserved.append(reserved)
        return port


@dataclass(slots=True)
class Message:
    """An HTTP message as it was read."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class Reader:
    """Reads HTTP messages from a stream."""

    def __init__(self, stream: asyncio.StreamReader, is_request: bool) -> None:
        self._stream = stream
        kind = httptools.HttpRequestParser if is_request else None
        self._parser = (kind or httptools.HttpResponseParser)(self)
        self._is_request = is_request
        self._done: list[Message] = []

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
        self._done.append(self._message)

    async def read(self) -> Message | None:
        while not self._done:
            data = await self._stream.read(65536)
            if not data:
                return None
            self._parser.feed_data(data)
        return self._done.pop(0)


class Store:
    """The platform's store, with outages, lost answers and a short memory."""

    def __init__(self) -> None:
        self.address = f"{HOST}:{find_port()}"
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.log: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.oldest = 0
        self.is_down = False
        self.loses_answers = False
        self.endless = ""
        """Kind of an answer without end that is given to each request."""
        self.most_sent_bytes = 0
        """Longest of these answers until the node closed the connection."""
        self.calls = 0
        self.follow_calls = 0
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
        self.log.append((self.version, table, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def forget(self) -> None:
        """Drop the history, so that feeds must begin anew."""
        self.oldest = self.version
        self.log.clear()

    async def _serve(self, reader, writer) -> None:
        request = await Reader(reader, True).read()
        if request is None:
            writer.close()
            return
        self.calls += 1
        if self.endless:
            await self._send_endless(writer)
            return
        status, body = 503, {}
        if not self.is_down:
            status, body = await self._answer(request)
        if not (self.loses_answers and "rows-tx" in request.target):
            data = json.dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                "Content-Type: application/json\r\n\r\n".encode()
                + data
            )
        writer.close()

    async def _send_endless(self, writer) -> None:
        begin = {
            "body": b"HTTP/1.1 200 X\r\n\r\n",
            "chunks": f"HTTP/1.1 200 X\r\n{CHUNKED}\r\n".encode(),
            "fields": b"HTTP/1.1 200 X\r\n",
        }
        part = {
            "body": b" " * 65536,
            "chunks": b"10000\r\n" + b" " * 65536 + b"\r\n",
            "fields": b"X-More: more\r\n" * 4000,
        }
        writer.write(begin[self.endless])
        how, sent_bytes = self.endless, 0
        try:
            while not writer.is_closing():
                writer.write(part[how])
                sent_bytes += len(part[how])
                self.most_sent_bytes = max(self.most_sent_bytes, sent_bytes)
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
                more = len(rows) > limit
                return 200, {
                    "rows": rows[:limit],
                    "has_more": more,
                    "ver": self.version,
                }
            case "/v1/rows-feed":
                self.follow_calls += 1
                return await self._feed(query)
            case "/v1/rows-tx":
                return self._transact(json.loads(request.body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self.oldest:
                return 410, {}
            rows = [
                self._render(table, key, value, version)
                for version, table, key, value in self.log
                if version > after and table == query["table"]
            ]
            left_s = ends_at - asyncio.get_running_loop().time()
            if rows or left_s <= 0:
                return 200, {"rows": rows, "ver": self.version}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body["expected"]:
            known = self.rows.get((row["table"], row["key"]), (b"", 0))
            if known[1] != row["ver"]:
                shown = self._render(row["table"], row["key"], *known)
                return 412, {"rows": [shown] if known[1] else [], "ver": self.version}
        for row in body.get("puts", ()):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", ()):
            self.put(row["table"], row["key"], None)
        return 200, {"ver": self.version, "now_s": 1.0}

    def _render(self, table: str, key: str, value: bytes | None, version: int) -> dict:
        if value is None:
            return {"table": table, "key": key, "ver": version, "tombstone": True}
        text = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": text, "ver": version}


@dataclass(slots=True)
class Arrived:
    """A request that reached a backend server."""

    instance: str
    message: Message
    at: float
    ran: bool = True
    was_dropped: bool = False
    sent_bytes: int = 0
    """What was sent of an answer without end."""


class Backend:
    """A backend server; ``script`` and ``faults`` decide what it does."""

    def __init__(
        self,
        service: str,
        instance: str,
        slots: int = 4,
        oracle: Oracle | None = None,
    ) -> None:
        self._oracle = oracle or Oracle()
        self._random = random.Random(instance)
        self.calls: dict[str, list[str]] = {}
        """Targets called one after the other by a run, by the start of its path."""
        self.faults: dict[str, float] = {}
        """Share of the requests with which something else is done than to answer."""
        self.node = ""
        """Where it sends its calls."""
        self.service = service
        self.instance = instance
        self.slots = slots
        self.address = f"{HOST}:{find_port()}"
        self.arrived: list[Arrived] = []
        self.work_s = 0.0
        self.connections = 0
        self.running = 0
        self.most_running = 0
        self.sequence = 0
        self.born = 1000
        self.script: list[str] = []
        """What to do with the next requests: see ``_act``."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def open(self, stack: AsyncExitStack) -> None:
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        stack.callback(self._server.close)

    def crash(self) -> None:
        """Stop listening and break all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        messages = Reader(reader, True)
        try:
            while (message := await messages.read()) is not None:
                if not await self._act(message, writer, reader):
                    break
        except (ConnectionError, httptools.HttpParserError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _act(self, message: Message, writer, reader) -> bool:
        loop = asyncio.get_running_loop()
        entry = Arrived(self.instance, message, loop.time())
        self.arrived.append(entry)
        action = self.script.pop(0) if self.script else self._draw()
        request_id = message.headers.get("cassiahatch-request-id", "")
        is_owed = self._oracle.note(self.service, request_id)
        if message.headers.get("cassiahatch-expect-instance") != self.instance:
            action = "misdirected"
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if self.work_s:
                await asyncio.sleep(self.work_s)
            if action == "answer" and not await self._make_calls(entry, is_owed):
                action = "fail"
        finally:
            self.running -= 1
        if reader.at_eof() or writer.is_closing():
            entry.was_dropped = True
            return False
        body = f"{self.instance}:{request_id}".encode() + message.body
        good = self._render(200, request_id, body)
        match action:
            case "answer":
                writer.write(good)
            case "misdirected":
                entry.ran = False
                writer.write(self._render(421, request_id, b""))
            case "shed":
                entry.ran = False
                text = "Cassiahatch-Not-Executed: 1\r\n"
                writer.write(self._render(503, request_id, b"", text))
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
                text = "Content-Encoding: gzip\r\n"
                writer.write(self._render(200, request_id, body, text))
            case "close":
                text = "Connection: close\r\n"
                writer.write(self._render(200, request_id, body, text))
                return False
            case "silent":
                return True
            case _ if action in ENDLESS:
                await self._send_endless(entry, writer, ENDLESS[action], request_id)
                return False
        return True

    async def _send_endless(
        self, entry: Arrived, writer, endless: Endless, request_id: str
    ) -> None:
        """Send bytes until the node closes the connection, a bounded time at most."""
        head = self._render(200, request_id, b"", endless.field, framed=False)
        match endless.after:
            case "nothing":
                begin = b""
            case "open_head":
                begin = head.removesuffix(b"\r\n")
            case "head":
                begin = head
            case "answer":
                body = f"{self.instance}:{request_id}".encode()
                begin = self._render(200, request_id, body)
        writer.write(begin + endless.first)
        ends_at = asyncio.get_running_loop().time() + ENDLESS_S
        while asyncio.get_running_loop().time() < ends_at and not writer.is_closing():
            writer.write(endless.part)
            entry.sent_bytes += len(endless.part)
            await writer.drain()
            await asyncio.sleep(endless.pause_s)

    def _draw(self) -> str:
        """Return what to do with a request, at random by ``faults``."""
        point = self._random.random()
        for action, share in self.faults.items():
            if point < share:
                return action
            point -= share
        return "answer"

    async def _make_calls(self, entry: Arrived, is_owed: bool) -> bool:
        """Make the calls of a run, and tell whether all were answered."""
        request_id = entry.message.headers.get("cassiahatch-request-id", "")
        run = len(self.arrived)
        for start, targets in self.calls.items():
            if not entry.message.target.startswith(start):
                continue
            for number, target in enumerate(targets):
                call_id = f"{request_id}.{self.instance}-{run}-{number}"
                self._oracle.note_call(call_id, is_owed)
                headers = {"Cassiahatch-Request-Id": call_id}
                if (await send(self.node, "GET", target, headers)).status != 200:
                    return False
        return True

    def _render(
        self,
        status: int,
        request_id: str,
        body: bytes,
        extra: str = "",
        framed: bool = True,
        stamp: bool = True,
    ) -> bytes:
        text = f"HTTP/1.1 {status} X\r\nCassiahatch-Request-Id: {request_id}\r\n"
        if stamp:
            text += f"Cassiahatch-Server-Stamp: {STAMP}\r\n"
        if framed:
            text += f"Content-Length: {len(body)}\r\n"
        text += f"Cassiahatch-Server-Load: 0,0,{self.slots}\r\n{extra}\r\n"
        return text.encode() + body


@dataclass(slots=True)
class Host:
    """A VM: a backend server and the node beside it."""

    backend: Backend
    settings: MeshSettings
    sidecar: Sidecar | None = None
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    @property
    def clients(self) -> str:
        return self.settings.node.clients

    async def start(self, journal_fd: int) -> None:
        self.stack = AsyncExitStack()
        self.sidecar = Sidecar(self.settings, random.Random(7), journal_fd)
        await self.stack.enter_async_context(self.sidecar)

    async def stop(self) -> None:
        await self.stack.aclose()

    async def announce(self, state: str = "ready", **changes: object) -> int:
        """Send a heartbeat, and return the status of the answer."""
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
        } | changes
        path = f"/v1/Instances.Heartbeat/{backend.instance}"
        return (await self.control("POST", path, json.dumps(body).encode())).status

    async def control(self, method: str, path: str, body: bytes = b"") -> Message:
        """Send a request to the control address."""
        return await send(self.settings.node.announcements, method, path, body=body)


class Site:
    """A platform with its store and VMs; a context manager."""

    def __init__(self, journal_fd: int) -> None:
        self.store = Store()
        self.oracle = Oracle()
        self.hosts: list[Host] = []
        self._journal_fd = journal_fd
        self._stack = AsyncExitStack()
        self.version = 0
        self.span_share = 0.0
        self.retries = RetrySection()
        self.answers = AnswerSection()

    async def __aenter__(self) -> Site:
        await self.store.open(self._stack)
        return self

    async def __aexit__(self, *exception: object) -> None:
        for host in self.hosts:
            await host.stop()
        await self._stack.aclose()

    async def add(
        self, service: str, zone: str = "z1", slots: int = 4, announces: bool = True
    ) -> Host:
        """Add a VM, and wait until the others know its backend server."""
        number = len(self.hosts) + 1
        backend = Backend(service, f"i-{number}", slots, self.oracle)
        await backend.open(self._stack)
        node = NodeSection(
            id=f"n{number}",
            zone=zone,
            service=service,
            clients=f"{HOST}:{find_port()}",
            peers=f"{HOST}:{find_port()}",
            readiness=f"{HOST}:{find_port()}",
            announcements=f"{HOST}:{find_port()}",
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
        )
        host = Host(backend, settings)
        backend.node = host.clients
        self.hosts.append(host)
        await host.start(self._journal_fd)
        if announces:
            await host.announce()
        return host

    def configure(self, routes: dict[str, dict], **limits: object) -> None:
        """Store a configuration."""
        self.version += 3
        defaults = {"host": "h.example", "kind": "safe", "timeout_s": 3}
        defaults |= {"target_latency_s": 1, "priority": 1, "max_attempts": 2}
        body = {
            "version": f"r{self.version}",
            "routes": {name: defaults | route for name, route in routes.items()},
            "services": {},
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1_000_000,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            }
            | limits,
        }
        self.store.put("op", "config", msgspec.json.encode(body))

    async def settle(self, timeout_s: float = 5.0) -> None:
        """Wait until every node has the configuration, all members and all links."""
        async with asyncio.timeout(timeout_s):
            while not self._is_settled():
                await asyncio.sleep(0.02)

    def _is_settled(self) -> bool:
        count = len(self.hosts)
        return all(
            host.sidecar.store_sync.config_version == self.version
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
    """Send one request on a connection of its own, and return the answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(render_request(method, target, headers, body))
    try:
        answer = await Reader(reader, False).read()
    finally:
        writer.close()
    if answer is None:
        raise ConnectionError("closed without an answer")
    return answer


def render_request(
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a request."""
    fields = {"Host": "h.example"} | (headers or {})
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


def name_request(request_id: str, deadline_ms: int = 2000) -> dict[str, str]:
    """Return the headers that every request of a client bears."""
    return {
        "Cassiahatch-Request-Id": request_id,
        "Cassiahatch-Deadline-Ms": str(deadline_ms),
    }
