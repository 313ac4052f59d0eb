"""Priorities: the order in which calls are rejected under overload."""

from __future__ import annotations

from enum import IntEnum

from cassiahatch_kernel.hashing import hash_text

# Layout of a priority, from the highest bits to the lowest: importance of the call (2),
# rank of the plan, depth, hash of the root request.
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
    """Importance of a kind of call; higher is rejected later."""

    DEFERRABLE = 0
    NORMAL = 1
    IMPORTANT = 2
    CRITICAL = 3


def compute_priority(
    importance: Importance, plan_rank: int, depth: int, request_id: str
) -> int:
    """Return the priority of a call; a higher one is rejected later.

    Priorities are ordered by the importance of the call, then by the customer's plan,
    then by depth (rejecting a call further downstream would waste more work already
    done), then by a hash of the root request's identity. Every service thus rejects
    calls of the same root requests, and the other root requests get complete answers.

    Parameters
    ----------
    importance : Importance
        Importance of the call.
    plan_rank : int
        Rank of the customer's plan, 0 to ``MAX_PLAN_RANK``.
    depth : int
        Number of calls that led to this one; capped at ``MAX_DEPTH``.
    request_id : str
        Identity of the root request.

    Returns
    -------
    int
        From 0 to ``PRIORITY_COUNT - 1``.
    """
    bucket = hash_text(request_id) & ((1 << HASH_BITS) - 1)
    return (
        importance << IMPORTANCE_SHIFT
        | min(plan_rank, MAX_PLAN_RANK) << PLAN_SHIFT
        | min(depth, MAX_DEPTH) << DEPTH_SHIFT
        | bucket
    )


def replace_depth(priority: int, depth: int) -> int:
    """Return ``priority`` with its depth set to ``depth``."""
    return (priority & ~_DEPTH_MASK) | min(depth, MAX_DEPTH) << DEPTH_SHIFT


def passes_level(priority: int, level: int) -> bool:
    """Return whether a priority reaches an admission level, leaving out the depth.

    The level may have been measured at another depth of the call graph.
    """
    return (priority & ~_DEPTH_MASK) | (level & _DEPTH_MASK) >= level
