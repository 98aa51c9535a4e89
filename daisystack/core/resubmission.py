"""Distinguish requests resubmitted after a refusal from new ones, by their time left."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque

from attrs import define, field

__all__ = ["ResubmissionDetector", "SpreadTimesDetector"]

# Differences between callers' clocks and network paths stay below this.
NOISE_S = 0.1
MAX_ROUTES = 10_000
# Callers return within this time after a refusal, so the requests after it are new ones.
RETURN_S = 3.0
# A few callers return after other failures, or are slow to send.
NEW_QUANTILE = 0.05
MAX_SAMPLES = 256
MIN_SAMPLES = 20


@define
class ResubmissionDetector:
    """Learn the longest time that callers of each route allow, and compare requests with it.

    New requests of callers that allow different times pass for resubmitted ones.
    """

    _longest_s: dict[str, float] = field(factory=dict)

    def elapsed_s(self, route: str, time_left_s: float) -> float:
        """Return how many seconds of its time a caller used before this request; 0 if new."""
        if route not in self._longest_s and len(self._longest_s) >= MAX_ROUTES:
            self._longest_s.clear()
        longest_s = max(time_left_s, self._longest_s.get(route, 0.0))
        self._longest_s[route] = longest_s
        elapsed_s = longest_s - time_left_s
        return elapsed_s if elapsed_s > NOISE_S else 0.0


@define
class _TimesLeft:
    """The times left of the latest new requests of a route, in order of arrival and sorted."""

    arrived: deque[float] = field(factory=deque)
    ordered: list[float] = field(factory=list)

    def add(self, time_left_s: float) -> None:
        """Add one; the oldest leaves."""
        self.arrived.append(time_left_s)
        insort(self.ordered, time_left_s)
        if len(self.arrived) > MAX_SAMPLES:
            del self.ordered[bisect_left(self.ordered, self.arrived.popleft())]

    def quantile(self, share: float) -> float:
        """Return the time left below which that share of the requests are."""
        return self.ordered[int(share * len(self.ordered))]


@define
class SpreadTimesDetector:
    """Learn how long the callers of each route allow while none can have been refused.

    Callers of one route allow different times, so that a request counts as resubmitted only with
    less time left than nearly all new ones.
    """

    _times_left: dict[str, _TimesLeft] = field(factory=dict)
    _refused_s: float = float("-inf")

    def record_refusal(self, now_s: float) -> None:
        """Record that a request was refused, as this entry's share of the refusals of all."""
        self._refused_s = now_s

    def elapsed_s(self, route: str, time_left_s: float, now_s: float) -> float:
        """Return how many seconds of its time a caller used before this request; 0 if new."""
        if route not in self._times_left and len(self._times_left) >= MAX_ROUTES:
            self._times_left.clear()
        known = self._times_left.setdefault(route, _TimesLeft())
        is_resubmitted = (
            len(known.arrived) >= MIN_SAMPLES
            and time_left_s < known.quantile(NEW_QUANTILE) - NOISE_S
        )
        if now_s - self._refused_s > RETURN_S:
            known.add(time_left_s)
        return known.quantile(0.5) - time_left_s if is_resubmitted else 0.0
