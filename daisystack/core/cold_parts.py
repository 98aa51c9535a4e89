"""Deal the requests that a cold upstream takes in a second out to entries, without messages.

A part belongs to an entry's id, whether it lives or not, so parts stay where they are while entries
restart, freeze or lose sight of each other. The part of a lost entry is left unused for a while.
"""

from __future__ import annotations

from collections.abc import Mapping, Set

from attrs import define, field, frozen

from daisystack.core.dealing import deal, part_at_rank, sharing_zones
from daisystack.core.rendezvous import rank_members

__all__ = ["ColdParts", "EntriesView"]

COLD_DUTY = "cold"
# A new incarnation has heard of nearly all entries of its zone by then, also if all start together;
# the half of the bound that is not dealt out covers the rest.
SETTLE_S = 1.5
# After a pause of this length, peers may no longer know this entry, nor it those that came since.
MAX_PAUSE_S = 20.0
# Entries and zones that were not heard of for this long no longer hold parts. Longer than most
# partitions, since entries that lost sight of each other must not take over each other's parts.
REMEMBER_S = 600.0


@frozen
class EntriesView:
    """What an entry knows of the others now.

    zone_ids are those of its zone, its own included. is_apart is whether it hears from no other
    entry although its settings name other processes.
    """

    own_id: str
    own_zone: str
    zone_ids: frozenset[str]
    entries_by_zone: Mapping[str, int]
    is_apart: bool = False


@frozen
class _PartKey:
    upstream_id: str
    near: int
    far: int


@define
class _ZoneSize:
    entries: int
    counted_s: float


@define
class ColdParts:
    """This entry's parts, from the entries that it knows or knew lately."""

    _own_id: str = ""
    _own_zone: str = ""
    _seen_s: dict[str, float] = field(factory=dict)
    _sizes: dict[str, _ZoneSize] = field(factory=dict)
    _refreshed_s: float = float("-inf")
    _steady_since_s: float = float("inf")
    # Since when it knows the others; infinity if it doesn't yet.
    _settled_s: float = float("inf")
    # Rank of this entry for each upstream, until the entries of its zone change.
    _ranks: dict[str, int] = field(factory=dict)
    # Parts computed since the last refresh: they are asked for at each choice of an upstream.
    _parts: dict[_PartKey, int] = field(factory=dict)

    def refresh(self, view: EntriesView, now_s: float) -> None:
        """Take what this entry knows now of the others."""
        if now_s - self._refreshed_s > MAX_PAUSE_S:
            self._steady_since_s, self._settled_s = now_s, float("inf")
        if not view.is_apart and now_s - self._steady_since_s >= SETTLE_S:
            # A partition that comes later leaves the parts as they are.
            self._settled_s = min(self._settled_s, now_s)
        self._refreshed_s = now_s
        self._parts.clear()
        self._own_id, self._own_zone = view.own_id, view.own_zone
        before = set(self._seen_s)
        self._seen_s |= dict.fromkeys(view.zone_ids | {view.own_id}, now_s)
        self._seen_s = {k: at_s for k, at_s in self._seen_s.items() if now_s - at_s <= REMEMBER_S}
        if before != set(self._seen_s):
            self._ranks.clear()
        self._record_sizes(view.entries_by_zone, now_s)

    def _record_sizes(self, entries_by_zone: Mapping[str, int], now_s: float) -> None:
        """Keep the largest size of each zone, since a partition makes zones look smaller."""
        for zone, entries in entries_by_zone.items():
            known = self._sizes.get(zone)
            if known is None or entries >= known.entries or now_s - known.counted_s > REMEMBER_S:
                self._sizes[zone] = _ZoneSize(entries, now_s)

    def is_settled(self, now_s: float) -> bool:
        """Return whether this entry knows enough of the others to hold parts."""
        return now_s - self._refreshed_s <= MAX_PAUSE_S and now_s >= self._settled_s

    def settles_in_s(self, now_s: float) -> float:
        """Return after how long this entry will hold parts, as far as is known; 0 if it does."""
        if self.is_settled(now_s):
            return 0.0
        left_s = self._steady_since_s + SETTLE_S - now_s
        # An entry that hears from no other does not know when it will.
        return left_s if 0.0 < left_s < SETTLE_S else SETTLE_S

    def part(self, upstream_id: str, zone: str, served_zones: Set[str], near: int, far: int) -> int:
        """Return this entry's part of the requests that an upstream gets in a second.

        near of them are dealt to entries of its zone and of zones without an upstream of its
        service, far of them to all others.
        """
        key = _PartKey(upstream_id, near, far)
        if key not in self._parts:
            sizes = self._zone_sizes()
            near_zones = sharing_zones(upstream_id, zone, served_zones, sizes)
            far_zones = {z: entries for z, entries in sizes.items() if z not in near_zones}
            is_near = self._own_zone in near_zones
            zones, count = (near_zones, near) if is_near else (far_zones, far)
            self._parts[key] = self._deal(upstream_id, zones, count)
        return self._parts[key]

    def _zone_sizes(self) -> dict[str, int]:
        sizes = {zone: size.entries for zone, size in self._sizes.items()}
        return sizes | {self._own_zone: len(self._seen_s)}

    def _deal(self, upstream_id: str, zones: Mapping[str, int], count: int) -> int:
        if count == 0:
            return 0
        in_zone = deal(count, zones, rank_members(upstream_id, zones))[self._own_zone]
        return part_at_rank(in_zone, self._rank(upstream_id), len(self._seen_s))

    def _rank(self, upstream_id: str) -> int:
        if upstream_id not in self._ranks:
            ranked = rank_members(f"{COLD_DUTY}/{upstream_id}", self._seen_s)
            self._ranks[upstream_id] = ranked.index(self._own_id)
        return self._ranks[upstream_id]
