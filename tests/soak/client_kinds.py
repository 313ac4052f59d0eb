"""What a client does in an exchange, drawn at random."""

from __future__ import annotations

import random
from dataclasses import dataclass

IDLE_TIMEOUT_S = 5.0
"""Idle timeout of clients' connections in the configuration."""
VARIED_DEADLINE_S = 5.0
"""Deadline of all kinds but ``Steady``, and timeout of their routes."""
MAX_WAIT_SHARE = 0.8
"""Share of a deadline or an idle timeout for which clients wait at most."""
ANSWER_SIZES = ((0, 60_000), (60_000, 130_000), (130_000, 200_000), (200_000, 10**6))
"""Ranges of the sizes of answers that are read late, in bytes. All answers of a node lie
in one range: the longer ones delay its end until the shorter ones have been read."""


MAX_PIPELINED = 20
"""Most requests of a ``SafePipeline``; more than a node serves at the same time."""


@dataclass(slots=True, frozen=True)
class Steady:
    """Sends a request on a kept connection, and reads its answer."""


@dataclass(slots=True, frozen=True)
class ReadLate:
    """Reads nothing of an answer for ``wait_s``, over a link with small windows."""

    answer_bytes: int
    wait_s: float


@dataclass(slots=True, frozen=True)
class Pipeline:
    """Sends ``count`` requests at once."""

    count: int


@dataclass(slots=True, frozen=True)
class SafePipeline:
    """Sends safe requests at once, one for each length of work."""

    work_s: tuple[float, ...]
    """Most of them fall, so that later answers are ready first."""


@dataclass(slots=True, frozen=True)
class SplitBody:
    """Sends the last part of a body ``wait_s`` after the first one."""

    wait_s: float


@dataclass(slots=True, frozen=True)
class HalfClose:
    """Closes its sending half after the request, and so counts as one that has left."""


@dataclass(slots=True, frozen=True)
class ReuseIdle:
    """Sends a request on a connection that has been idle for ``wait_s``."""

    wait_s: float


ClientKind = (
    Steady | ReadLate | Pipeline | SafePipeline | SplitBody | HalfClose | ReuseIdle
)


def draw_kind(
    random_source: random.Random, answer_sizes: tuple[int, int]
) -> ClientKind:
    """Return any kind but ``Steady``; most are ``ReadLate``, whose cases are many.

    Parameters
    ----------
    answer_sizes : tuple of int
        One of ``ANSWER_SIZES``.
    """
    kinds: list[ClientKind] = [
        ReadLate(
            random_source.randint(*answer_sizes),
            random_source.uniform(0.5, MAX_WAIT_SHARE) * VARIED_DEADLINE_S,
        ),
        Pipeline(random_source.randint(2, 4)),
        SplitBody(random_source.uniform(0.05, 1.0)),
        HalfClose(),
        ReuseIdle(random_source.uniform(0.2, MAX_WAIT_SHARE) * IDLE_TIMEOUT_S),
        _draw_safe_pipeline(random_source),
    ]
    return random_source.choices(kinds, (10, 2, 2, 1, 1, 3))[0]


def _draw_safe_pipeline(random_source: random.Random) -> SafePipeline:
    count = random_source.randint(2, MAX_PIPELINED)
    works = sorted(
        (random_source.uniform(0.0, 0.2) for _ in range(count)), reverse=True
    )
    first, second = random_source.sample(range(count), 2)
    works[first], works[second] = works[second], works[first]
    return SafePipeline(tuple(works))
