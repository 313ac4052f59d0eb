"""Decoding of bytes from outside: what may go wrong, and the ranges of values."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

import msgspec
from msgspec import Meta

UNDECODABLE = (
    msgspec.DecodeError,
    msgspec.ValidationError,
    RecursionError,
    UnicodeDecodeError,
)
"""Exceptions by which a decoder rejects bytes; the third for values that are nested too
deeply."""

Port = Annotated[int, Meta(ge=1, le=65535)]
Milliseconds = Annotated[int, Meta(ge=0, lt=10**14)]
"""Unix time; the bound is in the year 5138."""
Counter = Annotated[int, Meta(ge=0, lt=2**53)]
"""Number that increases with each change."""
Slots = Annotated[int, Meta(ge=0, le=1_000_000)]


def is_ipv4(host: str) -> bool:
    """Return whether a host is an IPv4 address, so that no name is looked up."""
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    return True


def is_ipv4_address(address: str) -> bool:
    """Return whether an address is ``host:port``, with an IPv4 address as host."""
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    return is_port and 0 < int(port) <= 65535 and is_ipv4(host)
