"""Learn the rate limits of upstreams from answers and other entries, and keep this entry's part."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from attrs import define

from daisystack.core.direct_request import DirectAnswer
from daisystack.core.membership import Member, Membership
from daisystack.core.placement import DirectUpstream, Placement, SentRequest
from daisystack.core.rate_limits import LimitChange, LimitNews, RateLimits, parse_rate_limit
from daisystack.core.rate_shares import LimitedUpstream, ZoneView, compute_rate_per_s
from daisystack.core.upstream_pauses import Incarnation
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import (
    UpstreamNoticeIgnored,
    UpstreamRateLimited,
    UpstreamRateLimitEnded,
)
from daisystack.runtime.logs import log_event

__all__ = ["RateLimitWatch"]

ANSWER_SOURCE = "answer"
LIMIT_DUTY = "limit"

_logger = logging.getLogger("daisystack.limits")


@define(eq=False)
class RateLimitWatch:
    """Record what upstreams name, tell other entries, and refresh this entry's shares."""

    placement: Placement
    # Called when other entries should hear at once what was learned.
    on_news: Callable[[], None] = lambda: None

    @property
    def limits(self) -> RateLimits:
        """Return the limits that are known."""
        return self.placement.shares.limits

    def record_answer(
        self, upstream: DirectUpstream, sent: SentRequest, answer: DirectAnswer
    ) -> None:
        """Record the limit that the head of an answer names, or that it names none."""
        if answer.rate_limit is None:
            # A refusal may be written without regard to the limit.
            if answer.is_genuine:
                change = self.limits.record_absent(upstream.id, upstream.started_ms, sent.sent_s)
                self._report(change, ANSWER_SOURCE)
            return
        try:
            limit_per_s = parse_rate_limit(answer.rate_limit)
        except ValueError as error:
            log_event(_logger, UpstreamNoticeIgnored(upstream.id, f"rate limit: {error}"))
            return
        change = self.limits.record_named(upstream.id, upstream.started_ms, limit_per_s, now_s())
        self._report(change, ANSWER_SOURCE)

    def apply_reported(self, reported: Iterable[LimitNews], sender_id: str, at_s: float) -> None:
        """Add the limits that another entry knows."""
        for change in self.limits.merge(reported, at_s):
            self._report(change, sender_id)

    def refresh(self, own: Member, membership: Membership, at_s: float) -> None:
        """Compute this entry's shares anew from its present view of the others."""
        sizes = {zone: size for zone, (size, _) in membership.zone_sizes(at_s).items()}

        def rate_for(key: Incarnation, limit_per_s: float) -> float:
            upstream = self.placement.get(key[0])
            if upstream is None or upstream.incarnation != key:
                return 0.0
            served = {u.zone for u in self.placement.upstreams() if u.service == upstream.service}
            limited = LimitedUpstream(upstream.id, upstream.zone, limit_per_s, frozenset(served))
            ranked = membership.ready_ranking(own, f"{LIMIT_DUTY}/{upstream.id}", at_s)
            view = ZoneView(sizes[own.zone], tuple(ranked))
            return compute_rate_per_s(limited, sizes, own.zone, own.id, view)

        self.placement.shares.refresh(rate_for, membership.entry_count(at_s), at_s)

    def _report(self, change: LimitChange | None, source: str) -> None:
        if change is None:
            return
        key = (change.upstream_id, change.started_ms)
        before_per_s = -1.0 if change.before_per_s is None else change.before_per_s
        if change.after_per_s is None:
            log_event(_logger, UpstreamRateLimitEnded(*key, before_per_s, source))
        else:
            log_event(_logger, UpstreamRateLimited(*key, change.after_per_s, before_per_s, source))
        self.on_news()
