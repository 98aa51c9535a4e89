"""Run real entries' and agents' loading of weights over narrow links, in passed time."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
from attrs import define, evolve, field

from daisystack.backends import BackendError, OrderAnswer
from daisystack.core.digests import digest_bytes
from daisystack.core.direct_settings import ProcessIdentity, WeightAgentSettings
from daisystack.core.membership import Member, MemberRole
from daisystack.core.targets import LONG_AGO_S, Targets, WeightTarget
from daisystack.core.weight_pieces import EngineState, PieceList
from daisystack.runtime.clock import now_s
from daisystack.runtime.mesh_handler import MeshHandler
from daisystack.runtime.peer_link import PeerError
from daisystack.runtime.piece_task import PieceTask
from daisystack.runtime.tasks import run_steps
from daisystack.runtime.weight_agent import WeightAgent
from daisystack.testing.fleet import BYTES_PER_MBIT, Link, transfer

__all__ = ["RolloutFleet", "SimulatedEngine", "SimulatedOrigin"]

MODEL = "m"
LATENCY_S = 0.002
REQUEST_BYTES = 200
ENTRY_MBPS = 40.0
ORIGIN_CONNECTIONS = 48
BODY_UNIT = b"%d/%d "
LOAD_S = 0.3
SAMPLE_INTERVAL_S = 0.1
# Entries send nothing to an engine in the last second or more of its version.
LAST_START_S = 1.4


@define(eq=False)
class SimulatedOrigin:
    """Origin of weights with a narrow link that does not respond while it is down.

    The first answers to requests for a list may each have one wrong digest, at the given indexes.
    """

    piece_count: int
    piece_bytes: int
    link: Link
    is_down: bool = False
    wrong_digests: list[int] = field(factory=list)
    sent_pieces: int = 0
    _lists: dict[int, PieceList] = field(factory=dict)

    def body(self, version: int, index: int) -> bytes:
        """Return the bytes of a piece."""
        unit = BODY_UNIT % (version, index)
        return (unit * (self.piece_bytes // len(unit) + 1))[: self.piece_bytes]

    def piece_list(self, model: str, version: int) -> PieceList:
        """Return the list of a version; raise BackendError while the origin is down."""
        self._send(64 * self.piece_count)
        pieces = self.list_of(version)
        if not self.wrong_digests:
            return pieces
        digests = list(pieces.digests)
        digests[self.wrong_digests.pop(0)] = digest_bytes(b"other")
        return evolve(pieces, digests=tuple(digests))

    def list_of(self, version: int) -> PieceList:
        """Return the list of a version without a call."""
        if version not in self._lists:
            bodies = (self.body(version, index) for index in range(self.piece_count))
            self._lists[version] = PieceList(MODEL, version, tuple(map(digest_bytes, bodies)))
        return self._lists[version]

    def piece(self, model: str, version: int, index: int) -> bytes:
        """Return a piece; raise BackendError while the origin is down."""
        self._send(self.piece_bytes)
        self.sent_pieces += 1
        return self.body(version, index)

    def _send(self, count: int) -> None:
        eventlet.sleep(LATENCY_S)
        if not self.is_down:
            transfer([self.link], count, 5.0)
        if self.is_down:
            raise BackendError("origin: connection refused")


@define(eq=False)
class SimulatedEngine:
    """Engine that completes its requests before it loads the pieces staged when it was ordered."""

    # How long its longest request takes.
    drain_s: float
    # When it last accepted a request.
    accepted_s: float = 0.0
    version: int = 1
    order_count: int = 0
    is_busy: bool = False
    pieces: dict[int, bytes] = field(factory=dict)
    # When it accepted each order and the pieces that were staged then, by version.
    loaded: dict[int, tuple[float, dict[int, bytes]]] = field(factory=dict)

    def state(self) -> EngineState:
        """Return the engine's state."""
        running = 0 if self.is_busy else 1
        return EngineState(MODEL, self.version, self.is_busy, self.order_count, running, 0, 1)

    def staged_indexes(self, model: str) -> frozenset[int]:
        """Return the indexes of the staged pieces."""
        return frozenset(self.pieces)

    def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a staged piece."""
        return self.pieces.get(index)

    def stage(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece in place of the one at its index."""
        self.pieces[index] = body

    def order_load(
        self, model: str, version: int, order_count: int, send_by_s: float
    ) -> OrderAnswer:
        """Begin to load what is staged now, unless another load is in progress."""
        if self.is_busy or order_count != self.order_count:
            return OrderAnswer(False, "busy")
        self.order_count += 1
        self.is_busy = True
        self.loaded[version] = (now_s(), dict(self.pieces))
        drained_s = max(0.0, self.accepted_s + self.drain_s - now_s())
        eventlet.spawn_after(drained_s + LOAD_S, self._complete, version)
        return OrderAnswer(True, "accepted")

    def _complete(self, version: int) -> None:
        self.version = version
        self.is_busy = False


