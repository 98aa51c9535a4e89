"""Notice upstreams that answer slowly or not at all, from the own requests only."""

from __future__ import annotations

from statistics import median

from attrs import define, field

__all__ = ["UpstreamPace"]

SMOOTHING = 0.2
MAX_PENALTY = 20.0
STUCK_AFTER_S = 2.0


@define
class _Pace:
    mean_s: float | None = None
    answered_s: float = 0.0
    is_unreachable: bool = False
    was_stuck: bool = False
    waiting: dict[object, float] = field(factory=dict)


@define
class UpstreamPace:
    """Compare each upstream's time to its first answer with the others'."""

    _paces: dict[str, _Pace] = field(factory=dict)

    def begin(self, instance_id: str, request: object, now_s: float) -> None:
        """Record a request sent."""
        self._paces.setdefault(instance_id, _Pace()).waiting[request] = now_s

    def answered(self, instance_id: str, request: object, now_s: float) -> None:
        """Record the first piece of an answer."""
        pace = self._paces.setdefault(instance_id, _Pace())
        begun_s = pace.waiting.pop(request, None)
        if begun_s is None:
            return
        pace.answered_s = now_s
        pace.was_stuck = False
        took_s = now_s - begun_s
        mean_s = took_s if pace.mean_s is None else pace.mean_s
        pace.mean_s = mean_s + SMOOTHING * (took_s - mean_s)

    def gave_up(self, instance_id: str, request: object) -> None:
        """Record a request that ended without an answer."""
        if instance_id in self._paces:
            self._paces[instance_id].waiting.pop(request, None)

    def unreachable(self, instance_id: str) -> None:
        """Record a refused connection."""
        self._paces.setdefault(instance_id, _Pace()).is_unreachable = True

    def heard(self, instance_id: str) -> None:
        """Record a heartbeat, which ends an upstream's being unreachable."""
        if instance_id in self._paces:
            self._paces[instance_id].is_unreachable = False

    def is_excluded(self, instance_id: str, now_s: float) -> bool:
        """Say whether an upstream gets nothing now: unreachable, or stuck during its trial."""
        pace = self._paces.get(instance_id)
        if pace is None:
            return False
        if self._is_stuck(pace, now_s):
            pace.was_stuck = True
        return pace.is_unreachable or (pace.was_stuck and bool(pace.waiting))

    def is_stuck(self, instance_id: str, now_s: float) -> bool:
        """Say whether an upstream has answered nobody for too long."""
        pace = self._paces.get(instance_id)
        return pace is not None and self._is_stuck(pace, now_s)

    def penalty(self, instance_id: str) -> float:
        """Return by how much a slow upstream's load should look larger than it is."""
        pace = self._paces.get(instance_id)
        if pace is None:
            return 1.0
        means = [p.mean_s for p in self._paces.values() if p.mean_s is not None]
        if pace.mean_s is None or len(means) < 3:
            return 1.0
        usual_s = max(median(means), 1e-6)
        return min(MAX_PENALTY, max(1.0, pace.mean_s / usual_s))

    def forget_all_but(self, instance_ids: frozenset[str]) -> None:
        """Drop upstreams that are no longer listed."""
        for instance_id in self._paces.keys() - instance_ids:
            del self._paces[instance_id]

    def _is_stuck(self, pace: _Pace, now_s: float) -> bool:
        if not pace.waiting:
            return False
        oldest_s = next(iter(pace.waiting.values()))
        return now_s - max(oldest_s, pace.answered_s) > STUCK_AFTER_S
