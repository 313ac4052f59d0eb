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
    """Identity of the node, and the addresses at which it listens."""

    id: Name
    zone: str
    service: str
    """Service of the local backend server."""
    clients: HostPort
    """Listening address for requests of clients and of the backend server."""
    peers: HostPort
    """Listening address for links from other nodes."""
    readiness: HostPort
    """Listening address for the platform's readiness probes."""
    announcements: HostPort
    """Listening address for announcements of the backend server."""
    backend: HostPort
    """Address of the backend server."""
    metrics_port: Annotated[int, Meta(ge=0, le=65535)] = 0
    """Port of the metrics endpoint, on the host of ``peers``; 0 disables it."""
    is_first_start: bool = True
    """Whether the whole system starts for the first time, so that no earlier process
    of this node has used a part of the fleet's retry budget."""
    advertised: HostPort | None = None
    """Address at which other nodes reach ``peers``, if it differs."""


class StoreSection(Section):
    """The platform's store."""

    address: HostPort
    timeout_s: Seconds = 1.0
    """Timeout of a request to the store, longer than its responses take when it is
    slow."""
    wait_s: Annotated[float, Meta(gt=0, le=30)] = 0.8
    """Time for which the store holds a long poll for a new configuration. Its end
    confirms the one in force, so it is well below the time in which a change must be in
    force."""
    members_wait_s: Annotated[float, Meta(gt=0, le=30)] = 3.0
    """Time for which the store holds a long poll for changes of members."""
    pace_s: Seconds = 0.8
    """Mean pause between two reads of the members' changes. It may be this long because
    others need not use a new member until 4 s after it joined, and urgent changes are
    sent over links."""


class StoppingSection(Section):
    """Graceful stop of the node and of its backend server."""

    drain_s: Seconds = 2.0
    """Time for which calls may still reach the backend server after its leave was
    acknowledged."""
    grace_s: Seconds = 6.0
    """Time between SIGTERM and SIGKILL."""


class RetrySection(Section):
    """Retry budget: limits on the retries that reach a service, fleet-wide."""

    ratio: Ratio = 0.2
    """Arrivals caused by retries that a service may receive per first attempt."""
    slack: Annotated[float, Meta(ge=0)] = 48.0
    """Additional arrivals of this kind that a service may receive in a window."""
    window_s: Seconds = 10.0
    """Length of the window in which arrivals are counted."""


class AnswerSection(Section):
    """Limits on the memory for answers."""

    max_head_bytes: Annotated[int, Meta(ge=1024)] = 65_536
    """Longest head of a response, with informational responses and trailers: four times
    what clients may send as a head by default."""
    max_body_bytes: Annotated[int, Meta(ge=1024)] = 16_777_216
    """Longest body of a response: hundreds of times the longest one in the deployments,
    36 KB."""
    max_total_bytes: Annotated[int, Meta(ge=1024)] = 50_331_648
    """Total size of all answers that come from peers or wait for clients: a quarter of
    the smallest node's memory, 200 MB, because joining and forwarding a body makes copies
    of it."""
    max_backend_bytes: Annotated[int, Meta(ge=1024)] = 25_165_824
    """Total size of the backend server's answers until peers have got them: an eighth of
    that memory. One longest answer fits it."""


class BodySection(Section):
    """Limit on the memory for request bodies."""

    max_total_bytes: Annotated[int, Meta(ge=65_536)] = 50_331_648
    """Total size of all request bodies that a node holds, of its clients and of calls to
    its backend server: a quarter of the smallest node's memory, 200 MB."""


class RevocationSection(Section):
    """Bounded-time revocation of API keys."""

    max_delay_s: Annotated[float, Meta(ge=2, le=3600)] = 5.0
    """Seconds after the acknowledgement of a configuration from which on a request with
    a key that it removed runs nowhere. Copies are confirmed every 0.8 s, and asked for
    when they are 1.2 s old, so a shorter delay would reject requests in calm times."""


class RequestSection(Section):
    """Limit on the framing of clients' requests."""

    max_framing_bytes: Annotated[int, Meta(ge=1024)] = 65_536
    """Bytes of chunk sizes and chunk extensions that a request may have beyond eight for
    each byte of its body, which chunks of one byte without extensions don't need."""


class SpanSection(Section):
    """Spans of requests, as log lines."""

    share: Ratio = 0.0
    """Share of the root requests that are sampled; the same on every node."""


class QuotaSection(Section):
    """Bound on the requests of a team that has a quota.

    In any window at most ``(rate x window_s + burst) x (1 + overrun) + slack`` of them
    run, over all nodes.
    """

    window_s: Annotated[float, Meta(gt=0)] = 5.0
    """Length of the window in which the requests of a team are counted."""
    overrun: Annotated[float, Meta(ge=0)] = 0.1
    """Share by which the requests in a window may exceed the team's quota."""
    slack: Annotated[float, Meta(ge=0)] = 20.0
    """Requests that may be added to that."""


class PluginSection(Section):
    """Name of the plug-in to use for each kind."""

    dialect: str = "platform"
    announcements: str = "platform"
    configurations: str = "platform"
    store: str = "platform"
    queue: str = "priority"
    cutoff: str = "wait"
    placement: str = "zone-wait"
    retry_budget: str = "arrivals"
    rate_limit: str = "token-bucket"
    concurrency_limit: str = "throughput"
    quarantine: str = "two-crashes"
    stop_admission: str = "deadline"
    configuration_lease: str = "store-age"
    team_bucket: str = "window"
    team_allowance: str = "ahead"


class MeshSettings(Section):
    """The complete settings file."""

    node: NodeSection
    store: StoreSection
    stopping: StoppingSection = StoppingSection()
    retries: RetrySection = RetrySection()
    answers: AnswerSection = AnswerSection()
    bodies: BodySection = BodySection()
    requests: RequestSection = RequestSection()
    spans: SpanSection = SpanSection()
    quotas: QuotaSection | None = None
    """None if the quotas of teams are not enforced."""
    plugins: PluginSection = PluginSection()
    revocation: RevocationSection | None = None
    """None if keys need not be revoked in bounded time."""


def load_mesh_settings(path: Path) -> MeshSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; ``detail`` names the file and the key.
    """
    return decode_settings(path, MeshSettings)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
