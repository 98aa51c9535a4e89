"""Send one attempt directly to an upstream over HTTP/1.1 and report how far it got."""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
import struct
import termios
from collections.abc import Callable, Iterator

import eventlet
import h11
from attrs import define, field, frozen
from eventlet import hubs
from eventlet.green import socket as green_socket

from daisystack.core.addresses import parse_address
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime.clock import now_s
from daisystack.runtime.turns import Turn
from daisystack.runtime.upstream_http import AttemptFailed

__all__ = ["MAX_BODY_BYTES", "AnswerHead", "DirectExchange"]

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
# Held in memory until the answer is complete, for each of many requests at a time.
MAX_BODY_BYTES = 4 * 1024 * 1024
# An upstream that goes on sending them never answers.
MAX_INTERIM_RESPONSES = 8
# Several round trips between the farthest zones; connecting takes seconds if the upstream's
# accept queue is full.
CONNECT_TIMEOUT_S = 0.4
# Bytes that the upstream host leaves unacknowledged for this long count as lost.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
KEEPALIVE_INTERVAL_S = 1
# An upstream that closes while its request is still being sent resets the connection within this
# time, also from the farthest zone.
RESET_WAIT_S = 0.4
RESET_CHECK_INTERVAL_S = 0.005
# Interval at which an exchange that waits for bytes checks whether to go on.
WAIT_CHECK_INTERVAL_S = 0.2

Headers = list[tuple[bytes, bytes]]

_INT = struct.Struct("i")


