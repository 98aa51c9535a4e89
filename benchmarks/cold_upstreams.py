"""Play fleets whose upstreams become cold, with and without a bound, and print a table.

Usage: python -m benchmarks.cold_upstreams [ENTRIES ...]; seed 1, in passed time.
"""

from __future__ import annotations

import sys

from daisystack.core.cold_upstreams import ColdBound
from daisystack.testing.cold_plays import PLAYS, SITES, play

BOUND = ColdBound(1.5, 5.0)


def main() -> None:
    """Print one row for each pattern and size."""
    sizes = [int(size) for size in sys.argv[1:]] or sorted(SITES)
    print("| entries | pattern | allowed | worst second | used of the limit | unbounded: worst |")
    print("|---|---|---|---|---|---|")
    for size in sizes:
        for name in PLAYS:
            fleet, unbounded = play(name, SITES[size], BOUND), play(name, SITES[size], None)
            used = f"{fleet.used_share():.2f}"
            worst = fleet.worst_cold(), unbounded.worst_cold()
            print(f"| {size} | {name} | {fleet.allowed} | {worst[0]} | {used} | {worst[1]} |")


if __name__ == "__main__":
    main()
