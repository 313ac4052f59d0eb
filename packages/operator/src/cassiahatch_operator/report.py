"""Report of failures and events over time, built from log lines of many nodes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from cassiahatch_kernel.errors import CodedError

FAILURE_EVENTS = ("not_answered", "answered_with_failure")
"""Events of failed requests from clients, and of failed calls that backend servers
make while they run a request."""
FLEET_EVENTS = (
    "started",
    "stopping",
    "backend_missing",
    "backend_crashed",
    "link_silent",
    "store_lost",
    "store_regained",
    "reader",
)
"""Events of nodes, links and the store that are counted in each bucket."""
BACKEND_REJECTION_EVENT = "rejected_at_backend"
CONFIGURATION_EVENT = "configuration_in_force"
MAX_BUCKETS = 2_000
"""Limit on the rows of a report; a longer time range needs wider buckets."""


class PlotError(CodedError):
    """The plot can't be drawn or written."""

    code = "no_picture"


class TooManyBucketsError(CodedError):
    """The time range of the records needs more than ``MAX_BUCKETS`` buckets."""

    code = "too_many_buckets"


class Bucket(msgspec.Struct):
    """Summary of the log lines of one time interval."""

    begin: float
    """Start of the interval in Unix seconds."""
    failures: Counter[str] = msgspec.field(default_factory=Counter, name="endings")
    """Number of failed requests by reason or status."""
    fleet_events: Counter[str] = msgspec.field(default_factory=Counter, name="life")
    """Number of ``FLEET_EVENTS`` by event."""
    longest_queue: int = 0
    """Length of the longest queue at which a call was rejected."""
    lowest_cutoff: float | None = None
    """Lowest cutoff with which the edge rejected a request."""
    newest_version: int = 0
    """Newest version of the configuration that came into force."""
    nodes_with_version: int = 0
    """Number of nodes on which it came into force during the interval."""
    omitted_lines: int = msgspec.field(default=0, name="left_out")
    """Number of lines that the nodes omitted because of their rate limit."""


class Report(msgspec.Struct, frozen=True):
    """Buckets in order of time, without gaps."""

    buckets: tuple[Bucket, ...]
    width_s: float
    unread_lines: int
    """Number of lines that could not be decoded or have no time."""


def build_report(records: Iterable[dict[str, Any] | None], width_s: float) -> Report:
    """Summarize log records in buckets of ``width_s`` seconds.

    Parameters
    ----------
    records : iterable
        Log records; None for a line that could not be decoded.
    width_s : float
        Seconds that each bucket covers.

    Raises
    ------
    TooManyBucketsError
        If the time range of the records needs more than ``MAX_BUCKETS`` buckets.
    """
    buckets_by_number: dict[int, Bucket] = {}
    unread_count = 0
    for record in records:
        at = record.get("at") if record is not None else None
        if not isinstance(at, int | float):
            unread_count += 1
            continue
        number = int(at // width_s)
        bucket = buckets_by_number.get(number)
        if bucket is None:
            bucket = buckets_by_number[number] = Bucket(number * width_s)
        _add_record(bucket, record)
    if not buckets_by_number:
        return Report((), width_s, unread_count)
    first, last = min(buckets_by_number), max(buckets_by_number)
    if last - first >= MAX_BUCKETS:
        raise TooManyBucketsError(
            f"records span {(last - first) * width_s:.0f} s: choose a larger --width "
            f"for at most {MAX_BUCKETS} rows"
        )
    buckets = (
        buckets_by_number.get(n) or Bucket(n * width_s) for n in range(first, last + 1)
    )
    return Report(tuple(buckets), width_s, unread_count)


def _add_record(bucket: Bucket, record: dict[str, Any]) -> None:
    event = record.get("event")
    if event in FAILURE_EVENTS:
        bucket.failures[str(record.get("reason") or record.get("status"))] += 1
    elif event in FLEET_EVENTS:
        bucket.fleet_events[event] += 1
    elif event == BACKEND_REJECTION_EVENT:
        waiting = record.get("waiting")
        if isinstance(waiting, int):
            bucket.longest_queue = max(bucket.longest_queue, waiting)
    elif event == "refused_at_edge":
        cutoff = record.get("cutoff")
        if isinstance(cutoff, int | float):
            lowest = bucket.lowest_cutoff
            bucket.lowest_cutoff = cutoff if lowest is None else min(lowest, cutoff)
    elif event == CONFIGURATION_EVENT:
        _add_version(bucket, record.get("version"))
    elif event == "lines_left_out":
        bucket.omitted_lines += sum(
            v for k, v in record.items() if k != "at" and isinstance(v, int)
        )


def _add_version(bucket: Bucket, version: object) -> None:
    if not isinstance(version, int) or version < bucket.newest_version:
        return
    if version > bucket.newest_version:
        bucket.newest_version, bucket.nodes_with_version = version, 0
    bucket.nodes_with_version += 1


def draw_report(report: Report, path: Path) -> None:
    """Plot a report to an image file.

    Raises
    ------
    PlotError
        If the plotting library is not installed, or the file can't be written.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotError(f"install the extra 'report': {error}") from None
    start = report.buckets[0].begin if report.buckets else 0.0
    times = [bucket.begin - start for bucket in report.buckets]
    figure = Figure(figsize=(11, 8), layout="constrained")
    failures, queues, events = figure.subplots(3, 1, sharex=True)
    bottoms = [0] * len(times)
    for reason in sorted({name for b in report.buckets for name in b.failures}):
        counts = [bucket.failures[reason] for bucket in report.buckets]
        failures.bar(times, counts, report.width_s, bottoms, align="edge", label=reason)
        bottoms = [
            bottom + count for bottom, count in zip(bottoms, counts, strict=True)
        ]
    failures.set_ylabel("failed requests")
    queues.step(times, [b.longest_queue for b in report.buckets], where="post")
    queues.set_ylabel("longest queue at a rejection")
    cutoffs = queues.twinx()
    cutoffs.plot(
        times, [b.lowest_cutoff for b in report.buckets], "C1.", label="cutoff"
    )
    cutoffs.set_ylabel("lowest cutoff")
    for name in sorted({event for b in report.buckets for event in b.fleet_events}):
        counts = [bucket.fleet_events[name] for bucket in report.buckets]
        events.step(times, counts, where="post", label=name)
    events.set_ylabel("fleet events")
    events.set_xlabel("time (s)")
    for axes in (failures, events):
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small", ncols=3)
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise PlotError(f"{path}: {error}") from None
