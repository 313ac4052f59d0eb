"""Benchmark of goodput and recovery, with and without overload control.

Run it with ``python -m cassiahatch_standins.bench [--seeds N] [--out FOLDER]``. A deep
service, to which the other services' calls lead, becomes ten times slower, demand
triples, and callers retry aggressively; then the fault and the surge end. The load is
bounded, and the benchmark ends by itself.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from cassiahatch_standins.deployments import make_bridal_agency, make_hielo_sur
from cassiahatch_standins.load import LoadGenerator, Request, Stream
from cassiahatch_standins.site import Site, SiteSpec

BASELINE_S = 6.0
TRIGGER_S = 8.0
OBSERVATION_S = 8.0
SLOW_FACTOR = 10.0
SURGE_FACTOR = 3.0
WINDOW_S = 0.5
RECOVERED_SHARE = 0.95
"""Share of the baseline goodput from which a window counts as recovered."""
VMS_PER_SERVICE = 2
DEEP_TIME_MS = 40.0
"""Mean service time of the deep service before its fault."""
DEEP_SLOTS = 2

NO_CONTROL = {
    "plugins": {"admission": "open", "picker": "random", "retries": "unbounded"}
}
VARIANTS: dict[str, dict[str, Any]] = {"no control": NO_CONTROL, "now": {}}


class Deployment(msgspec.Struct, frozen=True):
    """A site, the service at the end of its call chains, and the load on the site."""

    name: str
    make: Callable[..., SiteSpec]
    deep_service: str
    streams: tuple[Stream, ...]


FLEET = "fleet-tracking"
HIELO_SUR = Deployment(
    "Hielo Sur",
    make_hielo_sur,
    FLEET,
    (
        Stream(
            "order",
            "tower",
            "POST",
            "/spray-dispatch/orders",
            1.5,
            ("spray-dispatch", FLEET),
            is_important=True,
        ),
        Stream(
            "overview",
            "tower",
            "GET",
            "/queue-status/overview",
            4,
            ("queue-status", "spray-dispatch", FLEET, "documents"),
        ),
        Stream(
            "queue read, airline",
            "carrasco-air",
            "GET",
            "/queue-status/queues",
            24,
            ("queue-status", FLEET),
        ),
        Stream(
            "queue read, handler",
            "handler-norte",
            "GET",
            "/queue-status/queues",
            24,
            ("queue-status", FLEET),
        ),
    ),
)
AGENCY = Deployment(
    "State Bridal Service Agency",
    make_bridal_agency,
    "measurements",
    (
        Stream(
            "reservation",
            "registry",
            "POST",
            "/booking/reservations",
            1.5,
            ("booking", "measurements"),
            is_important=True,
        ),
        Stream(
            "fitting slots",
            "seamstress",
            "GET",
            "/booking/slots",
            6,
            ("booking", "measurements"),
        ),
        Stream(
            "catalogue read",
            "bride",
            "GET",
            "/catalogue/dresses",
            45,
            ("catalogue", "measurements"),
        ),
    ),
)


class RunResult(msgspec.Struct):
    """Result of one run."""

    deployment: str
    variant: str
    seed: int
    important_share: float
    """Share of the important requests sent during the trigger that were completed."""
    deep_share: float
    """Rate of complete answers during the trigger, over the deep service's capacity."""
    before_share: float
    """Mean share of complete answers in the windows before the trigger."""
    recovery_s: float
    """Time from the end of the trigger until goodput stays restored."""
    attempts_per_request: float
    wrong: int
    """Requests that received a wrong answer with status 200."""
    repeated_runs: int
    """Idempotency keys that ran more than once."""
    calm_failures: dict[str, int]
    """Attempts, by outcome, of the requests before the trigger that failed."""
    windows: list[float]
    """Share of requests with a complete answer, by time window of their start."""


async def run_once(
    deployment: Deployment, variant: str, seed: int, folder: Path
) -> RunResult:
    """Run the scenario once, and return its result."""
    spec = limit_deep_capacity(deployment, VARIANTS[variant])
    async with Site(spec, folder) as site:
        deep = site.find_vms(deployment.deep_service)
        generator = LoadGenerator(site, site.vms, seed)
        streams = list(deployment.streams)
        surging = [replace(s, rate=s.rate * SURGE_FACTOR) for s in streams]
        await generator.run(streams, 1.0)
        await generator.finish()
        generator.requests.clear()
        started = time.monotonic()
        await generator.run(streams, BASELINE_S)
        for vm in deep:
            await site.set_backend_faults(vm, slow_factor=SLOW_FACTOR)
        await generator.run(surging, TRIGGER_S)
        for vm in deep:
            await site.set_backend_faults(vm, slow_factor=1.0)
        await generator.run(streams, OBSERVATION_S)
        await generator.finish()
        runs = site.count_runs()
    return measure(deployment, variant, seed, generator.requests, started, runs)


def limit_deep_capacity(deployment: Deployment, settings: dict[str, Any]) -> SiteSpec:
    """Return the site with so small a deep service that few processes saturate it."""
    spec = deployment.make(vms_per_service=VMS_PER_SERVICE, settings=settings)
    services = tuple(
        replace(
            service,
            slots=DEEP_SLOTS,
            routes=tuple(
                msgspec.structs.replace(route, time_ms=DEEP_TIME_MS)
                for route in service.routes
            ),
        )
        if service.name == deployment.deep_service
        else service
        for service in spec.services
    )
    return replace(spec, services=services)


