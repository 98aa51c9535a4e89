"""Decide when an instance may take its engine out of service to load weights."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import zip_longest
from typing import TYPE_CHECKING

from attrs import frozen

from daisystack.core.peers import PeerState, PeerStatus

if TYPE_CHECKING:
    from daisystack.core.register import Instance, SiteDocument

__all__ = [
    "LoadingTurn",
    "keeps_min_serving",
    "earlier_in_lane",
    "loading_turn",
    "other_pool_members",
]


@frozen
class LoadingTurn:
    """Whether an instance may load now, and if not, the instance that it waits for."""

    allowed: bool
    waits_for: str | None = None


def earlier_in_lane(document: SiteDocument, instance_id: str) -> list[str]:
    """Return the instances that load before this one in its lane, nearest first.

    A pool where at most k instances may load at once is split into k lanes: rank r loads after
    rank r - k. So the status of one instance decides, and none needs to count the whole pool.
    """
    instance = document.instances[instance_id]
    pool = [i for i in document.upstreams if i.pool == instance.pool]
    ranked = _interleave_zones(pool)
    lane_count = document.pool_rules(instance.pool or "").max_loading
    rank = ranked.index(instance_id)
    return [ranked[earlier] for earlier in range(rank - lane_count, -1, -lane_count)]


def loading_turn(
    earlier: Sequence[str],
    state_of: Callable[[str], PeerState],
    is_done: Callable[[str], bool],
) -> LoadingTurn:
    """Return whether an instance may load, given the earlier ones of its lane, nearest first.

    It may once the first of them that is not suspected is done, or if all are suspected.
    """
    for instance_id in earlier:
        if state_of(instance_id) is PeerState.SUSPECTED:
            continue
        if is_done(instance_id):
            return LoadingTurn(True)
        return LoadingTurn(False, instance_id)
    return LoadingTurn(True)


def other_pool_members(document: SiteDocument, instance_id: str) -> list[str]:
    """Return the other members of an instance's pool, members of its zone first."""
    own = document.instances[instance_id]
    others = [i for i in document.upstreams if i.pool == own.pool and i.id != instance_id]
    return [i.id for i in sorted(others, key=lambda i: (i.zone != own.zone, i.id))]


def keeps_min_serving(others: Sequence[PeerStatus], min_serving: int) -> bool:
    """Return whether enough other members of the pool serve while this instance loads.

    When fewer than min_serving are alive, the minimum can't be kept. Then it is enough that all
    of them serve, that is, that no other one is loading, so that the rollout still completes.
    """
    remaining = [status for status in others if not status.leaving]
    serving = [status for status in remaining if status.gate_open]
    return len(serving) >= min(min_serving, len(remaining))


def _interleave_zones(pool: Sequence[Instance]) -> list[str]:
    by_zone: dict[str, list[str]] = {}
    for instance in sorted(pool, key=lambda i: (i.zone, i.id)):
        by_zone.setdefault(instance.zone, []).append(instance.id)
    rounds = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
    return [instance_id for row in rounds for instance_id in row if instance_id is not None]
