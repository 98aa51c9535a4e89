"""Decide whether a request may have run, in one place for every outcome."""

from __future__ import annotations

import enum
from collections.abc import Iterable

__all__ = ["AttemptEnd", "Verdict", "combine_verdicts", "classify_attempt"]


class Verdict(enum.Enum):
    """Say whether a request may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class AttemptEnd(enum.Enum):
    """Name the point at which one attempt at an upstream ended."""

    NO_UPSTREAM = "no_upstream"
    SHED = "shed"
    HELD = "held"
    DEADLINE_IN_QUEUE = "deadline_in_queue"
    CONNECT_FAILED = "connect_failed"
    REFUSED_AT_GATE = "refused_at_gate"
    NEVER_ARRIVED = "never_arrived"
    NO_ANSWER = "no_answer"
    DEADLINE = "deadline"
    ANSWER_CUT = "answer_cut"
    ANSWER_MIXED = "answer_mixed"
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
        AttemptEnd.REFUSED_AT_GATE,
        AttemptEnd.NEVER_ARRIVED,
    }
)


def classify_attempt(end: AttemptEnd) -> Verdict:
    """Return the verdict that one attempt's end allows."""
    if end in _ENDS_NOT_RUN:
        return Verdict.NOT_RUN
    if end is AttemptEnd.ANSWERED:
        return Verdict.RAN
    return Verdict.MAY_HAVE_RUN


def combine_verdicts(verdicts: Iterable[Verdict]) -> Verdict:
    """Return the verdict of a request from those of all its attempts."""
    present = set(verdicts)
    for verdict in (Verdict.RAN, Verdict.MAY_HAVE_RUN):
        if verdict in present:
            return verdict
    return Verdict.NOT_RUN
