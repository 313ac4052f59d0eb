"""The front end for outside callers."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Any

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.outcomes import (
    Outcome,
    Refusal,
    Unknown,
    convert_unverified_refusal,
)
from cassiahatch_kernel.plans import Plan, allows_service
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.control.quota import QuotaClient
from cassiahatch_node.fleet import Fleet
from cassiahatch_node.frontends.call_handler import CallHandler
from cassiahatch_node.frontends.messages import read_call, read_timeout_s, split_path
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_node.router import Router
from cassiahatch_node.settings import Settings

REQUEST_ID_BYTES = 16
BEARER = "Bearer "


class NotReadyError(CodedError):
    """The node has no lists yet and can judge no call."""

    code = "not_ready"
    status = 503


class UnknownCustomerError(CodedError):
    """No customer holds the key that the caller sent."""

    code = "unknown_customer"
    status = 401


class ServiceNotInPlanError(CodedError):
    """The customer's plan does not have the service."""

    code = "service_not_in_plan"
    status = 403


class UnknownRouteError(CodedError):
    """No upstream announced such a route."""

    code = "unknown_route"
    status = 404


@dataclass(slots=True)
class CallerService:
    """What the front end for callers needs from its node."""

    settings: Settings
    clock: Clock
    fleet: Fleet
    router: Router
    quota: QuotaClient
    metrics: Metrics


class CallerHandler(CallHandler):
    """One request of an outside caller: the top of a tree of calls."""

    def initialize(self, service: CallerService) -> None:
        """Take over what the handler needs."""
        self._service = service
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)

    async def run_call(self) -> Outcome:
        """Judge the request, pay for it, and send it on."""
        service = self._service
        started = service.clock.monotonic()
        customer, plan = self._find_customer()
        name, path = split_path(self.request, skipped=0)
        if not allows_service(plan, name):
            raise ServiceNotInPlanError(f"the plan of {customer} does not have {name}")
        method = self.request.method or ""
        route = service.router.find_route(name, method, path)
        if route is None:
            raise UnknownRouteError(f"no route {method} {path} of {name}")
        call = read_call(self.request, name, path, route)
        calls = service.settings.calls
        timeout_s = read_timeout_s(
            self.request, calls.default_timeout_s, calls.max_timeout_s
        )
        context = CallContext(
            request_id=self.request_id,
            customer=customer,
            importance=route.importance,
            plan_rank=plan.importance,
            deadline=started + timeout_s,
            retries=calls.retries,
        )
        outcome = await self._pay_and_send(call, context, route)
        service.metrics.record("request", service.clock.monotonic() - started)
        service.metrics.count(f"requests:{type(outcome).__name__.lower()}")
        settled = convert_unverified_refusal(outcome, call)
        if isinstance(settled, Unknown) and not call.idempotent:
            service.metrics.count("once_unknown")
        return settled

    async def _pay_and_send(
        self, call: Call, context: CallContext, route: Any
    ) -> Outcome:
        service = self._service
        if not await service.quota.pay(context.customer):
            service.metrics.count("refused:quota_exceeded")
            detail = f"the plan of {context.customer} allows no more now"
            self.set_header("Retry-After", "1")
            return Refusal("quota_exceeded", detail, 429)
        account = PLUGINS.create(
            "retries", service.settings.plugins.retries, context.retries
        )
        return await service.router.call(call, context, route, account)

    def _find_customer(self) -> tuple[str, Plan]:
        plans = self._service.fleet.plans
        if not self._service.fleet.is_ready:
            raise NotReadyError("this node has no accepted lists yet")
        text = self.request.headers.get("Authorization", "")
        customer = plans.find_customer(text.removeprefix(BEARER))
        plan = plans.find_plan(customer) if customer else None
        if customer is None or plan is None or not text.startswith(BEARER):
            raise UnknownCustomerError("no customer holds this bearer key")
        return customer, plan
