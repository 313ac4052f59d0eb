"""Reports of runs, built from the log lines of nodes."""

from __future__ import annotations

import io
import json
import sys
from pathlib import Path

import msgspec
import pytest

from cassiahatch_operator import main as operator
from cassiahatch_operator.commands import ExitStatus
from cassiahatch_operator.explanation import explain, read_records
from cassiahatch_operator.report import (
    MAX_BUCKETS,
    Report,
    TooManyBucketsError,
    build_report,
)

LINES = [
    {"at": 10.1, "event": "started"},
    {"at": 10.2, "event": "configuration_in_force", "version": 3},
    {"at": 10.3, "event": "configuration_in_force", "version": 3},
    {"at": 11.0, "event": "not_answered", "reason": "edge_overload"},
    {"at": 11.1, "event": "not_answered", "reason": "edge_overload"},
    {"at": 11.2, "event": "answered_with_failure", "status": 500},
    {"at": 11.3, "event": "refused_at_edge", "cutoff": 2.5},
    {"at": 11.4, "event": "refused_at_edge", "cutoff": 1.5},
    {"at": 11.5, "event": "rejected_at_backend", "waiting": 7},
    {"at": 13.0, "event": "configuration_in_force", "version": 2},
    {"at": 13.1, "event": "configuration_in_force", "version": 5},
    {"at": 13.2, "event": "store_lost", "table": "op"},
    {"at": 13.3, "event": "lines_left_out", "not_answered": 40, "sent_again": 2},
    {"event": "without a time"},
]
MALFORMED_LINES = ["", "no json", "[1, 2]", '{"at": "late"}']


def build_sample_report(width_s: float = 1.0) -> Report:
    return build_report([*LINES, *[None] * 3], width_s)


FIELDS = [
    # bucket number, field, expected value
    (0, "life", {"started": 1}),
    (0, "newest_version", 3),
    (0, "nodes_with_version", 2),
    (1, "endings", {"edge_overload": 2, "500": 1}),
    (1, "lowest_cutoff", 1.5),
    (1, "longest_queue", 7),
    (2, "endings", {}),
    (3, "newest_version", 5),
    (3, "nodes_with_version", 1),
    (3, "life", {"store_lost": 1}),
    (3, "left_out", 42),
]


@pytest.mark.parametrize(("number", "field", "expected"), FIELDS)
def test_bucket_summarizes_its_lines(number: int, field: str, expected: object) -> None:
    report = build_sample_report()
    assert [bucket.begin for bucket in report.buckets] == [10.0, 11.0, 12.0, 13.0]
    assert msgspec.to_builtins(report.buckets[number])[field] == expected
    assert report.unread_lines == 4


def test_wider_bucket_counts_all_failures() -> None:
    report = build_sample_report(10.0)
    assert len(report.buckets) == 1
    assert report.buckets[0].failures.total() == 3


def test_long_time_range_needs_wider_buckets() -> None:
    records = [{"at": 0.0}, {"at": float(MAX_BUCKETS)}]
    with pytest.raises(TooManyBucketsError):
        build_report(records, 1.0)
    assert len(build_report(records, 10.0).buckets) == MAX_BUCKETS // 10 + 1


def run_command(monkeypatch: pytest.MonkeyPatch, *arguments: str) -> int:
    monkeypatch.setattr(sys, "argv", ["cassiahatch", "report", *arguments])
    with pytest.raises(SystemExit) as raised:
        operator.run()
    return raised.value.code


def test_command_prints_a_table_and_writes_a_plot(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture, tmp_path: Path
) -> None:
    log, plot = tmp_path / "n.log", tmp_path / "run.png"
    log.write_text("\n".join([*map(json.dumps, LINES), *MALFORMED_LINES]))
    assert run_command(monkeypatch, str(log), "--picture", str(plot)) == ExitStatus.OK
    output = capsys.readouterr().out
    assert "edge_overload 2, 500 1" in output
    assert "lines could not be read" in output
    assert plot.read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    ("arguments", "status", "code"),
    [
        (["--width", "0"], ExitStatus.FAILED, "bad_width"),
        (["missing.log"], ExitStatus.FAILED, "unreadable_log_file"),
        (["--picture", "/nowhere/x.png"], ExitStatus.FAILED, "no_picture"),
        (["--json"], ExitStatus.OK, ""),
    ],
)
def test_command_exits_with_status_and_error_code(
    arguments: list[str],
    status: ExitStatus,
    code: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture,
) -> None:
    lines = "\n".join([*map(json.dumps, LINES), *MALFORMED_LINES])
    monkeypatch.setattr(sys, "stdin", io.TextIOWrapper(io.BytesIO(lines.encode())))
    assert run_command(monkeypatch, *arguments) == status
    output = capsys.readouterr()
    if code:
        assert f"error {code}" in output.err
    else:
        assert json.loads(output.out)["width_s"] == 1.0


def test_spans_are_steps_but_not_failures(tmp_path: Path) -> None:
    log = tmp_path / "n.log"
    span = {"at": 1.0, "node": "n", "event": "span", "request": "a", "outcome": "200"}
    log.write_text(json.dumps(span))
    explanation = explain("a", read_records([log]))
    assert len(explanation.steps) == 1
    assert "answered" in explanation.cause
