"""HTTP connections that bound the lines of answers and hold up nobody else."""

from __future__ import annotations

import socket
from typing import BinaryIO

import urllib3
import urllib3.connection
from attrs import define
from urllib3.exceptions import ProtocolError

from daisystack.runtime.turns import YieldingSocket

__all__ = ["MAX_LINES_BYTES", "YieldingConnection"]

# A server that goes on sending them never answers.
MAX_INTERIM_RESPONSES = 8
CONTINUE, SWITCHING_PROTOCOLS, OK = 100, 101, 200
# Heads with their interim responses, and trailers; the base class allows 6 MB for each of them.
MAX_LINES_BYTES = 65_536


@define(eq=False)
class _LineReader:
    """Reader of an answer whose lines are bounded, and end before the connection does."""

    _stream: BinaryIO
    # Of the lines since the last part of a body.
    _lines_bytes: int = 0

    def readline(self, limit: int = -1) -> bytes:
        """Return a line; raise ProtocolError if it is cut, or all of them are too long."""
        line = self._stream.readline(limit)
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            raise ProtocolError(f"head or trailer is over {MAX_LINES_BYTES} bytes")
        # The base class takes the end of the connection for the end of the head.
        if self._lines_bytes and not line.endswith(b"\n"):
            raise ProtocolError("closed within a head, a chunk's size or a trailer")
        return line

    def read(self, size: int = -1) -> bytes:
        """Return a part of a body."""
        self._lines_bytes = 0
        return self._stream.read(size)

    def read1(self, size: int = -1) -> bytes:
        """Return what has arrived of a body."""
        self._lines_bytes = 0
        return self._stream.read1(size)

    def readinto(self, buffer: bytearray) -> int:
        """Fill a buffer with a part of a body."""
        self._lines_bytes = 0
        return self._stream.readinto(buffer)

    def __getattr__(self, name: str) -> object:
        return getattr(self._stream, name)


class _Response(urllib3.connection.HTTPConnection.response_class):
    """Response whose head and interim responses are bounded, and which ends where it says."""

    interim_count = 0

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.fp = _LineReader(self.fp)

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = super()._read_status()
        if CONTINUE <= status < OK and status != SWITCHING_PROTOCOLS:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise ProtocolError(f"over {MAX_INTERIM_RESPONSES} interim responses")
            # The base class passes over this one only.
            status = CONTINUE
        return version, status, reason


class YieldingConnection(urllib3.connection.HTTPConnection):
    """Connection that bounds heads and gives way while bytes keep arriving."""

    response_class = _Response

    def _new_conn(self) -> socket.socket:
        sock = YieldingSocket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(self.timeout)
        try:
            sock.connect((self.host, self.port))
        except TimeoutError as error:
            sock.close()
            raise urllib3.exceptions.ConnectTimeoutError(self, str(error)) from error
        except OSError as error:
            sock.close()
            raise urllib3.exceptions.NewConnectionError(self, str(error)) from error
        except BaseException:
            sock.close()
            raise
        return sock
