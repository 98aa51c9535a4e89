"""Log the limits that upstreams name."""

from __future__ import annotations

import logging

from daisystack.core.rate_limits import LimitChange
from daisystack.runtime.events import UpstreamRateLimited, UpstreamRateLimitEnded
from daisystack.runtime.logs import log_event

__all__ = ["ANSWER_SOURCE", "log_limit_change"]

ANSWER_SOURCE = "answer"

_logger = logging.getLogger("daisystack.limits")


def log_limit_change(change: LimitChange | None, source: str) -> None:
    """Log what changed, if anything did."""
    if change is None:
        return
    key = (change.upstream_id, change.started_ms)
    before_per_s = -1.0 if change.before_per_s is None else change.before_per_s
    if change.after_per_s is None:
        log_event(_logger, UpstreamRateLimitEnded(*key, before_per_s, source))
    else:
        log_event(_logger, UpstreamRateLimited(*key, change.after_per_s, before_per_s, source))
