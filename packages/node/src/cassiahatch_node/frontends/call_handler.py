"""What the handlers of callers and of the backend server share."""

from __future__ import annotations

import asyncio
from typing import Any

from tornado.web import RequestHandler

from cassiahatch_kernel.errors import CodedError
from cassiahatch_kernel.outcomes import Outcome
from cassiahatch_node.frontends.messages import write_error, write_outcome


class CallHandler(RequestHandler):
    """Takes one call; the call is cancelled when the connection closes."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    request_id = ""
    """Identity of the top request, once it is known."""

    _task: asyncio.Task[Any] | None = None

    async def answer(self) -> None:
        """Run the call and answer with its outcome."""
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
        """Return the outcome of the call in this request."""
        raise NotImplementedError

    def on_connection_close(self) -> None:
        """Cancel the call, since nobody waits for it any more."""
        if self._task is not None:
            self._task.cancel()

    async def get(self) -> None:
        """Answer a GET request."""
        await self.answer()

    head = post = put = patch = delete = options = get
