"""Clients' requests after decoding, and what is answered to them."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.exchanges import Rejection, Reply, Request, Result
from cassiahatch_kernel.routes import RouteRule
from cassiahatch_kernel.rulesets import Ruleset
from cassiahatch_policies.pipelining import Place


class RoutedRequest(msgspec.Struct):
    """A decoded request with its route."""

    request: Request
    route: RouteRule | Rejection
    """The route, or the rejection of a request that has none."""
    rules: Ruleset | None
    """Routes and teams by which it was decoded and routed; None if there were none."""
    is_checked: bool
    """Whether it was admitted before its body was read."""
    keeps_alive: bool
    """Whether its client wants to use the connection further."""


class InvalidRequest(msgspec.Struct):
    """A request that could not be decoded; its answer closes the connection."""

    error: str


ClientRequest = RoutedRequest | InvalidRequest


class Answer(msgspec.Struct):
    """The result of a request, before it is encoded for its client."""

    request: Request | None
    """None if the request could not be decoded."""
    result: Result

    @property
    def size(self) -> int:
        """Bytes of a reply; 0 for the short answers that the node makes itself."""
        match self.result:
            case Reply(head=head, body=body):
                return len(head) + len(body)
            case _:
                return 0


def find_place(request: ClientRequest) -> Place:
    """Return what a request means for the other requests of its connection.

    One without a route runs nowhere, so it may be answered beside others.
    """
    match request:
        case RoutedRequest(route=RouteRule() as rule):
            return Place(rule.is_idempotent, not request.keeps_alive)
        case RoutedRequest():
            return Place(True, not request.keeps_alive)
        case InvalidRequest():
            return Place(True, True)


def get_id(request: ClientRequest) -> str:
    """Return the id of a request; empty if it could not be decoded."""
    match request:
        case RoutedRequest(request=decoded):
            return decoded.id
        case InvalidRequest():
            return ""
