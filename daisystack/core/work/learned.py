"""Learn the work of requests from what an entry sends and receives."""

from __future__ import annotations

from attrs import define, field, frozen

from daisystack.core.traffic import EngineProfile
from daisystack.core.work.answers import (
    HALF_LIFE_S,
    MAX_ROUTES,
    PRIOR_ANSWERS,
    AnswerEstimate,
    AnswerLengths,
)
from daisystack.core.work.histogram import DecayedMean
from daisystack.core.work.recent import RecentTable

__all__ = ["LearnedWork", "UsualRequest"]

# A stated prompt counts for at most this many usual ones in the mean.
MAX_PROMPT_SIZE = 8


@frozen
class UsualRequest:
    """Mean size of a service's requests."""

    prompt_tokens: float
    answer_tokens: float


@define
class LearnedWork:
    """Sizes of prompts and answers, by route and by service."""

    answers: AnswerLengths = field(factory=AnswerLengths)
    _prompt_tokens: RecentTable[DecayedMean] = field(factory=lambda: _build_table())
    _answer_tokens: RecentTable[DecayedMean] = field(factory=lambda: _build_table())
    # Of plain upstreams, by service and by route.
    _service_times_s: RecentTable[DecayedMean] = field(factory=lambda: _build_table())
    _route_times_s: RecentTable[DecayedMean] = field(factory=lambda: _build_table())

    def record_prompt(
        self, service: str, tokens: int, profile: EngineProfile, now_s: float
    ) -> None:
        """Record the prompt of a request that was sent, as its caller states it."""
        # One caller that states far too much must not make all others look expensive.
        counted = min(tokens, MAX_PROMPT_SIZE * profile.typical_prompt_tokens)
        if counted > 0:
            self._prompt_tokens.use(service).add(counted, now_s)

    def record_answer(
        self,
        service: str,
        route: str,
        hint_tokens: int,
        tokens: float,
        profile: EngineProfile,
        now_s: float,
    ) -> None:
        """Record a complete answer."""
        self._answer_tokens.use(service).add(tokens, now_s)
        usual_tokens = profile.typical_answer_tokens
        self.answers.record(route, hint_tokens, tokens, usual_tokens, now_s)

    def record_service_time(
        self, service: str, route: str, service_time_s: float, now_s: float
    ) -> None:
        """Record how long a plain upstream took for a request."""
        self._service_times_s.use(service).add(service_time_s, now_s)
        self._route_times_s.use(route).add(service_time_s, now_s)

    def service_time_s(self, service: str, route: str, now_s: float) -> float | None:
        """Return the mean time that plain upstreams take for a route; None if not known."""
        usual_s = self.usual_service_time_s(service)
        times_s = self._route_times_s.get(route)
        if usual_s is None or times_s is None:
            return usual_s
        return times_s.shrunk_mean(usual_s, PRIOR_ANSWERS, now_s)

    def usual_service_time_s(self, service: str) -> float | None:
        """Return the mean time that a service's plain upstreams take; None if not known."""
        times_s = self._service_times_s.get(service)
        return times_s.mean() if times_s else None

    def usual_request(self, service: str, profile: EngineProfile, now_s: float) -> UsualRequest:
        """Return the mean size of a service's requests, as published while little was seen."""
        prompts = self._prompt_tokens.get(service)
        answers = self._answer_tokens.get(service)
        return UsualRequest(
            _mean(prompts, profile.typical_prompt_tokens, now_s),
            _mean(answers, profile.typical_answer_tokens, now_s),
        )

    def estimate_answer(
        self, route: str, hint_tokens: int, profile: EngineProfile, now_s: float
    ) -> AnswerEstimate:
        """Estimate the answer to a request."""
        return self.answers.estimate(route, hint_tokens, profile.typical_answer_tokens, now_s)


def _mean(values: DecayedMean | None, published: float, now_s: float) -> float:
    return values.shrunk_mean(published, PRIOR_ANSWERS, now_s) if values else published


def _build_table() -> RecentTable[DecayedMean]:
    return RecentTable(lambda: DecayedMean(HALF_LIFE_S), MAX_ROUTES)
