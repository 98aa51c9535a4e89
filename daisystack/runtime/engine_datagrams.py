"""Send the status of an engine to nearby entries in datagrams, faster than gossip rounds."""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterable

import eventlet
from attrs import define, field
from eventlet.green import socket as green_socket
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TException
from thrift.transport.TTransport import TMemoryBuffer

from daisystack.core.addresses import Address, parse_address
from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import PeerSilent
from daisystack.runtime.logs import log_event
from daisystack.runtime.tasks import run_steps
from daisystack.wire import mesh
from daisystack.wire.gen import ttypes

__all__ = ["EngineStatusSender", "receive_engine_status"]

MAX_DATAGRAM_BYTES = 1400

_logger = logging.getLogger("daisystack.mesh")


@define(eq=False)
class EngineStatusSender:
    """Send engine statuses in datagrams; a lost one is not resent, as the next replaces it."""

    _sock: socket.socket = field(factory=lambda: _datagram_socket())

    def send(self, status: EngineStatus, addresses: Iterable[str], at_s: float) -> None:
        """Send an engine's status to addresses."""
        body = _encode(mesh.engine_to_wire(status, at_s))
        for text in addresses:
            address = parse_address(text)
            try:
                self._sock.sendto(body, (address.host, address.port))
            except OSError as error:
                log_event(_logger, PeerSilent(text, f"can't send datagram: {error}"), logging.DEBUG)


def receive_engine_status(
    address: Address, table: EngineStatusTable
) -> eventlet.greenthread.GreenThread:
    """Start receiving datagrams with engine statuses; raise OSError if the port can't be bound."""
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind((address.host, address.port))

    def step() -> None:
        body, _ = sock.recvfrom(MAX_DATAGRAM_BYTES)
        wire = _decode(body)
        if wire is not None:
            table.update(mesh.engine_from_wire(wire, now_s()))

    return eventlet.spawn(run_steps, "engine datagrams", step)


def _datagram_socket() -> socket.socket:
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    return sock


def _encode(wire: ttypes.EngineNews) -> bytes:
    buffer = TMemoryBuffer()
    wire.write(TCompactProtocol(buffer))
    return buffer.getvalue()


def _decode(body: bytes) -> ttypes.EngineNews | None:
    wire = ttypes.EngineNews()
    try:
        wire.read(TCompactProtocol(TMemoryBuffer(body)))
        wire.validate()
    except (TException, EOFError, ValueError, TypeError, IndexError) as error:
        log_event(_logger, PeerSilent("datagram", f"can't decode datagram: {error}"))
        return None
    return wire if None not in vars(wire).values() else None
