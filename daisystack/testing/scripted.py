"""Run scripted answers and connection failures over real sockets."""

from __future__ import annotations

import contextlib
import gc
import socket
import struct
import time
from collections.abc import Callable, Iterator

import eventlet
from attrs import define, field

from daisystack.testing.processor import own_time_s

__all__ = [
    "EndlessAnswer",
    "ScriptedServer",
    "StallProbe",
    "build_answer",
    "send_and_close",
    "answer_with_ticket",
    "free_address",
    "measure_stalls",
    "read_request",
    "reset",
    "stall",
    "read_ticket_header",
]

Script = Callable[[socket.socket], None]
STALL_S = 60.0
READ_BYTES = 65_536
PROBE_INTERVAL_S = 0.005


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def read_request(sock: socket.socket) -> bytes:
    """Read one request with a content length; return a partial one if its head is incomplete."""
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
    """Return the bytes of an HTTP answer; `length` may declare a shorter or longer body."""
    size_bytes = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\nContent-Length: {size_bytes}\r\n{head}\r\n".encode() + body


def answer_with_ticket(body: bytes) -> Script:
    """Return a script that sends a complete answer with the ticket of the request."""

    def script(sock: socket.socket) -> None:
        sock.sendall(build_answer(body, head=f"{read_ticket_header(sock)}\r\n"))

    return script


def read_ticket_header(sock: socket.socket) -> str:
    """Read one request and return its Daisystack-Ticket header line."""
    lines = read_request(sock).decode().split("\r\n")
    return next(line for line in lines if line.lower().startswith("daisystack-ticket:"))


def send_and_close(sent: bytes, after_request: bool = True) -> Script:
    """Return a script that sends the given bytes and closes the connection."""

    def script(sock: socket.socket) -> None:
        if after_request:
            read_request(sock)
        sock.sendall(sent)

    return script


def reset(after_bytes: int) -> Script:
    """Return a script that reads up to `after_bytes` bytes and resets the connection."""

    def script(sock: socket.socket) -> None:
        if after_bytes:
            sock.recv(after_bytes)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    return script


def stall(sent: bytes = b"") -> Script:
    """Return a script that sends the given bytes, then keeps the connection open and idle."""

    def script(sock: socket.socket) -> None:
        read_request(sock)
        sock.sendall(sent)
        eventlet.sleep(STALL_S)

    return script


@define(eq=False)
class EndlessAnswer:
    """Script that sends a head and then the same block until the peer closes."""

    head: bytes
    block: bytes
    interval_s: float = 0.0
    sent_bytes: int = 0
    is_closed: bool = False

    def __call__(self, sock: socket.socket) -> None:
        """Answer one request."""
        read_request(sock)
        sock.sendall(self.head)
        # The rest of a block is not copied while its sending waits.
        block = memoryview(self.block)
        try:
            while True:
                sock.sendall(block)
                self.sent_bytes += len(self.block)
                eventlet.sleep(self.interval_s)
        finally:
            self.is_closed = True


@define
class StallProbe:
    """Longest time for which this process held up a green thread that was due."""

    longest_s: float = 0.0


@contextlib.contextmanager
def measure_stalls() -> Iterator[StallProbe]:
    """Measure how long other green threads are held up while the block runs.

    Time in which the thread got no processor is not counted. Collections of garbage leave out the
    objects that exist before the block, as they do in processes of the system.
    """
    probe = StallProbe()
    gc.collect()
    gc.freeze()

    def watch() -> None:
        while True:
            began_s, own_began_s = time.monotonic(), own_time_s()
            eventlet.sleep(PROBE_INTERVAL_S)
            held_s = time.monotonic() - began_s - PROBE_INTERVAL_S
            probe.longest_s = max(probe.longest_s, min(held_s, own_time_s() - own_began_s))

    watcher = eventlet.spawn(watch)
    eventlet.sleep(0)
    try:
        yield probe
        eventlet.sleep(0)
    finally:
        watcher.kill()
        gc.unfreeze()


@define(eq=False)
class ScriptedServer:
    """TCP server that runs one script per connection and repeats the last one."""

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
        # A green thread left waiting would act on the next socket that gets the same descriptor.
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
