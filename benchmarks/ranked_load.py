"""Load a service with kinds of requests of different urgency, and report what each kind gets."""

from __future__ import annotations

import sys
from functools import partial
from statistics import mean

from attrs import define, field, frozen

from benchmarks import placement_policies
from benchmarks.model_engine import ModelEngine, Request, capacity_per_s
from benchmarks.placement_policies import (
    LARGEST_PROMPTS_SHARE,
    WARM_UP_S,
    Deployment,
    Simulation,
)
from daisystack.core.placement import PlacementRequirements, Refusal
from daisystack.core.urgency import RankedService
from daisystack.testing.direct import build_engine_profile

__all__ = [
    "KINDS",
    "RANKED",
    "SERVICE",
    "SMALL_RANKED",
    "KindOfRequest",
    "RankedRequest",
    "RankedSimulation",
    "Surge",
    "largest",
    "share_served",
]

LOADS = (0.9, 1.2, 1.8, 2.5)
# Callers have this long in all, and honor a Retry-After up to a third of what is left of it.
CALLER_TIME_S = 6.0
CALLER_PATIENCE_SHARE = 1 / 3
OLD_RETURN_S = (0.3, 0.9)
# Callers that are refused in this time before the last arrival return to idle engines.
TAIL_S = 2.0


@frozen
class KindOfRequest:
    """Requests of one route; of those that share an engine, priority 0 is most urgent."""

    name: str
    priority: int
    arrivals: float
    prompt_tokens: float
    answer_tokens: float
    objective_s: float


KINDS = (
    KindOfRequest("summary", 0, 88.0, 1290.0, 7 * 18.2, 0.4),
    KindOfRequest("answer", 1, 106.0, 787.0, 7 * 18.2, 0.4),
    KindOfRequest("digest", 2, 69.0, 607.0, 7 * 9.9, 0.8),
)


def _build_deployment(engines: int, entries: int) -> Deployment:
    total = sum(kind.arrivals for kind in KINDS)
    profile = build_engine_profile(
        step_s=0.0074,
        prefill_tokens_per_s=31_900.0,
        steps_per_pass=7,
        typical_prompt_tokens=round(sum(k.arrivals * k.prompt_tokens for k in KINDS) / total),
        typical_answer_tokens=round(sum(k.arrivals * k.answer_tokens for k in KINDS) / total),
    )
    return Deployment(entries, engines, 12, 0.4, profile)


SERVICE = RankedService("llm", tuple(kind.priority for kind in KINDS), 0.4, 0.8)
RANKED = _build_deployment(engines=23, entries=36)
SMALL_RANKED = _build_deployment(engines=8, entries=9)


@define(eq=False)
class RankedRequest(Request):
    """A request of a kind and a workspace, which may come back after a refusal."""

    kind: KindOfRequest = KINDS[0]
    workspace: str = ""
    refusals: int = 0


@frozen
class Surge:
    """Times as many requests of one kind as usual, from a time to another."""

    kind: str
    factor: float
    from_s: float = 0.0
    until_s: float = float("inf")


