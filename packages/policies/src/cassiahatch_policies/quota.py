"""Limits of the plans: units given out by keepers and spent by nodes.

Each plan is kept by a fixed number of keepers. A request costs one unit from each
on average: it is paid with ``keepers`` units, from whichever keeper they come.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from cassiahatch_kernel.plans import Plan
from cassiahatch_kernel.registry import PLUGINS

GRANT_TTL_S = 0.5
"""How long after it was asked for a grant may be spent."""
DEMAND_WINDOW_S = 0.1
DEMAND_MARGIN = 1.5
DEMAND_DECAY = 0.9


@dataclass(slots=True)
class Grant:
    """Units that may be spent until the term is over."""

    units: int
    expires: float
    """Monotonic seconds of the node that asked."""


@PLUGINS.register("quota_keeper", "bucket")
class KeeperBucket:
    """The token bucket of one customer at one keeper.

    A grant may be spent up to ``GRANT_TTL_S`` after it was asked for, so the
    bucket holds that much less than the plan's burst. What a customer spends in a
    window of any length is then at most ``rate * length + burst``. The bucket was
    empty when its keeper began: whoever kept it before may have given out all of it.

    Parameters
    ----------
    plan : Plan
        The customer's plan.
    since : float
        Monotonic seconds at which the keeper began.
    """

    __slots__ = ("_burst", "_rate", "_units", "_updated")

    def __init__(self, plan: Plan, since: float) -> None:
        self._units = 0.0
        self._updated = since
        self._apply(plan)

    def change_plan(self, plan: Plan, now: float) -> None:
        """Take over a changed plan from now on."""
        self._refill(now)
        self._apply(plan)
        self._units = min(self._units, self._burst)

    def grant(self, wanted: int, now: float) -> int:
        """Return the units given out, at most ``wanted``."""
        self._refill(now)
        given = min(max(wanted, 0), math.floor(self._units))
        self._units -= given
        return given

    def _apply(self, plan: Plan) -> None:
        self._rate = plan.rate
        self._burst = plan.burst - plan.rate * GRANT_TTL_S

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated)
        self._updated = max(now, self._updated)
        self._units = min(self._burst, self._units + self._rate * elapsed)


@PLUGINS.register("quota_wallet", "grants")
class Wallet:
    """The grants that one node holds for one customer, and its demand.

    Parameters
    ----------
    price : int
        Units that one request costs: the number of keepers.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_grants", "_price", "_seen", "_window_end", "demand", "last_used")

    def __init__(self, price: int, now: float) -> None:
        self._price = price
        self._grants: list[Grant] = []
        self._seen = 0
        self._window_end = now + DEMAND_WINDOW_S
        self.demand = 0.0
        """Requests a second."""
        self.last_used = now
        """Monotonic seconds of the last request."""

    def add(self, grant: Grant) -> None:
        """Take in a grant."""
        if grant.units > 0:
            self._grants.append(grant)

    def pay_new_request(self, now: float) -> bool:
        """Pay for one request, and tell whether the units sufficed."""
        self.last_used = now
        self._seen += 1
        return self.pay(now)

    def pay(self, now: float) -> bool:
        """Pay for one request that was counted before."""
        if self.count_units(now) < self._price:
            return False
        self._spend(self._price)
        return True

    def count_units(self, now: float) -> int:
        """Return the units that may be spent now."""
        self._grants = [grant for grant in self._grants if grant.expires > now]
        return sum(grant.units for grant in self._grants)

    def compute_shortfall(self, waiting: int, now: float) -> int:
        """Return how many units to ask for, going by the recent demand.

        Parameters
        ----------
        waiting : int
            Requests that wait for units now.
        now : float
            Monotonic seconds.
        """
        self._update_demand(now)
        expected = math.ceil(self.demand * GRANT_TTL_S * DEMAND_MARGIN)
        requests = max(1, waiting, expected)
        return max(0, requests * self._price - self.count_units(now))

    def _update_demand(self, now: float) -> None:
        if now < self._window_end:
            return
        rate = self._seen / (now - self._window_end + DEMAND_WINDOW_S)
        self.demand = max(rate, self.demand * DEMAND_DECAY)
        self._seen = 0
        self._window_end = now + DEMAND_WINDOW_S

    def _spend(self, units: int) -> None:
        while units:
            first = self._grants[0]
            used = min(units, first.units)
            units -= used
            first.units -= used
            if not first.units:
                self._grants.pop(0)
