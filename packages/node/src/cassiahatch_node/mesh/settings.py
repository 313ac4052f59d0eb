"""The settings file of a node that serves as a sidecar on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta

from cassiahatch_node.settings import (
    HostPort,
    Name,
    Seconds,
    Section,
    decode_settings,
)

Ratio = Annotated[float, Meta(ge=0, le=1)]


class NodeSection(Section):
    """Who the node is, and where it listens."""

    id: Name
    zone: str
    service: str
    """Service of the backend server beside the node."""
    clients: HostPort
    """Where clients and the backend server send requests."""
    peers: HostPort
    """Where other nodes open links."""
    readiness: HostPort
    announcements: HostPort
    """Where the backend server says what it is."""
    backend: HostPort
    """The backend server."""
    metrics_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    """Port of the metrics on the peers' address; 0 turns them off."""
    is_first_start: bool = True
    """Whether the whole system starts for the first time, so that no earlier process
    of this node has spent a part of what the fleet may spend."""
    advertised: HostPort | None = None
    """Where other nodes reach ``peers``, if they need another address for it."""


class StoreSection(Section):
    """The platform's store."""

    address: HostPort
    timeout_s: Seconds = 1.0
    """Longest time that an answer may take; above the store's slow days."""
    wait_s: Annotated[float, Meta(gt=0, le=30)] = 25.0
    """How long the store holds a request for changes; it allows 30 s."""
    pace_s: Seconds = 0.8
    """Least time between two readings of the members' changes: one that joins has
    4 s until others must use it, and links tell what is urgent."""


class StoppingSection(Section):
    """How the node and its backend server leave."""

    drain_s: Seconds = 2.0
    """Time after an acknowledged leaving in which calls may reach the backend."""
    grace_s: Seconds = 6.0
    """Time between SIGTERM and SIGKILL."""


class RetrySection(Section):
    """Bounds on requests that reach a service more than once, for the whole fleet."""

    ratio: Ratio = 0.2
    slack: Annotated[float, Meta(ge=0)] = 48.0
    window_s: Seconds = 10.0


class AnswerSection(Section):
    """Bounds on what is held of backend servers' answers that have not ended."""

    max_head_bytes: Annotated[int, Meta(ge=1024)] = 65_536
    """Head of an answer with informational answers and trailers: four times what
    clients may send as a head by default."""
    max_body_bytes: Annotated[int, Meta(ge=1024)] = 16_777_216
    """Body of an answer: hundreds of times the deployments' longest, 36 KB."""
    max_total_bytes: Annotated[int, Meta(ge=1024)] = 50_331_648
    """All answers under way: a quarter of the smallest node's memory, 200 MB, since
    joining and passing on a body takes copies of it."""


class SpanSection(Section):
    """Spans of requests, as log lines."""

    share: Ratio = 0.0
    """Share of the top requests that are sampled; the same on every node."""


class PluginSection(Section):
    """Names of the plug-ins to use."""

    dialect: str = "platform"
    announcements: str = "platform"
    configurations: str = "platform"
    store: str = "platform"
    queue: str = "priority"
    cutoff: str = "wait"
    placement: str = "zone-wait"
    retry_budget: str = "arrivals"
    quarantine: str = "two-crashes"


class MeshSettings(Section):
    """The whole settings file."""

    node: NodeSection
    store: StoreSection
    stopping: StoppingSection = StoppingSection()
    retries: RetrySection = RetrySection()
    answers: AnswerSection = AnswerSection()
    spans: SpanSection = SpanSection()
    plugins: PluginSection = PluginSection()


def load_mesh_settings(path: Path) -> MeshSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        With the file and the key in its detail.
    """
    return decode_settings(path, MeshSettings)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
