"""Detect slow and stuck upstreams from the latency of this entry's requests."""

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
    last_answer_s: float = 0.0
    is_unreachable: bool = False
    was_stuck: bool = False
    waiting: dict[object, float] = field(factory=dict)


@define
class UpstreamLatency:
    """Compare each upstream's time to the first piece of an answer with that of the others."""

    _records: dict[str, _LatencyRecord] = field(factory=dict)

    def begin(self, instance_id: str, request: object, now_s: float) -> None:
        """Record a request as sent."""
        self._records.setdefault(instance_id, _LatencyRecord()).waiting[request] = now_s

    def record_answered(self, instance_id: str, request: object, now_s: float) -> None:
        """Record that the first piece of an answer has arrived."""
        record = self._records.setdefault(instance_id, _LatencyRecord())
        sent_s = record.waiting.pop(request, None)
        if sent_s is None:
            return
        record.last_answer_s = now_s
        record.was_stuck = False
        took_s = now_s - sent_s
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
        """Record a heartbeat, after which an upstream no longer counts as unreachable."""
        if instance_id in self._records:
            self._records[instance_id].is_unreachable = False

    def is_excluded(self, instance_id: str, now_s: float) -> bool:
        """Return whether an upstream gets no requests now.

        It is excluded while it is unreachable. After it was stuck, it gets one request at a time
        until it answers one.
        """
        record = self._records.get(instance_id)
        if record is None:
            return False
        if self._is_stuck(record, now_s):
            record.was_stuck = True
        return record.is_unreachable or (record.was_stuck and bool(record.waiting))

    def is_stuck(self, instance_id: str, now_s: float) -> bool:
        """Return whether an upstream has left all its requests unanswered for too long."""
        record = self._records.get(instance_id)
        return record is not None and self._is_stuck(record, now_s)

    def penalty(self, instance_id: str) -> float:
        """Return the factor by which to multiply an upstream's load; 1 unless it is slow."""
        record = self._records.get(instance_id)
        if record is None:
            return 1.0
        means = [r.mean_s for r in self._records.values() if r.mean_s is not None]
        if record.mean_s is None or len(means) < 3:
            return 1.0
        median_s = max(median(means), 1e-6)
        return min(MAX_PENALTY, max(1.0, record.mean_s / median_s))

    def forget_all_but(self, instance_ids: frozenset[str]) -> None:
        """Drop the upstreams that are no longer registered."""
        for instance_id in self._records.keys() - instance_ids:
            del self._records[instance_id]

    def _is_stuck(self, record: _LatencyRecord, now_s: float) -> bool:
        if not record.waiting:
            return False
        oldest_s = next(iter(record.waiting.values()))
        return now_s - max(oldest_s, record.last_answer_s) > STUCK_AFTER_S
