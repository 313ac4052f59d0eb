"""Tenants: who sends requests, identified by API keys."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec


class Tenant(msgspec.Struct, frozen=True):
    """A tenant of the operator's configuration."""

    name: str
    keys: tuple[bytes, ...]
    """API keys, any of which identifies the tenant."""
    priority: int | None = None
    """Rank of the tenant's requests; None if each route's rank applies."""
    rate_per_s: float = 0.0
    """Requests a second that the tenant may send, over all nodes; 0 for no limit."""
    burst: float = 0.0
    """Requests that it may send beyond the rate after a pause."""

    def __repr__(self) -> str:
        """Return a text without the keys, which must not appear in logs."""
        return f"Tenant({self.name!r}, {len(self.keys)} keys)"


class TenantTable:
    """Tenants of one version of the configuration, indexed by key and by name.

    A key that several tenants list identifies none of them, since a request could not
    be attributed to either with certainty.

    Parameters
    ----------
    tenants : iterable of Tenant
        The tenants; their names are distinct.
    """

    __slots__ = ("_by_key", "_by_name", "ambiguous_tenants", "has_quotas")

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self._by_name = {tenant.name: tenant for tenant in tenants}
        self._by_key: dict[bytes, Tenant] = {}
        ambiguous_keys: set[bytes] = set()
        ambiguous_tenants: set[str] = set()
        for tenant in self._by_name.values():
            for key in tenant.keys:
                other = self._by_key.setdefault(key, tenant)
                if other is not tenant:
                    ambiguous_keys.add(key)
                    ambiguous_tenants |= {other.name, tenant.name}
        for key in ambiguous_keys:
            del self._by_key[key]
        self.ambiguous_tenants = tuple(sorted(ambiguous_tenants))
        """Names of the tenants that share a key with another one."""
        self.has_quotas = any(t.rate_per_s > 0 for t in self._by_name.values())
        """Whether a tenant may only send a number of requests a second."""

    @property
    def has_tenants(self) -> bool:
        """Whether there are tenants, so that requests need keys."""
        return bool(self._by_name)

    def find(self, key: bytes) -> Tenant | None:
        """Return the tenant that a key identifies, or None."""
        return self._by_key.get(key)

    def get(self, name: str) -> Tenant | None:
        """Return the tenant of a name, or None."""
        return self._by_name.get(name)
