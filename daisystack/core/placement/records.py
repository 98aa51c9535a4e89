"""Upstreams as published, what an attempt requires of one, and the requests that were sent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import define, frozen

from daisystack.core.upstream_pauses import Incarnation
from daisystack.core.urgency import Admission

__all__ = [
    "AttemptWork",
    "DirectUpstream",
    "PlacementRequirements",
    "RandomSource",
    "Refusal",
    "SentRequest",
]


class RandomSource(Protocol):
    """Source of random numbers, passed in by the caller."""

    def random(self) -> float:
        """Return a number in [0, 1)."""


@frozen
class DirectUpstream:
    """Published record of one upstream.

    version is that of the weights it holds completely, or 0 for none; a plain service has none.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_ready: bool
    started_ms: int = 0
    has_engine: bool = False
    version: int = 0
    # How much longer it is cold, as of its record's publication.
    cold_left_s: float = 0.0

    @property
    def incarnation(self) -> Incarnation:
        """Return what tells this life of the upstream from others."""
        return (self.id, self.started_ms)


@frozen
class PlacementRequirements:
    """What an attempt requires of its upstream."""

    service: str
    zone: str
    exact_version: int | None = None
    # Returns the time until which a request may start on a given version.
    version_deadline_s: Callable[[int], float] | None = None
    excluded: frozenset[str] = frozenset()
    prompt_tokens: int = 0
    answer_tokens: int = 0
    # The answer's longest possible length; 0 if unknown.
    max_answer_tokens: int = 0
    # Time left until the first event counts as late; None if lateness no longer matters.
    first_event_time_left_s: float | None = None
    # The request was refused before, so its answer is already late.
    is_resubmission: bool = False
    # Other requests are placed at the same moment, as after the death of an upstream.
    is_bulk_failover: bool = False
    # Route and workspace that the request belongs to, and how urgent it is; 0 is first.
    route: str = ""
    workspace: str = ""
    priority: int = 0
    # Regions whose upstreams may get the request; None if all may.
    allowed_regions: frozenset[str] | None = None


@frozen
class AttemptWork:
    """Seconds of an upstream that a whole answer was predicted to take, and was seen to take."""

    predicted_s: float
    seen_s: float


@define(eq=False)
class SentRequest:
    """A request that was sent to an upstream and has not ended."""

    upstream_id: str
    prompt_tokens: int
    sent_s: float
    # Weight version that the upstream held, 0 for a plain one.
    version: int = 0
    incarnation: Incarnation = ("", 0)
    # Whether it is reserved in its upstream's rate limit and not sent yet.
    is_reserved: bool = False
    # When the first and the latest part of its answer were received.
    first_received_s: float | None = None
    last_received_s: float | None = None
    # Parts of its answer that were received; a part is an event of a stream.
    event_count: int = 0
    service: str = ""
    route: str = ""
    # Length of the answer as its caller expects it; 0 if unknown.
    hint_tokens: int = 0
    # Work as predicted when it was sent, in seconds of its upstream; None if it was not.
    predicted_work_s: float | None = None

    def record_received(self, now_s: float) -> None:
        """Record that a part of the answer was received."""
        self.event_count += 1
        self.last_received_s = now_s
        if self.first_received_s is None:
            self.first_received_s = now_s

    @property
    def is_prefilled(self) -> bool:
        """Return whether the engine has processed the prompt, which the first event shows."""
        return self.last_received_s is not None


@frozen
class Refusal:
    """Why no upstream can accept a request now."""

    reason: str
    is_full: bool
    # When to come back, for a pause of the upstreams or in the order of urgency; None if unknown.
    retry_after_s: float | None = None
    # What was decided by urgency; None if the service's routes do not differ in priority.
    admission: Admission | None = None
