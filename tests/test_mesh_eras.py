"""A store that comes back from an older copy of itself, in a new era."""

from __future__ import annotations

import asyncio

import pytest

from cassiahatch_kernel.members import MemberState
from cassiahatch_kernel.ports import (
    Conflict,
    HistoryGoneError,
    Row,
    Scan,
    StoreUnavailableError,
)
from cassiahatch_kernel.store_versions import (
    MAX_ERA,
    MAX_NUMBER,
    compose_version,
    get_era,
    get_number,
)
from cassiahatch_node.mesh.missing_members import RETURN_S, MissingMembers
from cassiahatch_platform.store import PlatformStore
from mesh_site import Site, make_headers, send
from test_mesh import ROUTES, run_scenario

ORDER = [(0, 0), (0, 7), (0, MAX_NUMBER), (1, 0), (1, 3), (2, 1), (MAX_ERA, MAX_NUMBER)]


def test_versions_of_a_later_era_are_higher_whatever_their_numbers() -> None:
    versions = [compose_version(era, number) for era, number in ORDER]
    assert versions == sorted(versions)
    assert [(get_era(v), get_number(v)) for v in versions] == ORDER
    assert compose_version(0, 7) == 7
    assert versions[-1] < 1 << 63


@pytest.mark.parametrize(("era", "number"), [(-1, 0), (0, -1), (MAX_ERA + 1, 0)])
def test_version_out_of_range_is_not_taken_for_another(era: int, number: int) -> None:
    with pytest.raises(ValueError, match="out of range"):
        compose_version(era, number)


def make_scan(era: int, keys: str) -> Scan:
    rows = tuple(Row(key, b"", compose_version(era, 1)) for key in keys)
    return Scan(rows, (), compose_version(era, 9))


MISSING = [
    # tables read in full, as seconds, era and keys; keys removed with the last one
    ([(0, 0, "abc"), (1, 0, "ab")], {"c"}),
    ([(0, 0, "abc"), (1, 1, "ab")], set()),
    ([(0, 0, "abc"), (1, 1, "ab"), (2, 1, "ab")], set()),
    ([(0, 0, "abc"), (1, 1, "ab"), (2, 1, "abc"), (3, 1, "ab")], {"c"}),
    ([(0, 0, "abc"), (1, 1, "ab"), (2 + RETURN_S, 1, "ab")], {"c"}),
    ([(0, 0, "abc"), (1, 1, "ab"), (2, 2, "b"), (3, 2, "b")], set()),
]


@pytest.mark.parametrize(("reads", "expected"), MISSING)
def test_members_do_not_vanish_with_the_rows_that_a_new_era_lacks(
    reads: list[tuple[float, int, str]], expected: set[str]
) -> None:
    missing, known = MissingMembers(), set()
    for now, era, keys in reads:
        scan = make_scan(era, keys)
        removed = missing.find_removed(known, scan, now)
        removed |= missing.drop_overdue(scan, now)
        known = (known | set(keys)) - removed
    assert removed == expected


async def follow_old_era(store: PlatformStore) -> None:
    with pytest.raises(HistoryGoneError):
        await store.follow_table("members", 3, 0.0)


async def write_old_version(store: PlatformStore) -> None:
    await store.read_table("members")
    match await store.write_row("members", "a", b"mine", 2):
        case Conflict(version=version, value=value):
            assert (version, value) == (compose_version(1, 2), b"2")
        case outcome:
            raise AssertionError(f"written in the new era: {outcome}")


async def write_before_the_era_is_known(store: PlatformStore) -> None:
    assert isinstance(await store.write_row("members", "a", b"mine", 2), Conflict)


ACCESSES = [follow_old_era, write_old_version, write_before_the_era_is_known]


@pytest.mark.parametrize("access", ACCESSES)
def test_number_that_is_given_out_again_is_not_the_old_version(access) -> None:
    async def scenario(site: Site) -> None:
        for number in (1, 2, 3):
            site.store.put("members", "a", b"%d" % number)
            if number == 2:
                copy = site.store.copy()
        site.store.roll_back(copy)
        store = PlatformStore(site.store.address, 1.0)
        try:
            await access(store)
        finally:
            store.close()

    run_scenario(scenario)


@pytest.mark.parametrize("text", ["x", "-1", "1.5", "", "9" * 30, "\u00b2"])
def test_unreadable_era_is_no_usable_answer(text: str) -> None:
    async def scenario(site: Site) -> None:
        site.store.era_header = f"Store-Era: {text}\r\n"
        store = PlatformStore(site.store.address, 1.0)
        try:
            with pytest.raises(StoreUnavailableError):
                await store.read_table("members")
        finally:
            store.close()

    run_scenario(scenario)


@pytest.mark.parametrize("lost", ["row", "departure", "configuration"])
def test_what_nodes_wrote_is_written_again_and_nothing_vanishes(lost: str) -> None:
    async def scenario(site: Site) -> None:
        site.configure(ROUTES)
        await site.add_host("shop")
        await site.add_host("books")
        await site.wait_for_convergence()
        copy = site.store.copy()
        count = 2
        match lost:
            case "row":
                await site.add_host("books")
                count = 3
            case "departure":
                await site.hosts[1].announce("draining")
            case "configuration":
                site.configure(
                    ROUTES | {"new": {"prefix": "/new/", "service": "books"}}
                )
        await site.wait_for_convergence()
        site.store.roll_back(copy)
        if lost == "configuration":
            site.config_version -= 3
            site.configure(ROUTES | {"new": {"prefix": "/new/", "service": "books"}})
        async with asyncio.timeout(8):
            while not all(
                get_era(host.sidecar.store_sync.members_version) == 1
                and site.store.rows.get(("members", f"n{number}"), (b"", 0))[1]
                > copy[1]
                for number, host in enumerate(site.hosts, 1)
            ):
                await asyncio.sleep(0.02)
                for host in site.hosts:
                    assert len(host.sidecar.directory.members) == count
        writes = site.store.version
        await asyncio.sleep(1.0)
        assert site.store.version == writes, "rows are written more than once"
        members = site.hosts[0].sidecar.directory.members
        is_draining = members["n2"].state is MemberState.DRAINING
        assert is_draining == (lost == "departure")
        if lost != "departure":
            address = site.hosts[0].client_address
            target = "/new/1" if lost == "configuration" else "/read/1"
            answer = await send(address, "GET", target, make_headers("r1"))
            assert answer.status == 200

    run_scenario(scenario)
