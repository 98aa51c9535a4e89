"""Read manifests and chunks from the weight store or the origin over HTTP."""

from __future__ import annotations

from attrs import define

from daisystack.backends.base import BackendError, RateLimited
from daisystack.backends.http import HttpEndpoint

__all__ = ["HttpWeightSource"]

CHUNK_TIMEOUT_S = 20.0
# A chunk of several megabytes on a link of 1 Mbit/s.
CHUNK_CALL_TIMEOUT_S = 60.0
DEFAULT_RETRY_AFTER_S = 1.0


@define
class HttpWeightSource:
    """Client of `GET /v1/manifests/DIGEST` and `GET /v1/chunks/DIGEST`; 429 is a rate limit."""

    endpoint: HttpEndpoint

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes, unverified; raise BackendError, RateLimited on 429."""
        return self._get(f"/v1/manifests/{digest}")

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes, unverified; raise BackendError, RateLimited on 429."""
        return self._get(f"/v1/chunks/{digest}")

    def _get(self, path: str) -> bytes:
        response = self.endpoint.call(
            "GET", path, read_timeout_s=CHUNK_TIMEOUT_S, call_timeout_s=CHUNK_CALL_TIMEOUT_S
        )
        if response.status == 429:
            raise RateLimited(_retry_after_s(response.headers.get("Retry-After", "")))
        if response.status != 200:
            raise BackendError(f"{self.endpoint.address}{path}: got status {response.status}")
        return response.body


def _retry_after_s(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
