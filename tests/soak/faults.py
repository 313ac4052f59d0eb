"""The faults of a run, drawn from its seed."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class KillNode:
    """SIGKILL; the node starts again after ``for_s``."""

    vms: tuple[int, ...]
    for_s: float


@dataclass(slots=True, frozen=True)
class StopNode:
    """SIGTERM; the node starts again once it has ended."""

    vm: int


@dataclass(slots=True, frozen=True)
class PauseNode:
    """SIGSTOP, and SIGCONT after ``for_s``."""

    vm: int
    for_s: float


@dataclass(slots=True, frozen=True)
class ReloadNode:
    """SIGHUP."""

    vm: int


@dataclass(slots=True, frozen=True)
class CrashBackend:
    """The backend server dies; another process of it starts after ``for_s``."""

    vm: int
    for_s: float


@dataclass(slots=True, frozen=True)
class DrainBackend:
    """The backend server says that it drains, leaves, and is replaced."""

    vm: int


@dataclass(slots=True, frozen=True)
class SpoilBackend:
    """The backend server does ``action`` with its next requests."""

    vm: int
    action: str
    count: int


@dataclass(slots=True, frozen=True)
class HarmPath:
    """A proxy on the way to ``end`` of a VM is set to ``mode`` for ``for_s``."""

    vm: int
    end: str
    """``store``, ``backend`` or ``peers``."""
    mode: str
    for_s: float


@dataclass(slots=True, frozen=True)
class HarmStore:
    """The platform's store is ``down``, loses answers or forgets its history."""

    how: str
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

PLANNED = (StopNode, ReloadNode, DrainBackend, Configure)
ACTIONS = ("reset", "cut", "shed", "extra", "late_extra", "other_id", "garbage", "fail")
MODES = ("delay", "reset", "silent", "deaf", "mute")
"""What a proxy does: hold bytes back, reset connections, lose bytes both ways, or only
those towards the VM or from it."""


@dataclass(slots=True, frozen=True)
class Step:
    """A fault and the second of the run at which it strikes."""

    at: float
    fault: Fault


def draw_schedule(seed: int, vms: int, length_s: float) -> list[Step]:
    """Return the faults of a run; the same for the same arguments.

    Faults come in series and overlap: half of them follow the one before at once.
    """
    source = random.Random(seed)
    steps: list[Step] = []
    at = source.uniform(0.3, 1.0)
    while at < length_s:
        steps.append(Step(at, _draw_fault(source, vms)))
        at += source.choice((source.uniform(0.0, 0.2), source.uniform(0.3, 1.5)))
    return steps


def _draw_fault(source: random.Random, vms: int) -> Fault:
    vm = source.randrange(vms)
    for_s = source.uniform(0.2, 2.5)
    several = tuple(sorted(source.sample(range(vms), source.randint(2, vms))))
    path = HarmPath(
        vm,
        source.choice(("store", "backend", "peers", "peers")),
        source.choice(MODES),
        for_s,
    )
    spoil = SpoilBackend(vm, source.choice(ACTIONS), source.randint(1, 8))
    makers: list[tuple[int, Callable[[], Fault]]] = [
        (3, lambda: KillNode((vm,), for_s)),
        (1, lambda: KillNode(several, for_s)),
        (3, lambda: StopNode(vm)),
        (2, lambda: PauseNode(vm, for_s)),
        (2, lambda: ReloadNode(vm)),
        (2, lambda: CrashBackend(vm, for_s)),
        (3, lambda: DrainBackend(vm)),
        (4, lambda: spoil),
        (5, lambda: path),
        (2, lambda: HarmStore(source.choice(("down", "lossy", "forget")), for_s)),
        (3, lambda: Configure(source.randint(1, 4))),
    ]
    weights = [weight for weight, _ in makers]
    return source.choices([make for _, make in makers], weights)[0]()
