"""Load patterns in which upstreams of a simulated fleet become cold."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from daisystack.core.cold_upstreams import ColdBound
from daisystack.testing.cold_fleet import ColdFleet

__all__ = ["PLAYS", "SITES", "ColdSite", "play"]

COLD_S = 4.0
DOWN_S = 2.0
# Entries have heard of each other, and hold parts, by then.
SETTLED_S = 6.0


@frozen
class ColdSite:
    """A fleet and the requests that it gets; about twice as many as its upstreams are made for."""

    entries: int
    zones: int
    upstreams_per_zone: int
    demand_per_s: float


SITES = {
    8: ColdSite(8, 3, 2, 200.0),
    36: ColdSite(36, 3, 3, 300.0),
    99: ColdSite(99, 5, 3, 500.0),
    300: ColdSite(300, 9, 3, 900.0),
}


def one_start(fleet: ColdFleet) -> None:
    """Start one upstream anew."""
    _start_anew(fleet, fleet.ids_of("z0")[:1])
    fleet.run(COLD_S + 1.0)


def zone_returns(fleet: ColdFleet) -> None:
    """Start all upstreams of a zone at once, the cheapest choice of every entry."""
    _start_anew(fleet, fleet.ids_of("z0"))
    fleet.run(COLD_S + 1.0)


def evacuation_ends(fleet: ColdFleet) -> None:
    """Take back an evacuation just after the upstreams of the zone have become cold."""
    fleet.evacuate("z0")
    fleet.run(DOWN_S)
    for upstream_id in fleet.ids_of("z0"):
        fleet.go_cold(upstream_id, COLD_S)
    fleet.run(0.1)
    fleet.take_back("z0")
    fleet.run(COLD_S + 1.0)


def entries_restart(fleet: ColdFleet) -> None:
    """Restart 0.55 of the entries just after a zone has returned; then another zone returns."""
    _start_anew(fleet, fleet.ids_of("z0"))
    fleet.run(0.5)
    ids = sorted(fleet.entries, key=lambda entry_id: _restart_order(fleet, entry_id))
    for entry_id in ids[: round(0.55 * len(ids))]:
        fleet.restart(entry_id)
    fleet.run(1.0)
    _start_anew(fleet, fleet.ids_of("z1"))
    fleet.run(COLD_S + 1.0)


def halves_apart(fleet: ColdFleet) -> None:
    """Let half of the entries of each zone not hear the others for 14 s; two zones return."""
    fleet.is_cut = lambda a, b: _half(fleet, a.id) != _half(fleet, b.id)
    fleet.run(1.0)
    _start_anew(fleet, fleet.ids_of("z0"))
    fleet.run(COLD_S)
    _start_anew(fleet, fleet.ids_of("z1"))
    fleet.run(COLD_S + 1.0)
    fleet.is_cut = lambda a, b: False
    fleet.run(1.0)


def all_restart_in_halves(fleet: ColdFleet) -> None:
    """Restart all entries while half of each zone can't hear the others; then a zone returns."""
    fleet.is_cut = lambda a, b: _half(fleet, a.id) != _half(fleet, b.id)
    for entry_id in list(fleet.entries):
        fleet.restart(entry_id)
    fleet.run(3.5)
    _start_anew(fleet, fleet.ids_of("z0"))
    fleet.run(COLD_S + 1.0)


def all_lose_power(fleet: ColdFleet) -> None:
    """Restart all entries and upstreams at the same moment, as after a loss of power."""
    upstream_ids = [id for zone in range(fleet.zones) for id in fleet.ids_of(f"z{zone}")]
    for upstream_id in upstream_ids:
        fleet.take_down(upstream_id)
    fleet.run(DOWN_S)
    for entry_id in list(fleet.entries):
        fleet.restart(entry_id)
    for upstream_id in upstream_ids:
        fleet.start_cold(upstream_id, COLD_S)
    fleet.run(COLD_S + 1.0)


def entries_freeze(fleet: ColdFleet) -> None:
    """Freeze a tenth of the entries for 4 s; they wake while a returned zone is cold."""
    for entry_id in sorted(fleet.entries)[::10]:
        fleet.entries[entry_id].paused_until_s = fleet.now_s + 4.0
    fleet.run(0.5)
    _start_anew(fleet, fleet.ids_of("z0"))
    fleet.run(COLD_S + 1.0)


def entries_cut_off(fleet: ColdFleet) -> None:
    """Cut a third of the entries off from the store and from the others; then a zone returns."""
    fleet.is_cut = lambda a, b: _is_away(a.id) or _is_away(b.id)
    fleet.is_store_cut = lambda own: _is_away(own.id)
    fleet.run(2.5)
    _start_anew(fleet, fleet.ids_of("z0"))
    fleet.run(COLD_S + 1.0)


def cold_again(fleet: ColdFleet) -> None:
    """Make the upstreams of a zone cold while they are busy; their next records tell."""
    for upstream_id in fleet.ids_of("z0"):
        fleet.go_cold(upstream_id, COLD_S)
    fleet.run(COLD_S + 1.0)


PLAYS: dict[str, Callable[[ColdFleet], None]] = {
    "one start": one_start,
    "a zone returns": zone_returns,
    "an evacuation ends": evacuation_ends,
    "0.55 of the entries restart": entries_restart,
    "halves apart for 14 s": halves_apart,
    "all restart in halves": all_restart_in_halves,
    "all lose power": all_lose_power,
    "a tenth freezes for 4 s": entries_freeze,
    "a third is cut off": entries_cut_off,
    "cold again while busy": cold_again,
}


def play(name: str, site: ColdSite, bound: ColdBound | None, **options: object) -> ColdFleet:
    """Play one pattern and return the fleet after it."""
    fleet = ColdFleet(
        site.entries,
        site.zones,
        upstreams_per_zone=site.upstreams_per_zone,
        demand_per_s=site.demand_per_s,
        loss=0.02,
        bound=bound,
        **options,
    )
    fleet.introduce_all()
    fleet.run(SETTLED_S)
    PLAYS[name](fleet)
    return fleet


def _start_anew(fleet: ColdFleet, upstream_ids: list[str]) -> None:
    for upstream_id in upstream_ids:
        fleet.take_down(upstream_id)
    fleet.run(DOWN_S)
    for upstream_id in upstream_ids:
        fleet.start_cold(upstream_id, COLD_S)


def _half(fleet: ColdFleet, entry_id: str) -> int:
    return int(entry_id[1:]) // fleet.zones % 2


def _is_away(entry_id: str) -> bool:
    return int(entry_id[1:]) % 3 == 0


def _restart_order(fleet: ColdFleet, entry_id: str) -> int:
    # Other entries for each seed, and the same ones in each process.
    return (int(entry_id[1:]) * 7919 + fleet.seed * 104729) % 1009
