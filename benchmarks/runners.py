"""Model a few runners that share their speed among the requests they hold, in passed time."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from attrs import define, field

__all__ = ["Clock", "Job", "Runner"]


@define
class Clock:
    """Run callbacks in the order of their times."""

    now_s: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _count: int = 0

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        """Call an action at a time."""
        self._count += 1
        heapq.heappush(self._events, (when_s, self._count, action))

    def run_until(self, end_s: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()


@define(eq=False)
class Job:
    """Hold one request: its work, its deadline and what came of it."""

    workspace: str
    begun_s: float
    deadline_s: float
    first_work_s: float
    work_s: float
    attempts: int = 0
    runner: str = ""
    first_s: float | None = None
    ended_s: float | None = None
    verdict: str = ""
    on_first: Callable[[], None] = lambda: None
    on_end: Callable[[], None] = lambda: None


@define(eq=False)
class Runner:
    """Hold jobs at full speed up to its capacity and at a shared speed beyond."""

    name: str
    zone: str
    clock: Clock
    capacity: int = 8
    slow_factor: float = 1.0
    is_silent: bool = False
    is_gone: bool = False
    _left_s: dict[Job, float] = field(factory=dict)
    _updated_s: float = 0.0
    _version: int = 0

    def __len__(self) -> int:
        return len(self._left_s)

    def take(self, job: Job) -> None:
        """Begin a job."""
        self._advance()
        self._left_s[job] = job.work_s
        self._plan()

    def drop(self, job: Job) -> None:
        """Cancel a job."""
        self._advance()
        self._left_s.pop(job, None)
        self._plan()

    def vanish(self) -> list[Job]:
        """Lose all jobs and return them."""
        self._advance()
        lost = list(self._left_s)
        self._left_s.clear()
        self._version += 1
        return lost

    def _speed(self) -> float:
        if self.is_silent or not self._left_s:
            return 0.0
        return min(1.0, self.capacity / len(self._left_s)) / self.slow_factor

    def _advance(self) -> None:
        passed_s = (self.clock.now_s - self._updated_s) * self._speed()
        self._updated_s = self.clock.now_s
        for job in self._left_s:
            self._left_s[job] -= passed_s

    def _plan(self) -> None:
        self._version += 1
        version, speed = self._version, self._speed()
        if not speed:
            return
        due = [
            left_s - (job.work_s - job.first_work_s if job.first_s is None else 0.0)
            for job, left_s in self._left_s.items()
        ]
        when_s = self.clock.now_s + max(0.0, min(due)) / speed

        def act() -> None:
            if version == self._version:
                self._fire()

        self.clock.at(when_s + 1e-9, act)

    def _fire(self) -> None:
        self._advance()
        for job, left_s in list(self._left_s.items()):
            if job.first_s is None and left_s <= job.work_s - job.first_work_s + 1e-7:
                job.first_s = self.clock.now_s
                job.on_first()
            if left_s <= 1e-7:
                del self._left_s[job]
                job.ended_s = self.clock.now_s
                job.on_end()
        self._plan()


def make_job(draw: random.Random, now_s: float, timeout_s: float) -> Job:
    """Return a job of a random workspace and size; its mean work is one second."""
    name = draw.choices(["urgent", "small", "big"], [0.2, 0.4, 0.4])[0]
    work_s = 0.05 + min(4.0, draw.expovariate(1 / 0.95))
    return Job(name, now_s, now_s + timeout_s, 0.05, work_s)
