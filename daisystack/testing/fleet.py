"""Run complete entries against a simulated store and narrow links, in passed time, no sockets."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from unittest import mock

import eventlet
from attrs import define, field, frozen
from eventlet import hubs, patcher
from eventlet.hubs.hub import BaseHub
from eventlet.hubs.timer import Timer

from daisystack.backends import BackendError
from daisystack.core.direct_settings import DirectEntrySettings, ProcessIdentity
from daisystack.core.evacuations import ZoneEvacuation
from daisystack.core.mirror import Change, Snapshot
from daisystack.core.traffic import TrafficPolicy
from daisystack.runtime import clock
from daisystack.runtime.direct_entry import READER_DUTY, DirectEntry
from daisystack.runtime.mesh_handler import MeshHandler
from daisystack.runtime.peer_link import PeerError
from daisystack.testing.direct import PlainDialect

__all__ = ["EntryFleet", "FleetStore", "build_config", "run_in_passed_time"]

BYTES_PER_MBIT = 125_000.0
# Transfers over a link take turns of this size.
TURN_BYTES = 16_384
IN_ZONE_LATENCY_S = 0.0005
CROSS_ZONE_LATENCY_S = 0.004
STORE_ANSWER_S = 0.004
GOSSIP_BYTES = 953
REQUEST_BYTES = 300
STORE_ZONE = "z0"
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
UPSTREAMS = 48
LONG_ANSWER_BYTES = 100_000
AGE_SAMPLE_INTERVAL_S = 0.05
# Short enough that a million timers move by a microsecond.
TIMER_STEP_S = 1e-12


class PassedTimeHub(BaseHub):
    """Event loop whose clock jumps to the next timer; it waits for no descriptors."""

    def __init__(self) -> None:
        self.at_s = 0.0
        self._added = 0
        super().__init__(lambda: self.at_s)

    @classmethod
    def is_available(cls) -> bool:
        """Return that eventlet may use this loop."""
        return True

    def add_timer(self, timer: Timer) -> float:
        """Schedule a timer behind those of the same time, which eventlet orders by address."""
        self._added += 1
        scheduled_s = self.at_s + timer.seconds + self._added * TIMER_STEP_S
        self.next_timers.append((scheduled_s, timer))
        return scheduled_s

    def wait(self, seconds: float | None = None) -> None:
        """Pass time up to the next timer."""
        self.at_s = max(self.at_s + (seconds or 0.0), self.sleep_until() or 0.0)


def run_in_passed_time(action: Callable[[], object], seed: int = 1) -> object:
    """Return the result of an action, run in a thread of its own whose time passes at once."""
    random.seed(seed)
    results: list[object] = []
    errors: list[BaseException] = []

    def run() -> None:
        hubs.use_hub(PassedTimeHub)
        passed_time = mock.Mock(wraps=clock.time)
        passed_time.clock_gettime = lambda _: 1000.0 + hubs.get_hub().at_s
        secrets = mock.Mock(token_hex=lambda count: random.randbytes(count).hex())
        with mock.patch.multiple(clock, time=passed_time, secrets=secrets):
            try:
                results.append(action())
            except BaseException as error:  # raised again in the thread that waits
                errors.append(error)
        hubs.get_hub().abort()

    thread = patcher.original("threading").Thread(target=run)
    thread.start()
    thread.join()
    if errors:
        raise errors[0]
    return results[0]


def build_config(version: int, routes: int) -> bytes:
    """Return a configuration document with a number of routes, each with names of its own."""
    draw = random.Random(version)
    names = [f"{draw.getrandbits(40):x}" for _ in range(routes)]
    fields = {"kind": "safe", "timeout_ms": 800, "service": "loan-ledger", "max_attempts": 2}
    fields |= {"priority": 2, "public": False, "latency_ms": 300, "pause_ms": 0}
    documents = [{"name": n, "host": f"{n}.example", "prefix": f"/{n}/"} | fields for n in names]
    return json.dumps({"version": version, "routes": documents}).encode()


class FleetReader:
    """Decode only the version of a configuration, and evacuations."""

    def read(self, change: Change) -> TrafficPolicy | ZoneEvacuation | None:
        """Return a policy without routes or an evacuation, None for other keys."""
        if change.key.startswith(EVACUATION_PREFIX):
            return ZoneEvacuation(change.key.removeprefix(EVACUATION_PREFIX))
        if change.key != CONFIG_KEY:
            return None
        return TrafficPolicy(int(change.value[12:].partition(b",")[0]), (), {})

    def upstream_id(self, key: str) -> str | None:
        """Return that no key is an upstream's."""
        return None

    def document_version(self, key: str, value: bytes) -> None:
        """Return that values state no version."""
        return


