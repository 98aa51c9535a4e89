"""Check an attempt before it is sent and while it waits, and end it when it must not go on."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from attrs import define

from daisystack.core.placement import (
    UNRESPONSIVE_PAUSE_S,
    DirectUpstream,
    Placement,
    PlacementRequirements,
    Refusal,
    SentRequest,
)
from daisystack.core.requests import RequestState
from daisystack.core.verdicts import AttemptEnd
from daisystack.core.version_end import must_withdraw
from daisystack.runtime.clock import now_s
from daisystack.runtime.upstream_http import AttemptFailed

__all__ = ["AttemptGuard"]

# A wait is checked every 0.2 s, and the answer must reach the caller before it gives up.
STUCK_ANSWER_MARGIN_S = 0.3
ENDING_REASON = "this entry stops"


@define(eq=False)
class AttemptGuard:
    """Checks of one attempt."""

    placement: Placement
    upstream: DirectUpstream
    sent: SentRequest
    state: RequestState
    # Returns until when a request may begin on a version; None if its versions never end.
    version_deadline_s: Callable[[int], float] | None
    # Builds what another attempt would require at a time.
    build_requirements: Callable[[float], PlacementRequirements]
    can_retry: Callable[[float], bool]
    # Whether the caller's key still allows the request, as it will be sent.
    is_authorized: Callable[[], bool]
    # Whether this process is about to end.
    is_ending: Callable[[float], bool] = lambda now_s: False

    def check_send(self) -> None:
        """Raise AttemptFailed if the request may no longer be sent; no byte of it was."""
        at_s = now_s()
        if self.is_ending(at_s):
            raise AttemptFailed(AttemptEnd.NOT_SENT, ENDING_REASON)
        if not self.is_authorized():
            raise AttemptFailed(AttemptEnd.NOT_SENT, "its key is no longer confirmed")
        # The configuration in force may allow other regions than the one at the choice.
        allowed_regions = self.build_requirements(at_s).allowed_regions
        if not self.placement.may_send(self.upstream, at_s, allowed_regions):
            raise AttemptFailed(AttemptEnd.NOT_SENT, "its upstream accepts no more requests")
        if self._must_withdraw(at_s):
            raise AttemptFailed(AttemptEnd.NOT_SENT, "its version ends before it can begin")
        if not self.placement.take_share(self.sent, at_s):
            raise AttemptFailed(AttemptEnd.NOT_SENT, self._no_share_reason())

    def check_wait(self) -> None:
        """Raise AttemptFailed if the attempt must end before its answer is complete."""
        at_s = now_s()
        if self.is_ending(at_s):
            raise AttemptFailed(AttemptEnd.DEADLINE, ENDING_REASON)
        if self._must_withdraw(at_s):
            raise AttemptFailed(AttemptEnd.WITHDRAWN, "its version ends before it has begun")
        if self._can_leave_stuck(at_s):
            end = AttemptEnd.ANSWER_CUT if self.sent.is_prefilled else AttemptEnd.NO_ANSWER
            raise AttemptFailed(end, "its machine stands still")
        if self._is_hopeless(at_s):
            reason = "its machine stands still and no other upstream can accept it"
            raise AttemptFailed(AttemptEnd.DEADLINE, reason)

    def _no_share_reason(self) -> str:
        if self.placement.shares.limits.limit_per_s(*self.sent.incarnation) is not None:
            return "its upstream's rate limit is used up"
        return "its upstream is or may be cold and gets no more"

    def _must_withdraw(self, now_s: float) -> bool:
        deadline_s = self.placement.start_deadline_s(self.sent, self.version_deadline_s, now_s)
        return must_withdraw(self.sent, deadline_s, now_s)

    def _is_hopeless(self, now_s: float) -> bool:
        """Return whether a stuck request must end so that its caller hears of it in time."""
        if now_s < self.state.deadline_s - STUCK_ANSWER_MARGIN_S or self.sent.is_prefilled:
            return False
        return self.state.repeatable and self.placement.is_stuck(self.sent, now_s)

    def _can_leave_stuck(self, now_s: float) -> bool:
        """Return whether an attempt is stuck and another upstream can accept its request now.

        If so, the unresponsive upstream is avoided for a while.
        """
        if not self.placement.is_stuck(self.sent, now_s) or not self.state.may_abandon(now_s):
            return False
        if not self.can_retry(now_s):
            return False
        tried = self.state.tried_upstreams() | {self.sent.upstream_id}
        requirements = attrs.evolve(
            self.build_requirements(now_s),
            excluded=tried,
            first_event_time_left_s=None,
            is_resubmission=False,
        )
        if isinstance(self.placement.choose(requirements, now_s), Refusal):
            return False
        self.placement.avoid(self.sent.upstream_id, now_s, UNRESPONSIVE_PAUSE_S)
        return True
