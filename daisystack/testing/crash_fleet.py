"""Simulate a fleet whose engines are crashed by requests with one part, in passed time."""

from __future__ import annotations

import random

from attrs import define, field

from daisystack.core.crash_hold import CrashHold, Suspicion
from daisystack.core.crash_suspects import CrashSuspects, digest_part, digest_upstream
from daisystack.testing.gossip import ROUND_INTERVAL_S, GossipFleet, SimulatedEntry

__all__ = ["CrashFleet", "CrashTracker", "SimulatedRequest"]

MODEL = "m"
CULPRIT = "culprit"
SHARED_BY_ALL = "shared"
FIRST_PARTS = 60
# Requests that an engine runs at once; it queues as many.
SLOTS = 16
MAX_ATTEMPTS = 2
CALLER_RETRIES = 1
MIN_PUSH_INTERVAL_S = 0.1


@define(eq=False)
class SimulatedRequest:
    """One caller's request: its parts but the last, and how often it was sent."""

    id: int
    parts: tuple[str, ...]
    attempts: int = 0
    caller_retries: int = 0

    @property
    def is_culprit(self) -> bool:
        """Return whether the request crashes each engine that begins its answer."""
        return CULPRIT in self.parts


@define(eq=False)
class CrashTracker:
    """What one entry counts of crashes, as an entry does."""

    hold: CrashHold = field(factory=CrashHold)
    suspects: CrashSuspects = field(factory=CrashSuspects)

    def is_held(self, request: SimulatedRequest, now_s: float) -> bool:
        """Return whether a request must not be sent."""
        if self.hold.evaluate(str(request.id), now_s) is Suspicion.HELD:
            return True
        return self.suspects.find_held(_digests(request), now_s) is not None

    def record_crash(self, request: SimulatedRequest, upstream: str, now_s: float) -> bool:
        """Count the crash of an upstream that had begun the request's answer."""
        self.hold.record_crash(str(request.id), now_s)
        self.suspects.record_crash(_digests(request), digest_upstream(upstream, 0), now_s)
        return True

    def record_sent(self, request: SimulatedRequest) -> None:
        """Count a request that is sent."""
        self.suspects.record_sent(_digests(request))

    def record_complete(self, request: SimulatedRequest, now_s: float) -> None:
        """Note a complete answer."""
        self.suspects.record_complete(_digests(request), now_s)

    def tell(self, peer: CrashTracker, now_s: float) -> bool:
        """Tell another entry; return whether it has to pass the news on at once."""
        has_new_count = peer.hold.merge(self.hold.known_counts(now_s), now_s)
        return peer.suspects.merge(self.suspects.report(now_s), now_s) or has_new_count


def _digests(request: SimulatedRequest) -> tuple[bytes, ...]:
    return tuple(digest_part(MODEL, part) for part in request.parts)


@define(eq=False)
class _Engine:
    id: str
    zone: str
    incarnation: int = 0
    is_up: bool = True
    running: dict[int, tuple[SimulatedRequest, SimulatedEntry]] = field(factory=dict)
    queue: list[tuple[SimulatedRequest, SimulatedEntry]] = field(factory=list)

    @property
    def lifetime(self) -> str:
        """Return the name of this incarnation."""
        return f"{self.id}/{self.incarnation}"


