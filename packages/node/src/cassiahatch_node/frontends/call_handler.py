"""Base class of the handlers for calls, from callers or the backend server."""

from __future__ import annotations

import asyncio
from typing import Any

from tornado.web import RequestHandler

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.outcomes import Outcome
from cassiahatch_node.frontends.messages import write_error, write_outcome


class CallHandler(RequestHandler):
    """Runs the call in a request; cancels it if the connection closes."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    request_id = ""
    """Identity of the root request; empty until it is known."""

    _task: asyncio.Task[Any] | None = None

    async def respond(self) -> None:
        """Run the call and respond with its outcome."""
        self._task = asyncio.ensure_future(self.run_call())
        try:
            outcome = await self._task
        except CodedError as error:
            write_error(self, error, self.request_id)
        except asyncio.CancelledError:
            return
        else:
            write_outcome(self, outcome, self.request_id)

    async def run_call(self) -> Outcome:
        """Run the call in this request and return its outcome."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        """Cancel the call, since its response can no longer be delivered."""
        if self._task is not None:
            self._task.cancel()

    async def get(self) -> None:
        """Handle a request of any supported method."""
        await self.respond()

    head = post = put = patch = delete = options = get
