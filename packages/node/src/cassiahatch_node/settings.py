"""The settings file of a node."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.errors import CodedError

Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
HostPort = Annotated[str, Meta(pattern=r"^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^\s/]+$")]
PeerKey = Annotated[str, Meta(min_length=16)]


class SettingsError(CodedError):
    """The settings file can't be read or is invalid."""

    code = "bad_settings"


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of the settings file; unknown keys are rejected."""


SectionType = TypeVar("SectionType", bound=Section)


class NodeSettings(Section):
    """Identity of the node, and the addresses at which it listens."""

    id: Name
    zone: Name
    host: Annotated[str, Meta(pattern=r"^[0-9A-Fa-f.:]+$")]
    """IP address to which callers and peers connect."""
    caller_port: Port
    local_port: Port
    """Loopback port for the backend server on the same VM."""
    peer_port: Port


class PeerSettings(Section):
    """Discovery and authentication of peers, and the links to them."""

    key: PeerKey
    """Secret shared by the nodes of the fleet and its operators."""
    seeds: tuple[HostPort, ...] = ()
    gossip_interval_s: Seconds = 1.0
    probe_interval_s: Seconds = 0.6
    """Silence after which a link is probed; after as long again it is closed."""
    connect_timeout_s: Seconds = 0.5
    idle_timeout_s: Seconds = 60.0


class PlatformSettings(Section):
    """Addresses of the platform's services, and how they are polled."""

    table: Url
    objects: Url
    timeout_s: Seconds = 2.0
    poll_interval_s: Seconds = 2.0
    pollers_per_zone: Count = 2
    """Number of nodes in each availability zone that poll; gossip reaches the others."""


class CallSettings(Section):
    """Bounds on calls."""

    retries: Annotated[int, Meta(ge=0, le=100)] = 3
    """Retry budget of a root request, shared by all calls made on its behalf."""
    default_timeout_s: Seconds = 2.0
    max_timeout_s: Seconds = 30.0
    max_body_bytes: Count = 1_048_576
    max_connections: Count = 2000
    drain_notice_s: Seconds = 1.5
    """Time for which calls are still admitted after draining was announced."""
    drain_timeout_s: Seconds = 30.0


class OnceSettings(Section):
    """At-most-once execution of non-idempotent calls."""

    shards: Annotated[int, Meta(ge=1, le=1024)] = 16
    """Number of partitions into which a service's idempotency keys are hashed."""
    tenure_s: Annotated[float, Meta(ge=1, le=86400)] = 7200.0
    """Length of a tenure: the lease by which one node at a time runs the calls of a
    partition."""
    renew_before_s: Seconds = 5400.0
    """Remaining time below which a tenure is renewed."""
    skew_s: Seconds = 2.0
    """Bound on the difference between the clocks of callers and nodes."""
    key_lifetime_s: Seconds = 600.0
    """Age after which a key without a record is not run."""
    capacity_bytes: Count = 33_554_432
    """Size of key records and their answers at which new keys are rejected."""


class QuotaSettings(Section):
    """Enforcement of the limits that plans set."""

    keepers: Annotated[int, Meta(ge=1, le=16)] = 4
    """Number of keepers of a group: the nodes that grant its customers quota units."""
    groups: Annotated[int, Meta(ge=1, le=1024)] = 1
    """Number of groups into which customers are hashed, each with its own keepers."""


class PluginSettings(Section):
    """Name of the plug-in to use for each kind."""

    admission: str = "priority"
    picker: str = "two-choices"
    retries: str = "account"
    quarantine: str = "two-crashes"
    membership: str = "roster"
    quota_keeper: str = "bucket"
    quota_wallet: str = "grants"
    table: str = "http"
    objects: str = "http"


class TracingSettings(Section):
    """Sampling and destinations of spans."""

    file: str = ""
    otlp: str = ""
    """URL of an OTLP/HTTP trace endpoint."""
    sample: Annotated[float, Meta(ge=0, le=1)] = 0.01


class Settings(Section):
    """The complete settings file."""

    node: NodeSettings
    peers: PeerSettings
    platform: PlatformSettings
    calls: CallSettings = CallSettings()
    once: OnceSettings = OnceSettings()
    quota: QuotaSettings = QuotaSettings()
    plugins: PluginSettings = PluginSettings()
    tracing: TracingSettings = TracingSettings()


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; ``detail`` names the file and the key.
    """
    settings = decode_settings(path, Settings)
    _check_consistency(path, settings)
    return settings


def decode_settings(path: Path, section_type: type[SectionType]) -> SectionType:
    """Decode a TOML file, and validate it against a section type.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; ``detail`` names the file and the key.
    """
    try:
        return msgspec.toml.decode(path.read_bytes(), type=section_type)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None
    except (*UNDECODABLE, ValueError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None


def _check_consistency(path: Path, settings: Settings) -> None:
    node = settings.node
    ports = {node.caller_port, node.local_port, node.peer_port}
    if len(ports) < 3:
        raise SettingsError(f"{path}: $.node: the three ports must differ")
    if settings.once.renew_before_s >= settings.once.tenure_s:
        raise SettingsError(
            f"{path}: $.once.renew_before_s: must be below tenure_s "
            f"({settings.once.tenure_s:g})"
        )
    if settings.calls.default_timeout_s > settings.calls.max_timeout_s:
        raise SettingsError(
            f"{path}: $.calls.default_timeout_s: must not exceed max_timeout_s"
        )
    for index, seed in enumerate(settings.peers.seeds):
        if not 1 <= int(seed.rpartition(":")[2]) <= 65535:
            raise SettingsError(
                f"{path}: $.peers.seeds[{index}]: port must be from 1 to 65535"
            )