def measure(
    deployment: Deployment,
    variant: str,
    seed: int,
    requests: list[Request],
    started: float,
    runs: dict[str, int],
) -> RunResult:
    """Return the result of a run, computed from its requests."""
    trigger = (started + BASELINE_S, started + BASELINE_S + TRIGGER_S)
    windows = compute_window_shares(requests, started)
    baseline = statistics.mean(windows[: int(BASELINE_S / WINDOW_S)])
    sent = [r for r in requests if trigger[0] <= r.started < trigger[1]]
    important = [r for r in sent if r.stream.is_important]
    completed = [
        r for r in requests if r.is_complete and trigger[0] <= r.ended < trigger[1]
    ]
    return RunResult(
        deployment=deployment.name,
        variant=variant,
        seed=seed,
        important_share=compute_complete_share(important),
        deep_share=len(completed) / TRIGGER_S / compute_deep_capacity(deployment),
        before_share=baseline,
        recovery_s=compute_recovery_s(windows, baseline),
        attempts_per_request=statistics.mean(r.attempts for r in sent),
        wrong=sum(r.has_wrong_answer for r in requests),
        repeated_runs=sum(count > 1 for count in runs.values()),
        calm_failures=count_failures(requests, trigger[0]),
        windows=windows,
    )


def count_failures(requests: list[Request], until: float) -> dict[str, int]:
    """Count the attempts, by outcome, of the failed requests started before a time."""
    failed = [r for r in requests if r.started < until and not r.is_complete]
    return dict(Counter(outcome for r in failed for outcome in r.outcomes))


def compute_deep_capacity(deployment: Deployment) -> float:
    """Return the calls per second that the slowed deep service can serve."""
    spec = limit_deep_capacity(deployment, {})
    deep = next(s for s in spec.services if s.name == deployment.deep_service)
    return deep.slots * deep.vm_count / (DEEP_TIME_MS / 1000 * SLOW_FACTOR)


def compute_complete_share(requests: list[Request]) -> float:
    """Return the share of requests that received a complete answer."""
    return sum(r.is_complete for r in requests) / max(1, len(requests))


def compute_window_shares(requests: list[Request], started: float) -> list[float]:
    """Return the share of complete answers, by time window of the request's start."""
    count = int((BASELINE_S + TRIGGER_S + OBSERVATION_S) / WINDOW_S)
    windows: list[list[Request]] = [[] for _ in range(count)]
    for request in requests:
        number = int((request.started - started) / WINDOW_S)
        if 0 <= number < count:
            windows[number].append(request)
    return [compute_complete_share(window) for window in windows]


def compute_recovery_s(windows: list[float], baseline: float) -> float:
    """Return the seconds from the end of the trigger until goodput stays restored."""
    after = windows[int((BASELINE_S + TRIGGER_S) / WINDOW_S) :]
    bad = [n for n, share in enumerate(after) if share < RECOVERED_SHARE * baseline]
    return (bad[-1] + 1) * WINDOW_S if bad else 0.0


def print_table(results: list[RunResult]) -> None:
    """Print the mean and the range over the seeds."""
    table = Table(
        title="overload: deep service 10x slower, demand x3, aggressive retries"
    )
    for column in (
        "deployment",
        "variant",
        "important complete",
        "goodput / deep capacity",
        "complete before",
        "recovery s",
        "attempts",
        "wrong answers",
        "run twice",
    ):
        table.add_column(column)
    for key in dict.fromkeys((r.deployment, r.variant) for r in results):
        group = [r for r in results if (r.deployment, r.variant) == key]
        table.add_row(
            *key,
            format_range([r.important_share for r in group]),
            format_range([r.deep_share for r in group]),
            format_range([r.before_share for r in group]),
            format_range([r.recovery_s for r in group]),
            format_range([r.attempts_per_request for r in group]),
            str(sum(r.wrong for r in group)),
            str(sum(r.repeated_runs for r in group)),
        )
    Console(width=150).print(table)


def format_range(values: list[float]) -> str:
    """Return the mean with the lowest and the highest value."""
    return f"{statistics.mean(values):.3f} [{min(values):.3f}, {max(values):.3f}]"


def plot(results: list[RunResult], path: Path) -> None:
    """Plot the share of complete answers over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(r.deployment for r in results))
    figure, axes = pyplot.subplots(len(names), 1, squeeze=False, figsize=(8, 6))
    for axis, name in zip(axes[:, 0], names, strict=True):
        for result in results:
            if result.deployment == name:
                times = [n * WINDOW_S for n in range(len(result.windows))]
                label = f"{result.variant}, seed {result.seed}"
                axis.plot(times, result.windows, label=label)
        axis.axvspan(BASELINE_S, BASELINE_S + TRIGGER_S, alpha=0.1, color="red")
        axis.set_title(name)
        axis.set_ylabel("share complete")
        axis.legend(fontsize="small")
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)


async def main(seeds: int, out: Path, only: str) -> None:
    """Run all deployments, seeds and variants; variants alternate."""
    results: list[RunResult] = []
    for deployment in (HIELO_SUR, AGENCY):
        for seed in range(1, seeds + 1):
            for variant in VARIANTS:
                if only not in f"{deployment.name}/{variant}":
                    continue
                with tempfile.TemporaryDirectory() as folder:
                    result = await run_once(deployment, variant, seed, Path(folder))
                results.append(result)
                print(f"{deployment.name}, {variant}, seed {seed}", file=sys.stderr)
    print_table(results)
    out.mkdir(parents=True, exist_ok=True)
    (out / "bench.json").write_bytes(msgspec.json.encode(results))
    plot(results, out / "bench.png")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--out", type=Path, default=Path("out"))
    parser.add_argument("--only", default="", help="part of DEPLOYMENT/VARIANT")
    arguments = parser.parse_args()
    asyncio.run(main(arguments.seeds, arguments.out, arguments.only))
