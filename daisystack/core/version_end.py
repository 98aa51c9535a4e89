"""Decide whether a request that waits at an engine may still begin on its weight version."""

from __future__ import annotations

from daisystack.core.placement import SentRequest

__all__ = ["WITHDRAW_BEFORE_END_S", "must_withdraw"]

# Covers the interval between two checks, a busy event loop, and the way of the close to the engine.
WITHDRAW_BEFORE_END_S = 0.5


def must_withdraw(sent: SentRequest, start_deadline_s: float, now_s: float) -> bool:
    """Return whether an attempt must end now, as its engine may begin it after the deadline."""
    return not sent.is_prefilled and now_s >= start_deadline_s - WITHDRAW_BEFORE_END_S
