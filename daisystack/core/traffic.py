"""Published traffic policy: routes, services, workspaces and limits on callers."""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable
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
    """Kind of a request, which decides whether it may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class Share:
    """Share of a route's requests that a service gets."""

    service: str
    weight: float


@frozen
class Route:
    """Route for the requests under a host and path prefix, with its limits and services.

    objective_s is the objective for the time to the first event; 0 means none.
    """

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
    # Regions that may serve its requests; all of them if empty.
    allowed_regions: frozenset[str] = frozenset()

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        is_resumable_stream = self.kind is RequestKind.STREAM and self.is_resumable
        return self.kind is RequestKind.SAFE or is_resumable_stream

    def choose_service(self, draw: float) -> str:
        """Return the service for a random number in [0, 1), in proportion to the weights."""
        remaining = draw * sum(share.weight for share in self.shares)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[-1].service


@frozen
class EngineProfile:
    """Published performance profile of an engine and the sizes of its weights.

    It is used to predict the time to the first event of a request. attention_pair_s is the
    prefill time per pair of tokens.
    """

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
    # Tokens that the requests at one engine may hold together; 0 if not published.
    memory_tokens: int = 0


@frozen
class Service:
    """A set of interchangeable upstreams."""

    name: str
    max_connections: int
    engine: EngineProfile | None = None
    origin_address: str | None = None
    zone: str = ""
    # An upstream is cold for this long after its start; 0 if it never is.
    cold_start_s: float = 0.0
    # Requests per second that a cold upstream takes from all entries; 0 if not published.
    cold_limit_per_s: float = 0.0


@frozen
class CallerLimits:
    """Limits on the size and the duration of what a caller sends."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Workspace:
    """A workspace and its API keys."""

    name: str
    keys: frozenset[str]
    priority: int | None = None
    # Regions that may serve its requests; all of them if empty.
    allowed_regions: frozenset[str] = frozenset()


@frozen(slots=False)
class TrafficPolicy:
    """Traffic policy that maps a request to its route, service and workspace."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = field(factory=CallerLimits)
    # False if the policy has no list of workspaces. An empty list lets no key through.
    requires_keys: bool = True

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route at a host with the longest prefix of the path, or None."""
        at_host = self._by_host.get(host)
        if at_host is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = at_host.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def routes_at(self, host: str) -> Collection[Route]:
        """Return the routes of a host."""
        return self._by_host.get(host, {}).values()

    def find_workspace(self, api_key: str | None) -> Workspace | None:
        """Return the workspace that holds an API key, or None; no workspace holds None."""
        return self._by_key.get(api_key)

    def origins(self) -> list[Service]:
        """Return the services that serve weights."""
        return [service for service in self.services.values() if service.origin_address]

    def engine_of(self, service: str) -> EngineProfile | None:
        """Return the profile of a service's engines, or None for a plain service."""
        found = self.services.get(service)
        return found.engine if found else None

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, {})[route.prefix] = route
        return found

    @cached_property
    def _by_key(self) -> dict[str | None, Workspace]:
        return dict(_keys(self.workspaces))


def _keys(workspaces: Iterable[Workspace]) -> Iterable[tuple[str, Workspace]]:
    for workspace in workspaces:
        for api_key in workspace.keys:
            yield api_key, workspace
