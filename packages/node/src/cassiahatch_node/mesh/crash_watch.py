"""Requests that crash the backend servers which run them, kept from running again."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from cassiahatch_kernel.clock import Clock
from cassiahatch_kernel.exchanges import Call, Reason, Rejection
from cassiahatch_node.mesh.frames import ClearFrame, CrashFrame
from cassiahatch_node.mesh.journal import Journal
from cassiahatch_policies.quarantine import Crash, hash_request

CRASH_WINDOW_S = 3.0
"""Longest time between the loss of a call and the proof that its backend server is
gone: the next call that is sent there, or its silence."""
QUARANTINE_PAUSE_S = 30.0
"""Pause asked of the caller of a quarantined request: it would meet the same answer."""

Spread = Callable[[CrashFrame | ClearFrame], None]


class CrashWatch:
    """Finds the requests that were running when backend servers died.

    Parameters
    ----------
    quarantine : object
        The quarantine plug-in.
    """

    __slots__ = (
        "_clock",
        "_crashes",
        "_journal",
        "_lost",
        "_quarantine",
        "broadcast",
    )

    def __init__(self, quarantine: Any, clock: Clock, journal: Journal) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._journal = journal
        self._lost: deque[tuple[float, Call]] = deque()
        self._crashes = 0
        self.broadcast: Spread = _ignore
        """Tells the peers of a crash, and of a request that was answered after one."""

    def record_lost_call(self, call: Call) -> None:
        """Take in that a call ended with its connection."""
        now = self._clock.monotonic()
        self._lost.append((now, call))
        while now - self._lost[0][0] > CRASH_WINDOW_S:
            self._lost.popleft()

    def record_answer(self, call: Call) -> None:
        """Take in that a call was answered: it crashes nothing."""
        if not self._quarantine.has_suspects:
            return
        fingerprint = fingerprint_call(call)
        if self._quarantine.clear(fingerprint):
            self.broadcast(ClearFrame(fingerprint))

    def record_crash(self, instance: str, running: Iterable[Call]) -> None:
        """Take in that the own backend server has died."""
        now = self._clock.monotonic()
        calls = [call for at, call in self._lost if now - at <= CRASH_WINDOW_S]
        calls += running
        self._lost.clear()
        found = {fingerprint_call(c) for c in calls if c.instance == instance}
        if not found:
            return
        self._crashes += 1
        blamed = self._quarantine.find_blame(sorted(found))
        crash_id = f"{instance}/{now:.3f}/{self._crashes}"
        self.apply_frame(CrashFrame(crash_id, blamed))
        self.broadcast(CrashFrame(crash_id, blamed))

    def apply_frame(self, frame: CrashFrame | ClearFrame) -> None:
        """Take in what a peer found out."""
        match frame:
            case ClearFrame(fingerprint=fingerprint):
                self._quarantine.clear(fingerprint)
            case CrashFrame(crash_id=crash_id, fingerprints=fingerprints):
                now = self._clock.monotonic()
                self._quarantine.forget_old(now)
                if self._quarantine.report(Crash(crash_id, fingerprints), now):
                    self._journal.note(
                        "backend_crashed",
                        crash=crash_id,
                        suspects=len(fingerprints),
                        quarantined=len(self._quarantine.list_quarantined(now)),
                    )

    def make_crash_frames(self) -> list[CrashFrame]:
        """Return what a node that has just started must know."""
        crashes = self._quarantine.list_crashes(self._clock.monotonic())
        return [CrashFrame(crash.crash_id, crash.fingerprints) for crash in crashes]

    def find_rejection(self, call: Call) -> Rejection | None:
        """Return why a call must not be run, or None if it may."""
        if not self._quarantine.has_suspects:
            return None
        fingerprint = fingerprint_call(call)
        if not self._quarantine.is_quarantined(fingerprint, self._clock.monotonic()):
            return None
        return Rejection(Reason.QUARANTINED, QUARANTINE_PAUSE_S)


def fingerprint_call(call: Call) -> str:
    """Return a hash by which the same request is known under another id."""
    return hash_request((call.method, call.host, call.target, call.caller), call.body)


def _ignore(frame: CrashFrame | ClearFrame) -> None:
    """Do nothing until somebody listens."""
