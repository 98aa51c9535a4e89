"""Keep the mirrors true: read the store in few places and let the mesh carry the rest."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import eventlet
from attrs import define

from daisystack.backends import BackendError, PublishedStore
from daisystack.core.mirror import Mirror
from daisystack.core.readers import reader_patience_s
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import DependencyLost, DependencyRegained
from daisystack.runtime.logs import log_event
from daisystack.runtime.tasks import run_steps

__all__ = ["MirrorTask"]

TICK_S = 0.1
# Spreads the reads of processes that all start or all lose their peers at once.
START_SPREAD_S = 0.1
RETRY_S = 0.25

_logger = logging.getLogger("daisystack.mirror")


@define(eq=False)
class MirrorTask:
    """Own the reads of one mirror; reads when nobody closer has confirmed it lately."""

    mirror: Mirror
    store: PublishedStore
    rank: Callable[[], int]
    on_changes: Callable[[Mirror, list], None]
    calls: int = 0
    _is_lost: bool = False

    def start(self) -> None:
        """Begin to read."""
        eventlet.spawn(run_steps, f"mirror of {self.mirror.prefix}", self._step)

    def _step(self) -> None:
        if not self.mirror.is_known:
            eventlet.sleep(random.uniform(0.0, START_SPREAD_S))
        patience_s = reader_patience_s(self.rank())
        wait_s = patience_s - self.mirror.age_s(now_s())
        if wait_s > 0:
            eventlet.sleep(max(TICK_S, min(wait_s, patience_s)))
            return
        self._read()

    def _read(self) -> None:
        self.calls += 1
        try:
            snapshot = self.store.read(self.mirror.prefix)
        except BackendError as error:
            self._lost(str(error))
            eventlet.sleep(RETRY_S * random.uniform(0.5, 1.5))
            return
        self._regained()
        changes = self.mirror.take_snapshot(snapshot)
        if changes:
            self.on_changes(self.mirror, changes)

    def _lost(self, error: str) -> None:
        if not self._is_lost:
            age_s = self.mirror.age_s(now_s())
            log_event(_logger, DependencyLost(f"store {self.mirror.prefix}", error, age_s))
        self._is_lost = True

    def _regained(self) -> None:
        if self._is_lost:
            age_s = self.mirror.age_s(now_s())
            log_event(_logger, DependencyRegained(f"store {self.mirror.prefix}", age_s))
        self._is_lost = False