@define(eq=False)
class Link:
    """Link whose transfers take turns."""

    bytes_per_s: float
    busy_until_s: float = 0.0
    sent_bytes: int = 0

    def reserve(self, count: int, at_s: float) -> float:
        """Return when a number of bytes that are sent now have passed."""
        self.sent_bytes += count
        self.busy_until_s = max(self.busy_until_s, at_s) + count / self.bytes_per_s
        return self.busy_until_s


def transfer(links: list[Link], count: int, timeout_s: float) -> None:
    """Pass time until bytes went over all links; raise TimeoutError after a silence."""
    for offset in range(0, max(1, count), TURN_BYTES):
        at_s = clock.now_s()
        turn = min(TURN_BYTES, count - offset)
        arrives_s = max((link.reserve(turn, at_s) for link in links), default=at_s)
        eventlet.sleep(min(timeout_s, arrives_s - at_s))
        if arrives_s - at_s > timeout_s:
            raise TimeoutError("read timeout")


@define(eq=False)
class FleetStore:
    """Store whose range reads are linearizable and whose watches may miss changes."""

    items: dict[str, Change] = field(factory=dict)
    revision: int = 1
    calls: int = 0
    long_answers: int = 0
    is_down: bool = False
    # How long a call lasts that gets no answer.
    silence_s: float = 0.01
    # Watches hear nothing before this time, as while the history is dropped.
    deaf_until_s: float = 0.0
    era: int = 0
    _deletions: dict[str, Change] = field(factory=dict)

    def write(self, key: str, value: bytes) -> None:
        """Publish a value."""
        self.revision += 1
        self.items[key] = Change(key, self.revision, value)
        self._deletions.pop(key, None)

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._deletions[key] = Change(key, self.revision, None)

    def go_back(self, items: dict[str, Change], revision: int) -> None:
        """Restore an older copy, which begins a new era."""
        self.items, self.revision = dict(items), revision
        self._deletions.clear()
        self.era += 1

    def changes_after(self, prefix: str, revision: int) -> tuple[Change, ...]:
        """Return the values and deletions under a prefix that are newer than a revision."""
        changes = (*self.items.values(), *self._deletions.values())
        return tuple(c for c in changes if c.key.startswith(prefix) and c.revision > revision)


