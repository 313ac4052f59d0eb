"""The serving end of a link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Load, Result
from cassiahatch_node.mesh.call_graph import CallGraph
from cassiahatch_node.mesh.frames import (
    LINK_VERSION,
    BadFrameError,
    CallFrame,
    CancelFrame,
    ClearFrame,
    CrashFrame,
    Frame,
    FrameReader,
    Hello,
    LoadFrame,
    NewsFrame,
    ProbeFrame,
    ReaderFrame,
    ResultFrame,
    encode_frame,
)
from cassiahatch_node.mesh.ingress import Ingress
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_policies.slot_queue import Job

WAKE_GAP_S = 0.6
"""A heartbeat of the event loop that is later than this means that the VM stood
still; what then lies in the sockets is of unknown age."""


@dataclass(slots=True)
class LinkService:
    """What the serving ends of links need from their node."""

    clock: Clock
    ingress: Ingress
    journal: Journal
    make_hello: Callable[[], Hello]
    on_hello: Callable[[Hello], NewsFrame | None]
    on_news: Callable[[NewsFrame], None]
    on_peer: Callable[[str], None]
    """Hears of each peer that opens a link: it can be reached again."""
    on_reader: Callable[[str, ReaderFrame], None]
    """Hears of each peer that follows the store for its zone."""
    list_crashes: Callable[[], list[CrashFrame]]
    """Returns what a peer that has just started must know of crashes."""
    graph: CallGraph
    """Knows the cutoffs and the repeats at and below this service."""
    connections: set[PeerConnection] = field(default_factory=set)
    ticked_at: float = float("inf")
    """When the event loop last showed that it runs."""

    def announce_load(self, load: Load) -> None:
        """Tell all peers how busy the backend server is."""
        data = encode_frame(LoadFrame(load))
        for connection in self.connections:
            connection.write(data)

    def announce_crash(self, frame: CrashFrame | ClearFrame) -> None:
        """Tell all peers of a crash, or that a request was answered after one."""
        data = encode_frame(frame)
        for connection in self.connections:
            connection.write(data)

    def announce_member(self, record: bytes) -> None:
        """Tell all peers what the backend server now is."""
        data = encode_frame(NewsFrame(members=(record,)))
        for connection in self.connections:
            connection.write(data)

    def tick(self) -> None:
        """Take in that the event loop runs; end links if it stood still."""
        now = self.clock.monotonic()
        if now - self.ticked_at > WAKE_GAP_S:
            self.end_links(now - self.ticked_at)
        self.ticked_at = now
        for connection in list(self.connections):
            connection.check(now)

    def end_links(self, gap_s: float) -> None:
        """End all links, so that no call of unknown age is run."""
        self.journal.note("woke_up", gap_s=gap_s, links=len(self.connections))
        for connection in list(self.connections):
            connection.abort()


class PeerConnection(asyncio.Protocol):
    """One connection from a peer."""

    __slots__ = ("_jobs", "_peer", "_reader", "_service", "_transport")

    def __init__(self, service: LinkService) -> None:
        self._service = service
        self._reader = FrameReader()
        self._jobs: dict[int, Job] = {}
        self._peer = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the connection in."""
        self._transport = transport
        self._service.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Withdraw the calls whose results nobody would hear."""
        self._service.connections.discard(self)
        jobs, self._jobs = self._jobs, {}
        for job in jobs.values():
            self._service.ingress.withdraw(job)

    def data_received(self, data: bytes) -> None:
        """Take in frames."""
        service = self._service
        now = service.clock.monotonic()
        gap_s = now - service.ticked_at
        if gap_s > WAKE_GAP_S:
            service.end_links(gap_s)
            return
        try:
            for frame in self._reader.feed(data, now):
                self._take(frame)
        except BadFrameError as error:
            service.journal.note("bad_frame", peer=self._peer, error=error.detail)
            self.abort()

    def check(self, now: float) -> None:
        """End the connection if a frame goes on without end."""
        if self._reader.is_endless(now):
            self._service.journal.note("frame_endless", peer=self._peer)
            self.abort()

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""
        self._transport.write(data)

    def abort(self) -> None:
        """End the connection at once."""
        self._transport.abort()

    def _take(self, frame: Frame) -> None:
        match frame:
            case CallFrame():
                self._start(frame)
            case CancelFrame():
                job = self._jobs.pop(frame.number, None)
                if job is not None:
                    self._service.ingress.withdraw(job)
            case ProbeFrame():
                load = self._service.ingress.load
                self.write(encode_frame(LoadFrame(load)))
            case Hello():
                self._greet(frame)
            case NewsFrame():
                self._service.on_news(frame)
            case ReaderFrame():
                self._service.on_reader(self._peer, frame)
            case _:
                raise BadFrameError("not a message for the serving end")

    def _greet(self, hello: Hello) -> None:
        if hello.link_version != LINK_VERSION:
            raise BadFrameError(f"link version {hello.link_version}")
        self._peer = hello.node_id
        self._service.on_peer(hello.node_id)
        service = self._service
        self.write(encode_frame(service.make_hello()))
        self.write(encode_frame(LoadFrame(service.ingress.load)))
        for crash in service.list_crashes():
            self.write(encode_frame(crash))
        news = service.on_hello(hello)
        if news is not None:
            self.write(encode_frame(news))

    def _start(self, frame: CallFrame) -> None:
        number = frame.number

        def reply(result: Result) -> None:
            if self._jobs.pop(number, None) is not None:
                service = self._service
                route, load = frame.call.route, service.ingress.load
                cutoff = service.graph.compute_path_cutoff(route)
                use = service.graph.compute_path_retry_use(route)
                self.write(encode_frame(ResultFrame(number, result, load, cutoff, use)))

        job = self._service.ingress.make_job(frame.call, reply)
        self._jobs[number] = job
        self._service.ingress.accept(job)
