"""Requests with keys are served only while the configuration is known to be recent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from math import inf

import msgspec
import pytest

from cassiahatch_node.mesh.confirmations import Confirmations
from cassiahatch_node.mesh.frames import Hello
from cassiahatch_node.mesh.freshness import MAX_DRIFT, RESOLUTION_S, StoreClock
from cassiahatch_node.mesh.settings import RevocationSection
from cassiahatch_policies.configuration_lease import ConfigurationLease
from fleet_model import Access, Fleet, Node, NodeClock
from mesh_site import Site, make_headers, send
from test_mesh import run_scenario
from virtual_loop import VirtualLoop, run_in_virtual_time

MAX_DELAY_S = 5.0
DECISIONS = [
    # longest delay, age and uncertainty in seconds; whether requests are served
    (5.0, 0.0, 0.0, True),
    (5.0, 3.0, 0.2, True),
    (5.0, 4.49, 0.0, True),
    (5.0, 4.0, 0.49, True),
    (5.0, 4.0, 0.51, False),
    (5.0, 4.51, 0.0, False),
    (5.0, 0.0, inf, False),
    (5.0, inf, 0.0, False),
    (5.0, inf, inf, False),
    (2.0, 1.79, 0.0, True),
    (2.0, 1.81, 0.0, False),
]


@pytest.mark.parametrize(("max_delay_s", "age_s", "uncertainty_s", "serves"), DECISIONS)
def test_lease_ends_before_the_longest_delay_with_all_uncertainty(
    max_delay_s: float, age_s: float, uncertainty_s: float, serves: bool
) -> None:
    """Guards against an end after the delay, and against one far before it."""
    rejection = ConfigurationLease(max_delay_s).find_rejection(age_s, uncertainty_s)
    assert (rejection is None) is serves
    assert serves or rejection.retry_after_s > 0


def holds_lease(node: Node) -> bool:
    age = node.store_sync.measure_configuration_age()
    return ConfigurationLease(MAX_DELAY_S).find_rejection(*age) is None


def list_holders(fleet: Fleet) -> set[str]:
    """Return the nodes that serve keys; none may lack a version that is due by now."""
    now = fleet.loop.time()
    due = [v for v, at in fleet.store.configured_at.items() if now - at >= MAX_DELAY_S]
    holders = {node.id for node in fleet.nodes.values() if holds_lease(node)}
    for node_id in holders:
        assert fleet.nodes[node_id].store_sync.config_version >= max(due, default=0)
    return holders


async def watch(fleet: Fleet, length_s: float) -> list[tuple[float, set[str]]]:
    """Return the nodes that serve keys, with the seconds passed, every 25 ms."""
    started_at, samples = fleet.loop.time(), []
    while (passed_s := fleet.loop.time() - started_at) < length_s:
        samples.append((passed_s, list_holders(fleet)))
        await asyncio.sleep(0.025)
    return samples


def refuse(fleet: Fleet, node_ids: list[str], access: Access) -> None:
    for node_id in node_ids:
        fleet.store.access[node_id] = access


def make_fleet(loop: VirtualLoop) -> Fleet:
    """Return a fleet with a lease, on machines whose clocks have nothing in common."""
    fleet = Fleet(loop, {"z1": 4, "z2": 3, "z3": 3})
    fleet.is_strict = True
    for number, node_id in enumerate(fleet.hosts):
        clock = fleet.clocks[node_id]
        clock.ahead_s = 1e4 * number
        clock.rate = 1 + (number % 3 - 1) * 0.0004
    return fleet


@pytest.mark.parametrize("access", [Access.BUSY, Access.SILENT])
def test_keys_end_late_without_the_store_and_return_with_it(access: Access) -> None:
    """Guards against an early or a late end, and against a slow return."""

    async def scenario(loop: VirtualLoop) -> None:
        async with make_fleet(loop) as fleet:
            everybody = set(fleet.nodes)
            for version in (2, 3):
                refuse(fleet, list(everybody), access)
                fleet.store.configure(version)
                samples = await watch(fleet, 8.0)
                assert all(holders == everybody for at, holders in samples if at < 3.0)
                assert not any(holders for at, holders in samples if at >= 4.6)
                refuse(fleet, list(everybody), Access.SERVED)
                samples = await watch(fleet, 4.0)
                first_at = next(at for at, holders in samples if holders)
                assert first_at < (1.0 if access is Access.BUSY else 2.7)
                whole_at = next(at for at, holders in samples if holders == everybody)
                assert whole_at - first_at < 1.0

    run_in_virtual_time(scenario)


def cut_off_zone(fleet: Fleet) -> None:
    refuse(fleet, fleet.zones["z1"], Access.SILENT)


def cut_off_all_but_one(fleet: Fleet) -> None:
    refuse(fleet, [i for i in fleet.nodes if i != "z3-3"], Access.SILENT)


def step_wall_clocks(fleet: Fleet) -> None:
    for number, clock in enumerate(fleet.clocks.values()):
        clock.wall_ahead_s = 3600.0 * (-1) ** number


def delay_answers(fleet: Fleet) -> None:
    fleet.store.answer_delay_s = 0.6


def delay_links(fleet: Fleet) -> None:
    cut_off_zone(fleet)
    for host in fleet.hosts.values():
        fleet.loop.added_delays_s[host] = 0.3


@pytest.mark.parametrize(
    "disturb",
    [cut_off_zone, cut_off_all_but_one, step_wall_clocks, delay_answers, delay_links],
)
def test_keys_are_served_while_any_way_to_fresh_data_is_left(
    disturb: Callable[[Fleet], None],
) -> None:
    """Guards against an early end, and against old versions behind delayed messages."""

    async def scenario(loop: VirtualLoop) -> None:
        async with make_fleet(loop) as fleet:
            everybody = set(fleet.nodes)
            disturb(fleet)
            for version in (2, 3, 4, 5, 6):
                fleet.store.configure(version)
                for at, holders in await watch(fleet, 3.0):
                    assert holders == everybody, (version, at, everybody - holders)

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("delay_s", [1.5, 4.0, 12.0])
def test_messages_that_waited_renew_no_lease(delay_s: float) -> None:
    """Guards against ages that count from the arrival of a message."""

    async def scenario(loop: VirtualLoop) -> None:
        async with make_fleet(loop) as fleet:
            cut_off_zone(fleet)
            for host in fleet.hosts.values():
                fleet.loop.added_delays_s[host] = delay_s
            for version in (2, 3, 4, 5):
                fleet.store.configure(version)
                await watch(fleet, 6.0)

    run_in_virtual_time(scenario)


@pytest.mark.parametrize(("pause_s", "may_hold"), [(2.0, True), (6.0, False)])
def test_node_started_beside_peers_that_are_behind_gets_no_longer_lease(
    pause_s: float, may_hold: bool
) -> None:
    """Guards against peers that renew each other's leases in a circle."""

    async def scenario(loop: VirtualLoop) -> None:
        async with make_fleet(loop) as fleet:
            for node_id in [*fleet.zones["z2"], *fleet.zones["z3"], "z1-4"]:
                fleet.kill(node_id)
            cut_off_zone(fleet)
            fleet.store.configure(2)
            await watch(fleet, pause_s)
            fleet.start("z1-4", "z1")
            samples = await watch(fleet, 20.0)
            assert fleet.nodes["z1-4"].store_sync.config_version == 1
            assert any("z1-4" in holders for _, holders in samples) is may_hold

    run_in_virtual_time(scenario)


