"""Stand-ins for backend servers that call other services while they run requests."""

from __future__ import annotations

import asyncio
import math
import re

from mesh_site import Arrival, Backend, Message, send

SERVICE_NAMES = ("shop", "books", "maps")
"""``shop`` calls ``books``, which calls ``maps``."""
DOWNSTREAM_PATHS = {"shop": "/books/", "books": "/maps/"}
"""Path that is called while a request runs, by service."""
SLOTS = 8
SERVICE_TIME_S = 0.01
CALL_TIMEOUT_S = 1.5
_ORDER_PATTERN = re.compile(r"-w(\d+)-b(\d+)$")


def render_order(answer_bytes: int, work_s: float) -> str:
    """Return the end of a request id that orders a size of the answer, and work."""
    return f"-w{round(work_s * 1000)}-b{answer_bytes}"


def make_answer_body(instance: str, request_id: str) -> bytes:
    """Return the body of the answer to a request without a body."""
    order = _ORDER_PATTERN.search(request_id)
    size = int(order[2]) if order else 0
    return f"{instance}:{request_id}".encode().ljust(size, b".")


class CallingBackend(Backend):
    """A backend server that calls the next service while it runs a request.

    Parameters
    ----------
    node_address : str
        Address of the node on its own VM, to which it sends the calls.
    """

    def __init__(self, service: str, instance: str, node_address: str) -> None:
        super().__init__(service, instance, SLOTS)
        self.make_body = lambda request_id: make_answer_body(instance, request_id)
        self.crashed_at = math.inf
        self._node_address = node_address

    def crash(self) -> None:
        """Stop listening and abort all connections."""
        self.crashed_at = asyncio.get_running_loop().time()
        super().crash()

    async def _handle_request(self, message: Message, writer, reader) -> bool:
        order = _ORDER_PATTERN.search(message.headers.get("cassiahatch-request-id", ""))
        # Read before the first await of the base class.
        self.work_s = int(order[1]) / 1000 if order else SERVICE_TIME_S
        return await super()._handle_request(message, writer, reader)

    async def _make_calls(self, arrival: Arrival, is_caused_by_retry: bool) -> bool:
        path = DOWNSTREAM_PATHS.get(self.service)
        request_id = arrival.message.headers.get("cassiahatch-request-id", "")
        if not path or request_id.count(".") >= 2:
            return True
        headers = {
            "Cassiahatch-Request-Id": f"{request_id}.c",
            "Cassiahatch-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await send(self._node_address, "GET", path, headers)
        except (TimeoutError, OSError):
            return False
        return answer.status == 200
