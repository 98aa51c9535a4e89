"""Distinguish requests resubmitted after a refusal from new ones, by their time left."""

from __future__ import annotations

from attrs import define, field

__all__ = ["ResubmissionDetector"]

# Differences between callers' clocks and network paths stay below this.
NOISE_S = 0.1
MAX_ROUTES = 10_000


@define
class ResubmissionDetector:
    """Learn the longest time that callers of each route allow, and compare requests with it."""

    _longest_s: dict[str, float] = field(factory=dict)

    def elapsed_s(self, route: str, time_left_s: float) -> float:
        """Return how many seconds of its time a caller used before this request; 0 if new."""
        if route not in self._longest_s and len(self._longest_s) >= MAX_ROUTES:
            self._longest_s.clear()
        longest_s = max(time_left_s, self._longest_s.get(route, 0.0))
        self._longest_s[route] = longest_s
        elapsed_s = longest_s - time_left_s
        return elapsed_s if elapsed_s > NOISE_S else 0.0
