"""Spans of sampled requests."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest
import uvloop

from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.mesh.spans import Spans
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_policies.positions import compute_position
from mesh_site import Site, make_headers, send
from test_mesh import build_site


@pytest.mark.parametrize("share", [0.0, 0.1, 0.5, 1.0])
def test_each_rank_is_sampled_evenly_at_the_configured_share(share: float) -> None:
    spans = Spans(share, Journal("n", Metrics(), 1))
    for rank in (0, 2):
        positions = [compute_position(rank, f"r{number}") for number in range(2000)]
        sampled = [spans.is_sampled(position) for position in positions]
        assert abs(sum(sampled) / len(sampled) - share) < 0.05
        low = [p for p in positions if p - rank < 0.3]
        assert abs(sum(map(spans.is_sampled, low)) / len(low) - share) < 0.1


@pytest.mark.parametrize(
    ("share", "hops"), [(0.0, []), (1.0, ["backend", "send", "request"])]
)
def test_each_hop_of_a_sampled_request_has_a_span(
    share: float, hops: list[str], tmp_path: Path
) -> None:
    log = tmp_path / "log"

    async def run() -> None:
        log_fd = os.open(log, os.O_WRONLY | os.O_CREAT)
        try:
            async with asyncio.timeout(20), Site(log_fd) as site:
                site.span_share = share
                await build_site(site, ["shop", "books"])
                address = site.hosts[0].client_address
                answer = await send(address, "GET", "/read/1", make_headers("r1"))
                assert answer.status == 200
        finally:
            os.close(log_fd)

    uvloop.run(run())
    lines = map(json.loads, log.read_text().splitlines())
    spans = [line for line in lines if line["event"] == "span"]
    spans.sort(key=lambda line: line["at"])
    assert [line["hop"] for line in spans] == hops
    assert {line["request"] for line in spans} <= {"r1"}
    assert {line["outcome"] for line in spans} <= {"200"}
    durations = [line["spent_s"] for line in spans]
    assert durations == sorted(durations), (
        "a hop takes at least as long as the hops inside it"
    )
