"""Learned concurrency limit of one backend server that states its pace.

The load it handles: servers of one service that differ in speed, of which some slow down
long before all their slots are in use, at hundreds of runs a second each. Which number of
concurrent runs gives the highest throughput follows from the work time against the
concurrency: in a saturated server, throughput is concurrency divided by work time.

A work time that rises with the concurrency can't be told from one that rises by itself
by looking at it. So every change of the limit is first a trial: the server runs under
another limit until enough runs have ended there, and the limit that gave the higher
throughput is kept. Nothing is tried as long as the work time stays near its baseline.
"""

from __future__ import annotations

import math

from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_policies.limit_phases import (
    TRIAL_RUNS,
    Holding,
    LimitExplanation,
    LimitReason,
    Trial,
)
from cassiahatch_policies.work_times import (
    MEMORY_RUNS,
    MIN_BASELINE_RUNS,
    USUAL_PACE,
    WorkMean,
    WorkTimes,
)

MIN_PACE, MAX_PACE = 10.0, 2000.0
"""Bounds of a plausible pace: ten times as fast as usual, and twenty times as slow. A
run with another pace is not counted."""
MIN_LIMIT_SHARE = 0.4
"""Least limit, as a share of the limit without learning: no measurement may leave a
server idle."""
LOW_SHARE = 0.5
"""Share of the largest limit up to which a run counts towards the baseline."""
SATURATED_SHARE = 0.9
"""Share of the limit from which a run shows how the server works at the limit."""
SETTLING_RUNS = 3.0
"""Multiple of the mean work time after a change of the limit from which runs count.
Among those that end earlier, the short ones are too many."""
MIN_TRIAL_RUNS = 60
"""Runs that decide a trial which took ``TRIAL_TIMEOUT_S``."""
TRIAL_TIMEOUT_S = 1.0
"""Longest time of a trial from when its runs count, half of that in which a server must
have its slots back after a slowdown."""
SLOWER_FACTOR = 1.2
"""Multiple of the baseline from which a lower limit is tried, above the noise of the
means and below the slowdown of 1.3 of known servers."""
EXPLORING_FACTOR = 0.8
"""Factor of the limit in the trial of a server that has never run below saturation."""
MIN_DECREASE_FACTOR = 0.6
"""Least factor of the limit in one trial."""
KEPT_SHARE = 0.95
"""Share of the throughput that a lower limit must keep. One that only takes slots away
keeps at most ``1 / SLOWER_FACTOR`` of it."""
SEARCH_STEP = 0.1
"""Step of the limit, as a share, below which the search for the knee ends. Smaller
steps are lost in the noise."""
SEARCH_PAUSE_S = 0.1
"""Pause between two trials of a search, in which the reference is measured again."""
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0
"""Bounds of the time until a limit that was found worse is tried again, doubled with
each trial that finds it worse. The first one lets a server that recovers after a short
slowdown have its slots back within 2 s."""
UNREACHED_S = 0.5
"""Time in which a lowered limit is to be reached. One that isn't has no use, and would
take the server's share of the load."""
STATEMENT_TTL_S = 2.0
"""Time after the last stated pace at which the limit is no longer learned."""
MS_PER_S = 1000


