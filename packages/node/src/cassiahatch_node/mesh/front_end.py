"""Front end for clients: decodes requests, and encodes results as HTTP responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import (
    Indeterminate,
    Reason,
    Rejection,
    Reply,
    Request,
    Result,
)
from cassiahatch_kernel.routes import RouteRule
from cassiahatch_kernel.rulesets import Ruleset
from cassiahatch_node.mesh.answer_memory import AnswerMemory
from cassiahatch_node.mesh.client_connection import (
    STOPPING_RETRY_AFTER_S,
    ClientConnection,
)
from cassiahatch_node.mesh.client_requests import (
    Answer,
    ClientRequest,
    InvalidRequest,
    RoutedRequest,
)
from cassiahatch_node.mesh.dialect import BadRequestError, Dialect
from cassiahatch_node.mesh.egress import Egress, compute_expiry
from cassiahatch_node.mesh.http_messages import RawRequest
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.quota_payments import QuotaPayments
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.identification import Identity

DEFAULT_WAIT_S = 60.0
"""Time for which a client that names no deadline is taken to wait for its answer."""
DEFAULT_RETRY_AFTER_S = 0.2
"""``Retry-After`` of a rejection that gives no time of its own."""
NOT_READY_RETRY_AFTER_S = 0.5
"""``Retry-After`` sent while the node has no configuration."""


class Admission(msgspec.Struct, frozen=True):
    """The route and the identity of a request that may be served."""

    rules: Ruleset
    """Routes and teams by which it was admitted."""
    rule: RouteRule
    identity: Identity


class FrontEnd:
    """Serves client requests in the encoding of a dialect.

    Parameters
    ----------
    dialect : Dialect
        Encoding of requests and responses.
    egress : Egress
        Sends the requests to backend servers.
    payments : QuotaPayments
        Pays for the requests out of their teams' quotas.
    answer_memory : AnswerMemory
        Accounts for the answers that clients have not read.
    """

    def __init__(
        self,
        dialect: Dialect,
        egress: Egress,
        payments: QuotaPayments,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
        answer_memory: AnswerMemory,
        is_stopping: Callable[[], bool],
        compute_earliest_sending: Callable[[float], float],
    ) -> None:
        self._dialect = dialect
        self._egress = egress
        self._payments = payments
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._answer_memory = answer_memory
        self._is_stopping = is_stopping
        self._compute_earliest_sending = compute_earliest_sending
        self.stop_admission: Any = None
        """The plug-in that admits requests while the node stops; None before."""

    def check(self, raw: RawRequest) -> Rejection | None:
        """Return why a request whose head has been read can't be served, or None."""
        rules = self._egress.rules
        try:
            request = self._decode(raw, rules)
        except BadRequestError:
            return Rejection(Reason.BAD_REQUEST)
        match self._admit(request, rules, find_route(request, rules)):
            case Rejection() as rejection:
                return rejection
            case _:
                return None

    def route(self, raw: RawRequest) -> ClientRequest:
        """Decode a request and find its route, without any effect."""
        rules = self._egress.rules
        try:
            request = self._decode(raw, rules)
        except BadRequestError as error:
            return InvalidRequest(str(error))
        route = find_route(request, rules)
        return RoutedRequest(request, route, rules, raw.is_checked, raw.keeps_alive)

    async def answer(self, routed: ClientRequest) -> Answer:
        """Serve a request, and return what to send to its client."""
        match routed:
            case InvalidRequest(error=error):
                self._journal.trace("bad_request", error=error)
                return Answer(None, Rejection(Reason.BAD_REQUEST))
            case RoutedRequest(request=request):
                pass
        match self._admit(request, routed.rules, routed.route, routed.is_checked):
            case Admission() as admission:
                result = await self._serve(request, admission)
            case rejection:
                result = rejection
        # Its memory is released now, while the answer may still wait to be sent.
        request.body = b""
        return Answer(request, result)

    async def send(self, connection: ClientConnection, answer: Answer) -> None:
        """Write the answer to a connection's oldest request.

        Whether it is the last one is decided here: more requests may have been read
        while the answer waited for its turn.
        """
        request, result = answer.request, answer.result
        del answer
        if request is None:
            self.reject(connection, result)
            return
        if self._is_stopping() and not connection.has_next_request:
            connection.closes = True
        self._record_result(request, result)
        data = self._render(request, result, connection.closes)
        del result
        connection.write(data, compute_client_expiry(request))
        if connection.is_clogged:
            with self._answer_memory.hold(len(data)):
                del data
                await connection.drain()

    def reject(
        self,
        connection: ClientConnection,
        rejection: Rejection,
        raw: RawRequest | None = None,
    ) -> None:
        """Respond to a request that is not read to its end; close the connection.

        Parameters
        ----------
        raw : RawRequest, optional
            The head of the request, if it has been read.
        """
        connection.closes = True
        try:
            request = None
            if raw is not None:
                rules = self._egress.rules
                request = self._dialect.decode_request(raw, has_teams(rules))
        except BadRequestError:
            request = None
        if request is not None:
            self._record_result(request, rejection)
            data = self._render(request, rejection, True)
            connection.write(data, compute_client_expiry(request))
            return
        self._metrics.count(f"requests:{rejection.reason}")
        status = find_status(rejection)
        data = self._dialect.encode_failure(status, "", rejection, True)
        connection.write(data, self._clock.monotonic() + DEFAULT_WAIT_S)

    def record_undelivered(
        self, request_id: str, reason: str, pending_bytes: int
    ) -> None:
        """Log and count an answer that its client has not received."""
        self._metrics.count(f"undelivered_answers:{reason}")
        self._journal.trace(
            "answer_undelivered",
            request=request_id,
            reason=reason,
            pending_bytes=pending_bytes,
        )

    def _decode(self, raw: RawRequest, rules: Ruleset | None) -> Request:
        """Decode a request, dated to when its client may have sent it.

        Raises
        ------
        BadRequestError
            If the request lacks a required header or value.
        """
        request = self._dialect.decode_request(raw, has_teams(rules))
        request.arrived = self._compute_earliest_sending(raw.arrived)
        return request

    async def _serve(self, request: Request, admission: Admission) -> Result:
        """Serve an admitted request once its team's quota has paid for it.

        The quota is checked last, so that it pays for no request that is rejected before.
        """
        team = admission.identity.team
        paid = self._payments.try_pay(admission.identity)
        if paid is False:
            paid = await self._payments.wait_for_unit(request, team)
            if isinstance(paid, Rejection):
                return paid
            match self._admit_again(request, team):
                case Admission() as admission:
                    pass
                case rejection:
                    self._payments.give_back(team, paid)
                    return rejection
        result = await self._egress.serve(
            request, admission.rules, admission.rule, admission.identity
        )
        if isinstance(result, Rejection):
            self._payments.give_back(team, paid)
        return result

    def _admit_again(self, request: Request, team: str) -> Admission | Rejection:
        """Admit a request that has waited, by what is in force after the wait.

        Meanwhile its route may have been moved or removed, its key withdrawn, and its
        deadline or the configuration lease may have passed.

        Parameters
        ----------
        team : str
            The team whose quota has paid for the request.
        """
        rules = self._egress.rules
        match self._admit(request, rules, find_route(request, rules), is_checked=True):
            case Admission(identity=Identity(has_key=True, team=name)) if name != team:
                outcome = Rejection(Reason.CONFIGURATION_CHANGED, DEFAULT_RETRY_AFTER_S)
            case outcome:
                pass
        if isinstance(outcome, Rejection):
            self._journal.trace(
                "refused_after_wait",
                request=request.id,
                reason=outcome.reason,
                team=team,
                version=rules.routes.version,
            )
        return outcome

    def _admit(
        self,
        request: Request,
        rules: Ruleset | None,
        route: RouteRule | Rejection,
        is_checked: bool = False,
    ) -> Admission | Rejection:
        """Admit a request, or return why it is rejected.

        Parameters
        ----------
        rules : Ruleset or None
            Routes and teams by which it was decoded and routed.
        route : RouteRule or Rejection
            Its route, or the rejection of a request that has none.
        is_checked : bool, optional
            Whether it was admitted before its body was read. The cutoff is not applied
            again, but the deadline and the configuration may have changed since.
        """
        match route:
            case RouteRule() as rule:
                rejection = self._find_late_rejection(request, rule)
            case rejection:
                return rejection
        if rejection is not None:
            return rejection
        match self._egress.identify(request, rules, rule):
            case Identity() as identity if is_checked:
                return Admission(rules, rule, identity)
            case Identity() as identity:
                rejection = self._egress.find_overload(request, rule, identity)
                return rejection or Admission(rules, rule, identity)
            case rejection:
                return rejection

    def _find_late_rejection(
        self, request: Request, rule: RouteRule
    ) -> Rejection | None:
        """Return why there is too little time for a request, or None if there is enough.

        Its deadline may have passed, or the node stops and might end before it.
        """
        expires_at, now = compute_expiry(request, rule), self._clock.monotonic()
        if expires_at <= now:
            return Rejection(Reason.EXPIRED)
        stop = self.stop_admission
        if stop is not None and not stop.admits(expires_at, now):
            return Rejection(Reason.STOPPING, STOPPING_RETRY_AFTER_S)
        return None

    def _render(self, request: Request, result: Result, closes: bool) -> bytes:
        match result:
            case Reply():
                return self._dialect.encode_reply(result, closes)
            case Rejection():
                response_rejection = result
                if find_status(result) == 503 and result.retry_after_s <= 0:
                    response_rejection = Rejection(result.reason, DEFAULT_RETRY_AFTER_S)
            case Indeterminate():
                response_rejection = Rejection(result.reason)
        status = find_status(result)
        has_body = request.method != "HEAD"
        return self._dialect.encode_failure(
            status, request.id, response_rejection, closes, has_body
        )

    def _record_result(self, request: Request, result: Result) -> None:
        spent_s = self._clock.monotonic() - request.arrived
        self._metrics.sample("request", spent_s)
        match result:
            case Reply(status=status) if status < 500:
                self._metrics.count("requests:answered")
            case Reply(status=status):
                self._metrics.count("requests:answered_with_failure")
                self._journal.trace(
                    "answered_with_failure",
                    request=request.id,
                    status=status,
                    spent_s=round(spent_s, 4),
                )
            case _:
                self._metrics.count(f"requests:{result.reason}")
                self._journal.trace(
                    "not_answered",
                    request=request.id,
                    target=request.target,
                    reason=result.reason,
                    status=find_status(result),
                    spent_s=round(spent_s, 4),
                )


