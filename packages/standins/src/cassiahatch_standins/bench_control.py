"""Benchmark of the control plane: bytes, CPU time and memory.

They are measured for several numbers of members and customers. Policies are measured
in this process, idle nodes as processes of their own. Run it with
``python -m cassiahatch_standins.bench_control``.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table
from tornado.httpserver import HTTPServer
from tornado.web import Application

from cassiahatch_kernel.clock import SystemClock
from cassiahatch_kernel.members import Claim, Member, MemberState, Route
from cassiahatch_kernel.outcomes import Answer
from cassiahatch_kernel.plan_changes import diff_lists
from cassiahatch_kernel.plans import (
    AcceptedLists,
    Customer,
    Plan,
    PlanIndex,
    PlanLists,
    hash_key,
)
from cassiahatch_node.control.client import ControlClient
from cassiahatch_node.control.gossip import GOSSIP_PATH, Gossip
from cassiahatch_node.control.messages import FleetState, GossipReply
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.frontends.control import ControlService, GossipHandler
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.settings import NodeSettings, PeerSettings
from cassiahatch_policies.membership import Roster
from cassiahatch_policies.once import Ledger
from cassiahatch_policies.quarantine import Quarantine
from cassiahatch_policies.quota import Grant, KeeperBucket, Wallet
from cassiahatch_standins.deployments import make_hielo_sur
from cassiahatch_standins.processes import read_usage
from cassiahatch_standins.site import HOST, Site, list_free_ports

MEMBERS = (100, 1_000, 6_100)
CUSTOMERS = (100, 1_000, 10_000)
KEYS = 10_000
SERVICES = 220
ZONE_MEMBERS = 760
"""Number of members in one availability zone."""
REPETITIONS = 50
EXCHANGES = 300
WARM_UP_S = 20.0
"""Time for which nodes run before the measurement of their idle load starts."""
IDLE_S = 10.0
VMS_PER_SERVICE = (2, 6)
"""Numbers of VMs per service with which idle nodes are measured."""


@dataclass(slots=True, frozen=True)
class Measurement:
    """A measured value, and the size of the state for which it was measured."""

    what: str
    """Name of the measured quantity."""
    size: int
    value: float
    unit: str


def make_member(number: int, sequence: int = 1) -> Member:
    """Return member ``number`` of a large fleet."""
    route = Route("GET", "/queues")
    claims = (Claim(f"service-{number % SERVICES}/{number % 16}", 1),)
    return Member(
        f"service-{number % SERVICES}-{number // SERVICES}",
        f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        7300,
        f"zone-{number % 8}",
        1_796_380_000_000,
        sequence,
        MemberState.READY,
        f"service-{number % SERVICES}",
        160,
        (route, Route("POST", "/orders", idempotent=False)),
        claims,
    )


def make_lists(customers: int, rate: float = 10.0) -> PlanLists:
    """Return plan lists with many customers."""
    return PlanLists(
        {
            f"customer-{n}": Customer("p", hash_key(f"key-{n}"))
            for n in range(customers)
        },
        {"p": Plan(rate, 100.0)},
    )


def measure_ms(function: Callable[[], Any], repetitions: int = REPETITIONS) -> float:
    """Return the mean CPU time of one call of ``function``, in milliseconds."""
    started = time.process_time()
    for _repetition in range(repetitions):
        function()
    return (time.process_time() - started) * 1000 / repetitions


def measure_memory(build: Callable[[], Any]) -> int:
    """Return the memory, in bytes, of the object that ``build`` returns."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert built is not None
    return after - before


def build_roster(count: int) -> Roster:
    """Return a roster of ``count`` members, none of them recently updated."""
    roster = Roster()
    roster.merge((make_member(n) for n in range(count)), 0.0)
    return roster


def build_gossip(roster: Roster) -> Gossip:
    """Return the gossip of a node with this roster."""
    node = NodeSettings(
        id="bench",
        zone="z",
        host="127.0.0.1",
        caller_port=1,
        local_port=2,
        peer_port=3,
    )
    fleet = Fleet(node, SystemClock(), roster)
    peers = PeerSettings(key="x" * 16)
    return Gossip(peers, fleet, Quarantine(), None, SystemClock(), random.Random(1))


def measure_members(count: int) -> list[Measurement]:
    """Measure the cost of a number of members."""
    roster = build_roster(count)
    gossip = build_gossip(roster)
    request = gossip._make_request(True)
    state = msgspec.json.encode(
        FleetState(tuple(roster.list_members()), AcceptedLists(0, "", PlanLists()))
    )
    decode_ms = measure_ms(lambda: msgspec.json.decode(state, type=FleetState), 5)
    return [
        Measurement(
            "roster memory", count, measure_memory(lambda: build_roster(count)), "B"
        ),
        Measurement("gossip request", count, len(msgspec.json.encode(request)), "B"),
        Measurement(
            "gossip reply, time",
            count,
            measure_ms(lambda: gossip.reply(request)),
            "ms",
        ),
        Measurement("whole state", count, len(state), "B"),
        Measurement("whole state decoded", count, decode_ms, "ms"),
        Measurement(
            "merge of all",
            count,
            measure_ms(lambda: build_roster(count), 3),
            "ms",
        ),
    ]


def measure_zone() -> Measurement:
    """Measure the size of the updates when an availability zone changes."""
    changed = tuple(make_member(n, 2) for n in range(ZONE_MEMBERS))
    return Measurement(
        "zone changed", ZONE_MEMBERS, len(msgspec.json.encode(changed)), "B"
    )


