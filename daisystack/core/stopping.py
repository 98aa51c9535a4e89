"""Decide which requests a stopping process still accepts."""

from __future__ import annotations

from attrs import frozen

__all__ = ["StopTimes"]

# Callers may learn of the stop this much later; nearly all requests sent until then end in time.
ACCEPT_ALL_S = 2.0


@frozen
class StopTimes:
    """When a process was asked to stop and when it ends."""

    stop_requested_s: float
    ends_s: float

    def has_time_for(self, longest_s: float, now_s: float) -> bool:
        """Return whether a request that may last longest_s is accepted."""
        return now_s - self.stop_requested_s <= ACCEPT_ALL_S or now_s + longest_s <= self.ends_s
