"""The command line for operators."""

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
EXITS = (
    "Exit statuses: 0 done; 1 failed or not all reachable; 2 bad input; 3 conflict; "
    "4 undecided, run show and look; 5 accepted but not in force everywhere yet."
)

Folder = Annotated[Path, cappa.Arg(help="Folder with customers.toml and plans.toml.")]
Wait = Annotated[float, cappa.Arg(long=True, help="Seconds to wait for all nodes.")]


@dataclass(slots=True)
class Check:
    """Check the two lists in a folder."""

    folder: Folder = DEFAULT_FOLDER


@dataclass(slots=True)
class Show:
    """Fetch the accepted lists into a folder, to edit them there."""

    folder: Folder = DEFAULT_FOLDER


@dataclass(slots=True)
class Diff:
    """Show how the folder differs from the accepted lists."""

    folder: Folder = DEFAULT_FOLDER


@dataclass(slots=True)
class Apply:
    """Commit the folder, unless somebody else changed the lists since show."""

    folder: Folder = DEFAULT_FOLDER
    wait: Wait = DEFAULT_WAIT_S


@dataclass(slots=True)
class Watch:
    """Watch a version come into force on the nodes."""

    version: Annotated[int, cappa.Arg(long=True, help="0 is the accepted one.")] = 0
    wait: Wait = DEFAULT_WAIT_S


@cappa.command(
    description=(
        "Example: cassiahatch plans show lists; edit lists/plans.toml; "
        f"cassiahatch plans apply lists. {EXITS}"
    )
)
@dataclass(slots=True)
class Plans:
    """The two lists: customers to plans, plans to what each may use."""

    subcommand: cappa.Subcommands[Check | Show | Diff | Apply | Watch]


@cappa.command(description=f"Example: cassiahatch status --json. {EXITS}")
@dataclass(slots=True)
class Status:
    """Upstreams, load, limits, refusals, and the lists in force by zone."""


@cappa.command(description=f"Example: cassiahatch trace 4bf92f3577b34da6. {EXITS}")
@dataclass(slots=True)
class Trace:
    """Where a request went, by its request or trace identity."""

    id: str


@cappa.command(
    description=(
        "Example: cassiahatch explain 9c41d07be2a35f68 node-*.log; "
        f"without files it reads standard input. {EXITS}"
    )
)
@dataclass(slots=True)
class Explain:
    """Why a request failed, from the log lines of the nodes."""

    id: str
    files: Annotated[
        list[Path], cappa.Arg(help="Log files, one JSON object a line.")
    ] = field(default_factory=list)


@cappa.command(
    description=(
        "Reads log files, or standard input without any, and shows what did not end "
        f"well over time. {EXITS}"
    )
)
@dataclass(slots=True)
class Report:
    """What a run looked like, from the log lines of the nodes."""

    files: Annotated[
        list[Path], cappa.Arg(help="Log files, one JSON object a line.")
    ] = field(default_factory=list)
    width: Annotated[float, cappa.Arg(long=True, help="Seconds a row.")] = 1.0
    picture: Annotated[
        Path | None, cappa.Arg(long=True, help="Picture file to draw, such as a PNG.")
    ] = None


@cappa.command(
    name="cassiahatch",
    help="Edit the plan lists of a fleet and watch them take effect.",
    description=EXITS,
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
    """Parse the command line, do what it says, and exit with its status."""
    command = cappa.parse(Command, version="0.1.0")
    try:
        status = _dispatch(command)
    except (SettingsError, PlanListError) as error:
        _report(error)
        sys.exit(ExitStatus.BAD_INPUT)
    except CodedError as error:
        _report(error)
        sys.exit(ExitStatus.FAILED)
    sys.exit(status)


def _dispatch(command: Command) -> ExitStatus:
    match command.subcommand:
        case Plans(subcommand=Check(folder=folder)):
            return commands.check_lists_folder(folder, command.json)
        case Explain(id=wanted, files=files):
            return commands.explain_request(wanted, files, command.json)
        case Report(files=files, width=width, picture=picture):
            return commands.report_run(files, width, picture, command.json)
        case _:
            return asyncio.run(_start(command))


def _start(command: Command) -> Coroutine[Any, Any, ExitStatus]:
    settings = load_operator_settings(command.settings)
    as_json = command.json
    match command.subcommand:
        case Status():
            return commands.show_status(settings, as_json)
        case Trace(id=wanted):
            return commands.show_trace(settings, wanted, as_json)
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


def _report(error: CodedError) -> None:
    print(f"error {error.code}: {error.detail}", file=sys.stderr)
