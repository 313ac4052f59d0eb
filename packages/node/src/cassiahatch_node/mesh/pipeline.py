"""The open requests of a client connection, and the order of their answers."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import nullcontext
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from cassiahatch_kernel.exchanges import Indeterminate, Reason
from cassiahatch_node.mesh.answer_memory import LARGE_ANSWER_BYTES, EarlySpace
from cassiahatch_node.mesh.body_memory import BodySpace
from cassiahatch_node.mesh.client_requests import (
    Answer,
    ClientRequest,
    find_place,
    get_id,
)
from cassiahatch_node.mesh.request_reader import RequestReader
from cassiahatch_policies.pipelining import MAX_OPEN, may_open

if TYPE_CHECKING:
    from cassiahatch_node.mesh.http_server import ClientServer


@dataclass(slots=True)
class EarlyRequest:
    """A request that is served although one before it has not been answered."""

    request: ClientRequest
    space: EarlySpace
    """Memory for its answer until that is in front."""
    task: asyncio.Task[Answer]


class Pipeline:
    """Serves the requests of one connection, and hands out their answers in order.

    The first request is served by the connection's own task. Only those that arrive
    while it is open have tasks, which end with the connection.

    Parameters
    ----------
    server : ClientServer
        Provides the request handler and the memory for answers.
    reader : RequestReader
        Source of the requests.
    """

    __slots__ = ("_early", "_front", "_reader", "_server")

    def __init__(self, server: ClientServer, reader: RequestReader) -> None:
        self._server = server
        self._reader = reader
        self._front: ClientRequest | None = None
        """The request whose answer is sent next, or was sent last."""
        self._early: deque[EarlyRequest] = deque()
        """Requests behind it, in order."""

    @property
    def has_early(self) -> bool:
        """Whether requests behind the front one are served, or have their results."""
        return bool(self._early)

    @property
    def front_id(self) -> str:
        """Id of the request whose answer is sent next, or was sent last."""
        return get_id(self._front) if self._front is not None else ""

    @property
    def is_front_last(self) -> bool:
        """Whether the front request is the last one of the connection."""
        return find_place(self._front).is_last

    def list_early_ids(self) -> list[str]:
        """Return the ids of the requests behind the front one."""
        return [get_id(early.request) for early in self._early]

    async def answer_next(self) -> Answer:
        """Return the answer that is to be sent next, once there is one."""
        if self._early:
            early = self._early.popleft()
            self._front = early.request
            early.space.release()
            self.open_early()
            return await early.task
        raw, body_space = self._reader.pop()
        with body_space or nullcontext():
            self._front = self._server.handler.route(raw)
            del raw
            self.open_early()
            return await self._server.handler.answer(self._front)

    def open_early(self) -> None:
        """Serve further requests that have been read, as far as they may be served.

        Call it only while the front request has no answer.
        """
        while self._reader.requests and 1 + len(self._early) < MAX_OPEN:
            before = find_place(self._early[-1].request if self._early else self._front)
            if before.is_last or not before.is_safe:
                return
            request = self._server.handler.route(self._reader.requests[0][0])
            if not may_open(before, find_place(request), 1 + len(self._early)):
                return
            space = self._server.answer_memory.try_reserve_early(LARGE_ANSWER_BYTES)
            if space is None:
                return
            _, body_space = self._reader.pop()
            self._early.append(self._start(request, space, body_space))

    def close(self) -> None:
        """Cancel the requests behind the front one, whose answers nobody gets."""
        for early in self._early:
            early.task.cancel()
            early.space.release()
        self._early.clear()

    def _start(
        self, request: ClientRequest, space: EarlySpace, body_space: BodySpace | None
    ) -> EarlyRequest:
        task = asyncio.get_running_loop().create_task(self._answer(request, space))
        task.add_done_callback(self._server.report_failure)
        if body_space is not None:
            # Not by the task, which never begins if it is cancelled at once.
            task.add_done_callback(lambda _: body_space.release())
        return EarlyRequest(request, space, task)

    async def _answer(self, request: ClientRequest, space: EarlySpace) -> Answer:
        """Serve a request, and drop its reply if there is no memory to keep it."""
        answer = await self._server.handler.answer(request)
        if space.try_resize(answer.size):
            return answer
        result = Indeterminate(Reason.ANSWER_MEMORY_FULL)
        return msgspec.structs.replace(answer, result=result)
