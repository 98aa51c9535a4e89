"""Place requests on upstreams: records, counts, prediction, health, eligibility and choice."""

from daisystack.core.placement.choice import Placement
from daisystack.core.placement.health import UNRESPONSIVE_PAUSE_S
from daisystack.core.placement.records import (
    AttemptWork,
    DirectUpstream,
    PlacementRequirements,
    Refusal,
    SentRequest,
)

__all__ = [
    "UNRESPONSIVE_PAUSE_S",
    "AttemptWork",
    "DirectUpstream",
    "Placement",
    "PlacementRequirements",
    "Refusal",
    "SentRequest",
]
