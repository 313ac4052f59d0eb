"""Calls that the backend server runs now, and the tokens for their deeper calls."""

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
    """One call under way at the backend server."""

    token: str
    call: Call
    context: CallContext
    account: Any
    """Retry account for everything below this call."""
    level: int = 0
    """Highest admission level that a deeper call met."""
    downstream_tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def raise_level(self, level: int) -> None:
        """Take in the level that a deeper call met."""
        self.level = max(self.level, level)

    def cancel_downstream(self) -> None:
        """Cancel the deeper calls that are still under way."""
        for task in list(self.downstream_tasks):
            task.cancel()


class RunningCalls:
    """Running calls by token; a token dies with its call."""

    __slots__ = ("_by_token",)

    def __init__(self) -> None:
        self._by_token: dict[str, RunningCall] = {}

    def __len__(self) -> int:
        return len(self._by_token)

    def add(self, call: Call, context: CallContext, account: Any) -> RunningCall:
        """Take in a call that is about to be sent to the backend server."""
        token = secrets.token_urlsafe(TOKEN_BYTES)
        running = RunningCall(token, call, context, account)
        self._by_token[token] = running
        return running

    def remove(self, running: RunningCall) -> None:
        """Forget a call that has ended."""
        self._by_token.pop(running.token, None)

    def find(self, token: str) -> RunningCall | None:
        """Return the call that a token belongs to, or None."""
        return self._by_token.get(token)

    def list_fingerprints(self) -> list[str]:
        """Return the fingerprints of all running calls."""
        return [compute_fingerprint(r.call) for r in self._by_token.values()]
