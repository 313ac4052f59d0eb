"""Client of the platform's table service, which uses JSON over HTTP."""

from __future__ import annotations

import base64
from urllib.parse import quote

import msgspec
from tornado.httpclient import HTTPResponse

from cassiahatch_kernel.decoding import UNDECODABLE
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
    """Encoding of a row, with its value in base64."""

    key: str
    value: str
    version: int


class ScanBody(msgspec.Struct, frozen=True):
    """Rows changed and keys removed after a revision."""

    rows: tuple[RowBody, ...]
    removed: tuple[str, ...]
    revision: int


class ConditionBody(msgspec.Struct, frozen=True):
    """Version that a row must have for the transaction to commit."""

    key: str
    version: int


class WriteBody(msgspec.Struct, frozen=True):
    """New value of a row in base64, or null to remove the row."""

    key: str
    value: str | None


class TransactionBody(msgspec.Struct, frozen=True):
    """Conditions and writes of one transaction."""

    conditions: tuple[ConditionBody, ...]
    writes: tuple[WriteBody, ...]


class TransactionReply(msgspec.Struct, frozen=True):
    """Revision after the commit, or the row whose condition failed."""

    committed: bool
    revision: int
    key: str = ""
    version: int = 0


@PLUGINS.register("table", "http")
class HttpTable:
    """Table service that is accessed over HTTP.

    Parameters
    ----------
    url : str
        Scheme, host and port of the table service.
    timeout_s : float
        Timeout of a request.
    """

    __slots__ = ("_platform",)

    def __init__(self, url: str, timeout_s: float) -> None:
        self._platform = PlatformClient("table", url, timeout_s)

    def close(self) -> None:
        """Close the client."""
        self._platform.close()

    async def read(self, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        response = await self._platform.fetch("GET", f"/v1/rows/{quote(key, safe='')}")
        if response.code == 404:
            return None
        return _decode_row(_decode(response, RowBody))

    async def scan(self, prefix: str, since: int = 0) -> Scan:
        """Return the rows under ``prefix`` that changed after revision ``since``."""
        path = f"/v1/rows?prefix={quote(prefix, safe='')}&since={since}"
        body = _decode(await self._platform.fetch("GET", path), ScanBody)
        rows = tuple(_decode_row(row) for row in body.rows)
        return Scan(rows, body.removed, body.revision)

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Committed | Conflict:
        """Apply all writes if every condition holds, otherwise none."""
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


def _decode_row(body: RowBody) -> Row:
    try:
        return Row(body.key, base64.b64decode(body.value, validate=True), body.version)
    except ValueError:
        raise BadStoreDataError(f"{body.key}: the value is not valid base64") from None


def _decode(response: HTTPResponse, body_type: type) -> object:
    if response.code != 200:
        raise BadStoreDataError(f"table: expected status 200, got {response.code}")
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except UNDECODABLE as error:
        raise BadStoreDataError(f"table: {error}") from None
