"""Notice upstreams that answer slowly or not at all, from the own requests only."""

from __future__ import annotations

from statistics import median

from attrs import define, field

__all__ = ["UpstreamLatency"]

SMOOTHING = 0.2
MAX_PENALTY = 20.0
STUCK_AFTER_S = 2.0


@define
class _LatencyRecord:
    mean_s: float | None = None
    answered_s: float = 0.0
    is_unreachable: bool = False
    was_stuck: bool = False
    waiting: dict[object, float] = field(factory=dict)


@define
class UpstreamLatency:
    """Compare each upstream's time to its first answer with the others'."""

    _records: dict[str, _LatencyRecord] = field(factory=dict)

    def begin(self, instance_id: str, request: object, now_s: float) -> None:
        """Record a request sent."""
        self._records.setdefault(instance_id, _LatencyRecord()).waiting[request] = now_s

    def record_answered(self, instance_id: str, request: object, now_s: float) -> None:
        """Record the first piece of an answer."""
        record = self._records.setdefault(instance_id, _LatencyRecord())
        begun_s = record.waiting.pop(request, None)
        if begun_s is None:
            return
        record.answered_s = now_s
        record.was_stuck = False
        took_s = now_s - begun_s
        mean_s = took_s if record.mean_s is None else record.mean_s
        record.mean_s = mean_s + SMOOTHING * (took_s - mean_s)

    def record_abandoned(self, instance_id: str, request: object) -> None:
        """Record a request that ended without an answer."""
        if instance_id in self._records:
            self._records[instance_id].waiting.pop(request, None)

    def mark_unreachable(self, instance_id: str) -> None:
        """Record a refused connection."""
        self._records.setdefault(instance_id, _LatencyRecord()).is_unreachable = True

    def record_heartbeat(self, instance_id: str) -> None:
        """Record a heartbeat, which ends an upstream's being unreachable."""
        if instance_id in self._records:
            self._records[instance_id].is_unreachable = False

    def is_excluded(self, instance_id: str, now_s: float) -> bool:
        """Say whether an upstream gets nothing now: unreachable, or stuck during its trial."""
        record = self._records.get(instance_id)
        if record is None:
            return False
        if self._is_stuck(record, now_s):
            record.was_stuck = True
        return record.is_unreachable or (record.was_stuck and bool(record.waiting))

    def is_stuck(self, instance_id: str, now_s: float) -> bool:
        """Say whether an upstream has answered nobody for too long."""
        record = self._records.get(instance_id)
        return record is not None and self._is_stuck(record, now_s)

    def penalty(self, instance_id: str) -> float:
        """Return by how much a slow upstream's load should look larger than it is."""
        record = self._records.get(instance_id)
        if record is None:
            return 1.0
        means = [p.mean_s for p in self._records.values() if p.mean_s is not None]
        if record.mean_s is None or len(means) < 3:
            return 1.0
        usual_s = max(median(means), 1e-6)
        return min(MAX_PENALTY, max(1.0, record.mean_s / usual_s))

    def forget_all_but(self, instance_ids: frozenset[str]) -> None:
        """Drop upstreams that are no longer listed."""
        for instance_id in self._records.keys() - instance_ids:
            del self._records[instance_id]

    def _is_stuck(self, record: _LatencyRecord, now_s: float) -> bool:
        if not record.waiting:
            return False
        oldest_s = next(iter(record.waiting.values()))
        return now_s - max(oldest_s, record.answered_s) > STUCK_AFTER_S
