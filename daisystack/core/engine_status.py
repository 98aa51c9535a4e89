"""Latest status of each engine, as read by the agent on its machine."""

from __future__ import annotations

from attrs import define, evolve, field, frozen

__all__ = ["EngineStatus", "EngineStatusTable", "ReportPacer"]

# A status older than this says nothing about the engine's load. It spans several gossip rounds.
REPORT_LIFETIME_S = 2.0
# A longer gap between two statuses of an engine is an interruption; gossip rounds are shorter.
INTERRUPTION_S = 1.0
# No machine is unresponsive for longer, so the next status is that of a restarted engine.
FORGET_AFTER_S = 60.0
# Two reports fit into the time after which an engine's load counts as unknown.
REPORT_INTERVAL_S = 0.25


@frozen
class EngineStatus:
    """Status of one engine as sent by its agent; read_s is when the agent read it, by local clock.

    is_complete means that the engine holds all weights of the version.
    """

    address: str
    started_ms: int
    version: int
    is_complete: bool
    is_loading: bool
    running: int
    queued: int
    read_s: float
    # When the engine is expected to load other weights, on the local clock.
    loads_at_s: float | None = None
    # How many times as long as in its profile the engine takes.
    slowdown: float = 1.0


@define
class EngineStatusTable:
    """The latest status of each engine."""

    _by_address: dict[str, EngineStatus] = field(factory=dict)
    _uninterrupted_since_s: dict[str, float] = field(factory=dict)
    # When each engine's own agent last sent a status here, without another entry in between.
    _direct_read_s: dict[str, float] = field(factory=dict)

    def update(self, status: EngineStatus, is_direct: bool = False) -> None:
        """Store a status unless a newer one is known; is_direct if its agent sent it here."""
        if is_direct:
            self._direct_read_s[status.address] = status.read_s
        known = self._by_address.get(status.address)
        if known is not None and status.read_s <= known.read_s:
            return
        if known is not None and status.read_s - known.read_s > INTERRUPTION_S:
            self._uninterrupted_since_s[status.address] = status.read_s
        self._by_address[status.address] = status

    def last_read_s(self, address: str) -> float:
        """Return when an engine's status was last read, -inf if never."""
        status = self._by_address.get(address)
        return status.read_s if status is not None else float("-inf")

    def uninterrupted_s(self, address: str, now_s: float) -> float:
        """Return for how many seconds an engine's statuses have come without an interruption."""
        return now_s - self._uninterrupted_since_s.get(address, float("-inf"))

    def get(self, address: str, now_s: float) -> EngineStatus | None:
        """Return an engine's status, or None if it is older than REPORT_LIFETIME_S."""
        status = self._by_address.get(address)
        if status is None or now_s - status.read_s > REPORT_LIFETIME_S:
            return None
        return status

    def recent(self, now_s: float) -> list[EngineStatus]:
        """Return all recent statuses and forget engines without one for FORGET_AFTER_S."""
        for address in [
            a for a, s in self._by_address.items() if now_s - s.read_s > FORGET_AFTER_S
        ]:
            del self._by_address[address]
            self._uninterrupted_since_s.pop(address, None)
            self._direct_read_s.pop(address, None)
        return [s for s in self._by_address.values() if now_s - s.read_s <= REPORT_LIFETIME_S]

    def recent_direct(self, now_s: float) -> list[EngineStatus]:
        """Return the recent statuses of engines whose agents report to this process."""
        return [
            status
            for status in self.recent(now_s)
            if now_s - self._direct_read_s.get(status.address, float("-inf")) <= REPORT_LIFETIME_S
        ]


@define
class ReportPacer:
    """Decide when an agent sends its engine's status: at each change, and at a slow rate else."""

    _sent: EngineStatus | None = None

    def is_due(self, status: EngineStatus) -> bool:
        """Return whether to send a status now."""
        if self._sent is None or status.read_s - self._sent.read_s >= REPORT_INTERVAL_S:
            return True
        return _without_times(status) != _without_times(self._sent)

    def record_sent(self, status: EngineStatus) -> None:
        """Record that a status was sent."""
        self._sent = status


def _without_times(status: EngineStatus) -> EngineStatus:
    # The expected time of a load shifts a little with each piece.
    return evolve(status, read_s=0.0, loads_at_s=0.0 if status.loads_at_s is not None else None)
