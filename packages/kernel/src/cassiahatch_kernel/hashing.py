"""Hashing of text."""

from __future__ import annotations

import xxhash


def hash_text(text: str) -> int:
    """Return a 64-bit hash that, unlike ``hash``, is the same in every process."""
    return xxhash.xxh64_intdigest(text.encode())
