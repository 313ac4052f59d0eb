"""The front end for the backend server beside the node."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import msgspec
from tornado.web import RequestHandler

from cassiahatch_kernel.calls import CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.members import MemberState, Route
from cassiahatch_kernel.outcomes import Outcome, convert_unverified_refusal
from cassiahatch_kernel.priorities import Importance
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.backend.client import TOKEN_HEADER
from cassiahatch_node.backend.running import RunningCall
from cassiahatch_node.backend.server import Announcement
from cassiahatch_node.control.messages import Acknowledgement
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.frontends.caller import REQUEST_ID_BYTES, UnknownRouteError
from cassiahatch_node.frontends.handler import CallHandler
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
    """The token belongs to no call that runs now."""

    code = "bad_token"
    status = 403


class BadAnnouncementError(CodedError):
    """The announcement can't be understood."""

    code = "bad_announcement"
    status = 400


@dataclass(slots=True)
class BackendService:
    """What the front end for the backend server needs from its node."""

    settings: Settings
    clock: Clock
    fleet: Fleet
    ingress: Ingress
    router: Router
    announce: Callable[[Announcement], None]
    drain: Callable[[], Awaitable[None]]


class AnnounceHandler(RequestHandler):
    """A backend server tells that it takes calls."""

    def initialize(self, service: BackendService) -> None:
        """Take over what the handler needs."""
        self._service = service

    def post(self) -> None:
        """Take in an announcement; repeating it changes nothing."""
        try:
            announcement = msgspec.json.decode(self.request.body, type=Announcement)
            self._service.announce(announcement)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            write_error(self, BadAnnouncementError(str(error)), "")
            return
        except KeyError as error:
            detail = f"$.routes: unknown importance {error.args[0].lower()!r}"
            write_error(self, BadAnnouncementError(detail), "")
            return
        self.write(msgspec.json.encode(Acknowledgement()))


class DrainHandler(RequestHandler):
    """A backend server tells that it is leaving."""

    def initialize(self, service: BackendService) -> None:
        """Take over what the handler needs."""
        self._service = service

    async def post(self) -> None:
        """Answer when the last call has ended and the backend server may stop."""
        await self._service.drain()
        self.write(msgspec.json.encode(Acknowledgement()))


class LeaveHandler(RequestHandler):
    """A backend server tells that it has stopped."""

    def initialize(self, service: BackendService) -> None:
        """Take over what the handler needs."""
        self._service = service

    def post(self) -> None:
        """Forget the backend server."""
        self._service.ingress.detach()
        self._service.fleet.set_state(MemberState.IDLE)
        self.write(msgspec.json.encode(Acknowledgement()))


class DeeperCallHandler(CallHandler):
    """A call that the backend server makes on behalf of one that it runs."""

    def initialize(self, service: BackendService) -> None:
        """Take over what the handler needs."""
        self._service = service

    async def run_call(self) -> Outcome:
        """Send the call on, on the account of the call that it serves."""
        service = self._service
        name, path = split_path(self.request, skipped=1)
        method = self.request.method or ""
        route = service.router.find_route(name, method, path)
        if route is None:
            raise UnknownRouteError(f"no route {method} {path} of {name}")
        call = read_call(self.request, name, path, route)
        token = self.request.headers.get(TOKEN_HEADER)
        if token is None:
            context = self._make_background_context(route)
            account = PLUGINS.create("retries", service.settings.plugins.retries, 0)
            outcome = await service.router.call(call, context, route, account)
            return convert_unverified_refusal(outcome, call)
        running = service.ingress.running.find(token)
        if running is None:
            raise BadTokenError("the token belongs to no call that runs now")
        self.request_id = running.context.request_id
        task = asyncio.current_task()
        running.deeper.add(task)
        try:
            return convert_unverified_refusal(
                await self._call(running, call, route), call
            )
        finally:
            running.deeper.discard(task)

    async def _call(self, running: RunningCall, call: object, route: Route) -> Outcome:
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
        calls = self._service.settings.calls
        timeout_s = read_timeout_s(
            self.request, calls.max_timeout_s, calls.max_timeout_s
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
