"""Published upstreams beside the reports of their engines."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.core.placement.places import Places
from daisystack.core.placement.records import DirectUpstream
from daisystack.core.traffic import EngineProfile

__all__ = ["STATUS_LIFETIME_S", "UpstreamView"]

# An engine's load is unknown when its agent has sent no report for this long.
STATUS_LIFETIME_S = 0.6


@define
class UpstreamView:
    """The upstreams that an entry knows, its zone, and what their engines last reported."""

    engines: EngineStatusTable
    profiles: dict[str, EngineProfile]
    zone: str = ""
    upstreams: dict[str, DirectUpstream] = field(factory=dict)
    places: Places = field(factory=Places)

    def fresh_status(self, upstream_id: str, now_s: float) -> EngineStatus | None:
        """Return the report of an engine unless it is too old to tell the load."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is None or not upstream.has_engine:
            return None
        status = self.engines.get(upstream.address, now_s)
        if status is None or status.started_ms != upstream.started_ms:
            return None
        return status if now_s - status.read_s <= STATUS_LIFETIME_S else None

    def version_of(self, upstream: DirectUpstream, now_s: float) -> int:
        """Return the version that an engine holds completely, from its agent's report if any."""
        status = self.engines.get(upstream.address, now_s)
        if status is None or status.started_ms != upstream.started_ms:
            return upstream.version
        return status.version if status.is_complete else 0
