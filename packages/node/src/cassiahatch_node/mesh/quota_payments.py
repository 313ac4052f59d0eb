"""Payment for clients' requests with units of their teams' quotas."""

from __future__ import annotations

from cassiahatch_kernel.exchanges import Rejection, Request
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.team_quotas import TeamQuotas
from cassiahatch_policies.identification import Identity
from cassiahatch_policies.team_quota import Grant

Payment = Grant | bool
"""The grant whose unit pays for a request; True if it needs none, False while it has to
wait for one."""


class QuotaPayments:
    """Pays for the requests of teams whose quotas are enforced.

    Parameters
    ----------
    quotas : TeamQuotas or None
        The units in hand; None if quotas are not enforced.
    """

    __slots__ = ("_journal", "_quotas")

    def __init__(self, quotas: TeamQuotas | None, journal: Journal) -> None:
        self._quotas = quotas
        self._journal = journal

    def try_pay(self, identity: Identity) -> Payment:
        """Pay for a request if that needs no waiting."""
        if self._quotas is None or not identity.has_key:
            return True
        return self._quotas.try_admit(identity.team)

    async def wait_for_unit(self, request: Request, team: str) -> Grant | Rejection:
        """Wait a bounded time for the unit of a request that could not be paid for."""
        outcome = await self._quotas.wait_for_unit(team)
        if isinstance(outcome, Rejection):
            self._journal.trace(
                "refused_by_quota",
                request=request.id,
                reason=outcome.reason,
                team=team,
                retry_after_s=round(outcome.retry_after_s, 3),
            )
        return outcome

    def give_back(self, team: str, paid: Payment) -> None:
        """Take back the payment for a request that has not run and never will."""
        if isinstance(paid, Grant):
            self._quotas.give_back(team, paid)
