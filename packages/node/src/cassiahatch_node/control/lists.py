"""The lists in the platform's services: a row that points to an object."""

from __future__ import annotations

import msgspec
import xxhash

from cassiahatch_kernel.plans import AcceptedLists, PlanLists, check_lists
from cassiahatch_kernel.ports import (
    ABSENT,
    BadStoreDataError,
    Committed,
    Condition,
    Conflict,
    ObjectStore,
    StoreUnavailableError,
    Table,
    Write,
)

LISTS_ROW = "lists"
OBJECT_PREFIX = "lists-"
SETTLE_ATTEMPTS = 5
KEPT_CHANGE_IDS = 64


class ListsPointer(msgspec.Struct, frozen=True):
    """Which lists are accepted, and where they are."""

    version: int
    change_id: str
    object_name: str
    earlier: tuple[str, ...] = ()
    """Identities of the latest changes before this one, newest first."""

    @classmethod
    def decode(cls, value: bytes) -> ListsPointer:
        """Return the pointer in a row.

        Raises
        ------
        BadStoreDataError
            If the row can't be read.
        """
        try:
            return msgspec.json.decode(value, type=cls)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise BadStoreDataError(f"{LISTS_ROW}: {error}") from None


class Accepted(msgspec.Struct, frozen=True):
    """The change was committed."""

    lists: AcceptedLists


class Superseded(msgspec.Struct, frozen=True):
    """Somebody else changed the lists first; nothing was written."""

    current: AcceptedLists


class Undecided(msgspec.Struct, frozen=True):
    """It can't be told now whether the change was committed."""

    change_id: str


async def load_lists(objects: ObjectStore, pointer: ListsPointer) -> AcceptedLists:
    """Return the lists that a pointer names.

    Raises
    ------
    BadStoreDataError
        If the object is missing or can't be read.
    """
    body = await objects.get(pointer.object_name)
    if body is None:
        raise BadStoreDataError(f"{pointer.object_name}: missing")
    try:
        lists = msgspec.json.decode(body, type=PlanLists)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise BadStoreDataError(f"{pointer.object_name}: {error}") from None
    return AcceptedLists(pointer.version, pointer.change_id, lists)


async def read_accepted(table: Table, objects: ObjectStore) -> AcceptedLists:
    """Return the accepted lists; version 0 if there are none yet."""
    row = await table.read(LISTS_ROW)
    if row is None:
        return AcceptedLists(0, "", PlanLists())
    return await load_lists(objects, ListsPointer.decode(row.value))


async def commit_lists(
    table: Table,
    objects: ObjectStore,
    base_version: int,
    lists: PlanLists,
    change_id: str,
) -> Accepted | Superseded | Undecided:
    """Commit lists on top of the version that the operator started from.

    Parameters
    ----------
    table, objects : Table, ObjectStore
        The platform's services.
    base_version : int
        Version that the operator edited.
    lists : PlanLists
        The new lists, whole.
    change_id : str
        Identity of this change, by which a lost answer is settled.
    """
    check_lists(lists)
    row = await table.read(LISTS_ROW)
    current = ListsPointer.decode(row.value) if row else ListsPointer(0, "", "")
    if current.version != base_version:
        return Superseded(await _load_current(objects, current))
    body = msgspec.json.encode(lists)
    name = f"{OBJECT_PREFIX}{xxhash.xxh3_128_hexdigest(body)}"
    await objects.put(name, body)
    earlier = (current.change_id, *current.earlier)[:KEPT_CHANGE_IDS]
    pointer = ListsPointer(base_version + 1, change_id, name, earlier)
    condition = Condition(LISTS_ROW, row.version if row else ABSENT)
    write = Write(LISTS_ROW, msgspec.json.encode(pointer))
    for _attempt in range(SETTLE_ATTEMPTS):
        try:
            result = await table.transact([condition], [write])
        except StoreUnavailableError:
            continue
        match result:
            case Committed():
                return Accepted(AcceptedLists(pointer.version, change_id, lists))
            case Conflict():
                return await _settle_conflict(table, objects, pointer, lists)
    return Undecided(change_id)


async def _settle_conflict(
    table: Table, objects: ObjectStore, pointer: ListsPointer, lists: PlanLists
) -> Accepted | Superseded | Undecided:
    """Tell a conflict with somebody else from one with our own earlier attempt."""
    try:
        row = await table.read(LISTS_ROW)
        current = ListsPointer.decode(row.value) if row else ListsPointer(0, "", "")
        if pointer.change_id in (current.change_id, *current.earlier):
            return Accepted(AcceptedLists(pointer.version, pointer.change_id, lists))
        return Superseded(await _load_current(objects, current))
    except StoreUnavailableError:
        return Undecided(pointer.change_id)


async def _load_current(objects: ObjectStore, pointer: ListsPointer) -> AcceptedLists:
    if not pointer.object_name:
        return AcceptedLists(0, "", PlanLists())
    return await load_lists(objects, pointer)
