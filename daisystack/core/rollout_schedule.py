"""Schedule when each serving engine of a service loads another version, and track its order."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from daisystack.core.rendezvous import rank_members
from daisystack.core.weight_pieces import EngineState

__all__ = ["OrderedLoad", "RolloutSchedule", "order_time_s"]

# Covers the delay until a new version is known and the last read of the pieces before the order.
LAST_ORDER_MARGIN_S = 0.7
# The first engine need not wait; the last one waits until its deadline.
FIRST_POSITION = 0.0


@frozen
class RolloutSchedule:
    """Schedule that spreads the weight loads of a service's engines over the time to a deadline."""

    own_id: str
    engines: Sequence[str]
    # After this time, the version that the engine serves may no longer be served.
    deadline_s: float

    def position(self) -> float:
        """Return this engine's position in the order, from 0 for the first to 1 for the last."""
        ranked = rank_members("roll", {self.own_id, *self.engines})
        if len(ranked) == 1:
            return FIRST_POSITION
        return ranked.index(self.own_id) / (len(ranked) - 1)


@frozen
class OrderedLoad:
    """Load of a version that an engine was ordered to begin, with its state before the order."""

    version: int
    started_ms: int
    order_count: int

    def is_running(self, state: EngineState) -> bool:
        """Return whether the engine accepted the order and has not completed it.

        The engine then no longer needs the staged pieces, since it takes them when it accepts.
        """
        is_accepted = state.order_count > self.order_count
        return state.is_busy and is_accepted and state.started_ms == self.started_ms


def order_time_s(schedule: RolloutSchedule, ready_s: float) -> float:
    """Return when to order a serving engine to load, given when its pieces were staged."""
    last_s = schedule.deadline_s - LAST_ORDER_MARGIN_S
    if last_s <= ready_s:
        return ready_s
    return ready_s + schedule.position() * (last_s - ready_s)
