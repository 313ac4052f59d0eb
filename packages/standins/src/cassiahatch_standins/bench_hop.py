"""Benchmark of the cost of a hop: direct calls, and calls through one or two nodes.

The paths alternate under open-loop Poisson load. Run it with
``python -m cassiahatch_standins.bench_hop``.
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
"""Calls per second."""
SIZES = (200, 20_000)
"""Padding of each answer in bytes."""
ROUNDS = 2
US_PER_S = 1_000_000
MAX_LATENCY_US = 10 * US_PER_S
"""Longer latencies are recorded as this one."""
QUANTILES = (50.0, 99.0, 99.9)
PATHS = ("direct", "one node", "two nodes")


@dataclass(slots=True)
class PathResult:
    """Latencies and CPU time of the nodes for one path under one load."""

    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    calls: int = 0
    failures: int = 0
    node_cpu_s: float = 0.0


def make_spec() -> SiteSpec:
    """Return a site of two VMs.

    The backend server of ``echo`` serves all calls; the node of ``edge`` is the first
    hop of the path with two nodes.
    """
    echo = ServiceSpec("echo", 600, (RouteConfig("GET", "/x", 0.0),), vm_count=1)
    edge = ServiceSpec("edge", 1, (RouteConfig("GET", "/y", 0.0),), vm_count=1)
    lists = PlanLists(
        {"bench": make_customer("bench", "all")}, {"all": Plan(10_000, 40_000)}
    )
    return SiteSpec((echo, edge), lists)


def make_url(site: Site, path: str, size: int) -> str:
    """Return the URL to which calls of a path are sent."""
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
    site: Site, url: str, rate: float, seconds: float, result: PathResult, seed: int
) -> None:
    """Send calls at random times, and record their latencies."""
    random_source = random.Random(seed)
    client = make_client(500)
    nodes = [vm.node_process.pid for vm in site.vms]
    before = sum(read_usage(pid).cpu_s for pid in nodes)
    tasks: set[asyncio.Task[None]] = set()
    due = time.monotonic()
    end = due + seconds
    while due < end:
        due += random_source.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        task = asyncio.create_task(send(client, url, due, result))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    after = sum(read_usage(pid).cpu_s for pid in nodes)
    result.node_cpu_s += after - before
    client.close()


async def send(client: object, url: str, due: float, result: PathResult) -> None:
    """Send one call, and record its latency since the time at which it was due."""
    request = HTTPRequest(url, headers={"Authorization": "Bearer key-bench"})
    response = await fetch_response(client, request)
    result.calls += 1
    result.failures += response.code != 200
    latency_us = int((time.monotonic() - due) * US_PER_S)
    result.latencies.record_value(min(MAX_LATENCY_US, max(1, latency_us)))


async def main(seconds: float, out: Path) -> None:
    """Run all loads, and print and write the results."""
    table = Table(title="cost of a hop (ms; ms/call is the CPU time of all nodes)")
    for column in (
        "calls/s",
        "bytes",
        "path",
        "p50",
        "p99",
        "p99.9",
        "ms/call",
        "failed",
    ):
        table.add_column(column)
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        async with Site(make_spec(), Path(folder)) as site:
            for rate in RATES:
                for size in SIZES:
                    results = {path: PathResult() for path in PATHS}
                    for seed in range(ROUNDS):
                        for path in PATHS:
                            url = make_url(site, path, size)
                            await run_load(
                                site, url, rate, seconds, results[path], seed
                            )
                    for path, result in results.items():
                        row = format_cells(rate, size, path, result)
                        rows.append(row)
                        table.add_row(*row)
    Console(width=100).print(table)
    out.mkdir(parents=True, exist_ok=True)
    (out / "bench-hop.json").write_bytes(msgspec.json.encode(rows))


def format_cells(rate: int, size: int, path: str, result: PathResult) -> list[str]:
    """Return the cells of one row of the table."""
    quantiles = [
        f"{result.latencies.get_value_at_percentile(q) / 1000:.2f}" for q in QUANTILES
    ]
    cpu_ms_per_call = result.node_cpu_s * 1000 / max(1, result.calls)
    return [
        str(rate),
        str(size),
        path,
        *quantiles,
        f"{cpu_ms_per_call:.2f}",
        str(result.failures),
    ]


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--out", type=Path, default=Path("out"))
    arguments = parser.parse_args()
    asyncio.run(main(arguments.seconds, arguments.out))
