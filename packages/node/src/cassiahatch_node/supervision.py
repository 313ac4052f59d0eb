"""Supervision of the tasks that run as long as a node does."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
"""Bounds of the pause before a task that failed runs again, doubled after each failure."""
RECOVERED_AFTER_S = 10.0
"""Time without an error after which the pause is short again."""


async def run_supervised(
    run: Callable[[], Awaitable[None]], on_failure: Callable[[str, Exception], None]
) -> None:
    """Run a task, and again after each unexpected error, until it returns.

    An error that one message or one peer causes thus ends neither the process nor the
    duty of the task.

    Parameters
    ----------
    run : callable
        The task, which can be run again from its start.
    on_failure : callable
        Called with the name of the task and each error.
    """
    clock = asyncio.get_running_loop()
    backoff_s = FIRST_BACKOFF_S
    while True:
        started_at = clock.time()
        try:
            await run()
        except Exception as error:
            on_failure(run.__qualname__, error)
        else:
            return
        if clock.time() - started_at > RECOVERED_AFTER_S:
            backoff_s = FIRST_BACKOFF_S
        await asyncio.sleep(backoff_s)
        backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
