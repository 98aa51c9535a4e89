"""Limit the rate at which bytes are sent."""

from __future__ import annotations

from attrs import define

__all__ = ["TokenBucket"]


@define
class TokenBucket:
    """Limit bytes by a token bucket; a rate of 0 means no limit."""

    bytes_per_s: float
    burst_bytes: float
    _available_bytes: float = 0.0
    _updated_s: float | None = None

    def delay_s(self, size_bytes: int, now_s: float) -> float:
        """Consume bytes and return how long to wait before sending them."""
        if not self.bytes_per_s:
            return 0.0
        if self._updated_s is None:
            self._available_bytes = self.burst_bytes
        else:
            refilled = (now_s - self._updated_s) * self.bytes_per_s
            self._available_bytes = min(self.burst_bytes, self._available_bytes + refilled)
        self._updated_s = now_s
        self._available_bytes -= size_bytes
        return max(0.0, -self._available_bytes / self.bytes_per_s)
