"""Length-prefixed messages on the links between nodes."""

from __future__ import annotations

from math import inf
from typing import Annotated

import msgspec
from msgspec import Meta

from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.exchanges import Call, Indeterminate, Load, Rejection, Reply

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Longest frame accepted: above the longest update of members or of a configuration."""
BODY_PART_BYTES = 32 * 1024
"""Size of the parts in which large bodies are sent; other frames are sent between them."""
FRAME_TIMEOUT_S = 10.0
"""Time allowed from the first byte of a frame to its last. The longest frame takes 1.4 s
on the slowest link, 100 Mbit/s, and shares it with others."""
LINK_VERSION = 5
"""Version of the messages. A link to a peer with another version is closed."""


class BadFrameError(CodedError):
    """A peer sent bytes that are not a valid frame, or a frame not expected there."""

    code = "bad_frame"


class Hello(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """Versions that the sender has; the first message in each direction.

    The calling end sends it again to request an update.
    """

    link_version: int
    node_id: str
    config_version: int
    """Version of the configuration in force at the sender."""
    members_version: int
    """Store version up to which the sender has all changes of members."""
    config_confirmed_at: float = 0.0
    members_confirmed_at: float = 0.0
    """Store times at which these versions were last known to be the newest; 0 if the
    sender does not know."""
    store_time: float = 0.0
    """A store time that had passed when the message was made; 0 if none is known."""
    uncertainty_s: float = inf
    """Seconds by which the store's clock may have been ahead of ``store_time``."""
    sent_at: float = 0.0
    """Monotonic seconds of the sender when it made the message."""
    answers_sent_at: float = 0.0
    """``sent_at`` of the ``Hello`` that this one answers; 0 if it answers none. The
    receiver thereby knows how long the message may have been on its way."""


