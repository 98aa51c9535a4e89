"""Select the few processes that read the config service, and the peers of each process."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from daisystack.core.loading import earlier_in_lane
from daisystack.core.peers import PeerState
from daisystack.core.rendezvous import rank_members

if TYPE_CHECKING:
    from daisystack.core.register import Instance, SiteDocument

__all__ = [
    "BASE_BOUND_S",
    "MAX_LONG_READER_RANK",
    "MAX_READER_RANK",
    "agent_neighbors",
    "entry_neighbors",
    "max_mirror_age_s",
    "mirror_bound_s",
    "reader_ranking",
    "should_read",
    "upstreams_of_entry",
]

READERS_PER_ZONE = 2
READER_CANDIDATES = 3
MAX_UPSTREAMS_PER_ENTRY = 24
MAX_ENTRY_NEIGHBORS = 8
STALE_AFTER_S = 6.0
STALE_RANK_STEP_S = 0.5
MAX_STALE_RANK = 40
# Half of the shortest bound for publications, less one gossip round.
FIRST_READER_MAX_AGE_S = 0.7
# The ages and steps below are for this bound and scale with longer ones, up to MAX_BOUND_SCALE.
BASE_BOUND_S = 2.0
MAX_BOUND_SCALE = 2.0
# A read over a region link takes about 30 ms longer than a nearby one, mostly transfer time.
READ_LATENCY_FACTOR = 15.0
MAX_READ_LATENCY_DELAY_S = 0.6
# One gossip round, so that a later rank reads only if the earlier ones delivered nothing.
READER_RANK_STEP_S = 0.25
MAX_READER_RANK_STEPS = 6
# Entries ranked lower use this rank too, so that every entry reads the store once its mirrors are
# as old as the third reader's may be.
MAX_READER_RANK = 2
# A long document fills the links if all entries of a zone read it at once, so those ranked below
# the third wait longer for a peer's copy.
MAX_LONG_READER_RANK = 4
# A read that is answered late, and the way of the answer to the request that needs it.
READ_DURATION_S = 0.4


def reader_ranking(document: SiteDocument, zone: str) -> list[str]:
    """Rank the processes of an availability zone as readers of the config service."""
    members = [i.id for i in document.register.instances if i.zone == zone]
    return rank_members(f"reader/{zone}", members)


def should_read(
    own_id: str,
    ranking: list[str],
    state_of: Callable[[str], PeerState],
    service_age_s: float,
) -> bool:
    """Return whether this process reads the config service.

    It does if it is among the first READERS_PER_ZONE unsuspected ranks, if it is not ranked, or if
    the service's last answer, to any process, is too old.
    """
    if own_id not in ranking:
        return True
    higher_ranked = ranking[: ranking.index(own_id)]
    unsuspected = [
        member for member in higher_ranked if state_of(member) is not PeerState.SUSPECTED
    ]
    if len(unsuspected) < READERS_PER_ZONE:
        return True
    # If no process reaches the service, others read too, staggered by rank to limit the load on it.
    max_age_s = STALE_AFTER_S + STALE_RANK_STEP_S * min(len(higher_ranked), MAX_STALE_RANK)
    return service_age_s > max_age_s


def mirror_bound_s(publication_bound_s: float, max_key_age_s: float) -> float:
    """Return the bound for mirrors that also keeps each reader's keys within their maximum age."""
    scale_s = FIRST_READER_MAX_AGE_S + READER_RANK_STEP_S * MAX_READER_RANK
    scale = (max_key_age_s - MAX_READ_LATENCY_DELAY_S - READ_DURATION_S) / scale_s
    return max(0.0, min(publication_bound_s, scale * BASE_BOUND_S))


def max_mirror_age_s(
    rank: int, read_latency_s: float, publication_bound_s: float = BASE_BOUND_S
) -> float:
    """Return how old a mirror may become before this process reads the store itself.

    publication_bound_s is the time within which a publication must be in force.

    rank is the rank of this process among the readers of its zone. read_latency_s is how long its
    reads take; a longer latency gives a higher age, so that the zone nearest to the store reads
    for the others.
    """
    scale = min(MAX_BOUND_SCALE, publication_bound_s / BASE_BOUND_S)
    rank_delay_s = READER_RANK_STEP_S * min(rank, MAX_READER_RANK_STEPS)
    latency_delay_s = min(MAX_READ_LATENCY_DELAY_S, READ_LATENCY_FACTOR * read_latency_s)
    return scale * (FIRST_READER_MAX_AGE_S + rank_delay_s) + latency_delay_s


def agent_neighbors(document: SiteDocument, own_id: str) -> list[str]:
    """Return the peers to which an agent sends heartbeats; their number is bounded."""
    instance = document.instances[own_id]
    ids = _reader_candidates(document, instance, own_id)
    ids += earlier_in_lane(document, own_id)[:2]
    return _deduplicate(ids, own_id)


def entry_neighbors(document: SiteDocument, own_id: str) -> list[str]:
    """Return the peers of an entry: readers, some entries, and its subset of the upstreams."""
    instance = document.instances[own_id]
    ids = _reader_candidates(document, instance, own_id)
    entries = [entry.id for entry in document.entries if entry.id != own_id]
    ids += rank_members(f"entries/{own_id}", entries)[:MAX_ENTRY_NEIGHBORS]
    ids += upstreams_of_entry(document, own_id)
    return _deduplicate(ids, own_id)


def upstreams_of_entry(document: SiteDocument, own_id: str) -> list[str]:
    """Return the upstreams to which an entry routes: for every target a subset, nearest first."""
    zone = document.instances[own_id].zone
    region = document.regions_by_zone[zone]
    groups: dict[str, list[str]] = {}
    for instance in document.upstreams:
        targets = [serving.model for serving in instance.serves] or [instance.pool or ""]
        for name in targets:
            groups.setdefault(f"{instance.pool}/{name}", []).append(instance.id)
    ids: list[str] = []
    for name, members in groups.items():
        ranked = rank_members(f"subset/{own_id}/{name}", members)
        ranked.sort(key=lambda id: _distance(document, document.instances[id], zone, region))
        nearest = ranked[: MAX_UPSTREAMS_PER_ENTRY * 2 // 3]
        farther = rank_members(f"subset/{own_id}/{name}", set(ranked) - set(nearest))
        ids += nearest + farther[: MAX_UPSTREAMS_PER_ENTRY - len(nearest)]
    return ids


def _distance(document: SiteDocument, instance: Instance, zone: str, region: str) -> int:
    if instance.zone == zone:
        return 0
    return 1 if document.region_of(instance) == region else 2


def _reader_candidates(document: SiteDocument, instance: Instance, own_id: str) -> list[str]:
    ranking = reader_ranking(document, instance.zone)
    return [member for member in ranking if member != own_id][:READER_CANDIDATES]


def _deduplicate(ids: list[str], own_id: str) -> list[str]:
    return [member for member in dict.fromkeys(ids) if member != own_id]