def test_lease_holds_for_long_on_clocks_of_different_rates() -> None:
    """Guards against bounds that are never renewed, at readers and at other nodes."""

    async def scenario(loop: VirtualLoop) -> None:
        async with make_fleet(loop) as fleet:
            for _ in range(900):
                await asyncio.sleep(1.0)
                assert list_holders(fleet) == set(fleet.nodes)
            for node in fleet.nodes.values():
                assert node.store_sync.measure_configuration_age().uncertainty_s < 0.5

    run_in_virtual_time(scenario)


CLOCK_STEPS = [
    # steps, each with seconds to wait, store time, seconds since the request was sent,
    # uncertainty of the peer or 0 for the store; then the age of store time 100 with
    # all uncertainty; whether each answer agreed with those before
    ([(0, 100, 0.1, 0)], 0.1, [True]),
    ([(0, 100, 3.0, 0)], 3.0, [True]),
    ([(0, 100, 3.0, 0), (1, 101, 0.2, 0)], 1.2, [True, True]),
    ([(0, 100, 0.2, 0), (1, 101, 3.0, 0)], 1.2, [True, True]),
    ([(0, 100, 0.2, 0.4)], 0.6, [True]),
    ([(0, 200, 0.2, 0), (1, 100, 0.1, 0)], 0.1, [True, False]),
    ([(0, 100, 0.2, 0), (1, 150, 0.1, 0)], 50.1, [True, False]),
    ([(0, 100, 0.2, 0), (1, 150, 0.1, 0.3)], 1.2, [True, False]),
]


@pytest.mark.parametrize(("steps", "age_s", "agreed"), CLOCK_STEPS)
def test_age_is_at_least_that_since_the_request_that_dated_it(
    steps: list[tuple[float, ...]], age_s: float, agreed: list[bool]
) -> None:
    """Guards against ages below the true one, also after the store's clock was set."""
    loop = VirtualLoop()
    node_clock = NodeClock(loop)
    clock, found = StoreClock(node_clock), []
    for pause_s, store_time, since_sent_s, uncertainty_s in steps:
        node_clock.ahead_s += pause_s
        sent_at = node_clock.monotonic() - since_sent_s
        found.append(clock.observe_answer(store_time, sent_at, uncertainty_s))
    loop.close()
    assert found == agreed
    total_s = clock.measure_age(100.0) + clock.uncertainty_s
    assert total_s >= age_s
    assert total_s == pytest.approx(age_s, abs=0.2 + RESOLUTION_S + MAX_DRIFT)
    node_clock.ahead_s += 1000.0
    total_s = clock.measure_age(100.0) + clock.uncertainty_s
    assert total_s >= 1000.0 * (1 + MAX_DRIFT) + age_s


