"""Checks of the mesh's guarantees against what clients and backend servers observed.

Each violation is a line that begins with the guarantee: ``twice`` (an unsafe request
runs at most once), ``refused`` (a rejected request did not run), ``body`` (a request
arrives with its own body), ``mixed`` (a client gets only the answer to its request),
``order`` (pipelined requests are answered in the order sent),
``config`` (a node process never returns to an older configuration), ``budget``
(attempts and retries are bounded), ``lost`` (no request is lost during planned
operations, and hardly any at other times, see ``soak.losses``) or
``drain`` (a backend server runs no request later than ``DRAIN_S`` after the node has
acknowledged that it drains).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from mesh_site import Arrival
from soak.backend import make_answer_body
from soak.clients import RequestRecord
from soak.cluster import (
    DRAIN_S,
    MAX_ATTEMPTS,
    RETRY_RATIO,
    RETRY_SLACK,
    Cluster,
)
from soak.losses import check_losses

REJECTION_STATUSES = (408, 429, 503)
"""Statuses with which a node states that the request did not run."""
BUDGET_WINDOW_S = 10.0
MAX_ARRIVAL_DELAY_S = 0.5
"""Allowance for the time between the sending of a request and its arrival, which this
process records late when it is busy."""
NO_CONFIGURATION = b"no_configuration"
"""Reason of a node that has none yet, whose answer says nothing of a version."""
VERSION_ROUTE_PREFIX = "/v"
"""Prefix of the routes that identify versions of the configuration."""


@dataclass(slots=True)
class Observations:
    """All observations of a run."""

    records: list[RequestRecord]
    arrivals: dict[str, list[Arrival]]
    """Arrivals at backend servers, by request id."""
    cluster: Cluster


def collect_observations(
    cluster: Cluster, records: list[RequestRecord]
) -> Observations:
    """Return the observations of a run, with all arrivals at its backend servers."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for vm in cluster.vms:
        for backend in vm.backends:
            for arrival in backend.arrivals:
                request_id = arrival.message.headers.get("cassiahatch-request-id", "")
                arrivals[request_id].append(arrival)
    return Observations(records, arrivals, cluster)


def check_safety(observations: Observations) -> list[str]:
    """Return the violations of guarantees that hold at any speed of the machine."""
    return [
        *_check_executions(observations),
        *_check_answers(observations),
        *_check_versions(observations),
        *_check_retries(observations),
        *check_losses(
            observations.records, observations.arrivals, observations.cluster
        ),
    ]


def check_time_bounds(observations: Observations) -> list[str]:
    """Return the violations of guarantees that are stated in seconds."""
    violations = []
    drain_times = {
        instance: at
        for vm in observations.cluster.vms
        for instance, at in vm.drain_acknowledged_at.items()
    }
    for request_id, arrivals in observations.arrivals.items():
        for arrival in arrivals:
            elapsed_s = arrival.at - drain_times.get(arrival.instance, float("inf"))
            if arrival.ran and elapsed_s > DRAIN_S + MAX_ARRIVAL_DELAY_S:
                violations.append(
                    f"drain: {request_id} ran at {arrival.instance}, {elapsed_s:.2f} s "
                    "after the node acknowledged that it drains"
                )
    return violations


def _check_executions(observations: Observations) -> Iterator[str]:
    for record in observations.records:
        arrivals = observations.arrivals.get(record.id, [])
        runs = [arrival for arrival in arrivals if arrival.ran]
        if record.method == "POST" and len(runs) > 1:
            yield f"twice: {record.id} ran {len(runs)} times"
        if (
            record.answer is not None
            and record.answer.status in REJECTION_STATUSES
            and runs
        ):
            if "cassiahatch-server-stamp" not in record.answer.headers:
                yield (
                    f"refused: {record.id} was rejected with {record.answer.status}, "
                    "but ran"
                )
    for request_id, arrivals in observations.arrivals.items():
        for arrival in arrivals:
            body = arrival.message.body.decode()
            if arrival.message.method == "POST" and body != request_id:
                yield f"body: {request_id} arrived with the body of {body}"


def _check_answers(observations: Observations) -> Iterator[str]:
    for record in observations.records:
        if record.has_stray_bytes:
            yield f"mixed: bytes that belong to no request arrived before {record.id}"
        answer = record.answer
        if answer is None:
            continue
        answered_id = answer.headers.get("cassiahatch-request-id", record.id)
        if answered_id != record.id:
            kind = "order" if answered_id in record.pipelined_ids else "mixed"
            yield f"{kind}: {record.id} got the answer to {answered_id}"
        if answer.status != 200:
            continue
        body = record.id.encode() if record.method == "POST" else b""
        expected_bodies = {
            make_answer_body(arrival.instance, record.id) + body
            for arrival in observations.arrivals.get(record.id, [])
        }
        if (
            "cassiahatch-server-stamp" not in answer.headers
            or answer.body not in expected_bodies
        ):
            yield (
                f"mixed: {record.id} got an answer without a stamp or with the body of "
                f"another: {answer.body[:60]!r}"
            )


def _check_versions(observations: Observations) -> Iterator[str]:
    newest: dict[tuple[int, int], int] = {}
    for record in sorted(observations.records, key=lambda record: record.sent_at):
        if not record.path.startswith(VERSION_ROUTE_PREFIX) or record.answer is None:
            continue
        version = int(record.path.strip("/").removeprefix("v"))
        process = record.vm, record.node_start
        if NO_CONFIGURATION in record.answer.body:
            continue
        if record.answer.status != 404:
            newest[process] = max(version, newest.get(process, 0))
        elif newest.get(process, 0) >= version:
            yield (
                f"config: n{record.vm} returned to a version older than "
                f"{newest[process]}"
            )


def _check_retries(observations: Observations) -> Iterator[str]:
    retries: dict[str, list[float]] = defaultdict(list)
    first_attempts: dict[str, list[float]] = defaultdict(list)
    for request_id, arrivals in observations.arrivals.items():
        service = arrivals[0].instance.split("-")[0]
        times = sorted(arrival.at for arrival in arrivals)
        first_attempts[service].append(times[0])
        retries[service] += times[1:]
        live = {vm.backends[-1].instance for vm in observations.cluster.vms}
        ran = {arrival.instance for arrival in arrivals if arrival.ran} & live
        if len(ran) > MAX_ATTEMPTS:
            yield f"budget: {request_id} ran on too many instances: {sorted(ran)}"
    for service, times in retries.items():
        for end in times:
            retry_count = sum(end - BUDGET_WINDOW_S < at <= end for at in times)
            request_count = sum(
                end - 2 * BUDGET_WINDOW_S < at <= end for at in first_attempts[service]
            )
            if retry_count > RETRY_RATIO * request_count + RETRY_SLACK:
                yield (
                    f"budget: {retry_count} retries for {request_count} requests "
                    f"at {service}"
                )
                break
