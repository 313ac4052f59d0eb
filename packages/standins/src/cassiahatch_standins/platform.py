"""Stand-in for the platform's table service and object store, with faults.

Run it with ``python -m cassiahatch_standins.platform PORT``. ``PUT /faults`` with a
JSON body of ``Faults`` sets the faults; ``GET /faults`` returns the load.
"""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass, field

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cassiahatch_node.adapters.table import (
    RowBody,
    ScanBody,
    TransactionBody,
    TransactionReply,
)

HOST = "127.0.0.1"
WRITES_PER_S = 500
READS_PER_S = 2000


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults that the platform simulates at present."""

    outage: bool = False
    """Whether all requests are answered with status 503."""
    delay_s: float = 0.0
    """Time by which each request is delayed."""
    lose_answers: bool = False
    """Whether writes take effect but their connections close without a response."""
    garbage: bool = False
    """Whether reads are answered with bytes that are not JSON."""


@dataclass(slots=True)
class RateLimiter:
    """Limit of operations in each second of the monotonic clock."""

    limit_per_s: int
    second: int = 0
    used: int = 0
    """Operations in the current second."""
    total: int = 0
    peak: int = 0
    """Largest number of operations in one second."""

    def admit(self) -> bool:
        """Count an operation, and return whether it is within the limit."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.used = 0
        self.used += 1
        self.total += 1
        self.peak = max(self.peak, self.used)
        return self.used <= self.limit_per_s


@dataclass(slots=True)
class Platform:
    """State of the platform: its rows, objects, faults and load."""

    rows: dict[str, RowBody] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    """Revision at which each removed key was removed."""
    objects: dict[str, bytes] = field(default_factory=dict)
    revision: int = 0
    faults: Faults = field(default_factory=Faults)
    writes: RateLimiter = field(default_factory=lambda: RateLimiter(WRITES_PER_S))
    reads: RateLimiter = field(default_factory=lambda: RateLimiter(READS_PER_S))

    def transact(self, transaction: TransactionBody) -> TransactionReply:
        """Apply a transaction if all its conditions hold."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            version = row.version if row else 0
            if version != condition.version:
                return TransactionReply(False, self.revision, condition.key, version)
        self.revision += 1
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                self.removed[write.key] = self.revision
            else:
                self.rows[write.key] = RowBody(write.key, write.value, self.revision)
                self.removed.pop(write.key, None)
        return TransactionReply(True, self.revision)

    def scan(self, prefix: str, since: int) -> ScanBody:
        """Return the rows changed and keys removed under a prefix after ``since``."""
        rows = tuple(
            row
            for row in self.rows.values()
            if row.key.startswith(prefix) and row.version > since
        )
        removed = tuple(
            key
            for key, revision in self.removed.items()
            if key.startswith(prefix) and revision > since
        )
        return ScanBody(rows, removed, self.revision)


class PlatformHandler(RequestHandler):
    """Base of the handlers, which applies the faults and limits to each request."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform's state."""
        self.platform = platform

    async def prepare(self) -> None:
        """Delay or fail the request according to the faults and the rate limits."""
        faults = self.platform.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        is_read = self.request.method == "GET"
        limiter = self.platform.reads if is_read else self.platform.writes
        if faults.outage or not limiter.admit():
            self.set_status(503)
            self.finish()
        elif faults.garbage and is_read:
            self.finish(b"\x00not json")

    def reply(self, message: object) -> None:
        """Send a response, or close the connection if responses to writes are lost."""
        if self.platform.faults.lose_answers and self.request.method != "GET":
            self.request.connection.stream.close()
            return
        self.write(msgspec.json.encode(message))


class RowHandler(PlatformHandler):
    """Reads one row."""

    def get(self, key: str) -> None:
        """Return the row, or status 404."""
        row = self.platform.rows.get(key)
        if row is None:
            self.set_status(404)
            return
        self.reply(row)


class ScanHandler(PlatformHandler):
    """Reads the changes under a prefix."""

    def get(self) -> None:
        """Return the rows changed and keys removed after a revision."""
        prefix = self.get_query_argument("prefix")
        since = int(self.get_query_argument("since"))
        self.reply(self.platform.scan(prefix, since))


class TransactionHandler(PlatformHandler):
    """Runs transactions."""

    def post(self) -> None:
        """Apply a transaction, and return its result."""
        body = msgspec.json.decode(self.request.body, type=TransactionBody)
        self.reply(self.platform.transact(body))


class ObjectHandler(PlatformHandler):
    """Reads and writes objects."""

    def get(self, name: str) -> None:
        """Return an object, or status 404."""
        body = self.platform.objects.get(name)
        if body is None:
            self.set_status(404)
            return
        self.write(body)

    def put(self, name: str) -> None:
        """Store an object."""
        self.platform.objects[name] = self.request.body
        self.reply({})


class FaultsHandler(RequestHandler):
    """Sets the faults and returns the load."""

    def initialize(self, platform: Platform) -> None:
        """Store the platform's state."""
        self.platform = platform

    def put(self) -> None:
        """Replace the faults by those in the request body."""
        self.platform.faults = msgspec.json.decode(self.request.body, type=Faults)

    def get(self) -> None:
        """Return the total reads and writes and the most of each in one second."""
        reads, writes = self.platform.reads, self.platform.writes
        usage = {
            "reads": reads.total,
            "writes": writes.total,
            "highest_reads": reads.peak,
            "highest_writes": writes.peak,
        }
        self.write(msgspec.json.encode(usage))


def make_application(platform: Platform) -> Application:
    """Return the platform's HTTP application."""
    options = {"platform": platform}
    return Application(
        [
            (r"/v1/rows/(.+)", RowHandler, options),
            (r"/v1/rows", ScanHandler, options),
            (r"/v1/transactions", TransactionHandler, options),
            (r"/objects/(.+)", ObjectHandler, options),
            (r"/faults", FaultsHandler, options),
        ],
        log_function=lambda handler: None,
    )


async def serve(port: int) -> None:
    """Serve until the process is terminated."""
    server = HTTPServer(make_application(Platform()))
    server.listen(port, HOST)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
