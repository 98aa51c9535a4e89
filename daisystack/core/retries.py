"""Retry budgets, which bound the load that an entry's retries add."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from attrs import define, field

__all__ = ["Budget", "RetryBudget", "ServiceBudgets", "WindowedBudget"]

# Keeps the sum over all entries below the published bound while entries disagree on how many
# entries there are.
SAFETY_FACTOR = 0.7
# An entry that has just started knows few others, and may take their parts for its own.
COUNT_SETTLED_S = 1.0
# With SAFETY_FACTOR for former incarnations, and counts that are still a little low, less than 1.
FRESH_FACTOR = 0.2


class Budget(Protocol):
    """Budget that allows or denies each retry."""

    def try_consume(self) -> bool:
        """Consume one retry; return False if none is left."""


@define
class RetryBudget:
    """Retry budget that each request credits with a fraction of a retry."""

    ratio: float = 0.1
    max_balance: float = 10.0
    balance: float = 10.0

    def credit(self) -> None:
        """Credit the budget for a first attempt."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def try_consume(self) -> bool:
        """Consume one retry; return False if none is left."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True


@define
class WindowedBudget:
    """Bound on one entry's retries at one service within any window.

    All entries together may send ratio x requests + slack retries. Each may use the ratio of its
    own requests and an equal part of the slack.
    """

    ratio: float
    slack: float
    window_s: float
    # When this entry started; an earlier incarnation may have used its part of the slack before.
    started_s: float = float("-inf")
    _first_attempts_s: deque[float] = field(factory=deque)
    _retries_s: deque[float] = field(factory=deque)

    def credit(self, now_s: float) -> None:
        """Credit the budget for a first attempt."""
        self._first_attempts_s.append(now_s)
        self._drop_old(now_s)

    def remaining(self, entries: int, now_s: float) -> float:
        """Return how many retries may still be sent in this window."""
        self._drop_old(now_s)
        allowed = SAFETY_FACTOR * self.ratio * len(self._first_attempts_s)
        allowed += self._slack_factor(now_s) * self.slack / max(1, entries)
        return allowed - len(self._retries_s)

    def _slack_factor(self, now_s: float) -> float:
        age_s = now_s - self.started_s
        if age_s < COUNT_SETTLED_S:
            return 0.0
        return SAFETY_FACTOR if age_s >= self.window_s else FRESH_FACTOR

    def try_consume(self, entries: int, now_s: float) -> bool:
        """Consume one retry; return False if the window has none left."""
        if self.remaining(entries, now_s) < 1.0:
            return False
        self._retries_s.append(now_s)
        return True

    def _drop_old(self, now_s: float) -> None:
        for times in (self._first_attempts_s, self._retries_s):
            while times and times[0] < now_s - self.window_s:
                times.popleft()


@define
class ServiceBudgets:
    """Windowed budgets of one entry, one for each service that it sends to."""

    ratio: float
    slack: float
    window_s: float
    started_s: float = float("-inf")
    _budgets: dict[str, WindowedBudget] = field(factory=dict)

    def credit(self, service: str, now_s: float) -> None:
        """Credit a service's budget for a first attempt."""
        self._budget_for(service).credit(now_s)

    def try_consume(self, service: str, entries: int, now_s: float) -> bool:
        """Consume one retry at a service; return False if the window has none left."""
        return self._budget_for(service).try_consume(entries, now_s)

    def can_consume(self, service: str, entries: int, now_s: float) -> bool:
        """Return whether one more retry may be sent to a service."""
        return self._budget_for(service).remaining(entries, now_s) >= 1.0

    def remaining(self, entries: int, now_s: float) -> float:
        """Return the retries left in the most used budget, or 0 without any budget."""
        return min((b.remaining(entries, now_s) for b in self._budgets.values()), default=0.0)

    def _budget_for(self, service: str) -> WindowedBudget:
        if service not in self._budgets:
            self._budgets[service] = WindowedBudget(
                self.ratio, self.slack, self.window_s, self.started_s
            )
        return self._budgets[service]