@PLUGINS.register("concurrency_limit", "throughput")
class LearnedLimit:
    """Learns how many concurrent runs give one backend server its highest throughput.

    It is inactive, and its limit the largest one, until ``observe`` is called.
    """

    __slots__ = (
        "_baseline",
        "_ceiling",
        "_is_searching",
        "_last_pace",
        "_limit",
        "_max_limit",
        "_min_limit",
        "_observed_at",
        "_phase",
        "_reason",
        "_retry_s",
        "_target",
        "_times",
        "_tries_deeper",
        "limit",
    )

    def __init__(self, max_limit: int = 1) -> None:
        self.resize(max_limit)

    def resize(self, max_limit: int) -> None:
        """Set the limit without learning, and forget what was learned."""
        self._max_limit = max_limit
        self._min_limit = max(1, int(max_limit * MIN_LIMIT_SHARE))
        self.reset()

    def reset(self) -> None:
        """Forget what was learned: another process runs, or it states no pace."""
        self.limit = self._max_limit
        """Number of requests that may run concurrently now, in a trial too."""
        self._limit = self._ceiling = self._target = self._max_limit
        """The limit without regard to a trial, the least one known to be no better than
        it, and the one to try next."""
        self._is_searching = False
        """Whether the knee is still being searched between the limit and the ceiling."""
        self._tries_deeper = False
        """Whether the next trial goes down far, since the last one was still slow."""
        self._retry_s = FIRST_RETRY_S
        self._phase: Holding | Trial = Holding(float("-inf"))
        self._baseline = WorkMean(MEMORY_RUNS)
        self._times = WorkTimes()
        self._last_pace = USUAL_PACE
        self._observed_at = float("-inf")
        self._reason = LimitReason.NO_PACE

    @property
    def is_active(self) -> bool:
        """Whether the server states its pace."""
        return self._reason is not LimitReason.NO_PACE

    @property
    def pace(self) -> float:
        """The last stated pace."""
        return self._last_pace

    @property
    def work_s(self) -> float:
        """Mean work time in seconds at the stated pace; 0 if unknown."""
        return self._times.work_s

    def explain(self) -> LimitExplanation:
        """Return the limit with what it follows from."""
        is_trial = isinstance(self._phase, Trial)
        return LimitExplanation(
            self.limit,
            self._max_limit,
            self._baseline.value * self._times.usual_s * MS_PER_S,
            self.work_s * MS_PER_S,
            LimitReason.TRIAL if is_trial else self._reason,
        )

    def expire(self, now: float) -> None:
        """Forget what was learned if the server has stated no pace for a while."""
        if self.is_active and now - self._observed_at > STATEMENT_TTL_S:
            self.reset()

    def observe(
        self,
        concurrency: int,
        work_s: float,
        pace: float,
        now: float,
        started_pace: float | None = None,
        route: str = "",
    ) -> None:
        """Count a run that has ended and has made no calls of its own.

        Parameters
        ----------
        concurrency : int
            Number of concurrent runs as it started, with itself.
        work_s : float
            Time in seconds that it took.
        pace : float
            Stated time that work takes as the run ends, 100 being usual.
        now : float
            Monotonic seconds.
        started_pace : float, optional
            The ``pace`` of this object as the run started. Work under a pace that
            changes takes about as long as under the mean of the two.
        route : str, optional
            Route of the request. Only runs of one route are compared, since the share of
            each changes with the requests.
        """
        if not MIN_PACE <= pace <= MAX_PACE or work_s <= 0.0:
            return
        if not self.is_active:
            self._reason = LimitReason.NO_SLOWDOWN
        self._observed_at = now
        self._last_pace = pace
        self._times.record_pace(pace)
        mean_pace = pace if started_pace is None else (started_pace + pace) / 2
        work = self._times.count(work_s, mean_pace, route)
        if concurrency <= LOW_SHARE * self._max_limit:
            self._baseline.add(work)
        phase = self._phase
        limit = self.limit
        if now >= phase.counted_from and (
            SATURATED_SHARE * limit <= concurrency <= limit
        ):
            phase.work.add(work, concurrency)
        match phase:
            case Holding(retry_at=retry_at):
                if now >= retry_at:
                    self._begin_trial(phase, now)
            case Trial(counted_from=counted_from, work=work):
                if work.runs >= TRIAL_RUNS:
                    self._end_trial(phase, now)
                elif now - counted_from > TRIAL_TIMEOUT_S:
                    self._end_overdue_trial(phase, now)

    def _begin_trial(self, holding: Holding, now: float) -> None:
        """Try another limit if there is a reason to."""
        work = holding.work
        if work.runs >= TRIAL_RUNS and self._limit > self._min_limit:
            factor = self._find_decrease_factor(work.value)
            if factor < 1.0:
                limit = max(self._min_limit, int(self._limit * factor))
                self._try(limit, work, now)
                return
        if self._limit == self._max_limit:
            return
        if work.runs >= MIN_TRIAL_RUNS:
            self._try(self._target, work, now)
        elif now - holding.retry_at > UNREACHED_S:
            self._raise(self._max_limit, now)

    def _find_decrease_factor(self, work: float) -> float:
        """Return the factor of the limit to try; 1 if there is no reason to lower it."""
        baseline = self._baseline
        if baseline.runs < MIN_BASELINE_RUNS:
            return EXPLORING_FACTOR
        if work <= baseline.value:
            baseline.add(work)
            if self._limit == self._max_limit:
                self._reason = LimitReason.NO_SLOWDOWN
            self._tries_deeper = False
        if work <= SLOWER_FACTOR * baseline.value:
            return 1.0
        if self._tries_deeper:
            return MIN_DECREASE_FACTOR
        return max(MIN_DECREASE_FACTOR, baseline.value / work)

    def _end_trial(self, trial: Trial, now: float) -> None:
        """Keep the limit that gave the higher throughput.

        Of two that give the same, the lower one is kept: the calls wait as long, and
        more of them can still be put in order. A higher one must bring more than half of
        what its slots could, so that noise brings no change.
        """
        tried, held = trial.work.throughput, trial.reference.throughput
        if trial.limit < self._limit:
            if tried >= KEPT_SHARE * held:
                self._lower(trial.limit, now)
            else:
                self._reject_lower(trial, now)
        elif tried >= held * math.sqrt(trial.limit / trial.reference.concurrency):
            self._raise(trial.limit, now)
        else:
            self._reject_higher(trial.limit, now)

    def _end_overdue_trial(self, trial: Trial, now: float) -> None:
        """End a trial in which the server was hardly ever saturated.

        A limit that is not reached does no harm, and a low one would take the server's
        share of the load.
        """
        if trial.work.runs >= MIN_TRIAL_RUNS:
            self._end_trial(trial, now)
        elif trial.limit > self._limit:
            self._raise(trial.limit, now)
        else:
            if self._baseline.runs < MIN_BASELINE_RUNS:
                reference_work = trial.reference.value
                self._baseline = WorkMean(MEMORY_RUNS, TRIAL_RUNS, reference_work)
            self._hold(now, self._back_off(now))

    def _lower(self, limit: int, now: float) -> None:
        """Keep a lower limit, and search for the knee between it and the last one."""
        self._ceiling = self._target = self._limit
        self._limit = limit
        self._is_searching = True
        self._tries_deeper = False
        self._retry_s = FIRST_RETRY_S
        self._reason = LimitReason.SLOWER_ABOVE
        self._hold(now, now + SEARCH_PAUSE_S)

    def _reject_lower(self, trial: Trial, now: float) -> None:
        """Return to the limit, and take the work time for that of all limits.

        One that is still slow may be above the knee itself. So a much lower limit is
        tried first, after a pause in which a short slowdown ends.
        """
        was_known = self._baseline.runs >= MIN_BASELINE_RUNS
        is_slow = trial.work.value > SLOWER_FACTOR * self._baseline.value
        if was_known and is_slow and not self._tries_deeper:
            self._tries_deeper = True
        else:
            if was_known and is_slow:
                self._reason = LimitReason.SLOW_AT_ANY_LIMIT
            self._tries_deeper = False
            self._baseline = WorkMean(MEMORY_RUNS, TRIAL_RUNS, trial.work.value)
        self._hold(now, self._back_off(now))

    def _raise(self, limit: int, now: float) -> None:
        self._limit = limit
        self._retry_s = FIRST_RETRY_S
        if limit >= self._max_limit:
            self._is_searching = False
            self._reason = LimitReason.NO_SLOWDOWN
        self._choose_target()
        self._hold(now, self._choose_retry_at(now))

    def _reject_higher(self, limit: int, now: float) -> None:
        self._ceiling = limit
        if self._is_searching:
            self._choose_target()
        else:
            is_step = self._target < self._max_limit
            step = max(self._limit + 1, int((1 + SEARCH_STEP) * self._limit))
            self._target = self._max_limit if is_step else min(step, self._max_limit)
        self._hold(now, self._choose_retry_at(now))

    def _choose_target(self) -> None:
        """Choose the next higher limit to try: halfway to one known to be no better."""
        halfway = (self._limit + self._ceiling) // 2
        if halfway < (1 + SEARCH_STEP) * self._limit:
            self._is_searching = False
        self._target = halfway if self._is_searching else self._max_limit

    def _choose_retry_at(self, now: float) -> float:
        return now + SEARCH_PAUSE_S if self._is_searching else self._back_off(now)

    def _back_off(self, now: float) -> float:
        retry_at = now + self._retry_s
        self._retry_s = min(MAX_RETRY_S, 2 * self._retry_s)
        return retry_at

    def _try(self, limit: int, reference: WorkMean, now: float) -> None:
        self.limit = limit
        self._phase = Trial(limit, reference, self._compute_settled_at(now))

    def _hold(self, now: float, retry_at: float) -> None:
        self.limit = self._limit
        self._phase = Holding(retry_at, self._compute_settled_at(now))

    def _compute_settled_at(self, now: float) -> float:
        return now + SETTLING_RUNS * self._times.measured_s
