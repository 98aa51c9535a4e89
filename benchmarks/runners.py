"""Simulated runners that share their speed among the requests they hold."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from attrs import define, field

__all__ = ["Clock", "Job", "Runner"]


@define
class Clock:
    """Simulated clock that runs callbacks in the order of their times."""

    now_s: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = 0

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self._count += 1
        heapq.heappush(self._events, (when_s, self._count, action))

    def run_until(self, end_s: float) -> None:
        """Run all actions that are due up to a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()


@define(eq=False)
class Job:
    """A simulated request: its work, its deadline and its outcome."""

    workspace: str
    arrived_s: float
    deadline_s: float
    first_work_s: float
    work_s: float
    attempts: int = 0
    runner: str = ""
    first_event_s: float | None = None
    ended_s: float | None = None
    verdict: str = ""
    on_first_event: Callable[[], None] = lambda: None
    on_end: Callable[[], None] = lambda: None


@define(eq=False)
class Runner:
    """Runs jobs at full speed up to its capacity and shares that speed among more."""

    name: str
    zone: str
    clock: Clock
    capacity: int = 8
    slow_factor: float = 1.0
    is_unresponsive: bool = False
    is_down: bool = False
    _remaining_s: dict[Job, float] = field(factory=dict)
    _updated_s: float = 0.0
    _version: int = 0

    def __len__(self) -> int:
        return len(self._remaining_s)

    def start(self, job: Job) -> None:
        """Start a job."""
        self._advance()
        self._remaining_s[job] = job.work_s
        self._schedule_next()

    def cancel(self, job: Job) -> None:
        """Cancel a job."""
        self._advance()
        self._remaining_s.pop(job, None)
        self._schedule_next()

    def crash(self) -> list[Job]:
        """Remove all jobs without ending them and return them."""
        self._advance()
        lost = list(self._remaining_s)
        self._remaining_s.clear()
        self._version += 1
        return lost

    def _speed(self) -> float:
        if self.is_unresponsive or not self._remaining_s:
            return 0.0
        return min(1.0, self.capacity / len(self._remaining_s)) / self.slow_factor

    def _advance(self) -> None:
        progress_s = (self.clock.now_s - self._updated_s) * self._speed()
        self._updated_s = self.clock.now_s
        for job in self._remaining_s:
            self._remaining_s[job] -= progress_s

    def _schedule_next(self) -> None:
        self._version += 1
        version, speed = self._version, self._speed()
        if not speed:
            return
        times_to_event_s = [
            remaining_s - (job.work_s - job.first_work_s if job.first_event_s is None else 0.0)
            for job, remaining_s in self._remaining_s.items()
        ]
        when_s = self.clock.now_s + max(0.0, min(times_to_event_s)) / speed

        def process_if_current() -> None:
            if version == self._version:
                self._process_due()

        self.clock.at(when_s + 1e-9, process_if_current)

    def _process_due(self) -> None:
        self._advance()
        for job, remaining_s in list(self._remaining_s.items()):
            if job.first_event_s is None and remaining_s <= job.work_s - job.first_work_s + 1e-7:
                job.first_event_s = self.clock.now_s
                job.on_first_event()
            if remaining_s <= 1e-7:
                del self._remaining_s[job]
                job.ended_s = self.clock.now_s
                job.on_end()
        self._schedule_next()


def build_job(rng: random.Random, now_s: float, timeout_s: float) -> Job:
    """Return a job of a random workspace and size; its mean work is one second."""
    name = rng.choices(["urgent", "small", "big"], [0.2, 0.4, 0.4])[0]
    work_s = 0.05 + min(4.0, rng.expovariate(1 / 0.95))
    return Job(name, now_s, now_s + timeout_s, 0.05, work_s)