@frozen(eq=False)
class StoreClient:
    """The store as one entry reaches it."""

    store: FleetStore
    machine: SimulatedMachine

    def read(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix."""
        self._begin_call()
        requested_s = clock.now_s()
        eventlet.sleep(self.machine.store_latency_s + STORE_ANSWER_S)
        items = self.store.changes_after(prefix, 0)
        changes = tuple(change for change in items if change.value is not None)
        snapshot = Snapshot(changes, self.store.revision, requested_s, self.store.era)
        self._receive(changes)
        return snapshot

    def watch(self, prefix: str, after_revision: int, wait_s: float, era: int) -> tuple:
        """Return the changes after a revision as soon as there are any."""
        self._begin_call()
        ends_s = clock.now_s() + wait_s
        while clock.now_s() < ends_s:
            if era != self.store.era:
                raise BackendError("the history before the store's return is gone")
            changes = self.store.changes_after(prefix, after_revision)
            if changes and clock.now_s() >= self.store.deaf_until_s:
                self._receive(changes)
                return changes
            eventlet.sleep(0.01)
        return ()

    def _begin_call(self) -> None:
        self.store.calls += 1
        if self.store.is_down or self.machine.is_cut_off or self.machine.is_turned_away:
            eventlet.sleep(self.store.silence_s)
            raise BackendError("the store is down")

    def _receive(self, changes: tuple[Change, ...]) -> None:
        count = sum(120 + len(change.value or b"") * 4 // 3 for change in changes)
        self.store.long_answers += count > LONG_ANSWER_BYTES
        try:
            transfer([*self.machine.store_links, self.machine.downlink], count, 1.0)
        except TimeoutError as error:
            raise BackendError(str(error)) from error
        eventlet.sleep(self.machine.store_latency_s)


@define(eq=False)
class SimulatedMachine:
    """One entry with its links, and when it took which configuration."""

    id: str
    zone: str
    uplink: Link
    downlink: Link
    store_latency_s: float
    store_links: list[Link]
    entry: DirectEntry = field(init=False)
    handler: MeshHandler = field(init=False)
    taken: list[tuple[float, int]] = field(factory=list)
    is_cut_off: bool = False
    # The store refuses this machine.
    is_turned_away: bool = False
    # Peers' copies don't arrive, only their news.
    is_without_copies: bool = False


@define
class SimulatedLink:
    """Link of one entry to a peer, in place of a PeerLink."""

    fleet: EntryFleet
    own: SimulatedMachine
    address: str
    timeout_s: float

    def call(self, method: str, *arguments):
        """Call a method of the peer; raise PeerError after a silence."""
        peer = self.fleet.machines.get(self.address)
        is_lost = method == "mirror" and self.own.is_without_copies
        if peer is None or peer.is_cut_off or self.own.is_cut_off or is_lost:
            eventlet.sleep(0.5)
            raise PeerError("could not connect")
        try:
            self._send(self.own, peer, GOSSIP_BYTES if method == "gossip" else REQUEST_BYTES)
            answer = getattr(peer.handler, method)(*arguments)
            self._send(peer, self.own, answer_bytes(method, answer))
        except TimeoutError as error:
            raise PeerError(str(error)) from error
        return answer

    def close(self) -> None:
        """Close nothing."""

    def _send(self, source: SimulatedMachine, target: SimulatedMachine, count: int) -> None:
        between = self.fleet.links_between(source.zone, target.zone)
        eventlet.sleep(CROSS_ZONE_LATENCY_S if between else IN_ZONE_LATENCY_S)
        transfer([source.uplink, *between, target.downlink], count, self.timeout_s)


def answer_bytes(method: str, answer) -> int:
    """Return the size of a peer's answer."""
    if method != "mirror":
        return GOSSIP_BYTES
    return REQUEST_BYTES + sum(40 + len(item.value) for item in answer.items)


@define(eq=False)
class EntryFleet:
    """Entries spread over zones, one of which holds the store."""

    size: int
    zones: int
    bound_s: float
    machine_mbps: float = 20.0
    region_mbps: float = 13.0
    store: FleetStore = field(factory=FleetStore)
    machines: dict[str, SimulatedMachine] = field(factory=dict)
    published_s: dict[int, float] = field(factory=dict)
    lost: list[SimulatedMachine] = field(factory=list)
    # The oldest copy that an entry held since the fleet had settled.
    worst_age_s: float = 0.0
    quiet_calls_per_s: float = 0.0
    quiet_bytes_per_s: float = 0.0
    _region_links: dict[tuple[str, str], Link] = field(factory=dict)

    def start(self, settle_s: float = 6.0) -> None:
        """Start all entries with a small configuration and pass time until they are settled."""
        for index in range(UPSTREAMS):
            self.store.write(f"up/{index}", b"x" * 150)
        self.publish(1, 40)
        for index in range(self.size):
            self._start_machine(index, f"z{index % self.zones}")
        eventlet.sleep(settle_s)
        eventlet.spawn(self._sample_ages)

    def publish(self, version: int, routes: int) -> None:
        """Publish a configuration."""
        self.store.write(CONFIG_KEY, build_config(version, routes))
        self.published_s[version] = clock.now_s()

    def lose_readers(self, per_zone: int) -> list[SimulatedMachine]:
        """Cut off the first readers of each zone."""
        at_s = clock.now_s()
        for machine in self.machines.values():
            if machine.entry.mesh.rank_in_zone(READER_DUTY, at_s) < per_zone:
                machine.is_cut_off = True
                self.lost.append(machine)
        return self.lost

    def step_time_of_day(self, step_s: float) -> None:
        """Change the time of day by some seconds."""
        now = clock.time.time()
        clock.time.time = lambda: now + step_s

    def worst_delays_s(self) -> dict[int, float]:
        """Return for each version how long the last entry took to have it or a newer one."""
        return {
            version: max(
                self._delay_s(m, version) for m in self.machines.values() if m not in self.lost
            )
            for version in self.published_s
            if version > 1
        }

    def links_between(self, zone: str, other: str) -> list[Link]:
        """Return the links that bytes from one zone to another pass."""
        if zone == other:
            return []
        rate = self.region_mbps * BYTES_PER_MBIT
        return [self._region_links.setdefault((zone, other), Link(rate))]

    def region_bytes(self) -> int:
        """Return the bytes that were sent between zones."""
        return sum(link.sent_bytes for link in self._region_links.values())

    def _sample_ages(self) -> None:
        while True:
            at_s = clock.now_s()
            ages_s = [
                mirror.age_s(at_s)
                for machine in self.machines.values()
                if machine not in self.lost
                for mirror in machine.entry.mirrors.values()
            ]
            self.worst_age_s = max(self.worst_age_s, *ages_s)
            eventlet.sleep(AGE_SAMPLE_INTERVAL_S)

    def _delay_s(self, machine: SimulatedMachine, version: int) -> float:
        taken_s = next((at_s for at_s, v in machine.taken if v >= version), float("inf"))
        return taken_s - self.published_s[version]

    def _start_machine(self, index: int, zone: str) -> None:
        address = f"10.0.{index // 200}.{index % 200 + 1}:7"
        rate = self.machine_mbps * BYTES_PER_MBIT
        between = self.links_between(STORE_ZONE, zone)
        latency_s = CROSS_ZONE_LATENCY_S if between else IN_ZONE_LATENCY_S
        machine = SimulatedMachine(f"e{index}", zone, Link(rate), Link(rate), latency_s, between)
        seeds = tuple(list(self.machines)[:3])
        identity = ProcessIdentity(machine.id, zone, zone, seeds)
        addresses = ["10.1.0.1:1", address, *["10.1.0.1:1"] * 4]
        bounds = (1.0, 8.0, self.bound_s, 5.0, 8.0, 0.2, 100.0, 10.0)
        machine.entry = entry = DirectEntry(
            DirectEntrySettings(identity, *addresses, *bounds),
            "op/",
            "up/",
            StoreClient(self.store, machine),
            FleetReader(),
            PlainDialect(),
            None,
        )
        entry.published.on_policy.append(
            lambda policy: machine.taken.append((clock.now_s(), policy.version))
        )
        entry.mesh.open_link = lambda peer, timeout_s: SimulatedLink(self, machine, peer, timeout_s)
        machine.handler = MeshHandler(entry.mesh, entry.pieces)
        self.machines[address] = machine
        entry.start_reading()
        entry.mesh.start()
