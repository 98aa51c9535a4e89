"""Bound the requests to cold upstreams over all entries together.

A part needs no messages, and it holds for an upstream that may be cold as for one that is: records
that are too old may hide a start.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping, Set
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from daisystack.core.cold_parts import ColdParts
from daisystack.core.dealing import SlidingQuota
from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.traffic import Service

if TYPE_CHECKING:
    from daisystack.core.placement.records import DirectUpstream, SentRequest

__all__ = ["WINDOW_S", "ColdBound", "ColdUpstreams"]

WINDOW_S = 1.0
# All entries see at the same moment that an upstream is warm; its allowance grows to RAMP_FACTOR
# times the cold one over this time instead of being lifted at once.
RAMP_S = 2.0
RAMP_FACTOR = 3.0
# An upstream that comes back from an evacuation may have become cold shortly before, and its
# record is rewritten and read within this time.
RETURN_S = 2.0
ROUNDING = 1e-9


@frozen
class ColdBound:
    """What a cold upstream takes in a second from all entries, overrun and slack included."""

    overrun: float
    slack: float

    def near(self, limit_per_s: float) -> int:
        """Return how many requests are dealt out to the entries near an upstream.

        At most half of what is allowed: two groups of entries that don't know each other, or sends
        of two seconds that arrive in one, keep the bound.
        """
        allowed = self.allowed(limit_per_s)
        return min(max(1, math.floor(limit_per_s)), max(1, allowed // 2), allowed)

    def far(self, limit_per_s: float) -> int:
        """Return how many requests are left for entries that may not know who is cold."""
        return self.allowed(limit_per_s) - self.near(limit_per_s)

    def allowed(self, limit_per_s: float) -> int:
        """Return how many whole requests the bound allows in a second."""
        return math.floor(limit_per_s * self.overrun + self.slack + ROUNDING)


@define
class _Record:
    upstream: DirectUpstream
    received_s: float
    cold_until_s: float
    returned_until_s: float = float("-inf")

    @property
    def ends_s(self) -> float:
        """Return when the upstream is warm again, as far as is known."""
        return max(self.cold_until_s, self.returned_until_s)


@define
class ColdUpstreams:
    """Which upstreams are or may be cold, and what this entry may send to each and has sent.

    Nothing is bounded without a bound, nor for a service that publishes no limit.
    """

    bound: ColdBound | None = None
    # Older records may hide that an upstream started anew.
    max_record_age_s: float = float("inf")
    record_age_s: Callable[[float], float] = lambda now_s: 0.0
    engines: EngineStatusTable = field(factory=EngineStatusTable)
    parts: ColdParts = field(factory=ColdParts)
    # How often an upstream was not chosen because its part was used up.
    passed_over: int = 0
    _limits_per_s: dict[str, float] = field(factory=dict)
    _records: dict[str, _Record] = field(factory=dict)
    _served_zones: dict[str, frozenset[str]] = field(factory=dict)
    _sent_s: dict[str, deque[float]] = field(factory=dict)
    _reserved: dict[str, set[SentRequest]] = field(factory=dict)

    def update_services(self, services: Mapping[str, Service]) -> None:
        """Take the limit of each service whose upstreams can be cold."""
        if self.bound is None:
            return
        self._limits_per_s = {
            name: service.cold_limit_per_s
            for name, service in services.items()
            if service.cold_limit_per_s > 0
        }

    def record(self, upstream: DirectUpstream, now_s: float) -> None:
        """Take a published record; how long its upstream stays cold counts from now on."""
        known = self._records.get(upstream.id) or _Record(upstream, now_s, float("-inf"))
        is_cold = upstream.cold_left_s > 0
        # Without a rest, an announced cold time has ended by now.
        until_s = now_s + upstream.cold_left_s if is_cold else min(known.cold_until_s, now_s)
        self._records[upstream.id] = _Record(upstream, now_s, until_s, known.returned_until_s)
        self._served_zones.pop(upstream.service, None)

    def forget(self, upstream_id: str) -> None:
        """Forget an upstream that is no longer published, except what it was sent."""
        record = self._records.pop(upstream_id, None)
        if record is not None:
            self._served_zones.pop(record.upstream.service, None)

    def record_return(self, zone: str, now_s: float) -> None:
        """Take the upstreams of a zone as cold for a moment, as its evacuation has ended."""
        for record in self._records.values():
            if record.upstream.zone == zone:
                record.returned_until_s = now_s + RETURN_S

    def is_cold(self, upstream: DirectUpstream, now_s: float) -> bool:
        """Return whether an upstream is cold as far as its record tells."""
        if upstream.service not in self._limits_per_s:
            return False
        record = self._records.get(upstream.id)
        return record is not None and now_s < record.ends_s

    def cold(self, now_s: float) -> list[DirectUpstream]:
        """Return the upstreams that are cold as far as their records tell."""
        upstreams = (record.upstream for record in self._records.values())
        return [upstream for upstream in upstreams if self.is_cold(upstream, now_s)]

    def is_unsure(self, now_s: float) -> bool:
        """Return whether the records are too old to tell who is cold."""
        return bool(self._limits_per_s) and self.record_age_s(now_s) > self.max_record_age_s

    def part(self, upstream: DirectUpstream, now_s: float) -> int | None:
        """Return how many requests this entry may send in a second; None if it is not bounded."""
        limit_per_s = self._limits_per_s.get(upstream.service)
        if limit_per_s is None or self.bound is None:
            return None
        record = self._records.get(upstream.id)
        ends_s = record.ends_s if record is not None else float("-inf")
        if now_s < ends_s or self._may_have_restarted(upstream, now_s):
            return self._part(upstream, self.bound.near(limit_per_s), 0, now_s)
        if self.is_unsure(now_s):
            near, far = self.bound.near(limit_per_s), self.bound.far(limit_per_s)
            return self._part(upstream, near, far, now_s)
        if now_s < ends_s + RAMP_S:
            growth = 1.0 + (RAMP_FACTOR - 1.0) * (now_s - ends_s) / RAMP_S
            near = math.floor(self.bound.near(limit_per_s) * growth + ROUNDING)
            return self._part(upstream, near, 0, now_s)
        return None

    def _may_have_restarted(self, upstream: DirectUpstream, now_s: float) -> bool:
        """Return whether an agent has seen another life of an upstream than the published one."""
        status = self.engines.get(upstream.address, now_s)
        record = self._records.get(upstream.id)
        if status is None or record is None or not upstream.has_engine:
            return False
        if not status.started_ms or not upstream.started_ms:
            return False
        return status.started_ms != upstream.started_ms and status.read_s > record.received_s

    def _part(self, upstream: DirectUpstream, near: int, far: int, now_s: float) -> int:
        if not self.parts.is_settled(now_s):
            return 0
        served_zones = self._zones_of(upstream.service)
        return self.parts.part(upstream.id, upstream.zone, served_zones, near, far)

    def _zones_of(self, service: str) -> Set[str]:
        if service not in self._served_zones:
            upstreams = (record.upstream for record in self._records.values())
            zones = frozenset(u.zone for u in upstreams if u.service == service)
            self._served_zones[service] = zones
        return self._served_zones[service]

    def admits(self, upstream: DirectUpstream, now_s: float) -> bool:
        """Return whether one more request may be chosen for an upstream; count if it may not."""
        if not self._limits_per_s:
            return True
        is_admitted = self._fits(upstream, len(self._reserved.get(upstream.id, ())), now_s)
        self.passed_over += not is_admitted
        return is_admitted

    def _fits(self, upstream: DirectUpstream, reserved: int, now_s: float) -> bool:
        part = self.part(upstream, now_s)
        if part is None:
            return True
        sent_s = self._sent_s.get(upstream.id, ())
        return SlidingQuota(part, WINDOW_S).free_at_s(sent_s, reserved, WINDOW_S, now_s) <= now_s

    def reserve(self, sent: SentRequest) -> None:
        """Count a request that is about to be sent."""
        if self._limits_per_s:
            self._reserved.setdefault(sent.upstream_id, set()).add(sent)

    def release(self, sent: SentRequest) -> None:
        """Give back what was reserved for a request."""
        reserved = self._reserved.get(sent.upstream_id)
        if reserved is not None:
            reserved.discard(sent)
            if not reserved:
                del self._reserved[sent.upstream_id]

    def take(self, upstream: DirectUpstream, now_s: float) -> bool:
        """Count a request as sent now; return False if its upstream is cold and gets no more."""
        if upstream.service not in self._limits_per_s:
            return True
        # Other reserved requests are counted when they are sent.
        if not self._fits(upstream, 0, now_s):
            self.passed_over += 1
            return False
        sent_s = self._sent_s.setdefault(upstream.id, deque())
        sent_s.append(now_s)
        while sent_s[0] <= now_s - WINDOW_S:
            sent_s.popleft()
        return True

    def forget_sent(self, now_s: float) -> None:
        """Forget what no longer counts."""
        for upstream_id in [k for k, s in self._sent_s.items() if s[-1] <= now_s - WINDOW_S]:
            del self._sent_s[upstream_id]
