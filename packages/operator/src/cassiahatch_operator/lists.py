"""TOML files of the lists of customers and plans."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cassiahatch_kernel.decoding import UNDECODABLE
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
    """Content of the customers file."""

    customers: dict[str, Customer] = {}


class PlansFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the plans file."""

    plans: dict[str, Plan] = {}


def read_lists(folder: Path) -> PlanLists:
    """Read and check the lists in a folder.

    Raises
    ------
    PlanListError
        If the lists can't be read or are invalid; the detail names file and entry.
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
    """Write the lists and their version to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / CUSTOMERS_FILE).write_text(_render("customers", lists.customers))
    (folder / PLANS_FILE).write_text(_render("plans", lists.plans))
    (folder / VERSION_FILE).write_text(f"{version}\n")


def read_base_version(folder: Path) -> int:
    """Return the version that the lists in a folder are based on; 0 without a file."""
    path = folder / VERSION_FILE
    if not path.exists():
        return 0
    text = path.read_text().strip()
    if not text.isdigit():
        raise PlanListError(f"{path}: expected a version number, got {text!r}")
    return int(text)


def _read(path: Path, file_type: type) -> object:
    try:
        return msgspec.toml.decode(path.read_bytes(), type=file_type)
    except OSError as error:
        raise PlanListError(f"{path}: {error.strerror}") from None
    except (*UNDECODABLE, ValueError) as error:
        raise PlanListError(f"{path}: {error}") from None


def _render(table: str, entries: dict[str, msgspec.Struct]) -> str:
    lines: list[str] = []
    for name, entry in sorted(entries.items()):
        lines.append(f"[{table}.{_encode_value(name)}]")
        for key, value in msgspec.structs.asdict(entry).items():
            lines.append(f"{key} = {_encode_value(value)}")
        lines.append("")
    return "\n".join(lines)


def _encode_value(value: object) -> str:
    return msgspec.json.encode(value).decode()
