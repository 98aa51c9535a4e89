"""Find entries of a policy that can't work, can never match, or contradict each other."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from enum import StrEnum

from attrs import frozen

from daisystack.core.traffic import EngineProfile, RequestKind, Route, Service, TrafficPolicy

__all__ = ["Finding", "Severity", "check_policy"]


class Severity(StrEnum):
    """How a finding affects requests: some fail, or an entry has no effect."""

    ERROR = "error"
    WARNING = "warning"


@frozen
class Finding:
    """What is wrong with one entry of a policy; the message names what was found and is allowed."""

    severity: Severity
    location: str
    message: str


def check_policy(policy: TrafficPolicy, region_by_zone: Mapping[str, str]) -> list[Finding]:
    """Return the findings, errors first; without known zones, regions aren't checked."""
    regions = frozenset(region_by_zone.values())
    found = [finding for check in CHECKS for finding in check(policy)]
    found += _find_unknown_regions(policy, regions) if regions else []
    return sorted(found, key=lambda f: (f.severity is Severity.WARNING, f.location, f.message))


def _error(location: str, message: str) -> Finding:
    return Finding(Severity.ERROR, location, message)


def _warning(location: str, message: str) -> Finding:
    return Finding(Severity.WARNING, location, message)


def _at_route(route: Route) -> str:
    return f"route {route.name}"


def _find_route_errors(policy: TrafficPolicy) -> Iterator[Finding]:
    """Yield routes that never match, or that lead to no service."""
    holders: dict[tuple[str, str], str] = {}
    for route in policy.routes:
        location = _at_route(route)
        if not route.host:
            yield _error(location, "has no host, so no request matches it")
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _error(
                location,
                f"prefix is {route.prefix!r}, one that matches begins and ends with a slash",
            )
        earlier = holders.setdefault((route.host, route.prefix), route.name)
        if earlier != route.name:
            yield _error(location, f"has the host and prefix of route {earlier}; only one matches")
        for share in route.shares:
            if share.service not in policy.services:
                yield _error(location, f"names service {share.service!r}, which is not defined")
            if share.weight == 0 and len(route.shares) > 1:
                yield _warning(location, f"gives service {share.service!r} no share")
        if sum(share.weight for share in route.shares) == 0:
            yield _error(location, "gives no service a share, one above 0 is needed")


def _find_route_contradictions(policy: TrafficPolicy) -> Iterator[Finding]:
    """Yield routes whose limits contradict each other."""
    for route in policy.routes:
        location = _at_route(route)
        if route.timeout_s <= 0:
            yield _error(location, "its timeout is 0, so that no request is answered")
        elif route.objective_s > route.timeout_s:
            yield _error(
                location,
                f"its objective of {route.objective_s:g} s is above its timeout of "
                f"{route.timeout_s:g} s",
            )
        if route.max_pause_s > route.timeout_s > 0:
            yield _warning(
                location, f"allows pauses of {route.max_pause_s:g} s, longer than its timeout"
            )
        if route.max_attempts > 1 and not route.is_repeatable:
            yield _warning(
                location, f"allows {route.max_attempts} attempts, but its requests run only once"
            )
        if route.is_resumable and route.kind is not RequestKind.STREAM:
            yield _warning(location, f"is resumable, but its kind is {route.kind.value}")


def _find_service_findings(policy: TrafficPolicy) -> Iterator[Finding]:
    """Yield services that nothing uses, or whose limits contradict each other."""
    used = {share.service for route in policy.routes for share in route.shares if share.weight}
    for service in policy.services.values():
        location = f"service {service.name}"
        if service.name not in used and service.origin_address is None:
            yield _warning(location, "no route sends requests to it")
        yield from _find_cold_contradictions(location, service)
        if service.engine is not None:
            yield from _find_engine_contradictions(location, service.engine)
    has_engines = any(service.engine for service in policy.services.values())
    if has_engines and not policy.origins():
        yield _warning("services", "engines are defined, but no origin of their weights")


def _find_cold_contradictions(location: str, service: Service) -> Iterator[Finding]:
    if service.cold_start_s > 0 and service.cold_limit_per_s == 0:
        yield _warning(location, "is cold after a start, but states no limit for that time")
    if service.cold_limit_per_s > 0 and service.cold_start_s == 0:
        yield _warning(location, "limits cold upstreams, but is not cold after a start")


def _find_engine_contradictions(location: str, engine: EngineProfile) -> Iterator[Finding]:
    typical_tokens = engine.typical_prompt_tokens + engine.typical_answer_tokens
    if 0 < engine.memory_tokens < typical_tokens:
        yield _error(
            location,
            f"its engines hold {engine.memory_tokens} tokens, a typical request needs "
            f"{typical_tokens}",
        )
    if engine.chunk_count and engine.layers and engine.chunk_count < engine.layers:
        yield _warning(
            location, f"has {engine.chunk_count} pieces of weights for {engine.layers} layers"
        )


def _find_workspace_findings(policy: TrafficPolicy) -> Iterator[Finding]:
    """Yield workspaces whose requests are refused, and keys that are held twice."""
    holders = Counter(key for workspace in policy.workspaces for key in workspace.keys)
    needs_keys = any(not route.is_public for route in policy.routes)
    if needs_keys and not policy.requires_keys:
        yield _warning("workspaces", "there is no list of them, so that requests need no key")
    elif needs_keys and not holders:
        yield _error("workspaces", "none holds a key, so that only public routes serve requests")
    for workspace in policy.workspaces:
        location = f"workspace {workspace.name}"
        if not workspace.keys:
            yield _warning(location, "holds no key, so that no request belongs to it")
        elif not needs_keys:
            yield _warning(location, "holds keys, but all routes are public")
        shared = sum(holders[key] > 1 for key in workspace.keys)
        if shared:
            yield _error(location, f"shares {shared} of its keys with another workspace")
        if not workspace.allowed_regions:
            continue
        for route in policy.routes:
            homes = route.allowed_regions
            if homes and not route.is_public and not homes & workspace.allowed_regions:
                yield _error(location, f"has no region in common with route {route.name}")


def _find_limit_contradictions(policy: TrafficPolicy) -> Iterator[Finding]:
    """Yield limits on callers that contradict each other."""
    limits = policy.limits
    if limits.idle_timeout_s < limits.head_timeout_s:
        yield _warning(
            "limits",
            f"idle connections close after {limits.idle_timeout_s:g} s, a head may take "
            f"{limits.head_timeout_s:g} s",
        )
    for name in ("max_head_bytes", "max_body_bytes", "head_timeout_s", "idle_timeout_s"):
        if getattr(limits, name) <= 0:
            yield _error("limits", f"{name} is 0, so that no request is read")


def _find_unknown_regions(policy: TrafficPolicy, regions: frozenset[str]) -> Iterator[Finding]:
    owners = [(_at_route(r), r.allowed_regions) for r in policy.routes]
    owners += [(f"workspace {w.name}", w.allowed_regions) for w in policy.workspaces]
    for location, allowed in owners:
        if allowed and not allowed & regions:
            yield _error(
                location,
                f"is allowed in {', '.join(sorted(allowed))}, where no zone lies; zones lie in "
                f"{', '.join(sorted(regions))}",
            )
        elif allowed - regions:
            unknown = ", ".join(sorted(allowed - regions))
            yield _warning(location, f"is allowed in {unknown}, where no zone lies")


CHECKS: tuple[Callable[[TrafficPolicy], Iterator[Finding]], ...] = (
    _find_route_errors,
    _find_route_contradictions,
    _find_service_findings,
    _find_workspace_findings,
    _find_limit_contradictions,
)
