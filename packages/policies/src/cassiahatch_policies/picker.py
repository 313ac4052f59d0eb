"""Load balancing: the choice of an upstream for a call."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from cassiahatch_kernel.members import Member
from cassiahatch_kernel.priorities import passes_level
from cassiahatch_kernel.registry import PLUGINS

ZONE_PENALTY = 0.25
"""Cost added for an upstream in another availability zone, in shares of its slots."""
REPORT_TTL_S = 1.0
"""How long the load of a load report is used."""
FAILURES_TO_EJECT = 3
"""Number of consecutive failures after which an upstream is ejected."""
FIRST_EJECTION_S = 0.5
"""Duration of the first ejection; each further one lasts twice as long."""
MAX_EJECTION_S = 8.0
MIN_USABLE_SHARE = 0.5
"""Ejections are ignored while less than this share of the upstreams is usable."""
LEVEL_TTL_S = 0.5
"""How long the admission level of a load report is used."""
SAMPLE_SIZE = 2


@dataclass(slots=True)
class Target:
    """Load, admission level and failures of one upstream, as recorded by this node."""

    member: Member
    in_flight: int = 0
    """Calls that this node has sent and the upstream has not answered."""
    reported_in_flight: int = 0
    """Running and queued calls of all nodes, in the last load report."""
    reported_at: float = float("-inf")
    level: int = 0
    """Admission level in the last load report."""
    level_at: float = float("-inf")
    failures: int = 0
    """Consecutive failures since the last success or ejection."""
    ejections: int = 0
    """Consecutive ejections since the last success."""
    ejected_until: float = float("-inf")

    def record_load(self, in_flight: int, level: int, now: float) -> None:
        """Record a load report of the upstream."""
        self.reported_in_flight = in_flight
        self.reported_at = now
        self.level = level
        self.level_at = now

    def record_success(self) -> None:
        """Record a success, which ends any ejection."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Record a failure, and eject the upstream after ``FAILURES_TO_EJECT``."""
        self.failures += 1
        if self.failures >= FAILURES_TO_EJECT:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Eject the upstream for a time that doubles up to ``MAX_EJECTION_S``."""
        duration_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + duration_s

    def would_admit(self, priority: int, now: float) -> bool:
        """Return whether the level admits a call; True if the level has expired."""
        if now - self.level_at > LEVEL_TTL_S:
            return True
        return passes_level(priority, self.level)

    def compute_cost(self, zone: str, now: float) -> float:
        """Return the load as a share of the slots, plus a penalty for another zone."""
        load = self.in_flight
        if now - self.reported_at < REPORT_TTL_S:
            load = max(load, self.reported_in_flight)
        penalty = 0.0 if self.member.zone == zone else ZONE_PENALTY
        return load / max(1, self.member.slots) + penalty


@PLUGINS.register("picker", "two-choices")
class TwoChoicesPicker:
    """Chooses the cheapest of two random upstreams in the zone and two in any zone.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    random_source : random.Random
        Random source of the choices.
    """

    __slots__ = ("_random", "_zone")

    def __init__(self, zone: str, random_source: random.Random) -> None:
        self._zone = zone
        self._random = random_source

    def pick(
        self, targets: Sequence[Target], priority: int, now: float
    ) -> Target | None:
        """Return an upstream for a call, or None if no level admits it.

        Parameters
        ----------
        targets : sequence of Target
            Upstreams to choose from; not empty.
        priority : int
            Priority that the call will have at the upstream.
        now : float
            Monotonic seconds.
        """
        usable = self._exclude_ejected(targets, now)
        admitting = [t for t in usable if t.would_admit(priority, now)]
        if not admitting:
            return None
        same_zone = [t for t in admitting if t.member.zone == self._zone]
        candidates = self._sample(same_zone) + self._sample(admitting)
        return min(candidates, key=lambda t: t.compute_cost(self._zone, now))

    def _exclude_ejected(
        self, targets: Sequence[Target], now: float
    ) -> Sequence[Target]:
        usable = [t for t in targets if t.ejected_until <= now]
        if len(usable) < MIN_USABLE_SHARE * len(targets):
            return targets
        return usable

    def _sample(self, targets: Sequence[Target]) -> list[Target]:
        return self._random.sample(targets, min(SAMPLE_SIZE, len(targets)))


@PLUGINS.register("picker", "random")
class RandomPicker:
    """Chooses any upstream: a baseline without overload control."""

    __slots__ = ("_random",)

    def __init__(self, zone: str, random_source: random.Random) -> None:
        self._random = random_source

    def pick(
        self, targets: Sequence[Target], priority: int, now: float
    ) -> Target | None:
        """Return a random upstream."""
        return self._random.choice(targets)
