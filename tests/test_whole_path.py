from __future__ import annotations

import random
import time

import msgspec
import pytest

from cassiahatch_kernel.keys import mint_key

FLEET = {"service": "fleet-tracking", "nonce": "n", "pad": "", "parts": []}
DOCUMENTS = {"service": "documents", "nonce": "n", "pad": "", "parts": []}
DISPATCH = {"service": "spray-dispatch", "nonce": "n", "pad": "", "parts": [FLEET]}
OVERVIEW = {
    "service": "queue-status",
    "nonce": "n",
    "pad": "",
    "parts": [DISPATCH, DOCUMENTS],
}


@pytest.mark.parametrize("vm_number", [0, 2, 4, 6])
@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/documents/holdover?nonce=n", DOCUMENTS),
        ("GET", "/spray-dispatch/plans?nonce=n", DISPATCH),
        ("GET", "/queue-status/overview?nonce=n", OVERVIEW),
    ],
)
def test_any_node_returns_the_complete_answer(
    hielo_sur, vm_number, method, path, expected
):
    site = hielo_sur.site
    vm = site.vms[vm_number]
    response = hielo_sur.run(site.request(vm, method, path, "tower"))
    assert response.code == 200
    assert response.headers["Cassiahatch-Outcome"] == "ran"
    assert msgspec.json.decode(response.body) == expected


def test_order_sent_through_every_node_runs_once(hielo_sur):
    site = hielo_sur.site
    key = mint_key(time.time(), random.Random(7))
    bodies = set()
    for vm in site.vms:
        response = hielo_sur.run(
            site.request(
                vm,
                "POST",
                "/spray-dispatch/orders?nonce=n",
                "tower",
                {"Idempotency-Key": key},
                b"spray",
            )
        )
        assert response.code == 200
        bodies.add(response.body)
    assert len(bodies) == 1
    assert site.count_runs()[key] == 1


@pytest.mark.parametrize(
    ("customer", "method", "path", "headers", "status", "code"),
    [
        ("nobody", "GET", "/documents/holdover", {}, 401, "unknown_customer"),
        ("tower", "GET", "/documents/nothing", {}, 404, "unknown_route"),
        ("tower", "GET", "/nowhere/x", {}, 404, "unknown_route"),
        ("tower", "GET", "/documents", {}, 400, "bad_request"),
        ("tower", "GET", "/documents/%2e%2e/x", {}, 400, "bad_request"),
        ("tower", "POST", "/spray-dispatch/orders", {}, 400, "bad_idempotency_key"),
        (
            "tower",
            "POST",
            "/spray-dispatch/orders",
            {"Idempotency-Key": "11111111-1111-4111-8111-111111111111"},
            400,
            "bad_idempotency_key",
        ),
        (
            "tower",
            "GET",
            "/documents/holdover",
            {"Cassiahatch-Timeout-Ms": "-1"},
            400,
            "bad_request",
        ),
    ],
)
def test_invalid_request_is_answered_as_not_run(
    hielo_sur, customer, method, path, headers, status, code
):
    site = hielo_sur.site
    response = hielo_sur.run(site.request(site.vms[0], method, path, customer, headers))
    assert response.code == status
    assert response.headers["Cassiahatch-Outcome"] == "not-run"
    assert msgspec.json.decode(response.body)["code"] == code
