"""Settings of the operators' command line."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_node.settings import HostPort, PeerKey, SettingsError, Url


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform's services and of some nodes."""

    table: Url
    objects: Url
    peer_key: PeerKey
    nodes: tuple[HostPort, ...] = ()
    """Peer addresses of a few nodes, through which the others are discovered."""
    timeout_s: float = 2.0
    """Timeout of each request to the platform's services."""


def load_operator_settings(path: Path) -> OperatorSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; the detail names the file and key.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=OperatorSettings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (*UNDECODABLE, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None
