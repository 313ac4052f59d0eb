"""The faults of a run, drawn at random from its seed.

The names of these classes and of their fields are written to ``schedule.txt``.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from soak.backend import SERVICE_NAMES


@dataclass(slots=True, frozen=True)
class KillNode:
    """SIGKILL to the nodes of ``vms``; they are restarted after ``for_s`` seconds."""

    vms: tuple[int, ...]
    for_s: float


@dataclass(slots=True, frozen=True)
class StopNode:
    """SIGTERM to the node; it is restarted once its process has ended."""

    vm: int


@dataclass(slots=True, frozen=True)
class PauseNode:
    """SIGSTOP to the node, and SIGCONT after ``for_s`` seconds."""

    vm: int
    for_s: float


@dataclass(slots=True, frozen=True)
class ReloadNode:
    """SIGHUP to the node, which makes it reload its settings."""

    vm: int


@dataclass(slots=True, frozen=True)
class CrashBackend:
    """The backend server crashes; a new process starts after ``for_s`` seconds."""

    vm: int
    for_s: float


@dataclass(slots=True, frozen=True)
class DrainBackend:
    """The backend server announces that it drains, leaves, and is replaced."""

    vm: int


@dataclass(slots=True, frozen=True)
class SpoilBackend:
    """The backend server answers its next ``count`` requests with ``action``."""

    vm: int
    action: str
    """One of ``BACKEND_ACTIONS``."""
    count: int


@dataclass(slots=True, frozen=True)
class HarmPath:
    """A network fault: a proxy of a VM works in ``mode`` for ``for_s`` seconds."""

    vm: int
    end: str
    """Target of the proxy: ``store``, ``backend`` or ``peers``."""
    mode: str
    """One of ``PROXY_MODES``."""
    for_s: float


@dataclass(slots=True, frozen=True)
class HarmStore:
    """A fault of the platform's store for ``for_s`` seconds."""

    how: str
    """``down``: rejects requests; ``lossy``: sends no answers to transactions;
    ``forget``: drops its history of changes at once."""
    for_s: float


@dataclass(slots=True, frozen=True)
class Configure:
    """The operator stores a new configuration ``count`` times."""

    count: int


Fault = (
    KillNode
    | StopNode
    | PauseNode
    | ReloadNode
    | CrashBackend
    | DrainBackend
    | SpoilBackend
    | HarmPath
    | HarmStore
    | Configure
)

PLANNED_OPERATIONS = (StopNode, ReloadNode, DrainBackend, Configure)
"""Routine operations, during which no request may be lost."""
SERIES_SHARE = 0.3
"""Share of the draws that give a series of planned operations."""
BACKEND_ACTIONS = (
    "reset",
    "cut",
    "shed",
    "extra",
    "late_extra",
    "other_id",
    "garbage",
    "fail",
)
"""Failures of a backend server, see ``Backend._handle_request``."""
PROXY_MODES = ("delay", "reset", "silent", "deaf", "mute")
"""Network faults of a proxy: ``delay`` delays each chunk of bytes, and ``reset`` resets
connections; ``silent`` drops the bytes of both directions, ``deaf`` only those to the
target, and ``mute`` only those from it."""


@dataclass(slots=True, frozen=True)
class Step:
    """A fault and the time at which it is injected, in seconds from the start."""

    at: float
    fault: Fault


def draw_schedule(seed: int, vms: int, length_s: float) -> list[Step]:
    """Return the faults of a run; the same arguments always give the same faults.

    Faults come in bursts and overlap: on average, half of them are injected within
    0.2 s of the previous one, and planned operations also come in series.

    Parameters
    ----------
    vms : int
        Number of VMs.
    length_s : float
        Time in which faults are injected.
    """
    random_source = random.Random(seed)
    steps: list[Step] = []
    at = random_source.uniform(0.3, 1.0)
    while at < length_s:
        if random_source.random() < SERIES_SHARE:
            series = _draw_series(random_source, vms)
            steps += [Step(at + after_s, fault) for after_s, fault in series]
        else:
            steps.append(Step(at, _draw_fault(random_source, vms)))
        at += random_source.choice(
            (random_source.uniform(0.0, 0.2), random_source.uniform(0.3, 1.5))
        )
    return sorted(
        (step for step in steps if step.at < length_s), key=lambda step: step.at
    )


def _draw_series(random_source: random.Random, vms: int) -> list[tuple[float, Fault]]:
    """Return planned operations, each with the seconds after which it begins."""
    match random_source.choice(("service", "group", "node")):
        case "service":
            first, gap_s = (
                random_source.randrange(len(SERVICE_NAMES)),
                random_source.uniform(0.0, 2.5),
            )
            stopped = range(first, vms, len(SERVICE_NAMES))
            return [(gap_s * place, StopNode(vm)) for place, vm in enumerate(stopped)]
        case "group":
            stopped = random_source.sample(range(vms), random_source.randint(2, vms))
            return [(random_source.uniform(0.0, 1.0), StopNode(vm)) for vm in stopped]
        case _:
            vm = random_source.randrange(vms)
            operations = (ReloadNode(vm), ReloadNode(vm), Configure(1), StopNode(vm))
            drawn = random_source.choices(operations, k=random_source.randint(3, 6))
            return [(random_source.uniform(0.0, 2.0), fault) for fault in drawn]


def _draw_fault(random_source: random.Random, vms: int) -> Fault:
    vm = random_source.randrange(vms)
    for_s = random_source.uniform(0.2, 2.5)
    vm_group = tuple(
        sorted(random_source.sample(range(vms), random_source.randint(2, vms)))
    )
    network_fault = HarmPath(
        vm,
        random_source.choice(("store", "backend", "peers", "peers")),
        random_source.choice(PROXY_MODES),
        for_s,
    )
    backend_fault = SpoilBackend(
        vm, random_source.choice(BACKEND_ACTIONS), random_source.randint(1, 8)
    )
    weighted_factories: list[tuple[int, Callable[[], Fault]]] = [
        (3, lambda: KillNode((vm,), for_s)),
        (1, lambda: KillNode(vm_group, for_s)),
        (3, lambda: StopNode(vm)),
        (2, lambda: PauseNode(vm, for_s)),
        (2, lambda: ReloadNode(vm)),
        (2, lambda: CrashBackend(vm, for_s)),
        (3, lambda: DrainBackend(vm)),
        (4, lambda: backend_fault),
        (5, lambda: network_fault),
        (
            2,
            lambda: HarmStore(random_source.choice(("down", "lossy", "forget")), for_s),
        ),
        (3, lambda: Configure(random_source.randint(1, 4))),
    ]
    weights = [weight for weight, _ in weighted_factories]
    return random_source.choices([make for _, make in weighted_factories], weights)[0]()
