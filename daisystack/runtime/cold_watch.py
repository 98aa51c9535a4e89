"""Refresh this entry's parts of what cold upstreams take, and log which upstreams are cold."""

from __future__ import annotations

import logging

from attrs import define, field

from daisystack.core.cold_parts import EntriesView
from daisystack.core.membership import Member, MemberRole, Membership
from daisystack.core.placement import DirectUpstream, Placement
from daisystack.runtime.events import (
    ColdUpstreamsKnown,
    ColdUpstreamsUnsure,
    UpstreamCold,
    UpstreamWarm,
)
from daisystack.runtime.logs import log_event

__all__ = ["ColdWatch"]

_logger = logging.getLogger("daisystack.cold")


@define(eq=False)
class ColdWatch:
    """Tell the placement what is known of other entries, and report changes."""

    placement: Placement
    # Cold upstreams as of the last refresh, and when each was first seen to be.
    _cold: dict[str, DirectUpstream] = field(factory=dict)
    _since_s: dict[str, float] = field(factory=dict)
    _is_unsure: bool = False

    def refresh(
        self, own: Member, membership: Membership, expects_peers: bool, at_s: float
    ) -> None:
        """Compute this entry's parts anew from its present view of the others."""
        entries = membership.members(MemberRole.ENTRY)
        zone_ids = frozenset([own.id, *(m.id for m in entries if m.zone == own.zone)])
        sizes = {zone: size for zone, (size, _) in membership.zone_sizes(at_s).items()}
        is_apart = expects_peers and not membership.live(MemberRole.ENTRY, at_s)
        view = EntriesView(own.id, own.zone, zone_ids, sizes, is_apart)
        cold = self.placement.cold
        cold.parts.refresh(view, at_s)
        cold.forget_sent(at_s)
        self._report_unsure(at_s)
        self._report_cold({u.id: u for u in cold.cold(at_s)}, at_s)

    def _report_unsure(self, at_s: float) -> None:
        cold = self.placement.cold
        is_unsure = cold.is_unsure(at_s)
        if is_unsure != self._is_unsure:
            age_s = cold.record_age_s(at_s)
            event = ColdUpstreamsUnsure if is_unsure else ColdUpstreamsKnown
            log_event(_logger, event(age_s, cold.max_record_age_s))
        self._is_unsure = is_unsure

    def _report_cold(self, cold: dict[str, DirectUpstream], at_s: float) -> None:
        table = self.placement.cold
        for upstream_id in cold.keys() - self._cold.keys():
            upstream = cold[upstream_id]
            self._since_s[upstream_id] = at_s
            part = table.part(upstream, at_s) or 0
            age_s = table.record_age_s(at_s)
            log_event(
                _logger,
                UpstreamCold(upstream_id, upstream.started_ms, upstream.cold_left_s, part, age_s),
            )
        for upstream_id in self._cold.keys() - cold.keys():
            started_ms = self._cold[upstream_id].started_ms
            for_s = at_s - self._since_s.pop(upstream_id)
            log_event(_logger, UpstreamWarm(upstream_id, started_ms, for_s))
        self._cold = cold
