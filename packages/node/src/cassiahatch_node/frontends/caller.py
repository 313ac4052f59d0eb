"""HTTP front end for external callers."""

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
BEARER_PREFIX = "Bearer "


class NotReadyError(CodedError):
    """The node has no plan lists yet, which it needs to authorize calls."""

    code = "not_ready"
    status = 503


class UnknownCustomerError(CodedError):
    """The key that the caller sent belongs to no customer."""

    code = "unknown_customer"
    status = 401


class ServiceNotInPlanError(CodedError):
    """The customer's plan does not include the service."""

    code = "service_not_in_plan"
    status = 403


class UnknownRouteError(CodedError):
    """No upstream has announced a route that matches the call."""

    code = "unknown_route"
    status = 404


@dataclass(slots=True)
class CallerService:
    """The parts of the node that the front end for callers needs."""

    settings: Settings
    clock: Clock
    fleet: Fleet
    router: Router
    quota: QuotaClient
    metrics: Metrics


class CallerHandler(CallHandler):
    """Handles a request of an external caller, which is a root request."""

    def initialize(self, service: CallerService) -> None:
        """Store the parts of the node, and create the request id."""
        self._service = service
        self.request_id = secrets.token_hex(REQUEST_ID_BYTES)

    async def run_call(self) -> Outcome:
        """Authorize the request, charge it to the quota and send it to an upstream."""
        service = self._service
        started = service.clock.monotonic()
        customer, plan = self._authenticate()
        service_name, path = split_path(self.request, skipped_count=0)
        if not allows_service(plan, service_name):
            raise ServiceNotInPlanError(
                f"the plan of customer {customer} does not include {service_name}"
            )
        method = self.request.method or ""
        route = service.router.find_route(service_name, method, path)
        if route is None:
            raise UnknownRouteError(
                f"no route matches {method} {path} of {service_name}"
            )
        call = read_call(self.request, service_name, path, route)
        call_settings = service.settings.calls
        timeout_s = read_timeout_s(
            self.request, call_settings.default_timeout_s, call_settings.max_timeout_s
        )
        context = CallContext(
            request_id=self.request_id,
            customer=customer,
            importance=route.importance,
            plan_rank=plan.importance,
            deadline=started + timeout_s,
            retries=call_settings.retries,
        )
        outcome = await self._pay_and_send(call, context, route)
        service.metrics.record("request", service.clock.monotonic() - started)
        service.metrics.count(f"requests:{type(outcome).__name__.lower()}")
        final_outcome = convert_unverified_refusal(outcome, call)
        if isinstance(final_outcome, Unknown) and not call.idempotent:
            service.metrics.count("once_unknown")
        return final_outcome

    async def _pay_and_send(
        self, call: Call, context: CallContext, route: Any
    ) -> Outcome:
        service = self._service
        if not await service.quota.pay(context.customer):
            service.metrics.count("refused:quota_exceeded")
            detail = (
                f"the quota of customer {context.customer} is exhausted; retry later"
            )
            self.set_header("Retry-After", "1")
            return Refusal("quota_exceeded", detail, 429)
        account = PLUGINS.create(
            "retries", service.settings.plugins.retries, context.retries
        )
        return await service.router.call(call, context, route, account)

    def _authenticate(self) -> tuple[str, Plan]:
        plans = self._service.fleet.plans
        if not self._service.fleet.is_ready:
            raise NotReadyError("this node has no accepted plan lists yet")
        authorization = self.request.headers.get("Authorization", "")
        customer = plans.find_customer(authorization.removeprefix(BEARER_PREFIX))
        plan = plans.find_plan(customer) if customer else None
        if (
            customer is None
            or plan is None
            or not authorization.startswith(BEARER_PREFIX)
        ):
            raise UnknownCustomerError(
                "expected Authorization: Bearer KEY, with the key of a customer"
            )
        return customer, plan
