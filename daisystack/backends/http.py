"""Send HTTP requests to the platform with limits on time and response size."""

from __future__ import annotations

import json
from collections.abc import Iterator

import eventlet
import eventlet.patcher
import urllib3
from attrs import define, field, frozen

from daisystack.backends.base import BackendError
from daisystack.backends.connections import YieldingConnection
from daisystack.core.held_bytes import HeldBytes, Holding
from daisystack.runtime.clock import now_s

__all__ = ["HttpResponse", "HttpEndpoint"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0
# A response whose bytes keep arriving gets this much longer than the wait for its first byte.
TRANSFER_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 4
READ_BLOCK_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 20 * 1024 * 1024
POLLIN = 1
# The green version goes through the event loop even if it doesn't wait.
_poll = eventlet.patcher.original("select").poll


@frozen
class HttpResponse:
    """A complete HTTP response."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes


class _Connection(YieldingConnection):
    @property
    def is_connected(self) -> bool:
        """Whether the connection is open and idle, without an answer that nobody requested."""
        if self.sock is None:
            return False
        poll = _poll()
        poll.register(self.sock.fileno(), POLLIN)
        return not poll.poll(0)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


@define
class HttpEndpoint:
    """HTTP client with a connection pool for one address of the platform."""

    address: str
    # Bytes of responses that all calls of the process hold while they read them.
    held: HeldBytes = field(factory=HeldBytes)
    _pool: urllib3.HTTPConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._pool = _Pool(host, int(port), maxsize=MAX_CONNECTIONS, retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
        max_bytes: int = MAX_RESPONSE_BYTES,
        headers: dict[str, str] | None = None,
        call_timeout_s: float | None = None,
        send_by_s: float | None = None,
    ) -> HttpResponse:
        """Return a complete response; raise BackendError on any failure or if it is too large.

        read_timeout_s limits each wait for bytes, call_timeout_s the whole call. A body is not sent
        after send_by_s, so that the server does not act on the request.
        """
        if call_timeout_s is None:
            call_timeout_s = read_timeout_s + TRANSFER_TIMEOUT_S
        name = f"{method} {self.address}{path}"
        if send_by_s is not None:
            headers = (headers or {}) | {"Content-Length": str(len(body))}
            body = _read_until(body, send_by_s, name)
        limit = eventlet.Timeout(call_timeout_s)
        holding = Holding(self.held)
        try:
            response = self._open(method, path, body, headers, read_timeout_s)
            content = _read_body(response, max_bytes, holding)
        except eventlet.Timeout as timeout:
            if timeout is not limit:
                raise
            raise BackendError(f"{name}: not complete after {call_timeout_s} s") from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BackendError(f"{name}: {error}") from error
        finally:
            limit.cancel()
            holding.release()
        if content is None:
            response.close()
            raise BackendError(f"{name}: over {max_bytes} bytes, or too many are held")
        response.release_conn()
        return HttpResponse(response.status, response.headers, content)

    def _open(
        self,
        method: str,
        path: str,
        body: bytes | Iterator[bytes] | None,
        headers: dict[str, str] | None,
        read_timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            assert_same_host=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s),
            preload_content=False,
            # A few compressed bytes may stand for a thousand times as many.
            decode_content=False,
        )

    def read_json(self, response: HttpResponse) -> dict:
        """Return a response's JSON object; raise BackendError if it is none."""
        if response.status != 200:
            raise BackendError(f"{self.address}: got status {response.status}, allowed is 200")
        try:
            value = json.loads(response.body)
        except (ValueError, RecursionError) as error:
            raise BackendError(f"{self.address}: invalid JSON: {error}") from error
        if not isinstance(value, dict):
            raise BackendError(f"{self.address}: response is not a JSON object")
        return value


def _read_until(body: bytes, send_by_s: float, name: str) -> Iterator[bytes]:
    """Yield a body, which is read once the connection is open; raise BackendError if too late."""
    late_s = now_s() - send_by_s
    if late_s > 0:
        raise BackendError(f"{name}: not sent, {late_s:.3f} s too late")
    yield body


def _read_body(
    response: urllib3.BaseHTTPResponse, max_bytes: int, holding: Holding
) -> bytes | None:
    """Return the body, or None if it exceeds the limit or can't be held.

    A truncated body raises only when its end is reached.
    """
    chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
    if not chunked and not response.headers.get("Content-Length", "").isdigit():
        raise urllib3.exceptions.ProtocolError("answer has no length and no chunks")
    body = bytearray()
    try:
        while block := response.read(READ_BLOCK_BYTES):
            if len(body) + len(block) > max_bytes or not holding.try_grow(len(block)):
                return None
            body += block
    except eventlet.Timeout:
        response.close()
        raise
    return bytes(body)
