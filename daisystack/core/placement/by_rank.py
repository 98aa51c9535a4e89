"""Admit requests to services whose routes differ in priority, and judge upstreams for them."""

from __future__ import annotations

from statistics import fmean

from attrs import define, evolve, field

from daisystack.core.engine_latency import predict_service_time_s
from daisystack.core.placement.prediction import Prediction
from daisystack.core.placement.records import DirectUpstream, PlacementRequirements, Refusal
from daisystack.core.placement.view import UpstreamView
from daisystack.core.urgency import Admission, RankedService, UrgencyAdmission

__all__ = ["PlacementByRank"]


@define
class PlacementByRank:
    """Admission to each service with ranks, and the order of priority in its engines' queues."""

    view: UpstreamView
    prediction: Prediction
    admissions: dict[str, UrgencyAdmission] = field(factory=dict)

    def update_services(self, services: dict[str, RankedService]) -> None:
        """Store which services have ranks, and keep the state of those that are unchanged."""
        known = self.admissions
        self.admissions = {
            name: (
                known[name]
                if name in known and known[name].service == service
                else UrgencyAdmission(service)
            )
            for name, service in services.items()
        }

    def has_ranks(self, service: str) -> bool:
        """Return whether requests for a service are admitted by urgency."""
        return service in self.admissions

    def admit(
        self, upstreams: list[DirectUpstream], requirements: PlacementRequirements, now_s: float
    ) -> Admission | None:
        """Decide by urgency; None for a repeated attempt, or if the service has no ranks."""
        admission = self.admissions.get(requirements.service)
        is_repeated = requirements.is_bulk_failover or requirements.excluded
        if admission is None or is_repeated:
            return None
        if admission.is_due(now_s):
            tokens = self.view.profiles[requirements.service].typical_prompt_tokens
            usual = evolve(requirements, prompt_tokens=tokens)
            predicted_s = [self.prediction.first_event_s(u, usual, now_s) for u in upstreams]
            admission.refresh(fmean(predicted_s), now_s)
        return admission.admit(
            requirements.priority, requirements.workspace, requirements.is_resubmission
        )

    def refuse(
        self,
        reason: str,
        admitted: Admission | None,
        requirements: PlacementRequirements,
        now_s: float,
    ) -> Refusal:
        """Return a refusal, with a time to come back if it was decided by urgency."""
        if admitted is None:
            return Refusal(reason, True)
        admission = self.admissions[requirements.service]
        if admitted.is_admitted and not requirements.is_resubmission:
            admission.record_no_room(admitted.rank)
        return_s = admission.plan_return_s(admitted.rank, now_s)
        return Refusal(reason, True, return_s, admitted)

    def limit_prompt(self, requirements: PlacementRequirements) -> PlacementRequirements:
        """Leave out the part of a prompt above the usual, which must not exclude it."""
        if not self.has_ranks(requirements.service):
            return requirements
        usual_tokens = self.view.profiles[requirements.service].typical_prompt_tokens
        tokens = min(requirements.prompt_tokens, usual_tokens)
        return evolve(requirements, prompt_tokens=tokens)

    def queue_shift_s(self, upstream: DirectUpstream, priority: int, now_s: float) -> float:
        """Return by how much the order of priority changes the wait in an engine's queue."""
        admission = self.admissions.get(upstream.service)
        if admission is None:
            return 0.0
        profile = self.view.profiles[upstream.service]
        load = self.prediction.engine_load(upstream, profile, now_s)
        queued = max(0.0, load.requests - load.slots)
        queue_s = queued * predict_service_time_s(profile, load) / load.slots
        return queue_s * (admission.queue_factor(priority) - 1.0)
