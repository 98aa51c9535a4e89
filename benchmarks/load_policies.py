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

DURATION_S = 60.0
TIMEOUT_S = 4.0
REPORT_INTERVAL_S = 1.0
MAX_WAIT_S = EntrySettings.__attrs_attrs__.max_queue_wait_s.default
ENTRIES = 2
MAX_IN_FLIGHT_FACTOR = 2
LIMITS = {
    "urgent": WorkspaceLimits("urgent", 1, 1.0),
    "small": WorkspaceLimits("small", 0, 1.0),
    "big": WorkspaceLimits("big", 0, 3.0),
}
TARGET = Target(model="assistant")


@define(eq=False)
class Simulation:
    """Runners, jobs and random generator of one run, shared by all entries."""

    seed: int
    load: float
    clock: Clock = field(factory=Clock)
    runners: dict[str, Runner] = field(factory=dict)
    jobs: list[Job] = field(factory=list)
    sent: int = 0
    rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        for index in range(6):
            zone = ("mtl-1", "qc-1", "sag-1")[index % 3]
            self.runners[f"m{index + 1}"] = Runner(f"m{index + 1}", zone, self.clock)

    def send(self, job: Job, name: str, on_refused, on_end) -> None:
        """Send a job to a runner's agent, which refuses it when full or down."""
        runner = self.runners[name]
        self.sent += 1
        job.attempts += 1
        if runner.is_down or len(runner) >= MAX_IN_FLIGHT_FACTOR * runner.capacity:
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
class BaselineEntry:
    """Send each request at once, round robin or to the least reported load; retry on refusal."""

    simulation: Simulation
    uses_reported_load: bool
    reported: dict[str, int] = field(factory=dict)
    unavailable: set[str] = field(factory=set)
    next_index: count = field(factory=count)

    def apply_reports(self) -> None:
        """Apply the periodic reports, which lag behind the actual load."""
        for name, runner in self.simulation.runners.items():
            self.reported[name] = len(runner)
            (self.unavailable.add if runner.is_down else self.unavailable.discard)(name)

    def handle_request(self, job: Job) -> None:
        """Send a request to the next runner."""
        names = [name for name in self.simulation.runners if name not in self.unavailable]
        if self.uses_reported_load:
            low = min(self.reported.get(name, 0) for name in names)
            names = [name for name in names if self.reported.get(name, 0) == low]
        self.simulation.send(
            job,
            names[next(self.next_index) % len(names)],
            lambda: self.handle_refusal(job),
            lambda: None,
        )

    def handle_refusal(self, job: Job) -> None:
        """Retry a refused request, up to three attempts in all."""
        if job.attempts < 3:
            self.handle_request(job)
        else:
            job.verdict = "not_run"


