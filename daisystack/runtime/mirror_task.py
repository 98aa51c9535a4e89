"""Keep mirrors up to date: few processes read the store, the others use the mesh."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import eventlet
from attrs import define
from eventlet.event import Event

from daisystack.backends import BackendError, PublishedStore
from daisystack.core.mirror import NEVER_CONFIRMED_S, Mirror, Snapshot
from daisystack.core.readers import (
    BASE_BOUND_S,
    MAX_LONG_READER_RANK,
    MAX_READER_RANK,
    max_mirror_age_s,
)
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import CopySlow, DependencyLost, DependencyRegained, StoreEraChanged
from daisystack.runtime.logs import log_event
from daisystack.runtime.tasks import run_steps

__all__ = ["MirrorTask"]

MIN_WAIT_S = 0.1
# Spreads out the reads of processes that all start or all lose their peers at the same time.
START_JITTER_S = 0.1
RETRY_S = 0.25
# Longest duration of one watch call; a change ends it at once.
WATCH_TIMEOUT_S = 2.0
# How often a process checks whether it should watch.
WATCH_CHECK_INTERVAL_S = 0.5
# Weight of the latest read in the moving average of the read latency.
LATENCY_SMOOTHING = 0.3
SLOW_COPY_S = 0.5

_logger = logging.getLogger("daisystack.mirror")


@define(eq=False)
class MirrorTask:
    """Read one mirror from the store if no closer process has confirmed it recently.

    confirmer is the task of a shorter mirror of the same store: if the store has not changed since
    this mirror's copy, a read of the shorter one confirms both.
    """

    mirror: Mirror
    store: PublishedStore
    reader_rank: Callable[[], int]
    on_changes: Callable[[Mirror, list], None]
    # Time within which a publication must be in force.
    publication_bound_s: float = BASE_BOUND_S
    confirmer: MirrorTask | None = None
    on_snapshot: Callable[[Snapshot], None] = lambda snapshot: None
    # Asks peers that read the store earlier for their confirmations.
    ask_peers: Callable[[], None] = lambda: None
    calls: int = 0
    _is_store_lost: bool = False
    _read_latency_s: float = 0.0
    # The confirmation at which peers were last asked for a later one.
    _asked_confirmed_s: float = NEVER_CONFIRMED_S
    # When the latest read began, and the latest one that failed.
    _read_began_s: float = NEVER_CONFIRMED_S
    _failed_read_began_s: float = NEVER_CONFIRMED_S
    # Set while a read runs, for others that need its result.
    _running_read: Event | None = None

    @property
    def is_store_lost(self) -> bool:
        """Return whether the latest read failed, also one that was to confirm this mirror."""
        confirmer = self.confirmer
        return self._is_store_lost or (confirmer is not None and confirmer.is_store_lost)

    def start(self) -> None:
        """Start to read."""
        eventlet.spawn(run_steps, f"mirror of {self.mirror.prefix}", self._step)

    def start_watch(self) -> None:
        """Start to watch as well, whenever this process is the first reader of its zone."""
        eventlet.spawn(run_steps, f"watch of {self.mirror.prefix}", self._watch)

    def has_failed_since(self, since_s: float) -> bool:
        """Return whether the latest read failed and began at a time or later."""
        if self._is_store_lost and self._failed_read_began_s >= since_s:
            return True
        return self.confirmer is not None and self.confirmer.has_failed_since(since_s)

    def refresh(self, begun_after_s: float = NEVER_CONFIRMED_S) -> bool:
        """Confirm the mirror by the store now and return whether this succeeded.

        A running read that began before a time is only joined if it succeeds.
        """
        if self.confirmer is not None and self.mirror.has_snapshot:
            if not self.confirmer.refresh(begun_after_s):
                return False
            if self.mirror.confirmed_s >= self.confirmer.mirror.confirmed_s:
                return True
            if self.mirror.age_s(now_s()) < self._max_long_age_s():
                self.ask_peers()
                return False
        while self._running_read is not None:
            is_recent = self._read_began_s >= begun_after_s
            succeeded = self._running_read.wait()
            if succeeded or is_recent:
                return succeeded
        self._running_read = running_read = Event()
        self._read_began_s = now_s()
        succeeded = False
        try:
            succeeded = self._read()
        finally:
            self._running_read = None
            running_read.send(succeeded)
        return succeeded

    def _watch(self) -> None:
        is_reader = self.reader_rank() == 0 and not self.is_store_lost
        if not self.mirror.has_snapshot or not is_reader:
            eventlet.sleep(WATCH_CHECK_INTERVAL_S)
            return
        self.calls += 1
        era = self.mirror.era
        try:
            events = self.store.watch(
                self.mirror.prefix,
                # Known changes are not sent again; reads find those that the watch misses.
                self.mirror.newest_revision,
                WATCH_TIMEOUT_S,
                era,
            )
        except BackendError:
            # Reads report a lost store, and reload a mirror whose history the store has dropped.
            eventlet.sleep(WATCH_CHECK_INTERVAL_S)
            return
        changes = self.mirror.apply_events(events, era)
        if changes:
            self.on_changes(self.mirror, changes)
        elif events:
            eventlet.sleep(MIN_WAIT_S)

    def _step(self) -> None:
        if not self.mirror.has_snapshot:
            eventlet.sleep(random.uniform(0.0, START_JITTER_S))
        expired = self.mirror.expire_lost_values()
        if expired:
            self.on_changes(self.mirror, expired)
        rank = min(self.reader_rank(), MAX_READER_RANK)
        age_s = self.mirror.age_s(now_s())
        wait_s = self._max_age_s(rank) - age_s
        if wait_s <= 0:
            if not self.refresh():
                eventlet.sleep(RETRY_S * random.uniform(0.5, 1.5))
            return
        if rank >= MAX_READER_RANK and self.mirror.confirmed_s > self._asked_confirmed_s:
            ask_wait_s = self._max_age_s(rank - 1) - age_s
            if ask_wait_s > 0:
                wait_s = ask_wait_s
            else:
                self._asked_confirmed_s = self.mirror.confirmed_s
                self.ask_peers()
        eventlet.sleep(max(MIN_WAIT_S, wait_s))

    def _max_long_age_s(self) -> float:
        """Return the age at which this process reads a changed long document itself."""
        rank = self.reader_rank()
        if rank <= MAX_READER_RANK:
            return 0.0
        max_age_s = self._max_age_s(min(rank, MAX_LONG_READER_RANK))
        return min(max_age_s, self.publication_bound_s)

    def _max_age_s(self, rank: int) -> float:
        return max_mirror_age_s(rank, self._read_latency_s, self.publication_bound_s)

    def _read(self) -> bool:
        self.calls += 1
        try:
            snapshot = self.store.read(self.mirror.prefix)
        except BackendError as error:
            self._failed_read_began_s = self._read_began_s
            self._record_lost(str(error))
            return False
        self._record_regained()
        took_s = now_s() - snapshot.requested_s
        self._read_latency_s += LATENCY_SMOOTHING * (took_s - self._read_latency_s)
        if took_s > SLOW_COPY_S:
            log_event(_logger, CopySlow(self.mirror.prefix, "store", took_s))
        era = self.mirror.era
        changes = self.mirror.apply_snapshot(snapshot)
        if self.mirror.era != era and era:
            held = len(self.mirror)
            log_event(_logger, StoreEraChanged(self.mirror.prefix, era, self.mirror.era, held))
        self.on_snapshot(snapshot)
        if changes:
            self.on_changes(self.mirror, changes)
        return True

    def _record_lost(self, error: str) -> None:
        if not self._is_store_lost:
            age_s = self.mirror.age_s(now_s())
            log_event(_logger, DependencyLost(f"store {self.mirror.prefix}", error, age_s))
        self._is_store_lost = True

    def _record_regained(self) -> None:
        if self._is_store_lost:
            age_s = self.mirror.age_s(now_s())
            log_event(_logger, DependencyRegained(f"store {self.mirror.prefix}", age_s))
        self._is_store_lost = False
