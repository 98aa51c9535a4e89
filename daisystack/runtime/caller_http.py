"""Serve callers over HTTP/1.1 with strict framing, one task per connection."""

from __future__ import annotations

import contextlib
import logging
import socket
from collections.abc import Callable

import eventlet
import eventlet.greenthread
import h11
from attrs import define, field, frozen

from daisystack.core.addresses import Address
from daisystack.core.held_bytes import HeldBytes, Holding
from daisystack.core.traffic import CallerLimits
from daisystack.runtime.caller_outbox import CallerGone, CallerOutbox
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import CallerRefused
from daisystack.runtime.logs import log_event
from daisystack.runtime.turns import Turn

__all__ = ["CallerGone", "CallerServer", "InboundRequest", "Responder"]

READ_BYTES = 65_536
# Pause after a failed accept, so that open connections can end first.
ACCEPT_PAUSE_S = 0.01
# Length of the kernel's queue of connections not yet accepted.
BACKLOG = 1024
# Held bytes are given back as answers end, in some tenths of a second.
RETRY_AFTER_PRESSURE_S = 1.0
# Limit of bytes read ahead from a caller that pipelines requests.
MAX_PIPELINED_BYTES = 65_536
# Colon, space, CR and LF of one header line.
HEADER_SEPARATOR_BYTES = 4
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

Headers = list[tuple[bytes, bytes]]

_logger = logging.getLogger("daisystack.callers")


class _Refused(Exception):
    """Raised to refuse a caller's bytes with a status and close its connection."""

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s


@frozen
class InboundRequest:
    """Hold one complete request as received; header names are in lower case."""

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_s: float


@define(eq=False)
class Responder:
    """Send one response; every method raises CallerGone if it can't be sent."""

    _connection: _Connection
    has_started: bool = False
    is_done: bool = False

    def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its Content-Length."""
        self.send_head(status, [*headers, (b"Content-Length", str(len(body)).encode())])
        if body and self._connection.allows_body:
            self.send_data(body)
        self.finish()

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers; without a Content-Length the body is sent chunked."""
        self.has_started = True
        self._connection.send_head(status, headers)

    def send_data(self, body: bytes) -> None:
        """Send a part of the body without buffering."""
        self._connection.send(h11.Data(data=body))

    def finish(self) -> None:
        """Mark the end of the response and wait until it is sent."""
        self._connection.send(h11.EndOfMessage())
        self._connection.outbox.flush()
        self.is_done = True


Handler = Callable[[InboundRequest, Responder], None]


@define(eq=False)
class CallerServer:
    """Accept callers' connections and track those open and the requests in progress."""

    address: Address
    handler: Handler
    limits: Callable[[], CallerLimits]
    is_leaving: Callable[[], bool]
    held: HeldBytes = field(factory=HeldBytes)
    in_progress: int = 0
    accepted_count: int = 0
    _connections: set[_Connection] = field(factory=set)

    def start(self) -> None:
        """Start listening; raise OSError if the address can't be bound."""
        listener = eventlet.listen((self.address.host, self.address.port), backlog=BACKLOG)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        eventlet.spawn(self._accept, listener)

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as error:
                # Out of file descriptors, or the caller has already disconnected.
                log_event(_logger, CallerRefused(0, f"accept: {error}"))
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            self.accepted_count += 1
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        connection = _Connection(self, sock)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


