"""Distribute the chunks of a version over the links between regions."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import field, frozen

from daisystack.core.register import RegionPair

__all__ = ["RegionTrees"]

GOLDEN_RATIO = 0.6180339887498949


@frozen
class RegionTrees:
    """Select for each chunk a distribution tree over regions, rooted at the origin's region.

    There is one tree per far region f: the origin's region sends to f, and f sends to every other
    far region. Chunks are assigned to trees in proportion to the rate of each tree's slowest link,
    so all trees finish together; with n equal regions each link carries 1/(n-1) of a copy.
    """

    origin_region: str
    far_regions: tuple[str, ...]
    shares: tuple[float, ...] = field()

    @classmethod
    def build(
        cls, origin_region: str, regions: Sequence[str], pairs: Sequence[RegionPair]
    ) -> RegionTrees:
        """Build one tree per far region, with shares in proportion to the slowest link of each."""
        far_regions = tuple(sorted(set(regions) - {origin_region}))
        rates = {frozenset((pair.a, pair.b)): pair.bytes_per_s for pair in pairs}
        slowest_rates = [
            min(
                rates.get(frozenset((hub, other)), 1.0)
                for other in (origin_region, *far_regions)
                if other != hub
            )
            for hub in far_regions
        ]
        total = sum(slowest_rates)
        if not total:
            return cls(
                origin_region, far_regions, tuple(1.0 / len(far_regions) for _ in far_regions)
            )
        return cls(origin_region, far_regions, tuple(rate / total for rate in slowest_rates))

    def hub(self, chunk_index: int) -> str:
        """Return the far region that receives a chunk from the origin's region."""
        # Multiples of the golden ratio modulo 1 spread evenly, so each tree is used from the start.
        position = (chunk_index * GOLDEN_RATIO) % 1.0
        for region, share in zip(self.far_regions, self.shares, strict=True):
            if position < share:
                return region
            position -= share
        return self.far_regions[-1]

    def parent(self, chunk_index: int, region: str) -> str | None:
        """Return the region that sends a chunk to a region; None means the origin itself."""
        if region == self.origin_region:
            return None
        hub = self.hub(chunk_index)
        return self.origin_region if region == hub else hub
