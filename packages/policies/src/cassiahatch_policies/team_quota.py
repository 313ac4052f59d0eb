"""Quotas of teams: the keeper's token bucket, and the units that a node holds.

The load it answers is that of a team that sends more than it may, through any number of
nodes. A keeper grants units, and a node spends one unit for each request before the end
of the unit's grant. Only what a keeper has granted can be spent, so lost grants and
nodes that are cut off never raise the number of requests.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import deque
from dataclasses import dataclass, replace

import msgspec

from cassiahatch_kernel.registry import PLUGINS

GRANT_LIFE_S = 0.5
"""Time from the request of a grant during which its units may be spent. In a window, the
units of this much more time can be spent than are granted in it. With the window of 5 s
and the overrun of 0.1, the overrun covers just that, and the burst remains whole."""
RETURN_BEFORE_END_S = 0.15
"""Time before the end of a grant at which its unspent units are returned: longer than
the interval at which a node looks for them."""
HISTORY_S = 5.0
"""Time after a grant in which its units may come back to the keeper. Requests that are
rejected later than that lose their unit."""
AHEAD_S = 0.3
"""Time whose expected requests a node holds units for. It is below the life of a grant,
so that most units are spent before they have to be returned."""
DEMAND_MEMORY_S = 0.5
"""Time constant of the average of a team's requests at a node."""


class QuotaBound(msgspec.Struct, frozen=True):
    """Limit on the requests of a team in any window, as a function of its quota."""

    window_s: float
    overrun: float
    """Share by which the quota may be exceeded in a window."""
    slack: float
    """Requests that may be added to that."""

    def compute_limit(self, rate_per_s: float, burst: float) -> float:
        """Return how many requests may run in any window."""
        quota = rate_per_s * self.window_s + burst
        return quota * (1 + self.overrun) + self.slack

    def compute_refill(self, rate_per_s: float, burst: float) -> Refill:
        """Return the bucket that keeps the limit.

        The units spent in a window were granted in it or within ``GRANT_LIFE_S`` before
        it, and in any time a bucket grants at most its capacity and what flows in.
        """
        limit = self.compute_limit(rate_per_s, burst)
        span_s = self.window_s + GRANT_LIFE_S
        if limit < 1:
            return Refill(0.0, 0.0)
        rate_per_s = min(rate_per_s, (limit - 1) / span_s)
        return Refill(rate_per_s, limit - rate_per_s * span_s)


class Refill(msgspec.Struct, frozen=True):
    """Rate and capacity of a token bucket."""

    rate_per_s: float
    capacity: float


@dataclass(slots=True)
class _Headroom:
    """Space that was left in a bucket just before a grant."""

    serial: int
    units: float
    at: float


