"""Choose the peers of gossip exchanges, a bounded number for any size of the fleet."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

from daisystack.core.membership import Member, MemberRole, Membership

__all__ = [
    "RELAYS_PER_ZONE",
    "RELAY_DUTY",
    "choose_push_peers",
    "choose_ranked_before",
    "choose_round_peers",
]

# Each entry hears from twice as many peers a round, as it is also contacted by others.
IN_ZONE_FANOUT = 2
# Entries of a zone that exchange news with other zones; the second covers for a failed first one.
RELAYS_PER_ZONE = 2
RELAY_DUTY = "relay"
# Entries of a zone that ask the same one, so that the first ones are not asked by the whole zone.
ASKING_FANOUT = 8

_T = TypeVar("_T")


class RandomSource(Protocol):
    """Source of random numbers, passed in by the caller."""

    def sample(self, population: Sequence[_T], k: int) -> list[_T]:
        """Return k different elements."""


def choose_round_peers(
    own: Member, membership: Membership, rounds: int, draw: RandomSource, now_s: float
) -> list[Member]:
    """Return the peers of a regular round; also lost ones, so that partitions heal."""
    entries = membership.members(MemberRole.ENTRY)
    in_zone = [m for m in entries if m.zone == own.zone]
    others = [m for m in entries if m.zone != own.zone]
    if own.role is MemberRole.AGENT:
        # An agent's link is slow, and one entry forwards its news to the others.
        return _sample(draw, in_zone or others, 1)
    chosen = _sample(draw, in_zone, IN_ZONE_FANOUT)
    is_relay = own.id in membership.zone_ranking(RELAY_DUTY, now_s)[:RELAYS_PER_ZONE]
    if is_relay or not in_zone:
        chosen += _choose_in_next_zone(others, rounds, draw)
    return chosen


def choose_push_peers(
    own: Member, membership: Membership, draw: RandomSource, now_s: float
) -> list[Member]:
    """Return the live peers that get a change at once.

    These are some of the zone and its relays. A relay also sends it to one entry of each other
    zone.
    """
    live = membership.live(MemberRole.ENTRY, now_s)
    in_zone = [m for m in live if m.zone == own.zone]
    if own.role is MemberRole.AGENT:
        return _sample(draw, in_zone or live, 1)
    relays = membership.zone_ranking(RELAY_DUTY, now_s)[:RELAYS_PER_ZONE]
    chosen = {m.id: m for m in _sample(draw, in_zone, IN_ZONE_FANOUT)}
    chosen |= {m.id: m for m in in_zone if m.id in relays}
    if own.id in relays:
        by_zone = _group_by_zone([m for m in live if m.zone != own.zone])
        for members in by_zone.values():
            chosen |= {m.id: m for m in _sample(draw, members, 1)}
    return list(chosen.values())


def choose_ranked_before(ranking: Sequence[str], own_id: str) -> list[str]:
    """Return two members of a ranking that are asked by at most 2 * ASKING_FANOUT others each."""
    first = ranking.index(own_id) // ASKING_FANOUT
    return [member for member in ranking[first : first + 2] if member != own_id]


def _choose_in_next_zone(others: list[Member], rounds: int, draw: RandomSource) -> list[Member]:
    """Return a member of the next other zone, so that each gets a turn."""
    by_zone = _group_by_zone(others)
    zones = sorted(by_zone)
    return _sample(draw, by_zone[zones[rounds % len(zones)]], 1) if zones else []


def _group_by_zone(members: list[Member]) -> dict[str, list[Member]]:
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        by_zone.setdefault(member.zone, []).append(member)
    return by_zone


def _sample(draw: RandomSource, items: list[Member], count: int) -> list[Member]:
    return draw.sample(items, min(count, len(items)))
