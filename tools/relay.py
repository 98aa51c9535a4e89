"""Relay TCP connections between two processes and stall them on request."""

from __future__ import annotations

import contextlib
import socket
import threading

from attrs import define, field

from daisystack.core.addresses import Address

__all__ = ["Relay"]

READ_BYTES = 65_536
BACKLOG = 256


@define(eq=False)
class _ProxiedConnection:
    caller: socket.socket
    target: socket.socket
    is_stalled: bool = False


@define(eq=False)
class Relay:
    """TCP proxy; stalled connections stay open but forward nothing, new ones work."""

    listen: Address
    target: Address
    stalled_count: int = 0
    _connections: list[_ProxiedConnection] = field(factory=list)
    _listener: socket.socket = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._listener = socket.create_server((self.listen.host, self.listen.port), backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    def stall_connections(self) -> int:
        """Stop forwarding on every open connection and return how many were stalled."""
        open_connections = [
            connection for connection in self._connections if not connection.is_stalled
        ]
        for connection in open_connections:
            connection.is_stalled = True
        self.stalled_count += len(open_connections)
        return len(open_connections)

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self._listener.accept()
                threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        try:
            target = socket.create_connection((self.target.host, self.target.port))
        except OSError:
            caller.close()
            return
        for sock in (caller, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _ProxiedConnection(caller, target)
        self._connections.append(connection)
        threading.Thread(
            target=self._forward, args=(connection, target, caller), daemon=True
        ).start()
        self._forward(connection, caller, target)

    def _forward(
        self, connection: _ProxiedConnection, source: socket.socket, sink: socket.socket
    ) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                if not connection.is_stalled:
                    sink.sendall(data)
        if connection.is_stalled:
            return
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        if connection in self._connections:
            self._connections.remove(connection)
