"""Compare the choice by predicted work with the choice by requests, on kinds of uneven work."""

from __future__ import annotations

import math
import random
import sys
from collections.abc import Callable
from functools import cache, partial
from statistics import NormalDist, mean, quantiles

from attrs import asdict, define, field, frozen

from benchmarks.model_engine import ModelEngine, Request
from benchmarks.placement_policies import (
    CROSS_ZONE_LAG_S,
    MAX_PAUSE_S,
    REPORT_LAG_S,
    WARM_UP_S,
    ZONES,
    Deployment,
    Simulation,
)
from daisystack.core.engine_status import EngineStatus
from daisystack.core.placement import DirectUpstream, PlacementRequirements, Refusal
from daisystack.testing.direct import build_engine_profile

__all__ = ["KINDS", "UNEVEN", "Kind", "WorkSimulation", "draw_size", "summarize"]

LOADS = (0.7, 0.9, 1.2)
SEEDS = (1, 2, 3)
LARGEST_SHARE = 0.1
SLOW_INTERVAL_S = 2.0
# No prompt or answer is longer than this many times the mean of its kind.
MAX_SIZE = 3.0


@frozen
class Kind:
    """A route whose requests differ in size; spread is a standard deviation over a mean."""

    name: str
    rate: float
    objective_s: float
    prompt_tokens: float
    answer_events: float
    prompt_spread: float = 1.0
    answer_spread: float = 1.5


KINDS = (
    Kind("digest", 82.5, 0.5, 1290, 21),
    Kind("explain", 60.5, 0.4, 787, 21),
    Kind("query", 57.8, 0.4, 607, 14),
)
PROFILE = build_engine_profile(
    step_s=0.00927,
    step_per_sequence_s=0.0000232,
    step_per_context_token_s=3.22e-8,
    prefill_tokens_per_s=20_700.0,
    attention_pair_s=1.18e-9,
    steps_per_pass=5,
    typical_prompt_tokens=942,
    typical_answer_tokens=95,
)
UNEVEN = Deployment(entries=48, engines=17, slots=12, objective_s=0.4, profile=PROFILE)


@define(eq=False)
class WorkSimulation(Simulation):
    """Requests of several kinds, with length hints, at engines that may slow down for a moment."""

    kinds: tuple[Kind, ...] = KINDS
    # Length hints are off by a factor of which this is the standard deviation of the logarithm.
    hint_error: float = 0.5
    # How a hint is written from a correct one; 0 for none.
    write_hint: Callable[[float], float] = lambda hint: hint
    slow_for_s: float = 0.0
    slow_factor: float = 3.0
    # Whether agents report how much slower than usual their engine is.
    reports_slowdown: bool = True
    report_age_s: float = REPORT_LAG_S
    # Kind of each request, and its predicted time to the first event if it was sent.
    kind_of: dict[Request, Kind] = field(factory=dict)
    predicted_s: dict[Request, float] = field(factory=dict)

    def run(self) -> None:
        """Schedule arrivals, reports, gossip and slow spells, and run the clock."""
        if self.slow_for_s:
            spells = int(self.duration_s / SLOW_INTERVAL_S)
            for number in range(spells):
                self.clock.at(number * SLOW_INTERVAL_S, self._slow_down_one)
        super().run()

    def _slow_down_one(self) -> None:
        engine = self.rng.choice(self.engines)
        engine.slow_factor = self.slow_factor
        self.clock.at(self.clock.now_s + self.slow_for_s, partial(_restore, engine))

    def _arrive(self) -> None:
        entry = self.rng.randrange(self.deployment.entries)
        kind = self.rng.choices(self.kinds, [kind.rate for kind in self.kinds])[0]
        prompt = draw_size(self.rng, kind.prompt_tokens, kind.prompt_spread)
        events = draw_size(self.rng, kind.answer_events, kind.answer_spread)
        answer = events * self.deployment.profile.steps_per_pass
        hint = self.write_hint(answer * math.exp(self.rng.gauss(0.0, self.hint_error)))
        zone = ZONES[entry % len(ZONES)]
        request = Request(self.clock.now_s, entry, zone, prompt, answer)
        self.requests.append(request)
        self.kind_of[request] = kind
        requirements = PlacementRequirements(
            "llm",
            zone,
            prompt_tokens=prompt,
            answer_tokens=int(hint),
            first_event_time_left_s=kind.objective_s,
            route=kind.name,
        )
        request.was_refused = not self._place(request, requirements)

    def _place(self, request: Request, requirements: PlacementRequirements) -> bool:
        view, now_s = self.views[request.entry], self.clock.now_s
        chosen = view.choose(requirements, now_s)
        if isinstance(chosen, Refusal):
            return False
        self.predicted_s[request] = view.predict_first_event_s(chosen, requirements, now_s)
        engine = self.engines[int(chosen.id[1:])]
        return self._send_to(request, requirements, chosen, engine)

    def _send_to(
        self,
        request: Request,
        requirements: PlacementRequirements,
        upstream: DirectUpstream,
        engine: ModelEngine,
    ) -> bool:
        view = self.views[request.entry]
        sent = view.begin(upstream.id, request.prompt_tokens, self.clock.now_s, requirements)
        objective_s = self.kind_of[request].objective_s
        latest_s = [self.clock.now_s + objective_s]
        paused = [False]

        def on_event(now_s: float, is_last: bool) -> None:
            sent.record_received(now_s)
            if request.first_event_s is None:
                request.first_event_s = now_s
            paused[0] = paused[0] or now_s > latest_s[0] + MAX_PAUSE_S
            latest_s[0] = now_s
            if is_last:
                view.end(sent, now_s)
                view.record_answer(sent, now_s)
                in_time = request.first_event_s - request.arrived_s <= objective_s
                self.met_objective[request] = in_time and not paused[0]

        request.on_event = on_event
        if engine.enqueue(request):
            return True
        view.end(sent, self.clock.now_s)
        return False

    def _report(self) -> None:
        read_s = self.clock.now_s
        for engine in self.engines:
            status = self._build_status(engine, read_s)
            for index, view in enumerate(self.views):
                is_near = ZONES[index % len(ZONES)] == engine.zone
                lag_s = self.report_age_s if is_near else self.report_age_s + CROSS_ZONE_LAG_S / 2
                self.clock.at(read_s + lag_s, partial(view.engines.update, status))

    def _build_status(self, engine: ModelEngine, read_s: float) -> EngineStatus:
        slowdown = engine.slow_factor if self.reports_slowdown else 1.0
        counts = (len(engine.running), len(engine.queue))
        return EngineStatus(f"{engine.id}:1", 1, 1, True, False, *counts, read_s, slowdown=slowdown)


