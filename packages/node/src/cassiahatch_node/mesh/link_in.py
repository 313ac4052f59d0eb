"""The serving end of a link: inbound connections from peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    Call,
    Load,
    Reason,
    Rejection,
    Reply,
    Result,
)
from cassiahatch_node.mesh.answer_memory import LARGE_ANSWER_BYTES, AnswerMemory
from cassiahatch_node.mesh.body_memory import BodyMemory, BodySpace
from cassiahatch_node.mesh.call_graph import CallGraph
from cassiahatch_node.mesh.delivery import Delivery
from cassiahatch_node.mesh.frames import (
    LINK_VERSION,
    BadFrameError,
    BodyFrame,
    CallFrame,
    CancelFrame,
    ClearFrame,
    CrashFrame,
    Frame,
    FrameDecoder,
    Hello,
    LoadFrame,
    ProbeFrame,
    QuotaGrantFrame,
    QuotaRequestFrame,
    ReaderFrame,
    ResultFrame,
    TakeFrame,
    UpdateFrame,
    encode_frame,
)
from cassiahatch_node.mesh.ingress import Ingress
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.unsent_replies import UnsentReplies
from cassiahatch_policies.slot_queue import Job

SUSPENSION_GAP_S = 0.6
"""A longer gap between ticks of the event loop means that the VM was suspended. Data
in the sockets is then of unknown age."""
UNKNOWN_AGE_S = 0.05
"""Time after a suspension was noticed in which data from the sockets may be from before
or during it: the event loop reads all that waits there in its first turns."""
BODY_MEMORY_RETRY_AFTER_S = 0.5
"""``Retry-After`` of calls whose bodies find no memory: several times the work of a
call, after which bodies have been released."""
MS_PER_S = 1000


def refuse_quota(frame: QuotaRequestFrame) -> QuotaGrantFrame:
    """Answer a request of quota units where quotas are not enforced."""
    return QuotaGrantFrame(frame.number, frame.position)


@dataclass(slots=True)
class LinkService:
    """Open inbound connections, with the parts of the node that they need."""

    clock: Clock
    ingress: Ingress
    journal: Journal
    make_hello: Callable[[], Hello]
    make_update: Callable[[Hello], UpdateFrame | None]
    """Returns what the sender of a ``Hello`` lacks, or None if it is up to date."""
    on_update: Callable[[UpdateFrame], None]
    on_peer_connected: Callable[[str], None]
    """Called with the id of each peer that opens a link: it is reachable again."""
    on_reader: Callable[[str, ReaderFrame], None]
    """Called with each heartbeat of a peer that follows the store for its zone."""
    on_hello: Callable[[Hello], None]
    """Called with each ``Hello``, which also says when the peer's copies were current."""
    make_crash_frames: Callable[[], list[CrashFrame]]
    """Returns the crashes that a newly connected peer has to apply."""
    graph: CallGraph
    """Provides the cutoff and the retry budget use at this service and downstream."""
    body_memory: BodyMemory
    answer_memory: AnswerMemory
    on_quota_request: Callable[[QuotaRequestFrame], QuotaGrantFrame] = refuse_quota
    """Answers a peer's request of quota units."""
    connections: set[PeerConnection] = field(default_factory=set)
    ticked_at: float = float("inf")
    """Monotonic seconds of the last tick of the event loop."""
    woke_up_at: float = float("-inf")
    suspended_at: float = float("-inf")
    """Monotonic seconds at which the last suspension was noticed, and of the last tick
    before it."""

    @property
    def open_count(self) -> int:
        """Number of peers that send a call, or wait for a result on its way."""
        now = self.clock.monotonic()
        return sum(connection.is_open(now) for connection in self.connections)

    def report_undelivered(self) -> None:
        """Log the results that peers have not received when the process ends."""
        for connection in self.connections:
            connection.report_undelivered("stopped")

    def end(self) -> None:
        """Take no more calls, and let the peers close their connections."""
        for connection in self.connections:
            connection.end()

    def broadcast_load(self, load: Load) -> None:
        """Send the load of the backend server to all peers."""
        data = encode_frame(LoadFrame(load))
        for connection in self.connections:
            connection.write(data)

    def broadcast_crash(self, frame: CrashFrame | ClearFrame) -> None:
        """Send all peers a crash, or the clearing of a request suspected of one."""
        data = encode_frame(frame)
        for connection in self.connections:
            connection.write(data)

    def broadcast_member(self, record: bytes) -> None:
        """Send this node's changed member record to all peers."""
        data = encode_frame(UpdateFrame(members=(record,)))
        for connection in self.connections:
            connection.write(data)

    def tick(self) -> None:
        """Record a tick of the event loop, and abort all links after a suspension.

        Also checks each connection for an overdue frame.
        """
        now = self.clock.monotonic()
        if now - self.ticked_at > SUSPENSION_GAP_S:
            self.abort_links(now - self.ticked_at)
        self.ticked_at = now
        for connection in list(self.connections):
            connection.check(now)

    def compute_earliest_sending(self, read_at: float) -> float:
        """Return since when data may have waited in a socket until it was read.

        That is about when it was read, unless the VM was suspended meanwhile.

        Parameters
        ----------
        read_at : float
            Monotonic seconds at which the data was read.
        """
        if read_at - self.ticked_at > SUSPENSION_GAP_S:
            return self.ticked_at
        if abs(read_at - self.woke_up_at) < UNKNOWN_AGE_S:
            return self.suspended_at
        return read_at

    def abort_links(self, gap_s: float) -> None:
        """Abort all connections, so that no call of unknown age is run."""
        self.woke_up_at, self.suspended_at = self.clock.monotonic(), self.ticked_at
        self.journal.note("woke_up", gap_s=gap_s, links=len(self.connections))
        for connection in list(self.connections):
            connection.abort()


