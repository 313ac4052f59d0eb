"""Differences between versions of the lists of customers and plans."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from cassiahatch_kernel.plans import AcceptedLists, Customer, Plan, PlanLists

Item = TypeVar("Item")


class ListChange(msgspec.Struct, frozen=True):
    """Changes from one accepted version to a later one; None removes an entry."""

    base_version: int
    base_change_id: str
    version: int
    change_id: str
    customers: dict[str, Customer | None] = {}
    plans: dict[str, Plan | None] = {}


def diff_lists(old: AcceptedLists, new: AcceptedLists) -> ListChange:
    """Return the change from ``old`` to ``new``."""
    return ListChange(
        old.version,
        old.change_id,
        new.version,
        new.change_id,
        _diff_entries(old.lists.customers, new.lists.customers),
        _diff_entries(old.lists.plans, new.lists.plans),
    )


def apply_change(old: AcceptedLists, change: ListChange) -> AcceptedLists | None:
    """Return the changed lists, or None if ``change`` does not build on ``old``."""
    base = (change.base_version, change.base_change_id)
    if base != (old.version, old.change_id) or change.version <= old.version:
        return None
    lists = PlanLists(
        _apply_entries(old.lists.customers, change.customers),
        _apply_entries(old.lists.plans, change.plans),
    )
    return AcceptedLists(change.version, change.change_id, lists)


def _diff_entries(old: dict[str, Item], new: dict[str, Item]) -> dict[str, Item | None]:
    changed: dict[str, Item | None] = {
        name: item for name, item in new.items() if old.get(name) != item
    }
    changed.update({name: None for name in old if name not in new})
    return changed


def _apply_entries(
    old: dict[str, Item], changed: dict[str, Item | None]
) -> dict[str, Item]:
    merged = {**old, **changed}
    return {name: item for name, item in merged.items() if item is not None}
