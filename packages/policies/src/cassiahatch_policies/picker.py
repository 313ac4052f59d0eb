"""The choice of an upstream for a call."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from cassiahatch_kernel.members import Member
from cassiahatch_kernel.priorities import passes_level
from cassiahatch_kernel.registry import PLUGINS

ZONE_PENALTY = 0.25
"""Load, as a share of the slots, that crossing a zone is worth."""
REPORT_HORIZON_S = 1.0
EJECT_AFTER = 3
FIRST_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
MIN_USABLE_SHARE = 0.5
LEVEL_HORIZON_S = 0.5
SAMPLE_SIZE = 2


@dataclass(slots=True)
class Target:
    """What this node knows of one upstream."""

    member: Member
    in_flight: int = 0
    """Calls of this node that the upstream has not answered."""
    reported_in_flight: int = 0
    reported_at: float = float("-inf")
    level: int = 0
    level_at: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")

    def record_load(self, in_flight: int, level: int, now: float) -> None:
        """Take in the load that came with an answer."""
        self.reported_in_flight = in_flight
        self.reported_at = now
        self.level = level
        self.level_at = now

    def record_success(self) -> None:
        """Take in evidence that the upstream works."""
        self.failures = 0
        self.ejections = 0
        self.ejected_until = float("-inf")

    def record_failure(self, now: float) -> None:
        """Take in evidence that the upstream does not work."""
        self.failures += 1
        if self.failures >= EJECT_AFTER:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Leave the upstream out for a while, longer each time."""
        pause = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.failures = 0
        self.ejected_until = now + pause

    def pass_level(self, priority: int, now: float) -> bool:
        """Tell whether the last known level lets a call of ``priority`` in."""
        if now - self.level_at > LEVEL_HORIZON_S:
            return True
        return passes_level(priority, self.level)

    def weigh(self, zone: str, now: float) -> float:
        """Return the load as a share of the slots, more if in another zone."""
        load = self.in_flight
        if now - self.reported_at < REPORT_HORIZON_S:
            load = max(load, self.reported_in_flight)
        penalty = 0.0 if self.member.zone == zone else ZONE_PENALTY
        return load / max(1, self.member.slots) + penalty


@PLUGINS.register("picker", "two-choices")
class TwoChoicesPicker:
    """The better of two random upstreams in the zone and two anywhere.

    Parameters
    ----------
    zone : str
        Availability zone of this node.
    source : random.Random
        Where the choices come from.
    """

    __slots__ = ("_source", "_zone")

    def __init__(self, zone: str, source: random.Random) -> None:
        self._zone = zone
        self._source = source

    def pick(
        self, targets: Sequence[Target], priority: int, now: float
    ) -> Target | None:
        """Return an upstream for a call, or None if every level refuses it.

        Parameters
        ----------
        targets : sequence of Target
            Upstreams that may be used; not empty.
        priority : int
            Priority that the call will have at the upstream.
        now : float
            Monotonic seconds.
        """
        usable = self._find_usable(targets, now)
        open_targets = [t for t in usable if t.pass_level(priority, now)]
        if not open_targets:
            return None
        near = [t for t in open_targets if t.member.zone == self._zone]
        candidates = self._sample(near) + self._sample(open_targets)
        return min(candidates, key=lambda t: t.weigh(self._zone, now))

    def _find_usable(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        usable = [t for t in targets if t.ejected_until <= now]
        if len(usable) < MIN_USABLE_SHARE * len(targets):
            return targets
        return usable

    def _sample(self, targets: Sequence[Target]) -> list[Target]:
        return self._source.sample(targets, min(SAMPLE_SIZE, len(targets)))


@PLUGINS.register("picker", "random")
class RandomPicker:
    """Any upstream, as the baseline without control."""

    __slots__ = ("_source",)

    def __init__(self, zone: str, source: random.Random) -> None:
        self._source = source

    def pick(
        self, targets: Sequence[Target], priority: int, now: float
    ) -> Target | None:
        """Return a random upstream."""
        return self._source.choice(targets)
