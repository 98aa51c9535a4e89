"""Gossip with a bounded number of other processes, without a list of them in advance."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import attrs
import eventlet
from attrs import define, field

from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.membership import Member, MemberRole, Membership
from daisystack.core.mirror import Mirror
from daisystack.core.targets import LONG_AGO_S, Targets, WeightTarget
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import PeerHeard, PeerSilent, TargetTold
from daisystack.runtime.logs import log_event
from daisystack.runtime.peer_link import PeerError, PeerLink, mesh_link
from daisystack.runtime.tasks import run_logged, run_steps
from daisystack.wire import mesh
from daisystack.wire.gen import ttypes

__all__ = ["MeshTask"]

# Three rounds fit into the time after which an unresponsive process is suspected.
ROUND_INTERVAL_S = 0.4
# News must reach a zone of a dozen entries in about two rounds.
IN_ZONE_FANOUT = 3
CROSS_ZONE_FANOUT = 1
# Traffic between zones is expensive; at this rate a zone of three entries still receives news of
# another zone every half second.
ROUNDS_PER_CROSS_ZONE_EXCHANGE = 2
# A peer that does not answer within this time is tried again in a later round.
PEER_TIMEOUT_S = 0.7
# A longer gap between two checks means that this process was paused, not that its peers were
# unresponsive.
MIN_PAUSE_S = 1.2
MS_PER_S = 1000

_logger = logging.getLogger("daisystack.mesh")


@define(eq=False)
class MeshTask:
    """Manage the links to other processes, their known state, and the exchange of news.

    News is the gossip message: what a process knows of members, mirrors, engines and targets, and
    its counts of requests and crashes.
    """

    own: Member
    seeds: tuple[str, ...]
    mirrors: tuple[Mirror, ...]
    on_changes: Callable[[Mirror, list], None]
    own_in_flight: Callable[[], dict[str, int]] = dict
    own_crash_counts: Callable[[float], tuple[tuple[str, int], ...]] = lambda at_s: ()
    on_in_flight: Callable[[str, dict[str, int], float], None] = (
        lambda instance_id, counts, at_s: None
    )
    on_crash_counts: Callable[[str, tuple[tuple[str, int], ...], float], None] = (
        lambda instance_id, counts, at_s: None
    )
    engines: EngineStatusTable = field(factory=EngineStatusTable)
    targets: Targets = field(factory=Targets)
    on_target: list[Callable[[WeightTarget], None]] = field(factory=list)
    membership: Membership = field(init=False)
    exchanges: int = 0
    _links: dict[str, PeerLink] = field(factory=dict)
    _exchanging: set[str] = field(factory=set)
    _reachable: dict[str, bool] = field(factory=dict)
    _pause_checked_s: float = field(factory=now_s)
    _rounds: int = 0

    def __attrs_post_init__(self) -> None:
        self.membership = Membership(self.own.id)

    def start(self) -> None:
        """Start the gossip rounds."""
        eventlet.spawn(run_steps, "mesh", self._round)

    def set_own_state(self, is_ready: bool, is_leaving: bool) -> None:
        """Set whether this process accepts work or is leaving; send news if that changes."""
        changed = (self.own.is_ready, self.own.is_leaving) != (is_ready, is_leaving)
        self.own = attrs.evolve(self.own, is_ready=is_ready, is_leaving=is_leaving)
        if changed:
            self.exchange_news()

    def exchange_news(self, is_urgent: bool = True) -> None:
        """Exchange news with some peers now; if urgent, also with an entry of each other zone."""
        self.own = attrs.evolve(self.own, beat=self.own.beat + 1)
        self._rounds += 1
        for address in self._choose_peers(is_urgent):
            if address not in self._exchanging:
                self._exchanging.add(address)
                eventlet.spawn(self._exchange_with, address)

    def live_entries(self, at_s: float) -> list[Member]:
        """Return the other entries that are neither suspected nor unreachable."""
        self._compensate_pause(at_s)
        return self.membership.live(MemberRole.ENTRY, at_s)

    def build_news(self, at_s: float) -> ttypes.MeshNews:
        """Return the news that this process sends to its peers."""
        members = [
            mesh.member_to_wire(m, age_s) for m, age_s in self.membership.entries_to_gossip(at_s)
        ]
        counts = [ttypes.InFlight(k, n) for k, n in self.own_in_flight().items()]
        crashes = [ttypes.CrashCount(*pair) for pair in self.own_crash_counts(at_s)]
        states = [
            ttypes.MirrorState(m.prefix, m.complete_revision, _optional_age_to_ms(m.age_s(at_s)))
            for m in self.mirrors
        ]
        engines = [mesh.engine_to_wire(status, at_s) for status in self.engines.recent(at_s)]
        targets = [
            ttypes.TargetNews(target.model, target.version, _optional_age_to_ms(at_s - learned_s))
            for target, learned_s in self.targets.known_versions()
        ]
        sender = mesh.member_to_wire(self.own, 0.0)
        return ttypes.MeshNews(sender, members, states, counts, engines, crashes, targets)

    def apply_news(self, news: ttypes.MeshNews, requested_s: float | None) -> None:
        """Apply a peer's news; requested_s is when it was requested, None if it was not.

        News that was not requested may have been in transit for any time, so its ages confirm
        nothing about the mirrors.
        """
        at_s = now_s()
        try:
            updates = [mesh.member_from_wire(wire) for wire in (news.sender, *news.members)]
        except ValueError as error:
            log_event(_logger, PeerSilent(news.sender.peer_address, f"can't decode news: {error}"))
            return
        for member, age_s in updates:
            self.membership.apply_update(member, age_s, at_s)
        for wire in news.engines:
            self.engines.update(mesh.engine_from_wire(wire, at_s))
        sender = news.sender
        if sender.role == MemberRole.ENTRY.value:
            self.on_in_flight(sender.id, {c.upstream_id: c.requests for c in news.in_flight}, at_s)
        if news.crash_counts:
            reported = tuple((c.fingerprint, c.deaths) for c in news.crash_counts)
            self.on_crash_counts(sender.id, reported, at_s)
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
            if state.complete_revision > mirror.complete_revision:
                eventlet.spawn(self._pull, mirror, news.sender.peer_address)
            elif requested_s is not None and state.age_ms >= 0:
                age_s = state.age_ms / MS_PER_S
                mirror.apply_confirmation(state.complete_revision, age_s, requested_s)

    def _pull(self, mirror: Mirror, address: str) -> None:
        link = mesh_link(address, PEER_TIMEOUT_S)
        requested_s = now_s()
        try:
            wire = link.call("mirror", mirror.prefix, mirror.complete_revision)
        except PeerError as error:
            log_event(_logger, PeerSilent(address, str(error)))
            return
        finally:
            link.close()
        changes = mirror.apply_delta(mesh.delta_from_wire(wire), requested_s)
        if changes:
            self.on_changes(mirror, changes)
            self.exchange_news()

    def _round(self) -> None:
        self._compensate_pause(now_s())
        self.exchange_news(is_urgent=False)
        eventlet.sleep(ROUND_INTERVAL_S * random.uniform(0.85, 1.15))

    def _choose_peers(self, is_urgent: bool) -> list[str]:
        entries = self.membership.members(MemberRole.ENTRY)
        in_zone = [m.peer_address for m in entries if m.zone == self.own.zone]
        cross_zone = [m.peer_address for m in entries if m.zone != self.own.zone]
        if self.own.role is MemberRole.AGENT:
            # An agent's link is slow, and one entry forwards its news to the others.
            chosen = random.sample(in_zone or cross_zone, min(1, len(in_zone or cross_zone)))
        else:
            chosen = random.sample(in_zone, min(IN_ZONE_FANOUT, len(in_zone)))
            if is_urgent:
                chosen += _sample_other_zones(self.live_entries(now_s()), self.own.zone)
            elif self._rounds % ROUNDS_PER_CROSS_ZONE_EXCHANGE == 0 or not in_zone:
                chosen += random.sample(cross_zone, min(CROSS_ZONE_FANOUT, len(cross_zone)))
        known_addresses = {*in_zone, *cross_zone, self.own.peer_address}
        # After a partition, a seed that is not a known entry may be the only path to the others.
        unknown_seeds = [seed for seed in self.seeds if seed not in known_addresses]
        chosen += random.sample(unknown_seeds, min(1, len(unknown_seeds)))
        return chosen

    def _exchange_with(self, address: str) -> None:
        link = self._links.setdefault(address, mesh_link(address, PEER_TIMEOUT_S))
        requested_s = now_s()
        self.exchanges += 1
        try:
            answer = link.call("gossip", self.build_news(requested_s))
        except PeerError as error:
            self._record_failure(address, str(error))
        else:
            self._record_answer(address, now_s() - requested_s)
            run_logged("news", self.apply_news, answer, requested_s)
            self.membership.mark_reachable(answer.sender.id)
        finally:
            self._exchanging.discard(address)

    def _record_failure(self, address: str, error: str) -> None:
        self._links.pop(address, None)
        for member in self.membership.members(MemberRole.ENTRY):
            if member.peer_address == address:
                self.membership.mark_unreachable(member.id)
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


def _sample_other_zones(entries: list[Member], own_zone: str) -> list[str]:
    by_zone: dict[str, list[str]] = {}
    for member in entries:
        if member.zone != own_zone:
            by_zone.setdefault(member.zone, []).append(member.peer_address)
    return [random.choice(addresses) for addresses in by_zone.values()]
