"""HTTP front end for peers and operators: control requests, health and metrics."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from tornado.web import RequestHandler

from cassiahatch_kernel.decoding import UNDECODABLE
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
from cassiahatch_node.control.tenures import TenureManager
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.frontends.messages import BadRequestError
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.observability.tracing import Tracing
from cassiahatch_node.peers.link import PEER_KEY_HEADER


class BadPeerKeyError(CodedError):
    """The request has no peer key, or a wrong one."""

    code = "bad_peer_key"
    status = 403


class NoListsError(CodedError):
    """The node has no accepted plan lists yet."""

    code = "not_ready"
    status = 503


@dataclass(slots=True)
class ControlService:
    """The parts of the node that the control front end needs."""

    peer_key: str
    fleet: Fleet
    gossip: Gossip
    quota_keeper: QuotaKeeper
    tenures: TenureManager
    metrics: Metrics
    tracing: Tracing
    read_status: Callable[[], NodeStatus]


class ControlHandler(RequestHandler):
    """Base class that checks the peer key and responds to errors with their codes."""

    def initialize(self, service: ControlService) -> None:
        """Store the parts of the node."""
        self.service = service

    def prepare(self) -> None:
        """Reject a request without the peer key, or with a wrong one."""
        sent_key = self.request.headers.get(PEER_KEY_HEADER, "")
        if not hmac.compare_digest(sent_key.encode(), self.service.peer_key.encode()):
            self.reply_error(BadPeerKeyError(f"{PEER_KEY_HEADER} is missing or wrong"))
            self.finish()

    def decode_body(self, body_type: type) -> Any:
        """Return the decoded body of the request.

        Raises
        ------
        BadRequestError
            If the body is not a valid ``body_type``.
        """
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except UNDECODABLE as error:
            raise BadRequestError(str(error)) from None

    def reply(self, message: Any) -> None:
        """Respond with a message."""
        body = msgspec.json.encode(message)
        self.service.metrics.count("control_replies")
        self.service.metrics.count("control_bytes_replied", len(body))
        self.set_header("Content-Type", "application/json")
        self.write(body)

    def reply_error(self, error: CodedError) -> None:
        """Respond with the status and code of an error."""
        self.set_status(error.status)
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(ErrorBody(error.code, error.detail)))

    def handle(self) -> Any:
        """Process the request and return the reply."""
        raise NotImplementedError

    def get(self) -> None:
        """Handle the request, and respond with the reply or with the error raised."""
        try:
            self.reply(self.handle())
        except CodedError as error:
            self.reply_error(error)

    post = get


class GossipHandler(ControlHandler):
    """Exchanges recent updates with a peer."""

    def handle(self) -> Any:
        """Apply the peer's updates and return those that it is missing."""
        return self.service.gossip.reply(self.decode_body(GossipRequest))


class StateHandler(ControlHandler):
    """Serves the complete state to a starting node."""

    def handle(self) -> Any:
        """Return all members and the plan lists."""
        return self.service.gossip.get_state()


class ListsHandler(ControlHandler):
    """Serves the accepted plan lists, and receives them from an operator's command."""

    def handle(self) -> Any:
        """Return the plan lists, or put received ones in force if they are newer."""
        if self.request.method == "GET":
            return self.service.fleet.plans.accepted
        accepted = self.decode_body(AcceptedLists)
        check_lists(accepted.lists)
        if self.service.fleet.adopt_lists(accepted):
            self.service.gossip.trigger_round()
        return Acknowledgement()


class GrantsHandler(ControlHandler):
    """Grants quota units that another node requests."""

    def handle(self) -> Any:
        """Return the granted units."""
        return self.service.quota_keeper.grant(self.decode_body(GrantRequest))


class HandoverHandler(ControlHandler):
    """Receives the key records of a tenure that its holder hands over."""

    def handle(self) -> Any:
        """Stage the records until the table shows that this node holds the tenure."""
        self.service.tenures.stage(self.decode_body(HandoverRequest))
        return Acknowledgement()


class StatusHandler(ControlHandler):
    """Serves the status of the node to an operator's command."""

    def handle(self) -> Any:
        """Return the status of the node."""
        return self.service.read_status()


class SpansHandler(ControlHandler):
    """Serves the spans of one request to an operator's command."""

    def handle(self) -> Any:
        """Return the recent spans with the requested trace id or request id."""
        requested_id = self.get_query_argument("id")
        return [
            span
            for span in self.service.tracing.recent.spans
            if requested_id in (span.trace_id, span.attributes.get("request_id"))
        ]


class UnauthenticatedHandler(RequestHandler):
    """Base class of handlers that require no peer key."""

    def initialize(self, service: ControlService) -> None:
        """Store the parts of the node."""
        self.service = service


class HealthHandler(UnauthenticatedHandler):
    """Liveness check of the process."""

    def get(self) -> None:
        """Respond that the process is alive."""
        self.write(msgspec.json.encode(Acknowledgement()))


class ReadinessHandler(UnauthenticatedHandler):
    """Readiness check: whether the node has the plan lists to authorize calls."""

    def get(self) -> None:
        """Respond with an error and its reason if the node is not ready."""
        if self.service.fleet.is_ready:
            self.write(msgspec.json.encode(Acknowledgement()))
            return
        error = NoListsError(
            "no accepted plan lists received from the table or a peer yet"
        )
        self.set_status(error.status)
        self.write(msgspec.json.encode(ErrorBody(error.code, error.detail)))


class MetricsHandler(UnauthenticatedHandler):
    """Serves counters and histograms."""

    def get(self) -> None:
        """Respond in the text format of Prometheus."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self.service.metrics.render())
