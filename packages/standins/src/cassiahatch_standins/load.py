"""Load generator that sends requests at random times and retries aggressively.

The outcome of every attempt is recorded, so that tests and benchmarks can check them.
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
"""Mean pause before a retry."""
TIMEOUT_S = 2.0


@dataclass(slots=True, frozen=True)
class Stream:
    """Open-loop stream of requests of one kind from one customer."""

    name: str
    customer: str
    method: str
    path: str
    rate: float
    """Mean number of requests per second."""
    expected_services: tuple[str, ...]
    """Services in the call tree of a complete answer, in depth-first order."""
    max_attempts: int = 4
    is_important: bool = False


@dataclass(slots=True)
class Request:
    """One request and its attempts."""

    stream: Stream
    started: float
    ended: float = 0.0
    attempts: int = 0
    is_complete: bool = False
    """Whether an answer of status 200 held the parts of all expected services."""
    has_wrong_answer: bool = False
    """Whether an answer of status 200 lacked parts or had another request's parts."""
    key: str = ""
    """Idempotency key of a POST request."""
    outcomes: list[str] = field(default_factory=list)
    """``OUTCOME:CODE`` of each attempt, or ``connection`` if it was not answered."""


def list_services(answer: object, nonce: str) -> list[str] | None:
    """Return the services in an answer's call tree, in depth-first order.

    The result is None if a part of the answer belongs to another request.
    """
    if not isinstance(answer, dict) or answer.get("nonce") != nonce:
        return None
    found = [answer["service"]]
    for part in answer["parts"]:
        downstream = list_services(part, nonce)
        if downstream is None:
            return None
        found += downstream
    return found


class LoadGenerator:
    """Sends streams of requests to the nodes of a site.

    Parameters
    ----------
    site : Site
        Site under load.
    vms : list of Vm
        VMs whose nodes receive the requests; each attempt goes to a random one.
    seed : int
        Seed of the random number generator.
    """

    __slots__ = ("_random_source", "_site", "_tasks", "_vms", "requests")

    def __init__(self, site: Site, vms: list[Vm], seed: int) -> None:
        self._site = site
        self._vms = vms
        self._random_source = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.requests: list[Request] = []

    async def run(self, streams: list[Stream], seconds: float) -> None:
        """Send requests of all streams for a time; do not wait for the answers."""
        await asyncio.gather(*(self._run_stream(s, seconds) for s in streams))

    async def finish(self) -> None:
        """Wait until all requests have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def send(self, stream: Stream) -> Request:
        """Send one request, with retries until it is complete or no attempt is left."""
        request = Request(stream, time.monotonic())
        self.requests.append(request)
        nonce = f"{self._random_source.getrandbits(64):016x}"
        headers = {"Cassiahatch-Timeout-Ms": str(int(TIMEOUT_S * 1000))}
        if stream.method == "POST":
            request.key = mint_key(time.time(), self._random_source)
            headers["Idempotency-Key"] = request.key
        while request.attempts < stream.max_attempts and not request.is_complete:
            if request.attempts:
                await asyncio.sleep(
                    RETRY_PAUSE_S * self._random_source.uniform(0.5, 1.5)
                )
            headers["Cassiahatch-First-Attempt"] = "0" if request.attempts else "1"
            request.attempts += 1
            await self._attempt(request, nonce, headers)
        request.ended = time.monotonic()
        return request

    async def _run_stream(self, stream: Stream, seconds: float) -> None:
        end = time.monotonic() + seconds
        due = time.monotonic()
        while True:
            due += self._random_source.expovariate(stream.rate)
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
            self._random_source.choice(self._vms),
            stream.method,
            f"{stream.path}?nonce={nonce}",
            stream.customer,
            headers,
            timeout_s=TIMEOUT_S + 0.5,
        )
        if isinstance(response, CurlError):
            request.outcomes.append("connection")
            return
        outcome = response.headers.get("Cassiahatch-Outcome", "none")
        code = response.headers.get("Cassiahatch-Code", str(response.code))
        request.outcomes.append(f"{outcome}:{code}")
        if response.code == 200:
            self._check_answer(request, response.body, nonce)

    def _check_answer(self, request: Request, body: bytes, nonce: str) -> None:
        try:
            found = list_services(msgspec.json.decode(body), nonce)
        except msgspec.DecodeError:
            found = None
        request.is_complete = found == list(request.stream.expected_services)
        request.has_wrong_answer = request.has_wrong_answer or not request.is_complete
