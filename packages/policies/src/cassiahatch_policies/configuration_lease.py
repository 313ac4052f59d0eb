"""Lease on the configuration: how long a node may rely on the version in force.

A key that a newer configuration has removed must stop working in bounded time at every
node, also at one that no longer hears of new configurations. So a node serves requests
with keys only while its configuration is known to be recent. The load it answers is that
of the peak: a check is one comparison.
"""

from __future__ import annotations

from cassiahatch_kernel.exchanges import Reason, Rejection
from cassiahatch_kernel.registry import PLUGINS

MARGIN_SHARE = 0.1
"""Share of the longest delay that is left as a margin. It covers the time between the
check and the moment that counts as the sending of the request, and errors of rounding."""
RETRY_AFTER_S = 0.5
"""``Retry-After`` of the rejections. Nodes regain the lease within a second of fresh data,
and clients that return meanwhile cost one check each."""


@PLUGINS.register("configuration_lease", "store-age")
class ConfigurationLease:
    """Rejects requests with keys once the configuration may be too old.

    Parameters
    ----------
    max_delay_s : float
        Seconds after the acknowledgement of a configuration from which on a request with
        a key that it removed may not run.
    """

    __slots__ = ("max_delay_s",)

    def __init__(self, max_delay_s: float) -> None:
        self.max_delay_s = max_delay_s

    def find_rejection(self, age_s: float, uncertainty_s: float) -> Rejection | None:
        """Return the rejection of a request with a key, or None while the lease holds.

        Parameters
        ----------
        age_s : float
            Seconds since the version in force is known to have been the newest; infinite
            if that is not known.
        uncertainty_s : float
            Seconds by which the age may be greater.
        """
        if age_s + uncertainty_s < self.max_delay_s * (1 - MARGIN_SHARE):
            return None
        return Rejection(Reason.CONFIGURATION_EXPIRED, RETRY_AFTER_S)
