"""Draw the faults of a run from its seed."""

from __future__ import annotations

import random
from collections.abc import Iterator

from attrs import frozen

__all__ = ["Fault", "draw_faults"]

FAULTS_PER_S = 2.0
DURATION_S = (0.2, 3.0)
# Faults of one kind and target that follow each other.
SERIES = (1, 1, 1, 2, 3)
SERIES_PAUSE_S = (0.3, 1.2)
ENTRY_KINDS = ("kill", "freeze", "terminate", "hang_up")
AGENT_KINDS = ("kill", "freeze", "terminate")
UPSTREAM_KINDS = ("kill", "freeze", "leave", "limit")
LINK_KINDS = ("delay", "reset", "cut_to_target", "cut_to_caller", "silence")
OPERATOR_KINDS = ("configs", "weights", "drill")
STORE_KINDS = ("freeze",)
GROUPS = ("entry", "agent", "upstream", "link", "link", "operator", "store")
# Occur in every run.
ALWAYS = ("configs", "weights", "drill")


@frozen
class Fault:
    """One fault: when it begins after the start of the run, what it does, to whom and how long."""

    at_s: float
    kind: str
    target: str
    duration_s: float


def draw_faults(
    seed: int, seconds: float, entries: int, upstreams: list[str], agents: int
) -> list[Fault]:
    """Return the faults of a seed, in the order in which they begin."""
    rng = random.Random(f"{seed}/faults")
    targets = {
        "entry": ([f"entry-{i}" for i in range(entries)], ENTRY_KINDS),
        "agent": ([f"agent-{i}" for i in range(agents)], AGENT_KINDS),
        "upstream": (upstreams, UPSTREAM_KINDS),
        "link": (_links(entries, upstreams), LINK_KINDS),
        "operator": (["operator"], OPERATOR_KINDS),
        "store": (["store"], STORE_KINDS),
    }
    faults = [_draw(rng, kind, "operator", seconds) for kind in ALWAYS]
    faults.append(_draw(rng, "limit", rng.choice(upstreams), seconds))
    while len(faults) < FAULTS_PER_S * seconds:
        names, kinds = targets[rng.choice(GROUPS)]
        first = _draw(rng, rng.choice(kinds), rng.choice(names), seconds)
        faults += _draw_series(rng, first, seconds)
    return sorted(faults, key=lambda fault: fault.at_s)


def _links(entries: int, upstreams: list[str]) -> list[str]:
    links = [f"{end}:{i}" for end in ("store", "callers") for i in range(entries)]
    return links + [f"upstream:{name}" for name in upstreams]


def _draw(rng: random.Random, kind: str, target: str, seconds: float) -> Fault:
    return Fault(rng.uniform(0, seconds), kind, target, rng.uniform(*DURATION_S))


def _draw_series(rng: random.Random, first: Fault, seconds: float) -> Iterator[Fault]:
    at_s = first.at_s
    for _ in range(rng.choice(SERIES)):
        if at_s < seconds:
            yield Fault(at_s, first.kind, first.target, first.duration_s)
        at_s += first.duration_s + rng.uniform(*SERIES_PAUSE_S)
