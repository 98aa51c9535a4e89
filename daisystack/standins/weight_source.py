"""Stand-in for the weight store and for the origin of weights."""

from __future__ import annotations

import json
import math

import eventlet
from attrs import define, field

from daisystack.core.pacing import TokenBucket
from daisystack.runtime.clock import now_s
from daisystack.runtime.web import Request, Response, Route, json_response
from daisystack.standins.weights import SyntheticVersion

__all__ = ["WeightSourceStandin"]

MAX_DELAY_S = 5.0
BURST_S = 0.25


@define(eq=False)
class WeightSourceStandin:
    """Serve chunks at a limited rate and count the bytes sent; PUT /control sets faults."""

    bytes_per_s: float
    manifests: dict[str, bytes] = field(factory=dict)
    chunks: dict[str, bytes] = field(factory=dict)
    sent_bytes: int = 0
    refused: int = 0
    is_down: bool = False
    corrupt_next: int = 0
    truncate_next: int = 0
    _bucket: TokenBucket = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._bucket = TokenBucket(self.bytes_per_s, self.bytes_per_s * BURST_S)

    def add(self, version: SyntheticVersion) -> None:
        """Add a version's manifest and chunks."""
        self.manifests[version.manifest_digest] = version.manifest_body
        self.chunks.update(version.chunks)

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the source and its control interface."""
        return [
            Route("GET", "/v1/manifests/", self._manifest),
            Route("GET", "/v1/chunks/", self._chunk),
            Route("PUT", "/control", self._control),
            Route("GET", "/counters", self._counters),
        ]

    def _manifest(self, request: Request, subpath: str) -> Response:
        return self._send(self.manifests.get(subpath))

    def _chunk(self, request: Request, subpath: str) -> Response:
        body = self.chunks.get(subpath)
        if body is not None and self.corrupt_next:
            self.corrupt_next -= 1
            body = bytes([body[0] ^ 0xFF]) + body[1:]
        if body is not None and self.truncate_next:
            self.truncate_next -= 1
            body = body[: len(body) // 2]
        return self._send(body)

    def _send(self, body: bytes | None) -> Response:
        if self.is_down:
            return Response(503, b"down\n", "text/plain")
        if body is None:
            return Response(404, b"not held\n", "text/plain")
        delay_s = self._bucket.delay_s(len(body), now_s())
        if delay_s > MAX_DELAY_S:
            self._bucket.delay_s(-len(body), now_s())
            self.refused += 1
            retry_after = str(math.ceil(delay_s - MAX_DELAY_S))
            return Response(429, b"over the rate\n", "text/plain", (("Retry-After", retry_after),))
        eventlet.sleep(delay_s)
        self.sent_bytes += len(body)
        return Response(200, body, "application/octet-stream")

    def _control(self, request: Request, subpath: str) -> Response:
        faults = json.loads(request.environ["wsgi.input"].read())
        for name in ("is_down", "corrupt_next", "truncate_next"):
            setattr(self, name, faults.get(name, getattr(self, name)))
        return json_response(200, {})

    def _counters(self, request: Request, subpath: str) -> Response:
        return json_response(200, {"sent_bytes": self.sent_bytes, "refused": self.refused})
