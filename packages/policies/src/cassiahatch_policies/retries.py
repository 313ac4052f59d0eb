"""The account that bounds all retries made on behalf of one root request."""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS


@PLUGINS.register("retries", "account")
class RetryAccount:
    """Retries that one call and all calls made on its behalf may still spend.

    A share is reserved for each call before it is sent, and what its answer reports
    as unused is returned. The share of a call whose answer is lost is not returned, so
    the retries spent in total stay within ``allowance`` at any depth and fan-out.

    Parameters
    ----------
    allowance : int
        Initial number of retries.
    """

    __slots__ = ("_available",)

    def __init__(self, allowance: int) -> None:
        self._available = max(0, allowance)

    @property
    def available(self) -> int:
        """Number of retries neither spent nor reserved."""
        return self._available

    def spend(self) -> bool:
        """Spend one retry, and return whether there was one."""
        if not self._available:
            return False
        self._available -= 1
        return True

    def reserve_for_attempt(self) -> int:
        """Reserve half for one attempt; the rest can be spent on retrying it."""
        return self._reserve(self._available // 2)

    def reserve_for_downstream(self) -> int:
        """Reserve half, rounded up, for a call made on behalf of this one."""
        return self._reserve((self._available + 1) // 2)

    def _reserve(self, share: int) -> int:
        self._available -= share
        return share

    def return_unused(self, share: int, unused: int) -> None:
        """Return the unused part of a share to the account.

        Parameters
        ----------
        share : int
            Retries that were reserved.
        unused : int
            Retries that the answer reports as unused; capped at ``share``.
        """
        self._available += min(max(unused, 0), share)


@PLUGINS.register("retries", "unbounded")
class UnboundedRetries:
    """Gives each layer its own retries: a baseline without overload control.

    Parameters
    ----------
    allowance : int
        Number of retries of each layer.
    """

    __slots__ = ("_remaining", "available")

    def __init__(self, allowance: int) -> None:
        self.available = allowance
        self._remaining = allowance

    def spend(self) -> bool:
        """Spend one retry of this layer, and return whether there was one."""
        self._remaining -= 1
        return self._remaining >= 0

    def reserve_for_attempt(self) -> int:
        """Return the full allowance, which the next layer gets too."""
        return self.available

    def reserve_for_downstream(self) -> int:
        """Return the full allowance, which the next layer gets too."""
        return self.available

    def return_unused(self, share: int, unused: int) -> None:
        """Do nothing; retries are not accounted for."""
