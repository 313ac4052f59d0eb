"""Cause of a failed request, determined from the log lines of many nodes."""

from __future__ import annotations

import fileinput
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from cassiahatch_kernel.exchanges import Reason

CALL_SEPARATOR = "."
"""Separates the id of a request from that of a call made while the request runs."""
STEP_FIELDS = ("at", "node", "event", "request")
"""Fields of a record that are attributes of ``Step``; all others are details."""

NON_FAILURE_EVENTS = ("sent_again", "span")
"""Events that trace the path of a request and are not failures."""

CAUSES = {
    Reason.BAD_REQUEST: "the request lacks what every request must bear",
    Reason.HEADERS_TOO_LARGE: "the headers exceed the configured limit",
    Reason.BODY_TOO_LARGE: "the body exceeds the configured limit",
    Reason.SLOW_REQUEST: "the client took too long to send the request",
    Reason.BODY_MEMORY_FULL: "a node held as many bytes of request bodies as it may",
    Reason.NO_CONFIGURATION: "the node knew no configuration yet",
    Reason.NO_ROUTE: "no route of the configuration in force fits",
    Reason.UNKNOWN_KEY: "the request carries no key of a team, or several",
    Reason.UNKNOWN_PARENT: "the call belongs to no run that the node knows",
    Reason.QUOTA_EXCEEDED: "the team had used up its quota",
    Reason.QUOTA_UNKNOWN: "no keeper answered for the team's quota in time",
    Reason.CONFIGURATION_CHANGED: "its key went to another team while it waited",
    Reason.CONFIGURATION_EXPIRED: "nobody had confirmed the configuration recently",
    Reason.NO_MEMBER: "no backend server of the service could be reached",
    Reason.EDGE_OVERLOAD: "refused at the edge: a service at or below is overloaded",
    Reason.UNREACHABLE: "no link to the chosen node",
    Reason.LINK_LOST: "the link broke while the request was under way",
    Reason.NO_BACKEND: "the node knew no backend server that takes connections",
    Reason.OTHER_INSTANCE: "another process had taken the backend server's place",
    Reason.DRAINING: "the backend server was leaving",
    Reason.STOPPING: "the node was stopping",
    Reason.EXPIRED: "its deadline had passed when it had been read",
    Reason.QUEUE_FULL: "the queue was too long to answer in time",
    Reason.QUEUE_EXPIRED: "it waited in the queue until too little time was left",
    Reason.MISDIRECTED: "another backend server had the address",
    Reason.RETRY_BUDGET_EXHAUSTED: "too many arrivals were owed to repeats already",
    Reason.SHED: "the backend server said that it did not run it",
    Reason.BACKEND_LOST: "the backend server broke off while it ran",
    Reason.BACKEND_GARBLED: "the backend server's answer was not whole or not its own",
    Reason.BACKEND_ENDLESS: "the backend server's answer went beyond the bounds",
    Reason.ANSWER_MEMORY_FULL: "no memory to keep the answer until earlier ones were sent",
    Reason.QUARANTINED: "the request has crashed backend servers",
    Reason.DEADLINE: "no answer came before the deadline",
    Reason.ROUTE_TIMEOUT: "no answer came within the route's timeout",
    Reason.CLIENT_LEFT: "the client left",
}
"""Cause given for each reason. The texts are part of the JSON output."""


class Step(msgspec.Struct, frozen=True):
    """One log line about the request or a call made for it."""

    at: float
    node: str
    event: str
    request: str
    details: dict[str, Any]


class Explanation(msgspec.Struct, frozen=True):
    """Log lines of a request in order of time, and the cause found in them."""

    request: str
    cause: str
    steps: tuple[Step, ...]
    unread_lines: int
    """Number of lines that could not be decoded."""


def read_records(paths: Iterable[Path]) -> Iterator[dict[str, Any] | None]:
    """Yield the record of each line, or None if the line can't be decoded.

    Without paths, standard input is read. Text before the first brace of a line is
    skipped, because log collectors prepend the time and the host.
    """
    names = [str(path) for path in paths] or ["-"]
    with fileinput.input(names, encoding="utf-8", errors="replace") as lines:
        for line in lines:
            _, brace, rest = line.partition("{")
            try:
                record = msgspec.json.decode(brace + rest)
            except msgspec.DecodeError:
                record = None
            yield record if isinstance(record, dict) else None


def explain(request_id: str, records: Iterable[dict[str, Any] | None]) -> Explanation:
    """Return the log lines of a request and of the calls made for it, and the cause."""
    steps: list[Step] = []
    unread_count = 0
    for record in records:
        if record is None:
            unread_count += 1
        elif _is_in_call_tree(request_id, record.get("request")):
            steps.append(_make_step(record))
    steps.sort(key=lambda step: step.at)
    return Explanation(
        request_id, _find_cause(request_id, steps), tuple(steps), unread_count
    )


def _is_in_call_tree(request_id: str, logged_id: object) -> bool:
    if not isinstance(logged_id, str):
        return False
    return logged_id == request_id or logged_id.startswith(request_id + CALL_SEPARATOR)


def _make_step(record: dict[str, Any]) -> Step:
    details = {name: v for name, v in record.items() if name not in STEP_FIELDS}
    at = record.get("at")
    return Step(
        float(at) if isinstance(at, int | float) else 0.0,
        str(record.get("node", "?")),
        str(record.get("event", "?")),
        str(record.get("request")),
        details,
    )


def _find_cause(request_id: str, steps: list[Step]) -> str:
    """Describe the first failure among the calls that are farthest downstream.

    Failures of the requests that led to these calls are its consequences.
    """
    if not steps:
        return "no log line names it: it was answered, or its lines were left out"
    failures = [step for step in steps if step.event not in NON_FAILURE_EVENTS]
    if not failures:
        return "no failure is logged: it was answered"
    farthest = max(
        failures, key=lambda step: (step.request.count(CALL_SEPARATOR), -step.at)
    )
    text = _describe(farthest)
    if farthest.request == request_id:
        return f"{text} (at {farthest.node})"
    return f"{text} (at {farthest.node}, in its call {farthest.request})"


def _describe(step: Step) -> str:
    reason = step.details.get("reason")
    if reason in CAUSES:
        return CAUSES[Reason(reason)]
    status = step.details.get("status")
    if status is not None:
        return f"the backend server itself answered {status}"
    return step.event
