"""Client for the local backend server, one for each worker task."""

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
from cassiahatch_node.mesh.backend_connection import BackendConnection
from cassiahatch_node.mesh.dialect import Dialect
from cassiahatch_node.mesh.http_messages import RawResponse, ResponseMetadata
from cassiahatch_node.mesh.response_limits import ResponseLimits

CONNECT_TIMEOUT_S = 1.0
"""A loopback connection that is not established by then will not be established."""
PROBE_TIMEOUT_S = 0.4
"""Timeout of a connection that only probes whether the backend server listens."""
IDLE_MARGIN_S = 1.0
"""Time before the backend server's idle timeout at which this end closes an idle
connection, so that no request races with the close."""
MISDIRECTED = 421
"""HTTP status of a server that the request was not meant for."""
MAX_UNMATCHED_RESPONSES = 4
"""Responses to other requests that are skipped on a connection before the call is given
up: a late response, or duplicate responses to a few requests."""


class ProbeResult(Enum):
    """Result of a TCP connection attempt to the backend server."""

    ALIVE = auto()
    REFUSED = auto()
    """The connection was refused: no process listens at the address."""
    SILENT = auto()
    """The connection was not established in time, or failed in another way."""


async def probe_backend(host: str, port: int) -> ProbeResult:
    """Probe whether the backend server accepts a connection."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            transport, _ = await loop.create_connection(asyncio.Protocol, host, port)
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except OSError:
        return ProbeResult.SILENT
    transport.abort()
    return ProbeResult.ALIVE


class BackendClient:
    """Sends one worker's calls to the backend server, over at most one connection.

    A context manager that closes the connection.

    Parameters
    ----------
    host, port : str, int
        Address of the backend server.
    dialect : Dialect
        Encoding of requests and responses.
    now : callable
        Returns monotonic seconds.
    response_limits : ResponseLimits
        Bounds the bytes buffered of incomplete responses, over all connections.
    on_answer : callable
        Called with each call, and the metadata of the response that bears its id.
    """

    __slots__ = (
        "_abort_count",
        "_connection",
        "_dialect",
        "_host",
        "_now",
        "_on_answer",
        "_port",
        "_response_limits",
    )

    def __init__(
        self,
        host: str,
        port: int,
        dialect: Dialect,
        now: Callable[[], float],
        response_limits: ResponseLimits,
        on_answer: Callable[[Call, ResponseMetadata], None],
    ) -> None:
        self._response_limits = response_limits
        self._on_answer = on_answer
        self._host = host
        self._port = port
        self._dialect = dialect
        self._now = now
        self._connection: BackendConnection | None = None
        self._abort_count = 0
        """Calls of ``abort``, to detect one that comes while a connection is opened."""

    def __enter__(self) -> BackendClient:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.abort()

    def abort(self) -> None:
        """Close the connection, which makes the backend server drop its request."""
        self._abort_count += 1
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def close_if_idle(self, now: float) -> None:
        """Close an unused connection that the backend server has closed or soon will."""
        connection = self._connection
        if connection is None:
            return
        if connection.is_closed or not connection.is_reusable(now, True):
            self.abort()

    async def run(self, call: Call, expires_at: float) -> Result:
        """Send a call to the backend server and wait for the complete response.

        Returns
        -------
        Result
            Result of the call; a rejection only if the call was certainly not run.
        """
        connection = self._connection
        if (
            connection is None
            or call.id in connection.rejected_ids
            or not connection.is_reusable(self._now(), call.is_idempotent)
        ):
            self.abort()
            abort_count = self._abort_count
            connection = await self._connect()
            if connection is None:
                return Rejection(Reason.NO_BACKEND, retry_elsewhere=True)
            if self._abort_count != abort_count:
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
        head = self._dialect.encode_call(call, expires_at - self._now())
        connection.send(head, call.method == "HEAD", call.body)
        unmatched = 0
        while True:
            response = await connection.read()
            if response is None:
                exceeded_limits = connection.exceeded_limits
                reason = (
                    Reason.BACKEND_ENDLESS if exceeded_limits else Reason.BACKEND_LOST
                )
                return Indeterminate(reason), False
            metadata = self._dialect.decode_response(response)
            if not metadata.request_id or metadata.request_id == call.id:
                break
            unmatched += 1
            if unmatched > MAX_UNMATCHED_RESPONSES:
                return Indeterminate(Reason.BACKEND_ENDLESS), False
        if metadata.request_id:
            self._on_answer(call, metadata)
        if metadata.idle_timeout_s is not None:
            connection.idle_timeout_s = max(
                0.0, metadata.idle_timeout_s - IDLE_MARGIN_S
            )
        may_reuse = (
            response.keeps_alive
            and bool(metadata.request_id)
            and not (unmatched or connection.has_extra_data)
        )
        result = _classify_response(call, response, metadata)
        if isinstance(result, Rejection):
            connection.rejected_ids.append(call.id)
        return result, may_reuse

    async def _connect(self) -> BackendConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(self._response_limits),
                    self._host,
                    self._port,
                )
        except OSError:
            return None
        connection.used_at = self._now()
        return connection


def _classify_response(
    call: Call, response: RawResponse, metadata: ResponseMetadata
) -> Result:
    if metadata.request_id != call.id:
        return Indeterminate(Reason.BACKEND_GARBLED)
    if response.status == MISDIRECTED:
        return Rejection(Reason.MISDIRECTED, retry_elsewhere=True)
    if metadata.was_not_run:
        return Rejection(Reason.SHED, retry_elsewhere=True)
    if not metadata.is_complete:
        return Indeterminate(Reason.BACKEND_GARBLED)
    return Reply(response.status, metadata.head, response.body)
