"""What a run looked like over time, read from the log lines of many nodes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from cassiahatch_kernel.errors import CodedError

FAILURE_EVENTS = ("not_answered", "answered_with_failure")
"""Events that say how a request of a client or of a run ended."""
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
"""Events of the fleet's life that are counted a bucket."""
BACKEND_REJECTION_EVENT = "rejected_at_backend"
CONFIGURATION_EVENT = "configuration_in_force"
MAX_BUCKETS = 2_000
"""Longest table; a span that needs more asks for wider buckets."""


class PlotError(CodedError):
    """The picture can't be drawn."""

    code = "no_picture"


class TooManyBucketsError(CodedError):
    """The records span more time than the table can show."""

    code = "too_many_buckets"


class Bucket(msgspec.Struct):
    """What the lines of one stretch of time say."""

    begin: float
    """Unix seconds."""
    failures: Counter[str] = msgspec.field(default_factory=Counter, name="endings")
    """Requests that did not end well, by reason or status."""
    fleet_events: Counter[str] = msgspec.field(default_factory=Counter, name="life")
    longest_queue: int = 0
    """Longest queue that a call was turned away from."""
    lowest_cutoff: float | None = None
    """Lowest cutoff by which the edge refused a request."""
    newest_version: int = 0
    """Newest configuration that came into force."""
    nodes_with_version: int = 0
    """Nodes on which it came into force in this stretch."""
    omitted_lines: int = msgspec.field(default=0, name="left_out")
    """Lines that the nodes' limits left out."""


class Report(msgspec.Struct, frozen=True):
    """The buckets in their order."""

    buckets: tuple[Bucket, ...]
    width_s: float
    unread_lines: int
    """Lines that hold no readable record."""


def build_report(records: Iterable[dict[str, Any] | None], width_s: float) -> Report:
    """Return what the records say, in buckets of a width.

    Parameters
    ----------
    records : iterable
        Log records; None for a line that could not be read.
    width_s : float
        Seconds that each bucket covers.

    Raises
    ------
    TooManyBucketsError
        If the records span more than ``MAX_BUCKETS`` widths.
    """
    found: dict[int, Bucket] = {}
    unread = 0
    for record in records:
        at = record.get("at") if record is not None else None
        if not isinstance(at, int | float):
            unread += 1
            continue
        number = int(at // width_s)
        bucket = found.get(number)
        if bucket is None:
            bucket = found[number] = Bucket(number * width_s)
        _add(bucket, record)
    if not found:
        return Report((), width_s, unread)
    first, last = min(found), max(found)
    if last - first >= MAX_BUCKETS:
        raise TooManyBucketsError(f"{(last - first) * width_s:.0f} s of records")
    buckets = (found.get(n) or Bucket(n * width_s) for n in range(first, last + 1))
    return Report(tuple(buckets), width_s, unread)


def _add(bucket: Bucket, record: dict[str, Any]) -> None:
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
            known = bucket.lowest_cutoff
            bucket.lowest_cutoff = cutoff if known is None else min(known, cutoff)
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
    """Draw a report into a picture file.

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
    endings, queues, life = figure.subplots(3, 1, sharex=True)
    below = [0] * len(times)
    for reason in sorted({name for b in report.buckets for name in b.failures}):
        counts = [bucket.failures[reason] for bucket in report.buckets]
        endings.bar(times, counts, report.width_s, below, align="edge", label=reason)
        below = [low + count for low, count in zip(below, counts, strict=True)]
    endings.set_ylabel("requests not served")
    queues.step(times, [b.longest_queue for b in report.buckets], where="post")
    queues.set_ylabel("longest queue refused from")
    cutoffs = queues.twinx()
    cutoffs.plot(
        times, [b.lowest_cutoff for b in report.buckets], "C1.", label="cutoff"
    )
    cutoffs.set_ylabel("lowest cutoff")
    for name in sorted({event for b in report.buckets for event in b.fleet_events}):
        counts = [bucket.fleet_events[name] for bucket in report.buckets]
        life.step(times, counts, where="post", label=name)
    life.set_ylabel("events of the fleet")
    life.set_xlabel("seconds")
    for axes in (endings, life):
        if axes.get_legend_handles_labels()[0]:
            axes.legend(fontsize="small", ncols=3)
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise PlotError(f"{path}: {error}") from None
