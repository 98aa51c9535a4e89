"""HTTP connections that hold up nobody else, whatever their server sends."""

from __future__ import annotations

import socket

import urllib3
import urllib3.connection

from daisystack.runtime.turns import YieldingSocket

__all__ = ["YieldingConnection"]

# A server that goes on sending them never answers.
MAX_INTERIM_RESPONSES = 8
CONTINUE = 100


class _Response(urllib3.connection.HTTPConnection.response_class):
    """Response whose interim responses are bounded; its base class reads any number of them."""

    interim_count = 0

    def _read_status(self) -> tuple[str, int, str]:
        version, status, reason = super()._read_status()
        if status == CONTINUE:
            self.interim_count += 1
            if self.interim_count > MAX_INTERIM_RESPONSES:
                raise urllib3.exceptions.ProtocolError(
                    f"over {MAX_INTERIM_RESPONSES} interim responses"
                )
        return version, status, reason


class YieldingConnection(urllib3.connection.HTTPConnection):
    """Connection that bounds interim responses and gives way while bytes keep arriving."""

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
