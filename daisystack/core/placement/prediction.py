"""Predict how long requests take at engines from profiles, reports and own counts."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from daisystack.core.engine_latency import EngineLoad, predict_first_event_s, predict_service_time_s
from daisystack.core.placement.counts import RequestCounts
from daisystack.core.placement.records import DirectUpstream, PlacementRequirements
from daisystack.core.placement.view import UpstreamView
from daisystack.core.traffic import EngineProfile

__all__ = ["Prediction"]

# Waits for a slot vary by this factor. When many entries see an idle engine at the same moment, as
# after a pause of its machine, their requests wait up to a second longer than predicted.
START_WAIT_FACTOR = 2.0
# Answers of an engine with full slots vary by this factor around the prediction.
RUN_TIME_FACTOR = 1.5
# A request predicted to use more than this share of its time is late about half of the time.
OBJECTIVE_SLACK = 0.7


@define
class Prediction:
    """Predict first events, ends and delayed loads of requests at engines."""

    view: UpstreamView
    counts: RequestCounts
    # Loads computed at a moment at which nothing changes; None outside of one.
    _loads: dict[str, EngineLoad] | None = field(default=None, init=False)

    @contextmanager
    def fixed_moment(self) -> Iterator[None]:
        """Keep the load of each engine while several predictions are made at one moment."""
        self._loads = {}
        self.counts.begin_moment()
        try:
            yield
        finally:
            self._loads = None
            self.counts.end_moment()

    def first_event_s(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float | None:
        """Predict the time to the first event in seconds; None for a plain upstream."""
        profile = self.view.profiles.get(upstream.service)
        if profile is None:
            return None
        load = self.engine_load(upstream, profile, now_s)
        return predict_first_event_s(profile, load, requirements.prompt_tokens)

    def answer_tokens(self, requirements: PlacementRequirements, now_s: float) -> float:
        """Return the expected length of an answer; 0 if unknown."""
        return requirements.answer_tokens

    def long_answer_tokens(self, requirements: PlacementRequirements, now_s: float) -> float:
        """Return how long an answer may well get; 0 if unknown."""
        return requirements.max_answer_tokens or requirements.answer_tokens

    def is_in_time(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        expected_s: float,
        time_left_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a first event that is predicted after expected_s is likely in time."""
        return expected_s <= time_left_s * OBJECTIVE_SLACK

    def plain_requests(self, upstream: DirectUpstream, now_s: float) -> float:
        """Return what a plain upstream still has to do, in requests of usual length."""
        return self.counts.in_flight(upstream.id, now_s)

    def engine_load(
        self, upstream: DirectUpstream, profile: EngineProfile, now_s: float
    ) -> EngineLoad:
        """Return the load of an engine, requests included that no report shows yet."""
        if self._loads is None:
            return self._compute_load(upstream, profile, now_s)
        load = self._loads.get(upstream.id)
        if load is None:
            load = self._loads[upstream.id] = self._compute_load(upstream, profile, now_s)
        return load

    def _compute_load(
        self, upstream: DirectUpstream, profile: EngineProfile, now_s: float
    ) -> EngineLoad:
        pending = [sent for sent in self.counts.own_at(upstream.id) if not sent.is_prefilled]
        tokens = sum(sent.prompt_tokens for sent in pending)
        status = self.view.fresh_status(upstream.id, now_s)
        if status is not None:
            reported = sum(1 for sent in pending if sent.sent_s <= status.read_s)
            # Queued requests beyond those of this entry were sent by other entries.
            tokens += max(0, status.queued - reported) * profile.typical_prompt_tokens
        requests = self.counts.in_flight(upstream.id, now_s)
        slowdown = status.slowdown if status is not None else 1.0
        return EngineLoad(upstream.slots, requests, tokens, slowdown)

    def ends_before(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        deadline_s: float,
        now_s: float,
    ) -> bool:
        """Return whether even a long answer should be complete before a deadline."""
        profile = self.view.profiles.get(upstream.service)
        if profile is None:
            return False
        load = self.engine_load(upstream, profile, now_s)
        expected_s = self.first_event_s(upstream, requirements, now_s) or 0.0
        tokens = self.long_answer_tokens(requirements, now_s)
        run_s = predict_service_time_s(profile, load, tokens)
        end_s = now_s + START_WAIT_FACTOR * expected_s + RUN_TIME_FACTOR * run_s
        return end_s <= deadline_s

    def run_until_s(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float:
        """Return the deadline to give to an engine for the end of its version; inf for none."""
        if not upstream.has_engine or requirements.version_deadline_s is None:
            return float("inf")
        deadline_s = requirements.version_deadline_s(self.view.version_of(upstream, now_s))
        if self.ends_before(upstream, requirements, deadline_s, now_s):
            return deadline_s
        return float("inf")

    def overrun_s(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        expected_s: float,
        now_s: float,
    ) -> float:
        """Return for how many seconds a request would delay the loading of other weights."""
        status = self.view.fresh_status(upstream.id, now_s)
        if status is None or status.loads_at_s is None:
            return 0.0
        profile = self.view.profiles[upstream.service]
        load = self.engine_load(upstream, profile, now_s)
        tokens = self.answer_tokens(requirements, now_s)
        service_time_s = predict_service_time_s(profile, load, tokens)
        return max(0.0, now_s + expected_s + service_time_s - status.loads_at_s)
