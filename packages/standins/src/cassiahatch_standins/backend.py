"""Stand-in for a backend server, with downstream calls and simulated faults.

It limits concurrency, is slow after its start, registers with the local node, and
drains before it exits. Run it with ``python -m cassiahatch_standins.backend CONFIG``,
where CONFIG is a JSON file with the fields of ``BackendConfig``. ``PUT /faults`` sets
its faults; ``GET /faults`` returns how often each idempotency key ran.
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
CRASH_MARKER = b"CRASH"
"""Bytes in the body of a call that crash the process, as does a query argument
``crash``."""

NOT_RUN_HEADER = "Cassiahatch-Not-Run"
TOKEN_HEADER = "Cassiahatch-Token"
REMAINING_HEADER = "Cassiahatch-Remaining-Ms"


class DownstreamCall(msgspec.Struct, frozen=True):
    """A call that the backend server makes to another service to serve a route."""

    service: str
    method: str
    path: str


class RouteConfig(msgspec.Struct, frozen=True):
    """A route of the backend server and its simulated load."""

    method: str
    prefix: str
    time_ms: float
    """Mean service time without faults and downstream calls."""
    importance: str = "normal"
    idempotent: bool = True
    calls: tuple[DownstreamCall, ...] = ()


class BackendConfig(msgspec.Struct, frozen=True):
    """Configuration of one backend server."""

    service: str
    port: int
    node_port: int
    slots: int
    """Number of calls that it processes concurrently."""
    routes: tuple[RouteConfig, ...]
    connections: int = 1000
    """Limit of calls in flight, including waiting ones; calls above it are shed."""
    announced_slots: int = 0
    """Number of slots that it falsely announces; with 0, it announces ``slots``."""
    cold_start_s: float = 0.0
    """Time after the start during which calls take three times as long."""
    retries: int = 0
    """Maximum retries of each downstream call, in addition to those of the node."""
    journal: str = ""
    """File to which each run of an idempotency key is appended."""
    seed: int = 1


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the backend server simulates at present."""

    slow_factor: float = 1.0
    """Factor of the service times."""
    freeze: bool = False
    """Whether calls do not end until this fault is cleared."""


class Backend:
    """State of the backend server."""

    __slots__ = (
        "client",
        "config",
        "faults",
        "in_flight",
        "journal",
        "random_source",
        "runs",
        "served",
        "slots",
        "started_at",
        "tasks",
    )

    def __init__(self, config: BackendConfig) -> None:
        self.config = config
        self.faults = Faults()
        self.slots = asyncio.Semaphore(config.slots)
        self.in_flight = 0
        self.served = 0
        self.started_at = time.monotonic()
        self.random_source = random.Random(config.seed)
        self.client = make_client(MAX_CLIENTS)
        self.tasks: dict[str, asyncio.Task[object]] = {}
        self.runs: Counter[str] = Counter()
        self.journal = Path(config.journal).open("a") if config.journal else None

    def record_run(self, key: str) -> None:
        """Record that a non-idempotent call with this idempotency key runs."""
        self.runs[key] += 1
        if self.journal is not None:
            self.journal.write(f"{time.time():.3f} {self.config.service} {key}\n")
            self.journal.flush()

    def compute_service_time_s(self, route: RouteConfig) -> float:
        """Return a random service time of a call under the current faults."""
        factor = self.faults.slow_factor
        age = time.monotonic() - self.started_at
        if age < self.config.cold_start_s:
            factor *= 3
        return route.time_ms / 1000 * factor * self.random_source.uniform(0.8, 1.2)


