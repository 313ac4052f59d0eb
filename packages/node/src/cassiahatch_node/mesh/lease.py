"""The node's lease on its configuration: checks of requests, log lines and the metric."""

from __future__ import annotations

from typing import Any

from cassiahatch_kernel.exchanges import Rejection
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.settings import MeshSettings
from cassiahatch_node.mesh.store_sync import StoreSync
from cassiahatch_node.observability.metrics import Metrics

AGE_METRIC = "configuration_age_s"


class LeaseWatch:
    """Decides whether requests with keys may be served now, and records changes of that.

    Parameters
    ----------
    lease : object
        The plug-in that decides by the age of the configuration.
    store_sync : StoreSync
        Knows that age.
    """

    __slots__ = ("_journal", "_metrics", "_store_sync", "_was_held", "lease")

    def __init__(
        self, lease: Any, store_sync: StoreSync, metrics: Metrics, journal: Journal
    ) -> None:
        self.lease = lease
        self._store_sync = store_sync
        self._metrics = metrics
        self._journal = journal
        self._was_held = False

    def find_rejection(self) -> Rejection | None:
        """Return the rejection of a request with a key, or None while the lease holds."""
        age_s, uncertainty_s = self._store_sync.measure_configuration_age()
        rejection = self.lease.find_rejection(age_s, uncertainty_s)
        if (rejection is None) is not self._was_held:
            self._was_held = rejection is None
            self._note_change(age_s, uncertainty_s)
        return rejection

    def check(self) -> None:
        """Update the metric, and log a change since the last check."""
        self.find_rejection()
        age = self._store_sync.measure_configuration_age()
        self._metrics.gauges[AGE_METRIC] = age.age_s + age.uncertainty_s

    def _note_change(self, age_s: float, uncertainty_s: float) -> None:
        held = self._was_held
        self._journal.note(
            "configuration_lease_regained" if held else "configuration_lease_lost",
            version=self._store_sync.config_version,
            age_s=round(age_s, 3),
            uncertainty_s=round(uncertainty_s, 3),
            max_delay_s=self.lease.max_delay_s,
        )


def make_lease(
    settings: MeshSettings, store_sync: StoreSync, metrics: Metrics, journal: Journal
) -> LeaseWatch | None:
    """Return the lease that the settings ask for, or None without ``[revocation]``."""
    revocation = settings.revocation
    store_sync.require_bounds(revocation is not None)
    if revocation is None:
        return None
    name = settings.plugins.configuration_lease
    lease = PLUGINS.create("configuration_lease", name, revocation.max_delay_s)
    return LeaseWatch(lease, store_sync, metrics, journal)
