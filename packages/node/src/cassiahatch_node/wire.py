"""Messages that nodes send each other on a peer link, and their encoding."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.calls import Call, CallContext, Header
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.outcomes import Answer, Outcome, Refusal, Unknown
from cassiahatch_kernel.priorities import MAX_PLAN_RANK, Importance

MAX_RETRIES = 100


class BadMessageError(CodedError):
    """A peer sent something that is not a message."""

    code = "bad_peer_message"
    status = 400


class CallMessage(msgspec.Struct, tag="call", array_like=True, frozen=True):
    """A call, and the context that travels with it."""

    id: int
    call: Call
    request_id: str
    customer: str
    importance: Importance
    plan_rank: int
    remaining_ms: float
    """Time left until the deadline; never an instant, for clocks differ."""
    retries: int
    depth: int
    traceparent: str
    as_holder: bool
    """The receiver is meant to hold the tenure of the call's key."""


class Load(msgspec.Struct, array_like=True, frozen=True):
    """How busy the sender's backend server is."""

    in_flight: int = 0
    level: int = 0


class OutcomeMessage(msgspec.Struct, tag="outcome", array_like=True, frozen=True):
    """How a call ended."""

    id: int
    answer: Answer | None
    refusal: Refusal | None
    unknown: Unknown | None
    load: Load


class CancelMessage(msgspec.Struct, tag="cancel", array_like=True, frozen=True):
    """Nobody waits for a call any more."""

    id: int


class DrainMessage(msgspec.Struct, tag="drain", array_like=True, frozen=True):
    """The sender's backend server is leaving and wants no new calls."""

    node_id: str


class ProbeMessage(msgspec.Struct, tag="probe", array_like=True, frozen=True):
    """The sender asks whether the connection still works."""


class ProbeReply(msgspec.Struct, tag="probed", array_like=True, frozen=True):
    """It does, and this is how busy the backend server is."""

    load: Load


Message = (
    CallMessage
    | OutcomeMessage
    | CancelMessage
    | DrainMessage
    | ProbeMessage
    | ProbeReply
)
"""Anything sent on a peer link."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode_message(body: bytes | str) -> Message:
    """Return the message in ``body``.

    Raises
    ------
    BadMessageError
        If it is none.
    """
    if isinstance(body, str):
        raise BadMessageError("peer messages are binary")
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
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
    """Return the context of a call that came on a link."""
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
        If it holds none.
    """
    outcome = message.answer or message.refusal or message.unknown
    if outcome is None:
        raise BadMessageError("an outcome message without outcome")
    return outcome


__all__ = ["Header", "Load", "Message"]
