"""Versions of a store that may come back from an older copy of itself.

The store then begins a new era, in which it gives out version numbers again. A version
is an era and a number, compared era first. Both are kept in one integer, so that
versions are compared, sent to peers and remembered like the numbers of a store without
eras, which are those of era 0.
"""

from __future__ import annotations

NUMBER_BITS = 48
MAX_NUMBER = (1 << NUMBER_BITS) - 1
MAX_ERA = (1 << 15) - 1
"""Messages between nodes carry integers of 64 bits, of which one is the sign."""


def compose_version(era: int, number: int) -> int:
    """Return the version of a number that the store gave out in an era.

    Raises
    ------
    ValueError
        If the era or the number is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= number <= MAX_NUMBER):
        raise ValueError(f"store version out of range: era {era}, number {number}")
    return era << NUMBER_BITS | number


def get_era(version: int) -> int:
    """Return the era of a version."""
    return version >> NUMBER_BITS


def get_number(version: int) -> int:
    """Return the number that the store gave out."""
    return version & MAX_NUMBER
