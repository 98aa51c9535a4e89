"""Hold back requests that repeatedly crash the upstreams that run them."""

from __future__ import annotations

import enum

from attrs import define, field

__all__ = ["CrashHold", "Suspicion"]

HOLD_AFTER_CRASHES = 2
RETENTION_S = 600.0
MAX_FINGERPRINTS = 4096
MAX_REPORTED = 32


class Suspicion(enum.Enum):
    """Suspicion that a request crashes the upstreams that run it."""

    NONE = "none"
    SUSPECT = "suspect"
    HELD = "held"


@define
class _CrashCount:
    count: int
    last_s: float


@define
class CrashHold:
    """Upstream crashes by the fingerprint of the request, as counted by this and other entries."""

    _own_counts: dict[str, _CrashCount] = field(factory=dict)
    _entry_counts: dict[tuple[str, str], _CrashCount] = field(factory=dict)

    def record_crash(self, fingerprint: str, now_s: float) -> int:
        """Count a crash and return the total, with the counts of other entries."""
        if fingerprint not in self._own_counts and len(self._own_counts) >= MAX_FINGERPRINTS:
            self._own_counts.pop(min(self._own_counts, key=lambda f: self._own_counts[f].last_s))
        crashes = self._own_counts.setdefault(fingerprint, _CrashCount(0, now_s))
        crashes.count += 1
        crashes.last_s = now_s
        return self._count(fingerprint, now_s)

    def update_entry_counts(
        self, entry_id: str, counts: tuple[tuple[str, int], ...], now_s: float
    ) -> None:
        """Store another entry's counts; each replaces its earlier count of that fingerprint."""
        for fingerprint, count in counts[:MAX_REPORTED]:
            self._entry_counts[(entry_id, fingerprint)] = _CrashCount(count, now_s)
        if len(self._entry_counts) > MAX_FINGERPRINTS:
            self._drop_expired(now_s)

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

    def _count(self, fingerprint: str, now_s: float) -> int:
        if not self._own_counts and not self._entry_counts:
            return 0
        found = [self._own_counts[fingerprint]] if fingerprint in self._own_counts else []
        found += [
            crashes for (_, known), crashes in self._entry_counts.items() if known == fingerprint
        ]
        return sum(crashes.count for crashes in found if now_s - crashes.last_s < RETENTION_S)

    def _drop_expired(self, now_s: float) -> None:
        for counts in (self._own_counts, self._entry_counts):
            for key in [
                k for k, crashes in counts.items() if now_s - crashes.last_s >= RETENTION_S
            ]:
                del counts[key]
