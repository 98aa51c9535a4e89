"""Call the platform over HTTP with bounded time and size."""

from __future__ import annotations

import json

import urllib3
from attrs import define, field

from daisystack.backends.base import BackendError

__all__ = ["HttpEndpoint"]

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 4


@define
class HttpEndpoint:
    """Own the connections to one address of the platform."""

    address: str
    _pool: urllib3.HTTPConnectionPool = field(init=False)

    def __attrs_post_init__(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=MAX_CONNECTIONS, retries=False
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> urllib3.BaseHTTPResponse:
        """Return a whole response; raises BackendError on any failure of the connection."""
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout_s)
        try:
            return self._pool.request(method, path, body=body, timeout=timeout)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise BackendError(f"{method} {self.address}{path}: {error}") from error

    def read_json(self, response: urllib3.BaseHTTPResponse) -> dict:
        """Return a response's JSON object; raises BackendError when it is none."""
        if response.status != 200:
            raise BackendError(f"{self.address} answered {response.status}")
        try:
            value = json.loads(response.data)
        except ValueError as error:
            raise BackendError(f"{self.address} answered no JSON: {error}") from error
        if not isinstance(value, dict):
            raise BackendError(f"{self.address} answered no JSON object")
        return value
