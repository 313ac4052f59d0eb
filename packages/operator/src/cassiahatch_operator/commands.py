"""Implementation of the commands, after their arguments are parsed."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.plan_changes import ListChange, diff_lists
from cassiahatch_kernel.plans import AcceptedLists
from cassiahatch_kernel.ports import StoreUnavailableError
from cassiahatch_node.adapters.objects import HttpObjectStore
from cassiahatch_node.adapters.table import HttpTable
from cassiahatch_node.control.client import ControlClient
from cassiahatch_node.control.lists import (
    Accepted,
    Superseded,
    Undecided,
    commit_lists,
    read_accepted,
)
from cassiahatch_node.control.status import NodeStatus
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_operator import output
from cassiahatch_operator.explanation import explain, read_records
from cassiahatch_operator.fleet import FleetClient, Unreachable
from cassiahatch_operator.lists import read_base_version, read_lists, write_lists
from cassiahatch_operator.report import build_report, draw_report
from cassiahatch_operator.settings import OperatorSettings

CHANGE_ID_BYTES = 8
WATCH_INTERVAL_S = 0.5


class LogFileError(CodedError):
    """A log file can't be read."""

    code = "unreadable_log_file"


class BadWidthError(CodedError):
    """The bucket width of a report is not above 0."""

    code = "bad_width"


class ExitStatus(IntEnum):
    """Exit statuses of the command line."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNDECIDED = 4
    """The platform did not answer, so a change may or may not have been committed."""
    ROLLOUT_INCOMPLETE = 5
    """A change was committed but is not in force on all nodes yet."""


@dataclass(slots=True, frozen=True)
class Connections:
    """Clients of the platform's services and of the fleet."""

    table: HttpTable
    objects: HttpObjectStore
    fleet: FleetClient


@asynccontextmanager
async def connect(settings: OperatorSettings) -> AsyncIterator[Connections]:
    """Open the clients that a command needs, and close them at the end."""
    table = HttpTable(settings.table, settings.timeout_s)
    objects = HttpObjectStore(settings.objects, settings.timeout_s)
    control = ControlClient(settings.peer_key, Metrics())
    try:
        yield Connections(table, objects, FleetClient(settings.nodes, control))
    finally:
        for client in (table, objects, control):
            client.close()


def check_lists_folder(folder: Path, as_json: bool) -> ExitStatus:
    """Check the lists in a folder."""
    lists = read_lists(folder)
    if as_json:
        output.print_json(lists)
    else:
        print(f"{folder}: {len(lists.customers)} customers, {len(lists.plans)} plans")
    return ExitStatus.OK


async def show_lists(
    settings: OperatorSettings, folder: Path, as_json: bool
) -> ExitStatus:
    """Write the accepted lists to a folder, where they can be edited."""
    async with connect(settings) as connections:
        accepted = await _read_accepted_lists(connections)
    write_lists(folder, accepted.lists, accepted.version)
    if as_json:
        output.print_json(accepted)
    else:
        print(f"{folder}: version {accepted.version} ({accepted.change_id or 'none'})")
    return ExitStatus.OK


async def diff_lists_folder(
    settings: OperatorSettings, folder: Path, as_json: bool
) -> ExitStatus:
    """Print the differences between the lists in a folder and the accepted ones."""
    lists = read_lists(folder)
    async with connect(settings) as connections:
        accepted = await _read_accepted_lists(connections)
    edited = AcceptedLists(accepted.version + 1, "", lists)
    _print_change(diff_lists(accepted, edited), as_json)
    return ExitStatus.OK


async def apply_lists(
    settings: OperatorSettings, folder: Path, wait_s: float, as_json: bool
) -> ExitStatus:
    """Commit the lists in a folder if their base version is still the accepted one."""
    lists = read_lists(folder)
    base = read_base_version(folder)
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    async with connect(settings) as connections:
        result = await commit_lists(
            connections.table, connections.objects, base, lists, change_id
        )
        match result:
            case Accepted():
                write_lists(folder, lists, result.lists.version)
                push_count = await connections.fleet.push_lists(result.lists)
                print(f"accepted: version {result.lists.version} ({change_id})")
                if not push_count:
                    print("no node took it yet; nodes that read the table will")
                    return ExitStatus.ROLLOUT_INCOMPLETE
                return await _wait_until_in_force(
                    connections, result.lists.version, wait_s, as_json
                )
            case Superseded():
                print(f"conflict: edited from {base}, now {result.current.version}")
                edited = AcceptedLists(result.current.version + 1, change_id, lists)
                _print_change(diff_lists(result.current, edited), as_json)
                return ExitStatus.CONFLICT
            case Undecided():
                print(f"undecided: the platform does not answer; change {change_id}")
                return ExitStatus.UNDECIDED


