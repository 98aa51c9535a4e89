"""Gossip with a bounded number of other processes, without a list of them in advance."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import attrs
import eventlet
from attrs import define, field

from daisystack.core.crash_hold import EntryCrashCount
from daisystack.core.crash_suspects import PartEvidence
from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.gossip_peers import (
    choose_push_peers,
    choose_ranked_before,
    choose_round_peers,
)
from daisystack.core.membership import Heartbeat, Member, MemberRole, Membership
from daisystack.core.mirror import Mirror
from daisystack.core.rate_limits import LimitNews
from daisystack.core.targets import LONG_AGO_S, Targets, WeightTarget
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import CopySlow, PeerHeard, PeerSilent, TargetTold
from daisystack.runtime.logs import log_event
from daisystack.runtime.peer_link import PeerError, PeerLink, mesh_link
from daisystack.runtime.tasks import run_logged, run_steps
from daisystack.wire import mesh
from daisystack.wire.gen import ttypes

__all__ = ["MeshTask"]

# Three rounds fit into the time after which an unresponsive process is suspected.
ROUND_INTERVAL_S = 0.4
# A burst of changes, as when all engines load a version, is passed on in batches.
MIN_PUSH_INTERVAL_S = 0.1
# A peer that does not answer within this time is tried again in a later round.
PEER_TIMEOUT_S = 0.7
# A second peer is asked for a copy that the first one has not sent within this time.
PULL_PATIENCE_S = 0.5
SLOW_COPY_S = 0.5
# A longer gap between two checks means that this process was paused, not that its peers were
# unresponsive.
MIN_PAUSE_S = 1.2
# A seed's zone is not known before it answers.
UNKNOWN_ZONE = ""
MS_PER_S = 1000

_logger = logging.getLogger("daisystack.mesh")


@define(eq=False)
class MeshTask:
    """Manage the links to other processes, their known state, and the exchange of news.

    News is the gossip message: heartbeats of the members that a process knows, the members that
    its peer lacks, the state of its mirrors and targets, and its counts of requests and crashes.
    Each process exchanges news with a few peers of its zone, and two relays a zone with other
    zones, so that neither the messages nor their size grow with the number of zones.
    """

    own: Member
    seeds: tuple[str, ...]
    mirrors: tuple[Mirror, ...]
    on_changes: Callable[[Mirror, list], None]
    own_in_flight: Callable[[], dict[str, int]] = dict
    known_crash_counts: Callable[[float], tuple[EntryCrashCount, ...]] = lambda at_s: ()
    on_in_flight: Callable[[str, str, dict[str, int], float], None] = (
        lambda instance_id, zone, counts, at_s: None
    )
    on_crash_counts: Callable[[tuple[EntryCrashCount, ...], float], None] = (
        lambda counts, at_s: None
    )
    known_parts: Callable[[float], tuple[PartEvidence, ...]] = lambda at_s: ()
    on_parts: Callable[[tuple[PartEvidence, ...], float], None] = lambda parts, at_s: None
    known_limits: Callable[[float], tuple[LimitNews, ...]] = lambda at_s: ()
    on_limits: Callable[[tuple[LimitNews, ...], str, float], None] = (
        lambda limits, sender_id, at_s: None
    )
    # Called in each round with the present time.
    on_round: Callable[[float], None] = lambda at_s: None
    engines: EngineStatusTable = field(factory=EngineStatusTable)
    targets: Targets = field(factory=Targets)
    open_link: Callable[[str, float], PeerLink] = mesh_link
    on_target: list[Callable[[WeightTarget], None]] = field(factory=list)
    membership: Membership = field(init=False)
    exchanges: int = 0
    _links: dict[str, PeerLink] = field(factory=dict)
    _exchanging: set[str] = field(factory=set)
    _reachable: dict[str, bool] = field(factory=dict)
    _pause_checked_s: float = field(factory=now_s)
    _rounds: int = 0
    _pushed_s: float = float("-inf")
    _is_push_due: bool = False
    _heard_confirmed_s: dict[str, float] = field(factory=dict)
    # When the latest pull of each mirror from a peer began, by prefix, while it runs.
    _pull_started_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.membership = Membership(self.own.id, self.own.zone)

    def start(self) -> None:
        """Start the gossip rounds."""
        eventlet.spawn(run_steps, "mesh", self._round)

    def set_own_state(self, is_ready: bool, is_leaving: bool) -> None:
        """Set whether this process accepts work or is leaving; send news if that changes."""
        changed = (self.own.is_ready, self.own.is_leaving) != (is_ready, is_leaving)
        self.own = attrs.evolve(self.own, is_ready=is_ready, is_leaving=is_leaving)
        if changed:
            self.exchange_news()

    def exchange_news(self) -> None:
        """Exchange news with some peers now, or as soon as MIN_PUSH_INTERVAL_S has passed."""
        wait_s = self._pushed_s + MIN_PUSH_INTERVAL_S - now_s()
        if wait_s <= 0:
            self._push()
        elif not self._is_push_due:
            self._is_push_due = True
            eventlet.spawn_after(wait_s, self._push)

    def ask_ranked_before(self, duty: str) -> None:
        """Exchange news with two entries of the zone that are ranked before this one for a duty."""
        at_s = now_s()
        asked = choose_ranked_before(self.membership.zone_ranking(duty, at_s), self.own.id)
        live = self.membership.live(MemberRole.ENTRY, at_s)
        self._exchange_with_all({m.peer_address: m.zone for m in live if m.id in asked})

    def heard_age_s(self, mirror: Mirror, at_s: float) -> float:
        """Return how long ago the store confirmed a mirror of any peer, as far as was heard."""
        return at_s - self._heard_confirmed_s.get(mirror.prefix, float("-inf"))

    def live_entries(self, at_s: float) -> list[Member]:
        """Return the other entries that are neither suspected nor unreachable."""
        self._compensate_pause(at_s)
        return self.membership.live(MemberRole.ENTRY, at_s)

    def rank_in_zone(self, duty: str, at_s: float) -> int:
        """Return this process's rank among the live entries of its zone for a duty."""
        return self.membership.zone_ranking(duty, at_s).index(self.own.id)

    def build_news(self, at_s: float, peer_zone: str) -> ttypes.MeshNews:
        """Return the news that this process sends to a peer of a zone."""
        scope = self.membership.gossip_scope(peer_zone, at_s)
        return self._build_news(at_s, [heartbeat for _, heartbeat in scope])

    def build_answer(self, request: ttypes.MeshNews, at_s: float) -> ttypes.MeshNews:
        """Return the news that answers a peer's, with the members that the peer lacks."""
        peer = request.sender
        scope = self.membership.gossip_scope(peer.zone, at_s)
        answer = self._build_news(at_s, [heartbeat for _, heartbeat in scope])
        known = {h.digest for h in mesh.heartbeats_from_wire(request.heartbeats or b"")}
        answer.members = [
            mesh.member_to_wire(attrs.evolve(member, beat=heartbeat.beat), heartbeat.age_s)
            for member, heartbeat in scope
            if heartbeat.digest not in known and member.id != peer.id
        ]
        if peer.role == MemberRole.AGENT.value:
            # Agents order the loads of their zone's engines among themselves.
            statuses = self.engines.recent_direct(at_s)
            answer.engines = [mesh.engine_to_wire(status, at_s) for status in statuses]
            answer.rate_limits = []
        return answer

    def _build_news(self, at_s: float, heartbeats: list[Heartbeat]) -> ttypes.MeshNews:
        counts = [ttypes.InFlight(k, n) for k, n in self.own_in_flight().items()]
        crashes = [mesh.crash_count_to_wire(known) for known in self.known_crash_counts(at_s)]
        states = [
            ttypes.MirrorState(
                m.prefix,
                m.complete_revision,
                _optional_age_to_ms(m.age_s(at_s)),
                m.era,
                m.newest_revision,
            )
            for m in self.mirrors
        ]
        # An agent's own engine, in case its datagrams are lost.
        own_engines = self.engines.recent(at_s) if self.own.role is MemberRole.AGENT else []
        targets = [
            ttypes.TargetNews(target.model, target.version, _optional_age_to_ms(at_s - learned_s))
            for target, learned_s in self.targets.known_versions()
        ]
        return ttypes.MeshNews(
            sender=mesh.member_to_wire(self.own, 0.0),
            members=[],
            mirrors=states,
            in_flight=counts,
            engines=[
                mesh.engine_to_wire(status, at_s)
                for status in own_engines
                if status.address == self.own.caller_address
            ],
            crash_counts=crashes,
            targets=targets,
            heartbeats=mesh.heartbeats_to_wire(heartbeats),
            zones=self._build_zone_sizes(at_s),
            parts=[mesh.part_to_wire(evidence) for evidence in self.known_parts(at_s)],
            rate_limits=[mesh.limit_to_wire(news) for news in self.known_limits(at_s)],
        )

    def _build_zone_sizes(self, at_s: float) -> list[ttypes.ZoneSize]:
        if self.own.role is MemberRole.AGENT:
            return []
        sizes = self.membership.zone_sizes(at_s)
        return [
            ttypes.ZoneSize(zone, entries, mesh.age_to_ms(age_s))
            for zone, (entries, age_s) in sizes.items()
        ]

    def apply_news(self, news: ttypes.MeshNews, requested_s: float | None) -> None:
        """Apply a peer's news; requested_s is when it was requested, None if it was not.

        News that was not requested may have been in transit for any time, so its ages confirm
        nothing about the mirrors.
        """
        at_s = now_s()
        try:
            updates = [mesh.member_from_wire(wire) for wire in (news.sender, *news.members)]
            # Absent in the news of an earlier release.
            heartbeats = mesh.heartbeats_from_wire(news.heartbeats or b"")
            parts = tuple(mesh.part_from_wire(wire) for wire in news.parts or ())
            limits = tuple(mesh.limit_from_wire(wire) for wire in news.rate_limits or ())
        except ValueError as error:
            log_event(_logger, PeerSilent(news.sender.peer_address, f"can't decode news: {error}"))
            return
        for member, age_s in updates:
            self.membership.apply_update(member, age_s, at_s)
        self.membership.apply_heartbeats(heartbeats, at_s)
        # A connection in either direction shows that both are open.
        self.membership.mark_reachable(news.sender.id)
        for size in news.zones or ():
            self.membership.apply_zone_size(size.zone, size.entries, size.age_ms / MS_PER_S, at_s)
        sender = news.sender
        is_agent = sender.role == MemberRole.AGENT.value
        for wire in news.engines:
            self.engines.update(mesh.engine_from_wire(wire, at_s), is_direct=is_agent)
        if sender.role == MemberRole.ENTRY.value:
            counts = {c.upstream_id: c.requests for c in news.in_flight}
            self.on_in_flight(sender.id, sender.zone, counts, at_s)
        if news.crash_counts:
            counts = (mesh.crash_count_from_wire(wire, sender.id) for wire in news.crash_counts)
            self.on_crash_counts(tuple(counts), at_s)
        if parts:
            self.on_parts(parts, at_s)
        if limits:
            self.on_limits(limits, sender.id, at_s)
        for reported in news.targets:
            learned_s = LONG_AGO_S if reported.age_ms < 0 else at_s - reported.age_ms / MS_PER_S
            target = WeightTarget(reported.model, reported.version)
            if self.targets.learn(target, learned_s):
                log_event(_logger, TargetTold(target.model, target.version, sender.id))
                for listener in self.on_target:
                    listener(target)
        self._compare_mirrors(news, requested_s)

    def _compare_mirrors(self, news: ttypes.MeshNews, requested_s: float | None) -> None:
        by_prefix = {mirror.prefix: mirror for mirror in self.mirrors}
        for state in news.mirrors:
            mirror = by_prefix.get(state.prefix)
            if mirror is None:
                continue
            # Absent in the news of an earlier release.
            newest_revision = state.newest_revision or 0
            if mirror.is_behind(state.era, state.complete_revision, newest_revision):
                self._start_pull(mirror, news.sender.peer_address)
            if requested_s is not None and state.age_ms >= 0:
                age_s = state.age_ms / MS_PER_S
                heard_s = self._heard_confirmed_s.get(state.prefix, float("-inf"))
                self._heard_confirmed_s[state.prefix] = max(heard_s, requested_s - age_s)
                mirror.apply_confirmation(state.complete_revision, age_s, requested_s, state.era)

    def _start_pull(self, mirror: Mirror, address: str) -> None:
        """Pull a peer's newer copy, unless another pull may still bring it."""
        at_s = now_s()
        if at_s - self._pull_started_s.get(mirror.prefix, float("-inf")) >= PULL_PATIENCE_S:
            self._pull_started_s[mirror.prefix] = at_s
            eventlet.spawn(self._pull, mirror, at_s, address)

    def _pull(self, mirror: Mirror, started_s: float, address: str) -> None:
        link = self.open_link(address, PEER_TIMEOUT_S)
        requested_s = now_s()
        try:
            wire = link.call(
                "mirror",
                mirror.prefix,
                mirror.complete_revision,
                mirror.era,
                mirror.revisions_ahead(),
                True,
            )
            delta = mesh.delta_from_wire(wire)
        except (PeerError, ValueError) as error:
            log_event(_logger, PeerSilent(address, str(error)))
            return
        finally:
            link.close()
            if self._pull_started_s.get(mirror.prefix) == started_s:
                del self._pull_started_s[mirror.prefix]
        if now_s() - requested_s > SLOW_COPY_S:
            log_event(_logger, CopySlow(mirror.prefix, address, now_s() - requested_s))
        changes = mirror.apply_delta(delta, requested_s)
        if changes:
            self.on_changes(mirror, changes)
            self.exchange_news()

    def _round(self) -> None:
        self._compensate_pause(now_s())
        self._rounds += 1
        at_s = now_s()
        self.on_round(at_s)
        peers = choose_round_peers(self.own, self.membership, self._rounds, random, at_s)
        self._exchange_with_all(self._add_seed({m.peer_address: m.zone for m in peers}))
        eventlet.sleep(ROUND_INTERVAL_S * random.uniform(0.85, 1.15))

    def _push(self) -> None:
        self._is_push_due = False
        at_s = now_s()
        self._pushed_s = at_s
        self._compensate_pause(at_s)
        peers = choose_push_peers(self.own, self.membership, random, at_s)
        self._exchange_with_all({m.peer_address: m.zone for m in peers})

    def _exchange_with_all(self, peers: dict[str, str]) -> None:
        self.own = attrs.evolve(self.own, beat=self.own.beat + 1)
        for address, zone in peers.items():
            if address not in self._exchanging:
                self._exchanging.add(address)
                eventlet.spawn(self._exchange_with, address, zone)

    def _add_seed(self, peers: dict[str, str]) -> dict[str, str]:
        known_addresses = {m.peer_address for m in self.membership.members(MemberRole.ENTRY)}
        known_addresses.add(self.own.peer_address)
        # After a partition, a seed that is not a known entry may be the only path to the others.
        unknown_seeds = [seed for seed in self.seeds if seed not in known_addresses]
        if not unknown_seeds:
            return peers
        return peers | {random.choice(unknown_seeds): UNKNOWN_ZONE}

    def _exchange_with(self, address: str, zone: str) -> None:
        link = self._links.setdefault(address, self.open_link(address, PEER_TIMEOUT_S))
        requested_s = now_s()
        self.exchanges += 1
        try:
            answer = link.call("gossip", self.build_news(requested_s, zone))
        except PeerError as error:
            self._record_failure(address, str(error))
        else:
            self._record_answer(address, now_s() - requested_s)
            run_logged("news", self.apply_news, answer, requested_s)
        finally:
            self._exchanging.discard(address)

    def _record_failure(self, address: str, error: str) -> None:
        self._links.pop(address, None)
        for member in self.membership.members(MemberRole.ENTRY):
            if member.peer_address == address:
                self.membership.mark_unreachable(member.id, now_s())
        if self._reachable.get(address, True):
            log_event(_logger, PeerSilent(address, error))
        self._reachable[address] = False

    def _record_answer(self, address: str, took_s: float) -> None:
        if not self._reachable.get(address, False):
            log_event(_logger, PeerHeard(address, took_s))
        self._reachable[address] = True

    def _compensate_pause(self, at_s: float) -> None:
        gap_s = at_s - self._pause_checked_s
        self._pause_checked_s = at_s
        if gap_s > MIN_PAUSE_S:
            self.membership.shift_times(gap_s)


def _optional_age_to_ms(age_s: float) -> int:
    return -1 if age_s == float("inf") else mesh.age_to_ms(age_s)
