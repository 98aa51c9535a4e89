"""Send the status of engines to entries in datagrams, faster than gossip rounds."""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterable, Sequence

import eventlet
from attrs import define, field
from eventlet.green import socket as green_socket
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from daisystack.core.addresses import Address, parse_address
from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.core.gossip_peers import RELAY_DUTY, RELAYS_PER_ZONE
from daisystack.core.membership import Member
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import PeerSilent
from daisystack.runtime.logs import log_event
from daisystack.runtime.mesh_task import MeshTask
from daisystack.runtime.tasks import run_steps
from daisystack.wire import mesh
from daisystack.wire.gen import ttypes

__all__ = ["EngineRelay", "EngineStatusSender"]

MAX_DATAGRAM_BYTES = 1400
# A status takes about 90 bytes.
STATUSES_PER_DATAGRAM = 12
# Two relays per zone send in turn, so another zone gets a status twice in the time for which it
# shows an engine's load.
RELAY_INTERVAL_S = 0.4

_logger = logging.getLogger("daisystack.mesh")


@define(eq=False)
class EngineStatusSender:
    """Send engine statuses in datagrams; a lost one is not resent, as the next replaces it."""

    _sock: socket.socket = field(factory=lambda: _datagram_socket())

    def send(
        self,
        statuses: Sequence[EngineStatus],
        addresses: Iterable[str],
        at_s: float,
        is_direct: bool = False,
        must_forward: bool = False,
    ) -> None:
        """Send statuses to addresses; is_direct if the sender is the agent of their engine.

        A receiver that must forward sends them to its zone.
        """
        targets = list(addresses)
        for start in range(0, len(statuses), STATUSES_PER_DATAGRAM):
            batch = statuses[start : start + STATUSES_PER_DATAGRAM]
            reports = ttypes.EngineReports(
                [mesh.engine_to_wire(status, at_s) for status in batch], is_direct, must_forward
            )
            self._send_all(_encode(reports), targets)

    def _send_all(self, body: bytes, addresses: Iterable[str]) -> None:
        for text in addresses:
            address = parse_address(text)
            try:
                self._sock.sendto(body, (address.host, address.port))
            except OSError as error:
                log_event(_logger, PeerSilent(text, f"can't send datagram: {error}"), logging.DEBUG)


@define(eq=False)
class EngineRelay:
    """Receive engine statuses; pass those of this zone to other zones, and theirs to this zone.

    Only the relays of a zone pass statuses on, so few datagrams cross the links between regions.
    """

    table: EngineStatusTable
    mesh_task: MeshTask
    _sender: EngineStatusSender = field(factory=EngineStatusSender)

    def start(self, address: Address) -> None:
        """Start to receive and relay; raise OSError if the port can't be bound."""
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((address.host, address.port))
        eventlet.spawn(run_steps, "engine datagrams", lambda: self._receive(sock))
        eventlet.spawn(run_steps, "engine relay", self._relay)

    def _receive(self, sock: green_socket.socket) -> None:
        body, _ = sock.recvfrom(MAX_DATAGRAM_BYTES)
        reports = _decode(body)
        if reports is None:
            return
        at_s = now_s()
        statuses = [mesh.engine_from_wire(wire, at_s) for wire in reports.engines]
        for status in statuses:
            self.table.update(status, is_direct=reports.direct)
        if reports.forward:
            entries = self.mesh_task.live_entries(at_s)
            self._sender.send(statuses, _addresses_in(entries, self.mesh_task.own.zone), at_s)

    def _relay(self) -> None:
        eventlet.sleep(RELAY_INTERVAL_S)
        at_s = now_s()
        rank = self.mesh_task.rank_in_zone(RELAY_DUTY, at_s)
        statuses = self.table.recent_direct(at_s)
        if rank >= RELAYS_PER_ZONE or not statuses:
            return
        by_zone: dict[str, list[Member]] = {}
        for member in self.mesh_task.live_entries(at_s):
            if member.zone != self.mesh_task.own.zone:
                by_zone.setdefault(member.zone, []).append(member)
        # Different relays send to different entries, so one failed receiver does not stop both.
        chosen = [members[rank % len(members)].news_address for members in by_zone.values()]
        self._sender.send(statuses, filter(None, chosen), at_s, must_forward=True)


def _addresses_in(members: Iterable[Member], zone: str) -> list[str]:
    return [m.news_address for m in members if m.zone == zone and m.news_address]


def _datagram_socket() -> socket.socket:
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    return sock


def _encode(reports: ttypes.EngineReports) -> bytes:
    buffer = TMemoryBuffer()
    reports.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def _decode(body: bytes) -> ttypes.EngineReports | None:
    reports = ttypes.EngineReports()
    try:
        reports.read(TBinaryProtocolAccelerated(TMemoryBuffer(body)))
    except (TException, EOFError, ValueError, TypeError, IndexError) as error:
        log_event(_logger, PeerSilent("datagram", f"can't decode datagram: {error}"))
        return None
    is_complete = reports.engines is not None and all(
        None not in vars(wire).values() for wire in reports.engines
    )
    return reports if is_complete else None
