"""Client of the platform's table service: JSON over HTTP."""

from __future__ import annotations

import base64
from urllib.parse import quote

import msgspec
from tornado.httpclient import HTTPResponse

from cassiahatch_kernel.ports import (
    BadStoreDataError,
    Committed,
    Condition,
    Conflict,
    Row,
    Scan,
    Write,
)
from cassiahatch_kernel.registry import PLUGINS
from cassiahatch_node.adapters.platform import PlatformClient


class RowBody(msgspec.Struct, frozen=True):
    """A row as the service sends it; the value is in base64."""

    key: str
    value: str
    version: int


class ScanBody(msgspec.Struct, frozen=True):
    """Rows changed after a revision."""

    rows: tuple[RowBody, ...]
    removed: tuple[str, ...]
    revision: int


class ConditionBody(msgspec.Struct, frozen=True):
    """A row must have this version."""

    key: str
    version: int


class WriteBody(msgspec.Struct, frozen=True):
    """A new value in base64, or null to remove the row."""

    key: str
    value: str | None


class TransactionBody(msgspec.Struct, frozen=True):
    """Conditions and writes of one transaction."""

    conditions: tuple[ConditionBody, ...]
    writes: tuple[WriteBody, ...]


class TransactionReply(msgspec.Struct, frozen=True):
    """The revision after a commit, or the row whose condition failed."""

    committed: bool
    revision: int
    key: str = ""
    version: int = 0


@PLUGINS.register("table", "http")
class HttpTable:
    """The table service at a URL.

    Parameters
    ----------
    url : str
        Scheme, host and port.
    timeout_s : float
        How long to wait for an answer.
    """

    __slots__ = ("_platform",)

    def __init__(self, url: str, timeout_s: float) -> None:
        self._platform = PlatformClient("table", url, timeout_s)

    def close(self) -> None:
        """Close the client."""
        self._platform.close()

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        response = await self._platform.fetch("GET", f"/v1/rows/{quote(key, safe='')}")
        if response.code == 404:
            return None
        return _read_row(_decode(response, RowBody))

    async def scan(self, prefix: str, since: int = 0) -> Scan:
        """Return the rows below ``prefix`` that changed after ``since``."""
        path = f"/v1/rows?prefix={quote(prefix, safe='')}&since={since}"
        body = _decode(await self._platform.fetch("GET", path), ScanBody)
        rows = tuple(_read_row(row) for row in body.rows)
        return Scan(rows, body.removed, body.revision)

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Committed | Conflict:
        """Apply all writes if every condition holds, else none."""
        transaction = TransactionBody(
            tuple(ConditionBody(c.key, c.version) for c in conditions),
            tuple(WriteBody(w.key, _encode_value(w.value)) for w in writes),
        )
        body = msgspec.json.encode(transaction)
        response = await self._platform.fetch("POST", "/v1/transactions", body)
        reply = _decode(response, TransactionReply)
        if reply.committed:
            return Committed(reply.revision)
        return Conflict(reply.key, reply.version)


def _encode_value(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _read_row(body: RowBody) -> Row:
    try:
        return Row(body.key, base64.b64decode(body.value, validate=True), body.version)
    except ValueError:
        raise BadStoreDataError(f"{body.key}: not base64") from None


def _decode(response: HTTPResponse, kind: type) -> object:
    if response.code != 200:
        raise BadStoreDataError(f"table: unexpected status {response.code}")
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise BadStoreDataError(f"table: {error}") from None
