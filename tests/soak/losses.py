"""Checks that requests are not lost, one for each sentence of the guarantee.

1. At any time, a node that was not disturbed closes few kept connections on which it has
   passed a request on and not answered it.
2. A fault of the store alone excuses nothing.
3. Without unplanned faults no request that was read ends without a complete answer. A
   process that the machine did not run for a while counts as disturbed in that time.
4. A close that a request crosses loses nothing if the request was not passed on.
5. A stopping node gives no answer of its own in place of one that a backend server is
   still working on.
"""

from __future__ import annotations

from collections.abc import Iterator

from mesh_site import Arrival
from soak.clients import RequestRecord
from soak.cluster import GRACE_S, Cluster
from soak.faults import (
    PLANNED_OPERATIONS,
    Configure,
    Fault,
    HarmStore,
    KillNode,
    ReloadNode,
)

CONTACT_S = 3.0
"""Time after a disturbance for which it may still explain a loss."""
LOSS_SLACK_S = 0.2
"""Time after its last byte in which a request that is not passed on may cross a close."""
MAX_UNPLANNED_LOSSES = 3
STOP_NOTICE_S = 3.0
"""Time after SIGTERM in which clients may send requests that can't end in time."""
LATE_GRACE_S = GRACE_S * 5 / 6
"""Time after SIGTERM from which a backend server that works on excuses a loss."""
INDETERMINATE_STATUSES = (502, 504)
"""Statuses of a node's own answers to requests that may have run."""


def check_losses(
    records: list[RequestRecord], arrivals: dict[str, list[Arrival]], cluster: Cluster
) -> Iterator[str]:
    """Return the requests that were lost, as lines that begin with ``lost``."""
    dropped_ids = []
    for record in records:
        sent_to = arrivals.get(record.id, [])
        loss = _describe_loss(record, sent_to, cluster)
        if loss and not _is_excused(record, sent_to, cluster):
            yield f"lost: {record.id} {loss}"
        if _is_dropped(record, sent_to, cluster):
            dropped_ids.append(record.id)
    if len(dropped_ids) > MAX_UNPLANNED_LOSSES:
        yield f"lost: {dropped_ids} were passed on by calm nodes, but got no answer"


def _describe_loss(
    record: RequestRecord, arrivals: list[Arrival], cluster: Cluster
) -> str:
    """Return how a request was lost, or an empty text."""
    if record.has_left or record.last_sent_at is None or record.ended_at is None:
        return ""
    if record.was_closed:
        if arrivals:
            return "was passed on, but got no complete answer"
        waited_s = record.ended_at - record.last_sent_at
        waited_s -= cluster.stall_watch.measure(record.last_sent_at, record.ended_at)
        return (
            f"was not answered in {waited_s:.2f} s" if waited_s > LOSS_SLACK_S else ""
        )
    if (
        record.answer.status in INDETERMINATE_STATUSES
        and "cassiahatch-server-stamp" not in record.answer.headers
        and _get_stop_time(record, cluster) < record.ended_at
        and any(_runs_at(arrival, record.ended_at) for arrival in arrivals)
    ):
        return f"got {record.answer.status} while a backend server was at work"
    return ""


def _is_excused(
    record: RequestRecord, arrivals: list[Arrival], cluster: Cluster
) -> bool:
    stopped_at = _get_stop_time(record, cluster)
    is_late = record.sent_at <= stopped_at + STOP_NOTICE_S and any(
        _runs_at(arrival, stopped_at + LATE_GRACE_S) for arrival in arrivals
    )
    return (
        is_late
        or record.ended_at - record.sent_at >= record.deadline_s
        or _has_broken_off(arrivals, cluster)
        or _was_suspended(record, arrivals, cluster)
        or any(
            not isinstance(fault, (*PLANNED_OPERATIONS, HarmStore))
            for fault in _list_faults(record, cluster)
        )
    )


def _is_dropped(
    record: RequestRecord, arrivals: list[Arrival], cluster: Cluster
) -> bool:
    """Return whether a calm node closed a kept connection in place of an answer."""
    if not (record.was_closed and record.is_on_kept_connection and arrivals):
        return False
    disturbed = {
        vm for fault in _list_faults(record, cluster) for vm in _list_vms(fault)
    }
    return not record.has_left and not _list_vms_on_path(record, arrivals) & disturbed


def _list_vms_on_path(record: RequestRecord, arrivals: list[Arrival]) -> set[int]:
    """Return the VMs of the client's node and of the backend servers that it reached."""
    return {record.vm} | {int(arrival.instance.split("-")[1]) for arrival in arrivals}


def _was_suspended(
    record: RequestRecord, arrivals: list[Arrival], cluster: Cluster
) -> bool:
    """Return whether a node on the path did not run for a while during the request."""
    return any(
        began_at <= record.ended_at and ended_at >= record.sent_at
        for vm in _list_vms_on_path(record, arrivals)
        for began_at, ended_at in cluster.vms[vm].suspensions
    )


def _get_stop_time(record: RequestRecord, cluster: Cluster) -> float:
    stopped_at = cluster.vms[record.vm].stopped_at
    return stopped_at.get(record.node_start, float("inf"))


def _runs_at(arrival: Arrival, at: float) -> bool:
    return arrival.at <= at and (arrival.ended_at is None or arrival.ended_at > at)


def _has_broken_off(arrivals: list[Arrival], cluster: Cluster) -> bool:
    crash_times = {
        backend.instance: backend.crashed_at
        for vm in cluster.vms
        for backend in vm.backends
    }
    return any(
        _runs_at(arrival, crash_times.get(arrival.instance, float("inf")))
        for arrival in arrivals
    )


def _list_faults(record: RequestRecord, cluster: Cluster) -> list[Fault]:
    """Return the faults from ``CONTACT_S`` before a request to its end."""
    return [
        injection.fault
        for injection in cluster.injections
        if injection.began_at <= record.ended_at
        and injection.ended_at >= record.sent_at - CONTACT_S
    ]


def _list_vms(fault: Fault) -> tuple[int, ...]:
    """Return the VMs that a fault disturbs."""
    match fault:
        case KillNode(vms=vms):
            return vms
        case ReloadNode() | Configure() | HarmStore():
            return ()
        case _:
            return (fault.vm,)
