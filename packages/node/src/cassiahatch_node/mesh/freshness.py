"""Freshness of a node's copies: until when they are known to have been current."""

from __future__ import annotations

from math import inf

from cassiahatch_kernel.clock import Clock

UNKNOWN = 0.0
"""Store time of a copy that is not known to have been current at any time."""
MAX_DRIFT = 0.001
"""Bound on the difference in rate of the store's clock and the node's. The kernel slews a
clock by 500 ppm at most, here both in opposite directions."""
RESOLUTION_S = 0.01
"""Bound on the rounding of the store times in its responses."""


class StoreClock:
    """The store's steady clock, as this node knows it.

    All nodes use it to date what they know, so the age of a date survives any number of
    hops. The node keeps two bounds on how far its own clock is ahead of the store's.
    Each date received gives an upper bound, since it was made before it was received;
    the estimate is that of the least delayed date. A date that answers a request also
    gives a lower bound, since it was made after the request was sent. The difference of
    the bounds is the uncertainty of the estimate. Both bounds loosen with time, because
    the clocks may differ in rate.
    """

    __slots__ = ("_clock", "_lower_at", "_lower_s", "_upper_at", "_upper_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._upper_s = inf
        self._lower_s = -inf
        self._upper_at = self._lower_at = 0.0
        """Monotonic seconds at which the bounds were observed."""

    def observe(self, store_time: float) -> None:
        """Take account of a store time that has passed."""
        now = self._clock.monotonic()
        offset_s = now - store_time
        if offset_s <= self._compute_upper_s(now):
            self._upper_s, self._upper_at = offset_s, now

    def observe_answer(
        self, store_time: float, sent_at: float, uncertainty_s: float = 0.0
    ) -> bool:
        """Take account of a store time that answers a request.

        Parameters
        ----------
        store_time : float
            A store time that had passed when the answer was made.
        sent_at : float
            Monotonic seconds of this node when it sent the request, or earlier.
        uncertainty_s : float, optional
            Seconds by which the store's clock may have been ahead of ``store_time``
            when the answer was made: 0 for an answer of the store itself.

        Returns
        -------
        bool
            Whether the time agrees with those observed before. If an answer of the store
            itself does not, its clock was set, and earlier times mean nothing any more.
        """
        now = self._clock.monotonic()
        offset_s = sent_at - store_time - uncertainty_s - RESOLUTION_S
        agrees = offset_s <= self._compute_upper_s(
            now
        ) and now - store_time >= self._compute_lower_s(now)
        if not agrees:
            if uncertainty_s:
                return False
            self._upper_s, self._lower_s = inf, -inf
        self.observe(store_time)
        if offset_s >= self._compute_lower_s(now):
            self._lower_s, self._lower_at = offset_s, now
        return agrees

    def estimate(self) -> float:
        """Return a store time that has passed, near the current one; or ``UNKNOWN``."""
        now = self._clock.monotonic()
        upper_s = self._compute_upper_s(now)
        return UNKNOWN if upper_s == inf else max(UNKNOWN, now - upper_s)

    @property
    def uncertainty_s(self) -> float:
        """Seconds by which the store's clock may be ahead of the estimate."""
        now = self._clock.monotonic()
        return self._compute_upper_s(now) - self._compute_lower_s(now)

    def is_future(self, store_time: float) -> bool:
        """Return whether a store time can't have been reached yet."""
        now = self._clock.monotonic()
        return now - store_time < self._compute_lower_s(now)

    def measure_age(self, store_time: float) -> float:
        """Return the seconds since a store time; infinity if it is ``UNKNOWN``.

        The true age may be greater by the uncertainty.
        """
        if store_time == UNKNOWN:
            return inf
        now = self._clock.monotonic()
        return max(0.0, now - self._compute_upper_s(now) - store_time)

    def _compute_upper_s(self, now: float) -> float:
        return self._upper_s + MAX_DRIFT * (now - self._upper_at)

    def _compute_lower_s(self, now: float) -> float:
        return self._lower_s - MAX_DRIFT * (now - self._lower_at)


class CopyFreshness:
    """The newest version of a table that is known, and when it was the newest.

    Parameters
    ----------
    store_clock : StoreClock
        Dates the versions.
    max_age_s : float
        Age from which a copy counts as stale.
    """

    __slots__ = ("_confirmed_at", "_store_clock", "_version", "max_age_s")

    def __init__(self, store_clock: StoreClock, max_age_s: float) -> None:
        self._store_clock = store_clock
        self._version = 0
        self._confirmed_at = UNKNOWN
        self.max_age_s = max_age_s

    def confirm(self, version: int, at: float) -> bool:
        """Record the newest version at a store time, and return whether that is news.

        A version that is older than one already known contradicts it, and is ignored.
        """
        if at == UNKNOWN or version < self._version:
            return False
        self._store_clock.observe(at)
        self._version = version
        is_news = at > self._confirmed_at
        self._confirmed_at = max(self._confirmed_at, at)
        return is_news

    def forget(self) -> None:
        """Forget when the version was the newest, as the store's clock was set."""
        self._confirmed_at = UNKNOWN

    def find_confirmed_at(self, version: int) -> float:
        """Return the last store time at which ``version`` was known to be the newest.

        It is ``UNKNOWN`` if a newer one is known.
        """
        return self._confirmed_at if version >= self._version else UNKNOWN

    def is_fresh(self, confirmed_at: float) -> bool:
        """Return whether a copy confirmed at a store time is fresh now."""
        return self._store_clock.measure_age(confirmed_at) <= self.max_age_s


class Coverage:
    """Until when the version in force is known to contain all changes.

    Unlike ``CopyFreshness``, it does not end when a newer version is known that is not
    in force yet: the changes up to an earlier moment are in force nevertheless.
    """

    __slots__ = ("_pending_at", "_pending_version", "covered_at")

    def __init__(self) -> None:
        self.covered_at = UNKNOWN
        """Store time up to which the version in force contains all changes."""
        self._pending_version = 0
        self._pending_at = UNKNOWN

    def confirm(self, version: int, at: float, version_in_force: int) -> None:
        """Record that a version was the newest at a store time."""
        if version <= version_in_force:
            self.covered_at = max(self.covered_at, at)
        elif version == self._pending_version:
            self._pending_at = max(self._pending_at, at)
        elif version > self._pending_version:
            self._pending_version, self._pending_at = version, at

    def apply(self, version_in_force: int) -> None:
        """Take account of a new version in force."""
        if self._pending_version <= version_in_force:
            self.covered_at = max(self.covered_at, self._pending_at)
            self._pending_version, self._pending_at = 0, UNKNOWN

    def forget(self) -> None:
        """Forget all times, as the store's clock was set."""
        self.covered_at = self._pending_at = UNKNOWN
