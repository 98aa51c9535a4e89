"""Decide by their availability zones which upstreams may get a request."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from attrs import define, field

from daisystack.core.evacuations import Evacuations
from daisystack.core.placement.records import DirectUpstream, Refusal

__all__ = ["PLACE_REASONS", "Places"]

NO_COMMON_HOME = "its route and workspace have no region in common"
NONE_IN_HOMES = "no upstream lies in its regions"
ALL_EVACUATED = "the zones of its upstreams are evacuated"
PLACE_REASONS = (NO_COMMON_HOME, NONE_IN_HOMES, ALL_EVACUATED)


@define
class Places:
    """Regions of the availability zones, and the zones that are evacuated."""

    region_by_zone: Mapping[str, str] = field(factory=dict)
    evacuations: Evacuations = field(factory=Evacuations)

    def may_serve(self, zone: str, allowed_regions: frozenset[str] | None) -> bool:
        """Return whether upstreams of a zone may get a request that regions are allowed for.

        A zone of an unknown region serves only requests that all regions are allowed for.
        """
        if allowed_regions is not None and not self._is_allowed(zone, allowed_regions):
            return False
        return zone not in self.evacuations.zones

    def explain_refusal(
        self, upstreams: Collection[DirectUpstream], allowed_regions: frozenset[str] | None
    ) -> Refusal | None:
        """Return why none of the ready upstreams of a service may serve; None if one may."""
        if allowed_regions is not None and not allowed_regions:
            return Refusal(NO_COMMON_HOME, False)
        allowed = upstreams
        if allowed_regions is not None:
            allowed = [u for u in upstreams if self._is_allowed(u.zone, allowed_regions)]
        if not allowed and upstreams:
            return Refusal(NONE_IN_HOMES, False)
        if allowed and all(u.zone in self.evacuations.zones for u in allowed):
            return Refusal(ALL_EVACUATED, False)
        return None

    def _is_allowed(self, zone: str, allowed_regions: frozenset[str]) -> bool:
        region = self.region_by_zone.get(zone, "")
        return region != "" and region in allowed_regions
