"""A chain of failing services in virtual time, and ways to bound its repeats.

Compares whole answers to callers, and the most that a service got of what it may get of
arrivals owed to repeats, counted over the fleet. Run as a program it prints a table.
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
SERVERS = 4
FAN_OUT = (1, 1, 5)
"""Calls that a run makes to the next service."""
DEPTHS = len(FAN_OUT) + 1
ROOTS_PER_S = 60
LENGTH_S = 20.0
FAIL_AT = 6.0
RANKS = (0, 1, 2)
MAX_ATTEMPTS = 3
SENDER_SHARE = 0.8
"""Share of the bound that ways use which can't count all arrivals."""


@dataclass(slots=True, frozen=True)
class Faults:
    """Shares of its arrivals that each service turns away, or runs and loses."""

    shed: tuple[float, ...] = (0.0,) * DEPTHS
    lost: tuple[float, ...] = (0.0,) * DEPTHS


FAULTS = {
    "lowest sheds": Faults(shed=(0, 0, 0, 0.3)),
    "lowest sheds half": Faults(shed=(0, 0, 0, 0.5)),
    "upper lose": Faults(lost=(0.15, 0.15, 0.15, 0)),
    "two lose, lowest sheds": Faults(lost=(0.2, 0, 0.2, 0), shed=(0, 0, 0, 0.4)),
}


class Way(Protocol):
    """Decides which arrivals may happen, and hears of those that do."""

    def admits(
        self,
        depth: int,
        server: int,
        attempt_kind: AttemptKind,
        position: float,
        now: float,
    ) -> bool:
        """Tell whether an arrival may reach a server."""

    def note(
        self, depth: int, server: int, attempt_kind: AttemptKind, now: float
    ) -> None:
        """Take in that it does."""


class Count:
    """Counts in a sliding window."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[tuple[float, float]] = deque()

    def add(self, now: float, amount: float = 1.0) -> None:
        self._times.append((now, amount))

    def read(self, now: float) -> float:
        while self._times and self._times[0][0] <= now - WINDOW_S:
            self._times.popleft()
        return sum(amount for _, amount in self._times)


class AtTheDoor:
    """The product's way: a budget at each server."""

    def __init__(self) -> None:
        self._budgets = [
            [RetryBudget(RATIO, SLACK, WINDOW_S, True) for _ in range(SERVERS)]
            for _ in range(DEPTHS)
        ]
        for budget in sum(self._budgets, []):
            budget.server_count = SERVERS

    def admits(
        self,
        depth: int,
        server: int,
        attempt_kind: AttemptKind,
        position: float,
        now: float,
    ) -> bool:
        below = max(
            (
                statistics.fmean(budget.compute_use(now) for budget in budgets)
                for budgets in self._budgets[depth + 1 :]
            ),
            default=0.0,
        )
        return self._budgets[depth][server].admits(attempt_kind, position, below, now)

    def note(
        self, depth: int, server: int, attempt_kind: AttemptKind, now: float
    ) -> None:
        self._budgets[depth][server].record_arrival(attempt_kind, now)


class BySenders:
    """Senders that share one memory, the best case of ways that count sendings.

    Parameters
    ----------
    levels : tuple of int
        Depths at which requests may be repeated.
    pays_below : bool
        Whether a repeat is paid at each service below too, out of an equal part for
        each level above that service.
    """

    def __init__(self, levels: tuple[int, ...], pays_below: bool) -> None:
        self._levels = levels
        self._pays_below = pays_below
        self._firsts = [Count() for _ in range(DEPTHS)]
        self._spent = {level: [Count() for _ in range(DEPTHS)] for level in levels}

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
        if depth not in self._levels:
            return False
        costs = self._find_costs(depth)
        for service, cost in costs.items():
            sharers = sum(level <= service for level in self._levels)
            part = SENDER_SHARE / (sharers if self._pays_below else 1)
            allowed = part * (RATIO * self._firsts[service].read(now) + SLACK)
            spent = self._spent[depth][service].read(now)
            if spent + cost > allowed * (1.0 - 0.7 * min(1.0, position / 3.0)):
                return False
        for service, cost in costs.items():
            self._spent[depth][service].add(now, cost)
        return True

    def note(
        self, depth: int, server: int, attempt_kind: AttemptKind, now: float
    ) -> None:
        counts = (AttemptKind.FIRST,) if self._pays_below else tuple(AttemptKind)
        if attempt_kind in counts and attempt_kind is not AttemptKind.RETRY:
            self._firsts[depth].add(now)

    def _find_costs(self, depth: int) -> dict[int, float]:
        costs, cost = {depth: 1.0}, 1.0
        if self._pays_below:
            for service in range(depth + 1, DEPTHS):
                cost *= FAN_OUT[service - 1]
                costs[service] = cost
        return costs


