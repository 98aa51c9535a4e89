"""Decide which requests a service with too little room admits, by urgency and by workspace.

Each entry keeps its own state. The reports of the engines, which all entries receive, are what they
have in common, so that no messages are needed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field, frozen

from daisystack.core.traffic import TrafficPolicy

__all__ = ["Admission", "RankedService", "UrgencyAdmission", "find_ranked_services"]

# Demand is measured over about this time; an entry gets a few requests a second.
DEMAND_TIME_S = 8.0
# The level and the fair shares are computed again after this time.
REFRESH_S = 0.05
# A usual request may be predicted to take this share of the longest objective before anyone is
# refused. The fewer are admitted, the more urgent those are, so it goes down to the shortest one.
LONGEST_SHARE = 0.8
# How fast the level follows, per second and unit of error. Reports are up to 0.4 s old.
LEVEL_GAIN_PER_S = 0.5
# Below this share of the shortest objective most engines have free slots: the load has gone.
ROOM_SHARE = 0.6
ROOM_GAIN_PER_S = 6.0
MAX_ERROR = 2.0
# Where requests queue, engines work nearly all of the time.
QUEUED_UTILIZATION = 0.9
# How often the part of recent requests that found no room is taken off the level.
NO_ROOM_GAIN = 7.0
MAX_NO_ROOM_STEP = 0.3
# Above 1, so that a short peak refuses nobody.
MAX_LEVEL = 1.25
MIN_LEVEL = 0.02
# No rank is admitted less often than this share of how often all are.
MIN_RANK_SHARE = 0.5
# Late answers are worth less, so they come after new requests of the next rank.
RETURN_DEMOTION = 1.5
# Refused callers return at this share of the rate at which requests are admitted.
RETURN_RATE_SHARE = 0.5
RETURN_MIN_S = 0.5
RETURN_MAX_S = 2.0
# Further workspaces of a rank share one account.
MAX_WORKSPACES = 256
OTHER_WORKSPACES = ""
# Above it only rounding errors are left.
FULL_SHARE = 0.999
FORGET_DEMAND = 0.02


@frozen
class RankedService:
    """A service whose routes differ in priority, and the objectives of those routes."""

    name: str
    # Ascending; the first is most urgent.
    priorities: tuple[int, ...]
    shortest_objective_s: float
    longest_objective_s: float

    def rank_of(self, priority: int) -> int:
        """Return the position of a priority among those of the service."""
        return sum(1 for known in self.priorities if known < priority)


def find_ranked_services(policy: TrafficPolicy) -> dict[str, RankedService]:
    """Return the services with engines whose routes have two or more different priorities."""
    found = {}
    for name, service in policy.services.items():
        if service.engine is None:
            continue
        routes = [r for r in policy.routes if any(share.service == name for share in r.shares)]
        priorities = {route.priority for route in routes}
        objectives_s = [route.objective_s for route in routes if route.objective_s > 0]
        if len(priorities) < 2 or not objectives_s:
            continue
        priorities |= {w.priority for w in policy.workspaces if w.priority is not None}
        found[name] = RankedService(
            name, tuple(sorted(priorities)), min(objectives_s), max(objectives_s)
        )
    return found


@frozen
class Admission:
    """Whether a request is admitted, and what decided it."""

    is_admitted: bool
    rank: int
    # Share of the requests of the same rank and workspace that are admitted now.
    share: float
    # Predicted wait of a usual request, and the one up to which all are admitted.
    predicted_s: float
    threshold_s: float

    @property
    def reason(self) -> str:
        """Return what decided, for logs and callers."""
        return (
            f"rank {self.rank} is admitted at a share of {self.share:.2f}: "
            f"{self.predicted_s:.3f} s predicted, {self.threshold_s:.3f} s aimed at"
        )


@define
class _Account:
    """Requests of one rank, new or returned, that were asked for lately, by workspace."""

    order: float
    is_return: bool
    demand: dict[str, float] = field(factory=dict)
    share: float = 1.0
    # Requests that one workspace may have admitted.
    workspace_limit: float = math.inf
    credit: float = 0.0

    @property
    def total(self) -> float:
        """Return the number of recent requests."""
        return sum(self.demand.values())

    def name_of(self, workspace: str) -> str:
        """Return the name under which a workspace is counted."""
        if workspace in self.demand or len(self.demand) < MAX_WORKSPACES:
            return workspace
        return OTHER_WORKSPACES

    def age(self, factor: float) -> None:
        """Reduce all counts and forget the smallest."""
        self.demand = {
            name: count * factor
            for name, count in self.demand.items()
            if count * factor > FORGET_DEMAND
        }

    def set_share(self, share: float) -> None:
        """Set the share to admit, and divide it among the workspaces."""
        self.share = share
        limit = find_fair_limit(self.demand.values(), share * self.total)
        self.workspace_limit = limit if share < FULL_SHARE else math.inf

    def share_of(self, workspace: str) -> float:
        """Return the share of a workspace's requests to admit."""
        demand = self.demand.get(workspace, 0.0)
        return 1.0 if demand <= self.workspace_limit else self.workspace_limit / demand

    def take(self, share: float) -> bool:
        """Admit one of 1 / share requests, evenly spaced."""
        self.credit += share
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


def find_fair_limit(demands: Iterable[float], budget: float) -> float:
    """Return the limit for each demand so that the limited demands add up to the budget."""
    ascending = sorted(demands)
    remaining = budget
    for position, demand in enumerate(ascending):
        limit = remaining / (len(ascending) - position)
        if demand > limit:
            return limit
        remaining -= demand
    return math.inf