@PLUGINS.register("team_bucket", "window")
class TeamBucket:
    """The token bucket of one team at its keeper.

    Units that come back count as never granted, as far as the bucket would not have
    overflowed without their grant. So the units granted and not returned in any time
    are at most the capacity and what flows in, and no window exceeds its limit.

    Parameters
    ----------
    bound : QuotaBound
        The limit to keep.
    rate_per_s, burst : float
        The team's quota.
    started_at : float
        Monotonic seconds at which the bucket was empty: the last moment at which a
        predecessor may have granted units; minus infinity if there was none.
    """

    __slots__ = (
        "_bound",
        "_headrooms",
        "_lost_serial",
        "_quota",
        "_refill",
        "_refilled_at",
        "_started_at",
        "_tokens",
        "serial",
    )

    def __init__(
        self, bound: QuotaBound, rate_per_s: float, burst: float, started_at: float
    ) -> None:
        self._bound = bound
        self._quota = rate_per_s, burst
        self._refill = bound.compute_refill(rate_per_s, burst)
        self._tokens = 0.0
        self._started_at = self._refilled_at = started_at
        self._headrooms: list[_Headroom] = []
        """Least space since each grant: the units grow with the serial numbers."""
        self._lost_serial = 0
        """Highest serial number of a grant whose units are no longer taken back."""
        self.serial = 0
        """Number of the last grant."""

    def set_quota(self, rate_per_s: float, burst: float, now: float) -> None:
        """Apply a changed quota from now on."""
        if (rate_per_s, burst) == self._quota:
            return
        self._flow_in(now)
        self._quota = rate_per_s, burst
        self._refill = self._bound.compute_refill(rate_per_s, burst)
        self._tokens = min(self._tokens, self._refill.capacity)
        self._headrooms.clear()
        self._lost_serial = self.serial

    def grant(self, requested: int, now: float) -> int:
        """Take at most ``requested`` units from the bucket, and return their number."""
        self._flow_in(now)
        granted = min(max(requested, 0), math.floor(self._tokens))
        if granted:
            self.serial += 1
            self._record_headroom(now)
            self._tokens -= granted
        return granted

    def take_back(self, units: int, serial: int, now: float) -> None:
        """Take back units of the grant with a serial number that were not spent."""
        self._flow_in(now)
        self._forget(now)
        if not self._lost_serial < serial <= self.serial:
            return
        later = bisect_right(self._headrooms, serial, key=_get_serial)
        space = self._refill.capacity - self._tokens
        if later < len(self._headrooms):
            space = min(space, self._headrooms[later].units)
        taken = min(max(units, 0), space)
        self._tokens += taken
        for headroom in self._headrooms[later:]:
            headroom.units -= taken
        if later < len(self._headrooms):
            self._drop_larger(later, self._headrooms[later].units)

    def is_settled(self, now: float) -> bool:
        """Return whether the bucket knows all that was granted in the last window.

        Until then its being empty does not show that the team has used its quota.
        """
        return now - self._started_at >= self._bound.window_s

    def compute_wait_s(self, units: int, now: float) -> float:
        """Return the seconds until so many units will have flowed in."""
        self._flow_in(now)
        missing = max(0.0, units - self._tokens)
        if missing and not self._refill.rate_per_s:
            return self._bound.window_s
        return min(missing / (self._refill.rate_per_s or 1.0), self._bound.window_s)

    def _flow_in(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        if self._refill.rate_per_s:
            self._tokens += self._refill.rate_per_s * elapsed_s
        elif elapsed_s == math.inf:
            self._tokens = self._refill.capacity
        self._tokens = min(self._refill.capacity, self._tokens)

    def _record_headroom(self, now: float) -> None:
        units = self._refill.capacity - self._tokens
        self._drop_larger(len(self._headrooms), units)
        self._headrooms.append(_Headroom(self.serial, units, now))
        self._forget(now)

    def _drop_larger(self, end: int, units: float) -> None:
        """Drop the records before ``end`` that a later, smaller one makes needless."""
        first = end
        while first and self._headrooms[first - 1].units >= units:
            first -= 1
        del self._headrooms[first:end]

    def _forget(self, now: float) -> None:
        while self._headrooms and now - self._headrooms[0].at > HISTORY_S:
            self._lost_serial = self._headrooms.pop(0).serial


def _get_serial(headroom: _Headroom) -> int:
    return headroom.serial


@dataclass(slots=True)
class Grant:
    """Units that a keeper granted, with the tenure and the number of the grant."""

    units: int
    expires_at: float
    """Monotonic seconds of the node that requested it."""
    tenure: int = 0
    serial: int = 0


@PLUGINS.register("team_allowance", "ahead")
class Allowance:
    """The units that one node holds for one team, and the team's demand there.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = (
        "_arrivals",
        "_exhausted_until",
        "_grants",
        "_measured_at",
        "demand_per_s",
        "last_used_at",
        "wait_s",
    )

    def __init__(self, now: float) -> None:
        self._grants: deque[Grant] = deque()
        self._arrivals = 0
        self._measured_at = now
        self._exhausted_until = float("-inf")
        self.demand_per_s = 0.0
        """Average of the requests a second."""
        self.last_used_at = now
        self.wait_s = 0.0
        """Seconds until units flow in, by the keeper's last refusal."""

    def take(self, now: float) -> Grant | None:
        """Count a request and spend a unit on it; return the grant that it came from."""
        self._arrivals += 1
        self.last_used_at = now
        return self.spend(now)

    def spend(self, now: float) -> Grant | None:
        """Spend a unit on a request already counted; return the unit's grant, or None."""
        grants = self._grants
        while grants:
            grant = grants[0]
            if grant.expires_at > now and grant.units:
                grant.units -= 1
                return grant
            grants.popleft()
        return None

    def add(self, grant: Grant) -> None:
        """Add a grant."""
        self._grants.append(grant)

    def give_back(self, grant: Grant, now: float) -> bool:
        """Take back a unit whose request has not run.

        Returns False if its grant has ended, so that no node may spend it.
        """
        if grant.expires_at <= now:
            return False
        grant.units += 1
        if grant.units == 1 and not any(held is grant for held in self._grants):
            self._grants.appendleft(grant)
        return True

    def refuse(self, wait_s: float, until: float) -> None:
        """Record that the keeper has said that the quota is used up."""
        self.wait_s = wait_s
        self._exhausted_until = until

    def is_exhausted(self, now: float) -> bool:
        """Return whether the quota is known to be used up."""
        return now < self._exhausted_until

    def count_units(self, now: float) -> int:
        """Return the number of units that may be spent."""
        return sum(grant.units for grant in self._grants if grant.expires_at > now)

    def compute_request(self, waiting: int, now: float) -> int:
        """Return how many units to request for the waiting and the expected requests."""
        if self.is_exhausted(now) and not waiting:
            return 0
        ahead = math.floor(self.demand_per_s * AHEAD_S)
        held = self.count_units(now)
        if not waiting and held * 2 > ahead:
            return 0
        return max(0, waiting + ahead - held)

    def measure_demand(self, now: float) -> None:
        """Update the average of the requests a second."""
        elapsed_s = now - self._measured_at
        if elapsed_s <= 0:
            return
        share = 1 - math.exp(-elapsed_s / DEMAND_MEMORY_S)
        self.demand_per_s += (self._arrivals / elapsed_s - self.demand_per_s) * share
        self._arrivals = 0
        self._measured_at = now

    def remove_surplus(self, now: float) -> list[Grant]:
        """Remove and return the units that are about to end unspent."""
        surplus, kept = [], deque()
        for grant in self._grants:
            if grant.expires_at >= now + RETURN_BEFORE_END_S:
                kept.append(grant)
            elif grant.units:
                surplus.append(replace(grant))
                grant.units = 0
        self._grants = kept
        return surplus
