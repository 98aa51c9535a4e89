"""Decide when an engine that serves takes its turn to load another version."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import frozen

from daisystack.core.rendezvous import rank_members

__all__ = ["RolloutSchedule", "order_time_s"]

# Covers the age of the news of a version and the last reading of the pieces before the order.
LAST_ORDER_MARGIN_S = 0.7
# A first turn needs no wait, the last one waits until its time.
FIRST_POSITION = 0.0


@frozen
class RolloutSchedule:
    """Spread the turns of the engines of one service over the time that is left."""

    own_id: str
    engines: Sequence[str]
    # When the version that the engine serves may serve no more.
    deadline_s: float

    def position(self) -> float:
        """Return the own place among the engines, from 0 for the first to 1 for the last."""
        ranked = rank_members("roll", {self.own_id, *self.engines})
        if len(ranked) == 1:
            return FIRST_POSITION
        return ranked.index(self.own_id) / (len(ranked) - 1)


def order_time_s(plan: RolloutSchedule, ready_s: float) -> float:
    """Return when an engine that serves should be ordered, once its pieces are staged."""
    last_s = plan.deadline_s - LAST_ORDER_MARGIN_S
    if last_s <= ready_s:
        return ready_s
    return ready_s + plan.position() * (last_s - ready_s)