class CallHandler(RequestHandler):
    """Serves the calls of one route."""

    def initialize(self, backend: Backend, route: RouteConfig) -> None:
        """Store the backend server's state and the route."""
        self.backend = backend
        self.route = route

    async def get(self) -> None:
        """Serve the call in a task that ``CancelHandler`` can cancel."""
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
        if CRASH_MARKER in self.request.body or "crash" in self.request.query_arguments:
            os._exit(3)
        backend.in_flight += 1
        try:
            await self._run()
        finally:
            backend.in_flight -= 1

    async def _run(self) -> None:
        backend = self.backend
        async with backend.slots:
            responses = await self._call_downstream()
            failed = [response for response in responses if response.code != 200]
            for response in failed:
                log_failure(response)
            if failed and not self.route.idempotent:
                self.set_status(503)
                self.set_header(NOT_RUN_HEADER, "dependency")
                return
            if not self.route.idempotent:
                backend.record_run(self.request.headers.get("Idempotency-Key", ""))
            await asyncio.sleep(backend.compute_service_time_s(self.route))
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
                msgspec.json.decode(response.body)
                for response in responses
                if response.code == 200
            ],
        }
        self.write(msgspec.json.encode(body))

    async def _call_downstream(self) -> list[HTTPResponse | CurlError]:
        calls = [self._call_with_retries(call) for call in self.route.calls]
        return list(await asyncio.gather(*calls))

    async def _call_with_retries(
        self, call: DownstreamCall
    ) -> HTTPResponse | CurlError:
        for _attempt in range(1 + self.backend.config.retries):
            response = await self._send(call)
            if response.code == 200:
                break
        return response

    async def _send(self, call: DownstreamCall) -> HTTPResponse | CurlError:
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


def log_failure(response: HTTPResponse | CurlError) -> None:
    """Log the status or error code of a failed downstream call."""
    code = str(response.code)
    if isinstance(response, HTTPResponse):
        code = response.headers.get("Cassiahatch-Code", code)
    print(f"{time.time():.3f} downstream call failed: {code}", file=sys.stderr)


class CancelHandler(RequestHandler):
    """Cancels calls whose outcome the node no longer needs."""

    def initialize(self, backend: Backend) -> None:
        """Store the backend server's state."""
        self.backend = backend

    def delete(self, token: str) -> None:
        """Cancel the call with this token, if it still runs."""
        task = self.backend.tasks.get(token)
        if task is not None:
            task.cancel()


class FaultsHandler(RequestHandler):
    """Sets the faults and returns counters."""

    def initialize(self, backend: Backend) -> None:
        """Store the backend server's state."""
        self.backend = backend

    def put(self) -> None:
        """Replace the faults by those in the request body."""
        self.backend.faults = msgspec.json.decode(self.request.body, type=Faults)

    def get(self) -> None:
        """Return the number of calls served and of runs for each idempotency key."""
        body = {"served": self.backend.served, "ran": dict(self.backend.runs)}
        self.write(msgspec.json.encode(body))


def make_application(backend: Backend) -> Application:
    """Return the backend server's HTTP application."""
    handlers: list[tuple[object, ...]] = [
        (r"/_cancel/(.+)", CancelHandler, {"backend": backend}),
        (r"/faults", FaultsHandler, {"backend": backend}),
    ]
    for route in backend.config.routes:
        options = {"backend": backend, "route": route}
        handlers.append((f"{route.prefix}.*", CallHandler, options))
    return Application(handlers, log_function=lambda handler: None)


async def announce(backend: Backend, instance: str) -> None:
    """Send the announcement to the local node at regular intervals."""
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
        await post_to_node(backend, "/v1/announce", msgspec.json.encode(body))
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def post_to_node(
    backend: Backend, path: str, body: bytes = b""
) -> HTTPResponse | CurlError:
    """Send a POST request to the local node."""
    request = HTTPRequest(
        f"http://{HOST}:{backend.config.node_port}{path}",
        method="POST",
        body=body,
        request_timeout=DRAIN_TIMEOUT_S,
    )
    return await fetch_response(backend.client, request)


async def serve(config: BackendConfig) -> None:
    """Serve until SIGTERM, then drain and deregister from the node."""
    backend = Backend(config)
    server = HTTPServer(make_application(backend), no_keep_alive=False)
    server.listen(config.port, HOST, backlog=1024)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    instance = f"{config.service}-{os.getpid()}"
    announce_task = asyncio.create_task(announce(backend, instance))
    await stopping.wait()
    announce_task.cancel()
    await post_to_node(backend, "/v1/drain")
    while backend.in_flight:
        await asyncio.sleep(0.02)
    await post_to_node(backend, "/v1/leave")
    server.stop()


if __name__ == "__main__":
    config = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=BackendConfig)
    asyncio.run(serve(config))
