"""A sidecar process while clients send requests whose framing never ends."""

from __future__ import annotations

import asyncio
import os
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import pytest

from mesh_site import make_headers, send
from test_mesh_memory import read_peak_mb
from test_mesh_process import NodeProcess, run_scenario

CLIENTS = 8
"""Clients that send at once; fixed, like the bounds, before the reader was changed."""
MAX_MEMORY_MB = 96
"""Bound on the resident memory of the process; 43 MB before the attack."""
MAX_DESCRIPTORS = 64
MAX_SENT_BYTES = 16 * 1024 * 1024
"""Bytes that each client sends at most."""
PART_BYTES = 65_536
LIMITS = {"max_header_bytes": 2048, "max_body_bytes": 65_536}
POST = b"POST /read/%d HTTP/1.1\r\nHost: h.example\r\nCassiahatch-Request-Id: attack-%d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ONE_CHUNK = CHUNKED + b"2\r\nok\r\n"


@dataclass(slots=True, frozen=True)
class Attack:
    """A request of which a part is repeated without end."""

    opening: bytes
    """What follows the request line and the first fields."""
    repeated: bytes
    role: str = "clients"
    """Address of the node that is attacked."""


ATTACKS = {
    "trailers": Attack(ONE_CHUNK + b"0\r\n", b"X-T: t\r\n"),
    "empty_trailers": Attack(ONE_CHUNK + b"0\r\n", b"a:\r\n"),
    "long_trailer": Attack(ONE_CHUNK + b"0\r\nX-T: ", b"t" * 64),
}


async def keep_sending(
    process: NodeProcess, attack: Attack, number: int, stack: ExitStack
) -> None:
    """Send until the node closes, or a bound is exceeded.

    The connection stays open until ``stack`` ends, so that its memory is not freed.
    """
    host, port = process.fields[attack.role].split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    stack.callback(writer.transport.abort)
    part = attack.repeated * (PART_BYTES // len(attack.repeated))
    try:
        writer.write(POST % (number, number) + attack.opening)
        for _ in range(MAX_SENT_BYTES // len(part)):
            if writer.is_closing() or read_peak_mb(process) > MAX_MEMORY_MB:
                break
            writer.write(part)
            await writer.drain()
    except ConnectionError:
        return


# Guards against a process that runs out of memory since nothing counts the trailers.
@pytest.mark.parametrize("attack", ATTACKS.values(), ids=ATTACKS)
def test_endless_framing_leaves_memory_and_service_to_others(
    attack: Attack, tmp_path: Path
) -> None:
    async def scenario(process: NodeProcess) -> None:
        process.site.configure(
            {"read": {"prefix": "/read/", "service": "books"}}, **LIMITS
        )
        headers = make_headers("long") | {"X-Long": "x" * LIMITS["max_header_bytes"]}
        while (
            await send(process.fields["clients"], "GET", "/read/1", headers)
        ).status != 431:
            await asyncio.sleep(0.05)
        assert read_peak_mb(process) < MAX_MEMORY_MB, "before the attack"
        with ExitStack() as stack:
            await asyncio.gather(
                *(
                    keep_sending(process, attack, number, stack)
                    for number in range(CLIENTS)
                )
            )
            while await process.send_request("after") != 200:
                await asyncio.sleep(0.1)
            assert process.child.returncode is None
            assert read_peak_mb(process) < MAX_MEMORY_MB
            assert len(os.listdir(f"/proc/{process.child.pid}/fd")) < MAX_DESCRIPTORS
            arrived_ids = [
                arrival.message.headers["cassiahatch-request-id"]
                for arrival in process.backend.arrivals
            ]
            assert not [name for name in arrived_ids if name.startswith("attack")]

    run_scenario(scenario, tmp_path)
