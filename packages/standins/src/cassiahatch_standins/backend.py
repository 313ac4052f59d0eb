"""Stand-in for a backend server: slots, deeper calls, cold start, drain, faults.

Run it with ``python -m cassiahatch_standins.backend CONFIG``, a JSON file of
``BackendConfig``. ``PUT /faults`` switches its faults; ``GET /journal`` tells which
keys ran.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cassiahatch_node.http_client import fetch_response, make_client

MAX_CLIENTS = 2000
HOST = "127.0.0.1"
ANNOUNCE_INTERVAL_S = 0.5
DRAIN_TIMEOUT_S = 60.0
CRASH_MARK = b"CRASH"
NOT_RUN_HEADER = "Cassiahatch-Not-Run"
TOKEN_HEADER = "Cassiahatch-Token"
REMAINING_HEADER = "Cassiahatch-Remaining-Ms"


class DeeperCall(msgspec.Struct, frozen=True):
    """A call that serving a route makes."""

    service: str
    method: str
    path: str


class RouteConfig(msgspec.Struct, frozen=True):
    """One route and what it costs."""

    method: str
    prefix: str
    time_ms: float
    importance: str = "normal"
    idempotent: bool = True
    calls: tuple[DeeperCall, ...] = ()


class BackendConfig(msgspec.Struct, frozen=True):
    """One backend server."""

    service: str
    port: int
    node_port: int
    slots: int
    routes: tuple[RouteConfig, ...]
    connections: int = 1000
    """Calls beyond these are shed."""
    announced_slots: int = 0
    """Slots that it claims to have, if it lies."""
    cold_start_s: float = 0.0
    retries: int = 0
    """Retries of its own for each deeper call."""
    journal: str = ""
    """File to which each run of a key is appended."""
    seed: int = 1


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What is wrong with the backend server now."""

    slow_factor: float = 1.0
    freeze: bool = False


class Backend:
    """State of the backend server."""

    __slots__ = (
        "client",
        "config",
        "faults",
        "in_flight",
        "journal",
        "ran",
        "served",
        "slots",
        "source",
        "started",
        "tasks",
    )

    def __init__(self, config: BackendConfig) -> None:
        self.config = config
        self.faults = Faults()
        self.slots = asyncio.Semaphore(config.slots)
        self.in_flight = 0
        self.served = 0
        self.started = time.monotonic()
        self.source = random.Random(config.seed)
        self.client = make_client(MAX_CLIENTS)
        self.tasks: dict[str, asyncio.Task[object]] = {}
        self.ran: Counter[str] = Counter()
        self.journal = Path(config.journal).open("a") if config.journal else None

    def note_run(self, key: str) -> None:
        """Record that a non-idempotent call runs."""
        self.ran[key] += 1
        if self.journal is not None:
            self.journal.write(f"{time.time():.3f} {self.config.service} {key}\n")
            self.journal.flush()

    def compute_time_s(self, route: RouteConfig) -> float:
        """Return how long a call takes now."""
        factor = self.faults.slow_factor
        age = time.monotonic() - self.started
        if age < self.config.cold_start_s:
            factor *= 3
        return route.time_ms / 1000 * factor * self.source.uniform(0.8, 1.2)


class CallHandler(RequestHandler):
    """Serves one call."""

    def initialize(self, backend: Backend, route: RouteConfig) -> None:
        """Take over the state and the route."""
        self.backend = backend
        self.route = route

    async def get(self) -> None:
        """Serve the call in a task that can be cancelled."""
        token = self.request.headers.get(TOKEN_HEADER, "")
        task = asyncio.ensure_future(self._serve())
        self.backend.tasks[token] = task
        try:
            await task
        except asyncio.CancelledError:
            self.set_status(499)
        finally:
            self.backend.tasks.pop(token, None)

    post = put = delete = get

    async def _serve(self) -> None:
        backend = self.backend
        if backend.in_flight >= backend.config.connections:
            self.set_status(503)
            self.set_header(NOT_RUN_HEADER, "overloaded")
            return
        if CRASH_MARK in self.request.body or "crash" in self.request.query_arguments:
            os._exit(3)
        backend.in_flight += 1
        try:
            await self._run()
        finally:
            backend.in_flight -= 1

    async def _run(self) -> None:
        backend = self.backend
        async with backend.slots:
            parts = await self._call_deeper()
            failed = [part for part in parts if part.code != 200]
            for part in failed:
                log_failure(part)
            if failed and not self.route.idempotent:
                self.set_status(503)
                self.set_header(NOT_RUN_HEADER, "dependency")
                return
            if not self.route.idempotent:
                backend.note_run(self.request.headers.get("Idempotency-Key", ""))
            await asyncio.sleep(backend.compute_time_s(self.route))
            while backend.faults.freeze:
                await asyncio.sleep(0.05)
        backend.served += 1
        if failed:
            self.set_status(502)
        nonce = self.get_query_argument("nonce", "")
        body = {
            "service": backend.config.service,
            "nonce": nonce,
            "pad": "x" * int(self.get_query_argument("size", "0")),
            "parts": [
                msgspec.json.decode(part.body) for part in parts if part.code == 200
            ],
        }
        self.write(msgspec.json.encode(body))

    async def _call_deeper(self) -> list[HTTPResponse | CurlError]:
        calls = [self._call_one(call) for call in self.route.calls]
        return list(await asyncio.gather(*calls))

    async def _call_one(self, call: DeeperCall) -> HTTPResponse | CurlError:
        for _attempt in range(1 + self.backend.config.retries):
            response = await self._send(call)
            if response.code == 200:
                break
        return response

    async def _send(self, call: DeeperCall) -> HTTPResponse | CurlError:
        nonce = self.get_query_argument("nonce", "")
        headers = {TOKEN_HEADER: self.request.headers.get(TOKEN_HEADER, "")}
        remaining = self.request.headers.get(REMAINING_HEADER)
        if remaining and int(remaining) > 0:
            headers["Cassiahatch-Timeout-Ms"] = remaining
        request = HTTPRequest(
            f"http://{HOST}:{self.backend.config.node_port}/call/"
            f"{call.service}{call.path}?nonce={nonce}",
            method=call.method,
            headers=headers,
            allow_nonstandard_methods=True,
            request_timeout=30.0,
        )
        return await fetch_response(self.backend.client, request)


