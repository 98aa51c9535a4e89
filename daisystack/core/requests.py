"""Decide what follows each attempt of a request: another, the same owner again, or the end."""

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
    """Say how an attempt ended, and what the owner said of the ticket if it spoke."""

    end: AttemptEnd
    instance_id: str | None = None
    sealed: bool = False
    reported: Verdict | None = None
    reason: str = ""
    crashed: bool = False

    @property
    def verdict(self) -> Verdict:
        """Return the verdict of this attempt alone."""
        return self.reported if self.reported is not None else classify_attempt(self.end)


@frozen
class RetryElsewhere:
    """Try another upstream."""


@frozen
class RetrySameOwner:
    """Ask the owner of the ticket again after a pause; it runs the ticket at most once."""

    pause_s: float


@frozen
class GiveUp:
    """Answer the caller now with a verdict; retry_after_s None means that asking again is vain."""

    verdict: Verdict
    end: AttemptEnd
    reason: str
    retry_after_s: float | None


@frozen
class Done:
    """Pass the upstream's answer on."""


NextStep = RetryElsewhere | RetrySameOwner | GiveUp | Done


@define
class RequestState:
    """Hold the attempts of one request at one entry."""

    repeatable: bool
    deadline_s: float
    caller_ticket: Ticket | None = None
    max_attempts: int = MAX_ATTEMPTS
    # An upstream that is sent to directly keeps no tickets, so asking it again may run it twice.
    has_owner: bool = True
    outcomes: list[AttemptOutcome] = field(factory=list)

    def tried_upstreams(self) -> frozenset[str]:
        """Return the upstreams that had their chance; a lost connection is not their fault."""
        return frozenset(
            outcome.instance_id
            for outcome in self.outcomes
            if outcome.instance_id and outcome.end is not AttemptEnd.NEVER_ARRIVED
        )

    @property
    def verdict(self) -> Verdict:
        """Return the verdict of the request, which speaks of all its attempts everywhere."""
        if self.outcomes and self.outcomes[-1].sealed and not self.repeatable:
            # It goes on to another ticket only when the one before is known not to run.
            return Verdict.NOT_RUN
        if self.caller_ticket is not None:
            # Another entry may have sent this ticket before.
            return combine_verdicts([Verdict.MAY_HAVE_RUN, self._combined()])
        return self._combined()

    def _combined(self) -> Verdict:
        return combine_verdicts(outcome.verdict for outcome in self.outcomes)

    def may_abandon(self, now_s: float) -> bool:
        """Say whether an attempt that may have run could be given up for another one."""
        is_last = len(self.outcomes) + 1 >= self.max_attempts
        return self.repeatable and not is_last and now_s < self.deadline_s - MIN_RETRY_TIME_S

    def next_step(self, outcome: AttemptOutcome, budget: Budget, now_s: float) -> NextStep:
        """Decide the next step once an attempt has ended and nothing reached the caller."""
        self.outcomes.append(outcome)
        if outcome.end is AttemptEnd.ANSWERED:
            return Done()
        if now_s >= self.deadline_s - MIN_RETRY_TIME_S:
            return self.give_up(outcome)
        if outcome.end is AttemptEnd.STILL_RUNNING:
            # Waiting for the one run costs the upstream nothing and is no retry.
            self.outcomes.pop()
            return RetrySameOwner(SAME_OWNER_PAUSE_S)
        retry = self._allowed_retry(outcome)
        if retry is None or len(self.outcomes) >= self.max_attempts or not budget.try_consume():
            return self.give_up(outcome)
        return retry

    def give_up(self, outcome: AttemptOutcome) -> GiveUp:
        """Return the final answer; coming back helps unless the outcome is settled."""
        settled = outcome.end in (AttemptEnd.OUTCOME_LOST, AttemptEnd.HELD)
        verdict = self.verdict
        may_come_back = verdict is Verdict.NOT_RUN or self.repeatable or self.caller_ticket
        retry_after_s = RETRY_AFTER_S if may_come_back and not settled else None
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
