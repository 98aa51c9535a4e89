"""Track failures of upstreams, and machines that stand still."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.placement.counts import RequestCounts
from daisystack.core.placement.records import DirectUpstream, SentRequest
from daisystack.core.placement.view import UpstreamView

__all__ = ["UNRESPONSIVE_PAUSE_S", "UpstreamHealth"]

# After a refused or lost connection, an upstream gets no requests for this long, which gives the
# published list time to drop it if it is dead.
AVOID_S = 1.0
# Weight of the newest outcome in the moving average of failures, which spans about five outcomes.
FAILURE_SMOOTHING = 0.2
# At a failure rate of 1, an upstream's cost is multiplied by 1 + this factor.
FAILURE_PENALTY = 6.0
# The failure rate decays so that an upstream that has recovered is tried again.
FAILURE_HALF_LIFE_S = 3.0
# Agents report ten times a second and engines emit an event every few hundredths of a second, so
# when both are silent for this long, their machine is unresponsive.
UNRESPONSIVE_AFTER_S = 0.6
# Reports from remote zones are occasionally that late, and abandoning an attempt costs a retry.
ABANDON_AFTER_S = 0.8
# A request that waits in a queue while the agent is silent looks the same, so an engine that seemed
# unresponsive is tried again, but not by every new request.
UNRESPONSIVE_PAUSE_S = 2.0


@define
class _Health:
    failure_rate: float = 0.0
    updated_s: float = 0.0
    avoid_until_s: float = float("-inf")


@define
class UpstreamHealth:
    """Outcomes of the requests at each upstream, and for how long to avoid it."""

    view: UpstreamView
    counts: RequestCounts
    _health: dict[str, _Health] = field(factory=dict)

    def record_success(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream answered."""
        self._record_outcome(upstream_id, 0.0, now_s)

    def record_failure(self, upstream_id: str, now_s: float) -> None:
        """Record a failure caused by the upstream itself."""
        self._record_outcome(upstream_id, 1.0, now_s)

    def avoid(self, upstream_id: str, now_s: float, pause_s: float = AVOID_S) -> None:
        """Send no requests to an upstream for pause_s, unless there is no other."""
        self._health.setdefault(upstream_id, _Health()).avoid_until_s = now_s + pause_s

    def forget(self, upstream_id: str) -> None:
        """Forget the outcomes of an upstream that is no longer published."""
        self._health.pop(upstream_id, None)

    def penalty(self, upstream_id: str, now_s: float) -> float:
        """Return by how much the cost of an upstream is multiplied for its failures."""
        health = self._health.get(upstream_id)
        if health is None:
            return 1.0
        return 1.0 + FAILURE_PENALTY * _decayed_failure_rate(health, now_s)

    def is_avoided(self, upstream_id: str, now_s: float) -> bool:
        """Return whether an upstream gets no requests while there is another."""
        health = self._health.get(upstream_id)
        return health is not None and now_s < health.avoid_until_s

    def is_stuck(self, sent: SentRequest, now_s: float) -> bool:
        """Return whether a request waits at an engine whose machine is unresponsive."""
        upstream = self.view.upstreams.get(sent.upstream_id)
        if upstream is None or not upstream.has_engine:
            return False
        newest_s = max(
            sent.sent_s,
            self.counts.last_received_s(upstream.id),
            self.view.engines.last_read_s(upstream.address),
        )
        return now_s - newest_s > ABANDON_AFTER_S

    def is_unresponsive(self, upstream: DirectUpstream, now_s: float) -> bool:
        """Return whether neither an engine nor its agent has sent anything recently."""
        if now_s - self.counts.last_received_s(upstream.id) <= UNRESPONSIVE_AFTER_S:
            return False
        status = self.view.engines.get(upstream.address, now_s)
        if status is not None:
            return now_s - status.read_s > UNRESPONSIVE_AFTER_S
        # After a long time without reports, one request at a time probes whether the engine works.
        return any(not sent.is_prefilled for sent in self.counts.own_at(upstream.id))

    def _record_outcome(self, upstream_id: str, outcome: float, now_s: float) -> None:
        health = self._health.setdefault(upstream_id, _Health())
        rate = _decayed_failure_rate(health, now_s)
        health.failure_rate = rate + FAILURE_SMOOTHING * (outcome - rate)
        health.updated_s = now_s
        if outcome == 0.0:
            health.avoid_until_s = float("-inf")


def _decayed_failure_rate(health: _Health, now_s: float) -> float:
    return health.failure_rate * 0.5 ** ((now_s - health.updated_s) / FAILURE_HALF_LIFE_S)
