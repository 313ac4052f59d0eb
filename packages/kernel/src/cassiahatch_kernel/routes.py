"""Routes: which service a request is sent to, and the limits that apply to it."""

from __future__ import annotations

import random
from enum import Enum, auto

import msgspec


class RouteKind(Enum):
    """What the operator says of a route's requests."""

    SAFE = auto()
    """They may run more than once."""
    UNSAFE = auto()
    """They run once at most."""
    UPLOAD = auto()
    """They run once at most, and have large bodies."""
    UNKNOWN = auto()
    """A kind that this version does not know: they run once at most."""


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services among which a route's requests are split."""

    service: str
    weight: float = 1.0
    """Share of the requests, relative to the route's other services."""


class RouteRule(msgspec.Struct, frozen=True):
    """One route of the operator's configuration."""

    name: str
    host: str
    prefix: str
    """Path prefix of the route; starts and ends with a slash."""
    parts: tuple[WeightedService, ...]
    """Services among which the requests are split."""
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    """Number of backend servers to which one request may be sent."""
    priority: int
    """Rank of the route; 0 is the most urgent."""
    is_public: bool = False
    """Whether its requests need no key, also if there are teams."""

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        match self.kind:
            case RouteKind.SAFE:
                return True
            case RouteKind.UNSAFE | RouteKind.UPLOAD | RouteKind.UNKNOWN:
                return False


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size of clients' requests and on the time they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class WeightedRoundRobin:
    """Splits a route's requests among its services in proportion to their weights.

    Smooth weighted round-robin: each request goes to the service that is furthest
    behind its share, so that short runs of requests keep the proportions too.

    Parameters
    ----------
    services : tuple of WeightedService
        Services and their weights.
    random_source : random.Random
        Random source of the start of the sequence, so that nodes don't send their
        requests to the same service at the same time.
    """

    __slots__ = ("_current_weights", "_services", "_total_weight")

    def __init__(
        self, services: tuple[WeightedService, ...], random_source: random.Random
    ) -> None:
        self._services = services
        self._total_weight = sum(service.weight for service in services)
        self._current_weights = [
            random_source.random() * service.weight for service in services
        ]

    def choose(self) -> str:
        """Return the service to which the next request is sent."""
        if len(self._services) == 1:
            return self._services[0].service
        best = 0
        for index, service in enumerate(self._services):
            self._current_weights[index] += service.weight
            if self._current_weights[index] > self._current_weights[best]:
                best = index
        self._current_weights[best] -= self._total_weight
        return self._services[best].service


class RouteTable:
    """Routes of one version of the configuration, indexed for lookup.

    Parameters
    ----------
    version : int
        Version of the configuration.
    rules : sequence of RouteRule
        Routes of the configuration.
    limits : Limits
        Limits on clients' requests.
    random_source : random.Random
        Random source of the starts of the round-robin sequences.
    """

    __slots__ = ("_by_host", "_round_robins", "limits", "rules", "version")

    def __init__(
        self,
        version: int,
        rules: tuple[RouteRule, ...],
        limits: Limits,
        random_source: random.Random,
    ) -> None:
        self.version = version
        self.rules = rules
        self.limits = limits
        self._round_robins = {
            rule.name: WeightedRoundRobin(rule.parts, random_source) for rule in rules
        }
        self._by_host: dict[str, list[RouteRule]] = {}
        for rule in rules:
            self._by_host.setdefault(rule.host, []).append(rule)
        for host_rules in self._by_host.values():
            host_rules.sort(key=lambda rule: len(rule.prefix), reverse=True)

    def find(self, host: str, target: str) -> RouteRule | None:
        """Return the route with the longest matching prefix, or None."""
        rules = self._by_host.get(host)
        if rules is None:
            rules = self._by_host.get(host.partition(":")[0].lower(), ())
        path = target.partition("?")[0]
        for rule in rules:
            if path.startswith(rule.prefix):
                return rule
        return None

    def choose_service(self, rule: RouteRule) -> str:
        """Return the service to which the next request of a route is sent."""
        return self._round_robins[rule.name].choose()
