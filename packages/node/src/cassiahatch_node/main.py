"""Command line of a node."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from absl import logging

from cassiahatch_kernel.errors import CodedError
from cassiahatch_node.root import Node
from cassiahatch_node.settings import Settings, load_settings

EXIT_BAD_SETTINGS = 2


@dataclass(slots=True)
class Check:
    """Check a settings file, and print the error if it is invalid.

    Parameters
    ----------
    file
        Settings file in TOML.
    """

    file: Annotated[Path, cappa.Arg(help="Settings file in TOML.")]


@dataclass(slots=True)
class Run:
    """Run a node until SIGTERM, then stop gracefully.

    Parameters
    ----------
    file
        Settings file in TOML.
    """

    file: Annotated[Path, cappa.Arg(help="Settings file in TOML.")]


@cappa.command(
    name="cassiahatch-node",
    help="Overload control node, deployed alongside a backend server.",
    description=(
        "Examples: cassiahatch-node check node.toml; cassiahatch-node run node.toml"
    ),
)
@dataclass(slots=True)
class Command:
    """The command line."""

    subcommand: cappa.Subcommands[Check | Run]


def run() -> None:
    """Parse the command line and run the command."""
    command = cappa.parse(Command, version="0.1.0")
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold(logging.INFO)
    settings = _load_or_exit(command.subcommand.file)
    match command.subcommand:
        case Check():
            print(f"{command.subcommand.file}: ok")
        case Run():
            _run_or_exit(settings)


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except CodedError as error:
        _exit_with(error)
        raise


def _run_or_exit(settings: Settings) -> None:
    try:
        asyncio.run(_serve(settings))
    except CodedError as error:
        _exit_with(error)


async def _serve(settings: Settings) -> None:
    async with Node(settings) as node:
        await node.run()


def _exit_with(error: CodedError) -> None:
    print(f"error {error.code}: {error.detail}", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)
