"""Phases of learning a concurrency limit, and what is measured in them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from cassiahatch_policies.work_times import MEMORY_RUNS, WorkMean

TRIAL_RUNS = 200
"""Runs that decide a trial. With a spread of 0.6 the ratio of two such means has a
standard error of 6 %."""


class LimitReason(StrEnum):
    """Why the limit is what it is, as shown in logs and metrics."""

    NO_PACE = "no_pace"
    """The server states no pace, so nothing is learned."""
    NO_SLOWDOWN = "no_slowdown"
    """No lower limit has been found better."""
    SLOW_AT_ANY_LIMIT = "slow_at_any_limit"
    """The server is slower than before, and a lower limit does not help."""
    SLOWER_ABOVE = "slower_above"
    """Above the limit, the throughput is no higher."""
    TRIAL = "trial"
    """Another limit is being tried."""


@dataclass(slots=True, frozen=True)
class LimitExplanation:
    """The limit and what it follows from."""

    limit: int
    max_limit: int
    """Limit without learning, from the announced slots."""
    baseline_ms: float
    """Work time at low concurrency and usual pace; 0 if unknown."""
    work_ms: float
    """Work time now; 0 if unknown."""
    reason: LimitReason


@dataclass(slots=True)
class Holding:
    """The limit is kept, and the work time at the limit is measured."""

    retry_at: float
    """Monotonic seconds from which another limit may be tried."""
    counted_from: float = float("-inf")
    """Monotonic seconds from which the runs that end have begun under the limit."""
    work: WorkMean = field(default_factory=lambda: WorkMean(MEMORY_RUNS))


@dataclass(slots=True)
class Trial:
    """Another limit is tried."""

    limit: int
    reference: WorkMean
    """Work time at the limit that was held."""
    counted_from: float
    """Monotonic seconds from which the runs that end have begun under the limit."""
    work: WorkMean = field(default_factory=lambda: WorkMean(TRIAL_RUNS))
