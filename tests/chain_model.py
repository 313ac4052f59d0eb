"""Model of a chain of failing services in virtual time, and policies for retries.

Compares, for each policy, the share of requests that complete and the highest use of a
service's retry budget across the fleet, counted over all arrivals that retries cause
there. Run as a program, it prints a table.
"""

from __future__ import annotations

import random
import statistics
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Protocol

from cassiahatch_kernel.exchanges import AttemptKind
from cassiahatch_policies.retry_budget import RetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 48.0, 10.0
SERVER_COUNT = 4
"""Number of backend servers of each service."""
FAN_OUT = (1, 1, 5)
"""Calls that a run makes to the next service, for each service but the last."""
SERVICE_COUNT = len(FAN_OUT) + 1
ROOT_REQUESTS_PER_S = 60
DURATION_S = 20.0
FAILURE_START_S = 6.0
RANKS = (0, 1, 2)
MAX_ATTEMPTS = 3
SENDER_BUDGET_SHARE = 0.8
"""Share of the budget that senders use, since they can't count all arrivals."""


@dataclass(slots=True, frozen=True)
class Faults:
    """Shares of its arrivals that each service sheds, or runs but leaves unanswered."""

    shed: tuple[float, ...] = (0.0,) * SERVICE_COUNT
    lost: tuple[float, ...] = (0.0,) * SERVICE_COUNT


FAULTS = {
    "lowest sheds": Faults(shed=(0, 0, 0, 0.3)),
    "lowest sheds half": Faults(shed=(0, 0, 0, 0.5)),
    "upper lose": Faults(lost=(0.15, 0.15, 0.15, 0)),
    "two lose, lowest sheds": Faults(lost=(0.2, 0, 0.2, 0), shed=(0, 0, 0, 0.4)),
}
"""Faults by label; the lowest service is the last of the chain."""


class RetryPolicy(Protocol):
    """Decides which arrivals are admitted, and counts them."""

    def admits(
        self,
        depth: int,
        server: int,
        attempt_kind: AttemptKind,
        position: float,
        now: float,
    ) -> bool:
        """Return whether a call may be sent to a backend server."""

    def record_arrival(
        self, depth: int, server: int, attempt_kind: AttemptKind, now: float
    ) -> None:
        """Count a call that is about to be sent to a backend server."""


class WindowSum:
    """Sum of the amounts that were added in a sliding window."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: deque[tuple[float, float]] = deque()

    def add(self, now: float, amount: float = 1.0) -> None:
        self._entries.append((now, amount))

    def compute(self, now: float) -> float:
        while self._entries and self._entries[0][0] <= now - WINDOW_S:
            self._entries.popleft()
        return sum(amount for _, amount in self._entries)


class BackendBudgets:
    """A retry budget at each backend server: the policy that the nodes use."""

    def __init__(self) -> None:
        self._budgets = [
            [RetryBudget(RATIO, SLACK, WINDOW_S, True) for _ in range(SERVER_COUNT)]
            for _ in range(SERVICE_COUNT)
        ]
        for budget in sum(self._budgets, []):
            budget.server_count = SERVER_COUNT

    def admits(
        self,
        depth: int,
        server: int,
        attempt_kind: AttemptKind,
        position: float,
        now: float,
    ) -> bool:
        downstream_use = max(
            (
                statistics.fmean(budget.compute_use(now) for budget in budgets)
                for budgets in self._budgets[depth + 1 :]
            ),
            default=0.0,
        )
        return self._budgets[depth][server].admits(
            attempt_kind, position, downstream_use, now
        )

    def record_arrival(
        self, depth: int, server: int, attempt_kind: AttemptKind, now: float
    ) -> None:
        self._budgets[depth][server].record_arrival(attempt_kind, now)


class SenderBudgets:
    """Retry budgets of senders that limit the retries that they send themselves.

    All senders share their counts. This is the best case for policies that count calls
    where they are sent and not where they arrive.

    Parameters
    ----------
    retry_depths : tuple of int
        Depths at which requests may be retried.
    charges_downstream : bool
        Whether a retry is also charged to the budget of each downstream service, which
        is divided equally among the depths at or above that service that may retry.
    """

    def __init__(self, retry_depths: tuple[int, ...], charges_downstream: bool) -> None:
        self._retry_depths = retry_depths
        self._charges_downstream = charges_downstream
        self._first_attempts = [WindowSum() for _ in range(SERVICE_COUNT)]
        self._spent = {
            depth: [WindowSum() for _ in range(SERVICE_COUNT)] for depth in retry_depths
        }

    def admits(
        self,
        depth: int,
        server: int,
        attempt_kind: AttemptKind,
        position: float,
        now: float,
    ) -> bool:
        if attempt_kind is not AttemptKind.RETRY:
            return True
        if depth not in self._retry_depths:
            return False
        costs = self._compute_costs(depth)
        for service, cost in costs.items():
            sharers = sum(other <= service for other in self._retry_depths)
            share = SENDER_BUDGET_SHARE / (sharers if self._charges_downstream else 1)
            allowed = share * (
                RATIO * self._first_attempts[service].compute(now) + SLACK
            )
            spent = self._spent[depth][service].compute(now)
            if spent + cost > allowed * (1.0 - 0.7 * min(1.0, position / 3.0)):
                return False
        for service, cost in costs.items():
            self._spent[depth][service].add(now, cost)
        return True

    def record_arrival(
        self, depth: int, server: int, attempt_kind: AttemptKind, now: float
    ) -> None:
        counted_kinds = (
            (AttemptKind.FIRST,) if self._charges_downstream else tuple(AttemptKind)
        )
        if attempt_kind in counted_kinds and attempt_kind is not AttemptKind.RETRY:
            self._first_attempts[depth].add(now)

    def _compute_costs(self, depth: int) -> dict[int, float]:
        costs, cost = {depth: 1.0}, 1.0
        if self._charges_downstream:
            for service in range(depth + 1, SERVICE_COUNT):
                cost *= FAN_OUT[service - 1]
                costs[service] = cost
        return costs


ALL_DEPTHS = tuple(range(SERVICE_COUNT))
POLICIES = {
    "at the door": BackendBudgets,
    "senders pay below": lambda: SenderBudgets(ALL_DEPTHS, True),
    "lowest only": lambda: SenderBudgets(ALL_DEPTHS[-1:], True),
    "top only": lambda: SenderBudgets(ALL_DEPTHS[:1], True),
    "own sendings only (before)": lambda: SenderBudgets(ALL_DEPTHS, False),
}
"""Policies by the label that the printed table shows.

