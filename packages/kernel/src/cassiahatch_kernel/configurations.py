"""The operator's configuration, its versions and the source it is read from."""

from __future__ import annotations

from typing import Protocol

import msgspec

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.routes import Limits, RouteRule
from cassiahatch_kernel.teams import Team


class BadConfigurationError(CodedError):
    """The stored configuration can't be decoded."""

    code = "bad_configuration"


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: int
    """Version number; a later version has a higher one."""
    rules: tuple[RouteRule, ...]
    limits: Limits
    unknown_kinds: tuple[str, ...] = ()
    """Kinds of routes that this version does not know, in alphabetical order."""
    teams: tuple[Team, ...] = ()
    """Teams, in alphabetical order; if there are any, requests need keys."""


class ConfigurationSource(Protocol):
    """Location and encoding of the stored configuration."""

    table: str
    """Table that holds the row of the configuration."""
    key: str
    """Key of that row."""

    def decode(self, value: bytes) -> Configuration:
        """Decode the value of the configuration's row.

        Raises
        ------
        BadConfigurationError
            If the value is not a valid configuration.
        """
