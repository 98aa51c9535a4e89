"""Decide which requests a stopping process still accepts."""

from __future__ import annotations

from attrs import frozen

__all__ = ["StopTimes"]

# Callers may learn of the stop this much later; nearly all requests sent until then end in time.
ACCEPT_ALL_S = 2.0
# The same for short stops, as a share of them.
ACCEPT_ALL_SHARE = 0.3
# The last answers are written and sent in this time, also beside load.
LAST_ANSWERS_S = 0.4


@frozen
class StopTimes:
    """When a process was asked to stop and when it ends."""

    stop_requested_s: float
    ends_s: float

    @property
    def answers_by_s(self) -> float:
        """Return when the requests that are still in progress get their final answers."""
        return max(self.stop_requested_s, self.ends_s - LAST_ANSWERS_S)

    def has_time_for(self, longest_s: float, now_s: float) -> bool:
        """Return whether a request that may last longest_s is accepted."""
        whole_s = self.ends_s - self.stop_requested_s
        accept_all_s = min(ACCEPT_ALL_S, ACCEPT_ALL_SHARE * whole_s)
        if now_s - self.stop_requested_s <= accept_all_s:
            return True
        return now_s + longest_s <= self.answers_by_s

    def must_answer(self, now_s: float) -> bool:
        """Return whether what is in progress must end now, before the process does."""
        return now_s >= self.answers_by_s
