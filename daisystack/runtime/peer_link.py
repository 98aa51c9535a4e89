"""Thrift client and server for calls between peers."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
from attrs import define, field
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from daisystack.core.addresses import Address, parse_address
from daisystack.wire.gen import Peer

__all__ = ["LinkPool", "PeerError", "PeerLink", "mesh_link", "serve_peers"]

CONNECT_TIMEOUT_S = 1.0
# A disconnected machine must not delay news and pieces that other peers can send.
MESH_CONNECT_TIMEOUT_S = 0.5
# An answer whose bytes keep arriving gets this much longer than each wait for bytes.
TRANSFER_TIMEOUT_S = 5.0
MS_PER_S = 1000

_logger = logging.getLogger("daisystack.peers")


class PeerError(Exception):
    """Raised when a call to a peer fails; the link is closed and the next call reconnects."""


@define
class PeerLink:
    """Connection to one peer, for use by one task at a time.

    timeout_s limits each wait for bytes; a whole call may take TRANSFER_TIMEOUT_S longer.
    """

    address: str
    timeout_s: float = 2.0
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    _transport: TFramedTransport | None = None
    _client: Peer.Client | None = None

    def call(self, method: str, *arguments):
        """Call a method of the peer; raise PeerError on any failure or timeout."""
        limit = eventlet.Timeout(self.timeout_s + TRANSFER_TIMEOUT_S)
        try:
            if self._client is None:
                self._connect()
            return getattr(self._client, method)(*arguments)
        except (TException, OSError, ValueError, EOFError) as error:
            self.close()
            raise PeerError(f"{method} at {self.address}: {error}") from error
        except BaseException as error:
            # The next call must not read the rest of an unfinished answer.
            self.close()
            if error is limit:
                raise PeerError(f"{method} at {self.address}: not complete in time") from None
            raise
        finally:
            limit.cancel()

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()
        self._transport = None
        self._client = None

    def _connect(self) -> None:
        address = parse_address(self.address)
        sock = TSocket(address.host, address.port)
        sock.setTimeout(self.connect_timeout_s * MS_PER_S)
        self._transport = TFramedTransport(sock)
        self._transport.open()
        sock.setTimeout(self.timeout_s * MS_PER_S)
        self._client = Peer.Client(TBinaryProtocolAccelerated(self._transport))


@define(eq=False)
class LinkPool:
    """Links to peers that tasks use one after the other, at most one task a link at a time."""

    open_link: Callable[[str, float], PeerLink]
    timeout_s: float
    is_closed: bool = False
    _idle: dict[str, list[PeerLink]] = field(factory=dict)

    @contextmanager
    def borrow(self, address: str) -> Iterator[PeerLink]:
        """Lend a link to a peer for the time of a with statement."""
        idle = self._idle.setdefault(address, [])
        link = idle.pop() if idle else self.open_link(address, self.timeout_s)
        try:
            yield link
        finally:
            if self.is_closed:
                link.close()
            else:
                idle.append(link)

    def close(self) -> None:
        """Close all links; those that are lent are closed when they come back."""
        self.is_closed = True
        for links in self._idle.values():
            for link in links:
                link.close()
        self._idle.clear()


def mesh_link(address: str, timeout_s: float) -> PeerLink:
    """Return a link with a short connect timeout for machines that do not answer."""
    return PeerLink(address, timeout_s, MESH_CONNECT_TIMEOUT_S)


@define
class _PeerConnections:
    processor: Peer.Processor
    open_count: int = field(default=0)

    def serve(self, sock, remote) -> None:
        self.open_count += 1
        socket_transport = TSocket()
        socket_transport.setHandle(sock)
        transport = TFramedTransport(socket_transport)
        protocol = TBinaryProtocolAccelerated(transport)
        try:
            while True:
                self.processor.process(protocol, protocol)
        except (TTransportException, OSError, EOFError):
            pass
        except TException as error:
            _logger.warning("peer_spoke_badly", extra={"remote": str(remote), "error": str(error)})
        finally:
            self.open_count -= 1
            transport.close()


def serve_peers(address: Address, handler) -> eventlet.greenthread.GreenThread:
    """Serve the Peer interface on an address; raise OSError if it can't be bound."""
    listener = eventlet.listen((address.host, address.port), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connections = _PeerConnections(Peer.Processor(handler))
    return eventlet.spawn(eventlet.serve, listener, connections.serve, 4096)
