"""The log of a node: one JSON object a line, bounded and never blocking."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import Counter
from types import TracebackType
from typing import Any

import msgspec
from absl import logging

from cassiahatch_node.observability.metrics import Metrics

FLUSH_INTERVAL_S = 0.25
"""How long a line may wait to be written."""
LINES_PER_S = 200
"""Lines about requests that are written in a second; more are only counted."""
RESERVED_LINES_PER_S = 10
"""Lines of one event and reason that a second always has room for: thousands of
refusals must not hide the few requests that were lost."""
MAX_PENDING_BYTES = 262_144
"""Bytes that wait for a reader of standard output; more are dropped."""

_ENCODER = msgspec.json.Encoder()


class Journal:
    """Writes log lines; a context manager that writes the last ones when it ends.

    ``note`` is for what the process believes and for its life, ``trace`` for single
    requests: those lines are limited, and the limit says what it left out.

    Parameters
    ----------
    node_id : str
        Named on each line.
    metrics : Metrics
        Counts the lines left out.
    descriptor : int, optional
        Where lines go, standard output by default.
    """

    def __init__(
        self, node_id: str, metrics: Metrics, descriptor: int | None = None
    ) -> None:
        self._node_id = node_id
        self._metrics = metrics
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._pending = bytearray()
        self._second = 0
        self._lines = 0
        self._left_out: Counter[str] = Counter()
        self._by_kind: Counter[tuple[str, Any]] = Counter()
        """Lines of this second by event and reason."""

    def __enter__(self) -> Journal:
        os.set_blocking(self._descriptor, False)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.flush()

    def note(self, event: str, **fields: Any) -> None:
        """Write a line about the process."""
        self._write(event, fields)

    def trace(self, event: str, **fields: Any) -> None:
        """Write a line about one request, if the second has room for it."""
        second = int(time.monotonic())
        if second != self._second:
            self._begin_second(second)
        self._lines += 1
        kind = event, fields.get("reason")
        self._by_kind[kind] += 1
        is_over = self._lines > LINES_PER_S
        if is_over and self._by_kind[kind] > RESERVED_LINES_PER_S:
            self._left_out[event] += 1
            self._metrics.count("log_lines_left_out")
            return
        self._write(event, fields)

    async def run(self) -> None:
        """Write what has gathered, for ever."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError as error:
            logging.log_first_n(logging.ERROR, "log not written: %s", 1, error)
            written = len(self._pending)
        del self._pending[:written]

    def _begin_second(self, second: int) -> None:
        left_out, self._left_out = self._left_out, Counter()
        self._second = second
        self._lines = 0
        self._by_kind.clear()
        if left_out:
            self._write("lines_left_out", dict(left_out))

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._pending) > MAX_PENDING_BYTES:
            self._metrics.count("log_lines_dropped")
            return
        line = {"at": round(time.time(), 4), "node": self._node_id, "event": event}
        line.update(fields)
        self._pending += _ENCODER.encode(line)
        self._pending += b"\n"
