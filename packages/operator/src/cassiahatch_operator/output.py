"""Output of the commands: tables for people, JSON for programs."""

from __future__ import annotations

from collections import Counter

import msgspec
from rich.console import Console
from rich.table import Table

from cassiahatch_kernel.plan_changes import ListChange
from cassiahatch_node.control.status import NodeStatus
from cassiahatch_node.observability.tracing import SpanRecord
from cassiahatch_operator.categories import CATEGORIES
from cassiahatch_operator.explanation import Explanation
from cassiahatch_operator.fleet import Unreachable
from cassiahatch_operator.report import Report

WIDTH = 120
"""Width of the tables in characters."""
NS_PER_MS = 1_000_000
MS_PER_S = 1000


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(msgspec.json.encode(value).decode())


def print_change(change: ListChange) -> None:
    """Print the changed entries of the lists, one per line."""
    for title, entries in (("plan", change.plans), ("customer", change.customers)):
        for name, entry in sorted(entries.items()):
            text = "removed" if entry is None else msgspec.json.encode(entry).decode()
            print(f"{title} {name}: {text}")
    if not change.plans and not change.customers:
        print("no difference")


def print_statuses(statuses: list[NodeStatus | Unreachable]) -> None:
    """Print the nodes, the versions of the lists by zone, and the ticket categories."""
    table = _make_table(
        "node", "zone", "state", "in flight", "queued", "limit", "level", "refused"
    )
    for status in statuses:
        match status:
            case NodeStatus():
                table.add_row(*_format_cells(status))
            case Unreachable():
                table.add_row(status.node_id, status.zone, "unreachable")
    console = Console(width=WIDTH)
    console.print(table)
    console.print(_make_version_table(statuses))
    console.print(_make_category_table(statuses))


def print_spans(spans: list[SpanRecord]) -> None:
    """Print the spans of a request, one per line."""
    table = _make_table("start ms", "duration ms", "node", "hop", "service", "outcome")
    first = spans[0].start_ns if spans else 0
    for span in spans:
        table.add_row(
            f"{(span.start_ns - first) / NS_PER_MS:.1f}",
            f"{span.duration_ms:.1f}",
            span.node,
            span.name,
            span.attributes.get("service", ""),
            span.attributes.get("outcome", span.attributes.get("refused", "")),
        )
    Console(width=WIDTH).print(table)


def count_versions(statuses: list[NodeStatus | Unreachable]) -> dict[str, Counter[str]]:
    """Return the number of nodes by zone and version of the lists."""
    zones: dict[str, Counter[str]] = {}
    for status in statuses:
        match status:
            case NodeStatus():
                version = str(status.lists_version)
            case Unreachable():
                version = "unreachable"
        zones.setdefault(status.zone, Counter())[version] += 1
    return zones


def _format_cells(status: NodeStatus) -> list[str]:
    refused = sum(n for k, n in status.counters.items() if k.startswith("refused:"))
    return [
        status.node_id,
        status.zone,
        status.state,
        str(status.in_flight),
        str(status.queued),
        str(status.limit),
        str(status.level),
        str(refused),
    ]


def _make_version_table(statuses: list[NodeStatus | Unreachable]) -> Table:
    table = _make_table("zone", "lists version in force (nodes)")
    for zone, versions in sorted(count_versions(statuses).items()):
        text = ", ".join(f"{v} ({n})" for v, n in sorted(versions.items()))
        table.add_row(zone, text)
    return table


def _make_category_table(statuses: list[NodeStatus | Unreachable]) -> Table:
    totals: Counter[str] = Counter()
    for status in statuses:
        if isinstance(status, NodeStatus):
            totals.update(status.counters)
    table = _make_table("ticket category", "counters", "total")
    for category in CATEGORIES:
        total = sum(totals[name] for name in category.counters)
        table.add_row(category.name, ", ".join(category.counters), str(total))
    return table


def _make_table(*columns: str) -> Table:
    table = Table(box=None)
    for column in columns:
        table.add_column(column)
    return table


def print_report(report: Report) -> None:
    """Print one row per bucket: failed requests, queues, versions and events."""
    table = _make_table(
        "second", "failed", "queue", "cutoff", "version", "events", "omitted lines"
    )
    first = report.buckets[0].begin if report.buckets else 0.0
    for bucket in report.buckets:
        version = ""
        if bucket.newest_version:
            version = f"{bucket.newest_version} on {bucket.nodes_with_version}"
        cutoff = bucket.lowest_cutoff
        table.add_row(
            f"{bucket.begin - first:g}",
            _format_counts(bucket.failures),
            str(bucket.longest_queue or ""),
            "" if cutoff is None else f"{cutoff:.2f}",
            version,
            _format_counts(bucket.fleet_events),
            str(bucket.omitted_lines or ""),
        )
    Console(width=WIDTH).print(table)
    if report.unread_lines:
        print(f"{report.unread_lines} lines could not be read")


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.most_common())


def print_explanation(explanation: Explanation) -> None:
    """Print the log lines of a request, and the cause found in them."""
    table = _make_table("offset ms", "node", "event", "request", "details")
    first = explanation.steps[0].at if explanation.steps else 0.0
    for step in explanation.steps:
        details = " ".join(f"{name}={value}" for name, value in step.details.items())
        offset_ms = f"{(step.at - first) * MS_PER_S:.1f}"
        table.add_row(offset_ms, step.node, step.event, step.request, details)
    console = Console(width=WIDTH)
    console.print(table)
    print(f"cause: {explanation.cause}")
    if explanation.unread_lines:
        print(f"{explanation.unread_lines} lines could not be read")
