"""A sidecar process while clients send requests whose framing never ends."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

import pytest

from mesh_site import MessageReader, Site, make_headers, send
from test_mesh import run_scenario as run_site_scenario
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
LAST = b"0\r\n"
"""Chunk that ends a body; trailers may follow."""


@dataclass(slots=True, frozen=True)
class Attack:
    """A request of which a part is repeated without end."""

    opening: bytes
    """What follows the request line and the first fields."""
    repeated: bytes
    role: str = "clients"
    """Address of the node that is attacked."""


ATTACKS = {
    "trailers": Attack(ONE_CHUNK + LAST, b"X-T: t\r\n"),
    "empty_trailers": Attack(ONE_CHUNK + LAST, b"a:\r\n"),
    "long_trailer": Attack(ONE_CHUNK + LAST + b"X-T: ", b"t" * 64),
    "empty_fields": Attack(b"", b"a:\r\n"),
    "long_field": Attack(b"X-T: ", b"t" * 64),
    "long_extension": Attack(ONE_CHUNK + b"1;x=", b"y" * 64),
    "extensions": Attack(ONE_CHUNK, b"1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nz\r\n"),
    "control_trailers": Attack(ONE_CHUNK + LAST, b"X-T: t\r\n", "control"),
    "control_fields": Attack(b"", b"a:\r\n", "control"),
    "control_extension": Attack(ONE_CHUNK + b"1;x=", b"y" * 64, "control"),
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


KEYED = (
    b"POST /read/1 HTTP/1.1\r\nHost: h.example\r\nCassiahatch-Request-Id: r1\r\n"
    b"Cassiahatch-Deadline-Ms: 4000\r\nApi-Key: k1\r\n"
)
KEYLESS = KEYED.replace(b"Api-Key: k1\r\n", b"")
NAMELESS = KEYED.replace(b"Cassiahatch-Request-Id: r1\r\n", b"")
MAX_HEADER_BYTES = LIMITS["max_header_bytes"]
FILL = b"X-Fill: " + b"f" * (MAX_HEADER_BYTES - 400) + b"\r\n"
"""Nearly as many bytes of trailers as are left behind the fields of the head."""
ANY_SIZE = b"X-T: " + b"t" * 64 + b"\r\n"
CONTENTS = [
    # parts, each sent in a segment of its own, before the empty line; status
    pytest.param([KEYED, ONE_CHUNK, LAST + b"X-T: t\r\n"], 200, id="trailer"),
    pytest.param([KEYED + ONE_CHUNK + LAST + b"X-T: t\r\n"], 200, id="one segment"),
    pytest.param([KEYED, ONE_CHUNK, b"0", b"\r", b"\nX-", b"T: t\r\n"], 200, id="split"),
    pytest.param([KEYED, ONE_CHUNK, LAST + FILL], 200, id="within the limit"),
    pytest.param([KEYED + FILL, ONE_CHUNK, LAST + FILL], 431, id="head and trailers"),
    pytest.param([KEYED + ONE_CHUNK + LAST + 2 * FILL], 431, id="over, one segment"),
    pytest.param([KEYED, ONE_CHUNK, LAST, FILL, FILL[:-2]], 431, id="over, unfinished"),
    pytest.param([KEYED, ONE_CHUNK, b"9;x=y\r\n", b"123456789\r\n", LAST], 200,
                 id="extension"),
    pytest.param([KEYLESS, ONE_CHUNK, LAST + b"Api-Key: k1\r\n"], 401, id="key"),
    pytest.param([KEYED, ONE_CHUNK, LAST + b"Api-Key: k2\r\n"], 200, id="second key"),
    pytest.param([KEYED, ONE_CHUNK, LAST + b"Cassiahatch-Deadline-Ms: 1\r\n"], 200,
                 id="deadline"),
    pytest.param([NAMELESS, ONE_CHUNK, LAST + b"Cassiahatch-Request-Id: r1\r\n"], 400,
                 id="request id"),
    pytest.param([KEYED, ONE_CHUNK, LAST, *[ANY_SIZE[:1]] * 150], 408, id="slow trailer"),
    pytest.param([KEYED, ONE_CHUNK, b"1;x=", *[b"y"] * 150, b"\r\nz\r\n0\r\n"], 408,
                 id="slow extension"),
    pytest.param([KEYED, ONE_CHUNK, b"1;x=" + b"y" * 130_000, b"\r\nz\r\n0\r\n"], 431,
                 id="long extension"),
]  # fmt: skip


# Guards against trailers that count as header fields, exceed the limit or never end.
@pytest.mark.parametrize(("parts", "status"), CONTENTS)
def test_trailers_are_limited_and_not_taken_for_header_fields(
    parts: list[bytes], status: int
) -> None:
    async def scenario(site: Site) -> None:
        site.configure(
            {"read": {"prefix": "/read/", "service": "books"}},
            {"acme": {"api_keys": ["k1"]}, "bolt": {"api_keys": ["k2"]}},
            header_timeout_s=1,
            **LIMITS,
        )
        host = await site.add_host("books")
        await site.wait_for_convergence()
        node_host, port = host.client_address.split(":")
        reader, writer = await asyncio.open_connection(node_host, int(port))
        writer.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        reading = asyncio.create_task(MessageReader(reader, False).read())
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        if not reading.done():
            writer.write(b"\r\n")
        answer = await reading
        assert answer.status == status
        arrived = [arrival.message for arrival in host.backend.arrivals]
        assert len(arrived) == (status == 200)
        for message in arrived:
            assert message.headers["cassiahatch-tenant-id"] == "acme"
            assert not message.headers.keys() & {"x-t", "x-fill", "api-key"}
            assert message.body.startswith(b"ok")
            assert int(message.headers["cassiahatch-deadline-ms"]) > 1
        assert ("connection" in answer.headers) == (status != 200)
        writer.close()

    run_site_scenario(scenario)