COVERED = [
    # statements that a version was the newest, each with the seconds since; version that
    # comes into force after version 1; age of the configuration before and after that
    ([(1, 3.0)], 2, 3.0, 3.0),
    ([(1, 3.0), (2, 1.0)], 2, 3.0, 1.0),
    ([(1, 3.0), (2, 1.0)], 3, 3.0, 1.0),
    ([(1, 3.0), (3, 1.0)], 2, 3.0, 3.0),
    ([(2, 1.0), (2, 2.0)], 2, inf, 1.0),
    ([(2, 1.0), (1, 3.0)], 1, 3.0, 3.0),
    ([(1, 3.0), (1, -9.0)], 1, 3.0, 3.0),
]


@pytest.mark.parametrize(("statements", "version", "before_s", "after_s"), COVERED)
def test_age_counts_from_when_the_version_in_force_had_all_changes(
    statements: list[tuple[int, float]], version: int, before_s: float, after_s: float
) -> None:
    """Guards against ages of versions that are known and not in force, and of peers."""
    loop = VirtualLoop()
    confirmations, now = Confirmations(loop), loop.time()
    for number, since_s in statements:
        # The peer's estimate of the store's clock is 0.3 s behind, by up to 0.5 s.
        hello = Hello(0, "n1", number, 0, now - since_s, 0.0, now - 0.3, 0.5, 1.0, now)
        confirmations.confirm_by_peer(hello, 1)
    before = confirmations.measure_configuration_age()
    confirmations.apply_configuration(version)
    after = confirmations.measure_configuration_age()
    loop.close()
    for age, true_s in ((before, before_s), (after, after_s)):
        assert age.age_s == pytest.approx(max(0.0, true_s - 0.3))
        assert sum(age) == pytest.approx(true_s + 0.2 + RESOLUTION_S)


ROUTES = {
    "read": {"prefix": "/read/", "service": "books"},
    "deep": {"prefix": "/deep/", "service": "books", "public": True},
}
TEAMS = {"acme": {"api_keys": ["k1"]}}


async def get(site: Site, target: str, number: int = 0) -> tuple[int, bytes]:
    headers = make_headers("r1", 9000) | {"Api-Key": "k1"}
    answer = await send(site.hosts[number].client_address, "GET", target, headers)
    assert answer.status != 503 or float(answer.headers["retry-after"]) > 0
    return answer.status, answer.body


def test_node_without_news_rejects_keys_and_serves_public_routes() -> None:
    """Guards against a lease that is not asked, or is asked for the wrong requests."""

    async def scenario(site: Site) -> None:
        site.revocation = RevocationSection(max_delay_s=3.0)
        site.configure(ROUTES, TEAMS)
        await site.add_host("books")
        await site.wait_for_convergence()
        site.hosts[0].backend.downstream_targets = {"/deep/": ["/read/2"]}
        expired = 503, b'{"error":"configuration_expired"}'
        assert (await get(site, "/read/1"))[0] == 200
        site.store.is_down = True
        await asyncio.sleep(0.8 + 3.0)  # A held poll is still answered.
        assert await get(site, "/read/1") == expired
        assert (await get(site, "/deep/1"))[0] == 200
        metrics = site.hosts[0].sidecar.metrics.render()
        assert 'requests_total{code="configuration_expired"} 1' in metrics
        assert "cassiahatch_configuration_age_s " in metrics
        settings = site.hosts[0].settings
        for revocation, status in ((None, 200), (site.revocation, 503)):
            changed = msgspec.structs.replace(settings, revocation=revocation)
            site.hosts[0].sidecar.reload(changed)
            assert (await get(site, "/read/1"))[0] == status
        site.store.is_down = False
        await asyncio.sleep(1.0)
        assert (await get(site, "/read/1"))[0] == 200
        site.store.is_down = True
        await site.hosts[0].stop()
        await site.hosts[0].start(site._journal_fd)
        assert (await get(site, "/read/1"))[0] == 503

    run_scenario(scenario)


def test_node_that_was_suspended_rejects_the_requests_that_waited() -> None:
    """Guards against an age without the suspension."""

    async def scenario(site: Site) -> None:
        site.revocation = RevocationSection(max_delay_s=2.5)
        site.configure(ROUTES, TEAMS)
        await site.add_host("books")
        await site.wait_for_convergence()
        waiting = asyncio.create_task(get(site, "/read/1"))
        await asyncio.sleep(0)
        time.sleep(2.6)  # Suspends the node, and here also the store.
        assert await waiting == (503, b'{"error":"configuration_expired"}')

    run_scenario(scenario)