@define(eq=False)
class SimulatedProcess:
    """An entry's or an agent's member record with the links of its machine."""

    member: Member
    mbps: float
    uplink: Link = field(init=False)
    downlink: Link = field(init=False)
    handler: MeshHandler | None = None

    def __attrs_post_init__(self) -> None:
        self.uplink = Link(self.mbps * BYTES_PER_MBIT)
        self.downlink = Link(self.mbps * BYTES_PER_MBIT)


@define
class SimulatedLink:
    """Link of one process to a peer, in place of a PeerLink."""

    own: SimulatedProcess
    peer: SimulatedProcess
    between: list[Link]
    timeout_s: float

    def call(self, method: str, *arguments):
        """Call a method of the peer; raise PeerError after a silence."""
        try:
            self._send(self.own, self.peer, REQUEST_BYTES)
            answer = getattr(self.peer.handler, method)(*arguments)
            count = len(getattr(answer, "body", b"")) + REQUEST_BYTES
            self._send(self.peer, self.own, count)
        except TimeoutError as error:
            raise PeerError(str(error)) from error
        return answer

    def close(self) -> None:
        """Close nothing."""

    def _send(self, source: SimulatedProcess, target: SimulatedProcess, count: int) -> None:
        eventlet.sleep(LATENCY_S)
        transfer([source.uplink, *self.between, target.downlink], count, self.timeout_s)


