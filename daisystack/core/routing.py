"""Choose the upstream for a request by its load, its latency and its distance."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from attrs import define, field, frozen

from daisystack.core.peers import PeerState, PeerStatus, PeerTable
from daisystack.core.register import Instance, SiteDocument
from daisystack.core.rendezvous import hash_to_unit_interval
from daisystack.core.upstream_latency import UpstreamLatency

__all__ = [
    "Candidate",
    "RandomSource",
    "InFlightCounts",
    "Target",
    "choose_upstream",
    "serves_target",
    "list_candidates",
]

DEFAULT_CAPACITY = 8
AFFINITY_LOAD_BOUND = 1.25
FULL_LOAD = 1.0


class RandomSource(Protocol):
    """Source of random samples, passed in by the caller."""

    def sample(self, population: Sequence[Candidate], k: int) -> list[Candidate]:
        """Return k distinct members of the population."""


@frozen
class Target:
    """Destination of a request: a model, or a pool of plain services."""

    model: str | None = None
    pool: str | None = None


@frozen
class Candidate:
    """An upstream that can serve a request, and its load (1.0 is full).

    distance is 0 within the zone of the entry, 1 within its region and 2 beyond.
    """

    instance: Instance
    load: float
    distance: int
    status: PeerStatus


@define
class InFlightCounts:
    """Requests in flight at each upstream, of this entry and, by its latest report, of others."""

    _counts: dict[str, int] = field(factory=dict)
    # Requests of other entries: what each upstream last reported, less those of this entry.
    _others_reported: dict[str, int] = field(factory=dict)

    def __getitem__(self, instance_id: str) -> int:
        return self._counts.get(instance_id, 0)

    def begin(self, instance_id: str) -> None:
        """Count a request as sent."""
        self._counts[instance_id] = self[instance_id] + 1

    def end(self, instance_id: str) -> None:
        """Count a request as ended, and drop the count of an upstream that has none left."""
        remaining = self[instance_id] - 1
        if remaining > 0:
            self._counts[instance_id] = remaining
        else:
            self._counts.pop(instance_id, None)

    def record_report(self, instance_id: str, in_flight: int) -> None:
        """Store the load that an upstream reports with a heartbeat or an answer."""
        self._others_reported[instance_id] = max(0, in_flight - self[instance_id])

    def estimate(self, instance_id: str) -> int:
        """Return this entry's requests in flight now plus others' at the upstream's last report."""
        return self[instance_id] + self._others_reported.get(instance_id, 0)


def list_candidates(
    document: SiteDocument,
    members: Sequence[Instance],
    target: Target,
    zone: str,
    peers: PeerTable,
    in_flight: InFlightCounts,
    latency: UpstreamLatency,
    now_s: float,
) -> list[Candidate]:
    """Return the members with an open gate that may serve the target, with load and distance.

    Members are left out if they are suspected, leaving, unknown, excluded by latency or outside
    the zones that the target's model is restricted to.
    """
    allowed = document.zones_by_model.get(target.model) if target.model else None
    candidates = []
    for instance in members:
        if allowed is not None and instance.zone not in allowed:
            continue
        status = peers.status(instance.id)
        if status is None or peers.state(instance.id, now_s) is PeerState.SUSPECTED:
            continue
        if status.leaving or not status.gate_open or latency.is_excluded(instance.id, now_s):
            continue
        load = in_flight.estimate(instance.id) / (status.capacity or DEFAULT_CAPACITY)
        load *= latency.penalty(instance.id)
        candidates.append(Candidate(instance, load, _distance(document, zone, instance), status))
    return candidates


def choose_upstream(
    candidates: Sequence[Candidate], prefix: str | None, draw: RandomSource
) -> Candidate | None:
    """Return the least loaded of two random candidates in the nearest zone or region.

    With a prefix, the candidate with affinity to it comes first. Return None if all are full.
    """
    near = _nearest_with_capacity(candidates)
    if not near:
        return None
    if prefix:
        return _by_affinity(near, prefix)
    # The better of two random choices keeps entries with the same stale report from herding.
    pair = draw.sample(near, min(2, len(near)))
    return min(pair, key=lambda candidate: candidate.load)


def serves_target(instance: Instance, target: Target) -> bool:
    """Return whether an instance is registered for a target."""
    if target.pool is not None:
        return instance.pool == target.pool
    return any(serving.model == target.model for serving in instance.serves)


def _distance(document: SiteDocument, zone: str, instance: Instance) -> int:
    if instance.zone == zone:
        return 0
    same_region = document.regions_by_zone.get(zone) == document.region_of(instance)
    return 1 if same_region else 2


def _nearest_with_capacity(candidates: Sequence[Candidate]) -> list[Candidate]:
    available = [candidate for candidate in candidates if candidate.load < FULL_LOAD]
    nearest = min((candidate.distance for candidate in available), default=0)
    return [candidate for candidate in available if candidate.distance == nearest]


def _by_affinity(near: Sequence[Candidate], prefix: str) -> Candidate:
    mean = sum(candidate.load for candidate in near) / len(near)
    ranked = sorted(
        near, key=lambda c: (hash_to_unit_interval(prefix, c.instance.id), c.instance.id)
    )
    for candidate in ranked:
        if candidate.load <= AFFINITY_LOAD_BOUND * mean or candidate.load == 0:
            return candidate
    return min(near, key=lambda candidate: candidate.load)