EVERY = tuple(range(DEPTHS))
WAYS = {
    "at the door": AtTheDoor,
    "senders pay below": lambda: BySenders(EVERY, True),
    "lowest only": lambda: BySenders(EVERY[-1:], True),
    "top only": lambda: BySenders(EVERY[:1], True),
    "own sendings only (before)": lambda: BySenders(EVERY, False),
}


@dataclass(slots=True)
class Outcome:
    """What callers and services got while services failed."""

    asked: Counter[int] = field(default_factory=Counter)
    whole: Counter[int] = field(default_factory=Counter)
    highest_use: float = 0.0
    """Most that a service got of the repeats that it may get in a window."""

    def read_whole(self, rank: int) -> float:
        """Return the share of a rank's requests that were answered whole."""
        return self.whole[rank] / max(1, self.asked[rank])


class ChainModel:
    """Plays requests through the chain; each is over at once."""

    def __init__(self, way: Way, faults: Faults, seed: int) -> None:
        self._way = way
        self._faults = faults
        self._random = random.Random(seed)
        self._firsts = [Count() for _ in range(DEPTHS)]
        self._repeats = [Count() for _ in range(DEPTHS)]
        self._outcome = Outcome()
        self._now = 0.0

    def play(self) -> Outcome:
        """Return what callers got from the first failure on."""
        while self._now < LENGTH_S:
            self._now += self._random.expovariate(ROOTS_PER_S)
            rank = self._random.choice(RANKS)
            is_whole = self._ask(0, AttemptKind.FIRST, rank + self._random.random())
            if self._now >= FAIL_AT:
                self._outcome.asked[rank] += 1
                self._outcome.whole[rank] += is_whole
        return self._outcome

    def _ask(self, depth: int, attempt_kind: AttemptKind, position: float) -> bool:
        servers = self._random.sample(range(SERVERS), SERVERS)
        for server in servers[:MAX_ATTEMPTS]:
            if not self._way.admits(depth, server, attempt_kind, position, self._now):
                return False
            self._arrive(depth, server, attempt_kind)
            if not self._happens(self._faults.shed[depth]):
                if not self._run(depth, attempt_kind, position):
                    return False
                if not self._happens(self._faults.lost[depth]):
                    return True
            attempt_kind = AttemptKind.RETRY
        return False

    def _run(self, depth: int, attempt_kind: AttemptKind, position: float) -> bool:
        if depth == DEPTHS - 1:
            return True
        below = AttemptKind.FIRST
        if attempt_kind is not AttemptKind.FIRST:
            below = AttemptKind.DOWNSTREAM_OF_RETRY
        return all(self._ask(depth + 1, below, position) for _ in range(FAN_OUT[depth]))

    def _arrive(self, depth: int, server: int, attempt_kind: AttemptKind) -> None:
        self._way.note(depth, server, attempt_kind, self._now)
        if attempt_kind is AttemptKind.FIRST:
            self._firsts[depth].add(self._now)
            return
        self._repeats[depth].add(self._now)
        allowed = RATIO * self._firsts[depth].read(self._now) + SLACK
        use = self._repeats[depth].read(self._now) / allowed
        self._outcome.highest_use = max(self._outcome.highest_use, use)

    def _happens(self, share: float) -> bool:
        return self._now >= FAIL_AT and self._random.random() < share


def main() -> None:
    """Print what callers get by each way."""
    print("faults | way | whole by rank | highest use")
    for name, faults in FAULTS.items():
        for label, make in WAYS.items():
            plays = [ChainModel(make(), faults, seed).play() for seed in (1, 2, 3)]
            whole = [
                statistics.fmean(p.read_whole(rank) for p in plays) for rank in RANKS
            ]
            use = max(play.highest_use for play in plays)
            shares = " ".join(f"{share:.2f}" for share in whole)
            print(f"{name} | {label} | {shares} | {use:.2f}")


if __name__ == "__main__":
    main()
