"""Choose upstreams for requests that an entry sends without an agent in between.

The choice uses the entry's own counts and the reports of agents and other entries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice

from attrs import define, field

from daisystack.core.cold_upstreams import ColdUpstreams
from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.placement.by_rank import PlacementByRank
from daisystack.core.placement.counts import RequestCounts
from daisystack.core.placement.eligibility import Eligibility
from daisystack.core.placement.health import AVOID_S, UpstreamHealth
from daisystack.core.placement.places import Places
from daisystack.core.placement.prediction import Prediction
from daisystack.core.placement.records import (
    AttemptWork,
    DirectUpstream,
    PlacementRequirements,
    RandomSource,
    Refusal,
    SentRequest,
)
from daisystack.core.placement.view import UpstreamView
from daisystack.core.placement.work_prediction import WorkPrediction
from daisystack.core.rate_shares import RateShares
from daisystack.core.traffic import EngineProfile
from daisystack.core.upstream_pauses import UpstreamPauses

__all__ = ["Placement"]

# Upstreams compared for a request: some of the entry's zone, and one of another zone so that a busy
# zone spills over. Many entries that all took the best of all would crowd it until its next report.
NEAR_CHOICES = 2
FAR_CHOICES = 1
# The round trip to another zone, and the cost of the bytes on the links between zones.
CROSS_ZONE_S = 0.03
# The same for plain upstreams, as a number of requests that already run in the local zone.
CROSS_ZONE_REQUESTS = 1.0
# Plain requests are short compared with their latency objective, so one request per slot may queue.
PLAIN_QUEUE_SHARE = 1.0
# Requests that may queue at an engine per slot, regardless of the predicted latency.
ENGINE_QUEUE_SHARE = 0.5
# Requests that were admitted by urgency are sent unless they are expected to be late.
ADMITTED_SLACK = 1.0
# Each second that a request delays the loading of weights is lost for the engine's other slots.
OVERRUN_COST = 0.5
# A late answer is worth a quarter of one in time, so resubmitted requests get free slots only.
RESUBMISSION_SHARE = 1.0


@define
class Placement:
    """Choose among the published upstreams, with what is known of the requests at each."""

    draw: RandomSource
    engines: EngineStatusTable
    profiles: dict[str, EngineProfile] = field(factory=dict)
    pauses: UpstreamPauses = field(factory=UpstreamPauses)
    shares: RateShares = field(factory=RateShares)
    cold: ColdUpstreams = field(factory=ColdUpstreams)
    zone: str = ""
    places: Places = field(factory=Places)
    predicts_work: bool = False
    view: UpstreamView = field(init=False)
    counts: RequestCounts = field(init=False)
    prediction: Prediction = field(init=False)
    work: WorkPrediction = field(init=False)
    health: UpstreamHealth = field(init=False)
    eligibility: Eligibility = field(init=False)
    by_rank: PlacementByRank = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.view = UpstreamView(self.engines, self.profiles, self.zone, places=self.places)
        self.cold.engines = self.engines
        self.counts = RequestCounts(self.view, self.shares, self.cold)
        self.work = WorkPrediction(self.view, self.counts)
        self.prediction = self.work if self.predicts_work else Prediction(self.view, self.counts)
        self.health = UpstreamHealth(self.view, self.counts)
        self.eligibility = Eligibility(
            self.view, self.counts, self.prediction, self.pauses, self.shares, self.cold
        )
        self.by_rank = PlacementByRank(self.view, self.prediction)

    def tells_returns(self, service: str) -> bool:
        """Return whether the choice for a service depends on which callers really returned."""
        return self.predicts_work or self.by_rank.has_ranks(service)

    def update_profiles(self, profiles: dict[str, EngineProfile]) -> None:
        """Store the published profile of each service with engines."""
        self.profiles = profiles
        self.view.profiles = profiles

    def update_upstream(self, upstream: DirectUpstream, now_s: float = float("-inf")) -> None:
        """Store the published record of an upstream; now_s matters if it can be cold."""
        self.view.upstreams[upstream.id] = upstream
        self.cold.record(upstream, now_s)
        self.counts.count_engines()

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream that is no longer published."""
        self.view.upstreams.pop(upstream_id, None)
        self.health.forget(upstream_id)
        self.cold.forget(upstream_id)
        self.counts.forget(upstream_id)
        self.counts.count_engines()

    def get(self, upstream_id: str) -> DirectUpstream | None:
        """Return the published record of an upstream, or None."""
        return self.view.upstreams.get(upstream_id)

    def upstreams(self) -> Iterable[DirectUpstream]:
        """Return all published upstreams."""
        return self.view.upstreams.values()

    def begin(
        self,
        upstream_id: str,
        prompt_tokens: int,
        now_s: float,
        requirements: PlacementRequirements | None = None,
    ) -> SentRequest:
        """Record a request as sent, count it as in flight and return the record."""
        sent = self.counts.begin(upstream_id, prompt_tokens, now_s)
        if self.predicts_work and requirements is not None:
            self.work.record_sent(sent, requirements, now_s)
        return sent

    def record_answer(self, sent: SentRequest, now_s: float) -> AttemptWork | None:
        """Learn from the whole answer to a request; return its work, None if none was predicted."""
        return self.work.record_answer(sent, now_s) if self.predicts_work else None

    def end(self, sent: SentRequest, now_s: float) -> None:
        """Record that a request has ended; it no longer counts as in flight."""
        self.counts.end(sent, now_s)

    def take_share(self, sent: SentRequest, now_s: float) -> bool:
        """Count a request as sent now; return False if its upstream gets no more."""
        return self.counts.take_share(sent, now_s)

    def own_counts(self) -> dict[str, int]:
        """Return this entry's requests in flight at each upstream, to report to other entries."""
        return self.counts.own_counts()

    def update_entry_counts(
        self, entry_id: str, zone: str, counts: dict[str, int], now_s: float
    ) -> None:
        """Store the requests in flight that another entry of a zone reports."""
        self.counts.update_entry_counts(entry_id, zone, counts, now_s)

    def in_flight(self, upstream_id: str, now_s: float) -> float:
        """Estimate an upstream's requests in flight, from its agent's fresh report if any."""
        return self.counts.in_flight(upstream_id, now_s)

    def record_success(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream answered."""
        self.health.record_success(upstream_id, now_s)

    def record_failure(self, upstream_id: str, now_s: float) -> None:
        """Record a failure caused by the upstream itself."""
        self.health.record_failure(upstream_id, now_s)

    def avoid(self, upstream_id: str, now_s: float, pause_s: float = AVOID_S) -> None:
        """Send no requests to an upstream for pause_s, unless there is no other."""
        self.health.avoid(upstream_id, now_s, pause_s)

    def is_stuck(self, sent: SentRequest, now_s: float) -> bool:
        """Return whether a request waits at an engine whose machine is unresponsive."""
        return self.health.is_stuck(sent, now_s)

    def predict_first_event_s(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float | None:
        """Predict the time to the first event in seconds; None for a plain upstream."""
        return self.prediction.first_event_s(upstream, requirements, now_s)

    def run_until_s(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float:
        """Return the deadline to give to an engine for the end of its version; inf for none."""
        return self.prediction.run_until_s(upstream, requirements, now_s)

    def version_of(self, upstream: DirectUpstream, now_s: float) -> int:
        """Return the version that an engine holds completely, from its agent's report if any."""
        return self.view.version_of(upstream, now_s)

    def may_send(
        self,
        upstream: DirectUpstream,
        now_s: float,
        allowed_regions: frozenset[str] | None = None,
    ) -> bool:
        """Return whether the incarnation that was chosen may still get a request."""
        return self.eligibility.may_send(upstream, now_s, allowed_regions)

    def start_deadline_s(
        self,
        sent: SentRequest,
        version_deadline_s: Callable[[int], float] | None,
        now_s: float,
    ) -> float:
        """Return until when an engine may begin a request that it was sent; inf without a limit."""
        return self.eligibility.start_deadline_s(sent, version_deadline_s, now_s)

    def choose(self, requirements: PlacementRequirements, now_s: float) -> DirectUpstream | Refusal:
        """Return the upstream with the lowest cost for a request, or why there is none."""
        with self.prediction.fixed_moment():
            eligible = [
                u
                for u in self.view.upstreams.values()
                if self.eligibility.is_eligible(u, requirements, now_s)
            ]
        if not eligible:
            return self.eligibility.refuse_without_upstream(requirements, now_s)
        is_usual = requirements.allowed_regions is None and requirements.exact_version is None
        if is_usual and not requirements.excluded:
            self.counts.count_eligible(requirements.service, eligible)
        with self.prediction.fixed_moment():
            return self._choose_among(eligible, requirements, now_s)

    def _choose_among(
        self, eligible: list[DirectUpstream], requirements: PlacementRequirements, now_s: float
    ) -> DirectUpstream | Refusal:
        preferred = [u for u in eligible if not self._is_avoided(u, now_s)] or eligible
        admitted = self.by_rank.admit(preferred, requirements, now_s)
        if admitted is not None and not admitted.is_admitted:
            return self.by_rank.refuse(admitted.reason, admitted, requirements, now_s)
        judged = self.by_rank.limit_prompt(requirements)
        if self._draws_first(preferred, requirements):
            available = self._draw_available(preferred, judged, now_s)
        else:
            available = [u for u in preferred if self._has_capacity(u, judged, now_s)]
        if not available:
            reason = f"all {len(preferred)} upstreams are full"
            return self.by_rank.refuse(reason, admitted, requirements, now_s)
        if requirements.is_bulk_failover:
            # All entries would choose the same upstream; two random choices spread the load.
            available = self._draw_some(available, 2)
        elif available[0].has_engine:
            near = [u for u in available if u.zone == requirements.zone]
            far = [u for u in available if u.zone != requirements.zone]
            far_choices = FAR_CHOICES if near else NEAR_CHOICES
            available = self._draw_some(near, NEAR_CHOICES) + self._draw_some(far, far_choices)
        return min(
            available, key=lambda u: (self._cost(u, requirements, now_s), self.draw.random())
        )

    def _draws_first(
        self, upstreams: list[DirectUpstream], requirements: PlacementRequirements
    ) -> bool:
        is_compared = upstreams[0].has_engine and not requirements.is_bulk_failover
        return self.predicts_work and is_compared

    def _draw_available(
        self, upstreams: list[DirectUpstream], requirements: PlacementRequirements, now_s: float
    ) -> list[DirectUpstream]:
        """Return as many upstreams with capacity as are compared, without predicting for all."""
        drawn = sorted(upstreams, key=lambda u: self.draw.random())
        available: list[DirectUpstream] = []
        for is_near in (True, False):
            enough = FAR_CHOICES if available else NEAR_CHOICES
            same = (u for u in drawn if (u.zone == requirements.zone) is is_near)
            fitting = (u for u in same if self._has_capacity(u, requirements, now_s))
            available += islice(fitting, enough)
        return available

    def _draw_some(self, upstreams: list[DirectUpstream], count: int) -> list[DirectUpstream]:
        if len(upstreams) <= count:
            return upstreams
        return sorted(upstreams, key=lambda u: self.draw.random())[:count]

    def _has_capacity(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> bool:
        in_flight = self.counts.in_flight(upstream.id, now_s)
        if in_flight >= _max_requests(upstream):
            return False
        expected_s = self.prediction.first_event_s(upstream, requirements, now_s)
        if expected_s is None:
            return True
        if requirements.is_resubmission:
            return in_flight < upstream.slots * RESUBMISSION_SHARE
        if requirements.first_event_time_left_s is None:
            return True
        if not self.by_rank.has_ranks(requirements.service):
            return self.prediction.is_in_time(
                upstream, requirements, expected_s, requirements.first_event_time_left_s, now_s
            )
        if in_flight > upstream.slots:
            expected_s += self.by_rank.queue_shift_s(upstream, requirements.priority, now_s)
        return expected_s <= requirements.first_event_time_left_s * ADMITTED_SLACK

    def _cost(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float:
        is_cross_zone = upstream.zone != requirements.zone
        expected_s = self.prediction.first_event_s(upstream, requirements, now_s)
        if expected_s is not None:
            expected_s += CROSS_ZONE_S if is_cross_zone else 0.0
            expected_s += OVERRUN_COST * self.prediction.overrun_s(
                upstream, requirements, expected_s, now_s
            )
            return expected_s * self.health.penalty(upstream.id, now_s)
        requests = self.prediction.plain_requests(upstream, now_s) + (
            CROSS_ZONE_REQUESTS if is_cross_zone else 0.0
        )
        return (requests + 1.0) / upstream.slots * self.health.penalty(upstream.id, now_s)

    def _is_avoided(self, upstream: DirectUpstream, now_s: float) -> bool:
        if self.health.is_avoided(upstream.id, now_s):
            return True
        if self.pauses.is_leaving(upstream.id, upstream.started_ms):
            return True
        return upstream.has_engine and self.health.is_unresponsive(upstream, now_s)


def _max_requests(upstream: DirectUpstream) -> int:
    share = ENGINE_QUEUE_SHARE if upstream.has_engine else PLAIN_QUEUE_SHARE
    return upstream.slots + max(1, round(upstream.slots * share))