@define(eq=False)
class _Connection:
    server: CallerServer
    sock: socket.socket
    http: h11.Connection = field(init=False)
    outbox: CallerOutbox = field(init=False)
    allows_body: bool = True
    _body_bytes: Holding = field(init=False)
    _is_idle: bool = True
    _pipelined: bytearray = field(factory=bytearray)
    _is_closed_by_caller: bool = False

    def __attrs_post_init__(self) -> None:
        limit = self.server.limits().max_head_bytes
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        self.outbox = CallerOutbox(self.sock, self.server.held)
        self._body_bytes = Holding(self.server.held)
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        """Serve requests until the connection is closed."""
        try:
            while self._serve_one():
                self.http.start_next_cycle()
        except (CallerGone, OSError):
            pass
        finally:
            self.outbox.close()
            self._body_bytes.release()
            with contextlib.suppress(OSError):
                self.sock.close()

    def close_if_idle(self) -> None:
        """Shut the connection down unless a request is in progress or partly received."""
        if self._is_idle:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)

    def send_head(self, status: int, headers: Headers) -> None:
        """Send the status and headers, with Connection: close while the entry is leaving."""
        if self.server.is_leaving():
            headers = [*headers, (b"Connection", b"close")]
        reason = REASON_PHRASES.get(status, b"")
        self.send(h11.Response(status_code=status, headers=headers, reason=reason))

    def send(self, event: h11.Event) -> None:
        """Send one part of a response; raise CallerGone if the caller can't be reached."""
        out = self.http.send(event)
        if out:
            self.outbox.send(out)

    def _serve_one(self) -> bool:
        try:
            request = self._read_request()
        except _Refused as refused:
            self._refuse(refused)
            return False
        if request is None:
            return False
        responder = Responder(self)
        self.server.in_progress += 1
        watcher = eventlet.spawn(self._watch_for_disconnect, eventlet.getcurrent())
        try:
            self.server.handler(request, responder)
        finally:
            watcher.kill()
            self.server.in_progress -= 1
            self._body_bytes.release()
        if not responder.is_done or self._is_closed_by_caller:
            return False
        self._is_idle = True
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def _read_request(self) -> InboundRequest | None:
        limits = self.server.limits()
        head = self._read_head(limits)
        if head is None:
            return None
        arrived_s = now_s()
        _check_framing(head)
        _check_size(head, limits.max_head_bytes)
        self.allows_body = head.method != b"HEAD"
        self._check_room(head)
        body = self._read_body(limits)
        target = head.target.decode("latin-1")
        return InboundRequest(
            head.method.decode("latin-1"), target, tuple(head.headers), body, arrived_s
        )

    def _read_head(self, limits: CallerLimits) -> h11.Request | None:
        deadline_s = now_s() + limits.idle_timeout_s
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            has_bytes = bool(self.http.trailing_data[0])
            if has_bytes and self._is_idle:
                self._is_idle = False
                deadline_s = now_s() + limits.head_timeout_s
            if not self._receive(deadline_s):
                if has_bytes and not self._is_closed_by_caller:
                    raise _Refused(408, "head not received in time")
                return None
            self._is_idle = False

    def _read_body(self, limits: CallerLimits) -> bytes:
        body = bytearray()
        deadline_s = now_s() + limits.idle_timeout_s
        turn = Turn()
        while True:
            turn.give_way()
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.Data):
                self._hold(len(event.data))
                body += event.data
                if len(body) > limits.max_body_bytes:
                    raise _Refused(413, f"body exceeds {limits.max_body_bytes} bytes")
                continue
            if event is not h11.NEED_DATA:
                raise CallerGone("closed in the middle of the request body")
            if self.http.they_are_waiting_for_100_continue:
                self.send(h11.InformationalResponse(status_code=100, headers=[]))
            if not self._receive(deadline_s):
                if self._is_closed_by_caller:
                    raise CallerGone("closed in the middle of the request body")
                raise _Refused(408, "body not received in time")

    def _check_room(self, head: h11.Request) -> None:
        """Refuse a body that doesn't fit before any of it is read."""
        lengths = [int(value) for name, value in head.headers if name == b"content-length"]
        if lengths and not self.server.held.fits(lengths[0]):
            raise _Refused(503, "too many bytes are held", RETRY_AFTER_PRESSURE_S)

    def _hold(self, count_bytes: int) -> None:
        if not self._body_bytes.try_grow(count_bytes):
            raise _Refused(503, "too many bytes are held", RETRY_AFTER_PRESSURE_S)

    def _next_event(self) -> object:
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise _Refused(error.error_status_hint, str(error)) from error

    def _receive(self, deadline_s: float) -> bool:
        """Read more bytes; return False if none arrived by the deadline or the caller closed."""
        if self._pipelined:
            self.http.receive_data(bytes(self._pipelined))
            self._pipelined.clear()
            return True
        left_s = deadline_s - now_s()
        if self._is_closed_by_caller or left_s <= 0:
            return False
        with eventlet.Timeout(left_s, False):
            data = self.sock.recv(READ_BYTES)
            self._is_closed_by_caller = not data
            self.http.receive_data(data)
            return bool(data)
        return False

    def _watch_for_disconnect(self, handler_task: object) -> None:
        """Kill the handler when the caller closes during its request; buffer pipelined bytes."""
        while len(self._pipelined) < MAX_PIPELINED_BYTES:
            try:
                data = self.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self._is_closed_by_caller = True
                eventlet.kill(handler_task, CallerGone("closed the connection"))
                return
            self._pipelined += data

    def _refuse(self, refused: _Refused) -> None:
        log_event(_logger, CallerRefused(refused.status, str(refused)))
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = f'{{"error": "{refused.status}"}}\n'.encode()
        headers = [(b"Content-Length", str(len(body)).encode()), (b"Connection", b"close")]
        if refused.retry_after_s is not None:
            headers.append((b"Retry-After", f"{refused.retry_after_s:.2f}".encode()))
        with contextlib.suppress(CallerGone, h11.LocalProtocolError):
            self.send_head(refused.status, headers)
            self.send(h11.Data(data=body))
            self.send(h11.EndOfMessage())
            self.outbox.flush()


def _check_size(head: h11.Request, max_bytes: int) -> None:
    """Refuse a head over the limit that h11 accepted because it arrived complete."""
    size_bytes = len(head.method) + len(head.target)
    size_bytes += sum(
        len(name) + len(value) + HEADER_SEPARATOR_BYTES for name, value in head.headers
    )
    if size_bytes > max_bytes:
        raise _Refused(431, f"head exceeds {max_bytes} bytes")


def _check_framing(head: h11.Request) -> None:
    """Refuse heads that another HTTP parser may frame differently (request smuggling)."""
    names = [name for name, _ in head.headers]
    if names.count(b"transfer-encoding") and names.count(b"content-length"):
        raise _Refused(400, "both Content-Length and Transfer-Encoding")
    if names.count(b"transfer-encoding") > 1 or names.count(b"host") > 1:
        raise _Refused(400, "Transfer-Encoding or Host is repeated")
