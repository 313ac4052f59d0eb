"""Requests that crash the backend servers which run them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from cassiahatch_kernel.calls import Call
from cassiahatch_kernel.registry import PLUGINS

CRASHES_TO_QUARANTINE = 2
QUARANTINE_S = 600.0
SUSPICION_S = 60.0


@dataclass(slots=True, frozen=True)
class Crash:
    """A backend server died while it ran some requests."""

    crash_id: str
    """Node, incarnation and number of the crash."""
    fingerprints: tuple[str, ...]


@dataclass(slots=True)
class Suspect:
    """A request that ran when a backend server died."""

    crashes: set[str] = field(default_factory=set)
    seen_at: float = 0.0


def compute_fingerprint(call: Call) -> str:
    """Return a hash by which the same request is known when it is sent again."""
    return hash_request((call.service, call.method, call.path), call.body)


def hash_request(parts: Iterable[str], body: bytes) -> str:
    """Return a hash of what makes two requests the same one."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()


@PLUGINS.register("quarantine", "two-crashes")
class Quarantine:
    """Suspects by fingerprint; two crashes quarantine a request.

    Suspects run one at a time at each backend server, so a second crash has one
    suspect only, and requests that merely ran beside it are never quarantined.
    """

    __slots__ = ("_running_suspect", "_seen_crashes", "_suspects")

    def __init__(self) -> None:
        self._suspects: dict[str, Suspect] = {}
        self._seen_crashes: dict[str, float] = {}
        self._running_suspect: str | None = None

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Take in a crash, and tell whether it was news."""
        if crash.crash_id in self._seen_crashes:
            return False
        self._seen_crashes[crash.crash_id] = now
        for fingerprint in crash.fingerprints:
            suspect = self._suspects.setdefault(fingerprint, Suspect())
            suspect.crashes.add(crash.crash_id)
            suspect.seen_at = now
        return True

    def select_suspects(self, running: list[str]) -> tuple[str, ...]:
        """Return which of the requests that ran at a crash are to be blamed.

        A suspect that ran takes the blame alone; with none, all share it.
        """
        suspects = [f for f in running if f in self._suspects]
        return tuple(sorted(set(suspects or running)))

    def is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request must not be run."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.seen_at >= QUARANTINE_S:
            return False
        return len(suspect.crashes) >= CRASHES_TO_QUARANTINE

    def try_start(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request may start; a second suspect may not."""
        if not self._is_suspect(fingerprint, now):
            return True
        if self._running_suspect is not None:
            return False
        self._running_suspect = fingerprint
        return True

    def record_end(self, fingerprint: str, was_answered: bool) -> None:
        """Take in that a request ended; one that was answered is cleared here."""
        if self._running_suspect == fingerprint:
            self._running_suspect = None
        if was_answered:
            self.clear(fingerprint)

    def clear(self, fingerprint: str) -> bool:
        """Drop a suspect that was answered, and tell whether it was one.

        An answer also ends a quarantine: a run that was under way when the second crash
        became known has shown that the request crashes nothing.
        """
        return self._suspects.pop(fingerprint, None) is not None

    @property
    def has_suspects(self) -> bool:
        """Whether any request is under suspicion or in quarantine."""
        return bool(self._suspects)

    def list_crashes(self, now: float) -> list[Crash]:
        """Return the crashes behind the requests that must not be run."""
        crashes: dict[str, list[str]] = {}
        for fingerprint in self.list_quarantined(now):
            for crash_id in self._suspects[fingerprint].crashes:
                crashes.setdefault(crash_id, []).append(fingerprint)
        return [Crash(name, tuple(found)) for name, found in crashes.items()]

    def list_quarantined(self, now: float) -> list[str]:
        """Return the fingerprints that must not be run, sorted."""
        return sorted(f for f in self._suspects if self.is_quarantined(f, now))

    def drop_expired(self, now: float) -> None:
        """Drop what no longer matters."""
        for fingerprint, suspect in list(self._suspects.items()):
            is_held = self.is_quarantined(fingerprint, now)
            if not is_held and now - suspect.seen_at >= SUSPICION_S:
                del self._suspects[fingerprint]
        for crash_id, seen_at in list(self._seen_crashes.items()):
            if now - seen_at >= QUARANTINE_S:
                del self._seen_crashes[crash_id]

    def _is_suspect(self, fingerprint: str, now: float) -> bool:
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and now - suspect.seen_at < SUSPICION_S