@frozen
class AnswerHead:
    """Hold a response's status and headers; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def is_framed(self) -> bool:
        """Return whether the response has a length or chunks, so that its end is part of it."""
        return any(name in (b"content-length", b"transfer-encoding") for name, _ in self.headers)


@define(eq=False)
class DirectExchange:
    """Own one connection that carries one request.

    A connection is never reused, so a late or extra response can't be taken for that of another
    request.
    """

    address: str
    deadline_s: float
    # Called while the exchange waits for bytes; may raise AttemptFailed.
    check_wait: Callable[[], None] = lambda: None
    has_sent: bool = False
    was_reset: bool = False
    # The error that ended the sending; the socket reports it once only.
    _send_error: OSError | None = None
    # False if only the end of the connection ends the response.
    _is_framed: bool = True
    _sock: socket.socket | None = None
    _check_due_s: float = float("-inf")
    _turn: Turn = field(factory=Turn)
    _http: h11.Connection = field(
        factory=lambda: h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    )

    def connect(self) -> None:
        """Connect; raise AttemptFailed on failure, in which case no byte was sent."""
        address = parse_address(self.address)
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(sock)
        sock.settimeout(max(0.001, min(CONNECT_TIMEOUT_S, self.deadline_s - now_s())))
        try:
            sock.connect((address.host, address.port))
        except OSError as error:
            sock.close()
            raise AttemptFailed(AttemptEnd.CONNECT_FAILED, str(error)) from error
        sock.settimeout(None)
        self._sock = sock
        self._turn.restart()

    def check_silent(self) -> None:
        """Raise AttemptFailed if anything has arrived before the request is sent."""
        try:
            data = self._sock.fd.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError as error:
            raise AttemptFailed(AttemptEnd.CONNECT_FAILED, str(error)) from error
        reason = "an answer came before the request" if data else "closed before the request"
        raise AttemptFailed(AttemptEnd.CONNECT_FAILED, reason)

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send the whole request; raise AttemptFailed on failure or at the deadline."""
        request = h11.Request(method=method, target=target, headers=headers)
        out = self._http.send(request)
        if body:
            out += self._http.send(h11.Data(data=body)) or b""
        out += self._http.send(h11.EndOfMessage()) or b""
        self.has_sent = True
        with self._deadline_timeout():
            try:
                self._sock.sendall(out)
            except OSError as error:
                # The upstream may have responded and closed before it read the whole request.
                self.was_reset = True
                self._send_error = error
                if not self._receive_answer_bytes():
                    raise AttemptFailed(AttemptEnd.NO_ANSWER, str(error)) from error

    def read_head(self) -> AnswerHead:
        """Return the response's status and headers; raise AttemptFailed if none arrive."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = self._next_event(AttemptEnd.NO_ANSWER)
            if isinstance(event, h11.Response):
                head = AnswerHead(event.status_code, tuple(event.headers))
                self._is_framed = head.is_framed
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise AttemptFailed(AttemptEnd.NO_ANSWER, "closed without an answer")
        raise AttemptFailed(
            AttemptEnd.NO_ANSWER, f"got more than {MAX_INTERIM_RESPONSES} interim responses"
        )

    def iter_body(self, max_bytes: float = float("inf")) -> Iterator[bytes]:
        """Yield the body as it arrives; raise AttemptFailed if it is truncated or too large."""
        received = 0
        while True:
            event = self._next_event(AttemptEnd.ANSWER_CUT)
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, "closed within the answer")
            received += len(event.data)
            if received > max_bytes:
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, "answer is too large")
            yield bytes(event.data)

    def close(self) -> None:
        """Close the connection; the upstream drops the request when it notices."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.close()
            self._sock = None

    def _next_event(self, end: AttemptEnd) -> object:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise AttemptFailed(end, f"no HTTP answer: {error}") from error
            if event is not h11.NEED_DATA:
                if self._turn.give_way():
                    self._check_time()
                return event
            try:
                data = self._wait_for_bytes()
            except OSError as error:
                self.was_reset = True
                raise AttemptFailed(end, str(error)) from error
            self.was_reset = self.was_reset or not data
            if not data and not self._is_framed:
                self._check_end(end)
            self._http.receive_data(data)

    def _check_end(self, end: AttemptEnd) -> None:
        """Raise AttemptFailed if the end of the connection isn't that of the response.

        An upstream that crashes or resets the connection may close it regularly first, so that the
        reset shows only in what can't be sent any more.
        """
        error = self._send_error or self._pending_error()
        until_s = min(self.deadline_s, now_s() + RESET_WAIT_S)
        while error is None and self._unacknowledged_bytes():
            if now_s() >= until_s:
                raise AttemptFailed(end, "closed before the whole request arrived")
            eventlet.sleep(RESET_CHECK_INTERVAL_S)
            error = self._pending_error()
        if error is not None:
            self.was_reset = True
            raise AttemptFailed(end, str(error))

    def _pending_error(self) -> OSError | None:
        """Return the error that the connection has met and not reported yet."""
        number = self._sock.fd.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return OSError(number, os.strerror(number)) if number else None

    def _unacknowledged_bytes(self) -> int:
        """Return how many sent bytes the upstream's host has not acknowledged."""
        count = fcntl.ioctl(self._sock.fd.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        return _INT.unpack(count)[0]

    def _wait_for_bytes(self) -> bytes:
        while True:
            wait_s = self._check_time()
            with eventlet.Timeout(wait_s, False):
                return self._receive()

    def _check_time(self) -> float:
        """Return how long to wait at most; raise AttemptFailed if the exchange must end."""
        at_s = now_s()
        if at_s >= self.deadline_s:
            raise AttemptFailed(AttemptEnd.DEADLINE, "deadline has passed")
        if at_s >= self._check_due_s:
            # Also while bytes arrive, as they need not be part of an answer.
            self._check_due_s = at_s + WAIT_CHECK_INTERVAL_S
            self.check_wait()
        return min(self.deadline_s, self._check_due_s) - at_s

    def _receive(self) -> bytes:
        """Return the next bytes, or b"" at the end of the stream; raise OSError on a reset.

        The green socket's own recv returns b"" for a reset too, which would look like the regular
        end of a response without a length.
        """
        self._turn.give_way()
        while True:
            try:
                return self._sock.fd.recv(READ_BYTES)
            except BlockingIOError:
                hubs.trampoline(self._sock.fd, read=True)
                self._turn.restart()

    def _receive_answer_bytes(self) -> bool:
        with contextlib.suppress(OSError), eventlet.Timeout(CONNECT_TIMEOUT_S, False):
            data = self._receive()
            self._http.receive_data(data)
            return bool(data)
        return False

    def _deadline_timeout(self) -> eventlet.Timeout:
        left_s = max(0.0, self.deadline_s - now_s())
        return eventlet.Timeout(left_s, AttemptFailed(AttemptEnd.DEADLINE, "deadline has passed"))


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
