"""Answers without end, as a backend server in trouble may send them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Endless:
    """An answer without end."""

    after: str
    """What comes first: nothing, an open head, a head, or a whole answer."""
    part: bytes
    """What then comes again and again."""
    first: bytes = b""
    field: str = ""
    pause_s: float = 0.0


CHUNKED = "Transfer-Encoding: chunked\r\n"
STRAY = b"HTTP/1.1 200 X\r\nCassiahatch-Request-Id: q\r\nContent-Length: 0\r\n\r\n"
ENDLESS_S = 4.0
"""Longest time for which an answer without end is sent."""
ENDLESS = {
    "endless_fields": Endless("open_head", b"X-More: more\r\n" * 500),
    "endless_field": Endless("open_head", b"x" * 8192, b"X-Long: "),
    "endless_status": Endless("nothing", b"x" * 8192, b"HTTP/1.1 200 "),
    "endless_informational": Endless("nothing", b"HTTP/1.1 100 X\r\n\r\n" * 300),
    "endless_chunks": Endless(
        "head", b"2000\r\n" + b"y" * 8192 + b"\r\n", b"", CHUNKED
    ),
    "tiny_chunks": Endless("head", b"1\r\ny\r\n" * 2000, b"", CHUNKED),
    "endless_extension": Endless("head", b"x" * 8192, b"1;x=", CHUNKED),
    "endless_trailers": Endless("head", b"X-T: t\r\n" * 800, b"0\r\n", CHUNKED),
    "endless_body": Endless("head", b"y" * 8192),
    "endless_strays": Endless("nothing", STRAY * 100),
    "endless_garbage": Endless("nothing", b"\0\1\2 no HTTP " * 600),
    "drip_head": Endless("open_head", b"x", b"X-Long: ", pause_s=0.05),
    "drip_body": Endless("head", b"y", pause_s=0.05),
    "endless_after": Endless("answer", b"z" * 8192),
}
