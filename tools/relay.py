"""Relay TCP connections between two processes; stall, hold, delay or reset them on request."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

from attrs import define, field

from daisystack.core.addresses import Address

__all__ = ["TO_CALLER", "TO_TARGET", "Relay"]

READ_BYTES = 65_536
BACKLOG = 256
HOLD_POLL_S = 0.01
TO_TARGET, TO_CALLER = "to_target", "to_caller"
# Closing a socket with this option resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


@define(eq=False)
class _ProxiedConnection:
    caller: socket.socket
    target: socket.socket
    is_stalled: bool = False
    is_reset: bool = False


@define(eq=False)
class Relay:
    """TCP proxy; stalled connections stay open but forward nothing, new ones work.

    Bytes in a held direction wait until it is released, on new connections too, as on a network
    that drops packets which are then sent again.
    """

    listen: Address
    target: Address
    stalled_count: int = 0
    delay_s: float = 0.0
    held: frozenset[str] = frozenset()
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

    def reset_connections(self) -> int:
        """Reset every open connection on both sides and return how many there were."""
        open_connections = list(self._connections)
        for connection in open_connections:
            connection.is_reset = True
            sockets = (connection.caller, connection.target)
            # Both before a reader wakes, since it closes both.
            for sock in sockets:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            for sock in sockets:
                with contextlib.suppress(OSError):
                    # Wakes the reader of this socket and sends nothing.
                    sock.shutdown(socket.SHUT_RD)
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
            target=self._forward, args=(connection, target, caller, TO_CALLER), daemon=True
        ).start()
        self._forward(connection, caller, target, TO_TARGET)

    def _forward(
        self,
        connection: _ProxiedConnection,
        source: socket.socket,
        sink: socket.socket,
        direction: str,
    ) -> None:
        # Green sockets raise EOFError if the other direction has closed them.
        with contextlib.suppress(OSError, EOFError):
            while data := source.recv(READ_BYTES):
                self._wait_while_held(connection, direction)
                if not connection.is_stalled and not connection.is_reset:
                    sink.sendall(data)
            self._wait_while_held(connection, direction)
        if connection.is_stalled:
            return
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                if connection.is_reset:
                    sock.close()
                else:
                    sock.shutdown(socket.SHUT_RDWR)
        if connection in self._connections:
            self._connections.remove(connection)

    def _wait_while_held(self, connection: _ProxiedConnection, direction: str) -> None:
        if self.delay_s:
            time.sleep(self.delay_s)
        while direction in self.held and not connection.is_reset:
            time.sleep(HOLD_POLL_S)
