"""HTTP client for attempts; each failure states how far the attempt came."""

from __future__ import annotations

from collections.abc import Iterator

import eventlet
import urllib3
from attrs import define, field
from eventlet import hubs

from daisystack.backends.connections import YieldingConnection
from daisystack.core.held_bytes import HeldBytes, Holding
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime.clock import now_s
from daisystack.runtime.turns import Turn

__all__ = ["AttemptFailed", "UpstreamAnswer", "UpstreamClient"]

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 64
READ_BYTES = 65_536
STREAM_TYPE = "text/event-stream"


class AttemptFailed(Exception):
    """Raised when an attempt fails; end states at which point."""

    def __init__(self, end: AttemptEnd, reason: str) -> None:
        super().__init__(f"{end.value}: {reason}")
        self.end = end
        self.reason = reason


@define(eq=False)
class _ProgressWatchdog:
    """Abort a read that receives nothing for too long; all reads of an answer share one timer."""

    timeout_s: float
    _waiter: object = None
    _started_s: float | None = None
    _timer: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Start timing a read by the current green thread."""
        self._waiter = eventlet.getcurrent()
        self._started_s = now_s()
        if self._timer is None:
            self._timer = eventlet.spawn_after(self.timeout_s, self._check)

    def pause(self) -> None:
        """Stop timing while received data is passed on."""
        self._started_s = None

    def end(self) -> None:
        """Stop timing and cancel the timer."""
        self._started_s = None
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        started_s = self._started_s
        idle_s = now_s() - started_s if started_s is not None else 0.0
        if idle_s >= self.timeout_s:
            failure = AttemptFailed(AttemptEnd.ANSWER_CUT, f"silent for {self.timeout_s} s")
            hubs.get_hub().schedule_call_global(0, self._throw, started_s, failure)
            return
        self._timer = eventlet.spawn_after(self.timeout_s - idle_s, self._check)

    def _throw(self, started_s: float, failure: AttemptFailed) -> None:
        # Data may have arrived after the timeout was detected and before this call.
        if self._started_s == started_s:
            self._waiter.throw(failure)


@define(eq=False)
class UpstreamAnswer:
    """Read one answer; its connection is reused only if the answer was received completely."""

    _response: urllib3.BaseHTTPResponse
    _progress_timeout_s: float
    _holding: Holding
    # A body that is needed whole ends by then, also while its bytes keep arriving.
    _body_deadline_s: float = float("inf")

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._response.status

    @property
    def content_type(self) -> str:
        """Return the content type."""
        return self._response.headers.get("Content-Type", "application/octet-stream")

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of server-sent events."""
        return self.content_type.startswith(STREAM_TYPE)

    def header(self, name: str) -> str | None:
        """Return a header's value, or None if it is absent."""
        return self._response.headers.get(name)

    def read_body(self, max_bytes: int) -> bytes:
        """Return the complete body; raise AttemptFailed if it is cut or over max_bytes.

        The body counts as held until release or abandon is called.
        """
        parts = []
        size_bytes = 0
        for data in self.iter_body():
            size_bytes += len(data)
            if size_bytes > max_bytes:
                self.abandon()
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, f"answer is over {max_bytes} bytes")
            if not self._holding.try_grow(len(data)):
                self.abandon()
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, "too many bytes are held")
            parts.append(data)
            if now_s() >= self._body_deadline_s:
                self.abandon()
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, "body is not complete in time")
        return b"".join(parts)

    def iter_body(self) -> Iterator[bytes]:
        """Yield the body as it is received; raise AttemptFailed if it is cut or stalls."""
        if not self._is_framed():
            self.abandon()
            raise AttemptFailed(AttemptEnd.ANSWER_CUT, "answer has no length and no chunks")
        watchdog = _ProgressWatchdog(self._progress_timeout_s)
        turn = Turn()
        try:
            while True:
                turn.give_way()
                watchdog.start()
                data = self._response.read1(READ_BYTES)
                watchdog.pause()
                if not data:
                    break
                yield data
        except AttemptFailed:
            self.abandon()
            raise
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.abandon()
            raise AttemptFailed(AttemptEnd.ANSWER_CUT, str(error)) from error
        except BaseException:
            self.abandon()
            raise
        finally:
            watchdog.end()
        self._response.release_conn()

    def abandon(self) -> None:
        """Close the connection so that the rest of this answer can't reach another request."""
        self._response.close()
        self.release()

    def release(self) -> None:
        """Give back the bytes that are held of the body, once it was passed on."""
        self._holding.release()

    def _is_framed(self) -> bool:
        headers = self._response.headers
        chunked = headers.get("Transfer-Encoding", "").lower() == "chunked"
        return chunked or headers.get("Content-Length", "").isdigit()


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = YieldingConnection


@define(eq=False)
class UpstreamClient:
    """Send requests to one address over pooled connections."""

    address: str
    progress_timeout_s: float
    # Without reuse a late answer can't be taken for the answer to another request.
    reuse_connections: bool = True
    # Bytes of answers that the process holds.
    held: HeldBytes = field(factory=HeldBytes)
    _pool: urllib3.HTTPConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._pool = _Pool(
            host, int(port), maxsize=MAX_IDLE_CONNECTIONS, block=False, retries=False
        )

    def send(
        self, path: str, body: bytes, headers: dict[str, str], timeout_s: float
    ) -> UpstreamAnswer:
        """Send a POST request and return the answer with its body unread; raise AttemptFailed."""
        if not self.reuse_connections:
            headers = headers | {"Connection": "close"}
        body_deadline_s = now_s() + timeout_s + self.progress_timeout_s
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=max(0.01, timeout_s))
        try:
            with eventlet.Timeout(max(0.01, timeout_s) + CONNECT_TIMEOUT_S):
                response = self._pool.urlopen(
                    "POST",
                    path,
                    body=body,
                    headers=headers,
                    timeout=timeout,
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise AttemptFailed(AttemptEnd.CONNECT_FAILED, str(error)) from error
        except eventlet.Timeout:
            raise AttemptFailed(AttemptEnd.NO_ANSWER, f"no answer in {timeout_s} s") from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AttemptFailed(AttemptEnd.NO_ANSWER, str(error)) from error
        return UpstreamAnswer(
            response, self.progress_timeout_s, Holding(self.held), body_deadline_s
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
