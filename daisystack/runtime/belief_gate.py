"""Hold back requests while the published documents that they need are too old."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet
from attrs import define

from daisystack.core.belief_age import BeliefState, evaluate_belief
from daisystack.core.mirror import Mirror
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import BeliefConfirmed, BeliefTooOld
from daisystack.runtime.logs import log_event
from daisystack.runtime.mirror_task import MirrorTask

__all__ = ["BeliefGate"]

# A read of the store takes about 10 ms; a peer's copy comes within a gossip round.
MAX_WAIT_S = 0.25
CHECK_INTERVAL_S = 0.02
MIN_REFRESH_INTERVAL_S = 0.25

BY_SEVERITY = (
    BeliefState.OUTDATED,
    BeliefState.UNCONFIRMED,
    BeliefState.UNCONFIRMABLE,
    BeliefState.CURRENT,
)
WORTH_ASKING = (BeliefState.OUTDATED, BeliefState.UNCONFIRMED)

_logger = logging.getLogger("daisystack.mirror")


@define(eq=False)
class BeliefGate:
    """Confirm the mirrors when a request needs it.

    A request is refused if that fails in time although the store answers this process or a peer.
    heard_age_s returns how long ago the store confirmed a mirror of any peer.
    """

    tasks: list[MirrorTask]
    bound_s: float
    heard_age_s: Callable[[Mirror, float], float]
    ask_peers: Callable[[], None]
    refused: int = 0
    _refreshed_s: float = float("-inf")
    _is_too_old: bool = False

    def wait_until_current(self, arrived_s: float) -> bool:
        """Return whether a request that arrived at a time may be decided on the mirrors."""
        state = self._state(arrived_s, [task.is_store_lost for task in self.tasks])
        if state is BeliefState.CURRENT:
            return True
        self._record_too_old(arrived_s, state)
        ends_s = now_s() + MAX_WAIT_S
        while state in WORTH_ASKING and now_s() < ends_s:
            self._refresh()
            eventlet.sleep(CHECK_INTERVAL_S)
            # A read from before a standstill of this process fails after it.
            has_failed = [task.has_failed_since(arrived_s) for task in self.tasks]
            state = self._state(arrived_s, has_failed)
        if state is BeliefState.OUTDATED:
            self.refused += 1
            return False
        if state is BeliefState.CURRENT:
            self._record_confirmed(arrived_s)
        return True

    def _state(self, arrived_s: float, is_lost: list[bool]) -> BeliefState:
        ages_s = [task.mirror.age_s(arrived_s) for task in self.tasks]
        states = {
            evaluate_belief(
                age_s,
                self.bound_s,
                # Any answer of the store shows that it works.
                min(self.heard_age_s(task.mirror, arrived_s), *ages_s),
                is_task_lost,
            )
            for task, age_s, is_task_lost in zip(self.tasks, ages_s, is_lost, strict=True)
        }
        return next(state for state in BY_SEVERITY if state in states)

    def _refresh(self) -> None:
        """Ask the store and peers in the background, at most every MIN_REFRESH_INTERVAL_S."""
        at_s = now_s()
        if at_s - self._refreshed_s < MIN_REFRESH_INTERVAL_S:
            return
        self._refreshed_s = at_s
        self.ask_peers()
        for task in self.tasks:
            if task.mirror.age_s(at_s) > self.bound_s:
                eventlet.spawn(task.refresh, at_s)

    def _record_too_old(self, at_s: float, state: BeliefState) -> None:
        if self._is_too_old:
            return
        self._is_too_old = True
        for task in self.tasks:
            age_s = task.mirror.age_s(at_s)
            if age_s > self.bound_s:
                heard_age_s = self.heard_age_s(task.mirror, at_s)
                event = BeliefTooOld(task.mirror.prefix, state.value, age_s, heard_age_s)
                log_event(_logger, event)

    def _record_confirmed(self, at_s: float) -> None:
        if self._is_too_old:
            self._is_too_old = False
            log_event(_logger, BeliefConfirmed(max(t.mirror.age_s(at_s) for t in self.tasks)))