async def watch_lists(
    settings: OperatorSettings, version: int, wait_s: float, as_json: bool
) -> ExitStatus:
    """Wait until a version is in force on all nodes, at most ``wait_s`` seconds.

    A ``version`` of 0 stands for the accepted one.
    """
    async with connect(settings) as connections:
        target = version or (await _read_accepted_lists(connections)).version
        return await _wait_until_in_force(connections, target, wait_s, as_json)


async def show_status(settings: OperatorSettings, as_json: bool) -> ExitStatus:
    """Print the status of every node."""
    async with connect(settings) as connections:
        statuses = await connections.fleet.read_statuses()
    if as_json:
        output.print_json(statuses)
    else:
        output.print_statuses(statuses)
    is_complete = all(isinstance(status, NodeStatus) for status in statuses)
    return ExitStatus.OK if is_complete else ExitStatus.FAILED


async def show_trace(
    settings: OperatorSettings, identifier: str, as_json: bool
) -> ExitStatus:
    """Print the spans of a request or trace."""
    async with connect(settings) as connections:
        spans = await connections.fleet.read_spans(identifier)
    if as_json:
        output.print_json(spans)
    else:
        output.print_spans(spans)
    return ExitStatus.OK if spans else ExitStatus.FAILED


async def _read_accepted_lists(connections: Connections) -> AcceptedLists:
    """Return the accepted lists from the table, or from a node if it is unavailable."""
    try:
        return await read_accepted(connections.table, connections.objects)
    except StoreUnavailableError:
        return (await connections.fleet.read_state()).lists


async def _wait_until_in_force(
    connections: Connections, version: int, wait_s: float, as_json: bool
) -> ExitStatus:
    started = time.monotonic()
    while True:
        statuses = await connections.fleet.read_statuses()
        updated = [s for s in statuses if _has_version(s, version)]
        elapsed = time.monotonic() - started
        if len(updated) == len(statuses) or elapsed >= wait_s:
            break
        await asyncio.sleep(WATCH_INTERVAL_S)
    if as_json:
        output.print_json(output.count_versions(statuses))
    else:
        print(
            f"version {version} in force on {len(updated)} of {len(statuses)} nodes "
            f"after {elapsed:.1f} s"
        )
    is_complete = len(updated) == len(statuses)
    return ExitStatus.OK if is_complete else ExitStatus.ROLLOUT_INCOMPLETE


def _has_version(status: NodeStatus | Unreachable, version: int) -> bool:
    return isinstance(status, NodeStatus) and status.lists_version >= version


def _print_change(change: ListChange, as_json: bool) -> None:
    if as_json:
        output.print_json(change)
    else:
        output.print_change(change)


def explain_request(request_id: str, files: list[Path], as_json: bool) -> ExitStatus:
    """Print why a request failed; return ``FAILED`` if no log line has its id."""
    try:
        explanation = explain(request_id, read_records(files))
    except OSError as error:
        raise LogFileError(f"{error.filename}: {error.strerror}") from None
    if as_json:
        output.print_json(explanation)
    else:
        output.print_explanation(explanation)
    return ExitStatus.OK if explanation.steps else ExitStatus.FAILED


def show_report(
    files: list[Path], width_s: float, picture_path: Path | None, as_json: bool
) -> ExitStatus:
    """Print the report of log files, and plot it if an image file is given."""
    if not width_s > 0:
        raise BadWidthError(f"--width: must be above 0 s, got {width_s} s")
    try:
        report = build_report(read_records(files), width_s)
    except OSError as error:
        raise LogFileError(f"{error.filename}: {error.strerror}") from None
    if as_json:
        output.print_json(report)
    else:
        output.print_report(report)
    if picture_path is not None:
        draw_report(report, picture_path)
    return ExitStatus.OK if report.buckets else ExitStatus.FAILED
