"""Build the parts of entries that send requests directly to upstreams, with a minimal dialect."""

from __future__ import annotations

import random

from attrs import frozen

from daisystack.core.direct_request import DirectAnswer, DirectRequest, PromptSize
from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.mirror import Mirror, Snapshot
from daisystack.core.placement import DirectUpstream, Placement
from daisystack.core.placement.places import Places
from daisystack.core.traffic import (
    EngineProfile,
    RequestKind,
    Route,
    Service,
    Share,
    TrafficPolicy,
    Workspace,
)
from daisystack.runtime.caller_http import InboundRequest
from daisystack.runtime.clock import now_s
from daisystack.runtime.direct_requests import DirectRequests, DirectRequestSettings
from daisystack.runtime.published import PublishedState

__all__ = [
    "PlainDialect",
    "RecordingResponder",
    "build_engine_profile",
    "build_inbound",
    "build_policy",
    "build_requests",
    "build_route",
    "build_upstream",
]

REQUEST_ID = b"daisystack-request"
MARK = b"daisystack-mark"
NOT_RUN = b"daisystack-not-run"
VERSION = b"daisystack-version"
LEAVING = b"daisystack-leaving"
RETRY_AFTER = b"daisystack-retry-after"
RATE_LIMIT = b"daisystack-rate-limit"


