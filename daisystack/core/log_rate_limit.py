"""Bound how many log lines a process writes."""

from __future__ import annotations

from attrs import define

__all__ = ["LogRateLimiter"]


@define
class LogRateLimiter:
    """Allow a steady rate of lines with bursts, and count what is left out."""

    lines_per_s: float
    burst_lines: float
    dropped: int = 0
    _tokens: float | None = None
    _updated_s: float = 0.0

    def try_consume(self, now_s: float) -> bool:
        """Say whether a line may be written."""
        if self._tokens is None:
            self._tokens = self.burst_lines
        else:
            refill = (now_s - self._updated_s) * self.lines_per_s
            self._tokens = min(self.burst_lines, self._tokens + refill)
        self._updated_s = now_s
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True

    def count_dropped(self) -> None:
        """Count a line that could not be written."""
        self.dropped += 1

    def pop_dropped(self) -> int:
        """Return the lines left out since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