@define(eq=False)
class RolloutFleet:
    """Entries and agents of several zones that bring the engines to published versions.

    The members know each other, and learn of a version and of engine statuses at once.
    """

    entries_per_zone: int = 12
    agents_per_zone: int = 8
    zones: tuple[str, ...] = ("z0", "z1", "z2")
    bound_s: float = 8.0
    agent_mbps: float = 3.8
    origin_mbps: float = 9.9
    region_mbps: float = 13.0
    piece_count: int = 64
    piece_bytes: int = 32_768
    seed: int = 1
    origin: SimulatedOrigin = field(init=False)
    processes: dict[str, SimulatedProcess] = field(factory=dict)
    entries: list[PieceTask] = field(factory=list)
    agents: list[WeightAgent] = field(factory=list)
    # Share of the engines that accept requests of a usable version, by time.
    accepting: list[tuple[float, float]] = field(factory=list)
    _region_links: dict[tuple[str, str], Link] = field(factory=dict)

    def start(self) -> None:
        """Start all processes with version 1 loaded in each engine."""
        link = Link(self.origin_mbps * BYTES_PER_MBIT)
        self.origin = SimulatedOrigin(self.piece_count, self.piece_bytes, link)
        rng = random.Random(self.seed)
        for zone in self.zones:
            for index in range(self.entries_per_zone):
                self._add_entry(zone, f"{zone}-entry-{index}")
            for index in range(self.agents_per_zone):
                self._add_agent(zone, f"{zone}-agent-{index}", rng.uniform(1.0, 2.2))
        self._introduce()
        for agent in self.agents:
            eventlet.spawn(run_steps, "engine watch", agent._poll_engine)
            eventlet.spawn(run_steps, "engine fill", agent._fill)
        eventlet.spawn(run_steps, "sample", self._sample)

    def publish(self, version: int) -> None:
        """Make all processes learn of a version now."""
        target = WeightTarget(MODEL, version)
        for agent in self.agents:
            agent.mesh.targets.learn(target, now_s())
            for listener in agent.mesh.on_target:
                listener(target)
        for entry in self.entries:
            entry.targets.learn(target, now_s())
            entry.start_share_pull(target)

    def lowest_accepting(self, from_s: float, until_s: float) -> float:
        """Return the lowest share of engines that accept requests in an interval."""
        return min(share for at_s, share in self.accepting if from_s <= at_s < until_s)

    def mean_accepting(self, from_s: float, until_s: float) -> float:
        """Return the mean share of engines that accept requests in an interval."""
        shares = [share for at_s, share in self.accepting if from_s <= at_s < until_s]
        return sum(shares) / len(shares)

    def held_pieces(self, version: int, zone: str) -> int:
        """Return how many pieces of a version the entries of a zone hold."""
        entries = [entry for entry in self.entries if entry.own_member().zone == zone]
        digests = self.origin.list_of(version).digests
        return sum(any(entry.cache.get(d) is not None for entry in entries) for d in digests)

    def _sample(self) -> None:
        eventlet.sleep(SAMPLE_INTERVAL_S)
        at_s = now_s()
        accepting = [agent for agent in self.agents if self._accepts(agent, at_s)]
        for agent in accepting:
            agent.engine.accepted_s = at_s
        self.accepting.append((at_s, len(accepting) / len(self.agents)))

    def _accepts(self, agent: WeightAgent, at_s: float) -> bool:
        engine, targets = agent.engine, agent.mesh.targets
        until_s = targets.usable_until_s(MODEL, engine.version, self.bound_s)
        return not engine.is_busy and at_s < until_s - LAST_START_S

    def _add_process(self, role: MemberRole, zone: str, name: str, mbps: float) -> SimulatedProcess:
        member = Member(name, "i1", role, f"{name}:1", f"{name}:2", "", zone, zone, is_ready=True)
        process = SimulatedProcess(member, mbps)
        self.processes[member.peer_address] = process
        return process

    def _add_entry(self, zone: str, name: str) -> None:
        process = self._add_process(MemberRole.ENTRY, zone, name, ENTRY_MBPS)
        entry = PieceTask(
            lambda: process.member,
            lambda: [m for m in self._members(MemberRole.ENTRY) if m.id != process.member.id],
            lambda: (self.origin, self.zones[0]),
            Targets(),
            lambda member_id: None,
            origin_connections=lambda: ORIGIN_CONNECTIONS,
            open_link=self._opener(process),
        )
        entry.targets.learn(WeightTarget(MODEL, 1), LONG_AGO_S)
        process.handler = MeshHandler(None, entry)
        self.entries.append(entry)

    def _add_agent(self, zone: str, name: str, drain_s: float) -> None:
        process = self._add_process(MemberRole.AGENT, zone, name, self.agent_mbps)
        rate = self.agent_mbps * BYTES_PER_MBIT
        identity = ProcessIdentity(name, zone, zone, ())
        addresses = (process.member.caller_address, process.member.peer_address)
        settings = WeightAgentSettings(
            identity, *addresses, "pool", rate, "127.0.0.1:1", 3.0, self.bound_s, 8.0
        )
        agent = WeightAgent(settings, SimulatedEngine(drain_s))
        agent.mesh.open_link = self._opener(process)
        agent.mesh.targets.learn(WeightTarget(MODEL, 1), LONG_AGO_S)
        agent.status_sender = _StatusSpread(self, zone)
        self.agents.append(agent)

    def _introduce(self) -> None:
        for agent in self.agents:
            for member in self._members(MemberRole.ENTRY):
                agent.mesh.membership.apply_update(member, 0.0, now_s() + 1000.0)

    def _members(self, role: MemberRole) -> list[Member]:
        return [p.member for p in self.processes.values() if p.member.role is role]

    def _opener(self, own: SimulatedProcess) -> Callable[[str, float], SimulatedLink]:
        def open_link(address: str, timeout_s: float) -> SimulatedLink:
            peer = self.processes[address]
            between = self._links_between(own.member.zone, peer.member.zone)
            return SimulatedLink(own, peer, between, timeout_s)

        return open_link

    def _links_between(self, zone: str, other: str) -> list[Link]:
        if zone == other:
            return []
        key = (min(zone, other), max(zone, other))
        return [self._region_links.setdefault(key, Link(self.region_mbps * BYTES_PER_MBIT))]


@define(eq=False)
class _StatusSpread:
    """Pass the statuses of engines to the agents of their zone."""

    fleet: RolloutFleet
    zone: str

    def send(self, statuses, receivers, at_s, is_direct=False) -> None:
        for agent in self.fleet.agents:
            if agent.settings.identity.zone == self.zone:
                for status in statuses:
                    agent.mesh.engines.update(status, is_direct=True)
