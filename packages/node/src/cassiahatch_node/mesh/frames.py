"""Messages on the links between nodes, each behind its length."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.exchanges import Call, Indeterminate, Load, Rejection, Reply

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 72 * 1024 * 1024
"""Longest frame: the largest body that a configuration may allow, and its head."""
FRAME_TIMEOUT_S = 10.0
"""Time from the first byte of a frame to its last: the longest one takes 6 s on the
slowest link, 100 Mbit/s."""
LINK_VERSION = 2
"""Version of the messages; a peer of another version is not linked to."""


class BadFrameError(CodedError):
    """A peer sent bytes that are no message."""

    code = "bad_frame"


class Hello(msgspec.Struct, array_like=True, tag=0, frozen=True):
    """First message of each end."""

    link_version: int
    node_id: str
    config_version: int
    """Version of the configuration in force there."""
    members_version: int
    """Store version up to which the members are known there."""


class CallFrame(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A call to the receiver's backend server."""

    number: int
    call: Call


class ResultFrame(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """How a call ended."""

    number: int
    result: Reply | Rejection | Indeterminate
    load: Load
    cutoff: float
    """Lowest cutoff known at or below the service, for the route of the call."""
    retry_budget_use: float = 0.0
    """Highest share known of the allowed repeats used at or below the service, for
    the route of the call."""


class CancelFrame(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Nobody waits for a call any more."""

    number: int


class ProbeFrame(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The sender asks whether the link still works."""


class LoadFrame(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """It does, or the sender's backend server starts or ceases to take calls."""

    load: Load


class NewsFrame(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """What the sender knows from the store and the receiver may lack."""

    config: bytes = b""
    """The configuration as stored; empty if the receiver has it."""
    config_version: int = 0
    """Its version, so that a receiver which has it need not decode it."""
    members: tuple[bytes, ...] = ()
    """Members as stored."""
    members_since: int = 0
    members_version: int = 0
    """The members are all that changed between these store versions; both are 0 for
    the record of a single member."""


class ReaderFrame(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The sender follows the store for the nodes of its availability zone."""

    config_version: int
    members_version: int


class CrashFrame(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """A backend server died while it ran some requests."""

    crash_id: str
    fingerprints: tuple[str, ...]


class ClearFrame(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """A request that ran at a crash was answered elsewhere."""

    fingerprint: str


Frame = (
    Hello
    | CallFrame
    | ResultFrame
    | CancelFrame
    | ProbeFrame
    | LoadFrame
    | NewsFrame
    | ReaderFrame
    | CrashFrame
    | ClearFrame
)
"""Anything sent on a link."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame, its length first."""
    body = _ENCODER.encode(frame)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameReader:
    """Cuts a stream of bytes into frames."""

    __slots__ = ("_began_at", "_needed", "_parts", "_size")

    def __init__(self) -> None:
        self._began_at = 0.0
        """When the unfinished frame began."""
        self._parts: list[bytes] = []
        self._size = 0
        self._needed = 0
        """Bytes that the frame begun needs, so that a long one is joined once."""

    def is_endless(self, now: float) -> bool:
        """Tell whether a frame has been unfinished for too long."""
        return bool(self._parts) and now - self._began_at > FRAME_TIMEOUT_S

    def feed(self, data: bytes, now: float) -> list[Frame]:
        """Return the frames that ``data`` completes.

        Parameters
        ----------
        data : bytes
            What has just arrived.
        now : float
            Clock seconds.

        Raises
        ------
        BadFrameError
            If the bytes are no frames.
        """
        was_inside = bool(self._parts)
        if was_inside:
            self._parts.append(data)
            self._size += len(data)
            if self._size < self._needed:
                return []
            data = b"".join(self._parts)
            self._parts.clear()
        frames: list[Frame] = []
        start, size = 0, len(data)
        self._needed = LENGTH_BYTES
        while size - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(data[start:body], "big")
            if length > MAX_FRAME_BYTES:
                raise BadFrameError(f"a frame of {length} bytes")
            end = body + length
            if size < end:
                self._needed = end - start
                break
            try:
                frames.append(_DECODER.decode(data[body:end]))
            except (msgspec.DecodeError, msgspec.ValidationError) as error:
                raise BadFrameError(str(error)) from None
            start = end
        if start < size:
            if frames or not was_inside:
                self._began_at = now
            self._parts.append(data[start:])
            self._size = size - start
        return frames
