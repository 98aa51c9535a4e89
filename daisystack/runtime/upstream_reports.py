"""Record what the answers of upstreams and the ends of attempts tell of the upstreams."""

from __future__ import annotations

import logging

from attrs import define

from daisystack.core.direct_request import DirectAnswer, DirectRequest
from daisystack.core.placement import DirectUpstream, Placement, SentRequest
from daisystack.core.upstream_pauses import parse_pause_s
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime.clock import now_s
from daisystack.runtime.direct_attempt import AttemptResult
from daisystack.runtime.events import UpstreamLeaving, UpstreamNoticeIgnored, UpstreamPaused
from daisystack.runtime.logs import log_event
from daisystack.runtime.rate_limit_watch import RateLimitWatch

__all__ = ["UpstreamReports"]

# Ends of an attempt that say nothing against its upstream.
_ENDS_WITHOUT_FAULT = frozenset(
    {AttemptEnd.REFUSED_AT_GATE, AttemptEnd.NOT_SENT, AttemptEnd.WITHDRAWN}
)

_logger = logging.getLogger("daisystack.requests")


@define(eq=False)
class UpstreamReports:
    """Pass on what is learned of upstreams to the placement and the rate limits."""

    placement: Placement
    rate_limits: RateLimitWatch

    def record_head(
        self,
        request: DirectRequest,
        sent: SentRequest,
        upstream: DirectUpstream,
        answer: DirectAnswer,
    ) -> None:
        """Record the head of a response, if the upstream that was addressed wrote it."""
        if answer.is_from_upstream(request.id):
            self._record_notices(upstream, answer)
            self.rate_limits.record_answer(upstream, sent, answer)

    def _record_notices(self, upstream: DirectUpstream, answer: DirectAnswer) -> None:
        """Record what an upstream says of itself in the head of a response."""
        at_s = now_s()
        pauses = self.placement.pauses
        if answer.is_leaving and pauses.record_leaving(upstream.id, upstream.started_ms, at_s):
            log_event(_logger, UpstreamLeaving(upstream.id, upstream.started_ms))
        if answer.retry_after is None:
            return
        try:
            pause_s = parse_pause_s(answer.retry_after)
        except ValueError as error:
            log_event(_logger, UpstreamNoticeIgnored(upstream.id, f"Retry-After: {error}"))
            return
        pauses.record_pause(upstream.id, upstream.started_ms, pause_s, at_s)
        log_event(_logger, UpstreamPaused(upstream.id, upstream.started_ms, pause_s))

    def record_result(self, upstream: DirectUpstream, result: AttemptResult, is_down: bool) -> None:
        """Record how an attempt ended, and whether its upstream has crashed."""
        at_s = now_s()
        if result.end is AttemptEnd.ANSWERED:
            self.placement.record_success(upstream.id, at_s)
            return
        if result.end is AttemptEnd.CONNECT_FAILED:
            self.placement.avoid(upstream.id, at_s)
        if result.end not in _ENDS_WITHOUT_FAULT:
            self.placement.record_failure(upstream.id, at_s)
        if is_down:
            self.placement.avoid(upstream.id, now_s())
