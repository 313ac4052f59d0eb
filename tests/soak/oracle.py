"""The promises, checked against what clients and backend servers saw."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from mesh_site import Arrival
from soak.clients import Seen
from soak.world import (
    DRAIN_S,
    MAX_ATTEMPTS,
    RETRY_RATIO,
    RETRY_SLACK,
    World,
)

NOT_RUN = (408, 429, 503)
WINDOW_S = 10.0
DELIVERY_S = 0.5
"""Time between a sending and its arrival as this busy process sees it."""
ADDED = "/v"
"""Start of the routes that tell versions of the configuration apart."""


@dataclass(slots=True)
class Evidence:
    """All that was seen in a run."""

    seen: list[Seen]
    arrived: dict[str, list[Arrival]]
    """Arrivals at backend servers, by request id."""
    world: World
    is_planned: bool
    """Only planned work went on: no request may be lost."""


def gather(world: World, seen: list[Seen], is_planned: bool) -> Evidence:
    """Return the evidence of a run."""
    arrived: dict[str, list[Arrival]] = defaultdict(list)
    for vm in world.vms:
        for backend in vm.backends:
            for entry in backend.arrivals:
                name = entry.message.headers.get("cassiahatch-request-id", "")
                arrived[name].append(entry)
    return Evidence(seen, arrived, world, is_planned)


def check_safety(evidence: Evidence) -> list[str]:
    """Return the promises broken that hold at any pace of the machine."""
    return [
        *_check_runs(evidence),
        *_check_answers(evidence),
        *_check_versions(evidence),
        *_check_retries(evidence),
        *_check_losses(evidence),
    ]


def check_bounds(evidence: Evidence) -> list[str]:
    """Return the promises broken that are stated in seconds."""
    broken = []
    known = {
        instance: at
        for vm in evidence.world.vms
        for instance, at in vm.leaving_known_at.items()
    }
    for name, entries in evidence.arrived.items():
        for entry in entries:
            late_s = entry.at - known.get(entry.instance, float("inf"))
            if entry.ran and late_s > DRAIN_S + DELIVERY_S:
                broken.append(f"drain: {name} at {entry.instance}, {late_s:.2f} s")
    return broken


def _check_runs(evidence: Evidence) -> Iterator[str]:
    for seen in evidence.seen:
        entries = evidence.arrived.get(seen.id, [])
        runs = [entry for entry in entries if entry.ran]
        if seen.method == "POST" and len(runs) > 1:
            yield f"twice: {seen.id} ran {len(runs)} times"
        if seen.answer is not None and seen.answer.status in NOT_RUN and runs:
            if "cassiahatch-server-stamp" not in seen.answer.headers:
                yield f"refused: {seen.id} got {seen.answer.status} and ran"
    for name, entries in evidence.arrived.items():
        for entry in entries:
            body = entry.message.body.decode()
            if entry.message.method == "POST" and body != name:
                yield f"unasked: {name} arrived with the body of {body}"


def _check_answers(evidence: Evidence) -> Iterator[str]:
    for seen in evidence.seen:
        if seen.is_extra:
            yield f"mixed: bytes of no request before {seen.id}"
        answer = seen.answer
        if answer is None:
            continue
        if answer.headers.get("cassiahatch-request-id", seen.id) != seen.id:
            yield f"mixed: {seen.id} got the answer of another"
        if answer.status != 200:
            continue
        sent = seen.id if seen.method == "POST" else ""
        own = {
            f"{entry.instance}:{seen.id}{sent}".encode()
            for entry in evidence.arrived.get(seen.id, [])
        }
        if "cassiahatch-server-stamp" not in answer.headers or answer.body not in own:
            yield f"mixed: {seen.id} got {answer.body[:60]!r}"


def _check_versions(evidence: Evidence) -> Iterator[str]:
    newest: dict[tuple[int, int], int] = {}
    for seen in sorted(evidence.seen, key=lambda seen: seen.sent_at):
        if not seen.path.startswith(ADDED) or seen.answer is None:
            continue
        version = int(seen.path.strip("/").removeprefix("v"))
        process = seen.vm, seen.start
        if seen.answer.status != 404:
            newest[process] = max(version, newest.get(process, 0))
        elif newest.get(process, 0) >= version:
            yield f"config: n{seen.vm} went back behind {newest[process]}"


def _check_retries(evidence: Evidence) -> Iterator[str]:
    repeats: dict[str, list[float]] = defaultdict(list)
    firsts: dict[str, list[float]] = defaultdict(list)
    for name, entries in evidence.arrived.items():
        service = entries[0].instance.split("-")[0]
        times = sorted(entry.at for entry in entries)
        firsts[service].append(times[0])
        repeats[service] += times[1:]
        live = {vm.backends[-1].instance for vm in evidence.world.vms}
        ran = {entry.instance for entry in entries if entry.ran} & live
        if len(ran) > MAX_ATTEMPTS:
            yield f"budget: {name} ran at {sorted(ran)}"
    for service, times in repeats.items():
        for end in times:
            count = sum(end - WINDOW_S < at <= end for at in times)
            asked = sum(end - 2 * WINDOW_S < at <= end for at in firsts[service])
            if count > RETRY_RATIO * asked + RETRY_SLACK:
                yield f"budget: {count} repeats for {asked} requests at {service}"
                break


def _check_losses(evidence: Evidence) -> Iterator[str]:
    if not evidence.is_planned:
        return
    for seen in evidence.seen:
        if seen.was_closed and evidence.arrived.get(seen.id):
            yield f"lost: {seen.id} was passed on and got no answer"
