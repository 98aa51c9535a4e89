"""Simulate the end of a weight version under load: many entries turn to the few engines left.

Pattern: a version is published, most engines load it or another one, some leave and never do. In
the last seconds of the old version all entries send to the same engines, whose queues then grow
faster than reports show.
"""

import heapq
import itertools
import random
import unittest

from attrs import define, field

from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.core.placement import Placement, PlacementRequirements, Refusal
from daisystack.core.version_end import must_withdraw
from daisystack.testing.direct import build_engine_profile, build_upstream

SLOTS = 12
SERVICE_S = 2.2
ENDS_S = 8.0
CHECK_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 0.1
REPORT_LAG_S = 0.15
CLOSE_DELAY_S = 0.02
CALLER_DEADLINE_S = 6.0
PLAIN_FIELDS = {"service": "llm", "has_engine": True, "slots": SLOTS, "started_ms": 7, "version": 1}


@define(eq=False)
class Attempt:
    """A request in the queue of an engine."""

    sent: object
    begun_s: float | None = None
    is_closed: bool = False


@define(eq=False)
class Engine:
    """Runs SLOTS requests at a time and queues the others; reads closes only while awake."""

    queue: list[Attempt] = field(factory=list)
    running: int = 0
    is_frozen: bool = False


@define(eq=False, slots=False)
class EndOfVersion:
    """Entries that send to engines of a version that ends at ENDS_S."""

    entry_count: int
    engine_count: int
    rate_per_s: float
    has_guard: bool
    seed: int = 1
    now_s: float = 0.0
    attempts: list[Attempt] = field(factory=list)
    refused: int = 0

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.due, self.number = [], itertools.count()
        self.engines = {f"u{i}": Engine() for i in range(self.engine_count)}
        self.views = [self.build_view(i) for i in range(self.entry_count)]

    def build_view(self, index):
        profiles = {"llm": build_engine_profile()}
        view = Placement(random.Random(index), EngineStatusTable(), profiles, zone="z1")
        for id in self.engines:
            view.update_upstream(build_upstream(id, f"{id}:1", **PLAIN_FIELDS))
        return view

    def at(self, when_s, callback, *arguments):
        heapq.heappush(self.due, (when_s, next(self.number), callback, arguments))

    def run(self):
        self.report()
        self.arrive()
        while self.due and self.due[0][0] < ENDS_S + 8.0:
            self.now_s, _, callback, arguments = heapq.heappop(self.due)
            callback(*arguments)
        return sum(1 for a in self.attempts if a.begun_s is not None and a.begun_s > ENDS_S)

    def arrive(self):
        # Traffic on this version rises towards its end, as other engines are busy loading.
        rate = self.rate_per_s * (1.0 if self.now_s < ENDS_S - 4.0 else 2.5)
        self.at(self.now_s + self.rng.expovariate(rate), self.arrive)
        view = self.rng.choice(self.views)
        requirements = PlacementRequirements(
            "llm", "z1", version_deadline_s=lambda version: ENDS_S, prompt_tokens=1000
        )
        chosen = view.choose(requirements, self.now_s)
        if isinstance(chosen, Refusal):
            self.refused += 1
            return
        attempt = Attempt(view.begin(chosen.id, 1000, self.now_s))
        self.attempts.append(attempt)
        self.at(self.now_s + 0.01, self.enqueue, chosen.id, attempt)
        if self.has_guard:
            self.at(self.now_s + self.rng.uniform(0, CHECK_INTERVAL_S), self.check, view, attempt)

    def enqueue(self, id, attempt):
        self.engines[id].queue.append(attempt)
        self.begin_next(id)

    def begin_next(self, id):
        engine = self.engines[id]
        while engine.queue and engine.running < SLOTS and not engine.is_frozen:
            attempt = engine.queue.pop(0)
            if attempt.is_closed:
                continue
            engine.running += 1
            attempt.begun_s = self.now_s
            self.at(self.now_s + 0.05, self.receive, attempt)
            self.at(self.now_s + SERVICE_S * self.rng.uniform(0.6, 1.6), self.finish, id, attempt)

    def receive(self, attempt):
        attempt.sent.record_received(self.now_s)

    def finish(self, id, attempt):
        self.engines[id].running -= 1
        self.begin_next(id)

    def check(self, view, attempt):
        deadline_s = view.start_deadline_s(attempt.sent, lambda version: ENDS_S, self.now_s)
        if must_withdraw(attempt.sent, deadline_s, self.now_s):
            self.at(self.now_s + CLOSE_DELAY_S, self.close, attempt)
        elif not attempt.sent.is_prefilled:
            self.at(self.now_s + CHECK_INTERVAL_S, self.check, view, attempt)

    def close(self, attempt):
        attempt.is_closed = True

    def report(self):
        self.at(self.now_s + REPORT_INTERVAL_S, self.report)
        for id, engine in self.engines.items():
            load = (engine.running, len(engine.queue))
            status = EngineStatus(f"{id}:1", 7, 1, True, False, *load, self.now_s)
            for view in self.views:
                self.at(self.now_s + REPORT_LAG_S, view.engines.update, status)


class TestEndOfVersionUnderLoad(unittest.TestCase):
    # Entries, engines, requests per second and seed.
    LOADS = [(8, 3, 14.0, 1), (35, 8, 40.0, 1), (35, 8, 40.0, 2), (99, 20, 100.0, 1)]

    # Requests began on an expired version after a wait that was predicted too short.
    def test_no_request_begins_after_the_end_of_its_version(self):
        late_without_guard = 0
        for entries, engines, rate_per_s, seed in self.LOADS:
            with self.subTest(entries=entries, seed=seed):
                load = (entries, engines, rate_per_s)
                late_without_guard += EndOfVersion(*load, False, seed).run()
                self.assertEqual(EndOfVersion(*load, True, seed).run(), 0)
        # Shows that the load brings the failure about.
        self.assertGreater(late_without_guard, 0)


if __name__ == "__main__":
    unittest.main()
