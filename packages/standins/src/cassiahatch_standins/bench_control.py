"""The slopes of control: bytes, processor time and memory against members and more.

Run it with ``python -m cassiahatch_standins.bench_control``. Decision objects are
measured in this process, idle nodes as real processes.
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
CHANGED = 760
REPEATS = 50
EXCHANGES = 300
SETTLE_S = 20.0
IDLE_S = 10.0
UPSTREAMS = (2, 6)


@dataclass(slots=True, frozen=True)
class Row:
    """One measured figure."""

    what: str
    size: int
    value: float
    unit: str


def make_member(number: int, sequence: int = 1) -> Member:
    """Return a member of a large fleet."""
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
    """Return lists with many customers."""
    return PlanLists(
        {
            f"customer-{n}": Customer("p", hash_key(f"key-{n}"))
            for n in range(customers)
        },
        {"p": Plan(rate, 100.0)},
    )


def time_ms(work: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the processor milliseconds of one call."""
    started = time.process_time()
    for _repeat in range(repeats):
        work()
    return (time.process_time() - started) * 1000 / repeats


def measure_bytes(build: Callable[[], Any]) -> int:
    """Return the memory that what ``build`` returns takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept is not None
    return after - before


def build_roster(count: int) -> Roster:
    """Return a roster that knows ``count`` members since long."""
    roster = Roster()
    roster.merge((make_member(n) for n in range(count)), 0.0)
    return roster


def build_gossip(roster: Roster) -> Gossip:
    """Return the gossip of a node that has ``roster``."""
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


def measure_members(count: int) -> list[Row]:
    """Return what a number of members costs."""
    roster = build_roster(count)
    gossip = build_gossip(roster)
    request = gossip._make_request(True)
    state = msgspec.json.encode(
        FleetState(tuple(roster.list_members()), AcceptedLists(0, "", PlanLists()))
    )
    decode_ms = time_ms(lambda: msgspec.json.decode(state, type=FleetState), 5)
    return [
        Row("roster memory", count, measure_bytes(lambda: build_roster(count)), "B"),
        Row("gossip request", count, len(msgspec.json.encode(request)), "B"),
        Row("gossip reply, time", count, time_ms(lambda: gossip.reply(request)), "ms"),
        Row("whole state", count, len(state), "B"),
        Row("whole state decoded", count, decode_ms, "ms"),
        Row("merge of all", count, time_ms(lambda: build_roster(count), 3), "ms"),
    ]


def measure_zone() -> Row:
    """Return the size of the news when a zone changes."""
    changed = tuple(make_member(n, 2) for n in range(CHANGED))
    return Row("zone changed", CHANGED, len(msgspec.json.encode(changed)), "B")


def measure_lists(count: int) -> list[Row]:
    """Return what a number of customers costs."""
    old = AcceptedLists(1, "a", make_lists(count))
    new = AcceptedLists(2, "b", make_lists(count, 20.0))
    change = msgspec.json.encode(diff_lists(old, new))
    return [
        Row("lists memory", count, measure_bytes(lambda: adopt(count)), "B"),
        Row("whole lists", count, len(msgspec.json.encode(old)), "B"),
        Row("one change", count, len(change), "B"),
        Row("change made", count, time_ms(lambda: diff_lists(old, new), 5), "ms"),
        Row("lists adopted", count, time_ms(lambda: PlanIndex().adopt(new), 5), "ms"),
    ]


def adopt(customers: int) -> PlanIndex:
    """Return an index with lists in force."""
    index = PlanIndex()
    index.adopt(AcceptedLists(1, "a", make_lists(customers)))
    return index


def measure_keys() -> list[Row]:
    """Return what a key and a grant cost."""
    bucket = KeeperBucket(Plan(1e9, 1e9), 0.0)
    wallet = Wallet(4, 0.0)
    wallet.add(Grant(10**9, 1e9))
    return [
        Row("key record with 200 B", 1, measure_bytes(fill_ledger) / KEYS, "B"),
        Row("grant", 1, time_ms(lambda: bucket.grant(1, 1.0), KEYS), "ms"),
        Row("payment", 1, time_ms(lambda: wallet.pay_new_request(1.0), KEYS), "ms"),
    ]


async def measure_exchange() -> Row:
    """Return the processor time of one control exchange, both ends together."""
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
    for _repeat in range(EXCHANGES):
        await client.post(f"{HOST}:{port}", GOSSIP_PATH, request, GossipReply)
    spent = (time.process_time() - started) * 1000 / EXCHANGES
    client.close()
    server.stop()
    return Row("control exchange, both ends", 1, spent, "ms")


def fill_ledger() -> Ledger:
    """Return a ledger with many answered keys."""
    ledger = Ledger(600_000, 2_000, 1 << 30)
    for number in range(KEYS):
        ledger.begin("s/0", f"key-{number:032d}", 0, f"{number:032d}", 0)
        ledger.finish(f"key-{number:032d}", Answer(200, (), bytes(200)))
    return ledger


async def measure_idle(upstreams: int) -> list[Row]:
    """Return what a node with nothing to do uses, as a real process."""
    with tempfile.TemporaryDirectory() as folder:
        async with Site(make_hielo_sur(upstreams), Path(folder)) as site:
            await asyncio.sleep(SETTLE_S)
            pids = [place.node_process.pid for place in site.places]
            before = [read_usage(pid) for pid in pids]
            counted = [await site.read_status(place) for place in site.places]
            started = time.monotonic()
            await asyncio.sleep(IDLE_S)
            seconds = time.monotonic() - started
            after = [read_usage(pid) for pid in pids]
            counted_after = [await site.read_status(p) for p in site.places]
            usage = await site.http.fetch(f"{site.platform_url}/faults")
    count = len(pids)
    spent = sum(
        a.processor_s - b.processor_s for a, b in zip(after, before, strict=True)
    )
    sent = sum(
        sum_bytes(a.counters) - sum_bytes(b.counters)
        for a, b in zip(counted_after, counted, strict=True)
    )
    print("platform since start:", usage.body.decode())
    return [
        Row("idle node, share of a core", count, 100 * spent / seconds / count, "%"),
        Row("idle node, control bodies sent", count, sent / seconds / count, "B/s"),
        Row("node resident memory", count, max(a.resident_bytes for a in after), "B"),
    ]


def sum_bytes(counters: dict[str, int]) -> int:
    """Return the bytes of control bodies that a node sent."""
    names = ("control_bytes_sent", "control_bytes_replied")
    return sum(counters.get(name, 0) for name in names)


async def main(out: Path) -> None:
    """Measure all and print it."""
    rows = [row for count in MEMBERS for row in measure_members(count)]
    rows.append(measure_zone())
    rows += [row for count in CUSTOMERS for row in measure_lists(count)]
    rows += measure_keys()
    rows.append(await measure_exchange())
    for upstreams in UPSTREAMS:
        rows += await measure_idle(upstreams)
    table = Table(title="control slopes")
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
