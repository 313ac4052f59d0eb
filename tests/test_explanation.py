"""Causes of failed requests, determined from log lines by the id of the request."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

import pytest
import uvloop

from cassiahatch_kernel.exchanges import Reason
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_node.observability.metrics import Metrics
from cassiahatch_operator import main as operator
from cassiahatch_operator.commands import ExitStatus, explain_request
from cassiahatch_operator.explanation import CAUSES, explain, read_records
from mesh_site import Site, make_headers, send
from test_mesh import build_site


def render_line(at: float, event: str, request: str, **details: object) -> str:
    return json.dumps(
        {"at": at, "node": "n", "event": event, "request": request} | details
    )


CASES = [
    # log lines, start of the expected cause
    ([], "no log line"),
    (
        [render_line(1, "refused_at_edge", "a", reason="edge_overload")],
        "refused at the edge",
    ),
    (
        [
            render_line(3, "answered_with_failure", "a", status=500),
            render_line(2, "not_answered", "a.b", reason="queue_expired"),
            render_line(1, "rejected_at_backend", "a.b", reason="queue_expired"),
            render_line(1, "rejected_at_backend", "ab", reason="shed"),
        ],
        "it waited in the queue",
    ),
    (
        [render_line(1, "answered_with_failure", "a", status=500)],
        "the backend server itself",
    ),
    (
        [
            "{broken",
            "",
            "7",
            render_line(1, "backend_failed", "a", reason="backend_lost"),
        ],
        "the backend server broke off",
    ),
]


@pytest.mark.parametrize(("lines", "cause"), CASES)
def test_deepest_failure_is_the_cause(
    lines: list[str], cause: str, tmp_path: Path
) -> None:
    path = tmp_path / "n.log"
    path.write_text("\n".join(f"12.5 n1 {text}" for text in lines) + "\n")
    explanation = explain("a", read_records([path]))
    assert explanation.cause.startswith(cause)
    assert [step.at for step in explanation.steps] == sorted(
        step.at for step in explanation.steps
    )


def test_every_reason_has_a_cause_text() -> None:
    assert CAUSES.keys() == set(Reason)


@pytest.mark.parametrize("as_json", [True, False])
def test_command_prints_the_cause(
    as_json: bool, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "n.log"
    path.write_text(
        render_line(1, "not_answered", "a", reason="no_member") + "\nbroken\n"
    )
    assert explain_request("a", [path], as_json) is ExitStatus.OK
    assert "no backend server" in capsys.readouterr().out
    assert explain_request("b", [path], as_json) is ExitStatus.FAILED


def test_missing_file_is_reported_with_an_error_code(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.argv", ["cassiahatch", "explain", "a", "none.log"])
    with pytest.raises(SystemExit) as raised:
        operator.run()
    assert raised.value.code == ExitStatus.FAILED
    assert "unreadable_log_file" in capsys.readouterr().err


FAILURES = [
    # failure injected into the site, method, path, expected reason
    ("shed", "POST", "/order/1", Reason.SHED),
    ("reset", "POST", "/order/1", Reason.BACKEND_LOST),
    ("garbage", "POST", "/order/1", Reason.BACKEND_LOST),
    ("unstamped", "POST", "/order/1", Reason.BACKEND_GARBLED),
    ("ran_but_000", "POST", "/order/1", Reason.BACKEND_GARBLED),
    ("ran_but_000", "HEAD", "/order/1", Reason.BACKEND_GARBLED),
    ("ran_but_600", "POST", "/order/1", Reason.BACKEND_GARBLED),
    ("leave", "GET", "/read/1", Reason.NO_MEMBER),
    ("no_route", "GET", "/none/1", Reason.NO_ROUTE),
]


@pytest.mark.parametrize(("action", "method", "path", "reason"), FAILURES)
def test_injected_failure_is_found_as_the_cause(
    action: str, method: str, path: str, reason: Reason, tmp_path: Path
) -> None:
    log = tmp_path / "all.log"

    async def run_site() -> None:
        descriptor = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        async with asyncio.timeout(20), Site(descriptor) as site:
            await build_site(site, ["shop", "books"])
            books = site.hosts[1]
            books.backend.script = [action] * 20
            if action == "leave":
                leave = f"/v1/Instances.Leave/{books.backend.instance}"
                await books.send_control("POST", leave)
            for name in ("r1", "r2"):
                await send(
                    site.hosts[0].client_address, method, path, make_headers(name)
                )
        os.close(descriptor)

    uvloop.run(run_site())
    explanation = explain("r1", read_records([log]))
    assert explanation.cause.startswith(CAUSES[reason])
    assert all(step.request == "r1" for step in explanation.steps)


def test_many_rejections_do_not_hide_a_lost_request(tmp_path: Path) -> None:
    path = tmp_path / "n.log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    try:
        with Journal("n", Metrics(), descriptor) as journal:
            for number in range(2000):
                journal.trace("not_answered", request=f"r{number}", reason="edge")
            journal.trace("not_answered", request="x", reason="backend_lost")
    finally:
        os.close(descriptor)
    assert explain("x", read_records([path])).steps
    assert len(path.read_text().splitlines()) < 1000, (
        "the number of log lines is not limited"
    )
