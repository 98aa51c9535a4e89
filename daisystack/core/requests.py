"""Decide after each attempt of a request: retry elsewhere, retry at its owner, or end."""

from __future__ import annotations

from attrs import define, field, frozen

from daisystack.core.retries import Budget
from daisystack.core.tickets import Ticket
from daisystack.core.verdicts import AttemptEnd, Verdict, classify_attempt, combine_verdicts

__all__ = [
    "AttemptOutcome",
    "Done",
    "GiveUp",
    "NextStep",
    "RequestState",
    "RetryElsewhere",
    "RetrySameOwner",
]

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
MIN_RETRY_TIME_S = 0.05
SAME_OWNER_PAUSE_S = 0.1


@frozen
class AttemptOutcome:
    """How an attempt ended, and the verdict that the ticket's owner reported, if any."""

    end: AttemptEnd
    instance_id: str | None = None
    sealed: bool = False
    reported: Verdict | None = None
    reason: str = ""
    crashed: bool = False
    # The upstream refused the request because it leaves.
    is_leaving: bool = False

    @property
    def verdict(self) -> Verdict:
        """Return the verdict on this attempt alone."""
        return self.reported if self.reported is not None else classify_attempt(self.end)


@frozen
class RetryElsewhere:
    """Retry at another upstream."""


@frozen
class RetrySameOwner:
    """Retry at the ticket's owner after a pause; the owner runs a ticket at most once."""

    pause_s: float


@frozen
class GiveUp:
    """Answer the caller now with a verdict; retry_after_s is None if a retry cannot succeed."""

    verdict: Verdict
    end: AttemptEnd
    reason: str
    retry_after_s: float | None


@frozen
class Done:
    """Forward the upstream's answer."""


NextStep = RetryElsewhere | RetrySameOwner | GiveUp | Done


@define
class RequestState:
    """State of one request at one entry: its limits and the outcomes of its attempts."""

    repeatable: bool
    deadline_s: float
    caller_ticket: Ticket | None = None
    max_attempts: int = MAX_ATTEMPTS
    # False if no agent is in front of the upstream: no tickets are kept there, so a retry at the
    # same upstream may run the request twice.
    has_owner: bool = True
    outcomes: list[AttemptOutcome] = field(factory=list)

    def tried_upstreams(self) -> frozenset[str]:
        """Return the upstreams to exclude from a retry.

        An upstream that an attempt never reached may be tried again.
        """
        return frozenset(
            outcome.instance_id
            for outcome in self.outcomes
            if outcome.instance_id and outcome.end is not AttemptEnd.NEVER_ARRIVED
        )

    @property
    def verdict(self) -> Verdict:
        """Return the verdict on the request, which covers all its attempts at any entry."""
        if self.outcomes and self.outcomes[-1].sealed and not self.repeatable:
            # A new ticket is used only once the previous one is known not to run.
            return Verdict.NOT_RUN
        if self.caller_ticket is not None:
            # Another entry may have sent this ticket before.
            return combine_verdicts([Verdict.MAY_HAVE_RUN, self._combined_verdict()])
        return self._combined_verdict()

    def _sent_count(self) -> int:
        return sum(1 for outcome in self.outcomes if outcome.end is not AttemptEnd.NOT_SENT)

    def _combined_verdict(self) -> Verdict:
        return combine_verdicts(outcome.verdict for outcome in self.outcomes)

    def may_abandon(self, now_s: float) -> bool:
        """Return whether an attempt that may have run may be abandoned for another one."""
        is_last = self._sent_count() + 1 >= self.max_attempts
        return self.repeatable and not is_last and now_s < self.deadline_s - MIN_RETRY_TIME_S

    def next_step(self, outcome: AttemptOutcome, budget: Budget, now_s: float) -> NextStep:
        """Record the outcome of an attempt and decide the next step.

        Call it only if no part of an answer has reached the caller.
        """
        self.outcomes.append(outcome)
        if outcome.end is AttemptEnd.ANSWERED:
            return Done()
        is_late = now_s >= self.deadline_s - MIN_RETRY_TIME_S
        if is_late or outcome.end is AttemptEnd.DEADLINE:
            return self.give_up(outcome)
        if outcome.end is AttemptEnd.STILL_RUNNING:
            # Waiting for the run in progress adds no load and does not count as a retry.
            self.outcomes.pop()
            return RetrySameOwner(SAME_OWNER_PAUSE_S)
        if outcome.end is AttemptEnd.NOT_SENT:
            # Nothing reached an upstream, so the next attempt is no retry.
            return RetryElsewhere()
        retry = self._allowed_retry(outcome)
        if retry is None or self._sent_count() >= self.max_attempts:
            return self.give_up(outcome)
        # A planned stop must not refuse requests. Each upstream leaves once, so that such retries
        # need no budget.
        is_free = outcome.is_leaving and outcome.verdict is Verdict.NOT_RUN
        return retry if is_free or budget.try_consume() else self.give_up(outcome)

    def give_up(self, outcome: AttemptOutcome) -> GiveUp:
        """Return the final answer, which suggests a retry unless the outcome is final."""
        is_settled = outcome.end in (AttemptEnd.OUTCOME_LOST, AttemptEnd.HELD)
        verdict = self.verdict
        can_retry = verdict is Verdict.NOT_RUN or self.repeatable or self.caller_ticket
        retry_after_s = RETRY_AFTER_S if can_retry and not is_settled else None
        return GiveUp(verdict, outcome.end, outcome.reason, retry_after_s)

    def _allowed_retry(self, outcome: AttemptOutcome) -> NextStep | None:
        if self.caller_ticket is not None:
            is_final = outcome.sealed or outcome.reported is not None
            return None if is_final else RetrySameOwner(SAME_OWNER_PAUSE_S)
        if self.repeatable or self.verdict is Verdict.NOT_RUN:
            return RetryElsewhere()
        if outcome.reported is None and self.has_owner:
            return RetrySameOwner(SAME_OWNER_PAUSE_S)
        return None
