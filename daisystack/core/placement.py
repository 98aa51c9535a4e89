"""Choose upstreams for requests that an entry sends without an agent in between.

The choice uses the entry's own counts and the reports of agents and other entries.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field, frozen

from daisystack.core.engine_latency import EngineLoad, predict_first_event_s, predict_service_time_s
from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.core.rate_shares import RateShares
from daisystack.core.traffic import EngineProfile
from daisystack.core.upstream_pauses import Incarnation, UpstreamPauses

__all__ = [
    "UNRESPONSIVE_PAUSE_S",
    "DirectUpstream",
    "Placement",
    "Refusal",
    "SentRequest",
    "PlacementRequirements",
]

# Other entries report their counts every 0.4 s; requests in older reports have ended.
COUNTS_LIFETIME_S = 2.5
# Upstreams compared for a request: some of the entry's zone, and one of another zone so that a busy
# zone spills over. Many entries that all took the best of all would crowd it until its next report.
NEAR_CHOICES = 2
FAR_CHOICES = 1
# Time over which an entry's own rate of requests is measured, as an estimate of that of others.
SEND_RATE_WINDOW_S = 2.0
# Arrivals come in bursts, so more may be unseen than their mean number.
UNSEEN_FACTOR = 2.0
# After a refused or lost connection, an upstream gets no requests for this long, which gives the
# published list time to drop it if it is dead.
AVOID_S = 1.0
# Weight of the newest outcome in the moving average of failures, which spans about five outcomes.
FAILURE_SMOOTHING = 0.2
# At a failure rate of 1, an upstream's cost is multiplied by 1 + this factor.
FAILURE_PENALTY = 6.0
# The failure rate decays so that an upstream that has recovered is tried again.
FAILURE_HALF_LIFE_S = 3.0
# The round trip to another zone, and the cost of the bytes on the links between zones.
CROSS_ZONE_S = 0.03
# The same for plain upstreams, as a number of requests that already run in the local zone.
CROSS_ZONE_REQUESTS = 1.0
# Plain requests are short compared with their latency objective, so one request per slot may queue.
PLAIN_QUEUE_SHARE = 1.0
# Requests that may queue at an engine per slot, regardless of the predicted latency.
ENGINE_QUEUE_SHARE = 0.5
# A request predicted to use more than this share of its time is late about half of the time.
OBJECTIVE_SLACK = 0.7
# Each second that a request delays the loading of weights is lost for the engine's other slots.
OVERRUN_COST = 0.5
# Waits for a slot vary by this factor. When many entries see an idle engine at the same moment, as
# after a pause of its machine, their requests wait up to a second longer than predicted.
START_WAIT_FACTOR = 2.0
START_MARGIN_S = 1.2
# Answers of an engine with full slots vary by this factor around the prediction.
RUN_TIME_FACTOR = 1.5
# Without reports from its agent, an engine's queue is unknown, and nothing orders it to load.
NO_STATUS_MARGIN_S = 2.5
# A late answer is worth a quarter of one in time, so resubmitted requests get free slots only.
RESUBMISSION_SHARE = 1.0
# An engine's load is unknown when its agent has sent no report for this long.
STATUS_LIFETIME_S = 0.6
# Agents report ten times a second and engines emit an event every few hundredths of a second, so
# when both are silent for this long, their machine is unresponsive.
UNRESPONSIVE_AFTER_S = 0.6
# Reports from remote zones are occasionally that late, and abandoning an attempt costs a retry.
ABANDON_AFTER_S = 0.8
# A request that waits in a queue while the agent is silent looks the same, so an engine that seemed
# unresponsive is tried again, but not by every new request.
UNRESPONSIVE_PAUSE_S = 2.0
# After a pause, an engine has processed the requests that waited in its queue within this time.
UNINTERRUPTED_AFTER_S = 2.0


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

    def record_received(self, now_s: float) -> None:
        """Record that a part of the answer was received."""
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
    # When an upstream that wanted a pause accepts requests again; None if that is not the cause.
    retry_after_s: float | None = None


@frozen
class _EndedRequest:
    sent_s: float
    ended_s: float


@define
class _Health:
    failure_rate: float = 0.0
    updated_s: float = 0.0
    avoid_until_s: float = float("-inf")


@define
class _EntryCounts:
    zone: str
    counts: dict[str, int]
    received_s: float


@define
class Placement:
    """Track upstreams, the requests in flight at each and their failures, and choose among them."""

    draw: RandomSource
    engines: EngineStatusTable
    profiles: dict[str, EngineProfile] = field(factory=dict)
    pauses: UpstreamPauses = field(factory=UpstreamPauses)
    shares: RateShares = field(factory=RateShares)
    zone: str = ""
    _upstreams: dict[str, DirectUpstream] = field(factory=dict)
    _own_requests: dict[str, set[SentRequest]] = field(factory=dict)
    _ended_requests: dict[str, list[_EndedRequest]] = field(factory=dict)
    _entry_counts: dict[str, _EntryCounts] = field(factory=dict)
    _health: dict[str, _Health] = field(factory=dict)
    _last_received_s: dict[str, float] = field(factory=dict)
    _sending_entries: int = 0
    # When this entry sent its recent requests to each service with engines.
    _sent_s: dict[str, deque[float]] = field(factory=dict)
    # By service and zone, all engines, and those that could get the latest first attempt.
    _engine_counts: dict[str, Counter[str]] = field(factory=dict)
    _eligible_counts: dict[str, Counter[str]] = field(factory=dict)

    def update_upstream(self, upstream: DirectUpstream) -> None:
        """Store the published record of an upstream."""
        self._upstreams[upstream.id] = upstream
        self._count_engines()

    def remove_upstream(self, upstream_id: str) -> None:
        """Remove an upstream that is no longer published."""
        self._upstreams.pop(upstream_id, None)
        self._health.pop(upstream_id, None)
        self._last_received_s.pop(upstream_id, None)
        self._count_engines()

    def get(self, upstream_id: str) -> DirectUpstream | None:
        """Return the published record of an upstream, or None."""
        return self._upstreams.get(upstream_id)

    def upstreams(self) -> Iterable[DirectUpstream]:
        """Return all published upstreams."""
        return self._upstreams.values()

    def begin(self, upstream_id: str, prompt_tokens: int, now_s: float) -> SentRequest:
        """Record a request as sent, count it as in flight and return the record."""
        upstream = self._upstreams.get(upstream_id)
        version = self.version_of(upstream, now_s) if upstream and upstream.has_engine else 0
        incarnation = upstream.incarnation if upstream else (upstream_id, 0)
        is_reserved = self.shares.reserve(incarnation)
        sent = SentRequest(upstream_id, prompt_tokens, now_s, version, incarnation, is_reserved)
        self._own_requests.setdefault(upstream_id, set()).add(sent)
        if upstream is not None and upstream.has_engine:
            sent_s = self._sent_s.setdefault(upstream.service, deque())
            sent_s.append(now_s)
            while sent_s[0] < now_s - SEND_RATE_WINDOW_S:
                sent_s.popleft()
        return sent

    def end(self, sent: SentRequest, now_s: float) -> None:
        """Record that a request has ended; it no longer counts as in flight."""
        own = self._own_requests[sent.upstream_id]
        own.discard(sent)
        if not own:
            del self._own_requests[sent.upstream_id]
        self._release(sent)
        if sent.last_received_s is not None:
            self._last_received_s[sent.upstream_id] = max(
                self._get_last_received_s(sent.upstream_id), sent.last_received_s
            )
        recent = [
            e
            for e in self._ended_requests.get(sent.upstream_id, ())
            if now_s - e.ended_s <= STATUS_LIFETIME_S
        ]
        self._ended_requests[sent.upstream_id] = [*recent, _EndedRequest(sent.sent_s, now_s)]

    def take_share(self, sent: SentRequest, now_s: float) -> bool:
        """Count a request as sent now; return False if its upstream's rate limit forbids it."""
        self._release(sent)
        return self.shares.take(sent.incarnation, now_s)

    def _release(self, sent: SentRequest) -> None:
        if sent.is_reserved:
            sent.is_reserved = False
            self.shares.release(sent.incarnation)

    def own_counts(self) -> dict[str, int]:
        """Return this entry's requests in flight at each upstream, to report to other entries."""
        return {upstream_id: len(own) for upstream_id, own in self._own_requests.items()}

    def update_entry_counts(
        self, entry_id: str, zone: str, counts: dict[str, int], now_s: float
    ) -> None:
        """Store the requests in flight that another entry of a zone reports."""
        self._entry_counts[entry_id] = _EntryCounts(zone, counts, now_s)
        self._sending_entries = sum(
            1
            for entry in self._entry_counts.values()
            if entry.zone == self.zone
            and entry.counts
            and now_s - entry.received_s <= COUNTS_LIFETIME_S
        )

    def record_success(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream answered."""
        self._record_outcome(upstream_id, 0.0, now_s)

    def record_failure(self, upstream_id: str, now_s: float) -> None:
        """Record a failure caused by the upstream itself."""
        self._record_outcome(upstream_id, 1.0, now_s)

    def avoid(self, upstream_id: str, now_s: float, pause_s: float = AVOID_S) -> None:
        """Send no requests to an upstream for pause_s, unless there is no other."""
        self._health.setdefault(upstream_id, _Health()).avoid_until_s = now_s + pause_s

    def in_flight(self, upstream_id: str, now_s: float) -> float:
        """Estimate an upstream's requests in flight, from its agent's fresh report if any."""
        own = self._own_requests.get(upstream_id, ())
        status = self._fresh_status(upstream_id, now_s)
        if status is not None:
            sent_since = sum(1 for sent in own if sent.sent_s > status.read_s)
            unseen = self._expect_unseen(self._upstreams[upstream_id], now_s - status.read_s)
            # Subtract only requests sent before the report; it does not include any sent later.
            ended = sum(
                1
                for e in self._ended_requests.get(upstream_id, ())
                if e.sent_s <= status.read_s < e.ended_s
            )
            return max(len(own), status.running + status.queued + sent_since + unseen - ended)
        others = sum(
            entry.counts.get(upstream_id, 0)
            for entry in self._entry_counts.values()
            if now_s - entry.received_s <= COUNTS_LIFETIME_S
        )
        return len(own) + others

    def _expect_unseen(self, upstream: DirectUpstream, age_s: float) -> float:
        """Return how many requests of other entries an engine's report of some age may lack.

        The entries of a zone send at about the same rate and spread their requests evenly over its
        engines.
        """
        # Asked for each upstream at each choice.
        if not self.shares.limits.is_empty:
            limit_per_s = self.shares.limits.limit_per_s(*upstream.incarnation)
            if limit_per_s is not None:
                return limit_per_s * max(0.0, age_s)
        sent_s = self._sent_s.get(upstream.service)
        if not sent_s or not self._sending_entries:
            return 0.0
        rate_per_s = len(sent_s) / SEND_RATE_WINDOW_S
        counts = self._eligible_counts.get(upstream.service) or self._engine_counts.get(
            upstream.service, {}
        )
        share = 1.0 / max(1, counts.get(upstream.zone, 1))
        if upstream.zone != self.zone and self.zone and counts and self.zone not in counts:
            # Without an engine of their own zone, its entries send to all others.
            share += 1.0 / sum(counts.values())
        return UNSEEN_FACTOR * rate_per_s * self._sending_entries * max(0.0, age_s) * share

    def _count_engines(self) -> None:
        """Count the engines of each service by zone."""
        self._engine_counts = {}
        for upstream in self._upstreams.values():
            if upstream.has_engine and upstream.is_ready:
                self._engine_counts.setdefault(upstream.service, Counter())[upstream.zone] += 1

    def _count_eligible(self, service: str, eligible: Iterable[DirectUpstream]) -> None:
        """Count by zone the engines to which requests for a service go now."""
        limited = self.shares.limits.limited()
        self._eligible_counts[service] = Counter(
            u.zone for u in eligible if u.has_engine and u.incarnation not in limited
        )

    def predict_first_event_s(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float | None:
        """Predict the time to the first event in seconds; None for a plain upstream."""
        profile = self.profiles.get(upstream.service)
        if profile is None:
            return None
        load = self._engine_load(upstream, profile, now_s)
        return predict_first_event_s(profile, load, requirements.prompt_tokens)

    def _engine_load(
        self, upstream: DirectUpstream, profile: EngineProfile, now_s: float
    ) -> EngineLoad:
        pending = [
            sent for sent in self._own_requests.get(upstream.id, ()) if not sent.is_prefilled
        ]
        tokens = sum(sent.prompt_tokens for sent in pending)
        status = self._fresh_status(upstream.id, now_s)
        if status is not None:
            reported = sum(1 for sent in pending if sent.sent_s <= status.read_s)
            # Queued requests beyond those of this entry were sent by other entries.
            tokens += max(0, status.queued - reported) * profile.typical_prompt_tokens
        requests = self.in_flight(upstream.id, now_s)
        slowdown = status.slowdown if status is not None else 1.0
        return EngineLoad(upstream.slots, requests, tokens, slowdown)

    def _fresh_status(self, upstream_id: str, now_s: float) -> EngineStatus | None:
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or not upstream.has_engine:
            return None
        status = self.engines.get(upstream.address, now_s)
        if status is None or status.started_ms != upstream.started_ms:
            return None
        return status if now_s - status.read_s <= STATUS_LIFETIME_S else None

    def version_of(self, upstream: DirectUpstream, now_s: float) -> int:
        """Return the version that an engine holds completely, from its agent's report if any."""
        status = self.engines.get(upstream.address, now_s)
        if status is None or status.started_ms != upstream.started_ms:
            return upstream.version
        return status.version if status.is_complete else 0

    def choose(self, requirements: PlacementRequirements, now_s: float) -> DirectUpstream | Refusal:
        """Return the upstream with the lowest cost for a request, or why there is none."""
        eligible = [
            u for u in self._upstreams.values() if self._is_eligible(u, requirements, now_s)
        ]
        if not eligible:
            return self._refuse_without_upstream(requirements, now_s)
        if requirements.exact_version is None and not requirements.excluded:
            self._count_eligible(requirements.service, eligible)
        preferred = [u for u in eligible if not self._is_avoided(u, now_s)] or eligible
        available = [u for u in preferred if self._has_capacity(u, requirements, now_s)]
        if not available:
            return Refusal(f"all {len(preferred)} upstreams are full", True)
        if requirements.is_bulk_failover:
            # All entries would choose the same upstream; two random choices spread the load.
            available = self._draw_some(available, 2)
        elif available[0].has_engine:
            near = [u for u in available if u.zone == requirements.zone]
            far = [u for u in available if u.zone != requirements.zone]
            far_choices = FAR_CHOICES if near else NEAR_CHOICES
            available = self._draw_some(near, NEAR_CHOICES) + self._draw_some(far, far_choices)
        return min(
            available, key=lambda u: (self._cost(u, requirements, now_s), self.draw.random())
        )

    def _draw_some(self, upstreams: list[DirectUpstream], count: int) -> list[DirectUpstream]:
        if len(upstreams) <= count:
            return upstreams
        return sorted(upstreams, key=lambda u: self.draw.random())[:count]

    def _refuse_without_upstream(
        self, requirements: PlacementRequirements, now_s: float
    ) -> Refusal:
        incarnations = [
            u.incarnation
            for u in self._upstreams.values()
            if u.service == requirements.service and u.is_ready
        ]
        # Other upstreams may accept requests again long before a limit allows the next one.
        if incarnations and not any(self.shares.may_send(key, now_s) for key in incarnations):
            return_s = self.shares.plan_return_s(requirements.service, incarnations, now_s)
            return Refusal("the rate limits of the upstreams are used up", False, return_s)
        end_s = self.pauses.next_end_s(incarnations, now_s)
        if end_s is None:
            return Refusal("no upstream is there for it", False)
        return Refusal("the upstreams want a pause", False, end_s - now_s)

    def _is_eligible(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> bool:
        if upstream.service != requirements.service or not upstream.is_ready:
            return False
        if upstream.id in requirements.excluded:
            return False
        if self.pauses.is_blocked(upstream.id, upstream.started_ms, now_s):
            return False
        is_unlimited = self.shares.limits.is_empty
        if not is_unlimited and not self.shares.may_send(upstream.incarnation, now_s):
            return False
        if not upstream.has_engine:
            return True
        status = self.engines.get(upstream.address, now_s)
        if status is not None and status.is_loading and status.started_ms == upstream.started_ms:
            return False
        version = self.version_of(upstream, now_s)
        if requirements.exact_version is not None and version != requirements.exact_version:
            return False
        return version > 0 and self._starts_in_time(upstream, requirements, version, now_s)

    def _starts_in_time(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        version: int,
        now_s: float,
    ) -> bool:
        """Return whether a request surely starts before its engine's version expires.

        The engine itself observes the end as a deadline if the answer should be complete by then.
        Else the request must start at once, where a close reaches the engine soon.
        """
        deadline_s = (
            requirements.version_deadline_s(version)
            if requirements.version_deadline_s
            else float("inf")
        )
        if deadline_s == float("inf"):
            return True
        expected_s = self.predict_first_event_s(upstream, requirements, now_s) or 0.0
        is_monitored = self._fresh_status(upstream.id, now_s) is not None
        is_monitored = (
            is_monitored
            and self.engines.uninterrupted_s(upstream.address, now_s) >= UNINTERRUPTED_AFTER_S
        )
        margin_s = START_MARGIN_S if is_monitored else NO_STATUS_MARGIN_S
        if now_s + START_WAIT_FACTOR * expected_s + margin_s > deadline_s:
            return False
        if self._ends_before(upstream, requirements, deadline_s, now_s):
            return True
        is_near = upstream.zone == requirements.zone
        return is_near and self.in_flight(upstream.id, now_s) < upstream.slots

    def _ends_before(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        deadline_s: float,
        now_s: float,
    ) -> bool:
        """Return whether even a long answer should be complete before a deadline."""
        profile = self.profiles.get(upstream.service)
        if profile is None:
            return False
        load = self._engine_load(upstream, profile, now_s)
        expected_s = predict_first_event_s(profile, load, requirements.prompt_tokens)
        tokens = requirements.max_answer_tokens or requirements.answer_tokens
        run_s = predict_service_time_s(profile, load, tokens)
        end_s = now_s + START_WAIT_FACTOR * expected_s + RUN_TIME_FACTOR * run_s
        return end_s <= deadline_s

    def run_until_s(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float:
        """Return the deadline to give to an engine for the end of its version; inf for none."""
        if not upstream.has_engine or requirements.version_deadline_s is None:
            return float("inf")
        deadline_s = requirements.version_deadline_s(self.version_of(upstream, now_s))
        if self._ends_before(upstream, requirements, deadline_s, now_s):
            return deadline_s
        return float("inf")

    def _has_capacity(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> bool:
        if self.in_flight(upstream.id, now_s) >= _max_requests(upstream):
            return False
        expected_s = self.predict_first_event_s(upstream, requirements, now_s)
        if expected_s is None:
            return True
        if requirements.is_resubmission:
            return self.in_flight(upstream.id, now_s) < upstream.slots * RESUBMISSION_SHARE
        if requirements.first_event_time_left_s is None:
            return True
        return expected_s <= requirements.first_event_time_left_s * OBJECTIVE_SLACK

    def _cost(
        self, upstream: DirectUpstream, requirements: PlacementRequirements, now_s: float
    ) -> float:
        is_cross_zone = upstream.zone != requirements.zone
        expected_s = self.predict_first_event_s(upstream, requirements, now_s)
        if expected_s is not None:
            expected_s += CROSS_ZONE_S if is_cross_zone else 0.0
            expected_s += OVERRUN_COST * self._overrun_s(upstream, requirements, expected_s, now_s)
            return expected_s * self._penalty(upstream.id, now_s)
        requests = self.in_flight(upstream.id, now_s) + (
            CROSS_ZONE_REQUESTS if is_cross_zone else 0.0
        )
        return (requests + 1.0) / upstream.slots * self._penalty(upstream.id, now_s)

    def _overrun_s(
        self,
        upstream: DirectUpstream,
        requirements: PlacementRequirements,
        expected_s: float,
        now_s: float,
    ) -> float:
        """Return for how many seconds a request would delay the loading of other weights."""
        status = self._fresh_status(upstream.id, now_s)
        if status is None or status.loads_at_s is None:
            return 0.0
        profile = self.profiles[upstream.service]
        load = self._engine_load(upstream, profile, now_s)
        service_time_s = predict_service_time_s(profile, load, requirements.answer_tokens)
        return max(0.0, now_s + expected_s + service_time_s - status.loads_at_s)

    def _penalty(self, upstream_id: str, now_s: float) -> float:
        health = self._health.get(upstream_id)
        if health is None:
            return 1.0
        return 1.0 + FAILURE_PENALTY * _decayed_failure_rate(health, now_s)

    def _is_avoided(self, upstream: DirectUpstream, now_s: float) -> bool:
        health = self._health.get(upstream.id)
        if health is not None and now_s < health.avoid_until_s:
            return True
        if self.pauses.is_leaving(upstream.id, upstream.started_ms):
            return True
        return upstream.has_engine and self._is_unresponsive(upstream, now_s)

    def may_send(self, upstream: DirectUpstream, now_s: float) -> bool:
        """Return whether the incarnation that was chosen may still get requests."""
        present = self._upstreams.get(upstream.id)
        if present is None or not present.is_ready or present.started_ms != upstream.started_ms:
            return False
        return not self.pauses.is_blocked(upstream.id, upstream.started_ms, now_s)

    def start_deadline_s(
        self,
        sent: SentRequest,
        version_deadline_s: Callable[[int], float] | None,
        now_s: float,
    ) -> float:
        """Return until when an engine may begin a request that it was sent; inf without a limit."""
        if version_deadline_s is None or sent.version == 0:
            return float("inf")
        status = self._fresh_status(sent.upstream_id, now_s)
        has_loaded = status is not None and status.is_complete and not status.is_loading
        return version_deadline_s(max(sent.version, status.version if has_loaded else 0))

    def is_stuck(self, sent: SentRequest, now_s: float) -> bool:
        """Return whether a request waits at an engine whose machine is unresponsive."""
        upstream = self._upstreams.get(sent.upstream_id)
        if upstream is None or not upstream.has_engine:
            return False
        newest_s = max(
            sent.sent_s,
            self._get_last_received_s(upstream.id),
            self.engines.last_read_s(upstream.address),
        )
        return now_s - newest_s > ABANDON_AFTER_S

    def _is_unresponsive(self, upstream: DirectUpstream, now_s: float) -> bool:
        """Return whether neither an engine nor its agent has sent anything recently."""
        if now_s - self._get_last_received_s(upstream.id) <= UNRESPONSIVE_AFTER_S:
            return False
        status = self.engines.get(upstream.address, now_s)
        if status is not None:
            return now_s - status.read_s > UNRESPONSIVE_AFTER_S
        # After a long time without reports, one request at a time probes whether the engine works.
        return any(not sent.is_prefilled for sent in self._own_requests.get(upstream.id, ()))

    def _get_last_received_s(self, upstream_id: str) -> float:
        """Return when a part of an answer was last received from an upstream."""
        own = (
            sent.last_received_s
            for sent in self._own_requests.get(upstream_id, ())
            if sent.is_prefilled
        )
        return max(own, default=self._last_received_s.get(upstream_id, float("-inf")))

    def _record_outcome(self, upstream_id: str, outcome: float, now_s: float) -> None:
        health = self._health.setdefault(upstream_id, _Health())
        rate = _decayed_failure_rate(health, now_s)
        health.failure_rate = rate + FAILURE_SMOOTHING * (outcome - rate)
        health.updated_s = now_s
        if outcome == 0.0:
            health.avoid_until_s = float("-inf")


def _decayed_failure_rate(health: _Health, now_s: float) -> float:
    return health.failure_rate * 0.5 ** ((now_s - health.updated_s) / FAILURE_HALF_LIFE_S)


def _max_requests(upstream: DirectUpstream) -> int:
    share = ENGINE_QUEUE_SHARE if upstream.has_engine else PLAIN_QUEUE_SHARE
    return upstream.slots + max(1, round(upstream.slots * share))
