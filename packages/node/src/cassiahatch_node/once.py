"""The guard of non-idempotent calls at the holder of their key's tenure."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from cassiahatch_kernel.calls import Call, CallContext
from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.keys import find_shard, read_mint_ms
from cassiahatch_kernel.outcomes import Outcome, Refusal, Unknown
from cassiahatch_node.settings import OnceSettings
from cassiahatch_policies.once import Ledger, Rerun, Run, Stop, TenureBook, Wait
from cassiahatch_policies.quarantine import compute_fingerprint

MS_PER_S = 1000

HANDOVER_POLL_S = 0.02
HANDOVER_POLLS = 50
"""How often a call looks whether a hand-over has ended before it is refused."""

RunCall = Callable[[Call, CallContext], Awaitable[Outcome]]
SendOn = Callable[[str, Call, CallContext], Awaitable[Outcome]]


class OnceGuard:
    """Runs each key of the held tenures at most once.

    Parameters
    ----------
    settings : OnceSettings
        Shards, lifetimes and bounds.
    clock : Clock
        Source of time.
    book : TenureBook
        The tenures held.
    run : callable
        Runs a call at the backend server.
    send_on : callable
        Sends a call to the member to which its partition was handed over.
    """

    __slots__ = (
        "_book",
        "_clock",
        "_expected",
        "_run",
        "_runs",
        "_send_on",
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
        send_on: SendOn,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._book = book
        self._run = run
        self._send_on = send_on
        self._successors: dict[str, str] = {}
        self._expected: set[str] = set()
        self._runs: dict[str, asyncio.Task[Outcome]] = {}
        self.ledger = Ledger(
            int(settings.key_lifetime_s * MS_PER_S),
            int(settings.skew_s * MS_PER_S),
            settings.capacity_bytes,
        )

    async def serve(self, call: Call, context: CallContext) -> Outcome:
        """Run a call unless its key was seen, and return the one outcome."""
        mint_ms = read_mint_ms(call.key)
        partition = self.name_partition(call)
        if not self._book.accept(partition, mint_ms):
            await self._wait_for_handover(partition, context)
        if not self._book.accept(partition, mint_ms):
            return await self._serve_foreign(partition, call, context)
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
            case Rerun():
                return replace(decision.answer, unused_retries=context.retries)
            case Stop():
                return replace(decision.outcome, unused_retries=context.retries)

    def name_partition(self, call: Call) -> str:
        """Return the partition of a call's key."""
        return f"{call.service}/{find_shard(call.key, self._settings.shards)}"

    async def wait_idle(self) -> None:
        """Wait until no key runs."""
        while self._runs:
            await asyncio.wait(list(self._runs.values()))

    def forward(self, partition: str, node_id: str) -> None:
        """Send later calls of a partition on to the member that holds it now."""
        self._successors[partition] = node_id

    def expect(self, partition: str) -> None:
        """Let calls of a partition wait, because it is being handed to this node."""
        self._successors.pop(partition, None)
        self._expected.add(partition)

    def stop_expecting(self, partition: str) -> None:
        """End what ``expect`` began."""
        self._expected.discard(partition)

    def forget_expired(self) -> None:
        """Drop the records of keys that are too old to be run."""
        self.ledger.forget_expired(int(self._clock.wall() * MS_PER_S))

    async def _wait_for_handover(self, partition: str, context: CallContext) -> None:
        for _poll in range(HANDOVER_POLLS):
            if self._clock.monotonic() >= context.deadline:
                return
            held = self._book.find(partition)
            is_moving = held is not None and held.closed
            if not is_moving and partition not in self._expected:
                return
            await asyncio.sleep(HANDOVER_POLL_S)

    async def _serve_foreign(
        self, partition: str, call: Call, context: CallContext
    ) -> Outcome:
        if self._book.find(partition) is not None:
            detail = "the key was minted outside the tenure; a new key may go through"
            return Refusal("key_not_owned", detail)
        successor = self._successors.get(partition)
        if successor is not None:
            return await self._send_on(successor, call, context)
        detail = f"this node does not hold {partition}"
        return Refusal("not_holder", detail, elsewhere=True)

    async def _run_once(self, call: Call, context: CallContext) -> Outcome:
        outcome: Outcome = Unknown("run_failed", "the run ended without outcome", 500)
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
            return Unknown("deadline", "still running at the deadline")