@define(eq=False)
class CrashFleet(GossipFleet):
    """Entries that send sound requests and, from culprit_from_s, some that crash engines."""

    engine_count: int = 6
    sound_per_s: float = 40.0
    culprit_per_s: float = 2.0
    culprit_from_s: float = 8.0
    # Share of answers that are broken off by an engine that goes on listening.
    broken_share: float = 0.0
    # Times at which rack_size engines end at the same moment.
    rack_ends_s: tuple[float, ...] = ()
    rack_size: int = 3
    # Times at which an entry takes the loss of its connections to a sound engine for a crash.
    cuts_s: tuple[float, ...] = ()
    # Agents of each zone, which keep what entries have counted.
    agents_per_zone: int = 0
    trackers: dict[str, CrashTracker] = field(factory=dict)
    agents: list[tuple[str, CrashTracker]] = field(factory=list)
    crash_times_s: list[float] = field(factory=list)
    culprit_sent_s: list[float] = field(factory=list)
    # Arrivals of sound requests, and whether each was sent at its first attempt.
    sound_arrivals: list[tuple[float, bool, tuple[str, ...]]] = field(factory=list)
    _engines: list[_Engine] = field(factory=list)
    _work: random.Random = field(init=False)
    restarts: int = 0
    _request_count: int = 0
    _pushed_s: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        self._work = random.Random(self.seed + 1000)
        self._engines = [_Engine(f"g{i}", f"z{i % self.zones}") for i in range(self.engine_count)]
        self.trackers = {entry_id: CrashTracker(CrashHold(entry_id)) for entry_id in self.entries}
        anchor = next(iter(self.entries.values()))
        self._schedule(0.0, anchor, self._sound_arrives)
        self._schedule(self.culprit_from_s, anchor, self._culprit_arrives)
        for zone in (f"z{index}" for index in range(self.zones)):
            for _ in range(self.agents_per_zone):
                self.agents.append((zone, CrashTracker()))
                round_s = self._work.uniform(0.0, ROUND_INTERVAL_S)
                self._schedule(round_s, anchor, lambda e, a=self.agents[-1]: self._agent_round(*a))
        for at_s in self.rack_ends_s:
            self._schedule(at_s, anchor, lambda entry: self._end_rack())
        for at_s in self.cuts_s:
            self._schedule(at_s, anchor, lambda entry: self._cut_entry())

    def restart(self, entry_ids: list[str]) -> None:
        """Let entries start again, which takes along all that they counted."""
        self.restarts += 1
        for entry_id in entry_ids:
            self.trackers[entry_id] = CrashTracker(CrashHold(f"{entry_id}/{self.restarts}"))

    def _agent_round(self, zone: str, agent: CrashTracker) -> None:
        in_zone = [e for e in self.entries.values() if e.own.zone == zone and not e.is_dead]
        entry = self._work.choice(in_zone)
        self.trackers[entry.own.id].tell(agent, self.now_s)
        if agent.tell(self.trackers[entry.own.id], self.now_s):
            self._push_soon(entry)
        anchor = next(iter(self.entries.values()))
        self._schedule(ROUND_INTERVAL_S, anchor, lambda entry: self._agent_round(zone, agent))

    def record_crash(self, entry_id: str, request: SimulatedRequest, upstream: str) -> None:
        """Let one entry count the crash of an upstream by a request."""
        if self.trackers[entry_id].record_crash(request, upstream, self.now_s):
            self._push_soon(self.entries[entry_id])

    def wrongly_held(self) -> set[str]:
        """Return the sound parts that some entry holds."""
        names = [SHARED_BY_ALL, *(f"p{index}" for index in range(FIRST_PARTS))]
        held = set().union(*(t.suspects.held_parts for t in self.trackers.values()))
        return {name for name in names if digest_part(MODEL, name) in held}

    @property
    def fifth_crash_s(self) -> float:
        """Return when the fifth engine ended by the culprit; infinity if fewer ended."""
        return self.crash_times_s[4] if len(self.crash_times_s) >= 5 else float("inf")

    def sent_after(self, window_s: float) -> int:
        """Return how many culprits were sent later than a time after the fifth crash."""
        return sum(at_s > self.fifth_crash_s + window_s for at_s in self.culprit_sent_s)

    def begun_share(self, from_s: float, to_s: float) -> float:
        """Return the share of sound requests that were not refused for a part in a time."""
        begun = [sent for at_s, sent, _ in self.sound_arrivals if from_s <= at_s < to_s]
        return sum(begun) / max(1, len(begun))

    def lowest_begun_share(self, from_s: float, to_s: float, min_requests: int = 20) -> float:
        """Return that share for the part for which it is lowest, of 20 requests or more."""
        by_part: dict[str, list[bool]] = {}
        for at_s, sent, parts in self.sound_arrivals:
            if from_s <= at_s < to_s:
                for part in parts:
                    by_part.setdefault(part, []).append(sent)
        shares = [sum(s) / len(s) for s in by_part.values() if len(s) >= min_requests]
        return min(shares, default=1.0)

    def _sound_arrives(self, anchor: SimulatedEntry) -> None:
        self._schedule(self._work.expovariate(self.sound_per_s), anchor, self._sound_arrives)
        request = self._build_request((SHARED_BY_ALL, self._draw_first_part()))
        self._arrive(request)

    def _culprit_arrives(self, anchor: SimulatedEntry) -> None:
        self._schedule(self._work.expovariate(self.culprit_per_s), anchor, self._culprit_arrives)
        self._arrive(self._build_request((SHARED_BY_ALL, self._draw_first_part(), CULPRIT)))

    def _draw_first_part(self) -> str:
        weights = [rank**-0.5 for rank in range(1, FIRST_PARTS + 1)]
        return f"p{self._work.choices(range(FIRST_PARTS), weights)[0]}"

    def _build_request(self, parts: tuple[str, ...]) -> SimulatedRequest:
        self._request_count += 1
        return SimulatedRequest(self._request_count, parts)

    def _arrive(self, request: SimulatedRequest) -> None:
        entry = self._work.choice([e for e in self.entries.values() if not e.is_dead])
        is_held = self.trackers[entry.own.id].is_held(request, self.now_s)
        if not request.is_culprit and request.caller_retries == 0:
            self.sound_arrivals.append((self.now_s, not is_held, request.parts))
        if is_held:
            self._caller_retries(request)
        else:
            self._send(request, entry)

    def _caller_retries(self, request: SimulatedRequest) -> None:
        if request.caller_retries >= CALLER_RETRIES:
            return
        request.caller_retries += 1
        request.attempts = 0
        anchor = next(iter(self.entries.values()))
        delay_s = self._work.uniform(0.1, 0.5)
        self._schedule(delay_s, anchor, lambda entry: self._arrive(request))

    def _send(self, request: SimulatedRequest, entry: SimulatedEntry) -> None:
        up = [e for e in self._engines if e.is_up and len(e.queue) < SLOTS]
        if not up:
            return
        engine = min(
            self._work.sample(up, min(2, len(up))), key=lambda e: len(e.running) + len(e.queue)
        )
        request.attempts += 1
        self.trackers[entry.own.id].record_sent(request)
        if request.is_culprit:
            self.culprit_sent_s.append(self.now_s)
        lifetime = engine.incarnation
        self._schedule(
            self._work.uniform(0.002, 0.015),
            entry,
            lambda sender: self._reach(request, sender, engine, lifetime),
        )

    def _reach(self, request, entry, engine: _Engine, lifetime: int) -> None:
        if engine.incarnation != lifetime or not engine.is_up:
            self._retry(request, entry)
            return
        engine.queue.append((request, entry))
        self._admit(engine)

    def _admit(self, engine: _Engine) -> None:
        while engine.queue and len(engine.running) < SLOTS:
            request, entry = engine.queue.pop(0)
            engine.running[request.id] = (request, entry)
            self._begin(request, entry, engine)

    def _begin(self, request, entry, engine: _Engine) -> None:
        lifetime = engine.incarnation
        if request.is_culprit:
            action, took_s = self._crash_by_request, self._work.uniform(0.05, 0.12)
        else:
            action, took_s = self._finish, self._work.uniform(0.4, 1.6)
        self._schedule(took_s, entry, lambda sender: action(request, sender, engine, lifetime))

    def _finish(self, request, entry, engine: _Engine, lifetime: int) -> None:
        if engine.incarnation != lifetime or not engine.is_up:
            return
        del engine.running[request.id]
        if self._work.random() >= self.broken_share:
            self.trackers[entry.own.id].record_complete(request, self.now_s)
        self._admit(engine)

    def _crash_by_request(self, request, entry, engine: _Engine, lifetime: int) -> None:
        if engine.incarnation == lifetime and engine.is_up:
            self.crash_times_s.append(self.now_s)
            self._crash(engine)

    def _crash(self, engine: _Engine) -> None:
        lifetime = engine.lifetime
        engine.is_up = False
        for request, entry in engine.running.values():
            self._schedule(
                self._work.uniform(0.002, 0.03),
                entry,
                lambda e, r=request: self._notice_crash(r, e, lifetime),
            )
        for request, entry in engine.queue:
            self._schedule(0.02, entry, lambda e, r=request: self._retry(r, e))
        engine.running, engine.queue = {}, []
        anchor = next(iter(self.entries.values()))
        delay_s = self._work.uniform(3.0, 4.0)
        self._schedule(delay_s, anchor, lambda entry: self._start_again(engine))

    def _start_again(self, engine: _Engine) -> None:
        engine.incarnation += 1
        engine.is_up = True

    def _notice_crash(self, request, entry: SimulatedEntry, lifetime: str) -> None:
        if self.trackers[entry.own.id].record_crash(request, lifetime, self.now_s):
            self._push_soon(entry)
        self._retry(request, entry)

    def _retry(self, request: SimulatedRequest, entry: SimulatedEntry) -> None:
        if request.attempts >= MAX_ATTEMPTS:
            self._caller_retries(request)
        elif not self.trackers[entry.own.id].is_held(request, self.now_s):
            self._send(request, entry)

    def _end_rack(self) -> None:
        for engine in [e for e in self._engines if e.is_up][: self.rack_size]:
            self._crash(engine)

    def _cut_entry(self) -> None:
        """Let one entry take the loss of its connections to one sound engine for a crash."""
        up = [e for e in self._engines if e.is_up and e.running]
        if not up:
            return
        engine = self._work.choice(up)
        _, victim = self._work.choice(list(engine.running.values()))
        for request, entry in engine.running.values():
            if entry is victim:
                self.trackers[entry.own.id].record_crash(request, engine.lifetime, self.now_s)

    def _push_soon(self, entry: SimulatedEntry) -> None:
        wait_s = max(0.0, self._pushed_s.get(entry.own.id, -1.0) + MIN_PUSH_INTERVAL_S - self.now_s)
        self._pushed_s[entry.own.id] = self.now_s + wait_s
        self._schedule(wait_s, entry, self._push)

    def _receive(self, receiver, sender, members, heartbeats) -> None:
        super()._receive(receiver, sender, members, heartbeats)
        told = self.trackers[receiver.own.id]
        if self.trackers[sender.own.id].tell(told, self.now_s):
            self._push_soon(receiver)
