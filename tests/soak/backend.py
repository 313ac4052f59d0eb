"""Backend servers whose runs make calls of their own."""

from __future__ import annotations

import asyncio

from mesh_site import Arrival, Backend, Message, send

CALLS = {"shop": "/books/", "books": "/maps/"}
SLOTS = 4
WORK_S = 0.01
CALL_TIMEOUT_S = 1.5


class CallingBackend(Backend):
    """A backend server whose runs call the next service through the own node."""

    def __init__(self, service: str, instance: str, clients: str) -> None:
        super().__init__(service, instance, SLOTS)
        self.work_s = WORK_S
        self._clients = clients

    async def _handle_request(self, message: Message, writer, reader) -> bool:
        path = CALLS.get(self.service)
        request_id = message.headers.get("cassiahatch-request-id", "")
        expected = message.headers.get("cassiahatch-expect-instance")
        if path and request_id.count(".") < 2 and expected == self.instance:
            if not await self._call(path, request_id):
                entry = Arrival(self.instance, message, self._read_clock())
                self.arrivals.append(entry)
                writer.write(self._render(500, request_id, b"a call failed"))
                return True
        return await super()._handle_request(message, writer, reader)

    async def _call(self, path: str, request_id: str) -> bool:
        fields = {
            "Cassiahatch-Request-Id": f"{request_id}.c",
            "Cassiahatch-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await send(self._clients, "GET", path, fields)
        except (TimeoutError, OSError):
            return False
        return answer.status == 200

    def _read_clock(self) -> float:
        return asyncio.get_running_loop().time()
