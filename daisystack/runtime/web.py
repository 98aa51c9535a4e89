"""Serve HTTP through eventlet's WSGI server with typed requests and responses."""

from __future__ import annotations

import json
import logging
import socket
from collections.abc import Callable, Generator, Iterable, Iterator
from urllib.parse import parse_qsl, unquote

import eventlet
import eventlet.wsgi
from attrs import define, field, frozen

from daisystack.core.addresses import Address

__all__ = [
    "BadRequest",
    "BodyTooLarge",
    "Request",
    "Response",
    "Route",
    "StreamBody",
    "json_response",
    "read_body",
    "serve_http",
]

MAX_CONNECTIONS = 4096
IDLE_TIMEOUT_S = 75.0
MAX_LOGGED_CHARS = 200
REASON_PHRASES = {
    200: "OK",
    201: "Created",
    304: "Not Modified",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class BadRequest(ValueError):
    """Raised for an invalid request; the message states what was received and what is allowed."""

    status = 400


class BodyTooLarge(BadRequest):
    """Raised when a request body exceeds its limit."""

    status = 413


@frozen
class Request:
    """Hold one HTTP request."""

    method: str
    path: str
    environ: dict

    def header(self, name: str) -> str | None:
        """Return a header's value, or None if it is absent."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key)
        return self.environ.get(f"HTTP_{key}")

    def query(self, name: str, default: str = "") -> str:
        """Return a query parameter, or the default if it is absent."""
        return dict(parse_qsl(self.environ.get("QUERY_STRING", ""))).get(name, default)


@frozen
class Response:
    """Hold one HTTP response; a StreamBody is sent in chunks."""

    status: int
    body: bytes | StreamBody = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    # Called once the response is sent or can't be.
    on_sent: Callable[[], None] = lambda: None


@define(eq=False)
class StreamBody:
    """Iterate over a streamed body's data; call abort if it is closed before it is started."""

    data_iter: Generator[bytes]
    abort: Callable[[], None]
    _is_started: bool = False

    def __iter__(self) -> StreamBody:
        return self

    def __next__(self) -> bytes:
        self._is_started = True
        return next(self.data_iter)

    def close(self) -> None:
        """Close the generator, or call abort: an unstarted generator would skip its cleanup."""
        if self._is_started:
            self.data_iter.close()
        else:
            self._is_started = True
            self.abort()


@frozen
class _SentBody:
    """Body that tells when it is sent."""

    body: bytes
    on_sent: Callable[[], None]

    def __iter__(self) -> Iterator[bytes]:
        yield self.body

    def __len__(self) -> int:
        return 1

    def close(self) -> None:
        """Report that the server is done with the body."""
        self.on_sent()


@frozen
class Route:
    """Route a method and path prefix to a handler, which gets the rest of the path."""

    method: str
    prefix: str
    handler: Callable[[Request, str], Response]


def json_response(
    status: int, value: object, headers: tuple[tuple[str, str], ...] = ()
) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(value).encode() + b"\n", headers=headers)


def read_body(request: Request, max_bytes: int) -> bytes:
    """Return the complete body; raise BadRequest if it is truncated or over max_bytes."""
    stream = request.environ["wsgi.input"]
    length = request.header("content-length")
    if length is not None and (not length.isdigit() or int(length) > max_bytes):
        raise BodyTooLarge(f"got content-length {length}, allowed are {max_bytes} bytes")
    try:
        body = stream.read(max_bytes + 1 if length is None else int(length))
    except (OSError, ValueError) as error:
        raise BadRequest(f"body does not read: {error}") from error
    if length is not None and len(body) < int(length):
        raise BadRequest(f"got {len(body)} bytes of body, announced were {length}")
    if len(body) > max_bytes:
        raise BodyTooLarge(f"body is over {max_bytes} bytes")
    return body


@frozen
class _Application:
    routes: tuple[Route, ...]
    logger: logging.Logger = field(factory=lambda: logging.getLogger("daisystack.http"))

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        response = self._respond(environ)
        headers = [("Content-Type", response.content_type), *response.headers]
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
            start_response(_status_line(response.status), headers)
            return _SentBody(response.body, response.on_sent)
        environ["eventlet.minimum_write_chunk_size"] = 1
        start_response(_status_line(response.status), headers)
        return response.body

    def _respond(self, environ: dict) -> Response:
        request = Request(environ["REQUEST_METHOD"], unquote(environ["PATH_INFO"]), environ)
        try:
            for route in self.routes:
                if request.method == route.method and request.path.startswith(route.prefix):
                    return route.handler(request, request.path[len(route.prefix) :])
        except BadRequest as error:
            return _error_response(error.status, str(error))
        return _error_response(
            404, f"got {request.method} {request.path[:200]}, which is not served"
        )


def _error_response(status: int, message: str) -> Response:
    body = {"verdict": "not_run", "error": message}
    return json_response(status, body, (("Daisystack-Verdict", "not_run"),))


def _status_line(status: int) -> str:
    return f"{status} {REASON_PHRASES.get(status, 'Status')}"


class _Protocol(eventlet.wsgi.HttpProtocol):
    is_leaving: Callable[[], bool]

    def handle_one_response(self) -> None:
        """Announce the close of the connection in the responses of a process that leaves."""
        if self.is_leaving():
            self.server.keepalive = False
        super().handle_one_response()

    def log_message(self, format: str, *arguments: object) -> None:
        """Log the server library's message on a malformed request as a log event."""
        logger = logging.getLogger("daisystack.wsgi")
        logger.info("http_refused", extra={"reason": (format % arguments)[:MAX_LOGGED_CHARS]})


def serve_http(
    address: Address, routes: Iterable[Route], is_leaving: Callable[[], bool] = lambda: False
) -> eventlet.greenthread.GreenThread:
    """Start a server for the routes on an address; raise OSError if it can't be bound."""
    listener = eventlet.listen((address.host, address.port), backlog=1024)
    # Head and body are sent in two writes; without this the second waits for a delayed ACK.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return eventlet.spawn(
        eventlet.wsgi.server,
        listener,
        _Application(tuple(routes)),
        log=logging.getLogger("daisystack.wsgi"),
        log_output=False,
        debug=False,
        max_size=MAX_CONNECTIONS,
        protocol=type("Protocol", (_Protocol,), {"is_leaving": staticmethod(is_leaving)}),
        # Close connections that send nothing or only part of a request.
        socket_timeout=IDLE_TIMEOUT_S,
    )
