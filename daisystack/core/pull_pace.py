"""Pace pulls of weight pieces: on a slow link, and from a source that does not respond."""

from __future__ import annotations

from attrs import define, field

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
    """Back-off of the pulls of a version after failures without a success in between.

    A version that a source doesn't have must not delay another one.
    """

    _failures: dict[int, int] = field(factory=dict)
    _retry_s: dict[int, float] = field(factory=dict)

    def wait_s(self, version: int, now_s: float) -> float:
        """Return how long to wait before the next call for a version."""
        return max(0.0, self._retry_s.get(version, now_s) - now_s)

    def record_failure(self, version: int, now_s: float) -> None:
        """Record that a call failed."""
        self._failures[version] = self._failures.get(version, 0) + 1
        if self._failures[version] >= FAILURES_BEFORE_BACKOFF:
            self._retry_s[version] = now_s + RETRY_INTERVAL_S

    def record_success(self, version: int) -> None:
        """Record that a call succeeded."""
        self._failures.pop(version, None)
        self._retry_s.pop(version, None)