@define
class UrgencyAdmission:
    """Admission to one service: a level that follows the engines' load, and demand by rank."""

    service: RankedService
    level: float = 1.0
    predicted_s: float = 0.0
    _accounts: dict[tuple[int, bool], _Account] = field(factory=dict)
    _queue_factors: dict[int, float] = field(factory=dict)
    # When the last refused caller of each rank was told to return.
    _returns_s: dict[int, float] = field(factory=dict)
    _refreshed_s: float | None = None

    @property
    def threshold_s(self) -> float:
        """Return the predicted wait that the level aims at."""
        shortest_s = self.service.shortest_objective_s
        longest_s = max(shortest_s, self.service.longest_objective_s * LONGEST_SHARE)
        return shortest_s + (longest_s - shortest_s) * min(1.0, self.level)

    def is_due(self, now_s: float) -> bool:
        """Return whether the load should be predicted again."""
        return self._refreshed_s is None or now_s - self._refreshed_s >= REFRESH_S

    def refresh(self, predicted_s: float, now_s: float) -> None:
        """Adapt the level to the predicted time to the first event of a usual request."""
        elapsed_s = 0.0 if self._refreshed_s is None else now_s - self._refreshed_s
        self._refreshed_s = now_s
        self.predicted_s = predicted_s
        error = 1.0 - predicted_s / self.threshold_s
        error = max(-MAX_ERROR, min(MAX_ERROR, error))
        has_room = predicted_s < ROOM_SHARE * self.service.shortest_objective_s
        gain_per_s = ROOM_GAIN_PER_S if has_room else LEVEL_GAIN_PER_S
        step = gain_per_s * error * min(elapsed_s, 1.0)
        self.level = min(MAX_LEVEL, max(MIN_LEVEL, self.level * math.exp(step)))
        factor = math.exp(-elapsed_s / DEMAND_TIME_S)
        for account in self._accounts.values():
            account.age(factor)
        self._divide(min(1.0, self.level))
        self._queue_factors = self._find_queue_factors()

    def _divide(self, level: float) -> None:
        """Divide the level among the accounts: a part to each rank, the rest by urgency."""
        accounts = sorted(self._accounts.values(), key=lambda account: account.order)
        new = sum(account.total for account in accounts if not account.is_return)
        budget = level * sum(account.total for account in accounts)
        floor = MIN_RANK_SHARE * min(1.0, budget / new) if new else 0.0
        remaining = budget - floor * new
        for account in accounts:
            demand = account.total
            least = 0.0 if account.is_return else floor
            wanted = demand * (1.0 - least)
            given = min(wanted, max(0.0, remaining))
            remaining -= given
            account.set_share(least + given / demand if demand else 1.0)

    def queue_factor(self, priority: int) -> float:
        """Return the wait in an engine's queue, in parts of the wait in order of arrival."""
        return self._queue_factors.get(self.service.rank_of(priority), 1.0)

    def _find_queue_factors(self) -> dict[int, float]:
        """Compute the mean waits by rank where the most urgent start first (Cobham's formula)."""
        rates: dict[int, float] = {}
        for (rank, _), account in sorted(self._accounts.items()):
            rates[rank] = rates.get(rank, 0.0) + account.total * account.share
        total = sum(rates.values())
        if not total:
            return {}
        busy = 0.0
        waits: dict[int, float] = {}
        for rank, rate in rates.items():
            busy_with = busy + QUEUED_UTILIZATION * rate / total
            waits[rank] = 1.0 / ((1.0 - busy) * (1.0 - busy_with))
            busy = busy_with
        mean_wait = sum(waits[rank] * rate for rank, rate in rates.items()) / total
        return {rank: wait / mean_wait for rank, wait in waits.items()}

    def plan_return_s(self, rank: int, now_s: float) -> float:
        """Return in how many seconds a refused caller should come back, more urgent ones first."""
        admitted = sum(account.total * account.share for account in self._accounts.values())
        interval_s = DEMAND_TIME_S / max(1.0, RETURN_RATE_SHARE * admitted)
        before_s = max(
            (at_s for other, at_s in self._returns_s.items() if other <= rank), default=now_s
        )
        earliest_s = now_s + RETURN_MIN_S * (1 + rank)
        at_s = min(max(before_s + interval_s, earliest_s), now_s + RETURN_MAX_S)
        self._returns_s[rank] = at_s
        return at_s - now_s

    def record_no_room(self, rank: int) -> None:
        """Lower the level, as less urgent requests took the room of one that was admitted."""
        if rank >= len(self.service.priorities) - 1:
            return
        recent = sum(account.total for account in self._accounts.values())
        step = min(MAX_NO_ROOM_STEP, NO_ROOM_GAIN / max(1.0, recent))
        self.level = max(MIN_LEVEL, self.level * (1.0 - step))

    def admit(self, priority: int, workspace: str, is_return: bool) -> Admission:
        """Count a request and decide whether it may be placed."""
        rank = self.service.rank_of(priority)
        account = self._accounts.get((rank, is_return))
        if account is None:
            order = rank + (RETURN_DEMOTION if is_return else 0.0)
            account = self._accounts[rank, is_return] = _Account(order, is_return)
        name = account.name_of(workspace)
        account.demand[name] = account.demand.get(name, 0.0) + 1.0
        share = account.share_of(name)
        is_admitted = account.take(share)
        return Admission(is_admitted, rank, share, self.predicted_s, self.threshold_s)
