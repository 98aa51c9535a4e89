"""Simulate the gossip of a fleet in passed time, without sockets."""

from __future__ import annotations

import heapq
import random

import attrs
from attrs import define, field

from daisystack.core.gossip_peers import choose_push_peers, choose_round_peers
from daisystack.core.membership import Member, MemberRole, Membership

__all__ = ["GossipFleet", "SimulatedEntry"]

ROUND_INTERVAL_S = 0.4
HEARTBEAT_BYTES = 14
# Measured sizes of a member and of the rest of a message.
MEMBER_BYTES = 190
MESSAGE_BYTES = 320


@define(eq=False)
class SimulatedEntry:
    """One entry: what it knows of the others, and the newest revision that it has."""

    own: Member
    membership: Membership
    revision: int = 0
    rounds: int = 0
    sent_bytes: int = 0
    cross_zone_bytes: int = 0
    messages: int = 0
    is_dead: bool = False
    paused_until_s: float = 0.0


@define(eq=False)
class GossipFleet:
    """Entries spread over zones that exchange news; a share of the exchanges is lost."""

    size: int
    zones: int
    seed: int = 1
    loss: float = 0.0
    now_s: float = 0.0
    entries: dict[str, SimulatedEntry] = field(factory=dict)
    # Blocks exchanges between two entries, as a partition does.
    is_cut: object = lambda a, b: False
    _draw: random.Random = field(init=False)
    _events: list = field(factory=list)
    _count: int = 0

    def __attrs_post_init__(self) -> None:
        self._draw = random.Random(self.seed)
        for index in range(self.size):
            self._add(f"e{index}", f"z{index % self.zones}")

    def introduce_all(self) -> None:
        """Let each entry know three seeds, as at the start of a deployment."""
        seeds = [self.entries[f"e{index}"] for index in range(min(3, self.size))]
        for entry in self.entries.values():
            for seed in seeds:
                if seed is not entry:
                    entry.membership.apply_update(seed.own, 0.0, self.now_s)

    def restart(self, entry_id: str) -> None:
        """Start a new incarnation that knows only the seeds."""
        old = self.entries[entry_id]
        own = attrs.evolve(old.own, incarnation=f"{old.own.incarnation}+", beat=0)
        old.is_dead = True
        entry = SimulatedEntry(own, Membership(own.id, own.zone))
        self.entries[entry_id] = entry
        for index in range(min(3, self.size)):
            seed = self.entries[f"e{index}"]
            if seed is not entry and not seed.is_dead:
                entry.membership.apply_update(seed.own, 0.0, self.now_s)
        self._schedule_round(entry)

    def publish(self, entry_id: str, revision: int) -> None:
        """Give a new revision to one entry, which pushes it at once."""
        self._receive_revision(self.entries[entry_id], revision)

    def run(self, duration_s: float) -> None:
        """Pass time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, entry, action = heapq.heappop(self._events)
            if not entry.is_dead:
                action(entry)
        self.now_s = end_s

    def live_ids(self, entry: SimulatedEntry) -> set[str]:
        """Return the entries of its own zone that an entry considers alive."""
        live = entry.membership.live(MemberRole.ENTRY, self.now_s)
        return {m.id for m in live if m.zone == entry.own.zone}

    def _add(self, entry_id: str, zone: str) -> None:
        own = Member(
            entry_id, "i", MemberRole.ENTRY, entry_id, entry_id, entry_id, zone, zone, is_ready=True
        )
        entry = SimulatedEntry(own, Membership(entry_id, zone))
        self.entries[entry_id] = entry
        self._schedule_round(entry)

    def _schedule_round(self, entry: SimulatedEntry) -> None:
        delay_s = ROUND_INTERVAL_S * self._draw.uniform(0.0, 1.0)
        self._schedule(delay_s, entry, self._round)

    def _schedule(self, delay_s: float, entry: SimulatedEntry, action) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._count, entry, action))

    def _round(self, entry: SimulatedEntry) -> None:
        if self.now_s < entry.paused_until_s:
            self._schedule(entry.paused_until_s - self.now_s, entry, self._round)
            return
        entry.rounds += 1
        peers = choose_round_peers(
            entry.own, entry.membership, entry.rounds, self._draw, self.now_s
        )
        self._exchange_with_all(entry, peers)
        self._schedule(ROUND_INTERVAL_S * self._draw.uniform(0.85, 1.15), entry, self._round)

    def _exchange_with_all(self, entry: SimulatedEntry, peers: list[Member]) -> None:
        entry.own = attrs.evolve(entry.own, beat=entry.own.beat + 1)
        for member in peers:
            peer = self.entries.get(member.id)
            is_lost = self._draw.random() < self.loss or self.is_cut(entry.own, member)
            if peer is None or peer.is_dead or self.now_s < peer.paused_until_s or is_lost:
                entry.membership.mark_unreachable(member.id, self.now_s)
            else:
                self._exchange(entry, peer)

    def _exchange(self, entry: SimulatedEntry, peer: SimulatedEntry) -> None:
        request = entry.membership.gossip_scope(peer.own.zone, self.now_s)
        answer = peer.membership.gossip_scope(entry.own.zone, self.now_s)
        known = {heartbeat.digest for _, heartbeat in request}
        missing = [
            (attrs.evolve(member, beat=heartbeat.beat), heartbeat.age_s)
            for member, heartbeat in answer
            if heartbeat.digest not in known and member.id != entry.own.id
        ]
        self._receive(peer, entry, [], [h for _, h in request])
        self._receive(entry, peer, missing, [h for _, h in answer])

    def _receive(self, receiver, sender, members, heartbeats) -> None:
        size_bytes = MESSAGE_BYTES + MEMBER_BYTES * (1 + len(members))
        size_bytes += HEARTBEAT_BYTES * len(heartbeats)
        sender.messages += 1
        sender.sent_bytes += size_bytes
        if sender.own.zone != receiver.own.zone:
            sender.cross_zone_bytes += size_bytes
        membership = receiver.membership
        membership.mark_reachable(sender.own.id)
        for member, age_s in [(sender.own, 0.0), *members]:
            membership.apply_update(member, age_s, self.now_s)
        membership.apply_heartbeats(heartbeats, self.now_s)
        for zone, (count, age_s) in sender.membership.zone_sizes(self.now_s).items():
            membership.apply_zone_size(zone, count, age_s, self.now_s)
        self._receive_revision(receiver, sender.revision)

    def _receive_revision(self, entry: SimulatedEntry, revision: int) -> None:
        if revision > entry.revision:
            entry.revision = revision
            # The change itself is pulled first, which takes a round trip.
            self._schedule(0.02, entry, self._push)

    def _push(self, entry: SimulatedEntry) -> None:
        peers = choose_push_peers(entry.own, entry.membership, self._draw, self.now_s)
        self._exchange_with_all(entry, peers)
