"""The front end for peers and operators: control exchanges, health and metrics."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.web import RequestHandler

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.plans import AcceptedLists, check_lists
from cassiahatch_node.control.gossip import Gossip
from cassiahatch_node.control.messages import (
    Acknowledgement,
    ErrorBody,
    GossipRequest,
    GrantRequest,
    HandoverRequest,
)
from cassiahatch_node.control.quota import QuotaKeeper
from cassiahatch_node.control.status import NodeStatus
from cassiahatch_node.control.tenures import TenureKeeper
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.frontends.messages import BadRequestError
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.observability.tracing import Tracing
from cassiahatch_node.peers.link import PEER_KEY_HEADER


class BadPeerKeyError(CodedError):
    """The sender does not hold the fleet's key."""

    code = "bad_peer_key"
    status = 403


class NoListsError(CodedError):
    """No accepted lists are known to this node."""

    code = "not_ready"
    status = 503


@dataclass(slots=True)
class ControlService:
    """What the control front end needs from its node."""

    key: str
    fleet: Fleet
    gossip: Gossip
    keeper: QuotaKeeper
    tenures: TenureKeeper
    metrics: Metrics
    tracing: Tracing
    read_status: Callable[[], NodeStatus]


class ControlHandler(RequestHandler):
    """Checks the fleet's key and turns errors into their codes."""

    def initialize(self, service: ControlService) -> None:
        """Take over what the handler needs."""
        self.service = service

    def prepare(self) -> None:
        """Refuse whoever does not hold the fleet's key."""
        offered = self.request.headers.get(PEER_KEY_HEADER, "")
        if not hmac.compare_digest(offered.encode(), self.service.key.encode()):
            self.fail(BadPeerKeyError("the fleet's key is missing or wrong"))
            self.finish()

    def read(self, kind: type) -> Any:
        """Return the message in the request.

        Raises
        ------
        BadRequestError
            If it is not a ``kind``.
        """
        try:
            return msgspec.json.decode(self.request.body, type=kind)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise BadRequestError(str(error)) from None

    def reply(self, message: Any) -> None:
        """Answer with a message."""
        body = msgspec.json.encode(message)
        self.service.metrics.count("control_replies")
        self.service.metrics.count("control_bytes_replied", len(body))
        self.set_header("Content-Type", "application/json")
        self.write(body)

    def fail(self, error: CodedError) -> None:
        """Answer with an error."""
        self.set_status(error.status)
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(ErrorBody(error.code, error.detail)))

    def handle(self) -> Any:
        """Return the reply to the request."""
        raise NotImplementedError

    def get(self) -> None:
        """Answer the request."""
        try:
            self.reply(self.handle())
        except CodedError as error:
            self.fail(error)

    post = get


class GossipHandler(ControlHandler):
    """A peer tells its news and asks for ours."""

    def handle(self) -> Any:
        """Return what the peer lacks."""
        return self.service.gossip.reply(self.read(GossipRequest))


class StateHandler(ControlHandler):
    """A starting node asks for everything."""

    def handle(self) -> Any:
        """Return all members and the lists."""
        return self.service.gossip.list_state()


class ListsHandler(ControlHandler):
    """An operator's command hands on lists that were accepted."""

    def handle(self) -> Any:
        """Put the lists in force if they are newer."""
        if self.request.method == "GET":
            return self.service.fleet.plans.accepted
        accepted = self.read(AcceptedLists)
        check_lists(accepted.lists)
        if self.service.fleet.adopt_lists(accepted):
            self.service.gossip.trigger_round()
        return Acknowledgement()


class GrantsHandler(ControlHandler):
    """A node asks a keeper for units."""

    def handle(self) -> Any:
        """Return the units given."""
        return self.service.keeper.grant(self.read(GrantRequest))


class HandoverHandler(ControlHandler):
    """A holder sends the records of a tenure that it gives up."""

    def handle(self) -> Any:
        """Keep the records until the table shows the hand-over."""
        self.service.tenures.stage(self.read(HandoverRequest))
        return Acknowledgement()


class StatusHandler(ControlHandler):
    """An operator's command asks how the node does."""

    def handle(self) -> Any:
        """Return the status."""
        return self.service.read_status()


class SpansHandler(ControlHandler):
    """An operator's command asks where a request went."""

    def handle(self) -> Any:
        """Return the recent spans of a trace or of a request."""
        wanted = self.get_query_argument("id")
        return [
            span
            for span in self.service.tracing.recent.spans
            if wanted in (span.trace_id, span.attributes.get("request_id"))
        ]


class OpenHandler(RequestHandler):
    """What anybody may read."""

    def initialize(self, service: ControlService) -> None:
        """Take over what the handler needs."""
        self.service = service


class HealthHandler(OpenHandler):
    """Tells that the process lives."""

    def get(self) -> None:
        """Answer that it does."""
        self.write(msgspec.json.encode(Acknowledgement()))


class ReadinessHandler(OpenHandler):
    """Tells whether the node can judge calls."""

    def get(self) -> None:
        """Answer with the reason if it can't."""
        if self.service.fleet.is_ready:
            self.write(msgspec.json.encode(Acknowledgement()))
            return
        error = NoListsError("no accepted lists from the table or from a peer yet")
        self.set_status(error.status)
        self.write(msgspec.json.encode(ErrorBody(error.code, error.detail)))


class MetricsHandler(OpenHandler):
    """Gives out counters and histograms."""

    def get(self) -> None:
        """Answer in the text format that Prometheus reads."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.service.metrics.render())
