"""Compare the routing and admission of an entry with round robin and least reported load."""

from __future__ import annotations

import random
import sys
from itertools import count
from statistics import quantiles

from attrs import define, field

from benchmarks.runners import Clock, Job, Runner, build_job
from daisystack.core.admission import AdmissionQueue, WaitingRequest, WorkspaceLimits
from daisystack.core.peers import PeerStatus, PeerTable
from daisystack.core.retries import RetryBudget
from daisystack.core.routing import InFlightCounts, Target, choose_upstream, list_candidates
from daisystack.core.settings import EntrySettings
from daisystack.core.upstream_latency import UpstreamLatency
from daisystack.testing import build_document

SECONDS = 60.0
TIMEOUT_S = 4.0
REPORT_S = 1.0
MAX_WAIT_S = EntrySettings.__attrs_attrs__.max_queue_wait_s.default
ENTRIES = 2
FULL_FACTOR = 2
LIMITS = {
    "urgent": WorkspaceLimits("urgent", 1, 1.0),
    "small": WorkspaceLimits("small", 0, 1.0),
    "big": WorkspaceLimits("big", 0, 3.0),
}
TARGET = Target(model="assistant")


@define(eq=False)
class World:
    """Hold the runners, the jobs and the reports that all policies see."""

    seed: int
    load: float
    clock: Clock = field(factory=Clock)
    runners: dict[str, Runner] = field(factory=dict)
    jobs: list[Job] = field(factory=list)
    sent: int = 0
    draw: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.draw = random.Random(self.seed)
        for index in range(6):
            zone = ("mtl-1", "qc-1", "sag-1")[index % 3]
            self.runners[f"m{index + 1}"] = Runner(f"m{index + 1}", zone, self.clock)

    def send(self, job: Job, name: str, on_refused, on_end) -> None:
        """Hand a job to a runner's agent, which refuses when full or gone."""
        runner = self.runners[name]
        self.sent += 1
        job.attempts += 1
        if runner.is_down or len(runner) >= FULL_FACTOR * runner.capacity:
            on_refused()
            return
        job.runner = name
        job.on_end = on_end
        runner.start(job)

        def expire() -> None:
            if job.ended_s is None and job.verdict == "" and job.runner == name:
                runner.cancel(job)
                job.verdict = "late"
                on_end()

        self.clock.at(job.deadline_s, expire)


@define(eq=False)
class Baseline:
    """Send each request at once, by turns or to the least reported load, and retry on refusal."""

    world: World
    by_load: bool
    reported: dict[str, int] = field(factory=dict)
    gone: set[str] = field(factory=set)
    turn: count = field(factory=count)

    def report(self) -> None:
        """Take the lagging reports."""
        for name, runner in self.world.runners.items():
            self.reported[name] = len(runner)
            (self.gone.add if runner.is_down else self.gone.discard)(name)

    def arrive(self, job: Job) -> None:
        """Send a request."""
        names = [name for name in self.world.runners if name not in self.gone]
        if self.by_load:
            low = min(self.reported.get(name, 0) for name in names)
            names = [name for name in names if self.reported.get(name, 0) == low]
        self.world.send(
            job, names[next(self.turn) % len(names)], lambda: self.refused(job), lambda: None
        )

    def refused(self, job: Job) -> None:
        """Retry twice."""
        if job.attempts < 3:
            self.arrive(job)
        else:
            job.verdict = "not_run"


@define(eq=False)
class Ours:
    """Drive one entry's decisions as the daemon does."""

    world: World
    zone: str
    document: object
    peers: PeerTable = field(factory=PeerTable)
    counts: InFlightCounts = field(factory=InFlightCounts)
    latency: UpstreamLatency = field(factory=UpstreamLatency)
    budget: RetryBudget = field(factory=RetryBudget)
    queue: AdmissionQueue = field(factory=lambda: AdmissionQueue(256))
    waiting: dict[WaitingRequest, Job] = field(factory=dict)

    def report(self) -> None:
        """Take the heartbeats that the runners' agents answer."""
        now_s = self.world.clock.now_s
        for name, runner in self.world.runners.items():
            if not runner.is_down:
                status = PeerStatus(
                    name, "1", now_s, 1, gate_open=True, in_flight=len(runner), capacity=8
                )
                self.peers.apply_heartbeat(status, now_s)
                self.counts.record_report(name, len(runner))
                self.latency.record_heartbeat(name)
        self.pump()

    def arrive(self, job: Job) -> None:
        """Admit, queue or shed a request."""
        self.budget.credit()
        now_s, limits = self.world.clock.now_s, LIMITS[job.workspace]
        if not len(self.queue) and self.try_send(job):
            self.queue.charge(limits)
            return
        until_s = min(job.deadline_s, now_s + MAX_WAIT_S)
        if now_s + self.queue.expected_wait_s(limits.priority, now_s) > until_s:
            job.verdict = "not_run"
            return
        waiting = WaitingRequest(limits, until_s)
        self.waiting[waiting] = job
        shed = self.queue.enqueue(waiting)
        if shed is not None:
            self.waiting.pop(shed).verdict = "not_run"

    def try_send(self, job: Job) -> bool:
        """Send a request if an upstream has room."""
        now_s = self.world.clock.now_s
        candidates = list_candidates(
            self.document,
            [i for i in self.document.upstreams if i.pool == "model"],
            TARGET,
            self.zone,
            self.peers,
            self.counts,
            self.latency,
            now_s,
        )
        chosen = choose_upstream(candidates, None, self.world.draw)
        if chosen is None:
            return False
        name = chosen.instance.id
        self.counts.begin(name)
        self.latency.begin(name, job, now_s)
        job.on_first_event = lambda: self.answered(job, name)
        self.world.send(job, name, lambda: self.refused(job, name), lambda: self.ended(job, name))
        return True

    def answered(self, job: Job, name: str) -> None:
        """Take the first piece of an answer and the report that comes with it."""
        self.latency.record_answered(name, job, self.world.clock.now_s)
        self.counts.record_report(name, len(self.world.runners[name]))

    def ended(self, job: Job, name: str) -> None:
        """Count a request that has left its upstream."""
        self.counts.end(name)
        self.latency.record_abandoned(name, job)
        self.queue.rate.record_end(self.world.clock.now_s)
        self.pump()

    def refused(self, job: Job, name: str) -> None:
        """Retry elsewhere within the budget."""
        self.counts.end(name)
        self.latency.record_abandoned(name, job)
        if self.world.runners[name].is_down:
            self.latency.mark_unreachable(name)
        if job.attempts >= 3 or not self.budget.try_consume() or not self.try_send(job):
            job.verdict = "not_run"

    def pump(self) -> None:
        """Let in who has room and drop who waited too long."""
        for late in list(self.queue.remove_expired(self.world.clock.now_s)):
            self.waiting.pop(late).verdict = "not_run"
        while self._admit_one():
            pass

    def _admit_one(self) -> bool:
        for waiting in self.queue.next_candidates():
            if self.try_send(self.waiting[waiting]):
                self.queue.dispatch(waiting)
                del self.waiting[waiting]
                return True
        return False


