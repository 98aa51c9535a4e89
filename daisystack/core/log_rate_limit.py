"""Limit the rate at which a process writes log lines."""

from __future__ import annotations

from attrs import define

__all__ = ["LogRateLimiter"]


@define
class LogRateLimiter:
    """Token bucket for log lines that counts the lines it rejects."""

    lines_per_s: float
    burst_lines: float
    dropped: int = 0
    _tokens: float | None = None
    _updated_s: float = 0.0

    def try_consume(self, now_s: float) -> bool:
        """Consume a token for one line; return False and count the line if none is left."""
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
        """Count a line that could not be written for another reason."""
        self.dropped += 1

    def pop_dropped(self) -> int:
        """Return the number of lines dropped since the last call and reset it."""
        dropped, self.dropped = self.dropped, 0
        return dropped