def _restore(engine: ModelEngine) -> None:
    engine.slow_factor = 1.0


def draw_size(rng: random.Random, mean_size: float, spread: float) -> int:
    """Draw a size from a log-normal distribution that is cut off at MAX_SIZE times its mean."""
    deviation = math.sqrt(math.log(1 + spread**2))
    drawn = min(MAX_SIZE, math.exp(rng.gauss(-(deviation**2) / 2, deviation)))
    return max(1, round(mean_size * drawn / _capped_mean(deviation)))


@cache
def _capped_mean(deviation: float) -> float:
    normal = NormalDist(-(deviation**2) / 2, deviation)
    drawn = (math.exp(normal.inv_cdf((step + 0.5) / 1000)) for step in range(1000))
    return mean(min(MAX_SIZE, size) for size in drawn)


@frozen
class Summary:
    """What callers saw in one run, and how predictions compare with it."""

    goodput: float
    largest_goodput: float
    refused: float
    p95_first_s: float
    # Sum of predicted over sum of seen times to the first event, and the mean absolute error.
    predicted_ratio: float
    mean_error_s: float


def summarize(simulation: WorkSimulation, warm_up_s: float = WARM_UP_S) -> Summary:
    """Return what callers saw after the warm-up."""
    requests = [r for r in simulation.requests if r.arrived_s >= warm_up_s]
    sizes = sorted(r.prompt_tokens for r in requests)
    smallest = sizes[int(len(sizes) * (1 - LARGEST_SHARE))]
    served = [r for r in requests if r.first_event_s is not None]
    pairs = [(simulation.predicted_s[r], r.first_event_s - r.arrived_s) for r in served]
    seen = [seen_s for _, seen_s in pairs]
    return Summary(
        _goodput(simulation, requests),
        _goodput(simulation, [r for r in requests if r.prompt_tokens >= smallest]),
        mean(r.was_refused for r in requests),
        quantiles(seen, n=20)[-1],
        sum(predicted_s for predicted_s, _ in pairs) / sum(seen),
        mean(abs(predicted_s - seen_s) for predicted_s, seen_s in pairs),
    )


def _goodput(simulation: WorkSimulation, requests: list[Request]) -> float:
    return mean(simulation.met_objective.get(request, False) for request in requests)


def main() -> None:
    """Print the results of both choices for each load, without and with slow spells."""
    loads = tuple(float(a) for a in sys.argv[1:]) or LOADS
    for slow_for_s in (0.0, 0.6):
        for load in loads:
            for predicts_work in (False, True):
                runs = []
                for seed in SEEDS:
                    simulation = WorkSimulation(
                        seed,
                        load,
                        "placement",
                        deployment=UNEVEN,
                        predicts_work=predicts_work,
                        slow_for_s=slow_for_s,
                    )
                    simulation.run()
                    runs.append(asdict(summarize(simulation)))
                name = "work" if predicts_work else "requests"
                print(f"slow {slow_for_s:.1f} s  load {load:.1f}  {name:9}", end="")
                print("".join(f"  {key} {mean(r[key] for r in runs):.3f}" for key in runs[0]))


if __name__ == "__main__":
    main()
