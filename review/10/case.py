"""Many clients at once, each of which sends one head of many short fields slowly."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from lab import (  # noqa: E402
    CannotRunError,
    Node,
    Site,
    exchange,
    find_route,
    make_configuration,
    read_message,
    render_request,
    run_case,
    split,
)

MEMORY_MB = 200
"""The smallest machine of the pages' deployments."""
MAX_HEADER_BYTES = 16_384
"""The limit of the configuration."""
HEADER_TIMEOUT_S = 3.0
CLIENTS = 1200
FIELDS = 3000
"""Fields of a head. Each has a name of one letter and no value."""
FIELD = b"a:\r\n"
SECOND_PART_S = 2.0
"""Time from the first part of a head to its end, within the header timeout."""
WAVES = 3
WAVE_S = 5.0
POLL_S = 0.01
RESTART_S = 0.5
"""Short delay after which the platform starts an ended process again."""


class Platform:
    """Kills a process that exceeds its memory and starts it again, as DEPLOY.md says."""

    def __init__(self, site: Site, node: Node) -> None:
        self._site = site
        self._node = node
        self.ends = 0
        self.peak_mb = 0.0

    async def run(self) -> None:
        """Watch the process until cancelled."""
        node, record = self._node, self._site.record
        while True:
            await asyncio.sleep(POLL_S)
            try:
                used_mb = node.read_memory_mb()
            except (OSError, TypeError):
                used_mb = 0.0
            self.peak_mb = max(self.peak_mb, used_mb)
            if node.is_running and used_mb <= MEMORY_MB:
                continue
            self.ends += 1
            record.note(
                f"{node.node_id}: {used_mb:.0f} MB of {MEMORY_MB} MB, is killed"
                if node.is_running
                else f"{node.node_id}: ended with {node.process.returncode}"
            )
            await node.kill()
            await asyncio.sleep(RESTART_S)
            await node.start(first_start=False)


async def use(node: Node, is_long: bool) -> None:
    """Send one request whose head comes in two parts, and read the answer."""
    lines = (
        "GET /read/1 HTTP/1.1",
        "Host: h.example",
        f"Cassiahatch-Request-Id: {random.getrandbits(64):016x}",
        "Cassiahatch-Deadline-Ms: 5000",
    )
    head = "\r\n".join(lines).encode() + b"\r\n" + FIELD * (FIELDS if is_long else 1)
    if len(head) > MAX_HEADER_BYTES:
        raise CannotRunError("the head is longer than the limit")
    try:
        reader, writer = await asyncio.open_connection(*split(node.clients))
    except OSError:
        return
    try:
        writer.write(head)
        await writer.drain()
        await asyncio.sleep(SECOND_PART_S)
        writer.write(b"\r\n")
        await read_message(reader)
    except (OSError, EOFError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.transport.abort()


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether less than two machines had three ends of their own."""
    record = site.record
    nodes = [site.add_node("books"), site.add_node("shop", "z-2")]
    for node in nodes:
        node.fields["limits"] = {"memory_mb": MEMORY_MB}
        upstream = site.make_upstream(node)
        upstream.verbose = False
    routes = {
        "read": find_route("read", "books"),
        "list": find_route("list", "shop"),
    }
    await site.store.configure(make_configuration(1, routes))
    for node, upstream in zip(nodes, site.upstreams, strict=True):
        await node.start()
        await upstream.start()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(3.0)

    platforms = [Platform(site, node) for node in nodes]
    watches = [asyncio.create_task(platform.run()) for platform in platforms]
    for wave in range(WAVES):
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(1.0)
        record.note(f"wave {wave + 1}: {CLIENTS} clients at each machine")
        before = [platform.ends for platform in platforms]
        tasks = [
            asyncio.create_task(use(node, has_trouble))
            for _ in range(CLIENTS)
            for node in nodes
        ]
        ends_at = time.monotonic() + WAVE_S
        while time.monotonic() < ends_at and not all(
            platform.ends > count
            for platform, count in zip(platforms, before, strict=True)
        ):
            await asyncio.sleep(0.05)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for node in nodes:
        await node.wait_ready()
    data = render_request(
        "GET",
        "/read/1",
        {"Host": "h.example", "Cassiahatch-Request-Id": f"{random.getrandbits(64):x}"},
    )
    answer = None
    for _ in range(20):
        answer = await exchange(nodes[0].clients, data)
        if answer is not None and answer.status == 200:
            break
        await asyncio.sleep(0.5)
    record.note(f"afterwards a request is answered {answer and answer.status}")
    for watch in watches:
        watch.cancel()
    for node, platform in zip(nodes, platforms, strict=True):
        record.note(
            f"{node.node_id}: {platform.ends} ends of its own, "
            f"at most {platform.peak_mb:.0f} MB seen"
        )
    if any(watch.done() and not watch.cancelled() for watch in watches):
        raise CannotRunError("a watch ended")
    return sum(platform.ends >= 3 for platform in platforms) < 2


run_case(FOLDER, 2, play)