def log_failure(part: HTTPResponse | CurlError) -> None:
    """Log why a deeper call failed."""
    code = str(part.code)
    if isinstance(part, HTTPResponse):
        code = part.headers.get("Cassiahatch-Code", code)
    print(f"{time.time():.3f} deeper call failed: {code}", file=sys.stderr)


class CancelHandler(RequestHandler):
    """Cancels a call."""

    def initialize(self, backend: Backend) -> None:
        """Take over the state."""
        self.backend = backend

    def delete(self, token: str) -> None:
        """Cancel the call of a token."""
        task = self.backend.tasks.get(token)
        if task is not None:
            task.cancel()


class FaultsHandler(RequestHandler):
    """Switches faults, and tells what ran."""

    def initialize(self, backend: Backend) -> None:
        """Take over the state."""
        self.backend = backend

    def put(self) -> None:
        """Switch the faults."""
        self.backend.faults = msgspec.json.decode(self.request.body, type=Faults)

    def get(self) -> None:
        """Answer with the number of calls served and the runs of each key."""
        body = {"served": self.backend.served, "ran": dict(self.backend.ran)}
        self.write(msgspec.json.encode(body))


def make_application(backend: Backend) -> Application:
    """Return the HTTP application of a backend server."""
    handlers: list[tuple[object, ...]] = [
        (r"/_cancel/(.+)", CancelHandler, {"backend": backend}),
        (r"/faults", FaultsHandler, {"backend": backend}),
    ]
    for route in backend.config.routes:
        options = {"backend": backend, "route": route}
        handlers.append((f"{route.prefix}.*", CallHandler, options))
    return Application(handlers, log_function=lambda handler: None)


async def announce(backend: Backend, instance: str) -> None:
    """Announce the backend server again and again."""
    config = backend.config
    body = {
        "service": config.service,
        "instance": instance,
        "port": config.port,
        "slots": config.announced_slots or config.slots,
        "cancel_path": "/_cancel",
        "routes": [
            {
                "method": route.method,
                "prefix": route.prefix,
                "importance": route.importance,
                "idempotent": route.idempotent,
            }
            for route in config.routes
        ],
    }
    while True:
        await post(backend, "/v1/announce", msgspec.json.encode(body))
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def post(
    backend: Backend, path: str, body: bytes = b""
) -> HTTPResponse | CurlError:
    """Tell the node beside the backend server something."""
    request = HTTPRequest(
        f"http://{HOST}:{backend.config.node_port}{path}",
        method="POST",
        body=body,
        request_timeout=DRAIN_TIMEOUT_S,
    )
    return await fetch_response(backend.client, request)


async def serve(config: BackendConfig) -> None:
    """Serve until SIGTERM, then drain and leave."""
    backend = Backend(config)
    server = HTTPServer(make_application(backend), no_keep_alive=False)
    server.listen(config.port, HOST, backlog=1024)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    instance = f"{config.service}-{os.getpid()}"
    announcing = asyncio.create_task(announce(backend, instance))
    await stopping.wait()
    announcing.cancel()
    await post(backend, "/v1/drain")
    while backend.in_flight:
        await asyncio.sleep(0.02)
    await post(backend, "/v1/leave")
    server.stop()


if __name__ == "__main__":
    loaded = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=BackendConfig)
    asyncio.run(serve(loaded))
