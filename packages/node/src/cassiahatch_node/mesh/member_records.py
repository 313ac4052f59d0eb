"""Encoding of the member records that are stored and sent to peers."""

from __future__ import annotations

import msgspec

from cassiahatch_kernel.decoding import UNDECODABLE, is_ipv4
from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.members import Member

MAX_CLOCK_ERROR_S = 3600.0
"""Difference between two clocks of the fleet that is still believed."""
MS_PER_S = 1000

_DECODER = msgspec.json.Decoder(Member)
_ENCODER = msgspec.json.Encoder()


class BadMemberError(CodedError):
    """The bytes are not a member record, or have a value that no node writes."""

    code = "bad_member"


def encode_member(member: Member) -> bytes:
    """Return the stored encoding of a member."""
    return _ENCODER.encode(member)


def decode_member(value: bytes, wall_s: float) -> Member:
    """Decode a stored member record.

    Parameters
    ----------
    wall_s : float
        Seconds since the Unix epoch. A record that claims to be from the future would
        outrank the node's own ones for ever.

    Raises
    ------
    BadMemberError
        If the record can't be decoded, or a value is out of range.
    """
    try:
        member = _DECODER.decode(value)
    except UNDECODABLE as error:
        raise BadMemberError(str(error)) from None
    if not is_ipv4(member.host):
        raise BadMemberError(f"not an IPv4 address: {member.host[:40]!r}")
    if member.incarnation > (wall_s + MAX_CLOCK_ERROR_S) * MS_PER_S:
        raise BadMemberError(f"incarnation in the future: {member.incarnation}")
    return member
