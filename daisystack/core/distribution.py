"""Plan from which peer or origin an agent requests each chunk, without a coordinator."""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import cached_property

from attrs import frozen

from daisystack.core.regions import RegionTrees
from daisystack.core.register import Instance, ModelRef, SiteDocument
from daisystack.core.rendezvous import rank_members

__all__ = ["DistributionPlan", "OriginBudget", "plan_distribution"]


@frozen(slots=False)
class DistributionPlan:
    """Plan by which one instance obtains the chunks of a version from the other holders.

    The n members of a region form a ring. Chunk i enters at member i modulo n and travels in both
    directions, each member pulling from a neighbor. On average each machine sends one copy, and a
    chunk makes at most half as many hops as the ring has members.
    """

    ref: ModelRef
    own_id: str
    region: str
    rings: dict[str, tuple[str, ...]]
    trees: RegionTrees
    max_origin_copies: float
    takeover_s: float

    @cached_property
    def ring(self) -> tuple[str, ...]:
        """Return the members of this instance's region in ring order."""
        return self.rings[self.region]

    @cached_property
    def ring_index(self) -> int:
        """Return the index of this instance in its ring."""
        return self.ring.index(self.own_id)

    @cached_property
    def predecessors(self) -> tuple[str, ...]:
        """Return the other members of the ring, nearest predecessor first."""
        rotated = self.ring[self.ring_index + 1 :] + self.ring[: self.ring_index]
        return tuple(reversed(rotated))

    @cached_property
    def successors(self) -> tuple[str, ...]:
        """Return the other members of the ring, nearest successor first."""
        return tuple(reversed(self.predecessors))

    def arrives_from_predecessor(self, chunk_index: int) -> bool:
        """Return whether a chunk reaches this instance from its predecessors in the ring."""
        size = len(self.ring)
        return (self.ring_index - chunk_index) % size <= size // 2

    def fetchers(self, chunk_index: int, region: str) -> list[str]:
        """Rank the members that may fetch a chunk into a region, the designated one first."""
        ring = self.rings[region]
        first = ring[chunk_index % len(ring)]
        others = [member for member in ring if member != first]
        return [first, *rank_members(f"{self.ref.manifest_digest}/{chunk_index}", others)]

    def source_regions(self, chunk_index: int) -> list[str | None]:
        """Rank the regions to pull a chunk from; None means the origin, which comes last.

        A member of the origin's region pulls from the origin only.
        """
        parent = self.trees.parent(chunk_index, self.region)
        if parent is None:
            return [None]
        others = [r for r in sorted(self.rings) if r not in (parent, self.region)]
        return [parent, *others, None]

    def origin_budget(self, chunk_count: int) -> OriginBudget:
        """Return how many chunks this instance may pull from the origin.

        All budgets together stay within max_origin_copies. Regions other than the origin's share
        one copy of it, and the origin's region gets the rest.
        """
        near_count = len(self.rings[self.trees.origin_region])
        far_count = sum(len(ring) for ring in self.rings.values()) - near_count
        far_copies = min(1.0, self.max_origin_copies - 1.0) if far_count else 0.0
        if self.region == self.trees.origin_region:
            share = (self.max_origin_copies - far_copies) / near_count
        else:
            share = far_copies / far_count
        return OriginBudget(math.floor(share * chunk_count))


@frozen
class OriginBudget:
    """Limit on the chunks that one instance pulls from the origin in a rollout."""

    chunks: int

    def allows(self, pulled: int) -> bool:
        """Return whether one more pull stays within the limit."""
        return pulled < self.chunks


def plan_distribution(document: SiteDocument, ref: ModelRef, own_id: str) -> DistributionPlan:
    """Compute the plan of an instance from the register and the rules alone."""
    members = [i for i in document.upstreams if ref in document.intended_weights(i.id)]
    rings = _rings(document, members)
    region = document.region_of(document.instances[own_id])
    rollout = document.rules.rollout
    origin_region = rollout.origin_region
    if origin_region not in rings:
        origin_region = min(rings)
    trees = RegionTrees.build(origin_region, sorted(rings), document.rules.links.region_pairs)
    return DistributionPlan(
        ref, own_id, region, rings, trees, rollout.max_origin_copies, rollout.takeover_s
    )


def _rings(document: SiteDocument, members: Sequence[Instance]) -> dict[str, tuple[str, ...]]:
    rings: dict[str, list[Instance]] = {}
    for instance in members:
        rings.setdefault(document.region_of(instance), []).append(instance)
    # Sorting by zone keeps members of a zone adjacent, so a ring crosses each zone border once.
    return {
        region: tuple(i.id for i in sorted(ring, key=lambda i: (i.zone, i.id)))
        for region, ring in rings.items()
    }
