"""Pace pulls of weight pieces: on a slow link, and from a source that does not respond."""

from __future__ import annotations

from attrs import define

__all__ = ["SourceBackoff", "slice_pause_s"]

# Requests share the link; a pull that saturates it delays each of them by a slice or more.
MAX_LINK_SHARE = 0.97
# Single failures, as of one connection, delay no other piece.
FAILURES_BEFORE_BACKOFF = 3
RETRY_INTERVAL_S = 0.2


def slice_pause_s(slice_bytes: int, link_bytes_per_s: float, took_s: float) -> float:
    """Return how long to pause after a slice so that pulls alone never saturate the link."""
    if link_bytes_per_s <= 0:
        return 0.0
    return max(0.0, slice_bytes / (link_bytes_per_s * MAX_LINK_SHARE) - took_s)


@define
class SourceBackoff:
    """Back-off of all pulls from one source after failures without a success in between."""

    _failures: int = 0
    _retry_s: float = float("-inf")

    def wait_s(self, now_s: float) -> float:
        """Return how long to wait before the next call."""
        return max(0.0, self._retry_s - now_s)

    def record_failure(self, now_s: float) -> None:
        """Record that a call failed."""
        self._failures += 1
        if self._failures >= FAILURES_BEFORE_BACKOFF:
            self._retry_s = now_s + RETRY_INTERVAL_S

    def record_success(self) -> None:
        """Record that a call succeeded."""
        self._failures = 0
        self._retry_s = float("-inf")
