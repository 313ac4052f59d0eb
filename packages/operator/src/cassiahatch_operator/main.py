"""Arguments of the command line, and its entry point."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import cappa

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.plans import PlanListError
from cassiahatch_node.settings import SettingsError
from cassiahatch_operator import commands
from cassiahatch_operator.commands import ExitStatus
from cassiahatch_operator.settings import load_operator_settings

DEFAULT_SETTINGS = Path("operator.toml")
DEFAULT_FOLDER = Path("lists")
DEFAULT_WAIT_S = 10.0
EXIT_STATUS_HELP = (
    "Exit statuses: 0 success; 1 failure or not all nodes reachable; 2 invalid input; "
    "3 conflict; 4 undecided, check with plans show; 5 accepted but not yet in force "
    "on all nodes."
)

Folder = Annotated[Path, cappa.Arg(help="Folder with customers.toml and plans.toml.")]
Wait = Annotated[float, cappa.Arg(long=True, help="Seconds to wait for all nodes.")]


@dataclass(slots=True)
class Check:
    """Check the lists in a folder."""

    folder: Folder = DEFAULT_FOLDER


@dataclass(slots=True)
class Show:
    """Write the accepted lists to a folder, where they can be edited."""

    folder: Folder = DEFAULT_FOLDER


@dataclass(slots=True)
class Diff:
    """Show the differences between a folder and the accepted lists."""

    folder: Folder = DEFAULT_FOLDER


@dataclass(slots=True)
class Apply:
    """Commit the lists in a folder, unless others were accepted since plans show."""

    folder: Folder = DEFAULT_FOLDER
    wait: Wait = DEFAULT_WAIT_S


@dataclass(slots=True)
class Watch:
    """Wait until a version is in force on all nodes."""

    version: Annotated[
        int, cappa.Arg(long=True, help="Version to wait for; 0 is the accepted one.")
    ] = 0
    wait: Wait = DEFAULT_WAIT_S


@cappa.command(
    description=(
        "Example: cassiahatch plans show lists; edit lists/plans.toml; "
        f"cassiahatch plans apply lists. {EXIT_STATUS_HELP}"
    )
)
@dataclass(slots=True)
class Plans:
    """Manage the lists: the plan of each customer, and the limits of each plan."""

    subcommand: cappa.Subcommands[Check | Show | Diff | Apply | Watch]


@cappa.command(description=f"Example: cassiahatch status --json. {EXIT_STATUS_HELP}")
@dataclass(slots=True)
class Status:
    """Show state, load, limits and refusals of nodes, and the lists in force by zone."""


@cappa.command(
    description=f"Example: cassiahatch trace 4bf92f3577b34da6. {EXIT_STATUS_HELP}"
)
@dataclass(slots=True)
class Trace:
    """Show the spans of a request, by request id or trace id."""

    id: str


@cappa.command(
    description=(
        "Example: cassiahatch explain 9c41d07be2a35f68 node-*.log; "
        f"without files it reads standard input. {EXIT_STATUS_HELP}"
    )
)
@dataclass(slots=True)
class Explain:
    """Show why a request failed, from the log lines of the nodes."""

    id: str
    files: Annotated[
        list[Path], cappa.Arg(help="Log files, one JSON object per line.")
    ] = field(default_factory=list)


@cappa.command(
    description=(
        "Reads log files, or standard input without any, and shows failed requests, "
        f"queues and events of the nodes over time. {EXIT_STATUS_HELP}"
    )
)
@dataclass(slots=True)
class Report:
    """Summarize failures and events over time, from the log lines of the nodes."""

    files: Annotated[
        list[Path], cappa.Arg(help="Log files, one JSON object per line.")
    ] = field(default_factory=list)
    width: Annotated[float, cappa.Arg(long=True, help="Seconds per row.")] = 1.0
    picture: Annotated[
        Path | None, cappa.Arg(long=True, help="Image file for a plot, such as a PNG.")
    ] = None


@cappa.command(
    name="cassiahatch",
    help="Edit the plan lists of a fleet and watch them take effect.",
    description=EXIT_STATUS_HELP,
)
@dataclass(slots=True)
class Command:
    """The command line."""

    subcommand: cappa.Subcommands[Plans | Status | Trace | Explain | Report]
    settings: Annotated[
        Path, cappa.Arg(long=True, help="Settings file in TOML.", propagate=True)
    ] = DEFAULT_SETTINGS
    json: Annotated[
        bool, cappa.Arg(long=True, help="Print JSON for programs.", propagate=True)
    ] = False


def run() -> None:
    """Parse the command line, run the command, and exit with its status."""
    command = cappa.parse(Command, version="0.1.0")
    try:
        status = _dispatch(command)
    except (SettingsError, PlanListError) as error:
        _print_error(error)
        sys.exit(ExitStatus.BAD_INPUT)
    except CodedError as error:
        _print_error(error)
        sys.exit(ExitStatus.FAILED)
    sys.exit(status)


def _dispatch(command: Command) -> ExitStatus:
    match command.subcommand:
        case Plans(subcommand=Check(folder=folder)):
            return commands.check_lists_folder(folder, command.json)
        case Explain(id=request_id, files=files):
            return commands.explain_request(request_id, files, command.json)
        case Report(files=files, width=width, picture=picture):
            return commands.show_report(files, width, picture, command.json)
        case _:
            return asyncio.run(_start(command))


def _start(command: Command) -> Coroutine[Any, Any, ExitStatus]:
    settings = load_operator_settings(command.settings)
    as_json = command.json
    match command.subcommand:
        case Status():
            return commands.show_status(settings, as_json)
        case Trace(id=identifier):
            return commands.show_trace(settings, identifier, as_json)
        case Plans(subcommand=Show(folder=folder)):
            return commands.show_lists(settings, folder, as_json)
        case Plans(subcommand=Diff(folder=folder)):
            return commands.diff_lists_folder(settings, folder, as_json)
        case Plans(subcommand=Apply(folder=folder, wait=wait)):
            return commands.apply_lists(settings, folder, wait, as_json)
        case Plans(subcommand=Watch(version=version, wait=wait)):
            return commands.watch_lists(settings, version, wait, as_json)
        case other:
            raise AssertionError(f"unknown command {other!r}")


def _print_error(error: CodedError) -> None:
    print(f"error {error.code}: {error.detail}", file=sys.stderr)
