"""Count requests in flight at each upstream, from own counts, reports and other entries."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable

from attrs import define, field, frozen

from daisystack.core.cold_upstreams import ColdUpstreams
from daisystack.core.placement.records import DirectUpstream, SentRequest
from daisystack.core.placement.view import STATUS_LIFETIME_S, UpstreamView
from daisystack.core.rate_shares import RateShares

__all__ = ["RequestCounts"]

# Other entries report their counts every 0.4 s; requests in older reports have ended.
COUNTS_LIFETIME_S = 2.5
# Time over which an entry's own rate of requests is measured, as an estimate of that of others.
SEND_RATE_WINDOW_S = 2.0
# Arrivals come in bursts, so more may be unseen than their mean number.
UNSEEN_FACTOR = 2.0


@frozen
class _EndedRequest:
    sent_s: float
    ended_s: float


@define
class _EntryCounts:
    zone: str
    counts: dict[str, int]
    received_s: float


@define
class RequestCounts:
    """Track the requests that this entry sent, and estimate those of other entries."""

    view: UpstreamView
    shares: RateShares
    cold: ColdUpstreams = field(factory=ColdUpstreams)
    # In the order in which they were sent.
    _own_requests: dict[str, dict[SentRequest, None]] = field(factory=dict)
    _ended_requests: dict[str, list[_EndedRequest]] = field(factory=dict)
    _entry_counts: dict[str, _EntryCounts] = field(factory=dict)
    _last_received_s: dict[str, float] = field(factory=dict)
    _sending_entries: int = 0
    # When this entry sent its recent requests to each service with engines.
    _sent_s: dict[str, deque[float]] = field(factory=dict)
    # By service and zone, all engines, and those that could get the latest first attempt.
    _engine_counts: dict[str, Counter[str]] = field(factory=dict)
    _eligible_counts: dict[str, Counter[str]] = field(factory=dict)
    # Estimates made at a moment at which nothing changes; None outside of one.
    _in_flight: dict[str, float] | None = None

    def begin_moment(self) -> None:
        """Keep the estimates that are made from now on, as nothing changes meanwhile."""
        self._in_flight = {}

    def end_moment(self) -> None:
        """Forget the estimates that were kept."""
        self._in_flight = None

    def begin(self, upstream_id: str, prompt_tokens: int, now_s: float) -> SentRequest:
        """Record a request as sent, count it as in flight and return the record."""
        upstream = self.view.upstreams.get(upstream_id)
        version = self.view.version_of(upstream, now_s) if upstream and upstream.has_engine else 0
        incarnation = upstream.incarnation if upstream else (upstream_id, 0)
        is_reserved = self.shares.reserve(incarnation)
        sent = SentRequest(upstream_id, prompt_tokens, now_s, version, incarnation, is_reserved)
        self._own_requests.setdefault(upstream_id, {})[sent] = None
        self.cold.reserve(sent)
        if upstream is not None and upstream.has_engine:
            sent_s = self._sent_s.setdefault(upstream.service, deque())
            sent_s.append(now_s)
            while sent_s[0] < now_s - SEND_RATE_WINDOW_S:
                sent_s.popleft()
        return sent

    def end(self, sent: SentRequest, now_s: float) -> None:
        """Record that a request has ended; it no longer counts as in flight."""
        own = self._own_requests[sent.upstream_id]
        own.pop(sent, None)
        if not own:
            del self._own_requests[sent.upstream_id]
        self._release(sent)
        if sent.last_received_s is not None:
            self._last_received_s[sent.upstream_id] = max(
                self.last_received_s(sent.upstream_id), sent.last_received_s
            )
        recent = [
            e
            for e in self._ended_requests.get(sent.upstream_id, ())
            if now_s - e.ended_s <= STATUS_LIFETIME_S
        ]
        self._ended_requests[sent.upstream_id] = [*recent, _EndedRequest(sent.sent_s, now_s)]

    def take_share(self, sent: SentRequest, now_s: float) -> bool:
        """Count a request as sent now; return False if its upstream gets no more."""
        self._release(sent)
        upstream = self.view.upstreams.get(sent.upstream_id)
        if upstream is not None and not self.cold.take(upstream, now_s):
            return False
        return self.shares.take(sent.incarnation, now_s)

    def _release(self, sent: SentRequest) -> None:
        self.cold.release(sent)
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
            if entry.zone == self.view.zone
            and entry.counts
            and now_s - entry.received_s <= COUNTS_LIFETIME_S
        )

    def own_at(self, upstream_id: str) -> Iterable[SentRequest]:
        """Return this entry's requests in flight at an upstream."""
        return self._own_requests.get(upstream_id, ())

    def forget(self, upstream_id: str) -> None:
        """Forget when an upstream that is no longer published last answered."""
        self._last_received_s.pop(upstream_id, None)

    def in_flight(self, upstream_id: str, now_s: float) -> float:
        """Estimate an upstream's requests in flight, from its agent's fresh report if any."""
        if self._in_flight is None:
            return self._estimate_in_flight(upstream_id, now_s)
        requests = self._in_flight.get(upstream_id)
        if requests is None:
            requests = self._in_flight[upstream_id] = self._estimate_in_flight(upstream_id, now_s)
        return requests

    def _estimate_in_flight(self, upstream_id: str, now_s: float) -> float:
        own = self._own_requests.get(upstream_id, ())
        status = self.view.fresh_status(upstream_id, now_s)
        if status is not None:
            sent_since = sum(1 for sent in own if sent.sent_s > status.read_s)
            unseen = self._expect_unseen(self.view.upstreams[upstream_id], now_s - status.read_s)
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
        if (
            upstream.zone != self.view.zone
            and self.view.zone
            and counts
            and self.view.zone not in counts
        ):
            # Without an engine of their own zone, its entries send to all others.
            share += 1.0 / sum(counts.values())
        return UNSEEN_FACTOR * rate_per_s * self._sending_entries * max(0.0, age_s) * share

    def count_engines(self) -> None:
        """Count the engines of each service by zone."""
        self._engine_counts = {}
        for upstream in self.view.upstreams.values():
            if upstream.has_engine and upstream.is_ready:
                self._engine_counts.setdefault(upstream.service, Counter())[upstream.zone] += 1

    def count_eligible(self, service: str, eligible: Iterable[DirectUpstream]) -> None:
        """Count by zone the engines to which requests for a service go now."""
        limited = self.shares.limits.limited()
        self._eligible_counts[service] = Counter(
            u.zone for u in eligible if u.has_engine and u.incarnation not in limited
        )

    def last_received_s(self, upstream_id: str) -> float:
        """Return when a part of an answer was last received from an upstream."""
        own = (
            sent.last_received_s
            for sent in self._own_requests.get(upstream_id, ())
            if sent.is_prefilled
        )
        return max(own, default=self._last_received_s.get(upstream_id, float("-inf")))
