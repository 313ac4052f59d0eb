"""Confirmations of a node's copies, by the store and by peers."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from cassiahatch_kernel.clock import Clock
from cassiahatch_node.mesh.frames import Hello, ReaderFrame
from cassiahatch_node.mesh.freshness import (
    UNKNOWN,
    CopyFreshness,
    Coverage,
    StoreClock,
)

CONFIG_MAX_AGE_S = 1.2
"""Age of a confirmed configuration from which a node asks the store itself. With the
answer, well below the 2 s in which a change must be in force."""
MEMBERS_MAX_AGE_S = 5.0
"""The same for members: a long poll and the pause after it, with a margin."""
MAX_UNCERTAINTY_S = 0.2
"""Uncertainty of the store's clock beyond which a node with a configuration lease renews
its bound. It grows by 1 ms a second, so that happens every 200 s."""
RENEWAL_INTERVAL_S = 2.0
"""Least time between two attempts at that. A slow store or link may give no closer bound,
however often it is asked."""


class ConfigurationAge(NamedTuple):
    """Age of the configuration in force, in seconds."""

    age_s: float
    """Seconds since it is known to have been the newest; infinite if that is unknown."""
    uncertainty_s: float
    """Seconds by which the age may be greater."""


class Confirmations:
    """Store times at which the versions of the copies were the newest.

    Parameters
    ----------
    clock : Clock
        The node's clock; its monotonic time includes suspensions of the VM.
    """

    __slots__ = (
        "_clock",
        "_config",
        "_coverage",
        "_members",
        "_renewed_at",
        "_store_clock",
        "needs_bounds",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._store_clock = StoreClock(clock)
        self._config = CopyFreshness(self._store_clock, CONFIG_MAX_AGE_S)
        self._members = CopyFreshness(self._store_clock, MEMBERS_MAX_AGE_S)
        self._coverage = Coverage()
        self._renewed_at = -inf
        """Monotonic seconds of the last attempt to reduce the uncertainty."""
        self.needs_bounds = False
        """Whether the uncertainty of the store's clock has to stay small."""

    def claim_renewal(self, uncertainty_s: float = 0.0) -> bool:
        """Return whether to renew the bound on the store's clock now, and record that.

        Parameters
        ----------
        uncertainty_s : float, optional
            Uncertainty of the peer that would be asked; 0 for the store. Only a peer
            with less than half of the node's own is worth a message.
        """
        own_s, now = self._store_clock.uncertainty_s, self._clock.monotonic()
        claims = (
            self.needs_bounds
            and own_s > MAX_UNCERTAINTY_S
            and uncertainty_s < own_s / 2
            and now - self._renewed_at >= RENEWAL_INTERVAL_S
        )
        if claims:
            self._renewed_at = now
        return claims

    def observe_store(self, read_at: float, sent_at: float) -> bool:
        """Take account of the store time of an answer of the store.

        Returns False if it contradicts earlier ones, whose confirmations are dropped.

        Parameters
        ----------
        sent_at : float
            Monotonic seconds at which the request was sent.
        """
        if read_at == UNKNOWN or self._store_clock.observe_answer(read_at, sent_at):
            return True
        self._config.forget()
        self._members.forget()
        self._coverage.forget()
        return False

    def confirm_configuration(
        self, version: int, at: float, version_in_force: int
    ) -> None:
        """Record that a version of the configuration was the newest at a store time."""
        self._config.confirm(version, at)
        self._coverage.confirm(version, at, version_in_force)

    def confirm_members(self, version: int, at: float) -> None:
        """Record that a version of the members was the newest at a store time."""
        self._members.confirm(version, at)

    def confirm_by_peer(self, peer: ReaderFrame | Hello, version_in_force: int) -> bool:
        """Take account of when a peer's versions were the newest.

        Returns False if the store's clock can't have reached these times, which are then
        left out: the peer, or this node, has not seen that the clock was set.
        """
        match peer:
            case Hello(answers_sent_at=sent_at, uncertainty_s=uncertainty_s) if (
                sent_at and uncertainty_s < inf
            ):
                agrees = self._store_clock.observe_answer(
                    peer.store_time, sent_at, uncertainty_s
                )
            case _:
                agrees = True
        latest = max(peer.config_confirmed_at, peer.members_confirmed_at)
        if not agrees or self._store_clock.is_future(latest):
            return False
        self.confirm_configuration(
            peer.config_version, peer.config_confirmed_at, version_in_force
        )
        self.confirm_members(peer.members_version, peer.members_confirmed_at)
        return True

    def apply_configuration(self, version_in_force: int) -> None:
        """Take account of a new configuration in force."""
        self._coverage.apply(version_in_force)

    def measure_configuration_age(self) -> ConfigurationAge:
        """Return how long ago the configuration in force was the newest."""
        age_s = self._store_clock.measure_age(self._coverage.covered_at)
        return ConfigurationAge(age_s, self._store_clock.uncertainty_s)

    def is_fresh(self, reader: ReaderFrame) -> bool:
        """Return whether the copies of a reader count as fresh by now."""
        return self._config.is_fresh(
            reader.config_confirmed_at
        ) and self._members.is_fresh(reader.members_confirmed_at)

    def make_reader_frame(
        self, config_version: int, members_version: int
    ) -> ReaderFrame:
        """Return the heartbeat of a reader that has these versions."""
        return ReaderFrame(
            config_version,
            members_version,
            self._config.find_confirmed_at(config_version),
            self._members.find_confirmed_at(members_version),
            self._store_clock.uncertainty_s,
        )

    def make_hello(
        self, link_version: int, node_id: str, versions: ReaderFrame
    ) -> Hello:
        """Return a ``Hello`` with the versions of a heartbeat."""
        return Hello(
            link_version,
            node_id,
            versions.config_version,
            versions.members_version,
            versions.config_confirmed_at,
            versions.members_confirmed_at,
            self._store_clock.estimate(),
            versions.uncertainty_s,
            self._clock.monotonic(),
        )
