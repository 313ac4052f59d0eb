"""Quota: enforcement of plan limits with units that keepers grant and nodes spend.

Each customer's plan is enforced by a fixed number of keepers. A keeper is a node that
holds a token bucket of the customer and grants units at the plan's rate. A request
costs one unit of each keeper on average: it is paid with as many units as there are
keepers, whichever of them granted the units.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from cassiahatch_kernel.plans import Plan
from cassiahatch_kernel.registry import PLUGINS

GRANT_TTL_S = 0.5
"""Time from the request of a grant during which its units may be spent."""
DEMAND_WINDOW_S = 0.1
"""Shortest time over which the rate of requests is measured."""
DEMAND_MARGIN = 1.5
"""Factor by which the units to hold exceed the expected demand."""
DEMAND_DECAY = 0.9
"""Factor by which the expected demand falls at most in one update."""


@dataclass(slots=True)
class Grant:
    """Units granted by a keeper, and the time until which they may be spent."""

    units: int
    expires_at: float
    """Monotonic seconds of the node that requested the grant."""


@PLUGINS.register("quota_keeper", "bucket")
class KeeperBucket:
    """The token bucket of one customer at one keeper.

    A grant may be spent up to ``GRANT_TTL_S`` after it was requested, so the bucket
    holds the plan's burst less the units of that time. In a window of any length, a
    customer then spends at most ``rate * length + burst``. The bucket is empty when
    its keeper starts, because the previous keeper may have granted all units.

    Parameters
    ----------
    plan : Plan
        The customer's plan.
    started_at : float
        Monotonic seconds at which the keeper started.
    """

    __slots__ = ("_burst", "_rate", "_units", "_updated")

    def __init__(self, plan: Plan, started_at: float) -> None:
        self._units = 0.0
        self._updated = started_at
        self._apply(plan)

    def change_plan(self, plan: Plan, now: float) -> None:
        """Apply a changed plan from now on."""
        self._refill(now)
        self._apply(plan)
        self._units = min(self._units, self._burst)

    def grant(self, requested: int, now: float) -> int:
        """Take at most ``requested`` units from the bucket, and return their number."""
        self._refill(now)
        granted = min(max(requested, 0), math.floor(self._units))
        self._units -= granted
        return granted

    def _apply(self, plan: Plan) -> None:
        self._rate = plan.rate
        self._burst = plan.burst - plan.rate * GRANT_TTL_S

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._units = min(self._burst, self._units + self._rate * elapsed)


@PLUGINS.register("quota_wallet", "grants")
class Wallet:
    """The grants that one node holds for one customer, and the customer's demand.

    Parameters
    ----------
    units_per_request : int
        Units that one request costs: the number of keepers.
    now : float
        Monotonic seconds.
    """

    __slots__ = (
        "_grants",
        "_units_per_request",
        "_window_end",
        "_window_requests",
        "demand",
        "last_used",
    )

    def __init__(self, units_per_request: int, now: float) -> None:
        self._units_per_request = units_per_request
        self._grants: list[Grant] = []
        self._window_requests = 0
        self._window_end = now + DEMAND_WINDOW_S
        self.demand = 0.0
        """Expected requests per second."""
        self.last_used = now
        """Monotonic seconds of the last request."""

    def add(self, grant: Grant) -> None:
        """Add a grant; one without units is ignored."""
        if grant.units > 0:
            self._grants.append(grant)

    def pay_new_request(self, now: float) -> bool:
        """Count and pay for one request; return whether there were enough units."""
        self.last_used = now
        self._window_requests += 1
        return self.pay(now)

    def pay(self, now: float) -> bool:
        """Pay for a request already counted; return whether there were enough units."""
        if self.count_units(now) < self._units_per_request:
            return False
        self._spend(self._units_per_request)
        return True

    def count_units(self, now: float) -> int:
        """Drop expired grants, and return the number of units left."""
        self._grants = [grant for grant in self._grants if grant.expires_at > now]
        return sum(grant.units for grant in self._grants)

    def compute_shortfall(self, waiting: int, now: float) -> int:
        """Return how many units to request, according to the recent demand.

        Parameters
        ----------
        waiting : int
            Number of requests that wait for units.
        now : float
            Monotonic seconds.
        """
        self._update_demand(now)
        expected = math.ceil(self.demand * GRANT_TTL_S * DEMAND_MARGIN)
        requests = max(1, waiting, expected)
        return max(0, requests * self._units_per_request - self.count_units(now))

    def _update_demand(self, now: float) -> None:
        if now < self._window_end:
            return
        rate = self._window_requests / (now - self._window_end + DEMAND_WINDOW_S)
        self.demand = max(rate, self.demand * DEMAND_DECAY)
        self._window_requests = 0
        self._window_end = now + DEMAND_WINDOW_S

    def _spend(self, units: int) -> None:
        while units:
            grant = self._grants[0]
            spent = min(units, grant.units)
            units -= spent
            grant.units -= spent
            if not grant.units:
                self._grants.pop(0)
