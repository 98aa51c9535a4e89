"""Serve scripted answers over real sockets."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

import eventlet
from attrs import define, field

__all__ = [
    "ScriptedServer",
    "build_answer",
    "send_and_close",
    "answer_with_ticket",
    "free_address",
    "read_request",
    "reset",
    "stall",
    "read_ticket_header",
]

Script = Callable[[socket.socket], None]
STALL_S = 60.0
READ_BYTES = 65_536


def free_address() -> str:
    """Return an address on which nothing listens."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def read_request(sock: socket.socket) -> bytes:
    """Read one whole request with a content length."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(READ_BYTES)
        if not data:
            return received
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.lower().split(b"\r\n")
    length = next((int(ln.split(b":")[1]) for ln in lines if ln.startswith(b"content-length")), 0)
    while len(body) < length:
        body += sock.recv(READ_BYTES)
    return head + b"\r\n\r\n" + body


def build_answer(body: bytes, status: str = "200 OK", head: str = "", length: int | None = None):
    """Return bytes of an HTTP answer; a length other than the body's makes it cut or overlong."""
    size_bytes = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\nContent-Length: {size_bytes}\r\n{head}\r\n".encode() + body


def answer_with_ticket(body: bytes) -> Script:
    """Return a script that answers whole and names the request's own ticket."""

    def script(sock: socket.socket) -> None:
        sock.sendall(build_answer(body, head=f"{read_ticket_header(sock)}\r\n"))

    return script


def read_ticket_header(sock: socket.socket) -> str:
    """Read one request and return its ticket header."""
    lines = read_request(sock).decode().split("\r\n")
    return next(line for line in lines if line.lower().startswith("daisystack-ticket:"))


def send_and_close(sent: bytes, after_request: bool = True) -> Script:
    """Return a script that sends some bytes and closes the connection."""

    def script(sock: socket.socket) -> None:
        if after_request:
            read_request(sock)
        sock.sendall(sent)

    return script


def reset(after_bytes: int) -> Script:
    """Return a script that reads some bytes and resets the connection."""

    def script(sock: socket.socket) -> None:
        if after_bytes:
            sock.recv(after_bytes)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    return script


def stall(sent: bytes = b"") -> Script:
    """Return a script that sends some bytes and then nothing, with the connection open."""

    def script(sock: socket.socket) -> None:
        read_request(sock)
        sock.sendall(sent)
        eventlet.sleep(STALL_S)

    return script


@define(eq=False)
class ScriptedServer:
    """Run one script per connection, the last one again when the list is used up."""

    scripts: list[Script]
    connections: int = 0
    closed_by_peer: int = 0
    address: str = field(init=False)
    _listener: socket.socket = field(init=False)
    _acceptor: eventlet.greenthread.GreenThread = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._acceptor = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop listening."""
        # A reader left behind would meet whatever is opened next under the same number.
        self._acceptor.kill()
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                script = self.scripts[min(self.connections, len(self.scripts) - 1)]
                self.connections += 1
                eventlet.spawn(self._serve, script, sock)

    def _serve(self, script: Script, sock: socket.socket) -> None:
        try:
            script(sock)
        except OSError:
            self.closed_by_peer += 1
        finally:
            sock.close()
