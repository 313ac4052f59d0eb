"""Decoding of frames from links, however the bytes are split into reads."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiahatch_kernel.exchanges import (
    Call,
    Indeterminate,
    Load,
    Reason,
    Rejection,
    Reply,
)
from cassiahatch_node.mesh.frames import (
    MAX_FRAME_BYTES,
    BadFrameError,
    BodyFrame,
    CallFrame,
    CancelFrame,
    FrameDecoder,
    Hello,
    LoadFrame,
    ProbeFrame,
    QuotaAsk,
    QuotaGrant,
    QuotaGrantFrame,
    QuotaRequestFrame,
    QuotaReturn,
    ReaderFrame,
    ResultFrame,
    TakeFrame,
    UpdateFrame,
    encode_frame,
)

CALL = Call(
    "r1.b",
    "route",
    "POST",
    "h.example",
    "/x?y",
    b"A: b\r\n",
    b"\x00" * 300,
    "shop",
    "i-1",
    12.5,
    -3.0,
    2,
    2.25,
    False,
    False,
)
FRAMES = [
    Hello(1, "n1", 7, 9),
    CallFrame(1, CALL),
    ResultFrame(1, Reply(200, b"S: t\r\n", b"body"), Load(1, 2, 3, 4.5), 2.5),
    ResultFrame(2, Rejection(Reason.SHED, 0.5, True), Load(), 1000.0),
    ResultFrame(3, Indeterminate(Reason.LINK_LOST), Load(accepts=False), 1000.0),
    CancelFrame(4),
    ProbeFrame(),
    LoadFrame(Load(5, 6, 7, 8.0)),
    UpdateFrame(b"config", 7, (b"m1", b"m2"), 3, 9),
    ReaderFrame(7, 9),
    ResultFrame(5, Reply(200, b"", b""), Load(), 1.0, 0.5, 70_000),
    BodyFrame(5, b"part"),
    TakeFrame(5),
    QuotaRequestFrame(1, 7, (QuotaAsk("acme", 3),), (QuotaReturn("bolt", 2, 9, 1),)),
    QuotaGrantFrame(1, 7, 2, (QuotaGrant("acme", 0, 9, 150),)),
    QuotaGrantFrame(2, 7, holder="n1"),
]


@settings(max_examples=80, deadline=None, derandomize=True)
@given(
    picks=st.lists(st.integers(0, len(FRAMES) - 1), max_size=8),
    cuts=st.lists(st.integers(1, 400), max_size=40),
)
def test_frames_survive_any_cut(picks: list[int], cuts: list[int]) -> None:
    data = b"".join(encode_frame(FRAMES[pick]) for pick in picks)
    decoder, found = FrameDecoder(), []
    for cut in cuts:
        found += decoder.feed(data[:cut], 0.0)
        data = data[cut:]
    found += decoder.feed(data, 0.0)
    assert found == [FRAMES[pick] for pick in picks]


INVALID = [
    (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
    b"\x00\x00\x00\x01\xc1",
    b"\x00\x00\x00\x02\x91\x63",
]


@pytest.mark.parametrize("data", INVALID)
def test_invalid_bytes_raise_bad_frame_error(data: bytes) -> None:
    with pytest.raises(BadFrameError):
        list(FrameDecoder().feed(data, 0.0))
