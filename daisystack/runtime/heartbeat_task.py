"""Exchange heartbeats, which carry statuses, with a bounded number of peers."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Iterable

import eventlet
from attrs import define, field
from eventlet.event import Event

from daisystack.core.config_keeper import AcceptedConfig
from daisystack.core.peers import PeerState, PeerStatus, PeerTable
from daisystack.core.register import SiteDocument
from daisystack.runtime.clock import now_s
from daisystack.runtime.config_task import ConfigTask, PeerQueried, RevisionObserved
from daisystack.runtime.peer_link import PeerError, PeerLink
from daisystack.runtime.tasks import run_logged, run_steps
from daisystack.wire.convert import status_from_wire, status_to_wire

__all__ = ["HEARTBEAT_INTERVAL_S", "HeartbeatTask"]

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.5
GOSSIP_FANOUT = 4
MAX_FOLLOWERS = 64
MAX_PARALLEL_EXCHANGES = 32
FOLLOWER_LIFETIME_S = 5.0
MIN_PAUSE_S = 2.0

_logger = logging.getLogger("daisystack.heartbeats")


@define(eq=False)
class _Neighbor:
    address: str
    wake: Event = field(factory=Event)
    is_wanted: bool = True


@define(eq=False)
class HeartbeatTask:
    """Own the peer table and one link per neighbor; exchange with other peers at random.

    A follower is a peer that sent a heartbeat to this process.
    """

    own_id: str
    config: ConfigTask
    seeds: tuple[str, ...]
    own_status: Callable[[float], PeerStatus]
    choose_neighbors: Callable[[SiteDocument, str], list[str]]
    on_heartbeat: list[Callable[[PeerStatus], None]] = field(factory=list)
    peers: PeerTable = field(factory=PeerTable)
    sent_count: int = 0
    _neighbors: dict[str, _Neighbor] = field(factory=dict)
    _followers: dict[str, float] = field(factory=dict)
    _last_tick_s: float = field(factory=now_s)

    def start(self) -> None:
        """Query the seeds and start exchanging statuses with random peers."""
        self.config.on_accepted.append(self._apply_config)
        for seed in self.seeds:
            eventlet.spawn(self._query_seed, seed)
        eventlet.spawn(run_steps, "random exchanges", self._exchange_with_random)

    def state(self, instance_id: str) -> PeerState:
        """Return the liveness of a peer at the current time."""
        self._detect_pause()
        return self.peers.state(instance_id, now_s())

    def apply_heartbeat(self, status: PeerStatus) -> None:
        """Apply a status that a peer sent in a request or a response, and notify listeners."""
        at_s = now_s()
        self.peers.apply_heartbeat(status, at_s)
        self.config.record_service_age(status.service_age_s, at_s)
        self.config.record_peer_revision(status.revision, at_s)
        if status.revision > self.config.keeper.revision:
            address = self._address_of(status.instance_id)
            if address is not None:
                self.config.inbox.put(RevisionObserved(address, status.revision))
        for listener in self.on_heartbeat:
            run_logged("heartbeat listener", listener, status)

    def receive_exchange(self, status: PeerStatus) -> None:
        """Apply the status from a peer's request and record the peer as a follower."""
        self._followers.pop(status.instance_id, None)
        self._followers[status.instance_id] = now_s()
        if len(self._followers) > MAX_FOLLOWERS:
            self._followers.pop(next(iter(self._followers)))
        self.apply_heartbeat(status)

    def exchange_with(self, instance_ids: Iterable[str]) -> list[PeerStatus]:
        """Exchange statuses with peers now and return the statuses of those that answer."""
        addresses = [self._address_of(instance_id) for instance_id in instance_ids]
        pool = eventlet.GreenPool(MAX_PARALLEL_EXCHANGES)
        answers = pool.imap(self._exchange_once, [a for a in addresses if a is not None])
        return [status for status in answers if status is not None]

    def broadcast_status(self) -> None:
        """Send the status of this process to all neighbors and recent followers immediately."""
        for neighbor in self._neighbors.values():
            if not neighbor.wake.ready():
                neighbor.wake.send()
        recent_s = now_s() - FOLLOWER_LIFETIME_S
        for instance_id, exchanged_s in self._followers.items():
            address = self._address_of(instance_id)
            if address and exchanged_s > recent_s and instance_id not in self._neighbors:
                eventlet.spawn(self._exchange_once, address)

    def _detect_pause(self) -> None:
        # A paused process receives nothing, so its pause must not count as silence of its peers.
        gap_s = now_s() - self._last_tick_s
        self._last_tick_s = now_s()
        if gap_s > MIN_PAUSE_S:
            self.peers.shift_times(gap_s)

    def _address_of(self, instance_id: str) -> str | None:
        current = self.config.keeper.current
        instance = current.document.instances.get(instance_id) if current else None
        return instance.peer_address if instance else None

    def _apply_config(self, config: AcceptedConfig) -> None:
        self._set_neighbors(config.document)
        self.peers.forget_all_but(frozenset(config.document.instances))
        self.broadcast_status()
        addresses = [
            i.peer_address for i in config.document.instances.values() if i.id != self.own_id
        ]
        for address in random.sample(addresses, min(GOSSIP_FANOUT, len(addresses))):
            eventlet.spawn(self._exchange_once, address)

    def _set_neighbors(self, document: SiteDocument) -> None:
        wanted: dict[str, str] = {}
        if self.own_id in document.instances:
            for instance_id in self.choose_neighbors(document, self.own_id):
                instance = document.instances.get(instance_id)
                if instance is not None and instance_id != self.own_id:
                    wanted[instance_id] = instance.peer_address
        for instance_id in list(self._neighbors):
            if wanted.get(instance_id) != self._neighbors[instance_id].address:
                self._neighbors.pop(instance_id).is_wanted = False
        for instance_id, address in wanted.items():
            if instance_id not in self._neighbors:
                neighbor = _Neighbor(address)
                self._neighbors[instance_id] = neighbor
                eventlet.spawn(self._send_heartbeats, instance_id, neighbor)

    def _send_heartbeats(self, instance_id: str, neighbor: _Neighbor) -> None:
        link = PeerLink(neighbor.address, timeout_s=HEARTBEAT_TIMEOUT_S)
        while neighbor.is_wanted:
            self._detect_pause()
            self.peers.record_heartbeat_sent(instance_id, now_s())
            run_logged("heartbeat", self._exchange, link)
            with eventlet.Timeout(HEARTBEAT_INTERVAL_S * random.uniform(0.9, 1.1), False):
                neighbor.wake.wait()
            if neighbor.wake.ready():
                neighbor.wake = Event()
        link.close()

    def _exchange(self, link: PeerLink) -> PeerStatus | None:
        self.sent_count += 1
        try:
            answer = link.call("exchange", status_to_wire(self.own_status(now_s())))
        except PeerError:
            return None
        status = status_from_wire(answer)
        self.apply_heartbeat(status)
        return status

    def _exchange_once(self, address: str) -> PeerStatus | None:
        link = PeerLink(address, timeout_s=HEARTBEAT_TIMEOUT_S)
        try:
            return self._exchange(link)
        finally:
            link.close()

    def _query_seed(self, seed: str) -> None:
        status = self._exchange_once(seed)
        revision = status.revision if status is not None else None
        self.config.inbox.put(PeerQueried(seed, revision))

    def _exchange_with_random(self) -> None:
        eventlet.sleep(HEARTBEAT_INTERVAL_S * random.uniform(0.9, 1.1))
        self._detect_pause()
        address = self._random_address()
        if address is not None:
            eventlet.spawn(self._exchange_and_report, address)

    def _exchange_and_report(self, address: str) -> None:
        status = self._exchange_once(address)
        if status is not None and status.revision > self.config.keeper.revision:
            self.config.inbox.put(RevisionObserved(address, status.revision))

    def _random_address(self) -> str | None:
        current = self.config.keeper.current
        instances = list(current.document.instances.values()) if current else []
        peer_addresses = [i.peer_address for i in instances if i.id != self.own_id]
        # After a long suspension the seeds may be the only addresses that are still valid.
        choices = peer_addresses + list(self.seeds)
        return random.choice(choices) if choices else None
