"""Settings of the operators' command."""

from __future__ import annotations

from pathlib import Path

import msgspec

from cassiahatch_node.settings import HostPort, PeerKey, SettingsError, Url


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform and some nodes are."""

    table: Url
    objects: Url
    peer_key: PeerKey
    nodes: tuple[HostPort, ...] = ()
    """Peer addresses of a few nodes, from which the others are found."""
    timeout_s: float = 2.0


def load_operator_settings(path: Path) -> OperatorSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        With the file and the key in its detail.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=OperatorSettings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from None
