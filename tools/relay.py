"""Stand between two processes on a TCP connection and lose track of it when told to."""

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
class _Pair:
    caller: socket.socket
    target: socket.socket
    is_silent: bool = False


@define(eq=False)
class Relay:
    """Pass bytes on; silenced connections stay open and pass nothing, new ones work."""

    listen: Address
    target: Address
    silenced: int = 0
    _pairs: list[_Pair] = field(factory=list)
    _listener: socket.socket = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._listener = socket.create_server((self.listen.host, self.listen.port), backlog=BACKLOG)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> int:
        """Lose track of every connection that is open now, and return how many."""
        open_pairs = [pair for pair in self._pairs if not pair.is_silent]
        for pair in open_pairs:
            pair.is_silent = True
        self.silenced += len(open_pairs)
        return len(open_pairs)

    def close(self) -> None:
        """Stop listening."""
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
        pair = _Pair(caller, target)
        self._pairs.append(pair)
        threading.Thread(target=self._pump, args=(pair, target, caller), daemon=True).start()
        self._pump(pair, caller, target)

    def _pump(self, pair: _Pair, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while piece := source.recv(READ_BYTES):
                if not pair.is_silent:
                    sink.sendall(piece)
        if pair.is_silent:
            return
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        if pair in self._pairs:
            self._pairs.remove(pair)