class CallFrame(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A call to the receiver's backend server."""

    number: int
    call: Call
    following_bytes: Annotated[int, Meta(ge=0)] = 0
    """Size of the call's body if that follows in ``BodyFrame``; 0 if ``call`` has it."""


class ResultFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Result of a call, with the state of the service that it was made to."""

    number: int
    result: Reply | Rejection | Indeterminate
    load: Load
    cutoff: float
    """Lowest cutoff at this service and downstream, for the route of the call."""
    retry_budget_use: float = 0.0
    """Highest share of the retry budget in use at this service and downstream, for the
    route of the call."""
    following_bytes: Annotated[int, Meta(ge=0)] = 0
    """Size of the reply's body if that follows in ``BodyFrame`` once it is asked for; 0
    if ``result`` has it."""


class CancelFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Cancels a call: its caller no longer waits for the result."""

    number: int


class ProbeFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Liveness probe of a silent link, answered with a ``LoadFrame``."""


class LoadFrame(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Load of the sender's backend server.

    It answers ``Hello`` and ``ProbeFrame``, and is sent when the backend server begins
    or stops accepting calls.
    """

    load: Load


class UpdateFrame(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Stored configuration and member records that the receiver may lack."""

    config: bytes = b""
    """The configuration as stored; empty if the receiver has it."""
    config_version: int = 0
    """Version of ``config``: a receiver that already has it need not decode it."""
    members: tuple[bytes, ...] = ()
    """Member records as stored."""
    members_since: int = 0
    members_version: int = 0
    """``members`` holds every change between these two store versions; both are 0 if
    it holds the record of a single member."""
    departed: tuple[tuple[int, str], ...] = ()
    """Start and instance of processes of the receiver's backend server that have left.
    The receiver may have restarted since, and the store may have lost them."""


class ReaderFrame(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Heartbeat of a reader: a node that follows the store for its availability zone.

    It carries the versions that the reader has, and when they were the newest.
    """

    config_version: int
    members_version: int
    config_confirmed_at: float = 0.0
    members_confirmed_at: float = 0.0
    uncertainty_s: float = inf
    """Uncertainty of the reader's estimate of the store's clock, in seconds."""


class CrashFrame(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """A backend server crashed while it ran the requests with these fingerprints."""

    crash_id: str
    fingerprints: tuple[str, ...]


class ClearFrame(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """Clears a suspect: a request that ran during a crash was answered elsewhere."""

    fingerprint: str


class BodyFrame(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """A part of the body of a call or of its reply; the parts are sent in order."""

    number: int
    data: bytes


class TakeFrame(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Asks for the body of a large reply: the caller's node has memory for it."""

    number: int


class QuotaAsk(msgspec.Struct, array_like=True, frozen=True):
    """Units that a node requests for a team."""

    team: str
    units: Annotated[int, Meta(ge=1)]


class QuotaReturn(msgspec.Struct, array_like=True, frozen=True):
    """Units of a grant that a node has not spent and will not spend."""

    team: str
    tenure: int
    serial: int
    units: Annotated[int, Meta(ge=1)]


class QuotaRequestFrame(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """Requests units from the keeper of a position, and returns others to it."""

    number: int
    """Number of the request, which the answer repeats."""
    position: int
    asks: tuple[QuotaAsk, ...] = ()
    returns: tuple[QuotaReturn, ...] = ()


class QuotaGrant(msgspec.Struct, array_like=True, frozen=True):
    """Units that a keeper grants for a team."""

    team: str
    units: Annotated[int, Meta(ge=0)]
    serial: int = 0
    """Number of the grant, which a return names."""
    wait_ms: int = 0
    """Time until the units that are missing flow in, if the quota is known to be used
    up; else 0."""


class QuotaGrantFrame(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """Answer to a ``QuotaRequestFrame``."""

    number: int
    position: int
    tenure: int = 0
    """Number of the keeper's tenure; 0 if the sender does not hold the position."""
    grants: tuple[QuotaGrant, ...] = ()
    holder: str = ""
    """Node that holds the position, if the sender does not and knows it."""


Frame = (
    Hello
    | CallFrame
    | ResultFrame
    | CancelFrame
    | ProbeFrame
    | LoadFrame
    | UpdateFrame
    | ReaderFrame
    | CrashFrame
    | ClearFrame
    | BodyFrame
    | TakeFrame
    | QuotaRequestFrame
    | QuotaGrantFrame
)
"""Any message on a link."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame, preceded by its length."""
    body = _ENCODER.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    """Incremental decoder of the frames in a byte stream."""

    __slots__ = ("_needed_bytes", "_parts", "_size", "_started_at")

    def __init__(self) -> None:
        self._started_at = 0.0
        """Monotonic seconds at which the first bytes of the partial frame arrived."""
        self._parts: list[bytes] = []
        self._size = 0
        self._needed_bytes = 0
        """Length of the unfinished frame: its parts are joined only once complete,
        which keeps long frames from being copied repeatedly."""

    def is_overdue(self, now: float) -> bool:
        """Return whether a frame has been incomplete for more than the timeout."""
        return bool(self._parts) and now - self._started_at > FRAME_TIMEOUT_S

    def feed(self, data: bytes, now: float) -> list[Frame]:
        """Return the frames that ``data`` completes.

        Parameters
        ----------
        data : bytes
            Bytes received since the last call.
        now : float
            Monotonic seconds.

        Raises
        ------
        BadFrameError
            If a frame is too long or can't be decoded.
        """
        had_partial = bool(self._parts)
        if had_partial:
            self._parts.append(data)
            self._size += len(data)
            if self._size < self._needed_bytes:
                return []
            data = b"".join(self._parts)
            self._parts.clear()
        frames: list[Frame] = []
        start, size = 0, len(data)
        self._needed_bytes = LENGTH_BYTES
        while size - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(data[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise BadFrameError(
                    f"frame too long: {length} bytes, limit {MAX_FRAME_BYTES}"
                )
            end = body + length
            if size < end:
                self._needed_bytes = end - start
                break
            try:
                frames.append(_DECODER.decode(data[body:end]))
            except UNDECODABLE as error:
                raise BadFrameError(str(error)) from None
            start = end
        if start < size:
            if frames or not had_partial:
                self._started_at = now
            self._parts.append(data[start:])
            self._size = size - start
        return frames
