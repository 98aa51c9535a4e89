"""Decide which of several wanted versions an engine is filled with."""

from __future__ import annotations

from attrs import define, field

__all__ = ["VersionChoice"]

# How often an agent that stages an older version asks whether the newest one can be had.
POLL_INTERVAL_S = 0.3
# A piece takes under a tenth of a second on an agent's link; where none comes for so long, their
# source is gone.
STALL_S = 0.8
# An origin that died is back after some seconds, and an older version is staged in some five.
BACKOFF_S = 3.0
# With so much of an older version staged, finishing it costs less than dropping it for a newer one
# that may still stop coming; the newer one is staged by the end of its time all the same.
COMPLETION_SHARE = 0.4


@define
class VersionChoice:
    """Know which versions could not be had lately, and when that was asked."""

    _backoff_until_s: dict[int, float] = field(factory=dict)
    _polled_s: float = float("-inf")

    def candidates(self, usable: list[int], now_s: float) -> list[int]:
        """Return the versions to try, the best first; useful ones are given newest first."""
        last = usable[-1:]
        return [v for v in usable[:-1] if not self.is_backed_off(v, now_s)] + last

    def may_poll(self, version: int, staged_share: float, now_s: float) -> bool:
        """Say whether to ask now for a newer version than the one that is being staged."""
        if staged_share >= COMPLETION_SHARE:
            return False
        if now_s - self._polled_s < POLL_INTERVAL_S or self.is_backed_off(version, now_s):
            return False
        self._polled_s = now_s
        return True

    def check_stalled(self, version: int, last_piece_s: float, now_s: float) -> bool:
        """Say whether a version's pieces have stopped coming, and leave it alone then."""
        if now_s - last_piece_s <= STALL_S:
            return False
        self._backoff_until_s = {version: now_s + BACKOFF_S}
        return True

    def is_backed_off(self, version: int, now_s: float) -> bool:
        """Say whether a version stopped coming a short time ago."""
        return now_s < self._backoff_until_s.get(version, float("-inf"))
