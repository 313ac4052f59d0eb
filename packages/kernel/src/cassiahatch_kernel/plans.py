"""The lists of customers and plans that operators edit."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import msgspec

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.priorities import MAX_PLAN_RANK

ANY_SERVICE = "*"
"""Entry of ``Plan.services`` that allows every service."""


class PlanListError(CodedError):
    """The lists are invalid."""

    code = "bad_plan_lists"
    status = 400


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate limit, rank and services of a plan's customers."""

    rate: float
    """Root requests per second."""
    burst: float
    """Number of root requests by which the rate may be exceeded at once.

    At least the requests of one second, and at least one more than those of half a
    second.
    """
    importance: int = 0
    """Rank among plans; higher is rejected later."""
    services: tuple[str, ...] = (ANY_SERVICE,)


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The plan and the key of a customer."""

    plan: str
    key_sha256: str
    """SHA-256 of the customer's bearer key, in lower-case hexadecimal."""


class PlanLists(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Both lists: customers and plans, by name."""

    customers: dict[str, Customer] = {}
    plans: dict[str, Plan] = {}


class AcceptedLists(msgspec.Struct, frozen=True):
    """Committed lists, with their version."""

    version: int
    change_id: str
    lists: PlanLists


@dataclass(slots=True)
class PlanIndex:
    """The lists in force, indexed for lookup."""

    accepted: AcceptedLists = field(
        default_factory=lambda: AcceptedLists(0, "", PlanLists())
    )
    _names_by_key: dict[str, str] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """Version of the lists in force; 0 if none has been accepted yet."""
        return self.accepted.version

    def adopt(self, accepted: AcceptedLists) -> bool:
        """Put ``accepted`` in force if it is newer; return whether it was."""
        if accepted.version <= self.version:
            return False
        self.accepted = accepted
        self._names_by_key = {
            customer.key_sha256: name
            for name, customer in accepted.lists.customers.items()
        }
        return True

    def find_customer(self, bearer_key: str) -> str | None:
        """Return the name of the customer with ``bearer_key``, or None."""
        return self._names_by_key.get(hash_key(bearer_key))

    def find_plan(self, customer: str) -> Plan | None:
        """Return the plan of ``customer``, or None if there is none."""
        entry = self.accepted.lists.customers.get(customer)
        return self.accepted.lists.plans.get(entry.plan) if entry else None


def hash_key(bearer_key: str) -> str:
    """Return the hash under which the lists store a bearer key."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def allows_service(plan: Plan, service: str) -> bool:
    """Return whether customers of ``plan`` may use ``service``."""
    return ANY_SERVICE in plan.services or service in plan.services


def check_lists(lists: PlanLists) -> None:
    """Check the constraints that the types don't express.

    Raises
    ------
    PlanListError
        If an entry is invalid; the detail names the first such entry.
    """
    for name, plan in lists.plans.items():
        _check_plan(name, plan)
    owners: dict[str, str] = {}
    for name, customer in lists.customers.items():
        _check_customer(name, customer, lists, owners)


def _check_plan(name: str, plan: Plan) -> None:
    if not 0 < plan.rate < float("inf"):
        raise PlanListError(
            f"plans.{name}.rate: must be finite and above 0 requests per second, "
            f"got {plan.rate:g}"
        )
    smallest_burst = max(plan.rate, 1 + plan.rate / 2)
    if not smallest_burst <= plan.burst < float("inf"):
        raise PlanListError(
            f"plans.{name}.burst: must be finite and at least {smallest_burst:g}, "
            f"got {plan.burst:g}"
        )
    if not 0 <= plan.importance <= MAX_PLAN_RANK:
        raise PlanListError(
            f"plans.{name}.importance: must be between 0 and {MAX_PLAN_RANK}, "
            f"got {plan.importance}"
        )


def _check_customer(
    name: str, customer: Customer, lists: PlanLists, owners: dict[str, str]
) -> None:
    if customer.plan not in lists.plans:
        raise PlanListError(f"customers.{name}.plan: no plan named {customer.plan!r}")
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
