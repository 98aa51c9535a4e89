"""Compare two versions of a traffic policy by route, service, workspace and limit."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from functools import singledispatch

import attrs
from attrs import frozen

from daisystack.core.traffic import CallerLimits, Route, Service, TrafficPolicy, Workspace

__all__ = ["Difference", "compare_policies"]


@frozen
class Difference:
    """One entry that was added, removed or changed, and how."""

    change: str
    location: str
    detail: str = ""


def compare_policies(before: TrafficPolicy, after: TrafficPolicy) -> list[Difference]:
    """Return what differs between two policies; API keys are counted, never named."""
    found = [*_compare_versions(before, after)]
    for entries in (_routes, _services, _workspaces):
        found += _compare_entries(entries(before), entries(after))
    if before.requires_keys != after.requires_keys:
        detail = "requests need keys" if after.requires_keys else "requests need no key any more"
        found.append(Difference("changed", "workspaces", detail))
    return [*found, *_compare_pair("limits", before.limits, after.limits)]


def _compare_versions(before: TrafficPolicy, after: TrafficPolicy) -> Iterator[Difference]:
    detail = f"{before.version} to {after.version}"
    if after.version <= before.version:
        detail += "; entries keep the higher version, so this one would have no effect"
    yield Difference("changed", "version", detail)


def _routes(policy: TrafficPolicy) -> dict[str, Route]:
    return {f"route {route.name}": route for route in policy.routes}


def _services(policy: TrafficPolicy) -> dict[str, Service]:
    return {f"service {service.name}": service for service in policy.services.values()}


def _workspaces(policy: TrafficPolicy) -> dict[str, Workspace]:
    return {f"workspace {workspace.name}": workspace for workspace in policy.workspaces}


def _compare_entries(before: dict[str, object], after: dict[str, object]) -> Iterator[Difference]:
    for location in sorted(before.keys() | after.keys()):
        if location not in after:
            yield Difference("removed", location, _describe(before[location]))
        elif location not in before:
            yield Difference("added", location, _describe(after[location]))
        else:
            yield from _compare_pair(location, before[location], after[location])


def _compare_pair(location: str, before: object, after: object) -> Iterator[Difference]:
    if before != after:
        yield Difference("changed", location, "; ".join(_explain(before, after)))


@singledispatch
def _explain(before: object, after: object) -> Iterable[str]:
    """Return how an entry changed, one text a field."""
    raise TypeError(f"can't compare {type(before).__name__}")


@_explain.register(Route)
@_explain.register(Service)
@_explain.register(CallerLimits)
def _(before: Route | Service | CallerLimits, after: object) -> Iterable[str]:
    return _explain_fields(before, after, ())


@_explain.register
def _(before: Workspace, after: Workspace) -> Iterable[str]:
    texts = list(_explain_fields(before, after, ("keys",)))
    added, removed = len(after.keys - before.keys), len(before.keys - after.keys)
    if added or removed:
        texts.append(f"keys: {added} added, {removed} removed")
    return texts


def _explain_fields(before: object, after: object, left_out: Iterable[str]) -> Iterator[str]:
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if field.name not in left_out and old != new:
            yield f"{field.name}: {_show(old)} to {_show(new)}"


@singledispatch
def _describe(entry: object) -> str:
    """Return what identifies an entry beside its name."""
    return ""


@_describe.register
def _(entry: Route) -> str:
    return f"{entry.host}{entry.prefix}"


@_describe.register
def _(entry: Workspace) -> str:
    return f"{len(entry.keys)} keys"


@singledispatch
def _show(value: object) -> str:
    return str(value)


@_show.register
def _(value: frozenset) -> str:
    return ", ".join(sorted(value)) or "none"


@_show.register
def _(value: tuple) -> str:
    return ", ".join(f"{share.service} {share.weight:g}" for share in value) or "none"
