"""Keep until when this instance sends nothing to an upstream, by what the upstream said itself."""

from __future__ import annotations

import re
from collections.abc import Iterable

from attrs import define, field

__all__ = ["MAX_PAUSE_S", "Incarnation", "UpstreamPauses", "parse_pause_s"]

# A longer pause would outlast the upstream's incarnation on most days.
MAX_PAUSE_S = 60.0
# An upstream that leaves is used for this share of its drain time if there is no other.
LAST_RESORT_SHARE = 0.5
# An upstream that has announced to leave is gone by then.
LEAVING_FORGET_S = 120.0

_SECONDS = re.compile(r"\d{1,9}(\.\d{1,9})?")

# The id of an upstream and when it started, in milliseconds.
Incarnation = tuple[str, int]


def parse_pause_s(text: str) -> float:
    """Return the seconds of a Retry-After value, at most MAX_PAUSE_S; raise ValueError."""
    if not _SECONDS.fullmatch(text.strip()):
        raise ValueError(f"got {text[:40]!r}, allowed are seconds >= 0")
    return min(MAX_PAUSE_S, float(text))


@define
class UpstreamPauses:
    """What each incarnation of an upstream said of itself: that it leaves, or wants a pause.

    All attempts obey it, first ones, retries and resumed streams; a new incarnation starts clean.
    """

    drain_bound_s: float = 2.0
    _leaving_since_s: dict[Incarnation, float] = field(factory=dict)
    _paused_until_s: dict[Incarnation, float] = field(factory=dict)

    def record_leaving(self, upstream_id: str, started_ms: int, now_s: float) -> bool:
        """Record that an upstream leaves; return whether that is new."""
        key = (upstream_id, started_ms)
        if key in self._leaving_since_s:
            return False
        self._forget_old(now_s)
        self._leaving_since_s[key] = now_s
        return True

    def record_pause(self, upstream_id: str, started_ms: int, pause_s: float, now_s: float) -> None:
        """Record that an upstream wants no request for pause_s."""
        self._forget_old(now_s)
        key = (upstream_id, started_ms)
        until_s = now_s + min(MAX_PAUSE_S, pause_s)
        self._paused_until_s[key] = max(until_s, self._paused_until_s.get(key, until_s))

    def is_leaving(self, upstream_id: str, started_ms: int) -> bool:
        """Return whether an upstream has said that it leaves."""
        return (upstream_id, started_ms) in self._leaving_since_s

    def is_blocked(self, upstream_id: str, started_ms: int, now_s: float) -> bool:
        """Return whether no request may be sent to an upstream now."""
        key = (upstream_id, started_ms)
        if now_s < self._paused_until_s.get(key, float("-inf")):
            return True
        since_s = self._leaving_since_s.get(key)
        return since_s is not None and now_s - since_s >= self.drain_bound_s * LAST_RESORT_SHARE

    def next_end_s(self, incarnations: Iterable[Incarnation], now_s: float) -> float | None:
        """Return when the first pause of some upstreams ends, None if none of them has one."""
        ends_s = (self._paused_until_s.get(key) for key in incarnations)
        return min((end_s for end_s in ends_s if end_s and end_s > now_s), default=None)

    def _forget_old(self, now_s: float) -> None:
        self._paused_until_s = {k: t for k, t in self._paused_until_s.items() if t > now_s}
        self._leaving_since_s = {
            key: since_s
            for key, since_s in self._leaving_since_s.items()
            if now_s - since_s <= LEAVING_FORGET_S
        }