def run(policy: str, load: float, fault: str, seed: int) -> dict[str, float]:
    """Return the measures of one policy under one load and fault."""
    world = World(seed, load)
    capacity_per_s = 6 * 8
    document = build_document()
    if policy == "ours":
        entries = [Ours(world, f"{region}-1", document) for region in ("mtl", "qc")]
    else:
        entries = [Baseline(world, policy == "least load") for _ in range(ENTRIES)]
    _schedule_fault(world, fault)
    for entry in entries:
        entry.report()
        for tick in range(1, int(SECONDS / REPORT_S)):
            world.clock.at(tick * REPORT_S, entry.report)
    at_s = 0.0
    while at_s < SECONDS:
        at_s += world.draw.expovariate(load * capacity_per_s)
        world.clock.at(at_s, lambda: _arrive(world, entries))
    world.clock.run_until(SECONDS + TIMEOUT_S)
    return _measure(world, capacity_per_s)


def _arrive(world: World, entries: list) -> None:
    job = build_job(world.draw, world.clock.now_s, TIMEOUT_S)
    world.jobs.append(job)
    world.draw.choice(entries).arrive(job)


def _schedule_fault(world: World, fault: str) -> None:
    if fault == "slow":
        world.runners["m1"].slow_factor = 10.0
    if fault == "silent":
        world.runners["m1"].is_unresponsive = True
    if fault == "zone":
        for name in ("m1", "m4"):
            world.clock.at(20.0, lambda name=name: _crash(world, name))
            world.clock.at(40.0, lambda name=name: setattr(world.runners[name], "is_down", False))


def _crash(world: World, name: str) -> None:
    world.runners[name].is_down = True
    for job in world.runners[name].crash():
        job.verdict = "lost"
        job.on_end()


def _measure(world: World, capacity_per_s: int) -> dict[str, float]:
    jobs = [job for job in world.jobs if job.arrived_s > 5.0]
    good = [job for job in jobs if job.ended_s is not None and job.ended_s <= job.deadline_s]
    first = [job.first_event_s - job.arrived_s for job in good if job.runner != "m1"]
    cuts = quantiles(first, n=20)
    work_s = sum(job.work_s for job in good)
    shares = {n: sum(j.workspace == n for j in good) / max(1, len(good)) for n in LIMITS}
    offered = {n: sum(j.workspace == n for j in jobs) for n in LIMITS}
    kept = {n: sum(j.workspace == n for j in good) / max(1, offered[n]) for n in LIMITS}
    return {
        "goodput": work_s / (SECONDS - 5.0) / capacity_per_s,
        "p50_s": cuts[9],
        "p95_s": cuts[18],
        "retries": (world.sent - len([j for j in world.jobs if j.attempts])) / len(world.jobs),
        "urgent": kept["urgent"],
        "small": kept["small"],
        "big": kept["big"],
        "big:small": shares["big"] / max(1e-9, shares["small"]),
    }


def main(seeds: list[int]) -> None:
    """Print the table over all policies, loads and faults, as means over the seeds."""
    print(
        "| fault | load | policy | goodput | p50 first s | p95 first s | retries/request "
        "| whole: urgent | small | big |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for fault in ("none", "slow", "silent", "zone"):
        for load in (0.9, 1.5, 3.0):
            for policy in ("round robin", "least load", "ours"):
                runs = [run(policy, load, fault, seed) for seed in seeds]
                mean = {key: sum(r[key] for r in runs) / len(runs) for key in runs[0]}
                print(
                    f"| {fault} | {load} | {policy} | {mean['goodput']:.2f} | {mean['p50_s']:.3f} "
                    f"| {mean['p95_s']:.3f} | {mean['retries']:.3f} | {mean['urgent']:.2f} "
                    f"| {mean['small']:.2f} | {mean['big']:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main([int(seed) for seed in sys.argv[1:]] or [1, 2, 3])
