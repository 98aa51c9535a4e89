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


def build(site, **options):
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
    return fleet


@functools.cache
def play(site, duration_s=24.0, **options):
    fleet = build(site, **options)
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

    # LIMIT: equal or overlapping parts, or a part for each new incarnation, exceed it in sum.
    def test_parts_of_all_entries_add_up_to_the_limit_and_use_it(self):
        for limit_per_s in LIMITS_PER_S:
            fleet = play(SMALL, limit_per_s=limit_per_s)
            with self.subTest(limit_per_s):
                self.assertLessEqual(fleet.worst_total(SETTLED_S), max(1.0, 4 * limit_per_s))
                used_per_s = fleet.rate_per_s(SETTLED_S, fleet.now_s)
                self.assertGreater(used_per_s, 0.7 * min(limit_per_s, SMALL[2]))

    # LIMIT: requests whose connections open late were sent beside those that came after them.
    def test_requests_that_open_their_connections_late_are_counted_when_they_are_sent(self):
        fleet = play(SMALL, limit_per_s=10.0, connect_s=lambda draw: draw.choice((0.01, 2.5)))
        self.assertLessEqual(fleet.worst_total(SETTLED_S), 40)

    # LIMIT: entries that come, go, freeze or are cut off each took a part that others still held.
    def test_limit_holds_while_entries_come_and_go(self):
        for limit_per_s, seed in ((1.0, 1), (3.0, 2), (10.0, 3)):
            fleet = build(SMALL, limit_per_s=limit_per_s, seed=seed)
            fleet.run(LIMITED_FROM_S + 4.0)
            for step in range(2):
                ids = sorted(fleet.entries)
                fleet.entries[ids[step + seed]].paused_until_s = fleet.now_s + 3.0
                fleet.add(f"z{step}")
                fleet.run(6.0)
                for entry_id in ids[seed % 3 :: 3]:
                    fleet.restart(entry_id)
                fleet.run(6.0)
                cut = ids[step + 3]
                fleet.is_cut = lambda a, b, cut=cut: cut in (a.id, b.id)
                fleet.run(6.0)
                fleet.is_cut = lambda a, b: False
            worst = fleet.worst_told(LIMITED_FROM_S + STABLE_WINDOW_S)
            self.assertLessEqual(worst, fleet.allowed)
            self.assertGreater(fleet.rate_per_s(SETTLED_S, fleet.now_s), 0.5 * limit_per_s)

    # The limit stayed in force where its end was not heard, or came back with an entry's old news.
    def test_end_of_a_limit_is_heard_by_all_and_stays(self):
        for site in (SMALL, MIDDLE):
            fleet = build(site, limit_per_s=1.9, limited_until_s=14.0)
            fleet.run(12.0)
            away = fleet.entries["e1"]
            away.paused_until_s = 22.0
            fleet.run(6.0)
            limited = [p for p in fleet.placements.values() if p.shares.limits.limited()]
            self.assertEqual(len(limited), 1)
            fleet.run(6.0)
            limited = [p for p in fleet.placements.values() if p.shares.limits.limited()]
            self.assertEqual(limited, [])
            self.assertGreater(fleet.rate_per_s(23.0, 24.0), 0.7 * site[2])


if __name__ == "__main__":
    unittest.main()
