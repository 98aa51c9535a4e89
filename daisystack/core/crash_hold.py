"""Hold a request that has crashed the upstreams that ran it."""

from __future__ import annotations

import enum

from attrs import define, field

__all__ = ["CrashHold", "Suspicion"]

HELD_AFTER_DEATHS = 2
REMEMBER_S = 600.0
MAX_REMEMBERED = 4096
MAX_TOLD = 32


class Suspicion(enum.Enum):
    """Say what is believed of a request."""

    NONE = "none"
    SUSPECT = "suspect"
    HELD = "held"


@define
class _Deaths:
    count: int
    last_s: float


@define
class CrashHold:
    """Count the deaths of upstreams by the request that caused them, with other entries' counts."""

    _own: dict[str, _Deaths] = field(factory=dict)
    _heard: dict[tuple[str, str], _Deaths] = field(factory=dict)

    def died(self, fingerprint: str, now_s: float) -> int:
        """Count a death and return how many are known."""
        if fingerprint not in self._own and len(self._own) >= MAX_REMEMBERED:
            self._own.pop(min(self._own, key=lambda known: self._own[known].last_s))
        deaths = self._own.setdefault(fingerprint, _Deaths(0, now_s))
        deaths.count += 1
        deaths.last_s = now_s
        return self._count(fingerprint, now_s)

    def heard(self, entry_id: str, counts: tuple[tuple[str, int], ...], now_s: float) -> None:
        """Take another entry's counts; its newest word replaces the older."""
        for fingerprint, count in counts[:MAX_TOLD]:
            self._heard[(entry_id, fingerprint)] = _Deaths(count, now_s)
        if len(self._heard) > MAX_REMEMBERED:
            self._forget(now_s)

    def judge(self, fingerprint: str, now_s: float) -> Suspicion:
        """Say whether to run, run alone among suspects, or hold a request."""
        count = self._count(fingerprint, now_s)
        if count >= HELD_AFTER_DEATHS:
            return Suspicion.HELD
        return Suspicion.SUSPECT if count else Suspicion.NONE

    def told(self, now_s: float) -> tuple[tuple[str, int], ...]:
        """Return the own newest counts for other entries."""
        self._forget(now_s)
        newest = sorted(self._own, key=lambda known: -self._own[known].last_s)[:MAX_TOLD]
        return tuple((fingerprint, self._own[fingerprint].count) for fingerprint in newest)

    def _count(self, fingerprint: str, now_s: float) -> int:
        if not self._own and not self._heard:
            return 0
        found = [self._own[fingerprint]] if fingerprint in self._own else []
        found += [d for (_, known), d in self._heard.items() if known == fingerprint]
        return sum(deaths.count for deaths in found if now_s - deaths.last_s < REMEMBER_S)

    def _forget(self, now_s: float) -> None:
        for known in (self._own, self._heard):
            for key in [k for k, deaths in known.items() if now_s - deaths.last_s >= REMEMBER_S]:
                del known[key]
