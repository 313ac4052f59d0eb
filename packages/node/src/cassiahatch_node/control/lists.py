"""Storage of the plan lists: a table row that points to an object with the lists."""

from __future__ import annotations

import msgspec
import xxhash

from cassiahatch_kernel.decoding import UNDECODABLE
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
COMMIT_ATTEMPTS = 5
"""Attempts at the transaction while the table service does not answer."""
MAX_EARLIER_CHANGE_IDS = 64
"""Earlier change ids in the row, by which a retry finds its own committed change."""


class ListsPointer(msgspec.Struct, frozen=True):
    """Row with the accepted version of the lists and the name of the object."""

    version: int
    change_id: str
    object_name: str
    earlier: tuple[str, ...] = ()
    """Ids of the most recent changes before this one, newest first."""

    @classmethod
    def decode(cls, value: bytes) -> ListsPointer:
        """Decode the value of a row.

        Raises
        ------
        BadStoreDataError
            If the value is not a valid pointer.
        """
        try:
            return msgspec.json.decode(value, type=cls)
        except UNDECODABLE as error:
            raise BadStoreDataError(f"{LISTS_ROW}: {error}") from None


class Accepted(msgspec.Struct, frozen=True):
    """The change was committed."""

    lists: AcceptedLists


class Superseded(msgspec.Struct, frozen=True):
    """Another change was committed first; this one was not written."""

    current: AcceptedLists


class Undecided(msgspec.Struct, frozen=True):
    """The table did not answer, so the change may or may not have been committed."""

    change_id: str


async def load_lists(objects: ObjectStore, pointer: ListsPointer) -> AcceptedLists:
    """Load and decode the lists that a pointer refers to.

    Raises
    ------
    BadStoreDataError
        If the object is missing or can't be decoded.
    """
    body = await objects.get(pointer.object_name)
    if body is None:
        raise BadStoreDataError(
            f"{pointer.object_name}: object with the lists not found"
        )
    try:
        lists = msgspec.json.decode(body, type=PlanLists)
    except UNDECODABLE as error:
        raise BadStoreDataError(f"{pointer.object_name}: {error}") from None
    return AcceptedLists(pointer.version, pointer.change_id, lists)


async def read_accepted(table: Table, objects: ObjectStore) -> AcceptedLists:
    """Return the accepted lists, or empty lists of version 0 if there are none yet."""
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
    """Commit new lists if ``base_version`` is still the accepted version.

    Parameters
    ----------
    table, objects : Table, ObjectStore
        The platform's table and object services.
    base_version : int
        Version that the operator edited.
    lists : PlanLists
        The complete new lists.
    change_id : str
        Id of this change. If the answer to a write was lost, the id in the row shows
        whether the change was committed.
    """
    check_lists(lists)
    row = await table.read(LISTS_ROW)
    current = ListsPointer.decode(row.value) if row else ListsPointer(0, "", "")
    if current.version != base_version:
        return Superseded(await _load_current(objects, current))
    body = msgspec.json.encode(lists)
    name = f"{OBJECT_PREFIX}{xxhash.xxh3_128_hexdigest(body)}"
    await objects.put(name, body)
    earlier = (current.change_id, *current.earlier)[:MAX_EARLIER_CHANGE_IDS]
    pointer = ListsPointer(base_version + 1, change_id, name, earlier)
    condition = Condition(LISTS_ROW, row.version if row else ABSENT)
    write = Write(LISTS_ROW, msgspec.json.encode(pointer))
    for _attempt in range(COMMIT_ATTEMPTS):
        try:
            result = await table.transact([condition], [write])
        except StoreUnavailableError:
            continue
        match result:
            case Committed():
                return Accepted(AcceptedLists(pointer.version, change_id, lists))
            case Conflict():
                return await _resolve_conflict(table, objects, pointer, lists)
    return Undecided(change_id)


async def _resolve_conflict(
    table: Table, objects: ObjectStore, pointer: ListsPointer, lists: PlanLists
) -> Accepted | Superseded | Undecided:
    """Determine whether a conflict is due to another change or to an earlier attempt.

    An attempt whose answer was lost may have been committed: then the row holds
    the id of this change.
    """
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
