"""The order in which requests are refused under overload."""

from __future__ import annotations

from enum import IntEnum

from cassiahatch_kernel.hashing import hash_text

PLAN_BITS = 4
DEPTH_BITS = 3
HASH_BITS = 7

DEPTH_SHIFT = HASH_BITS
PLAN_SHIFT = DEPTH_SHIFT + DEPTH_BITS
IMPORTANCE_SHIFT = PLAN_SHIFT + PLAN_BITS

MAX_PLAN_RANK = (1 << PLAN_BITS) - 1
MAX_DEPTH = (1 << DEPTH_BITS) - 1
PRIORITY_COUNT = 1 << (IMPORTANCE_SHIFT + 2)

_DEPTH_MASK = MAX_DEPTH << DEPTH_SHIFT


class Importance(IntEnum):
    """How much a kind of call matters; higher is refused later."""

    DEFERRABLE = 0
    NORMAL = 1
    IMPORTANT = 2
    CRITICAL = 3


def compute_priority(
    importance: Importance, plan_rank: int, depth: int, request_id: str
) -> int:
    """Return the priority of a call; a higher one is refused later.

    Kind of call goes first, then the plan of the customer, then the depth (work
    already spent), then a hash of the top request's identity. Every service thus
    refuses the same requests, and the others are answered whole.

    Parameters
    ----------
    importance : Importance
        Kind of call.
    plan_rank : int
        Rank of the customer's plan, 0 to ``MAX_PLAN_RANK``.
    depth : int
        Calls above this one; deeper than ``MAX_DEPTH`` counts as ``MAX_DEPTH``.
    request_id : str
        Identity of the top request.

    Returns
    -------
    int
        0 to ``PRIORITY_COUNT - 1``.
    """
    bucket = hash_text(request_id) & ((1 << HASH_BITS) - 1)
    return (
        importance << IMPORTANCE_SHIFT
        | min(plan_rank, MAX_PLAN_RANK) << PLAN_SHIFT
        | min(depth, MAX_DEPTH) << DEPTH_SHIFT
        | bucket
    )


def raise_depth(priority: int, depth: int) -> int:
    """Return ``priority`` with its depth replaced by ``depth``."""
    return (priority & ~_DEPTH_MASK) | min(depth, MAX_DEPTH) << DEPTH_SHIFT


def passes_level(priority: int, level: int) -> bool:
    """Tell whether a request passes an admission level measured at another depth."""
    return (priority & ~_DEPTH_MASK) | (level & _DEPTH_MASK) >= level
