"""At-most-once execution of non-idempotent calls, at the key's tenure holder."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.keys import find_shard, read_mint_ms
from cassiahatch_kernel.outcomes import Outcome, Refusal, Unknown
from cassiahatch_node.settings import OnceSettings
from cassiahatch_policies.once import Fail, Ledger, Replay, Run, TenureBook, Wait
from cassiahatch_policies.quarantine import compute_fingerprint

MS_PER_S = 1000

HANDOVER_POLL_S = 0.02
HANDOVER_POLLS = 50
"""Number of checks whether a handover has ended before a call is rejected."""

RunCall = Callable[[Call, CallContext], Awaitable[Outcome]]
ForwardCall = Callable[[str, Call, CallContext], Awaitable[Outcome]]


class OnceGuard:
    """Runs at most one call per idempotency key, for the tenures held by this node.

    A call whose partition was handed over is forwarded to the successor.

    Parameters
    ----------
    settings : OnceSettings
        Number of shards, key lifetime, clock skew and ledger capacity.
    clock : Clock
        Source of time.
    book : TenureBook
        Tenures that this node holds.
    run : callable
        Runs a call at the backend server.
    forward_call : callable
        Sends a call to the member that its partition was handed over to.
    """

    __slots__ = (
        "_book",
        "_clock",
        "_expected_handovers",
        "_run",
        "_runs",
        "_forward_call",
        "_settings",
        "_successors",
        "ledger",
    )

    def __init__(
        self,
        settings: OnceSettings,
        clock: Clock,
        book: TenureBook,
        run: RunCall,
        forward_call: ForwardCall,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._book = book
        self._run = run
        self._forward_call = forward_call
        self._successors: dict[str, str] = {}
        self._expected_handovers: set[str] = set()
        self._runs: dict[str, asyncio.Task[Outcome]] = {}
        self.ledger = Ledger(
            int(settings.key_lifetime_s * MS_PER_S),
            int(settings.skew_s * MS_PER_S),
            settings.capacity_bytes,
        )

    async def serve(self, call: Call, context: CallContext) -> Outcome:
        """Run a call unless its key was seen before, and return the key's outcome."""
        mint_ms = read_mint_ms(call.key)
        partition = self.name_partition(call)
        if not self._book.accepts(partition, mint_ms):
            await self._wait_for_handover(partition, context)
        if not self._book.accepts(partition, mint_ms):
            return await self._serve_unowned(partition, call, context)
        now_ms = int(self._clock.wall() * MS_PER_S)
        fingerprint = compute_fingerprint(call)
        decision = self.ledger.begin(partition, call.key, mint_ms, fingerprint, now_ms)
        match decision:
            case Run():
                self._successors.pop(partition, None)
                task = asyncio.create_task(self._run_once(call, context))
                self._runs[call.key] = task
                return await self._wait(task, context)
            case Wait():
                return await self._wait(self._runs[call.key], context)
            case Replay():
                return replace(decision.answer, unused_retries=context.retries)
            case Fail():
                return replace(decision.outcome, unused_retries=context.retries)

    def name_partition(self, call: Call) -> str:
        """Return the name of the partition that a call's key belongs to."""
        return f"{call.service}/{find_shard(call.key, self._settings.shards)}"

    async def wait_idle(self) -> None:
        """Wait until no call is running."""
        while self._runs:
            await asyncio.wait(list(self._runs.values()))

    def set_successor(self, partition: str, node_id: str) -> None:
        """Forward later calls of a partition to the member that holds it now."""
        self._successors[partition] = node_id

    def expect_handover(self, partition: str) -> None:
        """Make calls of a partition wait while it is being handed over to this node."""
        self._successors.pop(partition, None)
        self._expected_handovers.add(partition)

    def clear_expected(self, partition: str) -> None:
        """Make calls of a partition no longer wait for a handover."""
        self._expected_handovers.discard(partition)

    def drop_expired(self) -> None:
        """Drop the records of keys that have expired."""
        self.ledger.drop_expired(int(self._clock.wall() * MS_PER_S))

    async def _wait_for_handover(self, partition: str, context: CallContext) -> None:
        for _poll in range(HANDOVER_POLLS):
            if self._clock.monotonic() >= context.deadline:
                return
            held = self._book.find(partition)
            is_closed = held is not None and held.closed
            if not is_closed and partition not in self._expected_handovers:
                return
            await asyncio.sleep(HANDOVER_POLL_S)

    async def _serve_unowned(
        self, partition: str, call: Call, context: CallContext
    ) -> Outcome:
        if self._book.find(partition) is not None:
            detail = "the key was minted outside the tenure; a new key may be accepted"
            return Refusal("key_not_owned", detail)
        successor = self._successors.get(partition)
        if successor is not None:
            return await self._forward_call(successor, call, context)
        detail = f"this node holds no tenure of {partition}"
        return Refusal("not_holder", detail, elsewhere=True)

    async def _run_once(self, call: Call, context: CallContext) -> Outcome:
        outcome: Outcome = Unknown(
            "run_failed", "the run ended without an outcome", 500
        )
        try:
            outcome = await self._run(call, context)
        finally:
            if isinstance(outcome, Refusal):
                outcome = replace(outcome, key_checked=True)
            self.ledger.finish(call.key, outcome)
            del self._runs[call.key]
        return outcome

    async def _wait(self, task: asyncio.Task[Outcome], context: CallContext) -> Outcome:
        remaining = context.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                return await asyncio.shield(task)
        except TimeoutError:
            return Unknown("deadline", "the call was still running at the deadline")
