"""Log of a node: JSON lines, rate-limited and written without blocking."""

from __future__ import annotations

import asyncio
import os
import select
import sys
import time
from collections import Counter
from types import TracebackType
from typing import Any

import msgspec
from absl import logging

from cassiahatch_node.observability.metrics import Metrics

FLUSH_INTERVAL_S = 0.25
"""Interval at which buffered lines are written."""
LINES_PER_S = 200
"""Limit on request log lines in a second; lines beyond it are only counted."""
RESERVED_LINES_PER_S = 10
"""Lines of each event and reason that are written in a second beyond the limit, so that
thousands of rejections do not hide the few requests that were lost."""
MAX_PENDING_BYTES = 262_144
"""Limit on buffered bytes while standard output is not read; further lines are
dropped."""
EXIT_WAIT_S = 0.2
"""Longest time that the end of the process waits for a reader that is slow."""
MS_PER_S = 1000

_ENCODER = msgspec.json.Encoder()


class Journal:
    """Writes log lines; a context manager that flushes them on exit.

    ``note`` logs the state and the life cycle of the process. ``trace`` logs single
    requests; its lines are rate-limited, and omitted ones are logged as counts.

    Parameters
    ----------
    node_id : str
        Node id, included in each line.
    metrics : Metrics
        Counts the omitted and dropped lines.
    descriptor : int, optional
        File descriptor that lines are written to, standard output by default.
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
        self._omitted: Counter[str] = Counter()
        self._lines_by_kind: Counter[tuple[str, Any]] = Counter()
        """Lines of the current second by event and reason."""
        self.exit_wait_s = EXIT_WAIT_S
        """Longest wait for the reader on exit."""

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
        self._wait_for_reader()

    def _wait_for_reader(self) -> None:
        """Write the rest of the buffer, for as long as the reader has time to read it."""
        ends_at = time.monotonic() + self.exit_wait_s
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        while self._pending and (wait_s := ends_at - time.monotonic()) > 0:
            if poll.poll(wait_s * MS_PER_S):
                self.flush()

    def note(self, event: str, **fields: Any) -> None:
        """Log an event of the process."""
        self._write(event, fields)

    def trace(self, event: str, **fields: Any) -> None:
        """Log an event of one request, subject to the rate limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._begin_second(second)
        self._lines += 1
        kind = event, fields.get("reason")
        self._lines_by_kind[kind] += 1
        is_over_limit = self._lines > LINES_PER_S
        if is_over_limit and self._lines_by_kind[kind] > RESERVED_LINES_PER_S:
            self._omitted[event] += 1
            self._metrics.count("log_lines_left_out")
            return
        self._write(event, fields)

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        if not self._pending:
            return
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError as error:
            logging.log_first_n(
                logging.ERROR, "log lines dropped, write failed: %s", 1, error
            )
            written = len(self._pending)
        del self._pending[:written]

    def _begin_second(self, second: int) -> None:
        omitted, self._omitted = self._omitted, Counter()
        self._second = second
        self._lines = 0
        self._lines_by_kind.clear()
        if omitted:
            self._write("lines_left_out", dict(omitted))

    def _write(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._pending) > MAX_PENDING_BYTES:
            self._metrics.count("log_lines_dropped")
            return
        line = {"at": round(time.time(), 4), "node": self._node_id, "event": event}
        line.update(fields)
        self._pending += _ENCODER.encode(line)
        self._pending += b"\n"
