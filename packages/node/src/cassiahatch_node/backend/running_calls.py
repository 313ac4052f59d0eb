"""Calls running at the backend server, and the tokens that identify them."""

from __future__ import annotations

import asyncio
import secrets
from dataclasses import dataclass, field
from typing import Any

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_policies.quarantine import compute_fingerprint

TOKEN_BYTES = 16


@dataclass(slots=True, eq=False)
class RunningCall:
    """Call that is running at the backend server."""

    token: str
    """Secret that the backend server sends with calls made on behalf of this one."""
    call: Call
    context: CallContext
    account: Any
    """Retry account for all calls made on behalf of this one."""
    level: int = 0
    """Highest admission level in the outcomes of downstream calls."""
    downstream_tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def raise_level(self, level: int) -> None:
        """Raise ``level`` to the admission level of a downstream call, if higher."""
        self.level = max(self.level, level)

    def cancel_downstream(self) -> None:
        """Cancel the downstream calls that are still running."""
        for task in list(self.downstream_tasks):
            task.cancel()


class RunningCalls:
    """Running calls by token; a token is valid until its call ends."""

    __slots__ = ("_by_token",)

    def __init__(self) -> None:
        self._by_token: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        return len(self._by_token)

    def add(self, call: Call, context: CallContext, account: Any) -> RunningCall:
        """Register a call that is about to be sent to the backend server."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        running = RunningCall(token, call, context, account)
        self._by_token[token] = running
        return running

    def remove(self, running: RunningCall) -> None:
        """Remove a call that has ended, and invalidate its token."""
        self._by_token.pop(running.token, None)

    def find(self, token: str) -> RunningCall | None:
        """Return the call that a token belongs to, or None."""
        return self._by_token.get(token)

    def list_fingerprints(self) -> list[str]:
        """Return the fingerprints of all running calls."""
        return [compute_fingerprint(r.call) for r in self._by_token.values()]
