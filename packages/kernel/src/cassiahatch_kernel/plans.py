"""The two lists that operators edit."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import msgspec

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.priorities import MAX_PLAN_RANK

ANY_SERVICE = "*"


class PlanListError(CodedError):
    """The lists can't be used."""

    code = "bad_plan_lists"
    status = 400


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the customers of a plan may use."""

    rate: float
    """Top requests a second."""
    burst: float
    """Top requests that may exceed the rate at once.

    At least one second's worth, and at least one more than half a second's worth.
    """
    importance: int = 0
    """Rank among plans; higher is refused later."""
    services: tuple[str, ...] = (ANY_SERVICE,)


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who a customer is, and its plan."""

    plan: str
    key_sha256: str
    """SHA-256 of the customer's bearer key, in lower-case hexadecimal."""


class PlanLists(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Both lists: customers to plans, and plans to what each may use."""

    customers: dict[str, Customer] = {}
    plans: dict[str, Plan] = {}


class AcceptedLists(msgspec.Struct, frozen=True):
    """Lists that were committed, with their place in the order of changes."""

    version: int
    change_id: str
    lists: PlanLists


@dataclass(slots=True)
class PlanIndex:
    """The lists in force, prepared for look-up."""

    accepted: AcceptedLists = field(
        default_factory=lambda: AcceptedLists(0, "", PlanLists())
    )
    _names_by_key: dict[str, str] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version of the lists in force; 0 when none was accepted yet."""
        return self.accepted.version

    def adopt(self, accepted: AcceptedLists) -> bool:
        """Put ``accepted`` in force if it is newer, and tell whether it was."""
        if accepted.version <= self.version:
            return False
        self.accepted = accepted
        self._names_by_key = {
            customer.key_sha256: name
            for name, customer in accepted.lists.customers.items()
        }
        return True

    def find_customer(self, bearer_key: str) -> str | None:
        """Return the name of the customer who holds ``bearer_key``, or None."""
        return self._names_by_key.get(hash_key(bearer_key))

    def find_plan(self, customer: str) -> Plan | None:
        """Return the plan of ``customer``, or None if it has none."""
        entry = self.accepted.lists.customers.get(customer)
        return self.accepted.lists.plans.get(entry.plan) if entry else None


def hash_key(bearer_key: str) -> str:
    """Return the form in which the lists keep a bearer key."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def allows_service(plan: Plan, service: str) -> bool:
    """Tell whether ``plan`` may use ``service``."""
    return ANY_SERVICE in plan.services or service in plan.services


def check_lists(lists: PlanLists) -> None:
    """Check what the types alone do not.

    Raises
    ------
    PlanListError
        On the first entry that can't be used; the detail names it.
    """
    for name, plan in lists.plans.items():
        _check_plan(name, plan)
    owners: dict[str, str] = {}
    for name, customer in lists.customers.items():
        _check_customer(name, customer, lists, owners)


def _check_plan(name: str, plan: Plan) -> None:
    if not 0 < plan.rate < float("inf"):
        raise PlanListError(f"plans.{name}.rate: must be above 0 requests a second")
    smallest_burst = max(plan.rate, 1 + plan.rate / 2)
    if not smallest_burst <= plan.burst < float("inf"):
        raise PlanListError(f"plans.{name}.burst: must be at least {smallest_burst:g}")
    if not 0 <= plan.importance <= MAX_PLAN_RANK:
        raise PlanListError(
            f"plans.{name}.importance: must be between 0 and {MAX_PLAN_RANK}"
        )


def _check_customer(
    name: str, customer: Customer, lists: PlanLists, owners: dict[str, str]
) -> None:
    if customer.plan not in lists.plans:
        raise PlanListError(f"customers.{name}.plan: no plan {customer.plan!r}")
    digest = customer.key_sha256
    if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
        raise PlanListError(
            f"customers.{name}.key_sha256: must be 64 lower-case hexadecimal digits"
        )
    if digest in owners:
        raise PlanListError(
            f"customers.{name}.key_sha256: same key as customer {owners[digest]!r}"
        )
    owners[digest] = name
