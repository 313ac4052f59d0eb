"""The account that bounds all retries below one top request."""

from __future__ import annotations

from cassiahatch_kernel.registry import PLUGINS


@PLUGINS.register("retries", "account")
class RetryAccount:
    """Retries that one call and everything below it may still spend.

    A share is taken out before a deeper call is sent, and what came back unused
    is put in again. A share whose answer is lost is never put in, so the sum of
    all that is spent stays within ``allowance`` at any depth and fan-out.

    Parameters
    ----------
    allowance : int
        Retries given to the account.
    """

    __slots__ = ("_available",)

    def __init__(self, allowance: int) -> None:
        self._available = max(0, allowance)

    @property
    def available(self) -> int:
        """Retries neither spent nor lent."""
        return self._available

    def spend(self) -> bool:
        """Take one retry, and tell whether there was one."""
        if not self._available:
            return False
        self._available -= 1
        return True

    def reserve_for_attempt(self) -> int:
        """Take out a share for one attempt: half, so that the rest can repeat it."""
        return self._lend(self._available // 2)

    def reserve_for_downstream(self) -> int:
        """Take out a share for a deeper call: half, rounded up."""
        return self._lend((self._available + 1) // 2)

    def _lend(self, share: int) -> int:
        self._available -= share
        return share

    def return_unused(self, share: int, unused: int) -> None:
        """Put in what a share left unused.

        Parameters
        ----------
        share : int
            What was lent.
        unused : int
            What the answer says was not used; never more than ``share`` counts.
        """
        self._available += min(max(unused, 0), share)


@PLUGINS.register("retries", "unbounded")
class UnboundedRetries:
    """Each layer retries on its own, as the baseline without control.

    Parameters
    ----------
    allowance : int
        Retries of each layer.
    """

    __slots__ = ("_left", "available")

    def __init__(self, allowance: int) -> None:
        self.available = allowance
        self._left = allowance

    def spend(self) -> bool:
        """Take one retry of this layer."""
        self._left -= 1
        return self._left >= 0

    def reserve_for_attempt(self) -> int:
        """Return the allowance again for the layer below."""
        return self.available

    def reserve_for_downstream(self) -> int:
        """Return the allowance again for the layer below."""
        return self.available

    def return_unused(self, share: int, unused: int) -> None:
        """Do nothing; no account is kept."""
