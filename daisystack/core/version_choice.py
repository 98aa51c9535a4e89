"""Choose which of several usable versions to stage for an engine."""

from __future__ import annotations

from attrs import define, field

__all__ = ["VersionChoice"]

# How often an agent that stages an older version polls whether the newest one is available.
POLL_INTERVAL_S = 0.3
# A piece takes less than 0.1 s on an agent's link; when none arrives for this long, the source of
# the pieces has failed.
STALL_TIMEOUT_S = 0.8
# A crashed origin is back after a few seconds; staging an older version takes about 5 s.
BACKOFF_S = 3.0
# Once this share of an older version is staged, completing it costs less than dropping it for a
# newer one whose pieces may stop arriving; the newer one is still staged before its deadline.
COMPLETION_SHARE = 0.4


@define
class VersionChoice:
    """Track which versions were recently unavailable and when the newest was last polled."""

    _backoff_until_s: dict[int, float] = field(factory=dict)
    _polled_s: float = float("-inf")

    def candidates(self, usable: list[int], now_s: float) -> list[int]:
        """Return the versions to try, best first.

        usable lists the usable versions, newest first; its oldest is always a candidate.
        """
        last = usable[-1:]
        return [v for v in usable[:-1] if not self.is_backed_off(v, now_s)] + last

    def may_poll(self, version: int, staged_share: float, now_s: float) -> bool:
        """Return whether to poll now for a newer version than the one being staged."""
        if staged_share >= COMPLETION_SHARE:
            return False
        if now_s - self._polled_s < POLL_INTERVAL_S or self.is_backed_off(version, now_s):
            return False
        self._polled_s = now_s
        return True

    def check_stalled(self, version: int, last_piece_s: float, now_s: float) -> bool:
        """Return whether a version's pieces have stopped arriving, and back off from it if so."""
        if now_s - last_piece_s <= STALL_TIMEOUT_S:
            return False
        self._backoff_until_s = {version: now_s + BACKOFF_S}
        return True

    def is_backed_off(self, version: int, now_s: float) -> bool:
        """Return whether a version is in back-off because its pieces stopped arriving."""
        return now_s < self._backoff_until_s.get(version, float("-inf"))
