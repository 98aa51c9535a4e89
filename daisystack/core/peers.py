"""Detect failed peers from the arrival times of their heartbeats, by the local clock only."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from daisystack.core.register import ModelRef

__all__ = ["PeerState", "PeerStatus", "PeerTable"]

SUSPECT_AFTER_S = 3.0


class PeerState(enum.Enum):
    """Liveness of a peer as seen by this process."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECTED = "suspected"


@frozen
class PeerStatus:
    """Status that a process reports about itself in a heartbeat."""

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
class _PeerRecord:
    status: PeerStatus | None = None
    received_s: float = 0.0
    unanswered_since_s: float | None = None


@define
class PeerTable:
    """Keep the latest status of each peer and the time at which it arrived."""

    suspect_after_s: float = SUSPECT_AFTER_S
    _records: dict[str, _PeerRecord] = field(factory=dict)

    def record_heartbeat_sent(self, instance_id: str, now_s: float) -> None:
        """Record that a heartbeat was sent, so that a missing answer can be detected."""
        record = self._records.setdefault(instance_id, _PeerRecord())
        if record.unanswered_since_s is None:
            record.unanswered_since_s = now_s

    def apply_heartbeat(self, status: PeerStatus, now_s: float) -> None:
        """Record a heartbeat unless a newer one has already arrived."""
        record = self._records.setdefault(status.instance_id, _PeerRecord())
        if record.status is not None and self._is_outdated(status, record, now_s):
            return
        record.status = status
        record.received_s = now_s
        record.unanswered_since_s = None

    def _is_outdated(self, status: PeerStatus, record: _PeerRecord, now_s: float) -> bool:
        if status.incarnation == record.status.incarnation:
            return status.uptime_s < record.status.uptime_s
        # Incarnations are ordered by wall clocks, which may be wrong, so any other incarnation
        # replaces one that has become unresponsive.
        is_unresponsive = now_s - record.received_s > self.suspect_after_s
        return status.incarnation < record.status.incarnation and not is_unresponsive

    def shift_times(self, gap_s: float) -> None:
        """Shift all times by a pause of this process, in which nothing could be received."""
        for record in self._records.values():
            record.received_s += gap_s
            if record.unanswered_since_s is not None:
                record.unanswered_since_s += gap_s

    def status(self, instance_id: str) -> PeerStatus | None:
        """Return the newest status of a peer."""
        record = self._records.get(instance_id)
        return record.status if record else None

    def age_s(self, instance_id: str, now_s: float) -> float:
        """Return the age of the newest status, infinite when there is none."""
        record = self._records.get(instance_id)
        if record is None or record.status is None:
            return float("inf")
        return now_s - record.received_s

    def state(self, instance_id: str, now_s: float) -> PeerState:
        """Return the state of a peer by the time since its last heartbeat.

        A peer that has sent none is suspected by the time since the first heartbeat sent to it.
        """
        record = self._records.get(instance_id)
        if record is None:
            return PeerState.UNKNOWN
        if record.status is not None and now_s - record.received_s <= self.suspect_after_s:
            return PeerState.ALIVE
        since_s = record.received_s if record.status is not None else record.unanswered_since_s
        if since_s is not None and now_s - since_s > self.suspect_after_s:
            return PeerState.SUSPECTED
        return PeerState.UNKNOWN

    def forget_all_but(self, instance_ids: frozenset[str]) -> None:
        """Drop all peers except the given ones, which the register lists."""
        for instance_id in self._records.keys() - instance_ids:
            del self._records[instance_id]
