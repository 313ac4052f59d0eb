"""Callers that send requests at random times and retry hard.

Every attempt and its outcome is recorded, so that an oracle can judge them.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import msgspec
from tornado.curl_httpclient import CurlError

from cassiahatch_kernel.keys import mint_key
from cassiahatch_standins.site import Site, Vm

RETRY_PAUSE_S = 0.05
TIMEOUT_S = 2.0


@dataclass(slots=True, frozen=True)
class Stream:
    """Requests of one kind that one customer sends."""

    name: str
    customer: str
    method: str
    path: str
    rate: float
    """Requests a second."""
    services: tuple[str, ...]
    """Services whose parts a whole answer holds, in the order of the tree."""
    attempts: int = 4
    is_important: bool = False


@dataclass(slots=True)
class Request:
    """One request with all its attempts."""

    stream: Stream
    started: float
    ended: float = 0.0
    attempts: int = 0
    is_complete: bool = False
    has_wrong_answer: bool = False
    """A short or foreign answer was given as a success."""
    key: str = ""
    outcomes: list[str] = field(default_factory=list)


def list_services(answer: object, nonce: str) -> list[str] | None:
    """Return the services in an answer, or None if a part is another request's."""
    if not isinstance(answer, dict) or answer.get("nonce") != nonce:
        return None
    found = [answer["service"]]
    for part in answer["parts"]:
        below = list_services(part, nonce)
        if below is None:
            return None
        found += below
    return found


class LoadGenerator:
    """Sends streams of requests to the nodes of a site.

    Parameters
    ----------
    site : Site
        Where to send.
    vms : list of Vm
        Nodes that take the requests.
    seed : int
        Seed of all random choices.
    """

    __slots__ = ("_site", "_source", "_tasks", "_vms", "requests")

    def __init__(self, site: Site, vms: list[Vm], seed: int) -> None:
        self._site = site
        self._vms = vms
        self._source = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.requests: list[Request] = []

    async def run(self, streams: list[Stream], seconds: float) -> None:
        """Send all streams for some seconds, without waiting for the answers."""
        await asyncio.gather(*(self._run_stream(s, seconds) for s in streams))

    async def finish(self) -> None:
        """Wait until every request has ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def send(self, stream: Stream) -> Request:
        """Send one request, again until it is answered whole or given up."""
        request = Request(stream, time.monotonic())
        self.requests.append(request)
        nonce = f"{self._source.getrandbits(64):016x}"
        headers = {"Cassiahatch-Timeout-Ms": str(int(TIMEOUT_S * 1000))}
        if stream.method == "POST":
            request.key = mint_key(time.time(), self._source)
            headers["Idempotency-Key"] = request.key
        while request.attempts < stream.attempts and not request.is_complete:
            if request.attempts:
                await asyncio.sleep(RETRY_PAUSE_S * self._source.uniform(0.5, 1.5))
            headers["Cassiahatch-First-Attempt"] = "0" if request.attempts else "1"
            request.attempts += 1
            await self._attempt(request, nonce, headers)
        request.ended = time.monotonic()
        return request

    async def _run_stream(self, stream: Stream, seconds: float) -> None:
        end = time.monotonic() + seconds
        due = time.monotonic()
        while True:
            due += self._source.expovariate(stream.rate)
            if due >= end:
                await asyncio.sleep(max(0.0, end - time.monotonic()))
                return
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            task = asyncio.create_task(self._send(stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, stream: Stream) -> None:
        await self.send(stream)

    async def _attempt(
        self, request: Request, nonce: str, headers: dict[str, str]
    ) -> None:
        stream = request.stream
        response = await self._site.request(
            self._source.choice(self._vms),
            stream.method,
            f"{stream.path}?nonce={nonce}",
            stream.customer,
            headers,
            timeout_s=TIMEOUT_S + 0.5,
        )
        if isinstance(response, CurlError):
            request.outcomes.append("connection")
            return
        name = response.headers.get("Cassiahatch-Outcome", "none")
        code = response.headers.get("Cassiahatch-Code", str(response.code))
        request.outcomes.append(f"{name}:{code}")
        if response.code == 200:
            self._judge(request, response.body, nonce)

    def _judge(self, request: Request, body: bytes, nonce: str) -> None:
        try:
            found = list_services(msgspec.json.decode(body), nonce)
        except msgspec.DecodeError:
            found = None
        request.is_complete = found == list(request.stream.services)
        request.has_wrong_answer = request.has_wrong_answer or not request.is_complete
