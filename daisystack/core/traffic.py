"""Hold the published routes, services, workspaces and caller limits."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from functools import cached_property

from attrs import field, frozen

__all__ = [
    "CallerLimits",
    "EngineProfile",
    "RequestKind",
    "Route",
    "Service",
    "Share",
    "TrafficPolicy",
    "Workspace",
]


class RequestKind(enum.Enum):
    """Say what may be done with a request more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class Share:
    """Give a service a part of a route's requests."""

    service: str
    weight: float


@frozen
class Route:
    """Send the requests under a host and path prefix to services."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    max_pause_s: float
    max_attempts: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Say whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or self.is_resumable

    def choose_service(self, draw: float) -> str:
        """Return the service that a number in [0, 1) falls to."""
        left = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            left -= share.weight
            if left < 0:
                return share.service
        return self.shares[-1].service


@frozen
class EngineProfile:
    """Hold the published speed of an engine, which predicts when a request gets its first event."""

    model: str
    step_s: float
    step_per_sequence_s: float
    step_per_context_token_s: float
    prefill_tokens_per_s: float
    attention_pair_s: float
    chunk_tokens: int
    steps_per_pass: int
    typical_prompt_tokens: int
    typical_answer_tokens: int
    load_s: float
    first_version: int
    layers: int
    chunk_count: int
    chunk_bytes: int


@frozen
class Service:
    """Describe a set of equal upstreams."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    origin_address: str | None = None
    zone: str = ""


@frozen
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Workspace:
    """Name the holder of API keys."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@frozen(slots=False)
class TrafficPolicy:
    """Answer which route, service and workspace a request belongs to."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        at_host = self._by_host.get(host)
        if at_host is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = at_host.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_workspace(self, api_key: str) -> Workspace | None:
        """Return the holder of a key."""
        return self._by_key.get(api_key)

    def origins(self) -> list[Service]:
        """Return the services that hand out weights."""
        return [service for service in self.services.values() if service.origin_address]

    def engine_of(self, service: str) -> EngineProfile | None:
        """Return the figures of a service's engines, None for a plain service."""
        found = self.services.get(service)
        return found.engine if found else None

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, {})[route.prefix] = route
        return found

    @cached_property
    def _by_key(self) -> dict[str, Workspace]:
        return dict(_keys(self.workspaces))


def _keys(workspaces: Iterable[Workspace]) -> Iterable[tuple[str, Workspace]]:
    for workspace in workspaces:
        for api_key in workspace.keys:
            yield api_key, workspace