def measure_lists(count: int) -> list[Measurement]:
    """Measure the cost of a number of customers."""
    old = AcceptedLists(1, "a", make_lists(count))
    new = AcceptedLists(2, "b", make_lists(count, 20.0))
    change = msgspec.json.encode(diff_lists(old, new))
    return [
        Measurement(
            "lists memory",
            count,
            measure_memory(lambda: build_plan_index(count)),
            "B",
        ),
        Measurement("whole lists", count, len(msgspec.json.encode(old)), "B"),
        Measurement("one change", count, len(change), "B"),
        Measurement(
            "change made", count, measure_ms(lambda: diff_lists(old, new), 5), "ms"
        ),
        Measurement(
            "lists adopted",
            count,
            measure_ms(lambda: PlanIndex().adopt(new), 5),
            "ms",
        ),
    ]


def build_plan_index(customers: int) -> PlanIndex:
    """Return an index of plan lists with this number of customers."""
    index = PlanIndex()
    index.adopt(AcceptedLists(1, "a", make_lists(customers)))
    return index


def measure_keys() -> list[Measurement]:
    """Measure the costs of an idempotency key, a quota grant and a quota check."""
    bucket = KeeperBucket(Plan(1e9, 1e9), 0.0)
    wallet = Wallet(4, 0.0)
    wallet.add(Grant(10**9, 1e9))
    return [
        Measurement(
            "key record with 200 B", 1, measure_memory(build_ledger) / KEYS, "B"
        ),
        Measurement("grant", 1, measure_ms(lambda: bucket.grant(1, 1.0), KEYS), "ms"),
        Measurement(
            "payment", 1, measure_ms(lambda: wallet.pay_new_request(1.0), KEYS), "ms"
        ),
    ]


async def measure_exchange() -> Measurement:
    """Measure the CPU time of one gossip exchange, client and server together."""
    gossip = build_gossip(build_roster(100))
    service = ControlService("x" * 16, *[None] * 6, None)
    service.gossip = gossip
    service.metrics = Metrics()
    handlers = [(GOSSIP_PATH, GossipHandler, {"service": service})]
    server = HTTPServer(Application(handlers, log_function=lambda handler: None))
    [port] = list_free_ports(1, 77)
    server.listen(port, HOST)
    client = ControlClient("x" * 16, Metrics())
    request = gossip._make_request(False)
    started = time.process_time()
    for _repetition in range(EXCHANGES):
        await client.post(f"{HOST}:{port}", GOSSIP_PATH, request, GossipReply)
    cpu_ms = (time.process_time() - started) * 1000 / EXCHANGES
    client.close()
    server.stop()
    return Measurement("control exchange, both ends", 1, cpu_ms, "ms")


def build_ledger() -> Ledger:
    """Return a ledger with the answers of many idempotency keys."""
    ledger = Ledger(600_000, 2_000, 1 << 30)
    for number in range(KEYS):
        ledger.begin("s/0", f"key-{number:032d}", 0, f"{number:032d}", 0)
        ledger.finish(f"key-{number:032d}", Answer(200, (), bytes(200)))
    return ledger


async def measure_idle(vms_per_service: int) -> list[Measurement]:
    """Measure the resource usage of idle nodes, each run as a process."""
    with tempfile.TemporaryDirectory() as folder:
        async with Site(make_hielo_sur(vms_per_service), Path(folder)) as site:
            await asyncio.sleep(WARM_UP_S)
            pids = [vm.node_process.pid for vm in site.vms]
            before = [read_usage(pid) for pid in pids]
            statuses = [await site.read_status(vm) for vm in site.vms]
            started = time.monotonic()
            await asyncio.sleep(IDLE_S)
            seconds = time.monotonic() - started
            after = [read_usage(pid) for pid in pids]
            statuses_after = [await site.read_status(vm) for vm in site.vms]
            usage = await site.http.fetch(f"{site.platform_url}/faults")
    count = len(pids)
    cpu_s = sum(a.cpu_s - b.cpu_s for a, b in zip(after, before, strict=True))
    sent_bytes = sum(
        sum_sent_bytes(a.counters) - sum_sent_bytes(b.counters)
        for a, b in zip(statuses_after, statuses, strict=True)
    )
    print("platform load since its start:", usage.body.decode())
    return [
        Measurement(
            "idle node, share of a core", count, 100 * cpu_s / seconds / count, "%"
        ),
        Measurement(
            "idle node, control bodies sent", count, sent_bytes / seconds / count, "B/s"
        ),
        Measurement(
            "node resident memory", count, max(a.resident_bytes for a in after), "B"
        ),
    ]


def sum_sent_bytes(counters: dict[str, int]) -> int:
    """Return the bytes of control messages that a node has sent, without headers."""
    names = ("control_bytes_sent", "control_bytes_replied")
    return sum(counters.get(name, 0) for name in names)


async def main(out: Path) -> None:
    """Run all measurements, and print and write the results."""
    rows = [row for count in MEMBERS for row in measure_members(count)]
    rows.append(measure_zone())
    rows += [row for count in CUSTOMERS for row in measure_lists(count)]
    rows += measure_keys()
    rows.append(await measure_exchange())
    for vms_per_service in VMS_PER_SERVICE:
        rows += await measure_idle(vms_per_service)
    table = Table(title="cost of the control plane")
    for column in ("what", "size", "value", "unit"):
        table.add_column(column)
    for row in rows:
        table.add_row(row.what, str(row.size), f"{row.value:,.4g}", row.unit)
    Console(width=100).print(table)
    out.mkdir(parents=True, exist_ok=True)
    (out / "bench-control.json").write_bytes(msgspec.json.encode(rows))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=Path("out"))
    asyncio.run(main(parser.parse_args().out))
