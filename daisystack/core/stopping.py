"""Decide which requests a process that was asked to stop still takes."""

from __future__ import annotations

from attrs import frozen

__all__ = ["StopTimes"]

# Until then callers may not know of the stop, and nearly all requests end in time.
ACCEPT_ALL_S = 2.0


@frozen
class StopTimes:
    """Hold when a process was asked to stop and when it ends."""

    stop_requested_s: float
    ends_s: float

    def has_time_for(self, longest_s: float, now_s: float) -> bool:
        """Say whether a request that may last so long is taken."""
        return now_s - self.stop_requested_s <= ACCEPT_ALL_S or now_s + longest_s <= self.ends_s
