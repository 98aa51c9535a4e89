"""Keep which availability zones operators have evacuated."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["Evacuations", "ZoneEvacuation"]


@frozen
class ZoneEvacuation:
    """Published order to send no more requests to the upstreams of a zone until it is removed."""

    zone: str


@define
class Evacuations:
    """The evacuated zones by the published key that orders each."""

    zones: frozenset[str] = frozenset()
    _zones_by_key: dict[str, str] = field(factory=dict)

    def begin(self, key: str, zone: str) -> bool:
        """Record an order; return whether it is new."""
        is_new = self._zones_by_key.get(key) != zone
        self._zones_by_key[key] = zone
        self.zones = frozenset(self._zones_by_key.values())
        return is_new

    def end(self, key: str) -> str | None:
        """Record that a key was removed; return the zone that it evacuated, None if it did not."""
        zone = self._zones_by_key.pop(key, None)
        self.zones = frozenset(self._zones_by_key.values())
        return zone