In order: budgets at the backend servers; budgets of the senders, which are charged for
downstream calls too, where requests to every service, only to the last or only to the
first one may be retried; budgets of the senders that count only the retries that each
sends itself, as the nodes did before.
"""


@dataclass(slots=True)
class SimulationResult:
    """Counts from the time at which services fail."""

    requests: Counter[int] = field(default_factory=Counter)
    """Number of root requests by rank."""
    completed: Counter[int] = field(default_factory=Counter)
    """Number of root requests by rank that were answered with all their calls."""
    max_budget_use: float = 0.0
    """Highest share of a service's retry budget that was used in a window; above 1 if
    retries caused more arrivals than allowed."""

    def compute_completed_share(self, rank: int) -> float:
        """Return the share of a rank's root requests that completed."""
        return self.completed[rank] / max(1, self.requests[rank])


class ChainModel:
    """Simulates root requests to the first service; a request takes no time."""

    def __init__(self, policy: RetryPolicy, faults: Faults, seed: int) -> None:
        self._policy = policy
        self._faults = faults
        self._random = random.Random(seed)
        self._first_attempts = [WindowSum() for _ in range(SERVICE_COUNT)]
        self._retry_arrivals = [WindowSum() for _ in range(SERVICE_COUNT)]
        self._result = SimulationResult()
        self._now = 0.0

    def simulate(self) -> SimulationResult:
        """Run the simulation, and return its counts from the first failure on."""
        while self._now < DURATION_S:
            self._now += self._random.expovariate(ROOT_REQUESTS_PER_S)
            rank = self._random.choice(RANKS)
            is_complete = self._send(0, AttemptKind.FIRST, rank + self._random.random())
            if self._now >= FAILURE_START_S:
                self._result.requests[rank] += 1
                self._result.completed[rank] += is_complete
        return self._result

    def _send(self, depth: int, attempt_kind: AttemptKind, position: float) -> bool:
        """Send a request and its retries; return whether it completed."""
        servers = self._random.sample(range(SERVER_COUNT), SERVER_COUNT)
        for server in servers[:MAX_ATTEMPTS]:
            if not self._policy.admits(
                depth, server, attempt_kind, position, self._now
            ):
                return False
            self._record_arrival(depth, server, attempt_kind)
            if not self._has_failed(self._faults.shed[depth]):
                if not self._run(depth, attempt_kind, position):
                    return False
                if not self._has_failed(self._faults.lost[depth]):
                    return True
            attempt_kind = AttemptKind.RETRY
        return False

    def _run(self, depth: int, attempt_kind: AttemptKind, position: float) -> bool:
        if depth == SERVICE_COUNT - 1:
            return True
        call_kind = AttemptKind.FIRST
        if attempt_kind is not AttemptKind.FIRST:
            call_kind = AttemptKind.DOWNSTREAM_OF_RETRY
        return all(
            self._send(depth + 1, call_kind, position) for _ in range(FAN_OUT[depth])
        )

    def _record_arrival(
        self, depth: int, server: int, attempt_kind: AttemptKind
    ) -> None:
        self._policy.record_arrival(depth, server, attempt_kind, self._now)
        if attempt_kind is AttemptKind.FIRST:
            self._first_attempts[depth].add(self._now)
            return
        self._retry_arrivals[depth].add(self._now)
        allowed = RATIO * self._first_attempts[depth].compute(self._now) + SLACK
        use = self._retry_arrivals[depth].compute(self._now) / allowed
        self._result.max_budget_use = max(self._result.max_budget_use, use)

    def _has_failed(self, share: float) -> bool:
        return self._now >= FAILURE_START_S and self._random.random() < share


def main() -> None:
    """Print the results of each policy under each set of faults."""
    print("faults | way | whole by rank | highest use")
    for name, faults in FAULTS.items():
        for label, make_policy in POLICIES.items():
            results = [
                ChainModel(make_policy(), faults, seed).simulate() for seed in (1, 2, 3)
            ]
            completed_shares = [
                statistics.fmean(
                    result.compute_completed_share(rank) for result in results
                )
                for rank in RANKS
            ]
            use = max(result.max_budget_use for result in results)
            shares = " ".join(f"{share:.2f}" for share in completed_shares)
            print(f"{name} | {label} | {shares} | {use:.2f}")


if __name__ == "__main__":
    main()
