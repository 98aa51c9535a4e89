"""Decide which upstreams may get a request."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from daisystack.core.cold_upstreams import ColdUpstreams
from daisystack.core.placement.counts import RequestCounts
from daisystack.core.placement.prediction import START_WAIT_FACTOR, Prediction
from daisystack.core.placement.records import (
    DirectUpstream,
    PlacementRequirements,
    Refusal,
    SentRequest,
)
from daisystack.core.placement.view import UpstreamView
from daisystack.core.rate_shares import RateShares
from daisystack.core.upstream_pauses import UpstreamPauses

__all__ = ["Eligibility"]

START_MARGIN_S = 1.2
# Without reports from its agent, an engine's queue is unknown, and nothing orders it to load.
NO_STATUS_MARGIN_S = 2.5
# After a pause, an engine has processed the requests that waited in its queue within this time.
UNINTERRUPTED_AFTER_S = 2.0


@define
class Eligibility:
    """Rules that exclude upstreams, whatever their load."""

    view: UpstreamView
    counts: RequestCounts
    prediction: Prediction
    pauses: UpstreamPauses
    shares: RateShares
    cold: ColdUpstreams

    def is_eligible(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> bool:
        """Return whether a request may be sent to an upstream now."""
        if upstream.service != requirements.service or not upstream.is_ready:
            return False
        if upstream.id in requirements.excluded:
            return False
        allowed_regions = requirements.allowed_regions
        # Asked for each upstream at each choice.
        is_restricted = allowed_regions is not None or self.view.places.evacuations.zones
        if is_restricted and not self.view.places.may_serve(upstream.zone, allowed_regions):
            return False
        if self.pauses.is_blocked(upstream.id, upstream.started_ms, now_s):
            return False
        is_unlimited = self.shares.limits.is_empty
        if not is_unlimited and not self.shares.may_send(upstream.incarnation, now_s):
            return False
        if not self.cold.admits(upstream, now_s):
            return False
        if not upstream.has_engine:
            return True
        status = self.view.engines.get(upstream.address, now_s)
        if status is not None and status.is_loading and status.started_ms == upstream.started_ms:
            return False
        version = self.view.version_of(upstream, now_s)
        if requirements.exact_version is not None and version != requirements.exact_version:
            return False
        return version > 0 and self._starts_in_time(upstream, requirements, version, now_s)

    def _starts_in_time(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        version: int,
        now_s: float,
    ) -> bool:
        """Return whether a request surely starts before its engine's version expires.

        The engine itself observes the end as a deadline if the answer should be complete by then.
        Else the request must start at once, where a close reaches the engine soon.
        """
        deadline_s = (
            requirements.version_deadline_s(version)
            if requirements.version_deadline_s
            else float("inf")
        )
        if deadline_s == float("inf"):
            return True
        expected_s = self.prediction.first_event_s(upstream, requirements, now_s) or 0.0
        is_monitored = self.view.fresh_status(upstream.id, now_s) is not None
        is_monitored = (
            is_monitored
            and self.view.engines.uninterrupted_s(upstream.address, now_s) >= UNINTERRUPTED_AFTER_S
        )
        margin_s = START_MARGIN_S if is_monitored else NO_STATUS_MARGIN_S
        if now_s + START_WAIT_FACTOR * expected_s + margin_s > deadline_s:
            return False
        if self.prediction.ends_before(upstream, requirements, deadline_s, now_s):
            return True
        is_near = upstream.zone == requirements.zone
        return is_near and self.counts.in_flight(upstream.id, now_s) < upstream.slots

    def may_send(
        self, upstream: DirectUpstream, now_s: float, allowed_regions: frozenset[str] | None
    ) -> bool:
        """Return whether the incarnation that was chosen may still get a request."""
        present = self.view.upstreams.get(upstream.id)
        if present is None or not present.is_ready or present.started_ms != upstream.started_ms:
            return False
        # The request goes to the address that was published with the zone at the choice.
        zones = {upstream.zone, present.zone}
        if not all(self.view.places.may_serve(zone, allowed_regions) for zone in zones):
            return False
        return not self.pauses.is_blocked(upstream.id, upstream.started_ms, now_s)

    def start_deadline_s(
        self,
        sent: SentRequest,
        version_deadline_s: Callable[[int], float] | None,
        now_s: float,
    ) -> float:
        """Return until when an engine may begin a request that it was sent; inf without a limit."""
        if version_deadline_s is None or sent.version == 0:
            return float("inf")
        status = self.view.fresh_status(sent.upstream_id, now_s)
        has_loaded = status is not None and status.is_complete and not status.is_loading
        return version_deadline_s(max(sent.version, status.version if has_loaded else 0))

    def refuse_without_upstream(self, requirements: PlacementRequirements, now_s: float) -> Refusal:
        """Return why no upstream may get a request."""
        ready = [
            u
            for u in self.view.upstreams.values()
            if u.service == requirements.service and u.is_ready
        ]
        places, allowed_regions = self.view.places, requirements.allowed_regions
        refusal = places.explain_refusal(ready, allowed_regions)
        if refusal is not None:
            return refusal
        allowed = [u for u in ready if places.may_serve(u.zone, allowed_regions)]
        incarnations = [u.incarnation for u in allowed]
        # Other upstreams may accept requests again long before a limit allows the next one.
        if incarnations and not any(self.shares.may_send(key, now_s) for key in incarnations):
            return_s = self.shares.plan_return_s(requirements.service, incarnations, now_s)
            return Refusal("the rate limits of the upstreams are used up", False, return_s)
        if any(self._is_bound_as_cold(u, now_s) for u in allowed):
            # Callers of an entry that holds no parts yet would come back in vain before it does.
            settles_in_s = self.cold.parts.settles_in_s(now_s)
            return Refusal("cold upstreams get no more of it now", True, settles_in_s or None)
        end_s = self.pauses.next_end_s(incarnations, now_s)
        if end_s is None:
            return Refusal("no upstream is there for it", False)
        return Refusal("the upstreams want a pause", False, end_s - now_s)

    def _is_bound_as_cold(self, upstream: DirectUpstream, now_s: float) -> bool:
        if self.pauses.is_blocked(upstream.id, upstream.started_ms, now_s):
            return False
        return self.cold.part(upstream, now_s) is not None
