"""Quarantine of requests that crash the backend servers which run them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from cassiahatch_kernel.calls import Call
from cassiahatch_kernel.registry import PLUGINS

CRASHES_TO_QUARANTINE = 2
QUARANTINE_S = 600.0
SUSPICION_S = 60.0
"""Time after a crash for which a request remains a suspect."""


@dataclass(slots=True, frozen=True)
class Crash:
    """A crash of a backend server while it ran requests."""

    crash_id: str
    """Node or process, time and number of the crash."""
    fingerprints: tuple[str, ...]
    """Fingerprints of the requests that may have caused it."""


@dataclass(slots=True)
class Suspect:
    """A request that was running when a backend server crashed."""

    crash_ids: set[str] = field(default_factory=set)
    last_crash_at: float = 0.0


def compute_fingerprint(call: Call) -> str:
    """Return a hash of the call's content, equal when the request is sent again."""
    return hash_request((call.service, call.method, call.path), call.body)


def hash_request(parts: Iterable[str], body: bytes) -> str:
    """Return a hash of the parts and the body that identify equal requests."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


@PLUGINS.register("quarantine", "two-crashes")
class Quarantine:
    """Tracks suspects by fingerprint, and quarantines a request after two crashes.

    ``try_start`` lets suspects run only one at a time at each backend server. A second
    crash then has a single suspect, and requests that merely ran at the same time are
    never quarantined.
    """

    __slots__ = ("_running_suspect", "_seen_crashes", "_suspects")

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._seen_crashes: dict[str, float] = {}
        self._running_suspect: str | None = None

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Record a crash, and return whether it was new."""
        if crash.crash_id in self._seen_crashes:
            return False
        self._seen_crashes[crash.crash_id] = now
        for fingerprint in crash.fingerprints:
            suspect = self._suspects.setdefault(fingerprint, Suspect())
            suspect.crash_ids.add(crash.crash_id)
            suspect.last_crash_at = now
        return True

    def select_suspects(self, running: list[str]) -> tuple[str, ...]:
        """Return which of the requests that ran during a crash are suspected of it.

        These are the ones that were suspects before, or all of them if none was.
        """
        suspects = [f for f in running if f in self._suspects]
        return tuple(sorted(set(suspects or running)))

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be run."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_crash_at >= QUARANTINE_S:
            return False
        return len(suspect.crash_ids) >= CRASHES_TO_QUARANTINE

    def try_start(self, fingerprint: str, now: float) -> bool:
        """Return whether a request may start, and record it if it is a suspect.

        A suspect may not start while another one is running.
        """
        if not self._is_suspect(fingerprint, now):
            return True
        if self._running_suspect is not None:
            return False
        self._running_suspect = fingerprint
        return True

    def record_end(self, fingerprint: str, was_answered: bool) -> None:
        """Record that a request has ended; one that was answered is cleared."""
        if self._running_suspect == fingerprint:
            self._running_suspect = None
        if was_answered:
            self.clear(fingerprint)

    def clear(self, fingerprint: str) -> bool:
        """Remove a suspect that was answered, and return whether it was one.

        An answer also ends a quarantine: a run that was in progress when the second
        crash became known has shown that the request causes no crash.
        """
        return self._suspects.pop(fingerprint, None) is not None

    @property
    def has_suspects(self) -> bool:
        """Whether any request is a suspect or in quarantine."""
        return bool(self._suspects)

    def list_crashes(self, now: float) -> list[Crash]:
        """Return the crashes of the quarantined requests."""
        crashes: dict[str, list[str]] = {}
        for fingerprint in self.list_quarantined(now):
            for crash_id in self._suspects[fingerprint].crash_ids:
                crashes.setdefault(crash_id, []).append(fingerprint)
        return [
            Crash(crash_id, tuple(fingerprints))
            for crash_id, fingerprints in crashes.items()
        ]

    def list_quarantined(self, now: float) -> list[str]:
        """Return the fingerprints of the quarantined requests, sorted."""
        return sorted(f for f in self._suspects if self.is_quarantined(f, now))

    def drop_expired(self, now: float) -> None:
        """Remove suspects and crashes that have expired."""
        for fingerprint, suspect in list(self._suspects.items()):
            is_quarantined = self.is_quarantined(fingerprint, now)
            if not is_quarantined and now - suspect.last_crash_at >= SUSPICION_S:
                del self._suspects[fingerprint]
        for crash_id, seen_at in list(self._seen_crashes.items()):
            if now - seen_at >= QUARANTINE_S:
                del self._seen_crashes[crash_id]

    def _is_suspect(self, fingerprint: str, now: float) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and now - suspect.last_crash_at < SUSPICION_S
