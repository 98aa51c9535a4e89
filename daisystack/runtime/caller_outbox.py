"""Send bytes to a caller without waiting for one that reads slowly, up to a bound."""

from __future__ import annotations

import contextlib
import socket

import eventlet
from attrs import define, field
from eventlet import hubs
from eventlet.greenthread import GreenThread

from daisystack.core.held_bytes import HeldBytes, Holding

__all__ = ["CallerGone", "CallerOutbox"]

# A caller that reads nothing of its response for this long is treated as disconnected.
SEND_TIMEOUT_S = 10.0
# Holds a usual answer whole, so that its upstream, which cuts off unread answers, can finish.
MAX_PENDING_BYTES = 256 * 1024


class CallerGone(Exception):
    """Raised when the caller has closed its connection or stopped reading."""


@define(eq=False)
class CallerOutbox:
    """Own the writing side of a caller's connection; every method may raise CallerGone."""

    sock: socket.socket
    budget: HeldBytes
    _pending: bytearray = field(factory=bytearray)
    _holding: Holding = field(init=False)
    _flusher: GreenThread | None = None
    _failure: str = ""

    def __attrs_post_init__(self) -> None:
        self._holding = Holding(self.budget)

    def send(self, data: bytes) -> None:
        """Send bytes, or keep them for later; wait only when no more can be kept."""
        self._check_failure()
        if not self._pending:
            data = data[self._send_some(data) :]
            if not data:
                return
        has_room = len(self._pending) + len(data) <= MAX_PENDING_BYTES
        if has_room and self._holding.try_grow(len(data)):
            self._pending += data
            if self._flusher is None:
                self._flusher = eventlet.spawn(self._flush)
            return
        self.flush()
        self._send_all(data)

    def flush(self) -> None:
        """Wait until all bytes are sent."""
        if self._flusher is not None:
            self._flusher.wait()
        self._check_failure()

    def close(self) -> None:
        """Drop the bytes that are not sent yet."""
        if self._flusher is not None:
            self._flusher.kill()
        self._flusher = None
        self._pending.clear()
        self._holding.release()

    def _flush(self) -> None:
        try:
            while self._pending:
                sent = self._send_some(self._pending)
                if not sent:
                    self._wait_until_writable()
                    continue
                del self._pending[:sent]
                self._holding.shrink(sent)
        except CallerGone as gone:
            self._failure = str(gone)
        finally:
            self._flusher = None

    def _send_all(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            sent = self._send_some(left)
            if not sent:
                self._wait_until_writable()
            left = left[sent:]

    def _send_some(self, data: bytes | bytearray | memoryview) -> int:
        """Return how many bytes the kernel took, 0 if it has no room."""
        try:
            with contextlib.suppress(BlockingIOError):
                return self.sock.fd.send(data)
        except OSError as error:
            raise CallerGone(str(error)) from error
        return 0

    def _wait_until_writable(self) -> None:
        with eventlet.Timeout(SEND_TIMEOUT_S, CallerGone(f"read nothing for {SEND_TIMEOUT_S} s")):
            try:
                hubs.trampoline(self.sock.fd, write=True)
            except OSError as error:
                raise CallerGone(str(error)) from error

    def _check_failure(self) -> None:
        if self._failure:
            raise CallerGone(self._failure)
