"""Count requests and attempts and measure latencies as Prometheus metrics."""

from __future__ import annotations

from aioprometheus import Counter, Histogram, Registry
from attrs import define, field

from daisystack.core.urgency import Admission
from daisystack.runtime.events import AttemptEnded, DirectRequestEnded, ExpiredVersionStarted

__all__ = ["EntryMetrics"]

# From a tenth of the shortest latency objective to the longest deadline of the users' routes.
WORK_RATIO_BUCKETS = [0.25, 0.5, 0.67, 0.8, 0.9, 1.0, 1.1, 1.25, 1.5, 2.0, 4.0]
LATENCY_BUCKETS_S = [0.03, 0.06, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0]


@define(eq=False)
class EntryMetrics:
    """Count requests and attempts and measure their durations."""

    registry: Registry
    requests: Counter = field(init=False)
    attempts: Counter = field(init=False)
    first_event: Histogram = field(init=False)
    request_time: Histogram = field(init=False)
    attempt_time: Histogram = field(init=False)
    expired_starts: Counter = field(init=False)
    work_ratio: Histogram = field(init=False)
    predicted_work: Counter = field(init=False)
    seen_work: Counter = field(init=False)
    refusals: Counter = field(init=False)

    def __attrs_post_init__(self) -> None:
        registry = self.registry
        self.requests = Counter(
            "daisystack_requests_total", "Requests by outcome and status", registry=registry
        )
        self.attempts = Counter(
            "daisystack_attempts_total", "Attempts by how they ended", registry=registry
        )
        self.expired_starts = Counter(
            "daisystack_expired_starts_total",
            "Answers whose first event came after the end of their weight version",
            registry=registry,
        )
        self.refusals = Counter(
            "daisystack_urgency_refusals_total",
            "Refusals by rank (0 is most urgent) and cause: urgency, or no room at an upstream",
            registry=registry,
        )
        self.first_event = _histogram(
            "daisystack_first_event_seconds", "Time to the first event of a stream", registry
        )
        self.request_time = _histogram(
            "daisystack_request_seconds", "Time from a request's head to its end", registry
        )
        self.attempt_time = _histogram(
            "daisystack_attempt_seconds", "Time of one attempt at an upstream", registry
        )

        self.work_ratio = Histogram(
            "daisystack_work_ratio",
            "Predicted work of an attempt over the work seen",
            buckets=WORK_RATIO_BUCKETS,
            registry=registry,
        )
        self.predicted_work = Counter(
            "daisystack_predicted_work_seconds_total",
            "Work predicted for attempts with whole answers",
            registry=registry,
        )
        self.seen_work = Counter(
            "daisystack_seen_work_seconds_total",
            "Work seen of attempts with whole answers",
            registry=registry,
        )

    def record_request(self, event: DirectRequestEnded) -> None:
        """Record a finished request."""
        labels = {"outcome": event.outcome, "status": str(event.status)}
        self.requests.inc(labels)
        self.request_time.observe({"outcome": event.outcome}, event.took_s)
        if event.first_event_s >= 0:
            self.first_event.observe({}, event.first_event_s)

    def record_attempt(self, event: AttemptEnded) -> None:
        """Record a finished attempt."""
        self.attempts.inc({"end": event.end})
        self.attempt_time.observe({"end": event.end}, event.took_s)
        if event.predicted_work_s >= 0 and event.work_s > 0:
            labels = {"kind": event.kind}
            self.work_ratio.observe(labels, event.predicted_work_s / event.work_s)
            self.predicted_work.add(labels, event.predicted_work_s)
            self.seen_work.add(labels, event.work_s)

    def record_expired_start(self, event: ExpiredVersionStarted) -> None:
        """Record an answer that began after the end of its weight version."""
        self.expired_starts.inc({})

    def record_refusal(self, admission: Admission) -> None:
        """Record that a service which admits by urgency refused a request."""
        cause = "no room" if admission.is_admitted else "urgency"
        self.refusals.inc({"rank": str(admission.rank), "cause": cause})


def _histogram(name: str, help_text: str, registry: Registry) -> Histogram:
    return Histogram(name, help_text, buckets=LATENCY_BUCKETS_S, registry=registry)
