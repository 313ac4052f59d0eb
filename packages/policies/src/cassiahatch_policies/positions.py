"""Position of a request in the order in which requests are rejected under overload."""

from __future__ import annotations

from cassiahatch_kernel.hashing import hash_text

HASH_RANGE = 1 << 64


def compute_position(rank: int, root_id: str) -> float:
    """Return the rank plus a hash of the root request, from ``rank`` to ``rank + 1``.

    Every node computes the same position for all calls of one root request.

    Parameters
    ----------
    rank : int
        Rank of the root request; 0 is the most urgent.
    root_id : str
        Id of the root request.
    """
    return rank + hash_text(root_id) / HASH_RANGE
