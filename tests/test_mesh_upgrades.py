"""Requests that offer to change the protocol: the offer is ignored."""

from __future__ import annotations

import asyncio

import pytest

from mesh_site import MessageReader, Site, make_headers
from test_mesh import build_site, run_scenario

OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"
)
REQUESTS = {
    # what follows the common fields of a request, and its body as sent and as run
    "no_body": ("GET", "", b"", b""),
    "length": ("POST", "Content-Length: 5\r\n", b"spray", b"spray"),
    "empty": ("POST", "Content-Length: 0\r\n", b"", b""),
    "chunks": (
        "POST", "Transfer-Encoding: chunked\r\n",
        b"2\r\nsp\r\n3\r\nray\r\n0\r\n\r\n", b"spray",
    ),
    "body_like_a_request": (
        "POST", "Content-Length: 20\r\n", b"GET / HTTP/1.1\r\n\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n\r\n",
    ),
}  # fmt: skip


def render(number: int, name: str, offer: str) -> bytes:
    method, framing, body, _ = REQUESTS[name]
    fields = {"Host": "h.example"} | make_headers(f"r{number}")
    lines = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    head = f"{method} /read/1 HTTP/1.1\r\n{lines}{offer}{framing}\r\n"
    return head.encode() + body


# Guards against an order that ran without its body, and a second answer to it.
@pytest.mark.parametrize("name", REQUESTS)
@pytest.mark.parametrize("piece_bytes", [1, 70, 100_000])
def test_a_request_that_offers_an_upgrade_runs_with_its_body(
    name: str, piece_bytes: int
) -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["books"])
        host, port = site.hosts[0].client_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        offers = [OFFER, "", OFFER, OFFER]
        data = b"".join(render(n, name, offer) for n, offer in enumerate(offers))
        for start in range(0, len(data), piece_bytes):
            writer.write(data[start : start + piece_bytes])
            await asyncio.sleep(0)
        messages = MessageReader(reader, False)
        answers = [await messages.read() for _ in offers]
        assert [answer.status for answer in answers] == [200] * len(offers)
        ids = [answer.headers["cassiahatch-request-id"] for answer in answers]
        assert ids == [f"r{number}" for number in range(len(offers))]
        bodies = [arrival.message.body for arrival in site.hosts[0].backend.arrivals]
        assert bodies == [REQUESTS[name][3]] * len(offers)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await messages.read()
        # A request that seemed incomplete would be answered 408.
        assert not site.hosts[0].sidecar._clients.open_count
        writer.close()

    run_scenario(scenario)


def test_a_tunnel_is_rejected() -> None:
    async def scenario(site: Site) -> None:
        await build_site(site, ["books"])
        host, port = site.hosts[0].client_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n")
        answer = await MessageReader(reader, False).read()
        assert answer.status == 400
        assert not site.hosts[0].backend.arrivals
        writer.close()

    run_scenario(scenario)