@define(eq=False)
class RankedSimulation(Simulation):
    """Simulation whose requests differ in urgency, size, objective and workspace."""

    deployment: Deployment = field(default=RANKED)
    duration_s: float = 16.0
    surges: tuple[Surge, ...] = ()
    workspaces: int = 24
    # Share of the requests that the first workspace sends.
    heaviest_share: float = 1 / 24
    max_refusals: int = 1
    # Whether the configuration gives the kinds different priorities.
    has_ranks: bool = True

    def __attrs_post_init__(self) -> None:
        super().__attrs_post_init__()
        for view in self.views if self.has_ranks else ():
            view.by_rank.update_services({"llm": SERVICE})

    def schedule_arrivals(self) -> None:
        """Schedule the requests of each kind."""
        profile, deployment = self.deployment.profile, self.deployment
        rate = self.load * deployment.engines * capacity_per_s(profile, deployment.slots)
        total = sum(kind.arrivals for kind in KINDS)
        for kind in KINDS:
            at_s = 0.0
            while at_s < self.duration_s:
                at_s += self.rng.expovariate(
                    rate * kind.arrivals / total * self._factor(kind, at_s)
                )
                self.clock.at(at_s, partial(self._arrive_as, kind))

    def objective_s(self, request: RankedRequest) -> float:
        """Return within which time the first event of a request is due."""
        return request.kind.objective_s

    def _factor(self, kind: KindOfRequest, at_s: float) -> float:
        factors = [
            s.factor for s in self.surges if s.kind == kind.name and s.from_s <= at_s < s.until_s
        ]
        return factors[0] if factors else 1.0

    def _arrive_as(self, kind: KindOfRequest) -> None:
        rng = self.rng
        entry = rng.randrange(self.deployment.entries)
        # Exponential sizes, cut at three times their mean.
        prompt = int(min(rng.expovariate(1 / kind.prompt_tokens), 3 * kind.prompt_tokens)) + 1
        answer = int(rng.gammavariate(2.0, kind.answer_tokens / 2)) + 1
        is_heaviest = rng.random() < self.heaviest_share
        workspace = "w0" if is_heaviest else f"w{rng.randrange(1, self.workspaces)}"
        zone = placement_policies.ZONES[entry % len(placement_policies.ZONES)]
        request = RankedRequest(
            self.clock.now_s, entry, zone, prompt, answer, kind=kind, workspace=workspace
        )
        request.priority = kind.priority
        self.requests.append(request)
        self._submit(request)

    def _submit(self, request: RankedRequest) -> None:
        chosen = self._choose(request)
        if isinstance(chosen, ModelEngine) and self._send(request, chosen):
            return
        request.refusals += 1
        if request.refusals > self.max_refusals:
            request.was_refused = True
            return
        now_s = self.clock.now_s
        wait_s = chosen.retry_after_s if isinstance(chosen, Refusal) else None
        if wait_s is None:
            wait_s = self.rng.uniform(*OLD_RETURN_S)
        left_s = request.arrived_s + CALLER_TIME_S - now_s
        wait_s = min(wait_s, left_s * CALLER_PATIENCE_SHARE)
        self.clock.at(now_s + wait_s, partial(self._submit, request))

    def _choose(self, request: RankedRequest) -> ModelEngine | Refusal:
        spent_s = self.clock.now_s - request.arrived_s
        is_new = request.refusals == 0
        kind = request.kind
        requirements = PlacementRequirements(
            "llm",
            request.zone,
            prompt_tokens=request.prompt_tokens,
            first_event_time_left_s=kind.objective_s - spent_s if is_new else None,
            is_resubmission=not is_new,
            route=kind.name,
            workspace=request.workspace,
            priority=kind.priority,
        )
        chosen = self.views[request.entry].choose(requirements, self.clock.now_s)
        if isinstance(chosen, Refusal):
            return chosen
        return next(engine for engine in self.engines if engine.id == chosen.id)

    def measured(self, kind: str = "", from_s: float = WARM_UP_S) -> list[RankedRequest]:
        """Return the requests of a kind, or of all, that arrived under the steady load."""
        until_s = self.duration_s - TAIL_S
        return [
            request
            for request in self.requests
            if from_s <= request.arrived_s < until_s and kind in ("", request.kind.name)
        ]

    def share_in_time(self, requests: list[RankedRequest]) -> float:
        """Return the share of requests that were served within their objective."""
        return mean(self.met_objective.get(request, False) for request in requests)


def largest(requests: list[RankedRequest]) -> list[RankedRequest]:
    """Return the tenth of requests with the largest prompts."""
    by_size = sorted(requests, key=lambda request: request.prompt_tokens)
    return by_size[-max(1, round(len(by_size) * LARGEST_PROMPTS_SHARE)) :]


def share_served(requests: list[RankedRequest]) -> float:
    """Return the share of requests that were served, in time or late."""
    return mean(request.first_event_s is not None for request in requests)


def format_results(simulation: RankedSimulation) -> str:
    """Return what each kind got, the most urgent first; in brackets its largest tenth."""
    lines = []
    for kind in KINDS:
        requests = simulation.measured(kind.name)
        tenth = largest(requests)
        in_time, served = simulation.share_in_time(requests), share_served(requests)
        lines.append(
            f"  {kind.name:8} in time {in_time:.2f} ({simulation.share_in_time(tenth):.2f})"
            f"  served {served:.2f} ({share_served(tenth):.2f})  late {served - in_time:.2f}"
            f"  refused {1 - served:.2f}  refusals {mean(r.refusals for r in requests):.2f}"
        )
    return "\n".join(lines)


def main() -> None:
    """Print what each kind gets, without and with ranks; arguments: seed, loads."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    loads = [float(arg) for arg in sys.argv[2:]] or LOADS
    for load in loads:
        for has_ranks in (False, True):
            simulation = RankedSimulation(seed, load, "placement", has_ranks=has_ranks)
            simulation.run()
            order = "by rank" if has_ranks else "without ranks"
            print(f"load {load}, seed {seed}, {order}", flush=True)
            print(format_results(simulation), flush=True)


if __name__ == "__main__":
    main()
