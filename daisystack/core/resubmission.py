"""Tell requests that come again after a refusal from new ones, by the time left to them."""

from __future__ import annotations

from attrs import define, field

__all__ = ["ResubmissionDetector"]

# Callers' clocks and ways differ by less than this.
NOISE_S = 0.1
MAX_ROUTES = 10_000


@define
class ResubmissionDetector:
    """Learn how long callers of a route are usually ready to wait."""

    _longest_s: dict[str, float] = field(factory=dict)

    def elapsed_s(self, route: str, time_left_s: float) -> float:
        """Return how much of its time a caller has spent before this request."""
        if route not in self._longest_s and len(self._longest_s) >= MAX_ROUTES:
            self._longest_s.clear()
        longest_s = max(time_left_s, self._longest_s.get(route, 0.0))
        self._longest_s[route] = longest_s
        elapsed_s = longest_s - time_left_s
        return elapsed_s if elapsed_s > NOISE_S else 0.0
