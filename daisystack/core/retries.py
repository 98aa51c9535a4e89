"""Bound how many retries an entry adds to the load."""

from __future__ import annotations

from attrs import define

__all__ = ["RetryBudget"]


@define
class RetryBudget:
    """Earn a fraction of a retry with each request, and spend one for each retry."""

    ratio: float = 0.1
    max_saved: float = 10.0
    saved: float = 10.0

    def earn(self) -> None:
        """Count a first attempt."""
        self.saved = min(self.max_saved, self.saved + self.ratio)

    def take(self) -> bool:
        """Spend one retry if the budget has it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
