"""Identification of requests: the tenant they belong to, and their rank.

The load it answers is that of tenants that share a service: each request is ranked by
the priority of its tenant, and requests without a valid key are rejected before any
work is done for them.
"""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.exchanges import Call, Reason, Rejection
from cassiahatch_kernel.routes import RouteRule
from cassiahatch_kernel.tenants import TenantTable

UNKNOWN_PARENT_RETRY_AFTER_S = 0.5
"""``Retry-After`` of a call whose parent is unknown: the node has restarted since, and
a backend server that runs the parent again makes the call again."""


class Identity(msgspec.Struct, frozen=True):
    """Whose request it is, and how urgent."""

    tenant: str
    """Name of the tenant; empty for none."""
    rank: int
    """Rank of the tenant, or else of the route; 0 is the most urgent."""
    has_key: bool = False
    """Whether a key identified the tenant, so that its lease and its quota apply."""


def identify_request(
    tenants: TenantTable, rule: RouteRule, api_key: bytes
) -> Identity | Rejection:
    """Return the identity of a root request, or its rejection.

    Parameters
    ----------
    api_key : bytes
        The key that the request carries; empty if it carries none, or several.
    """
    if not tenants.has_tenants:
        return Identity("", rule.priority)
    tenant = tenants.find(api_key) if api_key else None
    if tenant is None:
        if rule.is_public:
            return Identity("", rule.priority)
        return Rejection(Reason.UNKNOWN_KEY)
    rank = rule.priority if tenant.priority is None else tenant.priority
    return Identity(tenant.name, rank, has_key=not rule.is_public)


def identify_call(
    tenants: TenantTable, rule: RouteRule, parent: Call | None
) -> Identity | Rejection:
    """Return the identity of a call that a backend server makes during a run.

    It belongs to the tenant of its parent, whose key has been checked.

    Parameters
    ----------
    parent : Call, optional
        The call during whose run it is made; None if that is not known.
    """
    if parent is not None:
        return Identity(parent.tenant, parent.rank)
    if tenants.has_tenants and not rule.is_public:
        return Rejection(Reason.UNKNOWN_PARENT, UNKNOWN_PARENT_RETRY_AFTER_S)
    return Identity("", rule.priority)
