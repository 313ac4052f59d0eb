"""Detection and quarantine of requests that crash backend servers."""

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
"""Longest time between the loss of a call and the detection that its backend server has
crashed, by a failed connection of the next call or by a missing response."""
QUARANTINE_RETRY_AFTER_S = 30.0
"""``Retry-After`` on quarantined requests; an earlier retry would be rejected again."""

Broadcast = Callable[[CrashFrame | ClearFrame], None]


class CrashWatch:
    """Finds the requests that were running when a backend server crashed.

    Parameters
    ----------
    quarantine : object
        The plug-in that decides which requests are quarantined.
    """

    __slots__ = (
        "_clock",
        "_crash_count",
        "_journal",
        "_lost_calls",
        "_quarantine",
        "broadcast",
    )

    def __init__(self, quarantine: Any, clock: Clock, journal: Journal) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._journal = journal
        self._lost_calls: deque[tuple[float, Call]] = deque()
        self._crash_count = 0
        self.broadcast: Broadcast = _ignore_frame
        """Sends peers each crash, and each suspect request that was answered."""

    def record_lost_call(self, call: Call) -> None:
        """Record a call whose connection was lost before it was answered."""
        now = self._clock.monotonic()
        self._lost_calls.append((now, call))
        while now - self._lost_calls[0][0] > CRASH_WINDOW_S:
            self._lost_calls.popleft()

    def record_answer(self, call: Call) -> None:
        """Clear a suspect request: an answer shows that it causes no crash."""
        if not self._quarantine.has_suspects:
            return
        fingerprint = fingerprint_call(call)
        if self._quarantine.clear(fingerprint):
            self.broadcast(ClearFrame(fingerprint))

    def record_crash(self, instance: str, running: Iterable[Call]) -> None:
        """Record a crash of the local backend server and broadcast it to the peers."""
        now = self._clock.monotonic()
        calls = [call for at, call in self._lost_calls if now - at <= CRASH_WINDOW_S]
        calls += running
        self._lost_calls.clear()
        fingerprints = {fingerprint_call(c) for c in calls if c.instance == instance}
        if not fingerprints:
            return
        self._crash_count += 1
        suspects = self._quarantine.select_suspects(sorted(fingerprints))
        crash_id = f"{instance}/{now:.3f}/{self._crash_count}"
        self.apply_frame(CrashFrame(crash_id, suspects))
        self.broadcast(CrashFrame(crash_id, suspects))

    def apply_frame(self, frame: CrashFrame | ClearFrame) -> None:
        """Apply a crash or a clearance, found locally or by a peer."""
        match frame:
            case ClearFrame(fingerprint=fingerprint):
                self._quarantine.clear(fingerprint)
            case CrashFrame(crash_id=crash_id, fingerprints=fingerprints):
                now = self._clock.monotonic()
                self._quarantine.drop_expired(now)
                if self._quarantine.record_crash(Crash(crash_id, fingerprints), now):
                    self._journal.note(
                        "backend_crashed",
                        crash=crash_id,
                        suspects=len(fingerprints),
                        quarantined=len(self._quarantine.list_quarantined(now)),
                    )

    def make_crash_frames(self) -> list[CrashFrame]:
        """Return the crashes behind current quarantines, for a newly started peer."""
        crashes = self._quarantine.list_crashes(self._clock.monotonic())
        return [CrashFrame(crash.crash_id, crash.fingerprints) for crash in crashes]

    def find_rejection(self, call: Call) -> Rejection | None:
        """Return the rejection for a quarantined call, else None."""
        if not self._quarantine.has_suspects:
            return None
        fingerprint = fingerprint_call(call)
        if not self._quarantine.is_quarantined(fingerprint, self._clock.monotonic()):
            return None
        return Rejection(Reason.QUARANTINED, QUARANTINE_RETRY_AFTER_S)


def fingerprint_call(call: Call) -> str:
    """Return a hash of the call's content, equal for a retry under another id."""
    return hash_request((call.method, call.host, call.target, call.caller), call.body)


def _ignore_frame(frame: CrashFrame | ClearFrame) -> None:
    """Do nothing; the default until a callback is set."""