@dataclass(slots=True)
class PartialCall:
    """A call whose body is being received."""

    call: Call
    missing_bytes: int
    received_at: float
    """Monotonic seconds at which its frame was received."""
    parts: list[bytes] = field(default_factory=list)

    def is_expired(self, now: float) -> bool:
        """Return whether its deadline has passed."""
        return now > self.received_at + self.call.remaining_ms / MS_PER_S


class PeerConnection(asyncio.Protocol):
    """One inbound connection from a peer."""

    __slots__ = (
        "_decoder",
        "_delivery",
        "_is_ending",
        "_is_writable",
        "_jobs",
        "_last_request_id",
        "_partial_calls",
        "_peer",
        "_service",
        "_spaces",
        "_transport",
        "_unsent_replies",
    )

    def __init__(self, service: LinkService) -> None:
        self._service = service
        self._decoder = FrameDecoder()
        self._jobs: dict[int, Job] = {}
        self._partial_calls: dict[int, PartialCall] = {}
        self._spaces: dict[int, BodySpace] = {}
        """Memory of the bodies of the calls in progress, also while they are received."""
        self._unsent_replies = UnsentReplies(service.answer_memory)
        self._is_writable = True
        """Whether the peer reads fast enough for more parts of bodies."""
        self._is_ending = False
        """Whether no more frames are read or written."""
        self._peer = ""
        self._last_request_id = ""
        """Id of the request whose result was written last."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Register the connection."""
        self._transport = transport
        self._delivery = Delivery(transport)
        self._service.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Withdraw the calls in progress, whose results can't be delivered."""
        self._service.connections.discard(self)
        jobs, self._jobs = self._jobs, {}
        for job in jobs.values():
            self._service.ingress.withdraw(job)
        self._partial_calls.clear()
        for number in list(self._spaces):
            self._release(number)
        self.report_undelivered("link_lost")
        self._delivery.close()

    def pause_writing(self) -> None:
        """Send no more parts of bodies while the write buffer is full."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Send more parts of bodies: the write buffer has drained."""
        self._is_writable = True
        self._send_body_parts()

    def is_open(self, now: float) -> bool:
        """Return whether the peer sends a call, or waits for a result on its way.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        is_transferring = bool(self._partial_calls or self._unsent_replies)
        return is_transferring or self._delivery.is_awaited(now)

    def report_undelivered(self, reason: str) -> None:
        """Log the results that the peer has not received, and why it will not."""
        self._report_unsent(self._unsent_replies.clear(), reason)
        if not self._delivery.is_complete:
            self._service.ingress.record_undelivered(
                self._last_request_id,
                reason,
                peer=self._peer,
                pending_bytes=self._delivery.count_pending_bytes(),
            )

    def end(self) -> None:
        """Take no more calls, and close after the results that have been written."""
        self._is_ending = True
        self._delivery.hand_over()
        if not self._transport.is_closing():
            self._transport.write_eof()

    def data_received(self, data: bytes) -> None:
        """Decode and handle the frames received.

        If the first data after a suspension arrives before the tick that would detect
        it, the data is dropped and all links are aborted.
        """
        if self._is_ending:
            return
        service = self._service
        now = service.clock.monotonic()
        gap_s = now - service.ticked_at
        if gap_s > SUSPENSION_GAP_S:
            service.abort_links(gap_s)
            return
        try:
            for frame in self._decoder.feed(data, now):
                self._handle_frame(frame)
        except BadFrameError as error:
            service.journal.note("bad_frame", peer=self._peer, error=error.detail)
            self.abort()

    def check(self, now: float) -> None:
        """Drop calls and replies that expire half sent; close if a frame is overdue."""
        if self._partial_calls:
            self._cancel_expired(now)
        self._report_unsent(self._unsent_replies.drop_expired(now), "expired")
        if self._decoder.is_overdue(now):
            self._service.journal.note("frame_endless", peer=self._peer)
            self.abort()

    def write(self, data: bytes) -> None:
        """Send encoded frames to the peer."""
        if not self._is_ending:
            self._delivery.record_other(len(data))
            self._transport.write(data)

    def _write_result(self, data: bytes, expires_at: float) -> None:
        if not self._is_ending:
            self._delivery.record_answer(expires_at)
            self._transport.write(data)

    def abort(self) -> None:
        """Close the connection without flushing what is buffered."""
        self._transport.abort()

    def _handle_frame(self, frame: Frame) -> None:
        match frame:
            case CallFrame():
                self._receive_call(frame)
            case BodyFrame():
                self._receive_body_part(frame)
            case CancelFrame():
                self._cancel(frame.number)
            case TakeFrame():
                self._unsent_replies.take(frame.number)
                self._send_body_parts()
            case ProbeFrame():
                load = self._service.ingress.load
                self.write(encode_frame(LoadFrame(load)))
            case Hello():
                self._handle_hello(frame)
            case UpdateFrame():
                self._service.on_update(frame)
            case ReaderFrame():
                self._service.on_reader(self._peer, frame)
            case QuotaRequestFrame():
                self.write(encode_frame(self._service.on_quota_request(frame)))
            case _:
                raise BadFrameError(
                    f"{frame.__class__.__name__} not expected at the serving end of a link"
                )

    def _handle_hello(self, hello: Hello) -> None:
        if hello.link_version != LINK_VERSION:
            raise BadFrameError(
                f"peer has link version {hello.link_version}, expected {LINK_VERSION}"
            )
        self._peer = hello.node_id
        self._service.on_hello(hello)
        self._service.on_peer_connected(hello.node_id)
        service = self._service
        answer = msgspec.structs.replace(
            service.make_hello(), answers_sent_at=hello.sent_at
        )
        self.write(encode_frame(answer))
        self.write(encode_frame(LoadFrame(service.ingress.load)))
        for crash in service.make_crash_frames():
            self.write(encode_frame(crash))
        update = service.make_update(hello)
        if update is not None:
            self.write(encode_frame(update))

    def _receive_call(self, frame: CallFrame) -> None:
        now = self._service.clock.monotonic()
        number, call = frame.number, frame.call
        size = frame.following_bytes or len(call.body)
        if size:
            space = BodySpace(self._service.body_memory)
            if not space.try_extend(size):
                self._reject_for_memory(number, call)
                return
            self._spaces[number] = space
        if frame.following_bytes:
            self._partial_calls[number] = PartialCall(call, frame.following_bytes, now)
        else:
            self._start_call(number, call, now)

    def _receive_body_part(self, frame: BodyFrame) -> None:
        """Start the call once its body is complete; parts of ended calls are dropped."""
        partial = self._partial_calls.get(frame.number)
        if partial is None:
            return
        partial.parts.append(frame.data)
        partial.missing_bytes -= len(frame.data)
        if partial.missing_bytes < 0:
            raise BadFrameError(
                f"body is {-partial.missing_bytes} bytes longer than announced"
            )
        if not partial.missing_bytes:
            del self._partial_calls[frame.number]
            call = msgspec.structs.replace(partial.call, body=b"".join(partial.parts))
            self._start_call(frame.number, call, partial.received_at)

    def _start_call(self, number: int, call: Call, received_at: float) -> None:
        def reply(result: Result) -> None:
            if self._jobs.pop(number, None) is not None:
                self._release(number)
                expires_at = received_at + call.remaining_ms / MS_PER_S
                self._send_result(number, call, result, expires_at)

        job = self._service.ingress.make_job(call, reply, received_at)
        self._jobs[number] = job
        self._service.ingress.accept(job)

    def _reject_for_memory(self, number: int, call: Call) -> None:
        service = self._service
        service.journal.trace(
            "rejected_at_backend",
            request=call.id,
            reason=Reason.BODY_MEMORY_FULL,
            held_bytes=service.body_memory.held_bytes,
        )
        rejection = Rejection(Reason.BODY_MEMORY_FULL, BODY_MEMORY_RETRY_AFTER_S, True)
        self._send_result(number, call, rejection, 0.0)

    def _send_result(
        self, number: int, call: Call, result: Result, expires_at: float
    ) -> None:
        """Send a result; a large reply keeps its body until the peer asks for that."""
        service, size = self._service, 0
        match result:
            case Reply(body=body) if len(body) > LARGE_ANSWER_BYTES:
                size = len(body)
                self._unsent_replies.add(number, call.id, body, expires_at)
                result = msgspec.structs.replace(result, body=b"")
        load = service.ingress.load
        cutoff = service.graph.compute_path_cutoff(call.route)
        use = service.graph.compute_path_retry_use(call.route)
        frame = ResultFrame(number, result, load, cutoff, use, size)
        self._last_request_id = call.id
        self._write_result(encode_frame(frame), expires_at)

    def _send_body_parts(self) -> None:
        """Send parts of the bodies in turns, while the peer reads them."""
        while self._is_writable and not self._is_ending:
            part = self._unsent_replies.next_part()
            if part is None:
                return
            self._write_result(encode_frame(part), self._unsent_replies.last_expiry)

    def _report_unsent(self, request_ids: list[str], reason: str) -> None:
        for request_id in request_ids:
            self._service.ingress.record_undelivered(request_id, reason)

    def _cancel_expired(self, now: float) -> None:
        for number, partial in list(self._partial_calls.items()):
            if partial.is_expired(now):
                self._cancel(number)

    def _cancel(self, number: int) -> None:
        """End a call that its caller no longer waits for."""
        self._partial_calls.pop(number, None)
        job = self._jobs.pop(number, None)
        if job is not None:
            self._service.ingress.withdraw(job)
        self._release(number)
        self._unsent_replies.drop(number)

    def _release(self, number: int) -> None:
        space = self._spaces.pop(number, None)
        if space is not None:
            space.release()
