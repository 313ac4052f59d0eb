"""The two lists as TOML files."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cassiahatch_kernel.plans import (
    Customer,
    Plan,
    PlanListError,
    PlanLists,
    check_lists,
)

CUSTOMERS_FILE = "customers.toml"
PLANS_FILE = "plans.toml"
VERSION_FILE = ".version"


class CustomersFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Customers to plans."""

    customers: dict[str, Customer] = {}


class PlansFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Plans to what each may use."""

    plans: dict[str, Plan] = {}


def read_lists(folder: Path) -> PlanLists:
    """Return the checked lists in a folder.

    Raises
    ------
    PlanListError
        With the file and the entry in its detail.
    """
    customers = _read(folder / CUSTOMERS_FILE, CustomersFile).customers
    plans = _read(folder / PLANS_FILE, PlansFile).plans
    lists = PlanLists(customers, plans)
    try:
        check_lists(lists)
    except PlanListError as error:
        raise PlanListError(f"{folder}: {error.detail}") from None
    return lists


def write_lists(folder: Path, lists: PlanLists, version: int) -> None:
    """Write lists to a folder, with the version that they are."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / CUSTOMERS_FILE).write_text(_render("customers", lists.customers))
    (folder / PLANS_FILE).write_text(_render("plans", lists.plans))
    (folder / VERSION_FILE).write_text(f"{version}\n")


def read_base_version(folder: Path) -> int:
    """Return the version from which the lists in a folder were edited."""
    path = folder / VERSION_FILE
    if not path.exists():
        return 0
    text = path.read_text().strip()
    if not text.isdigit():
        raise PlanListError(f"{path}: not a version number")
    return int(text)


def _read(path: Path, kind: type) -> object:
    try:
        return msgspec.toml.decode(path.read_bytes(), type=kind)
    except OSError as error:
        raise PlanListError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise PlanListError(f"{path}: {error}") from None


def _render(table: str, entries: dict[str, msgspec.Struct]) -> str:
    lines: list[str] = []
    for name, entry in sorted(entries.items()):
        lines.append(f"[{table}.{_encode(name)}]")
        for key, value in msgspec.structs.asdict(entry).items():
            lines.append(f"{key} = {_encode(value)}")
        lines.append("")
    return "\n".join(lines)


def _encode(value: object) -> str:
    return msgspec.json.encode(value).decode()
