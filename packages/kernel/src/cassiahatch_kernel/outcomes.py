"""Possible outcomes of a call."""

from __future__ import annotations

from dataclasses import dataclass

from cassiahatch_kernel.calls import Call, Header


@dataclass(slots=True, frozen=True)
class Answer:
    """The call ran; this is its complete answer."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    unused_retries: int = 0
    level: int = 0
    """Highest admission level at the service that answered and downstream.

    The admission level of a service is the lowest priority that it admits.
    """


@dataclass(slots=True, frozen=True)
class Refusal:
    """The call did not run."""

    code: str
    detail: str
    status: int = 503
    elsewhere: bool = False
    """Whether another upstream may accept the same call."""
    unused_retries: int = 0
    level: int = 0
    key_checked: bool = False
    """Whether the holder of the key's tenure has confirmed that no attempt ran."""


@dataclass(slots=True, frozen=True)
class Unknown:
    """The call may have run, but no answer was received."""

    code: str
    detail: str
    status: int = 504
    unused_retries: int = 0
    level: int = 0


Outcome = Answer | Refusal | Unknown
"""Any outcome of a call."""


def convert_to_unknown(refusal: Refusal) -> Unknown:
    """Return the outcome of a refused call of which an earlier attempt may have run."""
    return Unknown(
        refusal.code,
        f"{refusal.detail}; an earlier attempt may have run",
        refusal.status,
        refusal.unused_retries,
        refusal.level,
    )


def convert_unverified_refusal(outcome: Outcome, call: Call) -> Outcome:
    """Return ``outcome``, or ``Unknown`` for a refusal that covers only this attempt.

    An earlier attempt with the same key may have run. Unless the caller guarantees
    that there was none, only the holder of the key's tenure can rule this out.
    """
    match outcome:
        case Refusal(key_checked=False) if not (call.idempotent or call.first_attempt):
            return convert_to_unknown(outcome)
        case _:
            return outcome
