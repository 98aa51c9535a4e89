"""Learn how long the answers of each route are, and what its length hints are worth."""

from __future__ import annotations

import math

from attrs import define, field, frozen

from daisystack.core.work.histogram import DecayedHistogram, DecayedMean
from daisystack.core.work.recent import RecentTable

__all__ = ["AnswerEstimate", "AnswerLengths"]

HALF_LIFE_S = 60.0
# Weight of what is believed beforehand, as a number of answers.
PRIOR_ANSWERS = 8.0
# Answers of a route differ much, so that a class of hints must show many before it tells anything.
PRIOR_HINTED_ANSWERS = 32.0
# Hints of a route fall into classes of a factor of two around the service's usual answer.
HINT_CLASSES = 9
# A hint lowers the estimate to this quantile of the route's answers at most.
FLOOR_QUANTILE = 0.2
# Lateness is judged by answers as long as this quantile.
LONG_QUANTILE = 0.9
MAX_ROUTES = 512


@frozen
class AnswerEstimate:
    """Expected tokens of an answer, and those of a long one."""

    mean_tokens: float
    long_tokens: float


@define
class _RouteAnswers:
    """Answers of one route, in all and by class of hint."""

    lengths: DecayedHistogram = field(factory=lambda: DecayedHistogram(HALF_LIFE_S))
    by_hint: dict[int, DecayedMean] = field(factory=dict)


@define
class AnswerLengths:
    """Answer lengths by route, learned from complete answers at this entry."""

    routes: RecentTable[_RouteAnswers] = field(
        factory=lambda: RecentTable(_RouteAnswers, MAX_ROUTES)
    )

    def record(
        self, route: str, hint_tokens: int, tokens: float, usual_tokens: float, now_s: float
    ) -> None:
        """Record the length of a complete answer; hint_tokens is 0 for none."""
        answers = self.routes.use(route)
        answers.lengths.add(tokens, now_s)
        hint_class = _hint_class(hint_tokens, usual_tokens)
        answers.by_hint.setdefault(hint_class, DecayedMean(HALF_LIFE_S)).add(tokens, now_s)

    def estimate(
        self, route: str, hint_tokens: int, usual_tokens: float, now_s: float
    ) -> AnswerEstimate:
        """Estimate an answer from its route and hint; hint_tokens is 0 for none.

        A hint counts for as much as answers with such hints had. A wrong one makes a request no
        cheaper than its route's answers.
        """
        answers = self.routes.get(route)
        if answers is None:
            return AnswerEstimate(usual_tokens, usual_tokens)
        lengths = answers.lengths
        mean_tokens = lengths.shrunk_mean(usual_tokens, PRIOR_ANSWERS, now_s)
        floor_tokens = min(mean_tokens, lengths.quantile(FLOOR_QUANTILE))
        hinted = answers.by_hint.get(_hint_class(hint_tokens, usual_tokens))
        if hinted is not None:
            hinted_tokens = hinted.shrunk_mean(mean_tokens, PRIOR_HINTED_ANSWERS, now_s)
            mean_tokens = max(floor_tokens, hinted_tokens)
        return AnswerEstimate(mean_tokens, max(mean_tokens, lengths.quantile(LONG_QUANTILE)))

    def mean_left(self, route: str, seen_tokens: float, usual_tokens: float) -> float:
        """Return the expected tokens left of an answer of which some have come."""
        answers = self.routes.get(route)
        left = answers.lengths.mean_excess(seen_tokens) if answers else None
        return usual_tokens if left is None else left


def _hint_class(hint_tokens: int, usual_tokens: float) -> int:
    """Return a class of hints; 0 is that of answers without one."""
    if hint_tokens <= 0:
        return 0
    doublings = round(math.log2(hint_tokens / max(1.0, usual_tokens)))
    return 1 + min(HINT_CLASSES - 1, max(0, doublings + HINT_CLASSES // 2))
