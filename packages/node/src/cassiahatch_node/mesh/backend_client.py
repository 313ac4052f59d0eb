"""What tasks use to talk to the backend server: each runs one job after the other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from types import TracebackType

from cassiahatch_kernel.exchanges import (
    Call,
    Indeterminate,
    Reason,
    Rejection,
    Reply,
    Result,
)
from cassiahatch_node.mesh.answer_buffers import AnswerBuffers
from cassiahatch_node.mesh.backend_connection import BackendConnection
from cassiahatch_node.mesh.dialect import Dialect
from cassiahatch_node.mesh.http_messages import RawResponse, ResponseMetadata

CONNECT_TIMEOUT_S = 1.0
"""A loopback connection that takes longer never comes."""
PROBE_TIMEOUT_S = 0.4
"""Longest time of a connection that only finds out whether somebody listens."""
IDLE_MARGIN_S = 1.0
"""How much sooner than the backend server this end lets go of an unused connection."""
MISDIRECTED = 421
MAX_STRAYS = 4
"""Answers to other requests passed over on one connection: a late one, or a second one
to each of a few requests."""


class BackendSign(Enum):
    """What a connection that carries nothing tells of the backend server."""

    ALIVE = auto()
    REFUSED = auto()
    """Nobody listens at its address."""
    SILENT = auto()


async def probe_backend(host: str, port: int) -> BackendSign:
    """Tell whether the backend server takes a connection."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            transport, _ = await loop.create_connection(asyncio.Protocol, host, port)
    except ConnectionRefusedError:
        return BackendSign.REFUSED
    except OSError:
        return BackendSign.SILENT
    transport.abort()
    return BackendSign.ALIVE


class BackendLine:
    """What one task uses to talk to the backend server; holds at most one connection.

    A context manager that ends the connection.

    Parameters
    ----------
    host, port : str, int
        Address of the backend server.
    dialect : Dialect
        Encoding of requests and responses.
    now : callable
        Returns clock seconds.
    answer_buffers : AnswerBuffers
        Bounds what is held of answers, over all lines.
    """

    __slots__ = (
        "_aborts",
        "_connection",
        "_dialect",
        "_host",
        "_now",
        "_answer_buffers",
        "_port",
    )

    def __init__(
        self,
        host: str,
        port: int,
        dialect: Dialect,
        now: Callable[[], float],
        answer_buffers: AnswerBuffers,
    ) -> None:
        self._answer_buffers = answer_buffers
        self._host = host
        self._port = port
        self._dialect = dialect
        self._now = now
        self._connection: BackendConnection | None = None
        self._aborts = 0

    def __enter__(self) -> BackendLine:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.abort()

    def abort(self) -> None:
        """End the connection; the backend server drops what it runs on it."""
        self._aborts += 1
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def drop_if_idle(self, now: float) -> None:
        """End a connection that the backend server is about to close."""
        connection = self._connection
        if connection is None:
            return
        if connection.is_closed or not connection.is_fresh(now, True):
            self.abort()

    async def run(self, call: Call, expires_at: float) -> Result:
        """Send a call to the backend server and wait for its whole answer.

        Returns
        -------
        Result
            How the call ended; a rejection only if it was certainly not run.
        """
        connection = self._connection
        if connection is None or not connection.is_fresh(
            self._now(), call.is_idempotent
        ):
            self.abort()
            aborts = self._aborts
            connection = await self._connect()
            if connection is None:
                return Rejection(Reason.NO_BACKEND, retry_elsewhere=True)
            if self._aborts != aborts:
                connection.close()
                return Rejection(Reason.CLIENT_LEFT)
            self._connection = connection
        result, may_reuse = await self._exchange(connection, call, expires_at)
        connection.used_at = self._now()
        if not may_reuse:
            self.abort()
        return result

    async def _exchange(
        self, connection: BackendConnection, call: Call, expires_at: float
    ) -> tuple[Result, bool]:
        data = self._dialect.write_call(call, expires_at - self._now())
        connection.send(data, call.method == "HEAD")
        strays = 0
        while True:
            response = await connection.read()
            if response is None:
                is_endless = connection.is_endless
                reason = Reason.BACKEND_ENDLESS if is_endless else Reason.BACKEND_LOST
                return Indeterminate(reason), False
            facts = self._dialect.read_reply(response)
            if not facts.request_id or facts.request_id == call.id:
                break
            strays += 1
            if strays > MAX_STRAYS:
                return Indeterminate(Reason.BACKEND_ENDLESS), False
        if facts.idle_timeout_s is not None:
            connection.idle_timeout_s = max(0.0, facts.idle_timeout_s - IDLE_MARGIN_S)
        may_reuse = response.keeps_alive and not (strays or connection.has_extra)
        return _judge(call, response, facts), may_reuse

    async def _connect(self) -> BackendConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(self._answer_buffers),
                    self._host,
                    self._port,
                )
        except OSError:
            return None
        connection.used_at = self._now()
        return connection


def _judge(call: Call, response: RawResponse, facts: ResponseMetadata) -> Result:
    if response.status == MISDIRECTED:
        return Rejection(Reason.MISDIRECTED, retry_elsewhere=True)
    if facts.was_not_run:
        return Rejection(Reason.SHED, retry_elsewhere=True)
    if not facts.is_complete or facts.request_id != call.id:
        return Indeterminate(Reason.BACKEND_GARBLED)
    return Reply(response.status, facts.head, response.body)
