"""Choose the few processes that read the config service, and whom each process talks to."""

from __future__ import annotations

from collections.abc import Callable

from daisystack.core.loading import earlier_in_lane
from daisystack.core.peers import PeerState
from daisystack.core.register import Instance, SiteDocument
from daisystack.core.rendezvous import rank_members

__all__ = [
    "agent_neighbours",
    "entry_neighbours",
    "reader_patience_s",
    "reader_ranking",
    "should_read",
    "upstreams_of_entry",
]

READERS_PER_ZONE = 2
READER_CANDIDATES = 3
MAX_UPSTREAMS_PER_ENTRY = 24
MAX_ENTRY_NEIGHBOURS = 8
STALE_AFTER_S = 6.0
STALE_STEP_S = 0.5
MAX_STALE_RANK = 40
# Half of the two seconds in which a configuration is to be in force, less a round of news.
FIRST_READER_S = 0.7
# A read over a region link takes some 30 ms longer than one nearby, mostly for its bytes.
FAR_READER_FACTOR = 15.0
MAX_FAR_READER_S = 0.6
# One round of news, so that a later rank reads only when the earlier ones brought nothing.
READER_STEP_S = 0.25
MAX_READER_STEPS = 6


def reader_ranking(document: SiteDocument, zone: str) -> list[str]:
    """Rank the processes of an availability zone as readers of the config service."""
    members = [i.id for i in document.register.instances if i.zone == zone]
    return rank_members(f"reader/{zone}", members)


def should_read(
    me: str,
    ranking: list[str],
    state_of: Callable[[str], PeerState],
    service_age_s: float,
) -> bool:
    """Say whether to read the service: among the first unsuspected ranks, or all others fail."""
    if me not in ranking:
        return True
    better = ranking[: ranking.index(me)]
    trusted = [member for member in better if state_of(member) is not PeerState.SUSPECTED]
    if len(trusted) < READERS_PER_ZONE:
        return True
    # Nobody heard of the service for long: step in, staggered by rank to spare it.
    patience_s = STALE_AFTER_S + STALE_STEP_S * min(len(better), MAX_STALE_RANK)
    return service_age_s > patience_s


def reader_patience_s(rank: int, read_s: float) -> float:
    """Return how old a mirror may grow before this process reads itself.

    rank is the own place among the readers of the zone. read_s is how long the own reads take, so
    that the zone nearest to the store reads for the others.
    """
    steps_s = READER_STEP_S * min(rank, MAX_READER_STEPS)
    return FIRST_READER_S + steps_s + min(MAX_FAR_READER_S, FAR_READER_FACTOR * read_s)


def agent_neighbours(document: SiteDocument, me: str) -> list[str]:
    """Return the peers to which an agent sends heartbeats; their number does not grow."""
    instance = document.instances[me]
    found = _reader_candidates(document, instance, me)
    found += earlier_in_lane(document, me)[:2]
    return _without_repeats(found, me)


def entry_neighbours(document: SiteDocument, me: str) -> list[str]:
    """Return the peers of an entry: readers, some entries, and its share of the upstreams."""
    instance = document.instances[me]
    found = _reader_candidates(document, instance, me)
    entries = [entry.id for entry in document.entries if entry.id != me]
    found += rank_members(f"entries/{me}", entries)[:MAX_ENTRY_NEIGHBOURS]
    found += upstreams_of_entry(document, me)
    return _without_repeats(found, me)


def upstreams_of_entry(document: SiteDocument, me: str) -> list[str]:
    """Return the upstreams an entry routes to: near ones first, some for every target."""
    zone = document.instances[me].zone
    region = document.regions_by_zone[zone]
    groups: dict[str, list[str]] = {}
    for instance in document.upstreams:
        names = [serving.model for serving in instance.serves] or [instance.pool or ""]
        for name in names:
            groups.setdefault(f"{instance.pool}/{name}", []).append(instance.id)
    found: list[str] = []
    for name, members in groups.items():
        ranked = rank_members(f"subset/{me}/{name}", members)
        ranked.sort(key=lambda id: _distance(document, document.instances[id], zone, region))
        near = ranked[: MAX_UPSTREAMS_PER_ENTRY * 2 // 3]
        far = rank_members(f"subset/{me}/{name}", set(ranked) - set(near))
        found += near + far[: MAX_UPSTREAMS_PER_ENTRY - len(near)]
    return found


def _distance(document: SiteDocument, instance: Instance, zone: str, region: str) -> int:
    if instance.zone == zone:
        return 0
    return 1 if document.region_of(instance) == region else 2


def _reader_candidates(document: SiteDocument, instance: Instance, me: str) -> list[str]:
    ranking = reader_ranking(document, instance.zone)
    return [member for member in ranking if member != me][:READER_CANDIDATES]


def _without_repeats(ids: list[str], me: str) -> list[str]:
    return [member for member in dict.fromkeys(ids) if member != me]
