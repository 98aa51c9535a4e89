"""Pace bytes under a rate."""

from __future__ import annotations

from attrs import define

__all__ = ["TokenBucket"]


@define
class TokenBucket:
    """Spend bytes that refill at a rate; a rate of 0 means no limit."""

    bytes_per_s: float
    burst_bytes: float
    _saved_bytes: float = 0.0
    _seen_s: float | None = None

    def delay_s(self, size_bytes: int, now_s: float) -> float:
        """Spend bytes and return how long to wait before sending them."""
        if not self.bytes_per_s:
            return 0.0
        if self._seen_s is None:
            self._saved_bytes = self.burst_bytes
        else:
            earned = (now_s - self._seen_s) * self.bytes_per_s
            self._saved_bytes = min(self.burst_bytes, self._saved_bytes + earned)
        self._seen_s = now_s
        self._saved_bytes -= size_bytes
        return max(0.0, -self._saved_bytes / self.bytes_per_s)
