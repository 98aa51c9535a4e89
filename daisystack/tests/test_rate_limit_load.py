"""Test in simulated time that all entries together keep the limit that an upstream names."""

import functools
import unittest

from daisystack.testing.limit_fleet import WINDOW_S, LimitFleet

STABLE_WINDOW_S = 3.0
LIMITED_FROM_S = 6.0
# Entries, zones and requests a second.
SMALL = (8, 3, 60.0)
MIDDLE = (35, 4, 200.0)
LARGE = (99, 5, 400.0)
LIMITS_PER_S = (0.2, 1.0, 1.9, 10.0, 60.0)
# A limit is known everywhere, and requests sent before have aged out of the window, by then.
SETTLED_S = LIMITED_FROM_S + 2 * WINDOW_S


@functools.cache
def play(site, duration_s=24.0, **options):
    entries, zones, demand_per_s = site
    fleet = LimitFleet(
        entries,
        zones,
        demand_per_s=demand_per_s,
        limited_from_s=LIMITED_FROM_S,
        loss=0.02,
        **options,
    )
    fleet.introduce_all()
    fleet.run(duration_s)
    return fleet


class TestLimitOfAnUpstream(unittest.TestCase):
    # LIMIT: each entry sent to an upstream as if it had named no limit for all of them.
    def test_entries_that_were_told_keep_the_limit_together(self):
        plays = [(SMALL, limit) for limit in LIMITS_PER_S] + [(MIDDLE, 1.9), (LARGE, 1.9)]
        excess = {}
        for site, limit_per_s in plays:
            fleet = play(site, limit_per_s=limit_per_s)
            worst = fleet.worst_told(LIMITED_FROM_S + STABLE_WINDOW_S)
            excess[site[0], limit_per_s] = worst - fleet.allowed
        self.assertLessEqual(max(excess.values()), 0, excess)


if __name__ == "__main__":
    unittest.main()
