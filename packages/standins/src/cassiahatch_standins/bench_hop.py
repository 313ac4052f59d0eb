"""The cost of a hop: a direct call, one node and two nodes, interleaved.

Run it with ``python -m cassiahatch_standins.bench_hop``. Open-loop Poisson load.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table
from tornado.httpclient import HTTPRequest

from cassiahatch_kernel.plans import Plan, PlanLists
from cassiahatch_node.http_client import fetch_response, make_client
from cassiahatch_standins.backend import RouteConfig
from cassiahatch_standins.processes import read_usage
from cassiahatch_standins.site import (
    HOST,
    ServiceSpec,
    Site,
    SiteSpec,
    make_customer,
)

RATES = (50, 300, 600)
SIZES = (200, 20_000)
ROUNDS = 2
US_PER_S = 1_000_000
HIGHEST_US = 10 * US_PER_S
QUANTILES = (50.0, 99.0, 99.9)
PATHS = ("direct", "one node", "two nodes")


@dataclass(slots=True)
class Measured:
    """Latencies and node processor time of one path at one load."""

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_US, 3)
    )
    calls: int = 0
    failures: int = 0
    node_s: float = 0.0


def make_spec() -> SiteSpec:
    """Return a site with one upstream, and one node elsewhere to enter by."""
    echo = ServiceSpec("echo", 600, (RouteConfig("GET", "/x", 0.0),), upstreams=1)
    edge = ServiceSpec("edge", 1, (RouteConfig("GET", "/y", 0.0),), upstreams=1)
    lists = PlanLists(
        {"bench": make_customer("bench", "all")}, {"all": Plan(10_000, 40_000)}
    )
    return SiteSpec((echo, edge), lists)


def make_url(site: Site, path: str, size: int) -> str:
    """Return where a path's calls are sent."""
    echo, edge = site.vms
    query = f"x?nonce=n&size={size}"
    match path:
        case "direct":
            return f"{echo.backend_url}/{query}"
        case "one node":
            return f"http://{HOST}:{echo.caller_port}/echo/{query}"
        case _:
            return f"http://{HOST}:{edge.caller_port}/echo/{query}"


async def run_load(
    site: Site, url: str, rate: float, seconds: float, measured: Measured, seed: int
) -> None:
    """Send calls at random times and record them."""
    source = random.Random(seed)
    client = make_client(500)
    nodes = [vm.node_process.pid for vm in site.vms]
    before = sum(read_usage(pid).processor_s for pid in nodes)
    tasks: set[asyncio.Task[None]] = set()
    due = time.monotonic()
    end = due + seconds
    while due < end:
        due += source.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        task = asyncio.create_task(send(client, url, due, measured))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    after = sum(read_usage(pid).processor_s for pid in nodes)
    measured.node_s += after - before
    client.close()


async def send(client: object, url: str, due: float, measured: Measured) -> None:
    """Send one call; its latency counts from when it was due."""
    request = HTTPRequest(url, headers={"Authorization": "Bearer key-bench"})
    response = await fetch_response(client, request)
    measured.calls += 1
    measured.failures += response.code != 200
    latency = int((time.monotonic() - due) * US_PER_S)
    measured.latencies.record_value(min(HIGHEST_US, max(1, latency)))


async def main(seconds: float, out: Path) -> None:
    """Run all loads and print them."""
    table = Table(title="cost of a hop (ms; node processor time of all nodes)")
    for column in ("calls/s", "bytes", "path", "p50", "p99", "p99.9", "ms/call", "bad"):
        table.add_column(column)
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        async with Site(make_spec(), Path(folder)) as site:
            for rate in RATES:
                for size in SIZES:
                    found = {path: Measured() for path in PATHS}
                    for number in range(ROUNDS):
                        for path in PATHS:
                            url = make_url(site, path, size)
                            await run_load(
                                site, url, rate, seconds, found[path], number
                            )
                    for path, measured in found.items():
                        row = list_cells(rate, size, path, measured)
                        rows.append(row)
                        table.add_row(*row)
    Console(width=100).print(table)
    out.mkdir(parents=True, exist_ok=True)
    (out / "bench-hop.json").write_bytes(msgspec.json.encode(rows))


def list_cells(rate: int, size: int, path: str, measured: Measured) -> list[str]:
    """Return a row of the table."""
    quantiles = [
        f"{measured.latencies.get_value_at_percentile(q) / 1000:.2f}" for q in QUANTILES
    ]
    per_call = measured.node_s * 1000 / max(1, measured.calls)
    return [
        str(rate),
        str(size),
        path,
        *quantiles,
        f"{per_call:.2f}",
        str(measured.failures),
    ]


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--out", type=Path, default=Path("out"))
    arguments = parser.parse_args()
    asyncio.run(main(arguments.seconds, arguments.out))
