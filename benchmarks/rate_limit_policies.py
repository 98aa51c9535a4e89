"""Compare ways to share an upstream's rate limit among entries, in simulated time."""

from __future__ import annotations

import sys

from attrs import define

from daisystack.testing.gossip import SimulatedEntry
from daisystack.testing.limit_fleet import WINDOW_S, LimitFleet

LIMITS_PER_S = (0.2, 1.0, 1.9, 10.0, 60.0)
# Entries, zones and requests a second.
SITES = ((8, 3, 90.0), (35, 4, 200.0), (99, 5, 400.0), (300, 6, 400.0))
LIMITED_FROM_S = 6.0
LIMITED_UNTIL_S = 30.0
SETTLED_S = LIMITED_FROM_S + 2 * WINDOW_S
STEP_S = 0.1
MAX_WAIT_S = 20.0


@define(eq=False)
class PolicyFleet(LimitFleet):
    """A fleet whose entries compute their parts of a limit by one of several policies."""

    policy: str = "rank"

    def _refresh(self, entry: SimulatedEntry) -> None:
        if self.policy == "rank":
            super()._refresh(entry)
            return
        count = entry.membership.entry_count(self.now_s)
        shares = self.placements[entry.own.id].shares
        part = 1 if self.policy == "alone" else count
        shares.refresh(lambda key, limit_per_s: limit_per_s / part, count, self.now_s)


def wait_for_all(fleet: LimitFleet, is_limited: bool) -> float:
    """Return the seconds until all entries know that a limit is in force, or that it ended."""
    started_s = fleet.now_s
    while fleet.now_s - started_s < MAX_WAIT_S:
        known = [bool(p.shares.limits.limited()) for p in fleet.placements.values()]
        if all(limited is is_limited for limited in known):
            break
        fleet.run(STEP_S)
    return fleet.now_s - started_s


def disturb(fleet: LimitFleet) -> None:
    """Let entries restart in a herd, freeze, be cut off and come, one after the other."""
    ids = sorted(fleet.entries)
    for entry_id in ids[1::3]:
        fleet.restart(entry_id)
    fleet.run(4.0)
    fleet.entries[ids[0]].paused_until_s = fleet.now_s + 3.0
    fleet.add("z0")
    fleet.run(4.0)
    cut = ids[2]
    fleet.is_cut = lambda a, b: cut in (a.id, b.id)
    fleet.run(4.0)
    fleet.is_cut = lambda a, b: False


def measure(site: tuple[int, int, float], policy: str, is_busy: bool, limit_per_s: float) -> str:
    """Return one row of the table."""
    entries, zones, demand_per_s = site
    fleet = PolicyFleet(
        entries,
        zones,
        seed=entries,
        loss=0.02,
        policy=policy,
        demand_per_s=demand_per_s,
        limit_per_s=limit_per_s,
        busy_entry="e0" if is_busy else None,
        limited_from_s=LIMITED_FROM_S,
        limited_until_s=LIMITED_UNTIL_S,
    )
    fleet.introduce_all()
    fleet.run(LIMITED_FROM_S)
    known_s = wait_for_all(fleet, True)
    fleet.run(18.0 - fleet.now_s)
    disturb(fleet)
    calm, told = fleet.worst_total(SETTLED_S, 18.0), fleet.worst_told(LIMITED_FROM_S + 3.0)
    used = fleet.rate_per_s(SETTLED_S, 18.0) / min(limit_per_s, demand_per_s)
    ended_s = wait_for_all(fleet, False)
    return (
        f"| {entries} | {limit_per_s} | {'one' if is_busy else 'even'} | {policy} | {calm} | "
        f"{told} | {WINDOW_S * limit_per_s:.1f} | {used:.2f} | {known_s:.1f} | {ended_s:.1f} |"
    )


def main(arguments: list[str]) -> None:
    """Print the table for the numbers of entries that are given, or for all."""
    chosen = [int(argument) for argument in arguments] or [site[0] for site in SITES]
    print(
        "| entries | limit a second | demand | policy | worst 4 s, calm | worst 4 s, all "
        "| 4 x limit | limit or demand used | all know s | all know its end s |"
    )
    for site in SITES:
        if site[0] not in chosen:
            continue
        for limit_per_s in LIMITS_PER_S:
            for policy in ("rank", "equal", "alone"):
                for is_busy in (False, True):
                    print(measure(site, policy, is_busy, limit_per_s), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
