"""Bound how many log lines a process writes."""

from __future__ import annotations

from attrs import define

__all__ = ["LogBudget"]


@define
class LogBudget:
    """Allow a steady rate of lines with bursts, and count what is left out."""

    lines_per_s: float
    burst_lines: float
    dropped: int = 0
    _saved: float | None = None
    _seen_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Say whether a line may be written."""
        if self._saved is None:
            self._saved = self.burst_lines
        else:
            earned = (now_s - self._seen_s) * self.lines_per_s
            self._saved = min(self.burst_lines, self._saved + earned)
        self._seen_s = now_s
        if self._saved < 1.0:
            self.dropped += 1
            return False
        self._saved -= 1.0
        return True

    def drop(self) -> None:
        """Count a line that could not be written."""
        self.dropped += 1

    def take_dropped(self) -> int:
        """Return the lines left out since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped
