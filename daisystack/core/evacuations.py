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

    _zones_by_key: dict[str, str] = field(factory=dict)

    @property
    def zones(self) -> frozenset[str]:
        """Return the evacuated zones."""
        return frozenset(self._zones_by_key.values())

    def begin(self, key: str, zone: str) -> bool:
        """Record an order; return whether it is new."""
        is_new = self._zones_by_key.get(key) != zone
        self._zones_by_key[key] = zone
        return is_new

    def end(self, key: str) -> str | None:
        """Record that a key was removed; return the zone that it evacuated, None if it did not."""
        return self._zones_by_key.pop(key, None)

    def covers(self, zone: str) -> bool:
        """Return whether a zone is evacuated."""
        return bool(self._zones_by_key) and zone in self._zones_by_key.values()
