"""Decide in which regions a request may be served, and which entries its callers should use."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import reduce

from attrs import frozen

from daisystack.core.membership import Member
from daisystack.core.traffic import Route, TrafficPolicy, Workspace

__all__ = ["DirectoryAnswer", "HostHomes", "find_homes", "find_host_homes", "list_entries_in_homes"]


@frozen
class HostHomes:
    """Regions that callers of a host may be directed to, beside their own.

    common are the homes that all its routes and workspaces share, routes those of any route.
    """

    common: frozenset[str]
    routes: frozenset[str]


@frozen
class DirectoryAnswer:
    """Entries for a caller; is_outside if none is live in its region or the homes."""

    entries: tuple[Member, ...]
    is_outside: bool


def find_homes(
    policy: TrafficPolicy, host: str, path: str, api_key: str | None, route: Route
) -> frozenset[str] | None:
    """Return the regions that may serve a request by a policy; None if all may.

    The policy may be newer than the one by which the request got its route; the route's own homes
    hold if it has no other.
    """
    route = policy.find_route(host, path) or route
    workspace = None if route.is_public else policy.find_workspace(api_key)
    return _intersect(_homes_of((route, *([workspace] if workspace else []))))


def find_host_homes(policy: TrafficPolicy, host: str) -> HostHomes | None:
    """Return the homes of a host whose requests may have any; None if they have none."""
    routes = policy.routes_at(host)
    of_routes = _homes_of(routes)
    has_workspaces = any(not route.is_public for route in routes)
    of_workspaces = _homes_of(policy.workspaces) if has_workspaces else []
    common = _intersect([*of_routes, *of_workspaces])
    if common is None:
        return None
    return HostHomes(common, frozenset().union(*of_routes))


def list_entries_in_homes(
    own: Member, peers: Iterable[Member], zone: str, region: str, homes: HostHomes, min_near: int
) -> DirectoryAnswer:
    """Return the entries for a caller of a host with homes, the nearest group that is enough.

    An entry whose region is unknown lies in no home. The key of the caller is unknown, so homes
    that only some of its routes or workspaces have come last.
    """
    ready = [m for m in (own, *peers) if m.is_ready and not m.is_leaving]
    groups: list[tuple[int, Callable[[Member], bool]]] = [
        (min_near, lambda m: m.zone == zone and m.region == region),
        (min_near, lambda m: m.region == region),
        (1, lambda m: m.region == region or m.region in homes.common),
        (1, lambda m: m.region in homes.routes),
    ]
    for min_count, is_in_group in groups:
        found = tuple(m for m in ready if m.region and is_in_group(m))
        if len(found) >= min_count:
            return DirectoryAnswer(found, False)
    return DirectoryAnswer(tuple(ready), True)


def _homes_of(owners: Iterable[Route | Workspace]) -> list[frozenset[str]]:
    return [owner.allowed_regions for owner in owners if owner.allowed_regions]


def _intersect(homes: list[frozenset[str]]) -> frozenset[str] | None:
    return reduce(frozenset.intersection, homes) if homes else None
