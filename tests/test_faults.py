from __future__ import annotations

import asyncio
import random
import signal
import time

import pytest
from tornado.httpclient import HTTPRequest
from tornado.websocket import websocket_connect

from cassiahatch_kernel.keys import mint_key
from cassiahatch_standins.deployments import make_hielo_sur
from cassiahatch_standins.load import LoadGenerator, Stream
from cassiahatch_standins.site import Site
from conftest import RunningSite

READ = Stream("read", "tower", "GET", "/documents/holdover", 40, ("documents",), 1)
ORDER = Stream(
    "order",
    "tower",
    "POST",
    "/spray-dispatch/orders",
    20,
    ("spray-dispatch", "fleet-tracking"),
    1,
)


@pytest.fixture(scope="module")
def faulty(tmp_path_factory):
    """Site into which the tests inject faults."""
    with RunningSite(make_hielo_sur(2), tmp_path_factory.mktemp("faulty")) as running:
        yield running


def send_order(site: Site, vm, key: str, first_attempt: str = "0"):
    headers = {"Idempotency-Key": key, "Cassiahatch-First-Attempt": first_attempt}
    return site.request(
        vm, "POST", "/spray-dispatch/orders?nonce=n", "tower", headers, b"spray"
    )


async def run_load(site: Site, streams: list[Stream], seconds: float, vms=None):
    generator = LoadGenerator(site, vms or site.vms, 3)
    await generator.run(streams, seconds)
    await generator.finish()
    return generator.requests


def list_failures(requests) -> list[list[str]]:
    return [r.outcomes for r in requests if not r.is_complete]


@pytest.mark.parametrize(
    "headers",
    [
        {"Cassiahatch-Token": "guess"},
        {"Cassiahatch-Customer": "tower", "Cassiahatch-Retries": "99"},
        {"Cassiahatch-Importance": "critical", "Cassiahatch-Peer-Key": "guess"},
    ],
)
def test_forged_headers_do_not_authenticate_a_customer(faulty, headers):
    site = faulty.site
    response = faulty.run(
        site.request(site.vms[0], "GET", "/documents/holdover", "nobody", headers)
    )
    assert response.code == 401


def test_wrong_token_is_rejected(faulty):
    site = faulty.site
    request = HTTPRequest(
        f"http://127.0.0.1:{site.vms[0].local_port}/call/documents/holdover",
        headers={"Cassiahatch-Token": "guess"},
    )
    response = faulty.run(site.http.fetch(request, raise_error=False))
    assert response.code == 403


@pytest.mark.parametrize(
    ("key", "body", "is_accepted"),
    [
        ("wrong-key-of-sixteen", b"", False),
        ("", b"\xc1 not a message", True),
        ("", b"", True),
        ("", bytes(100), True),
    ],
)
def test_invalid_peer_message_closes_only_its_connection(
    faulty, key, body, is_accepted
):
    site = faulty.site
    vm = site.vms[0]

    async def send_invalid_message() -> bool:
        request = HTTPRequest(
            f"ws://{vm.peer_address}/peer",
            headers={"Cassiahatch-Peer-Key": key or "a-key-for-loopback-only"},
        )
        try:
            connection = await websocket_connect(request)
        except Exception:
            return False
        await connection.write_message(body, binary=True)
        return await connection.read_message() is None

    assert faulty.run(send_invalid_message()) is is_accepted
    assert list_failures(faulty.run(run_load(site, [READ], 0.3, [vm]))) == []


@pytest.mark.parametrize("fault", ["outage", "garbage", "lose_answers"])
def test_calls_and_orders_succeed_during_platform_faults(faulty, fault):
    site = faulty.site
    faulty.run(site.set_platform_faults(**{fault: True}))
    requests = faulty.run(run_load(site, [READ, ORDER], 1.5))
    faulty.run(site.set_platform_faults())
    assert list_failures(requests) == []
    assert max(site.count_runs().values()) == 1


def test_node_started_during_platform_outage_gets_lists_from_peers(faulty):
    site = faulty.site
    vm = site.find_vms("documents")[1]
    faulty.run(site.set_platform_faults(outage=True))
    vm.node_process.kill()
    vm.node_process.wait()
    site.start_node(vm)

    async def has_lists() -> bool:
        return (await site.read_status(vm)).lists_version > 0

    faulty.run(site.wait_for(has_lists, "lists from peers"))
    faulty.run(site.set_platform_faults())
    faulty.run(site.wait_ready())


def test_a_rolling_stop_under_load_cuts_nothing(faulty):
    site = faulty.site

    async def replace_all():
        generator = LoadGenerator(site, site.find_vms("queue-status"), 9)
        load = asyncio.create_task(generator.run([READ, ORDER], 16))
        for service in ("documents", "spray-dispatch"):
            for vm in site.find_vms(service):
                await stop(vm.backend_process)
                await stop(vm.node_process)
                site.start_node(vm)
                site.start_backend(vm)
                await site.wait_ready()
        await load
        await generator.finish()
        return generator.requests

    requests = faulty.run(replace_all())
    assert list_failures(requests) == []
    assert max(site.count_runs().values()) == 1


async def stop(process) -> None:
    process.send_signal(signal.SIGTERM)
    while process.poll() is None:
        await asyncio.sleep(0.02)
    assert process.returncode == 0


def test_all_calls_complete_while_a_node_is_frozen(faulty):
    site = faulty.site
    vm = site.find_vms("documents")[0]
    entry_vms = site.find_vms("queue-status")

    async def freeze_under_load():
        load = asyncio.create_task(run_load(site, [READ], 5.0, entry_vms))
        await asyncio.sleep(1.0)
        vm.node_process.send_signal(signal.SIGSTOP)
        requests = await load
        vm.node_process.send_signal(signal.SIGCONT)
        return requests

    requests = faulty.run(freeze_under_load())
    assert list_failures(requests) == []


def test_paused_owner_does_not_run_orders_again(faulty):
    site = faulty.site
    owners = site.find_vms("spray-dispatch")
    entry_vm = site.find_vms("queue-status")[0]

    async def pause_owner():
        random_source = random.Random(4)
        keys = [mint_key(time.time(), random_source) for _ in range(12)]
        owners[0].node_process.send_signal(signal.SIGSTOP)
        first_attempts = [send_order(site, entry_vm, key, "1") for key in keys]
        await asyncio.gather(*first_attempts)
        owners[0].node_process.send_signal(signal.SIGCONT)
        return await asyncio.gather(*(send_order(site, owners[1], key) for key in keys))

    answers = faulty.run(pause_owner())
    assert {answer.code for answer in answers} <= {200, 502, 503, 504}
    assert max(site.count_runs().values()) == 1


def test_request_that_crashes_two_backend_servers_is_quarantined(faulty):
    site = faulty.site
    vms = site.find_vms("documents")
    entry_vm = site.find_vms("queue-status")[0]

    async def crash_until_quarantined() -> list[int]:
        codes = []
        for _attempt in range(6):
            response = await site.request(
                entry_vm, "GET", "/documents/holdover?crash=1", "tower"
            )
            codes.append(response.code)
            for vm in vms:
                if vm.backend_process.poll() is not None:
                    site.start_backend(vm)
            await site.wait_ready()
        return codes

    codes = faulty.run(crash_until_quarantined())
    assert codes[-1] == 422
    statuses = [faulty.run(site.read_status(vm)) for vm in vms]
    assert all(len(status.quarantined) == 1 for status in statuses)
    assert sum(s.counters.get("backend_crashes", 0) for s in statuses) == 2
    assert list_failures(faulty.run(run_load(site, [READ], 1.0))) == []
