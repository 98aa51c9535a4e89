"""Simulate a fleet that sends to upstreams with a rate limit, in passed time."""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import define, field

from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.membership import Membership
from daisystack.core.placement import (
    DirectUpstream,
    Placement,
    PlacementRequirements,
    Refusal,
    SentRequest,
)
from daisystack.runtime.rate_limit_watch import RateLimitWatch
from daisystack.testing.gossip import GossipFleet, SimulatedEntry

__all__ = ["WINDOW_S", "Arrival", "LimitFleet", "worst_window"]

SERVICE = "s"
WINDOW_S = 4.0
# What the rule allows beyond the limit.
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5
# An entry counts from this long after it passed on an answer that named the limit.
TOLD_AFTER_S = 0.5
MIN_PUSH_INTERVAL_S = 0.1
# More than any run sends at once, so that only the limit binds.
SLOTS = 100_000


@define
class Arrival:
    """One request that reached an upstream, and whether its entry had been told of a limit."""

    at_s: float
    entry_id: str
    was_told: bool
    upstream_id: str


@define(eq=False)
class LimitFleet(GossipFleet):
    """Entries with one upstream, in zone z0, that names limit_per_s from limited_from_s on."""

    limit_per_s: float = 2.0
    demand_per_s: float = 40.0
    # All requests arrive at this entry; at any if it is None.
    busy_entry: str | None = None
    limited_from_s: float = 6.0
    limited_until_s: float = float("inf")
    connect_s: Callable[[random.Random], float] = lambda draw: draw.uniform(0.001, 0.015)
    answer_s: Callable[[random.Random], float] = lambda draw: draw.uniform(0.02, 0.3)
    arrivals: list[Arrival] = field(factory=list)
    refused: int = 0
    placements: dict[str, Placement] = field(factory=dict)
    watches: dict[str, RateLimitWatch] = field(factory=dict)
    told_s: dict[str, float] = field(factory=dict)
    _work: random.Random = field(init=False)
    _pushed_s: dict[str, float] = field(factory=dict)
    _callers: SimulatedEntry = field(init=False)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self._work = random.Random(self.seed + 1000)
        # Callers outlive the entries.
        callers = next(iter(self.entries.values())).own
        self._callers = SimulatedEntry(callers, Membership(callers.id, callers.zone))
        self._schedule(0.0, self._callers, self._arrive)

    def restart(self, entry_id: str) -> None:
        """Start a new incarnation that knows neither the other entries nor a limit."""
        super().restart(entry_id)
        self._start(self.entries[entry_id])
        self.told_s.pop(entry_id, None)

    def add(self, zone: str) -> str:
        """Start one more entry of a zone and return its id."""
        entry_id = f"e{len(self.entries)}"
        self._add(entry_id, zone)
        self.entries[entry_id].membership.apply_update(self.entries["e0"].own, 0.0, self.now_s)
        return entry_id

    def worst_told(self, from_s: float, excused: frozenset[str] = frozenset()) -> int:
        """Return the most requests in some WINDOW_S that entries sent that had been told."""
        told = [a.at_s for a in self.arrivals if a.was_told and a.entry_id not in excused]
        return worst_window([at_s for at_s in told if at_s >= from_s], WINDOW_S)

    def worst_total(self, from_s: float, to_s: float = float("inf")) -> int:
        """Return the most requests in some WINDOW_S of a time, from all entries."""
        times_s = [a.at_s for a in self.arrivals if from_s <= a.at_s < to_s]
        return worst_window(times_s, WINDOW_S)

    def rate_per_s(self, from_s: float, to_s: float) -> float:
        """Return the mean rate at which requests reached the upstream."""
        return sum(from_s <= a.at_s < to_s for a in self.arrivals) / (to_s - from_s)

    @property
    def allowed(self) -> float:
        """Return how many requests the rule allows in WINDOW_S."""
        return ALLOWED_FACTOR * WINDOW_S * self.limit_per_s + ALLOWED_SLACK

    def _add(self, entry_id: str, zone: str) -> None:
        super()._add(entry_id, zone)
        self._start(self.entries[entry_id])

    def _start(self, entry: SimulatedEntry) -> None:
        placement = self._build_placement(entry.own.zone)
        watch = RateLimitWatch(placement, lambda: self._spread(entry))
        self.placements[entry.own.id], self.watches[entry.own.id] = placement, watch

    def _spread(self, entry: SimulatedEntry) -> None:
        self._refresh(entry)
        self._push_soon(entry)

    def _refresh(self, entry: SimulatedEntry) -> None:
        self.watches[entry.own.id].refresh(entry.own, entry.membership, self.now_s)

    def _round(self, entry: SimulatedEntry) -> None:
        if self.now_s >= entry.paused_until_s:
            self._refresh(entry)
        super()._round(entry)

    def _receive(self, receiver, sender, members, heartbeats) -> None:
        super()._receive(receiver, sender, members, heartbeats)
        known = self.placements[sender.own.id].shares.limits.report(self.now_s)
        self.watches[receiver.own.id].apply_reported(known, sender.own.id, self.now_s)

    def _build_placement(self, zone: str) -> Placement:
        placement = Placement(random.Random(self.seed), EngineStatusTable(), zone=zone)
        placement.update_upstream(DirectUpstream("u1", SERVICE, "u1:1", "z0", SLOTS, True, 1))
        return placement

    def _arrive(self, callers: SimulatedEntry) -> None:
        self._schedule(self._work.expovariate(self.demand_per_s), callers, self._arrive)
        able = [e for e in self.entries.values() if not e.is_dead]
        entry = self.entries[self.busy_entry] if self.busy_entry else self._work.choice(able)
        if entry.is_dead or self.now_s < entry.paused_until_s:
            return
        placement = self.placements[entry.own.id]
        chosen = placement.choose(PlacementRequirements(SERVICE, entry.own.zone), self.now_s)
        if isinstance(chosen, Refusal):
            self.refused += 1
            return
        sent = placement.begin(chosen.id, 0, self.now_s)
        delay_s = self.connect_s(self._work)
        self._schedule(delay_s, entry, lambda e: self._send(e, chosen, sent))

    def _send(self, entry: SimulatedEntry, upstream: DirectUpstream, sent: SentRequest) -> None:
        if self.now_s < entry.paused_until_s:
            delay_s = entry.paused_until_s - self.now_s
            self._schedule(delay_s, entry, lambda e: self._send(e, upstream, sent))
            return
        placement = self.placements[entry.own.id]
        if not placement.may_send(upstream, self.now_s) or not placement.take_share(
            sent, self.now_s
        ):
            placement.end(sent, self.now_s)
            return
        told_s = self.told_s.get(entry.own.id, float("inf"))
        was_told = self.now_s >= told_s + TOLD_AFTER_S
        self.arrivals.append(Arrival(self.now_s, entry.own.id, was_told, upstream.id))
        is_limited = self.limited_from_s <= self.now_s < self.limited_until_s
        delay_s = self.answer_s(self._work)
        self._schedule(delay_s, entry, lambda e: self._receive_answer(e, sent, is_limited))

    def _receive_answer(self, entry: SimulatedEntry, sent: SentRequest, is_limited: bool) -> None:
        if sent.upstream_id not in self.placements[entry.own.id].own_counts():
            # The entry has restarted since.
            return
        placement = self.placements[entry.own.id]
        placement.end(sent, self.now_s)
        if is_limited:
            self.told_s.setdefault(entry.own.id, self.now_s)
            change = placement.shares.limits.record_named("u1", 1, self.limit_per_s, self.now_s)
        else:
            change = placement.shares.limits.record_absent("u1", 1, sent.sent_s)
        if change is not None:
            self._spread(entry)

    def _push_soon(self, entry: SimulatedEntry) -> None:
        wait_s = max(0.0, self._pushed_s.get(entry.own.id, -1.0) + MIN_PUSH_INTERVAL_S - self.now_s)
        self._pushed_s[entry.own.id] = self.now_s + wait_s
        self._schedule(wait_s, entry, self._push)


def worst_window(times_s: list[float], window_s: float) -> int:
    """Return the most times within any window_s."""
    ordered = sorted(times_s)
    worst, start = 0, 0
    for end, at_s in enumerate(ordered):
        while ordered[start] <= at_s - window_s:
            start += 1
        worst = max(worst, end - start + 1)
    return worst
