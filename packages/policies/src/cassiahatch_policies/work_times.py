"""Work times of one backend server, compared between routes that differ in work."""

from __future__ import annotations

from dataclasses import dataclass

MEMORY_RUNS = 400
"""Runs over which the work time at a limit and the baseline are averaged."""
USUAL_PACE = 100.0
TAIL_FACTOR = 3.0
"""Multiple of the mean at which a work time is clipped: one run in a hundred takes five
times the mean, which would widen the spread of the means."""
SPEED_MEMORY_RUNS = 60
"""Runs over which the reported work time is averaged: a tenth of a second of a busy
server."""
ROUTE_MEMORY_RUNS = 4000
"""Runs over which the usual work time of a route is averaged: many more than the level
is, so that a slowdown is not taken for the usual work time."""
LEVEL_MEMORY_RUNS = 200
"""Runs over which the present level of the work times is averaged."""
PACE_MEMORY_RUNS = 10
"""Runs over which the stated pace is averaged for the reported work time."""
MIN_BASELINE_RUNS = 50


@dataclass(slots=True)
class WorkMean:
    """Moving average of work times, over all runs at first."""

    max_runs: int
    runs: int = 0
    value: float = 0.0
    """In seconds, or as a multiple of the usual work time."""
    concurrency: float = 0.0
    """Mean number of concurrent runs, where it is of interest."""

    def add(self, work: float, concurrency: int = 0) -> None:
        """Count one run."""
        if self.runs < self.max_runs:
            self.runs += 1
        self.value += (work - self.value) / self.runs
        self.concurrency += (concurrency - self.concurrency) / self.runs

    @property
    def throughput(self) -> float:
        """Runs that a server with these concurrent runs completes in a unit of time."""
        return self.concurrency / self.value


class WorkTimes:
    """Means of the work times of a server that states its pace."""

    __slots__ = ("_level", "_mean_pace", "_measured", "_routes", "_usual")

    def __init__(self) -> None:
        self._routes: dict[str, WorkMean] = {}
        """Usual work time of each route."""
        self._level = 1.0
        """Present work time, as a multiple of the usual one."""
        self._usual = WorkMean(MEMORY_RUNS)
        """Work time at the usual pace, over all routes."""
        self._measured = WorkMean(SPEED_MEMORY_RUNS)
        """Work time as measured, with the pace of the moment."""
        self._mean_pace = USUAL_PACE

    @property
    def work_s(self) -> float:
        """Mean work time in seconds at the stated pace; 0 if unknown.

        It is no shorter than measured, so that a wrong statement can only lower the
        server's own share of the load.
        """
        if self._usual.runs < MIN_BASELINE_RUNS:
            return 0.0
        stated_s = self._usual.value * self._mean_pace / USUAL_PACE
        return max(stated_s, self._measured.value)

    @property
    def measured_s(self) -> float:
        """Mean work time in seconds as measured; 0 if unknown."""
        return self._measured.value

    @property
    def usual_s(self) -> float:
        """Mean work time in seconds at the usual pace and level; 0 if unknown."""
        return self._usual.value / self._level

    def record_pace(self, pace: float) -> None:
        """Follow the stated pace."""
        self._mean_pace += (pace - self._mean_pace) / PACE_MEMORY_RUNS

    def count(self, work_s: float, pace: float, route: str) -> float:
        """Update the means; return the work time as a multiple of the route's usual one."""
        usual_s = work_s * USUAL_PACE / pace
        route_mean = self._routes.get(route)
        if route_mean is None:
            route_mean = self._routes[route] = WorkMean(ROUTE_MEMORY_RUNS)
            route_mean.add(usual_s / self._level)
        work = usual_s / route_mean.value
        longest = TAIL_FACTOR * self._level
        if work > longest:
            usual_s *= longest / work
            work = longest
        if self._measured.runs:
            work_s = min(work_s, TAIL_FACTOR * self._measured.value)
        route_mean.add(usual_s / self._level)
        self._level += (work - self._level) / LEVEL_MEMORY_RUNS
        self._usual.add(usual_s)
        self._measured.add(work_s)
        return work
