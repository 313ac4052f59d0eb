"""Messages that nodes exchange on links, and their encoding."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.calls import Call, CallContext, Header
from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.outcomes import Answer, Outcome, Refusal, Unknown
from cassiahatch_kernel.priorities import MAX_PLAN_RANK, Importance

MAX_RETRIES = 100
"""Upper bound applied to the retry budget that a peer sends."""


class BadMessageError(CodedError):
    """A peer sent an invalid or unexpected message."""

    code = "bad_peer_message"
    status = 400


class CallMessage(msgspec.Struct, tag="call", array_like=True, frozen=True):
    """A call, and the context propagated with it."""

    id: int
    call: Call
    request_id: str
    customer: str
    importance: Importance
    plan_rank: int
    remaining_ms: float
    """Time left until the deadline; not a point in time, because clocks differ."""
    retries: int
    depth: int
    traceparent: str
    as_holder: bool
    """Whether the call is sent to the receiver as the holder of its key's tenure."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """Load of the sender's backend server."""

    in_flight: int = 0
    """Calls that are running or queued."""
    level: int = 0
    """Admission level, the lowest priority that is admitted."""


class OutcomeMessage(msgspec.Struct, tag="outcome", array_like=True, frozen=True):
    """Outcome of a call; one of ``answer``, ``refusal`` and ``unknown`` is set."""

    id: int
    answer: Answer | None
    refusal: Refusal | None
    unknown: Unknown | None
    load: Load


class CancelMessage(msgspec.Struct, tag="cancel", array_like=True, frozen=True):
    """The sender no longer waits for the outcome of a call."""

    id: int


class DrainMessage(msgspec.Struct, tag="drain", array_like=True, frozen=True):
    """The sender's backend server is draining and should receive no new calls."""

    node_id: str


class ProbeMessage(msgspec.Struct, tag="probe", array_like=True, frozen=True):
    """Checks that the connection still works; answered by a ``ProbeReply``."""


class ProbeReply(msgspec.Struct, tag="probed", array_like=True, frozen=True):
    """Answer to a ``ProbeMessage``, with the load of the sender's backend server."""

    load: Load


Message = (
    CallMessage
    | OutcomeMessage
    | CancelMessage
    | DrainMessage
    | ProbeMessage
    | ProbeReply
)
"""Any message on a link."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(body: bytes | str) -> Message:
    """Decode a message.

    Raises
    ------
    BadMessageError
        If ``body`` is not a valid message.
    """
    if isinstance(body, str):
        raise BadMessageError("expected a binary message, received text")
    try:
        return _DECODER.decode(body)
    except UNDECODABLE as error:
        raise BadMessageError(str(error)) from None


def make_call_message(
    number: int, call: Call, context: CallContext, as_holder: bool, now: float
) -> CallMessage:
    """Return the message that carries a call."""
    return CallMessage(
        id=number,
        call=call,
        request_id=context.request_id,
        customer=context.customer,
        importance=context.importance,
        plan_rank=context.plan_rank,
        remaining_ms=(context.deadline - now) * 1000,
        retries=context.retries,
        depth=context.depth,
        traceparent=context.traceparent,
        as_holder=as_holder,
    )


def read_context(message: CallMessage, now: float) -> CallContext:
    """Return the context of a received call; ``now`` is this node's monotonic time."""
    return CallContext(
        request_id=message.request_id,
        customer=message.customer,
        importance=message.importance,
        plan_rank=min(max(message.plan_rank, 0), MAX_PLAN_RANK),
        deadline=now + message.remaining_ms / 1000,
        retries=min(max(message.retries, 0), MAX_RETRIES),
        depth=message.depth,
        traceparent=message.traceparent,
    )


def make_outcome_message(number: int, outcome: Outcome, load: Load) -> OutcomeMessage:
    """Return the message that carries an outcome."""
    match outcome:
        case Answer():
            return OutcomeMessage(number, outcome, None, None, load)
        case Refusal():
            return OutcomeMessage(number, None, outcome, None, load)
        case Unknown():
            return OutcomeMessage(number, None, None, outcome, load)


def read_outcome(message: OutcomeMessage) -> Outcome:
    """Return the outcome in a message.

    Raises
    ------
    BadMessageError
        If the message holds none.
    """
    outcome = message.answer or message.refusal or message.unknown
    if outcome is None:
        raise BadMessageError("outcome message holds no answer, refusal or unknown")
    return outcome


__all__ = ["Header", "Load", "Message"]
