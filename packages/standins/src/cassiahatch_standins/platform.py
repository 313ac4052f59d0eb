"""Stand-in for the platform's table service and object store, with faults.

Run it with ``python -m cassiahatch_standins.platform PORT``. ``PUT /faults`` with a
JSON body of ``Faults`` switches the faults.
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
    """What is wrong with the platform now."""

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: bool = False
    """Writes take effect but are not answered."""
    garbage: bool = False
    """Reads are answered with what is not JSON."""


@dataclass(slots=True)
class Budget:
    """Operations allowed in the current second."""

    per_s: int
    second: int = 0
    used: int = 0
    total: int = 0
    highest: int = 0
    """Most operations seen in one second."""

    def take(self) -> bool:
        """Count an operation, and tell whether it is allowed."""
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.used = 0
        self.used += 1
        self.total += 1
        self.highest = max(self.highest, self.used)
        return self.used <= self.per_s


@dataclass(slots=True)
class Platform:
    """Rows, objects and faults."""

    rows: dict[str, RowBody] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    revision: int = 0
    faults: Faults = field(default_factory=Faults)
    writes: Budget = field(default_factory=lambda: Budget(WRITES_PER_S))
    reads: Budget = field(default_factory=lambda: Budget(READS_PER_S))

    def transact(self, transaction: TransactionBody) -> TransactionReply:
        """Apply a transaction if its conditions hold."""
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
        """Return what changed below a prefix."""
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
    """Applies the faults around each request."""

    def initialize(self, platform: Platform) -> None:
        """Take over the platform."""
        self.platform = platform

    async def prepare(self) -> None:
        """Be slow, be out, or refuse what is over the limits."""
        faults = self.platform.faults
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        is_read = self.request.method == "GET"
        budget = self.platform.reads if is_read else self.platform.writes
        if faults.outage or not budget.take():
            self.set_status(503)
            self.finish()
        elif faults.garbage and is_read:
            self.finish(b"\x00not json")

    def answer(self, message: object) -> None:
        """Answer, unless answers to writes are lost."""
        if self.platform.faults.lose_answers and self.request.method != "GET":
            self.request.connection.stream.close()
            return
        self.write(msgspec.json.encode(message))


class RowHandler(PlatformHandler):
    """Reads one row."""

    def get(self, key: str) -> None:
        """Answer with the row."""
        row = self.platform.rows.get(key)
        if row is None:
            self.set_status(404)
            return
        self.answer(row)


class ScanHandler(PlatformHandler):
    """Reads many rows."""

    def get(self) -> None:
        """Answer with what changed."""
        prefix = self.get_query_argument("prefix")
        since = int(self.get_query_argument("since"))
        self.answer(self.platform.scan(prefix, since))


class TransactionHandler(PlatformHandler):
    """Writes rows."""

    def post(self) -> None:
        """Apply a transaction."""
        body = msgspec.json.decode(self.request.body, type=TransactionBody)
        self.answer(self.platform.transact(body))


class ObjectHandler(PlatformHandler):
    """Reads and writes objects."""

    def get(self, name: str) -> None:
        """Answer with an object."""
        body = self.platform.objects.get(name)
        if body is None:
            self.set_status(404)
            return
        self.write(body)

    def put(self, name: str) -> None:
        """Store an object."""
        self.platform.objects[name] = self.request.body
        self.answer({})


class FaultsHandler(RequestHandler):
    """Switches faults, and tells how much the platform was used."""

    def initialize(self, platform: Platform) -> None:
        """Take over the platform."""
        self.platform = platform

    def put(self) -> None:
        """Switch the faults."""
        self.platform.faults = msgspec.json.decode(self.request.body, type=Faults)

    def get(self) -> None:
        """Answer with totals and the highest use in one second."""
        reads, writes = self.platform.reads, self.platform.writes
        usage = {
            "reads": reads.total,
            "writes": writes.total,
            "highest_reads": reads.highest,
            "highest_writes": writes.highest,
        }
        self.write(msgspec.json.encode(usage))


def make_application(platform: Platform) -> Application:
    """Return the HTTP application of a platform."""
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
    """Serve until the process is ended."""
    server = HTTPServer(make_application(Platform()))
    server.listen(port, HOST)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1])))
