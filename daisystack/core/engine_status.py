"""Know the state of engines as the agents beside them read it."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["EngineStatusTable", "EngineStatus"]

# A report older than this says nothing about the engine's load; several gossip rounds long.
REPORT_LIFETIME_S = 2.0
# News of one engine further apart than this has an interruption between; gossip rounds are shorter.
INTERRUPTION_S = 1.0
# No machine stands still for longer, so its engine's next news are those of a new start.
FORGET_AFTER_S = 60.0


@frozen
class EngineStatus:
    """Hold one engine's state; read_s is when its agent read it, on the own clock."""

    address: str
    started_ms: int
    version: int
    is_complete: bool
    is_loading: bool
    running: int
    queued: int
    read_s: float
    # When it is expected to load other weights, on the own clock.
    loads_at_s: float | None = None


@define
class EngineStatusTable:
    """Keep the newest state of each engine."""

    _by_address: dict[str, EngineStatus] = field(factory=dict)
    _uninterrupted_since_s: dict[str, float] = field(factory=dict)

    def update(self, status: EngineStatus) -> None:
        """Take a state unless a newer one is known."""
        known = self._by_address.get(status.address)
        if known is not None and status.read_s <= known.read_s:
            return
        if known is not None and status.read_s - known.read_s > INTERRUPTION_S:
            self._uninterrupted_since_s[status.address] = status.read_s
        self._by_address[status.address] = status

    def last_read_s(self, address: str) -> float:
        """Return when an engine's state was last read, however long ago."""
        status = self._by_address.get(address)
        return status.read_s if status is not None else float("-inf")

    def uninterrupted_s(self, address: str, now_s: float) -> float:
        """Return for how long an engine's news have come without an interruption."""
        return now_s - self._uninterrupted_since_s.get(address, float("-inf"))

    def get(self, address: str, now_s: float) -> EngineStatus | None:
        """Return an engine's state if it was read lately."""
        status = self._by_address.get(address)
        if status is None or now_s - status.read_s > REPORT_LIFETIME_S:
            return None
        return status

    def recent(self, now_s: float) -> list[EngineStatus]:
        """Return all recent states and forget engines that are long gone."""
        for address in [
            a for a, s in self._by_address.items() if now_s - s.read_s > FORGET_AFTER_S
        ]:
            del self._by_address[address]
            self._uninterrupted_since_s.pop(address, None)
        return [s for s in self._by_address.values() if now_s - s.read_s <= REPORT_LIFETIME_S]
