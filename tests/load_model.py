"""A service deep in a call graph under more load than it completes, in virtual time.

Answers what callers of each rank get, with the decisions of the nodes and no network:
top requests are let in by the cutoff as the edge knows it, and make their calls one
after the other at the one backend server of the service.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import Any

from cassiahatch_policies.cutoff import PathCutoff, WaitCutoff
from cassiahatch_policies.slot_queue import Job, SlotQueue

SLOTS = 18
WORK_S = 0.015
LINK_S = 0.002
"""Time of a result's way back to the edge."""
STEP_S = 0.01
"""Work of the services above between two calls."""
FIRST_STEP_S = 0.06
"""Work of the services above before the first call."""
CALL_TARGET_S = 0.3
CALL_TIMEOUT_S = 0.7
SWEEP_S = 0.05


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of top request."""

    rank: int
    share: float
    calls: int
    target_s: float


KINDS = (Kind(0, 0.19, 8, 1.2), Kind(1, 0.13, 1, 0.15), Kind(2, 0.43, 4, 1.2))


@dataclass(slots=True)
class Root:
    """A top request."""

    kind: Kind
    position: float
    began_at: float
    calls_left: int
    calls_done: int = 0
    ended_at: float | None = None
    """When it was answered whole; None if it was not."""
    is_refused: bool = False


@dataclass(slots=True)
class Outcome:
    """What callers got."""

    roots: list[Root] = field(default_factory=list)
    calls_done: int = 0

    def read_served(self, rank: int, begin: float, end: float) -> float:
        """Return the share of a rank's requests of a time that were answered whole."""
        asked = [
            root
            for root in self.roots
            if root.kind.rank == rank and begin <= root.began_at < end
        ]
        return sum(root.ended_at is not None for root in asked) / max(1, len(asked))

    def read_whole(self) -> float:
        """Return the share of the calls that belong to requests answered whole."""
        whole = sum(r.calls_done for r in self.roots if r.ended_at is not None)
        return whole / max(1, self.calls_done)

    def read_in_target(
        self, begin: float, end: float, rank: int | None = None
    ) -> float:
        """Return the share of the admitted requests answered within their target."""
        let_in = [
            root
            for root in self.roots
            if not root.is_refused
            and begin <= root.began_at < end
            and rank in (None, root.kind.rank)
        ]
        good = sum(
            root.ended_at is not None
            and root.ended_at - root.began_at <= root.kind.target_s
            for root in let_in
        )
        return good / max(1, len(let_in))


class LoadModel:
    """Plays a load; ``knows_roots`` tells whether calls carry their request's target.

    Parameters
    ----------
    load : float
        Demand over capacity until ``fall_at``; half the capacity from then on.
    """

    def __init__(
        self, load: float, fall_at: float, seed: int, knows_roots: bool = True
    ) -> None:
        self._load = load
        self._fall_at = fall_at
        self._knows_roots = knows_roots
        self._random = random.Random(seed)
        self._queue = SlotQueue(SLOTS)
        self._cutoff = WaitCutoff()
        self._path = PathCutoff()
        self._events: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()
        self._outcome = Outcome()
        self._now = 0.0
        shares = sum(kind.share for kind in KINDS)
        calls = sum(kind.share * kind.calls for kind in KINDS) / shares
        self._full_rate = self._queue.limit / WORK_S / calls

    def play(self, length_s: float) -> Outcome:
        """Return what callers got in so many seconds."""
        self._later(0.0, self._arrive)
        self._later(0.0, self._sweep)
        while self._events[0][0] < length_s:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self._outcome

    def _later(self, delay_s: float, act: Any) -> None:
        entry = (self._now + delay_s, next(self._numbers), act)
        heapq.heappush(self._events, entry)

    def _arrive(self) -> None:
        load = self._load if self._now < self._fall_at else 0.5
        self._later(self._random.expovariate(self._full_rate * load), self._arrive)
        weights = [kind.share for kind in KINDS]
        kind = self._random.choices(KINDS, weights)[0]
        position = kind.rank + self._random.random()
        root = Root(kind, position, self._now, kind.calls)
        self._outcome.roots.append(root)
        if self._path.admits(position, self._now):
            self._later(FIRST_STEP_S, lambda: self._call(root))
        else:
            root.is_refused = True

    def _call(self, root: Root) -> None:
        now = self._now
        self._cutoff.record_arrival(root.position)
        target_at = now + CALL_TARGET_S
        if self._knows_roots:
            target_at = root.began_at + root.kind.target_s
        job = Job(
            root,
            root.kind.rank,
            now + CALL_TARGET_S,
            now + CALL_TIMEOUT_S,
            root.kind.calls == 1,
            target_at,
        )
        if self._queue.enqueue(job, now) is None:
            self._dispatch()

    def _dispatch(self) -> None:
        while True:
            job, _ = self._queue.dequeue(self._now)
            if job is None:
                return
            delay_s = self._random.expovariate(1 / WORK_S)
            self._later(delay_s, lambda job=job: self._finish(job))

    def _finish(self, job: Job) -> None:
        root: Root = job.payload
        self._queue.finish(job, self._now, True)
        self._outcome.calls_done += 1
        root.calls_done += 1
        root.calls_left -= 1
        value = self._cutoff.value
        self._later(LINK_S, lambda: self._path.observe(value, self._now))
        if root.calls_left:
            self._later(STEP_S, lambda: self._call(root))
        else:
            root.ended_at = self._now
        self._dispatch()

    def _sweep(self) -> None:
        self._later(SWEEP_S, self._sweep)
        self._cutoff.update(self._queue.estimate_wait_s(), self._now)
        self._queue.drop_expired(self._now)
        self._dispatch()
