"""Judge peers by when they were last heard, on the own clock only."""

from __future__ import annotations

import enum

from attrs import define, field, frozen

from daisystack.core.register import ModelRef

__all__ = ["PeerState", "PeerStatus", "PeerTable"]

SUSPECT_AFTER_S = 3.0


class PeerState(enum.Enum):
    """Say what is believed of a peer."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECTED = "suspected"


@frozen
class PeerStatus:
    """Hold what a process says of itself in a heartbeat."""

    instance_id: str
    incarnation: str
    uptime_s: float
    revision: int
    leaving: bool = False
    gate_open: bool = False
    serving: frozenset[ModelRef] = frozenset()
    in_flight: int = 0
    capacity: int = 0
    service_age_s: float = float("inf")
    chunks_held: int = 0
    chunks_wanted: int = 0
    loading: bool = False
    crash_counts: tuple[tuple[str, int], ...] = ()


@define
class _Seen:
    status: PeerStatus | None = None
    heard_s: float = 0.0
    first_asked_s: float | None = None


@define
class PeerTable:
    """Remember the newest status of each peer and when it came."""

    suspect_after_s: float = SUSPECT_AFTER_S
    _seen: dict[str, _Seen] = field(factory=dict)

    def asked(self, instance_id: str, now_s: float) -> None:
        """Record that a heartbeat was sent, so that silence can be noticed."""
        seen = self._seen.setdefault(instance_id, _Seen())
        if seen.first_asked_s is None:
            seen.first_asked_s = now_s

    def heard(self, status: PeerStatus, now_s: float) -> None:
        """Record a heartbeat unless it is a late one that a newer one has overtaken."""
        seen = self._seen.setdefault(status.instance_id, _Seen())
        if seen.status is not None and self._is_overtaken(status, seen, now_s):
            return
        seen.status = status
        seen.heard_s = now_s
        seen.first_asked_s = None

    def _is_overtaken(self, status: PeerStatus, seen: _Seen, now_s: float) -> bool:
        if status.incarnation == seen.status.incarnation:
            return status.uptime_s < seen.status.uptime_s
        # Lives are ordered by wall clocks, which may lie; a silent life gives way to any other.
        is_silent = now_s - seen.heard_s > self.suspect_after_s
        return status.incarnation < seen.status.incarnation and not is_silent

    def paused(self, gap_s: float) -> None:
        """Shift all times by the length of an own pause, in which nothing could be heard."""
        for seen in self._seen.values():
            seen.heard_s += gap_s
            if seen.first_asked_s is not None:
                seen.first_asked_s += gap_s

    def status(self, instance_id: str) -> PeerStatus | None:
        """Return the newest status of a peer."""
        seen = self._seen.get(instance_id)
        return seen.status if seen else None

    def age_s(self, instance_id: str, now_s: float) -> float:
        """Return the age of the newest status, infinite when there is none."""
        seen = self._seen.get(instance_id)
        if seen is None or seen.status is None:
            return float("inf")
        return now_s - seen.heard_s

    def state(self, instance_id: str, now_s: float) -> PeerState:
        """Judge a peer by its silence since it was heard or first asked."""
        seen = self._seen.get(instance_id)
        if seen is None:
            return PeerState.UNKNOWN
        if seen.status is not None and now_s - seen.heard_s <= self.suspect_after_s:
            return PeerState.ALIVE
        since_s = seen.heard_s if seen.status is not None else seen.first_asked_s
        if since_s is not None and now_s - since_s > self.suspect_after_s:
            return PeerState.SUSPECTED
        return PeerState.UNKNOWN

    def forget_all_but(self, instance_ids: frozenset[str]) -> None:
        """Drop peers that the register no longer lists."""
        for instance_id in self._seen.keys() - instance_ids:
            del self._seen[instance_id]