@define(eq=False)
class SimulatedEntry:
    """Makes one entry's decisions with the same classes as the daemon."""

    simulation: Simulation
    zone: str
    document: object
    peers: PeerTable = field(factory=PeerTable)
    counts: InFlightCounts = field(factory=InFlightCounts)
    latency: UpstreamLatency = field(factory=UpstreamLatency)
    budget: RetryBudget = field(factory=RetryBudget)
    queue: AdmissionQueue = field(factory=lambda: AdmissionQueue(256))
    waiting: dict[WaitingRequest, Job] = field(factory=dict)

    def apply_reports(self) -> None:
        """Apply the heartbeat answers of the runners' agents."""
        now_s = self.simulation.clock.now_s
        for name, runner in self.simulation.runners.items():
            if not runner.is_down:
                status = PeerStatus(
                    name, "1", now_s, 1, gate_open=True, in_flight=len(runner), capacity=8
                )
                self.peers.apply_heartbeat(status, now_s)
                self.counts.record_report(name, len(runner))
                self.latency.record_heartbeat(name)
        self.admit_waiting()

    def handle_request(self, job: Job) -> None:
        """Send, queue or shed a request."""
        self.budget.credit()
        now_s, limits = self.simulation.clock.now_s, LIMITS[job.workspace]
        if not len(self.queue) and self.try_send(job):
            self.queue.charge(limits)
            return
        wait_until_s = min(job.deadline_s, now_s + MAX_WAIT_S)
        if now_s + self.queue.expected_wait_s(limits.priority, now_s) > wait_until_s:
            job.verdict = "not_run"
            return
        waiting = WaitingRequest(limits, wait_until_s)
        self.waiting[waiting] = job
        shed = self.queue.enqueue(waiting)
        if shed is not None:
            self.waiting.pop(shed).verdict = "not_run"

    def try_send(self, job: Job) -> bool:
        """Send a request if an upstream has capacity; return whether it was sent."""
        now_s = self.simulation.clock.now_s
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
        chosen = choose_upstream(candidates, None, self.simulation.rng)
        if chosen is None:
            return False
        name = chosen.instance.id
        self.counts.begin(name)
        self.latency.begin(name, job, now_s)
        job.on_first_event = lambda: self.handle_first_event(job, name)
        self.simulation.send(
            job, name, lambda: self.handle_refusal(job, name), lambda: self.handle_end(job, name)
        )
        return True

    def handle_first_event(self, job: Job, name: str) -> None:
        """Record the first event of an answer and the load report that comes with it."""
        self.latency.record_answered(name, job, self.simulation.clock.now_s)
        self.counts.record_report(name, len(self.simulation.runners[name]))

    def handle_end(self, job: Job, name: str) -> None:
        """Count a request that has left its upstream and admit waiting ones."""
        self.counts.end(name)
        self.latency.record_abandoned(name, job)
        self.queue.rate.record_end(self.simulation.clock.now_s)
        self.admit_waiting()

    def handle_refusal(self, job: Job, name: str) -> None:
        """Retry a refused request within the retry budget, up to three attempts in all."""
        self.counts.end(name)
        self.latency.record_abandoned(name, job)
        if self.simulation.runners[name].is_down:
            self.latency.mark_unreachable(name)
        if job.attempts >= 3 or not self.budget.try_consume() or not self.try_send(job):
            job.verdict = "not_run"

    def admit_waiting(self) -> None:
        """Reject requests that waited too long and send those for which there is capacity."""
        for expired in list(self.queue.remove_expired(self.simulation.clock.now_s)):
            self.waiting.pop(expired).verdict = "not_run"
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
    """Return the results of one policy under one load and fault."""
    simulation = Simulation(seed, load)
    capacity_per_s = 6 * 8
    document = build_document()
    if policy == "ours":
        entries = [SimulatedEntry(simulation, f"{region}-1", document) for region in ("mtl", "qc")]
    else:
        entries = [BaselineEntry(simulation, policy == "least load") for _ in range(ENTRIES)]
    _schedule_fault(simulation, fault)
    for entry in entries:
        entry.apply_reports()
        for tick in range(1, int(DURATION_S / REPORT_INTERVAL_S)):
            simulation.clock.at(tick * REPORT_INTERVAL_S, entry.apply_reports)
    at_s = 0.0
    while at_s < DURATION_S:
        at_s += simulation.rng.expovariate(load * capacity_per_s)
        simulation.clock.at(at_s, lambda: _submit_request(simulation, entries))
    simulation.clock.run_until(DURATION_S + TIMEOUT_S)
    return _measure(simulation, capacity_per_s)


def _submit_request(simulation: Simulation, entries: list) -> None:
    job = build_job(simulation.rng, simulation.clock.now_s, TIMEOUT_S)
    simulation.jobs.append(job)
    simulation.rng.choice(entries).handle_request(job)


def _schedule_fault(simulation: Simulation, fault: str) -> None:
    if fault == "slow":
        simulation.runners["m1"].slow_factor = 10.0
    if fault == "silent":
        simulation.runners["m1"].is_unresponsive = True
    if fault == "zone":
        for name in ("m1", "m4"):
            simulation.clock.at(20.0, lambda name=name: _crash(simulation, name))
            simulation.clock.at(
                40.0, lambda name=name: setattr(simulation.runners[name], "is_down", False)
            )


def _crash(simulation: Simulation, name: str) -> None:
    simulation.runners[name].is_down = True
    for job in simulation.runners[name].crash():
        job.verdict = "lost"
        job.on_end()


def _measure(simulation: Simulation, capacity_per_s: int) -> dict[str, float]:
    jobs = [job for job in simulation.jobs if job.arrived_s > 5.0]
    in_time = [job for job in jobs if job.ended_s is not None and job.ended_s <= job.deadline_s]
    first = [job.first_event_s - job.arrived_s for job in in_time if job.runner != "m1"]
    cuts = quantiles(first, n=20)
    work_s = sum(job.work_s for job in in_time)
    shares = {n: sum(j.workspace == n for j in in_time) / max(1, len(in_time)) for n in LIMITS}
    offered = {n: sum(j.workspace == n for j in jobs) for n in LIMITS}
    completed = {n: sum(j.workspace == n for j in in_time) / max(1, offered[n]) for n in LIMITS}
    return {
        "goodput": work_s / (DURATION_S - 5.0) / capacity_per_s,
        "p50_s": cuts[9],
        "p95_s": cuts[18],
        "retries": (simulation.sent - len([j for j in simulation.jobs if j.attempts]))
        / len(simulation.jobs),
        "urgent": completed["urgent"],
        "small": completed["small"],
        "big": completed["big"],
        "big:small": shares["big"] / max(1e-9, shares["small"]),
    }


def main(seeds: list[int]) -> None:
    """Print the table of all faults, loads and policies; values are means over the seeds."""
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