@frozen
class PlainDialect:
    """Minimal request dialect for tests; its own headers are named daisystack-*."""

    def read_request(self, method, target, headers, body, arrived_s) -> DirectRequest:
        """Parse a request from a caller."""
        fields = dict(headers)
        tokens = int(fields.get(b"daisystack-tokens", b"0"))
        parts = tuple(fields.get(b"daisystack-parts", b"").decode().split(","))
        return DirectRequest(
            id=fields.get(REQUEST_ID, b"r1").decode(),
            method=method,
            target=target,
            host=fields.get(b"host", b"site").decode(),
            path=target.partition("?")[0],
            headers=headers,
            body=body,
            arrived_s=arrived_s,
            time_left_s=float(fields.get(b"daisystack-time-left", b"5")),
            api_key=fields[b"daisystack-key"].decode() if b"daisystack-key" in fields else None,
            prompt=PromptSize("m", tokens, 100, 100, parts[:-1]) if tokens else None,
            resume_after=None,
        )

    def write_request(
        self, request, upstream, workspace, time_left_s, priority, exact_version, resume_after
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers to send with an attempt."""
        headers = [h for h in request.headers if h[0] != b"daisystack-key"]
        headers.append((b"content-length", str(len(request.body)).encode()))
        headers.append((b"daisystack-time-left", f"{time_left_s:.3f}".encode()))
        if workspace:
            headers.append((b"daisystack-workspace", workspace.encode()))
        if resume_after:
            headers.append((b"last-event-id", resume_after.encode()))
        if exact_version is not None:
            headers.append((VERSION, str(exact_version).encode()))
        return headers

    def read_answer(self, status, headers) -> DirectAnswer:
        """Parse the status and headers of an answer from an upstream."""
        fields = dict(headers)
        version = fields.get(VERSION)
        return DirectAnswer(
            status=status,
            request_id=fields.get(REQUEST_ID, b"r1").decode(),
            was_not_run=NOT_RUN in fields,
            is_genuine=MARK in fields,
            is_stream=fields.get(b"content-type") == b"text/event-stream",
            is_encoded=b"content-encoding" in fields,
            version=int(version) if version else None,
            is_leaving=LEAVING in fields,
            retry_after=fields[RETRY_AFTER].decode() if RETRY_AFTER in fields else None,
            headers=tuple(h for h in headers if h[0] == MARK),
            is_marked=MARK in fields,
            rate_limit=fields[RATE_LIMIT].decode() if RATE_LIMIT in fields else None,
        )

    def echo_headers(self, request_id) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer that the entry itself writes: none in this dialect."""
        return []


class RecordingResponder:
    """Record the answer that a caller would receive."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []
        self.has_started = False
        self.is_done = False

    @property
    def body(self) -> bytes:
        """Return the part of the body that was sent so far."""
        return b"".join(self.body_parts)

    def send_answer(self, status, headers, body) -> None:
        """Record a complete answer."""
        self.send_head(status, headers)
        self.send_data(body)
        self.finish()

    def send_head(self, status, headers) -> None:
        """Record the status and headers of an answer."""
        self.has_started = True
        self.status = status
        self.headers = dict(headers)

    def send_data(self, body) -> None:
        """Record a part of the body."""
        self.body_parts.append(body)

    def finish(self) -> None:
        """Record that the answer is complete."""
        self.is_done = True


def build_engine_profile(**overrides) -> EngineProfile:
    """Return the profile of an engine like those in the users' pools, with fields overridden."""
    defaults = {
        "model": "m",
        "step_s": 0.00673,
        "step_per_sequence_s": 0.0000219,
        "step_per_context_token_s": 6.8e-9,
        "prefill_tokens_per_s": 30_600.0,
        "attention_pair_s": 6.47e-10,
        "chunk_tokens": 2048,
        "steps_per_pass": 6,
        "typical_prompt_tokens": 964,
        "typical_answer_tokens": 119,
        "load_s": 0.3,
        "first_version": 1,
        "layers": 16,
        "chunk_count": 64,
        "chunk_bytes": 32_768,
    }
    return EngineProfile(**(defaults | overrides))


def build_route(kind=RequestKind.SAFE, service="ledger", **overrides) -> Route:
    """Return a route for paths under /work/, with fields overridden."""
    defaults = {
        "name": "work",
        "host": "site",
        "prefix": "/work/",
        "kind": kind,
        "shares": (Share(service, 1.0),),
        "timeout_s": 2.0,
        "objective_s": 0.4,
        "max_pause_s": 0.3,
        "max_attempts": 2,
        "priority": 1,
        "is_public": True,
        "is_resumable": False,
    }
    return Route(**(defaults | overrides))


def build_policy(route: Route, workspaces: tuple[Workspace, ...] | None = None) -> TrafficPolicy:
    """Return a policy with one route and its services; without workspaces it needs no keys."""
    names = [share.service for share in route.shares]
    services = {name: Service(name, 100) for name in names}
    requires_keys = workspaces is not None
    return TrafficPolicy(1, (route,), services, workspaces or (), requires_keys=requires_keys)


def build_upstream(id="u1", address="127.0.0.1:1", **overrides) -> DirectUpstream:
    """Return an upstream without an engine, with fields overridden."""
    defaults = {"service": "ledger", "zone": "z1", "slots": 4, "is_ready": True}
    return DirectUpstream(id=id, address=address, **(defaults | overrides))


def build_inbound(method="POST", body=b"{}", target="/work/1", **headers) -> InboundRequest:
    """Return a request that has just arrived; keyword arguments become headers, _ becomes -."""
    encoded_headers = tuple((k.replace("_", "-").encode(), v.encode()) for k, v in headers.items())
    return InboundRequest(method, target, ((b"host", b"site"), *encoded_headers), body, now_s())


def build_requests(
    policy: TrafficPolicy, upstreams, confirmed_age_s=0.0, places: Places | None = None
) -> DirectRequests:
    """Return the request handler of one entry with the given upstreams."""
    placement = Placement(random.Random(1), EngineStatusTable(), places=places or Places())
    for upstream in upstreams:
        placement.update_upstream(upstream)
    mirror = Mirror("op/")
    mirror.apply_snapshot(Snapshot((), 1, now_s() - confirmed_age_s))
    published = PublishedState(None, placement, policy=policy)
    settings = DirectRequestSettings("z1", 4.4, 6.0, 0.2, 100.0, 10.0)
    return DirectRequests(settings, PlainDialect(), published, placement, mirror, lambda: 2)
