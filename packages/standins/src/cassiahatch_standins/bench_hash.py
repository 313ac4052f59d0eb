"""Benchmark of the distribution of keys over shards and of its CPU time.

Run it with ``python -m cassiahatch_standins.bench_hash``. The comparison follows
"Metrictank Data Distribution: The Quest for the Best Hashing Method", 2020. The jump
hash follows Lamping and Veach, "A Fast, Minimal Memory, Consistent Hash Algorithm",
2014.
"""

from __future__ import annotations

import random
import statistics
import time
import zlib
from collections import Counter
from collections.abc import Callable

from rich.console import Console
from rich.table import Table

from cassiahatch_kernel.hashing import hash_text
from cassiahatch_kernel.keys import mint_key

SHARDS = (32, 128, 1024)
KEYS = 100_000
JUMP_MULTIPLIER = 2862933555777941757
MASK_64_BITS = (1 << 64) - 1

ShardFinder = Callable[[str, int], int]


def find_by_modulo(key: str, shards: int) -> int:
    """Return the shard by xxHash modulo the number of shards."""
    return hash_text(key) % shards


def find_by_checksum(key: str, shards: int) -> int:
    """Return the shard by CRC-32 modulo the number of shards."""
    return zlib.crc32(key.encode()) % shards


def find_by_jump(key: str, shards: int) -> int:
    """Return the shard by the jump hash of xxHash."""
    state = hash_text(key)
    found, following = -1, 0
    while following < shards:
        found = following
        state = (state * JUMP_MULTIPLIER + 1) & MASK_64_BITS
        following = int((found + 1) * ((1 << 31) / ((state >> 33) + 1)))
    return found


FINDERS: dict[str, ShardFinder] = {
    "xxHash, modulo": find_by_modulo,
    "CRC-32, modulo": find_by_checksum,
    "xxHash, jump": find_by_jump,
}


def make_keys() -> dict[str, list[str]]:
    """Return sample keys in the formats that both deployments use."""
    random_source = random.Random(1)
    start_s = 1_796_380_000.0
    idempotency_keys = [mint_key(start_s + n / 100, random_source) for n in range(KEYS)]
    customers = [f"customer-{number}" for number in range(KEYS)]
    return {"idempotency keys": idempotency_keys, "customers": customers}


def main() -> None:
    """Print the variation of shard loads and the CPU time of each method."""
    table = Table(title=f"{KEYS} keys")
    for column in ("keys", "method", "shards", "variation", "min/max", "ns/key"):
        table.add_column(column)
    for kind, keys in make_keys().items():
        for name, find in FINDERS.items():
            for shards in SHARDS:
                started = time.process_time()
                counts = Counter(find(key, shards) for key in keys)
                cost_ns = (time.process_time() - started) * 1e9 / KEYS
                loads = [counts[shard] for shard in range(shards)]
                variation = statistics.pstdev(loads) / statistics.mean(loads)
                table.add_row(
                    kind,
                    name,
                    str(shards),
                    f"{variation:.4f}",
                    f"{min(loads) / max(loads):.3f}",
                    f"{cost_ns:.0f}",
                )
    Console(width=100).print(table)


if __name__ == "__main__":
    main()
