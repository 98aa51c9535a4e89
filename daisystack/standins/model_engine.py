"""Stand-in for a model engine: takes load orders, loads staged weights and streams tokens."""

from __future__ import annotations

import json
import os
import secrets
from collections.abc import Generator

import eventlet
import urllib3
from attrs import define, field

from daisystack.core.manifests import (
    ChunkRef,
    Manifest,
    digest_bytes,
    dump_manifest,
    read_manifest,
)
from daisystack.core.register import ModelRef
from daisystack.runtime.web import Request, Response, Route, StreamBody, json_response

__all__ = ["ModelEngineStandin"]

CRASH_STATUS = 70
STALL_S = 3600.0


@define(eq=False)
class ModelEngineStandin:
    """Model engine whose tokens name the weights that were in use when each was generated."""

    checks_fencing: bool = True
    load_s: float = 0.5
    prefill_s: float = 0.02
    token_s: float = 0.01
    capacity: int = 8
    slow_factor: float = 1.0
    is_silent: bool = False
    lose_order_answers: int = 0
    incarnation: str = field(factory=lambda: secrets.token_hex(4))
    serving: frozenset[ModelRef] = frozenset()
    is_loading: bool = False
    fence: int = 0
    in_flight: int = 0
    loads: int = 0
    _load_number: int = 0

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the engine and its control interface."""
        return [
            Route("GET", "/state", self._state),
            Route("POST", "/orders", self._order),
            Route("POST", "/generate", self._generate),
            Route("PUT", "/control", self._control),
        ]

    def _state(self, request: Request, subpath: str) -> Response:
        refs = [
            {"model": r.model, "version": r.version, "manifest_digest": r.manifest_digest}
            for r in sorted(self.serving)
        ]
        state = {
            "life": self.incarnation,
            "serving": refs,
            "loading": self.is_loading,
            "fence": self.fence,
            "in_flight": self.in_flight,
            "loads": self.loads,
        }
        return json_response(200, state)

    def _order(self, request: Request, subpath: str) -> Response:
        order = json.loads(request.environ["wsgi.input"].read())
        if self.checks_fencing and order["fence"] <= self.fence:
            return json_response(409, {"error": f"fence {self.fence} was seen"})
        self.fence = order["fence"]
        eventlet.spawn(self._load, order)
        if self.lose_order_answers:
            self.lose_order_answers -= 1
            eventlet.sleep(STALL_S)
        return json_response(200, {"accepted": True})

    def _load(self, order: dict) -> None:
        self._load_number += 1
        load_number = self._load_number
        self.is_loading = True
        self.serving = frozenset()
        try:
            loaded = frozenset(self._fetch(order["staged_url"], ref) for ref in order["load"])
            eventlet.sleep(self.load_s)
        except (urllib3.exceptions.HTTPError, ValueError):
            loaded = frozenset()
        # A later order supersedes the outcome of this one.
        if load_number == self._load_number:
            self.serving = loaded
            self.is_loading = False
            self.loads += 1

    def _fetch(self, staged_url: str, ref: dict) -> ModelRef:
        http = urllib3.PoolManager(retries=False)
        manifest_digest = ref["manifest_digest"]
        manifest_body = http.request("GET", f"{staged_url}/manifests/{manifest_digest}").data
        manifest = read_manifest(manifest_body, manifest_digest)
        chunks = []
        for chunk in manifest.chunks:
            body = http.request("GET", f"{staged_url}/chunks/{chunk.digest}").data
            chunks.append(ChunkRef(digest_bytes(body), len(body)))
        # The digest covers the chunks that were read, which may differ from those ordered.
        loaded = Manifest(manifest.model, manifest.version, tuple(chunks))
        return ModelRef(ref["model"], ref["version"], digest_bytes(dump_manifest(loaded)))

    def weights_name(self) -> str:
        """Return the weights in use as model@version, separated by commas, or "none"."""
        return ",".join(f"{r.model}@{r.version}" for r in sorted(self.serving)) or "none"

    def _generate(self, request: Request, subpath: str) -> Response:
        parameters = json.loads(request.environ["wsgi.input"].read())
        if parameters.get("crash"):
            os._exit(CRASH_STATUS)
        self.in_flight += 1
        if self.is_silent:
            eventlet.sleep(STALL_S)
        headers = (("Engine-Serving", self.weights_name()),)
        tokens = self._tokens(parameters)
        if parameters.get("stream", True):
            body = StreamBody(self._events(tokens), self._finish_request)
            return Response(200, body, "text/event-stream", headers)
        generated = list(tokens)
        self._finish_request()
        return json_response(200, {"id": parameters.get("id"), "tokens": generated}, headers)

    def _finish_request(self) -> None:
        self.in_flight -= 1

    def _events(self, tokens: Generator[dict]) -> Generator[bytes]:
        try:
            for token in tokens:
                yield b"data: " + json.dumps(token).encode() + b"\n\n"
            yield b"data: [DONE]\n\n"
        finally:
            self._finish_request()

    def _tokens(self, parameters: dict) -> Generator[dict]:
        eventlet.sleep(self.prefill_s * self._slowdown())
        for index in range(int(parameters.get("tokens", 8))):
            if index:
                eventlet.sleep(float(parameters.get("token_s", self.token_s)) * self._slowdown())
            yield {"id": parameters.get("id"), "i": index, "weights": self.weights_name()}

    def _slowdown(self) -> float:
        return self.slow_factor * max(1.0, self.in_flight / self.capacity)

    def _control(self, request: Request, subpath: str) -> Response:
        faults = json.loads(request.environ["wsgi.input"].read())
        for name in ("slow_factor", "is_silent", "lose_order_answers", "checks_fencing"):
            setattr(self, name, faults.get(name, getattr(self, name)))
        return json_response(200, {})
