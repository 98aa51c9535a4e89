"""Predict times at engines from the work of requests that was learned."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.engine_latency import NETWORK_OVERHEAD_S, EngineLoad
from daisystack.core.placement.prediction import Prediction
from daisystack.core.placement.records import (
    AttemptWork,
    DirectUpstream,
    PlacementRequirements,
    SentRequest,
)
from daisystack.core.traffic import EngineProfile
from daisystack.core.work import (
    AnswerEstimate,
    LearnedWork,
    UsualRequest,
    pass_s,
    prefill_passes,
    prefill_s,
    request_work_s,
)

__all__ = ["WorkPrediction"]

# Between these shares of taken slots, the reserve for a request that gets in between grows from
# none to all. An engine with many free slots takes what the objective allows.
RESERVE_FROM_SHARE = 0.5
RESERVE_FULL_SHARE = 0.75


@define
class WorkPrediction(Prediction):
    """Predict from the sizes of requests seen and from what the own ones have left."""

    learned: LearnedWork = field(factory=LearnedWork)

    def record_sent(
        self, sent: SentRequest, requirements: PlacementRequirements, now_s: float
    ) -> None:
        """Record what is known of a request that is sent."""
        profile = self.view.profiles.get(requirements.service)
        sent.service = requirements.service
        sent.route = requirements.route
        sent.hint_tokens = requirements.answer_tokens
        if profile is None:
            sent.predicted_work_s = self.learned.service_time_s(sent.service, sent.route, now_s)
            return
        self.learned.record_prompt(sent.service, sent.prompt_tokens, profile, now_s)
        tokens = self.answer_tokens(requirements, now_s)
        sent.predicted_work_s = self._engine_work_s(sent, profile, tokens)

    def record_answer(self, sent: SentRequest, now_s: float) -> AttemptWork | None:
        """Learn from a whole answer; return its work, None if none was predicted."""
        profile = self.view.profiles.get(sent.service)
        if profile is None:
            seen_s = now_s - sent.sent_s
            self.learned.record_service_time(sent.service, sent.route, seen_s, now_s)
        else:
            tokens = sent.event_count * profile.steps_per_pass
            self.learned.record_answer(
                sent.service, sent.route, sent.hint_tokens, tokens, profile, now_s
            )
            seen_s = self._engine_work_s(sent, profile, tokens)
        if sent.predicted_work_s is None:
            return None
        return AttemptWork(sent.predicted_work_s, seen_s)

    def plain_requests(self, upstream: DirectUpstream, now_s: float) -> float:
        """Return what a plain upstream still has to do, in requests of usual length."""
        requests = self.counts.in_flight(upstream.id, now_s)
        usual_s = self.learned.usual_service_time_s(upstream.service)
        if not usual_s:
            return requests
        # Those of other entries count as usual ones.
        for sent in self.counts.own_at(upstream.id):
            if sent.predicted_work_s is not None:
                left_s = max(0.0, sent.predicted_work_s - (now_s - sent.sent_s))
                requests += left_s / usual_s - 1.0
        return max(0.0, requests)

    def _engine_work_s(self, sent: SentRequest, profile: EngineProfile, tokens: float) -> float:
        upstream = self.view.upstreams.get(sent.upstream_id)
        slots = upstream.slots if upstream else 1
        return request_work_s(profile, slots, sent.prompt_tokens, tokens)

    def first_event_s(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float | None:
        """Predict the time to the first event in seconds; None for a plain upstream."""
        profile = self.view.profiles.get(upstream.service)
        if profile is None:
            return None
        load = self.engine_load(upstream, profile, now_s)
        tokens = load.pending_prompt_tokens + requirements.prompt_tokens
        # The pass in which the request arrives comes before those that process its prompt.
        passes = 1 + prefill_passes(profile, tokens)
        running_s = passes * pass_s(profile, min(load.requests, load.slots))
        busy_s = (running_s + prefill_s(profile, tokens)) * load.slowdown
        return NETWORK_OVERHEAD_S + busy_s + load.slot_wait_s

    def answer_tokens(self, requirements: PlacementRequirements, now_s: float) -> float:
        """Return the expected length of an answer; 0 if unknown."""
        answer = self._estimate_answer(requirements, now_s)
        return answer.mean_tokens if answer else 0.0

    def long_answer_tokens(self, requirements: PlacementRequirements, now_s: float) -> float:
        """Return how long an answer may well get; 0 if unknown."""
        if requirements.max_answer_tokens:
            return requirements.max_answer_tokens
        answer = self._estimate_answer(requirements, now_s)
        return answer.long_tokens if answer else 0.0

    def _estimate_answer(
        self, requirements: PlacementRequirements, now_s: float
    ) -> AnswerEstimate | None:
        profile = self.view.profiles.get(requirements.service)
        if profile is None:
            return None
        return self.learned.estimate_answer(
            requirements.route, requirements.answer_tokens, profile, now_s
        )

    def is_in_time(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        expected_s: float,
        time_left_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a first event is likely in time if one more request gets in between.

        A request's own work is certain however large it is, so that the reserve doesn't grow with
        it.
        """
        profile = self.view.profiles[upstream.service]
        reserve_s = pass_s(profile, upstream.slots)
        reserve_s += prefill_s(profile, profile.typical_prompt_tokens)
        load = self.engine_load(upstream, profile, now_s)
        reserve_s *= load.slowdown * _reserve_share(load)
        return expected_s + reserve_s <= time_left_s

    def _compute_load(
        self, upstream: DirectUpstream, profile: EngineProfile, now_s: float
    ) -> EngineLoad:
        usual = self.learned.usual_request(upstream.service, profile, now_s)
        own = list(self.counts.own_at(upstream.id))
        pending = [sent for sent in own if not sent.is_prefilled]
        tokens = sum(sent.prompt_tokens for sent in pending)
        status = self.view.fresh_status(upstream.id, now_s)
        slowdown = 1.0
        if status is not None:
            reported = sum(1 for sent in pending if sent.sent_s <= status.read_s)
            # Queued requests beyond those of this entry were sent by other entries.
            tokens += max(0, status.queued - reported) * usual.prompt_tokens
            slowdown = status.slowdown
        requests = self.counts.in_flight(upstream.id, now_s)
        running = [sent for sent in own if sent.is_prefilled]
        wait_s = slowdown * self._slot_wait_s(upstream, profile, usual, running, requests)
        return EngineLoad(upstream.slots, requests, tokens, slowdown, wait_s)

    def _slot_wait_s(
        self,
        upstream: DirectUpstream,
        profile: EngineProfile,
        usual: UsualRequest,
        running: list[SentRequest],
        requests: float,
    ) -> float:
        """Return the time until enough requests have ended for a new one to get a slot."""
        ahead = requests + 1.0 - upstream.slots
        if ahead <= 0:
            return 0.0
        usual_passes = max(1.0, usual.answer_tokens / profile.steps_per_pass)
        ends_per_pass = max(0.0, upstream.slots - len(running)) / usual_passes
        ends_per_pass += sum(1.0 / self._passes_left(sent, profile, usual) for sent in running)
        # Those that get the slots have prompts to process.
        full_pass_s = pass_s(profile, upstream.slots)
        full_pass_s += ends_per_pass * prefill_s(profile, usual.prompt_tokens)
        return ahead / ends_per_pass * full_pass_s

    def _passes_left(self, sent: SentRequest, profile: EngineProfile, usual: UsualRequest) -> float:
        seen_tokens = sent.event_count * profile.steps_per_pass
        left_tokens = self.learned.answers.mean_left(sent.route, seen_tokens, usual.answer_tokens)
        return max(1.0, left_tokens / profile.steps_per_pass)


def _reserve_share(load: EngineLoad) -> float:
    span = RESERVE_FULL_SHARE - RESERVE_FROM_SHARE
    return min(1.0, max(0.0, (load.requests / load.slots - RESERVE_FROM_SHARE) / span))