def has_teams(rules: Ruleset | None) -> bool:
    """Return whether requests need keys, by the rules in force, if there are any."""
    return rules is not None and rules.teams.has_teams


def find_route(request: Request, rules: Ruleset | None) -> RouteRule | Rejection:
    """Return the route of a request, or a rejection if there is none."""
    if rules is None:
        return Rejection(Reason.NO_CONFIGURATION, NOT_READY_RETRY_AFTER_S)
    route = rules.routes.find(request.host, request.target)
    return route or Rejection(Reason.NO_ROUTE)


def compute_client_expiry(request: Request) -> float:
    """Return until when the client waits for its answer, in monotonic seconds."""
    timeout_s = request.timeout_s
    return request.arrived + (DEFAULT_WAIT_S if timeout_s is None else timeout_s)


def find_status(result: Rejection | Indeterminate) -> int:
    """Return the HTTP status for a request that got no reply."""
    match result:
        case Rejection(reason=Reason.BAD_REQUEST):
            return 400
        case Rejection(reason=Reason.UNKNOWN_KEY):
            return 401
        case Rejection(reason=Reason.NO_ROUTE):
            return 404
        case Rejection(reason=Reason.SLOW_REQUEST):
            return 408
        case Rejection(reason=Reason.BODY_TOO_LARGE):
            return 413
        case Rejection(reason=Reason.QUOTA_EXCEEDED):
            return 429
        case Rejection(reason=Reason.HEADERS_TOO_LARGE):
            return 431
        case Rejection():
            return 503
        case Indeterminate(reason=Reason.DEADLINE | Reason.ROUTE_TIMEOUT):
            return 504
        case _:
            return 502
