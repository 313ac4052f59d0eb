"""How a call can end."""

from __future__ import annotations

from dataclasses import dataclass

from cassiahatch_kernel.calls import Call, Header


@dataclass(slots=True, frozen=True)
class Answer:
    """The call ran and this is its whole answer."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    unused_retries: int = 0
    level: int = 0
    """Highest admission level seen at or below the service that answered."""


@dataclass(slots=True, frozen=True)
class Refusal:
    """The call certainly did not run."""

    code: str
    detail: str
    status: int = 503
    elsewhere: bool = False
    """Another upstream may accept the same call."""
    unused_retries: int = 0
    level: int = 0
    key_checked: bool = False
    """The holder of the key's tenure vouches that no earlier attempt ran."""


@dataclass(slots=True, frozen=True)
class Unknown:
    """The call may have run; no answer is known."""

    code: str
    detail: str
    status: int = 504
    unused_retries: int = 0
    level: int = 0


Outcome = Answer | Refusal | Unknown
"""Any way in which a call can end."""


def convert_to_unknown(refusal: Refusal) -> Unknown:
    """Return the outcome of a request of which an earlier attempt may have run."""
    return Unknown(
        refusal.code,
        f"{refusal.detail}; an earlier attempt may have run",
        refusal.status,
        refusal.unused_retries,
        refusal.level,
    )


def convert_unverified_refusal(outcome: Outcome, call: Call) -> Outcome:
    """Return ``outcome``, with a refusal only where it holds for the whole request.

    A key may have been sent before. Unless the caller vouches that it was not, only
    the holder of its tenure can tell that the request did not run.
    """
    match outcome:
        case Refusal(key_checked=False) if not (call.idempotent or call.first_attempt):
            return convert_to_unknown(outcome)
        case _:
            return outcome
