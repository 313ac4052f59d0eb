"""The routes in force: which service a request goes to, and what may be done with it."""

from __future__ import annotations

import random

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """One of the services among which a route's requests are divided."""

    service: str
    weight: float = 1.0


class RouteRule(msgspec.Struct, frozen=True):
    """What the operator's configuration says of one route."""

    name: str
    host: str
    prefix: str
    """Start of the paths that belong to the route; begins and ends with a slash."""
    parts: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    """Backend servers to which one request may be sent."""
    priority: int
    """Rank of the route; 0 is the most urgent."""


class Limits(msgspec.Struct, frozen=True):
    """What a client may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class WeightedRoundRobin:
    """Divides a route's requests in the proportions of its parts' weights.

    Each request goes to the part that is furthest behind its share, so that a
    short run of requests keeps the proportions too.

    Parameters
    ----------
    parts : tuple of WeightedService
        The services and their weights.
    source : random.Random
        Where the start of the sequence comes from, so that nodes differ.
    """

    __slots__ = ("_behind", "_parts", "_total")

    def __init__(
        self, parts: tuple[WeightedService, ...], source: random.Random
    ) -> None:
        self._parts = parts
        self._total = sum(part.weight for part in parts)
        self._behind = [source.random() * part.weight for part in parts]

    def choose(self) -> str:
        """Return the service of the next request."""
        if len(self._parts) == 1:
            return self._parts[0].service
        best = 0
        for index, part in enumerate(self._parts):
            self._behind[index] += part.weight
            if self._behind[index] > self._behind[best]:
                best = index
        self._behind[best] -= self._total
        return self._parts[best].service


class RouteTable:
    """One version of the routes, indexed for look-up.

    Parameters
    ----------
    version : int
        Version of the configuration.
    rules : sequence of RouteRule
        Its routes.
    limits : Limits
        Bounds on what clients send.
    source : random.Random
        Random source of the dividers.
    """

    __slots__ = ("_by_host", "_dividers", "limits", "rules", "version")

    def __init__(
        self,
        version: int,
        rules: tuple[RouteRule, ...],
        limits: Limits,
        source: random.Random,
    ) -> None:
        self.version = version
        self.rules = rules
        self.limits = limits
        self._dividers = {
            rule.name: WeightedRoundRobin(rule.parts, source) for rule in rules
        }
        self._by_host: dict[str, list[RouteRule]] = {}
        for rule in rules:
            self._by_host.setdefault(rule.host, []).append(rule)
        for found in self._by_host.values():
            found.sort(key=lambda rule: len(rule.prefix), reverse=True)

    def find(self, host: str, target: str) -> RouteRule | None:
        """Return the route with the longest prefix of the path, or None."""
        rules = self._by_host.get(host)
        if rules is None:
            rules = self._by_host.get(host.partition(":")[0].lower(), ())
        path = target.partition("?")[0]
        for rule in rules:
            if path.startswith(rule.prefix):
                return rule
        return None

    def choose_service(self, rule: RouteRule) -> str:
        """Return the service that the next request of a route goes to."""
        return self._dividers[rule.name].choose()
