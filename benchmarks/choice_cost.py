"""Measure the processor time of one choice of an upstream."""

from __future__ import annotations

import random
import time

from benchmarks.placement_policies import ZONES
from benchmarks.work_policies import PROFILE
from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.core.placement import DirectUpstream, Placement, PlacementRequirements

CHOICES = 2_000
ROUNDS = 5
OWN_REQUESTS = 8
ENGINES = (17, 30, 99)


def build_placement(engines: int, predicts_work: bool) -> Placement:
    """Return a placement with reports of all engines and some requests in flight."""
    table = EngineStatusTable()
    placement = Placement(
        random.Random(1), table, {"llm": PROFILE}, zone="z1", predicts_work=predicts_work
    )
    for index in range(engines):
        id, zone = f"u{index}", ZONES[index % len(ZONES)]
        address = f"{id}:1"
        placement.update_upstream(
            DirectUpstream(id, "llm", address, zone, 12, True, 1, True, version=1)
        )
        table.update(EngineStatus(address, 1, 1, True, False, 3 + index % 7, 0, 1.0))
    for other in range(15):
        placement.update_entry_counts(f"e{other}", "z1", {"u0": 1}, 1.0)
    for index in range(OWN_REQUESTS):
        placement.begin(f"u{index % engines}", 900, 1.0 + 0.01 * index)
    return placement


def measure_choice_s(placement: Placement) -> float:
    """Return the processor time of a choice in seconds, the least of some rounds."""
    requirements = PlacementRequirements(
        "llm", "z1", prompt_tokens=900, answer_tokens=100, first_event_time_left_s=0.4, route="r"
    )
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for number in range(CHOICES):
            placement.choose(requirements, 1.1 + number * 1e-6)
        best_s = min(best_s, (time.process_time() - started_s) / CHOICES)
    return best_s


def main() -> None:
    """Print the cost of a choice for both ways and some numbers of engines."""
    for engines in ENGINES:
        for predicts_work in (False, True):
            cost_s = measure_choice_s(build_placement(engines, predicts_work))
            name = "work" if predicts_work else "requests"
            print(f"{engines:3} engines  {name:9} {cost_s * 1e3:.3f} ms a choice")


if __name__ == "__main__":
    main()
