"""Print when two versions are loaded that follow each other while the origin is down."""

from __future__ import annotations

import eventlet
from attrs import frozen

from daisystack.runtime.clock import now_s
from daisystack.testing.fleet import run_in_passed_time
from daisystack.testing.rollout_fleet import RolloutFleet

SETTLE_S = 2.0
REST_S = 14.0
OVER_S = 18.0


@frozen
class Case:
    """Times of the second version, and of the outage after it; 0 for no outage."""

    gap_s: float
    down_after_s: float
    down_for_s: float
    agent_mbps: float = 3.8


CASES = (
    Case(2.0, 0.5, 6.0),
    Case(2.0, 1.0, 6.0),
    Case(2.0, 0.5, 3.0),
    Case(1.5, 0.5, 6.0),
    Case(2.5, 0.5, 6.0),
    Case(2.0, 0.5, 6.0, agent_mbps=3.2),
    Case(2.0, 0.0, 0.0),
    Case(6.0, 0.0, 0.0),
)


def play(case: Case) -> str:
    """Return the table's row of a case."""
    fleet = RolloutFleet(agent_mbps=case.agent_mbps)
    fleet.start()
    eventlet.sleep(SETTLE_S)
    started_s = now_s()
    fleet.publish(2)
    eventlet.sleep(case.gap_s)
    fleet.publish(3)
    eventlet.sleep(case.down_after_s)
    fleet.origin.is_down = case.down_for_s > 0
    eventlet.sleep(case.down_for_s)
    fleet.origin.is_down = False
    eventlet.sleep(REST_S)
    cells = [
        f"{case.gap_s:g}",
        f"{case.down_after_s:g} to {case.down_after_s + case.down_for_s:g}",
        f"{case.agent_mbps:g}",
    ]
    for version in (2, 3):
        engines = [agent.engine for agent in fleet.agents]
        ordered = [e.loaded[version][0] - started_s for e in engines if version in e.loaded]
        last = f"{min(ordered):.1f} to {max(ordered):.1f}" if ordered else "-"
        cells.append(f"{len(ordered)}: {last}")
    accepting_s = OVER_S * fleet.mean_accepting(started_s, started_s + OVER_S)
    cells.append(f"{accepting_s:.1f}")
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Print the table, one row per case."""
    print(
        "| second version after, s | origin down after it, s | Mbit/s of an agent "
        f"| orders of the first | of the second | of {OVER_S:g} s accepting |"
    )
    print("|---|---|---|---|---|---|")
    for case in CASES:
        print(run_in_passed_time(lambda case=case: play(case)), flush=True)


if __name__ == "__main__":
    main()
