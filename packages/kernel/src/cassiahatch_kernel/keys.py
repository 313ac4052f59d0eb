"""Idempotency keys: UUIDv7s, which carry the time at which they were minted."""

from __future__ import annotations

import random
import uuid

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.hashing import hash_text

UUID_VERSION = 7
MINT_SHIFT = 80
"""Bits below the 48-bit timestamp in milliseconds."""


class BadKeyError(CodedError):
    """The idempotency key is missing or is not a UUIDv7."""

    code = "bad_idempotency_key"
    status = 400


def mint_key(wall: float, random_source: random.Random) -> str:
    """Mint an idempotency key.

    Parameters
    ----------
    wall : float
        Seconds since the Unix epoch.
    random_source : random.Random
        Source of the random bits.
    """
    bits = int(wall * 1000) << MINT_SHIFT | random_source.getrandbits(MINT_SHIFT)
    bits = bits & ~(0xF << 76) | UUID_VERSION << 76
    bits = bits & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=bits))


def read_mint_ms(key: str) -> int:
    """Return when ``key`` was minted, in milliseconds since the Unix epoch.

    Raises
    ------
    BadKeyError
        If ``key`` is not a UUIDv7 in its canonical form.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        raise BadKeyError("Idempotency-Key must be a UUIDv7") from None
    if parsed.version != UUID_VERSION or str(parsed) != key:
        raise BadKeyError("Idempotency-Key must be a UUIDv7 in canonical form")
    return parsed.int >> MINT_SHIFT


def find_shard(key: str, shard_count: int) -> int:
    """Return the number of the shard of ``key``, from 0 to ``shard_count - 1``."""
    return hash_text(key) % shard_count
