"""Collect the fields of the event that is logged when a request ends."""

from __future__ import annotations

from attrs import define

from daisystack.core.verdicts import Verdict
from daisystack.runtime.caller_http import InboundRequest
from daisystack.runtime.events import DirectRequestEnded

__all__ = ["RequestSummary"]

UNKNOWN = -1


@define(eq=False)
class RequestSummary:
    """Hold what is known of a request so far; UNKNOWN marks a value that was never set."""

    inbound: InboundRequest
    request_id: str = ""
    workspace: str = ""
    route: str = ""
    service: str = ""
    attempts: int = 0
    upstream: str = ""
    # Time that the caller used before it submitted this request again; 0 for a new request.
    spent_before_s: float = 0.0
    prompt_tokens: int = UNKNOWN
    in_flight: int = UNKNOWN
    predicted_first_event_s: float = UNKNOWN
    first_event_s: float = UNKNOWN
    priority: int = UNKNOWN
    objective_s: float = UNKNOWN

    def build_event(
        self,
        outcome: str,
        status: int,
        verdict: Verdict,
        reason: str,
        policy_version: int,
        belief_age_s: float,
        now_s: float,
    ) -> DirectRequestEnded:
        """Return the log event of the finished request."""
        return DirectRequestEnded(
            request_id=self.request_id,
            workspace=self.workspace,
            route=self.route,
            service=self.service,
            outcome=outcome,
            status=status,
            verdict=verdict.value,
            reason=reason,
            spent_before_s=self.spent_before_s,
            attempts=self.attempts,
            upstream=self.upstream,
            policy_version=policy_version,
            belief_age_s=belief_age_s,
            upstream_in_flight=self.in_flight,
            prompt_tokens=self.prompt_tokens,
            predicted_first_event_s=self.predicted_first_event_s,
            first_event_s=self.first_event_s,
            took_s=now_s - self.inbound.arrived_s,
            priority=self.priority,
            objective_s=self.objective_s,
        )
