"""Hold back requests that repeatedly crash the upstreams that run them."""

from __future__ import annotations

import enum
import heapq

from attrs import define, field, frozen

__all__ = ["CrashHold", "EntryCrashCount", "Suspicion"]

HOLD_AFTER_CRASHES = 2
RETENTION_S = 600.0
MAX_FINGERPRINTS = 4096
MAX_REPORTED = 32
MAX_COUNTED = 8
# Entries whose counts of one request are kept; fewer hold it already.
MAX_ENTRIES = 8


class Suspicion(enum.Enum):
    """Suspicion that a request crashes the upstreams that run it."""

    NONE = "none"
    SUSPECT = "suspect"
    HELD = "held"


@frozen
class EntryCrashCount:
    """Crashes by one request that one run of an entry has counted, the last one age_s ago."""

    entry_id: str
    fingerprint: str
    count: int
    age_s: float


@define
class _CrashCount:
    count: int
    last_s: float
    # Incarnations of upstreams counted here, the latest MAX_COUNTED.
    upstreams: tuple[bytes, ...] = ()


@define
class CrashHold:
    """Upstream crashes by the fingerprint of the request, as counted by this and other entries."""

    # Differs for each run of the entry, as a run forgets the counts of the one before.
    entry_id: str = ""
    _own_counts: dict[str, _CrashCount] = field(factory=dict)
    _entry_counts: dict[str, dict[str, _CrashCount]] = field(factory=dict)
    # The latest counts by entry and fingerprint; None after a change.
    _newest: list[tuple[str, str, _CrashCount]] | None = None

    def record_crash(self, fingerprint: str, now_s: float, upstream: bytes | None = None) -> int:
        """Count a crash and return the total, with the counts of other entries.

        The crash of one incarnation of an upstream counts once, however many equal requests it ran.
        """
        if fingerprint not in self._own_counts and len(self._own_counts) >= MAX_FINGERPRINTS:
            self._own_counts.pop(min(self._own_counts, key=lambda f: self._own_counts[f].last_s))
        self._newest = None
        crashes = self._own_counts.setdefault(fingerprint, _CrashCount(0, now_s))
        if upstream is not None and upstream in crashes.upstreams:
            return self._count(fingerprint, now_s)
        if upstream is not None:
            crashes.upstreams = (*crashes.upstreams[1 - MAX_COUNTED :], upstream)
        crashes.count += 1
        crashes.last_s = now_s
        return self._count(fingerprint, now_s)

    def update_entry_counts(
        self, entry_id: str, counts: tuple[tuple[str, int], ...], now_s: float
    ) -> None:
        """Store another entry's counts; each replaces its earlier count of that fingerprint."""
        for fingerprint, count in counts[:MAX_REPORTED]:
            self._set_entry_count(fingerprint, entry_id, _CrashCount(count, now_s), now_s)

    def merge(self, reported: tuple[EntryCrashCount, ...], now_s: float) -> bool:
        """Add counts that another entry knows, its own or others'; return whether any is news."""
        is_new = False
        for theirs in reported[:MAX_REPORTED]:
            if theirs.entry_id == self.entry_id or theirs.age_s >= RETENTION_S:
                continue
            known = self._entry_counts.get(theirs.fingerprint, {}).get(theirs.entry_id)
            last_s = now_s - theirs.age_s
            if known is None or theirs.count > known.count:
                crashes = _CrashCount(theirs.count, last_s)
                self._set_entry_count(theirs.fingerprint, theirs.entry_id, crashes, now_s)
                is_new = True
            elif theirs.count == known.count:
                # Reports seem too recent by the time that they were in transit.
                known.last_s = min(known.last_s, last_s)
        return is_new

    def evaluate(self, fingerprint: str, now_s: float) -> Suspicion:
        """Return whether a request may run, may run as the only suspect, or is held."""
        count = self._count(fingerprint, now_s)
        if count >= HOLD_AFTER_CRASHES:
            return Suspicion.HELD
        return Suspicion.SUSPECT if count else Suspicion.NONE

    def own_counts(self, now_s: float) -> tuple[tuple[str, int], ...]:
        """Return this entry's latest counts, to report to other entries."""
        self._drop_expired(now_s)
        newest = sorted(self._own_counts, key=lambda f: -self._own_counts[f].last_s)[:MAX_REPORTED]
        return tuple((fingerprint, self._own_counts[fingerprint].count) for fingerprint in newest)

    def known_counts(self, now_s: float) -> tuple[EntryCrashCount, ...]:
        """Return the latest counts of all entries, for peers that don't hear from each of them."""
        if self._newest is None:
            self._drop_expired(now_s)
            self._newest = self._find_newest()
        return tuple(
            EntryCrashCount(entry_id, fingerprint, crashes.count, now_s - crashes.last_s)
            for entry_id, fingerprint, crashes in self._newest
            if now_s - crashes.last_s < RETENTION_S
        )

    def _find_newest(self) -> list[tuple[str, str, _CrashCount]]:
        known = [(self.entry_id, f, crashes) for f, crashes in self._own_counts.items()]
        for fingerprint, by_entry in self._entry_counts.items():
            known += [(entry_id, fingerprint, crashes) for entry_id, crashes in by_entry.items()]
        return heapq.nlargest(MAX_REPORTED, known, key=lambda item: item[2].last_s)

    def _set_entry_count(
        self, fingerprint: str, entry_id: str, crashes: _CrashCount, now_s: float
    ) -> None:
        if fingerprint not in self._entry_counts and len(self._entry_counts) >= MAX_FINGERPRINTS:
            self._drop_expired(now_s)
            if len(self._entry_counts) >= MAX_FINGERPRINTS:
                del self._entry_counts[next(iter(self._entry_counts))]
        by_entry = self._entry_counts.setdefault(fingerprint, {})
        if entry_id not in by_entry and len(by_entry) >= MAX_ENTRIES:
            del by_entry[min(by_entry, key=lambda e: by_entry[e].last_s)]
        by_entry[entry_id] = crashes
        self._newest = None

    def _count(self, fingerprint: str, now_s: float) -> int:
        found = list(self._entry_counts.get(fingerprint, {}).values())
        if fingerprint in self._own_counts:
            found.append(self._own_counts[fingerprint])
        return sum(crashes.count for crashes in found if now_s - crashes.last_s < RETENTION_S)

    def _drop_expired(self, now_s: float) -> None:
        _drop_expired(self._own_counts, now_s)
        for fingerprint, by_entry in list(self._entry_counts.items()):
            _drop_expired(by_entry, now_s)
            if not by_entry:
                del self._entry_counts[fingerprint]


def _drop_expired(counts: dict[str, _CrashCount], now_s: float) -> None:
    for key in [k for k, crashes in counts.items() if now_s - crashes.last_s >= RETENTION_S]:
        del counts[key]
