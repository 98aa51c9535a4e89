"""Simulate a fleet whose upstreams become cold, in passed time."""

from __future__ import annotations

import random

import attrs
from attrs import define, field

from daisystack.core.cold_upstreams import ColdBound, ColdUpstreams
from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.placement import DirectUpstream, Placement
from daisystack.core.traffic import Service
from daisystack.runtime.cold_watch import ColdWatch
from daisystack.testing.gossip import SimulatedEntry
from daisystack.testing.limit_fleet import SERVICE, LimitFleet, worst_window

__all__ = ["ColdFleet"]

PUBLISH_INTERVAL_S = 1.2
READ_INTERVAL_S = 0.7
SLOTS = 12


@define
class _ColdTime:
    upstream_id: str
    from_s: float
    to_s: float


@define(eq=False)
class ColdFleet(LimitFleet):
    """Entries with upstreams in each zone that publish to a store which all entries read.

    An upstream tells by its next record that it has become cold.
    """

    upstreams_per_zone: int = 2
    limit_per_s: float = 17.0
    bound: ColdBound | None = ColdBound(1.5, 5.0)
    max_record_age_s: float = 3.0
    limited_from_s: float = float("inf")
    answer_s: object = lambda draw: draw.uniform(0.3, 0.9)
    # Entries that don't reach the store.
    is_store_cut: object = lambda own: False
    cold_watches: dict[str, ColdWatch] = field(factory=dict)
    cold_times: list[_ColdTime] = field(factory=list)
    evacuated: set[str] = field(factory=set)
    _published: dict[str, DirectUpstream] = field(factory=dict)
    _down: dict[str, DirectUpstream] = field(factory=dict)
    _confirmed_s: dict[str, float] = field(factory=dict)
    _store_draw: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._store_draw = random.Random(self.seed + 2000)
        super().__attrs_post_init__()
        for zone in range(self.zones):
            for index in range(self.upstreams_per_zone):
                self._add_upstream(f"u{zone}-{index}", f"z{zone}")

    def ids_of(self, zone: str) -> list[str]:
        """Return the upstreams of a zone, running or not."""
        known = [*self._published.values(), *self._down.values()]
        return [u.id for u in known if u.zone == zone]

    def go_cold(self, upstream_id: str, for_s: float) -> None:
        """Make an upstream cold from now on; its next record tells."""
        self.cold_times.append(_ColdTime(upstream_id, self.now_s, self.now_s + for_s))

    def take_down(self, upstream_id: str) -> None:
        """End an upstream and remove its record."""
        self._down[upstream_id] = self._published.pop(upstream_id)

    def start_cold(self, upstream_id: str, for_s: float) -> None:
        """Start a new life of an upstream, which is cold and whose record says so at once."""
        record = self._down.pop(upstream_id)
        self._published[upstream_id] = attrs.evolve(record, started_ms=record.started_ms + 1)
        self.go_cold(upstream_id, for_s)
        self._write(upstream_id)

    def evacuate(self, zone: str) -> None:
        """Ask that nothing be sent to the upstreams of a zone."""
        self.evacuated.add(zone)
        self._tell_of_zone(zone)

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.evacuated.discard(zone)
        self._tell_of_zone(zone)

    def worst_cold(self) -> int:
        """Return the most requests that a cold upstream got in a second."""
        return max(
            (
                worst_window(self._times_s(cold, cold.from_s, cold.to_s), 1.0)
                for cold in self.cold_times
            ),
            default=0,
        )

    def worst_after(self, after_s: float) -> int:
        """Return the most requests that an upstream got in a second, soon after it was cold."""
        return max(
            worst_window(self._times_s(cold, cold.to_s, cold.to_s + after_s), 1.0)
            for cold in self.cold_times
        )

    def used_share(self) -> float:
        """Return the share of the published limit that cold upstreams got."""
        got = sum(len(self._times_s(cold, cold.from_s, cold.to_s)) for cold in self.cold_times)
        return got / sum((c.to_s - c.from_s) * self.limit_per_s for c in self.cold_times)

    @property
    def allowed(self) -> float:
        """Return how many requests a cold upstream may get in a second."""
        return 1.5 * self.limit_per_s + 5.0

    def _times_s(self, cold: _ColdTime, from_s: float, to_s: float) -> list[float]:
        return [
            a.at_s
            for a in self.arrivals
            if a.upstream_id == cold.upstream_id and from_s <= a.at_s < to_s
        ]

    def _add_upstream(self, upstream_id: str, zone: str) -> None:
        self._published[upstream_id] = DirectUpstream(
            upstream_id, SERVICE, f"{upstream_id}:1", zone, SLOTS, True, 1
        )
        delay_s = self._store_draw.uniform(0.0, PUBLISH_INTERVAL_S)
        self._schedule(delay_s, self._callers, lambda e: self._publish(upstream_id))

    def _publish(self, upstream_id: str) -> None:
        if upstream_id in self._published:
            self._write(upstream_id)
        self._schedule(PUBLISH_INTERVAL_S, self._callers, lambda e: self._publish(upstream_id))

    def _write(self, upstream_id: str) -> None:
        left_s = max(
            (c.to_s - self.now_s for c in self.cold_times if c.upstream_id == upstream_id),
            default=0.0,
        )
        record = self._published[upstream_id]
        self._published[upstream_id] = attrs.evolve(record, cold_left_s=max(0.0, left_s))

    def _start(self, entry: SimulatedEntry) -> None:
        super()._start(entry)
        self.cold_watches[entry.own.id] = ColdWatch(self.placements[entry.own.id])
        self._confirmed_s.pop(entry.own.id, None)
        self._schedule(self._store_draw.uniform(0.0, 0.3), entry, self._read)

    def _build_placement(self, zone: str) -> Placement:
        cold = ColdUpstreams(self.bound, self.max_record_age_s)
        cold.update_services({SERVICE: Service(SERVICE, 100, cold_limit_per_s=self.limit_per_s)})
        return Placement(random.Random(self.seed), EngineStatusTable(), zone=zone, cold=cold)

    def _refresh(self, entry: SimulatedEntry) -> None:
        super()._refresh(entry)
        watch = self.cold_watches[entry.own.id]
        watch.refresh(entry.own, entry.membership, True, self.now_s)

    def _read(self, entry: SimulatedEntry) -> None:
        """Read the store, or hear of it from others, as often as entries do."""
        if self.now_s < entry.paused_until_s:
            self._schedule(entry.paused_until_s - self.now_s, entry, self._read)
            return
        draw = self._store_draw
        self._schedule(READ_INTERVAL_S * draw.uniform(0.85, 1.15), entry, self._read)
        if not self.is_store_cut(entry.own):
            records, asked_s = dict(self._published), self.now_s
            delay_s = draw.uniform(0.05, 0.6)
            self._schedule(delay_s, entry, lambda e: self._apply(e, records, asked_s))

    def _apply(
        self, entry: SimulatedEntry, records: dict[str, DirectUpstream], asked_s: float
    ) -> None:
        if self.now_s < entry.paused_until_s:
            delay_s = entry.paused_until_s - self.now_s
            self._schedule(delay_s, entry, lambda e: self._apply(e, records, asked_s))
            return
        placement, own_id = self.placements[entry.own.id], entry.own.id
        self._confirmed_s[own_id] = max(asked_s, self._confirmed_s.get(own_id, asked_s))
        placement.cold.record_age_s = lambda now_s: now_s - self._confirmed_s[own_id]
        for gone in [u.id for u in placement.upstreams() if u.id not in records]:
            placement.remove_upstream(gone)
        for record in records.values():
            known = placement.get(record.id)
            if known is None or attrs.evolve(known, is_ready=True) != record:
                self._update(placement, record)

    def _update(self, placement: Placement, record: DirectUpstream) -> None:
        is_ready = record.zone not in self.evacuated
        placement.update_upstream(attrs.evolve(record, is_ready=is_ready), self.now_s)

    def _tell_of_zone(self, zone: str) -> None:
        """Let all entries hear of a change of evacuations by their watch, or by others."""
        for entry in list(self.entries.values()):
            delay_s = self._store_draw.uniform(0.02, 0.3)
            self._schedule(delay_s, entry, lambda e: self._hear_of_zone(e, zone))

    def _hear_of_zone(self, entry: SimulatedEntry, zone: str) -> None:
        placement = self.placements[entry.own.id]
        for upstream in [u for u in placement.upstreams() if u.zone == zone]:
            placement.view.upstreams[upstream.id] = attrs.evolve(
                upstream, is_ready=zone not in self.evacuated
            )
        if zone not in self.evacuated:
            placement.cold.record_return(zone, self.now_s)
