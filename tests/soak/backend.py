"""Stand-ins for backend servers that call other services while they run requests."""

from __future__ import annotations

import asyncio

from mesh_site import Arrival, Backend, Message, send

DOWNSTREAM_PATHS = {"shop": "/books/", "books": "/maps/"}
"""Path that is called while a request runs, by service."""
SLOTS = 4
SERVICE_TIME_S = 0.01
CALL_TIMEOUT_S = 1.5


class CallingBackend(Backend):
    """A backend server that calls the next service while it runs a request.

    Parameters
    ----------
    node_address : str
        Address of the node on its own VM, to which it sends the calls.
    """

    def __init__(self, service: str, instance: str, node_address: str) -> None:
        super().__init__(service, instance, SLOTS)
        self.work_s = SERVICE_TIME_S
        self._node_address = node_address

    async def _handle_request(self, message: Message, writer, reader) -> bool:
        path = DOWNSTREAM_PATHS.get(self.service)
        request_id = message.headers.get("cassiahatch-request-id", "")
        expected = message.headers.get("cassiahatch-expect-instance")
        if path and request_id.count(".") < 2 and expected == self.instance:
            if not await self._call(path, request_id):
                arrival = Arrival(self.instance, message, self._read_clock())
                self.arrivals.append(arrival)
                writer.write(self._render(500, request_id, b"a call failed"))
                return True
        return await super()._handle_request(message, writer, reader)

    async def _call(self, path: str, request_id: str) -> bool:
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

    def _read_clock(self) -> float:
        return asyncio.get_running_loop().time()
