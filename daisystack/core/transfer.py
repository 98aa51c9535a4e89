"""Schedule the chunk requests of an agent while it fetches one version."""

from __future__ import annotations

from attrs import define, field, frozen

from daisystack.core.distribution import DistributionPlan
from daisystack.core.manifests import Manifest

__all__ = ["ChunkRequest", "TransferState"]

AVOID_AFTER_FAILURE_S = 3.0
AVOID_AFTER_CORRUPTION_S = 600.0
LATE_FETCHER_S = 30.0


@frozen
class ChunkRequest:
    """Chunks to request from one instance."""

    instance_id: str
    indexes: frozenset[int]


@define
class _SourceSelection:
    """Source region selected for a chunk, and when the chunk was first requested there."""

    source_index: int = 0
    requested_s: float | None = None


@define
class TransferState:
    """State of the transfer of one version to one instance."""

    plan: DistributionPlan
    manifest: Manifest
    started_s: float
    progress_s: float
    missing: set[int]
    reused_bytes: int = 0
    origin_chunks_pulled: int = 0
    _predecessor_chunks: frozenset[int] = field(init=False)
    _pulling: set[int] = field(factory=set)
    _source_selections: dict[int, _SourceSelection] = field(factory=dict)
    _region_progress_s: dict[str, float] = field(factory=dict)
    _avoided_until_s: dict[str, float] = field(factory=dict)
    _queried_neighbors: set[int] = field(factory=set)
    _late_until_s: dict[str, float] = field(factory=dict)
    _ranked_fetchers: dict[int, list[str]] = field(factory=dict)
    _late_checked_s: float = float("-inf")

    def __attrs_post_init__(self) -> None:
        indexes = range(len(self.manifest.chunks))
        self._predecessor_chunks = frozenset(
            i for i in indexes if self.plan.arrives_from_predecessor(i)
        )

    @property
    def is_complete(self) -> bool:
        """Return whether all chunks are held and verified."""
        return not self.missing

    def ring_request(self, from_predecessors: bool, now_s: float) -> ChunkRequest | None:
        """Return the chunks to request from the nearest predecessor or successor in the ring."""
        candidates = self.plan.predecessors if from_predecessors else self.plan.successors
        source = next((m for m in candidates if not self._is_avoided(m, now_s)), None)
        if source is None:
            return None
        wanted = self.missing - self._pulling
        # Without progress one direction of the ring may be broken, so request all from both sides.
        if now_s - self.progress_s < self.plan.takeover_s / 2:
            predecessor_chunks = self._predecessor_chunks
            wanted = (
                wanted & predecessor_chunks if from_predecessors else wanted - predecessor_chunks
            )
        return ChunkRequest(source, frozenset(wanted)) if wanted else None

    def region_request(self, region: str, now_s: float) -> ChunkRequest | None:
        """Return the chunks to request from another region, from the member that fetched them."""
        wanted = [
            i for i in self._designated_chunks(now_s) if self._source_region(i, now_s) == region
        ]
        if not wanted:
            return None
        member = self._sender(wanted[0], region, now_s)
        same_member = [i for i in wanted if self._sender(i, region, now_s) == member]
        return ChunkRequest(member, frozenset(same_member))

    def next_origin_chunk(self, now_s: float) -> int | None:
        """Return a chunk to pull from the store or the origin, within the origin budget."""
        if not self._may_pull_origin():
            return None
        for index in self._designated_chunks(now_s):
            if index not in self._pulling and self._source_region(index, now_s) is None:
                return index
        return None

    def neighbors_to_query(self, index: int, now_s: float) -> list[str]:
        """Return neighbors that may hold a chunk already, so the origin need not send it twice.

        Each chunk is queried once; later calls return no members.
        """
        if index in self._queried_neighbors:
            return []
        self._queried_neighbors.add(index)
        adjacent = [*self.plan.predecessors[-1:], *self.plan.predecessors[:1]]
        return [m for m in dict.fromkeys(adjacent) if not self._is_avoided(m, now_s)]

    def begin_pull(self, index: int) -> None:
        """Record that a pull of a chunk from the origin has started."""
        self._pulling.add(index)

    def end_pull(self, index: int) -> None:
        """Record that a pull from the origin has ended, whether or not it succeeded."""
        self._pulling.discard(index)

    def record_chunk(self, index: int, region: str | None, now_s: float) -> None:
        """Record a verified chunk and the region it came from."""
        self.missing.discard(index)
        self._source_selections.pop(index, None)
        self.progress_s = now_s
        if region is not None:
            self._region_progress_s[region] = now_s

    def avoid(self, member: str, corrupt: bool, now_s: float) -> None:
        """Avoid a member after a failure, for longer when it sent corrupt bytes."""
        pause_s = AVOID_AFTER_CORRUPTION_S if corrupt else AVOID_AFTER_FAILURE_S
        self._avoided_until_s[member] = now_s + pause_s

    def _may_pull_origin(self) -> bool:
        return self.plan.origin_budget(len(self.manifest.chunks)).allows(self.origin_chunks_pulled)

    def _designated_chunks(self, now_s: float) -> list[int]:
        """Return the missing chunks that this instance should now fetch into its region."""
        self._mark_late_fetchers(now_s)
        return [i for i in sorted(self.missing) if self._fetcher(i, now_s) == self.plan.own_id]

    def _fetcher(self, index: int, now_s: float) -> str:
        """Return the highest-ranked fetcher of a chunk that is not late."""
        designated = self.plan.ring[index % len(self.plan.ring)]
        if not self._is_late(designated, now_s):
            return designated
        if index not in self._ranked_fetchers:
            self._ranked_fetchers[index] = self.plan.fetchers(index, self.plan.region)
        ranked = self._ranked_fetchers[index]
        return next((m for m in ranked if not self._is_late(m, now_s)), self.plan.own_id)

    def _mark_late_fetchers(self, now_s: float) -> None:
        """Mark the current fetchers of missing chunks as late after takeover_s without progress.

        They stay late for LATE_FETCHER_S, so that the next in rank fetches all their chunks at once
        instead of waiting again for each.
        """
        if now_s - max(self.progress_s, self._late_checked_s) < self.plan.takeover_s:
            return
        self._late_checked_s = now_s
        awaited = {self._fetcher(index, now_s) for index in self.missing} - {self.plan.own_id}
        for member in awaited:
            self._late_until_s[member] = now_s + LATE_FETCHER_S

    def _is_late(self, member: str, now_s: float) -> bool:
        return self._late_until_s.get(member, 0.0) > now_s

    def _source_region(self, index: int, now_s: float) -> str | None:
        """Return the region to request a chunk from.

        Selects the next one after takeover_s without a chunk from the current region.
        """
        selection = self._source_selections.setdefault(index, _SourceSelection())
        regions = self.plan.source_regions(index)
        region = regions[selection.source_index % len(regions)]
        if selection.requested_s is None:
            selection.requested_s = now_s
        last_progress_s = max(selection.requested_s, self._region_progress_s.get(region or "", 0.0))
        if now_s - last_progress_s > self.plan.takeover_s and len(regions) > 1:
            selection.source_index += 1
            selection.requested_s = now_s
            region = regions[selection.source_index % len(regions)]
        return region

    def _sender(self, index: int, region: str, now_s: float) -> str:
        members = self.plan.fetchers(index, region)
        return next((m for m in members if not self._is_avoided(m, now_s)), members[0])

    def _is_avoided(self, member: str, now_s: float) -> bool:
        return self._avoided_until_s.get(member, 0.0) > now_s
