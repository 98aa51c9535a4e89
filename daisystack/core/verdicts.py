"""Verdicts on whether a request may have run, for every end of an attempt."""

from __future__ import annotations

import enum
from collections.abc import Iterable

__all__ = ["AttemptEnd", "Verdict", "combine_verdicts", "classify_attempt"]


class Verdict(enum.Enum):
    """Whether a request did not run, may have run, or ran."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class AttemptEnd(enum.Enum):
    """The point at which an attempt at an upstream ended, or why none was made."""

    NO_UPSTREAM = "no_upstream"
    SHED = "shed"
    HELD = "held"
    DEADLINE_IN_QUEUE = "deadline_in_queue"
    CONNECT_FAILED = "connect_failed"
    # The key, the upstream or its version allowed it no longer when the connection was open.
    NOT_SENT = "not_sent"
    REFUSED_AT_GATE = "refused_at_gate"
    # The connection lost the request, and its ticket is sealed.
    NEVER_ARRIVED = "never_arrived"
    NO_ANSWER = "no_answer"
    # Closed before its first event, as its weight version was about to end.
    WITHDRAWN = "withdrawn"
    DEADLINE = "deadline"
    # The answer ended early or exceeded a limit.
    ANSWER_CUT = "answer_cut"
    # Other weights produced a part of the answer.
    ANSWER_MIXED = "answer_mixed"
    # The answer is not marked as the answer to this request.
    ANSWER_FOREIGN = "answer_foreign"
    CALLER_GONE = "caller_gone"
    STILL_RUNNING = "still_running"
    OUTCOME_LOST = "outcome_lost"
    ANSWERED = "answered"


_ENDS_NOT_RUN = frozenset(
    {
        AttemptEnd.NO_UPSTREAM,
        AttemptEnd.SHED,
        AttemptEnd.DEADLINE_IN_QUEUE,
        AttemptEnd.CONNECT_FAILED,
        AttemptEnd.NOT_SENT,
        AttemptEnd.REFUSED_AT_GATE,
        AttemptEnd.NEVER_ARRIVED,
    }
)


def classify_attempt(end: AttemptEnd) -> Verdict:
    """Return the verdict that follows from the end of one attempt."""
    if end in _ENDS_NOT_RUN:
        return Verdict.NOT_RUN
    if end is AttemptEnd.ANSWERED:
        return Verdict.RAN
    return Verdict.MAY_HAVE_RUN


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the verdict on a request from the verdicts on all its attempts."""
    present = set(verdicts)
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in present:
            return verdict
    return Verdict.NOT_RUN
