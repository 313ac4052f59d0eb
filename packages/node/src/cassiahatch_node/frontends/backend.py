"""HTTP front end for the local backend server."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import msgspec
from tornado.web import RequestHandler

from cassiahatch_kernel.calls import CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.decoding import UNDECODABLE
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.members import MemberState, Route
from cassiahatch_kernel.outcomes import Outcome, convert_unverified_refusal
from cassiahatch_kernel.priorities import Importance
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.backend.announcement import Announcement
from cassiahatch_node.backend.client import TOKEN_HEADER
from cassiahatch_node.backend.running_calls import RunningCall
from cassiahatch_node.control.messages import Acknowledgement
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.frontends.call_handler import CallHandler
from cassiahatch_node.frontends.caller import REQUEST_ID_BYTES, UnknownRouteError
from cassiahatch_node.frontends.messages import (
    read_call,
    read_timeout_s,
    split_path,
    write_error,
)
from cassiahatch_node.ingress import Ingress
from cassiahatch_node.router import Router
from cassiahatch_node.settings import Settings


class BadTokenError(CodedError):
    """The token belongs to no running call."""

    code = "bad_token"
    status = 403


class BadAnnouncementError(CodedError):
    """The announcement is malformed."""

    code = "bad_announcement"
    status = 400


@dataclass(slots=True)
class BackendService:
    """The parts of the node that the front end for the backend server needs."""

    settings: Settings
    clock: Clock
    fleet: Fleet
    ingress: Ingress
    router: Router
    announce: Callable[[Announcement], None]
    drain: Callable[[], Awaitable[None]]


class AnnounceHandler(RequestHandler):
    """Registers a backend server that is ready for calls."""

    def initialize(self, service: BackendService) -> None:
        """Store the parts of the node."""
        self._service = service

    def post(self) -> None:
        """Register the backend server; a repeated announcement has no effect."""
        try:
            announcement = msgspec.json.decode(self.request.body, type=Announcement)
            self._service.announce(announcement)
        except UNDECODABLE as error:
            write_error(self, BadAnnouncementError(str(error)), "")
            return
        except KeyError as error:
            detail = f"$.routes: unknown importance {error.args[0].lower()!r}"
            write_error(self, BadAnnouncementError(detail), "")
            return
        self.write(msgspec.json.encode(Acknowledgement()))


class DrainHandler(RequestHandler):
    """Drains a backend server that is about to stop."""

    def initialize(self, service: BackendService) -> None:
        """Store the parts of the node."""
        self._service = service

    async def post(self) -> None:
        """Drain, and respond once the backend server may stop.

        This is when its last call has ended, or when draining has timed out.
        """
        await self._service.drain()
        self.write(msgspec.json.encode(Acknowledgement()))


class LeaveHandler(RequestHandler):
    """Removes a backend server that has stopped."""

    def initialize(self, service: BackendService) -> None:
        """Store the parts of the node."""
        self._service = service

    def post(self) -> None:
        """Detach the backend server and publish that the node has none."""
        self._service.ingress.detach()
        self._service.fleet.set_state(MemberState.IDLE)
        self.write(msgspec.json.encode(Acknowledgement()))


class DownstreamCallHandler(CallHandler):
    """Handles a call that the backend server makes to another service.

    With the token of a running call, it is made on behalf of that call and inherits
    its context and retries. Without a token it is a background call, which has no
    retries and at most the importance ``DEFERRABLE``.
    """

    def initialize(self, service: BackendService) -> None:
        """Store the parts of the node."""
        self._service = service

    async def run_call(self) -> Outcome:
        """Send the call to an upstream, as a downstream or a background call."""
        service = self._service
        service_name, path = split_path(self.request, skipped_count=1)
        method = self.request.method or ""
        route = service.router.find_route(service_name, method, path)
        if route is None:
            raise UnknownRouteError(
                f"no route matches {method} {path} of {service_name}"
            )
        call = read_call(self.request, service_name, path, route)
        token = self.request.headers.get(TOKEN_HEADER)
        if token is None:
            context = self._make_background_context(route)
            account = PLUGINS.create("retries", service.settings.plugins.retries, 0)
            outcome = await service.router.call(call, context, route, account)
            return convert_unverified_refusal(outcome, call)
        running = service.ingress.running.find(token)
        if running is None:
            raise BadTokenError("the token belongs to no running call")
        self.request_id = running.context.request_id
        task = asyncio.current_task()
        running.downstream_tasks.add(task)
        try:
            return convert_unverified_refusal(
                await self._call_downstream(running, call, route), call
            )
        finally:
            running.downstream_tasks.discard(task)

    async def _call_downstream(
        self, running: RunningCall, call: object, route: Route
    ) -> Outcome:
        service = self._service
        share = running.account.reserve_for_downstream()
        account = PLUGINS.create("retries", service.settings.plugins.retries, share)
        context = running.context.descend(route.importance, self._read_deadline())
        context = replace(context, retries=share)
        outcome = await service.router.call(call, context, route, account)
        running.account.return_unused(share, account.available)
        running.raise_level(outcome.level)
        return outcome

    def _read_deadline(self) -> float:
        call_settings = self._service.settings.calls
        timeout_s = read_timeout_s(
            self.request, call_settings.max_timeout_s, call_settings.max_timeout_s
        )
        return self._service.clock.monotonic() + timeout_s

    def _make_background_context(self, route: Route) -> CallContext:
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)
        return CallContext(
            request_id=self.request_id,
            customer="",
            importance=min(route.importance, Importance.DEFERRABLE),
            plan_rank=0,
            deadline=self._read_deadline(),
            retries=0,
        )
