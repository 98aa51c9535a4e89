"""Deal a bound over all entries out as whole requests, and keep each part in a sliding window."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set

from attrs import frozen

from daisystack.core.rendezvous import rank_members

__all__ = ["SlidingQuota", "deal", "part_at_rank", "sharing_zones"]


def sharing_zones(
    upstream_id: str, zone: str, served_zones: Set[str], entries_by_zone: Mapping[str, int]
) -> dict[str, int]:
    """Return the zones whose entries share a bound on an upstream, with their sizes.

    These are the upstream's own and those that have no upstream of its service; one of the others
    if they have no entries.
    """
    present = {name: entries for name, entries in entries_by_zone.items() if entries > 0}
    sharing = {
        name: entries
        for name, entries in present.items()
        if name == zone or name not in served_zones
    }
    return sharing or {name: present[name] for name in rank_members(upstream_id, present)[:1]}


def deal(count: int, weights: Mapping[str, int], order: list[str]) -> dict[str, int]:
    """Deal out count items in proportion to weights; the first in order get what remains."""
    total = sum(weights.values())
    dealt = {name: count * weight // total for name, weight in weights.items()}
    remainders = {name: count * weights[name] % total for name in order}
    left = count - sum(dealt.values())
    for name in sorted(order, key=lambda name: -remainders[name])[:left]:
        dealt[name] += 1
    return dealt


def part_at_rank(count: int, rank: int, places: int) -> int:
    """Return how many of count items the place of a rank gets when they are dealt in turn."""
    return max(0, -((rank - count) // places)) if rank < count else 0


@frozen
class SlidingQuota:
    """At most count requests in any window_s."""

    count: int
    window_s: float

    def free_at_s(
        self, sent_s: Iterable[float], reserved: int, reserved_for_s: float, now_s: float
    ) -> float:
        """Return when one more request fits; reserved ones are sent within reserved_for_s."""
        recent = [at_s for at_s in sent_s if at_s > now_s - self.window_s]
        excess = len(recent) + reserved + 1 - self.count
        if excess <= 0:
            return now_s
        # A reserved request may be sent at any time from now on.
        is_sent = excess <= len(recent)
        return recent[excess - 1] + self.window_s if is_sent else now_s + reserved_for_s
