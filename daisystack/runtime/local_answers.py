"""Answers that an entry creates itself, and when refused callers should come back."""

from __future__ import annotations

import json
import random

from daisystack.backends import RequestDialect
from daisystack.core.placement import Refusal
from daisystack.runtime.caller_http import Responder

__all__ = [
    "RETRY_AFTER_STOPPING_S",
    "RETRY_AFTER_UNAVAILABLE_S",
    "LocalAnswer",
    "find_retry_after_s",
    "send_local_answer",
]

# Another entry can serve the request at once.
RETRY_AFTER_STOPPING_S = 0.02
# Full upstreams free a slot every tenth of a second; callers that retried at the same moment
# would all find them full again, so the delay is drawn at random.
RETRY_AFTER_FULL_MIN_S = 0.3
RETRY_AFTER_FULL_MAX_S = 0.9
# Callers that wait for the end of the same pause return one after another.
RETRY_AFTER_PAUSE_SPREAD_S = 0.5
# Missing configuration or upstreams return after a few gossip rounds or one engine load.
RETRY_AFTER_UNAVAILABLE_S = 1.0


class LocalAnswer(Exception):
    """Raised to end a request with a response created by this entry."""

    def __init__(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s


def find_retry_after_s(refusal: Refusal, rng: random.Random) -> float:
    """Return after how long a refused caller should come back."""
    # Randomized, so that callers refused together don't retry together.
    if refusal.admission is not None and refusal.retry_after_s is not None:
        return refusal.retry_after_s
    if refusal.retry_after_s is not None:
        return refusal.retry_after_s + rng.uniform(0.0, RETRY_AFTER_PAUSE_SPREAD_S)
    if not refusal.is_full:
        return RETRY_AFTER_UNAVAILABLE_S
    return rng.uniform(RETRY_AFTER_FULL_MIN_S, RETRY_AFTER_FULL_MAX_S)


def send_local_answer(
    dialect: RequestDialect, responder: Responder, request_id: str, answer: LocalAnswer
) -> None:
    """Send an answer of this entry; raise CallerGone if it can't be sent."""
    headers = dialect.echo_headers(request_id)
    headers.append((b"Content-Type", b"application/json"))
    if answer.retry_after_s is not None:
        headers.append((b"Retry-After", f"{answer.retry_after_s:.2f}".encode()))
    body = json.dumps({"error": answer.reason}).encode() + b"\n"
    responder.send_answer(answer.status, headers, body)
