"""Test in simulated time that a part that crashes engines is held, and that no sound part is."""

import functools
import itertools
import unittest

from daisystack.testing.crash_fleet import CrashFleet, SimulatedRequest

STABLE_WINDOW_S = 3.0
SPREAD_S = 1.0
MAX_SENT_AFTER = 3
# Entries, zones, engines, sound requests and requests that crash an engine, a second.
SMALL = (8, 3, 6, 40.0, 2.0)
MIDDLE = (35, 4, 24, 160.0, 4.0)
LARGE = (99, 5, 60, 400.0, 8.0)
PLAYS = ((SMALL, 1), (SMALL, 2), (SMALL, 3), (MIDDLE, 1), (MIDDLE, 2), (LARGE, 1))
CULPRIT_FROM_S = 8.0
RESTART_S = 14.0
# A third of all requests crash an engine; and few requests at all.
BUSY = (8, 3, 6, 10.0, 5.0)
RARE = (8, 3, 6, 10.0, 2.0)


def build_fleet(site, **options):
    entries, zones, engines, sound_per_s, culprit_per_s = site
    fleet = CrashFleet(
        entries,
        zones,
        engine_count=engines,
        sound_per_s=sound_per_s,
        culprit_per_s=culprit_per_s,
        culprit_from_s=CULPRIT_FROM_S,
        **options,
    )
    fleet.introduce_all()
    return fleet


@functools.cache
def play(site, duration_s=20.0, **options):
    fleet = build_fleet(site, **options)
    fleet.run(duration_s)
    return fleet


def play_restart(site, seed, step_s, **options):
    """Return a fleet whose entries all started again, step_s after one another."""
    fleet = build_fleet(site, seed=seed, loss=0.02, **options)
    fleet.run(RESTART_S)
    for entry_id in list(fleet.entries):
        fleet.restart([entry_id])
        fleet.run(step_s)
    fleet.run(25.0)
    return fleet


class TestPartThatCrashesEngines(unittest.TestCase):
    # BUDGET: requests that shared one part, and were otherwise unlike, were sent on without end.
    def test_requests_with_a_part_that_crashes_engines_are_no_longer_sent(self):
        fleets = {(site[0], seed): play(site, seed=seed, loss=0.02) for site, seed in PLAYS}
        self.assertGreater(min(len(fleet.crash_times_s) for fleet in fleets.values()), 0)
        sent = {name: fleet.sent_after(STABLE_WINDOW_S) for name, fleet in fleets.items()}
        self.assertLessEqual(max(sent.values()), MAX_SENT_AFTER, sent)

    # LOST: sound requests share the caller and the other parts with those that crash engines.
    def test_sound_requests_beside_them_are_sent(self):
        shares = {}
        for site, seed in PLAYS:
            fleet = play(site, seed=seed, loss=0.02)
            from_s = min(fleet.fifth_crash_s, fleet.crash_times_s[-1]) + 2 * STABLE_WINDOW_S
            before = fleet.lowest_begun_share(0.0, CULPRIT_FROM_S)
            shares[site[0], seed] = fleet.lowest_begun_share(from_s, fleet.now_s) / before
        self.assertGreaterEqual(min(shares.values()), 0.5, shares)

    # LOST: engines also end by other causes, break off streams, and lose their connections.
    def test_no_sound_part_is_held_for_crashes_of_other_causes(self):
        noise = {
            "broken_share": 0.1,
            "cuts_s": tuple(5.0 + 0.5 * step for step in range(20)),
            "rack_ends_s": (6.0, 10.0),
        }
        for seed in range(1, 4):
            fleet = play(SMALL, 16.0, seed=seed, loss=0.02, rack_size=2, **noise)
            self.assertEqual(fleet.wrongly_held(), set())
            self.assertLessEqual(fleet.sent_after(STABLE_WINDOW_S), MAX_SENT_AFTER)

    # BUDGET: all entries start again, at once or one after the other, while the requests go on, and
    # what they had counted was lost with them.
    def test_entries_that_start_again_hear_from_agents_what_was_counted(self):
        for seed, step_s in itertools.product(range(1, 4), (0.0, 0.5)):
            fleet = play_restart(BUSY, seed, step_s, agents_per_zone=2)
            with self.subTest(seed=seed, step_s=step_s):
                self.assertLessEqual(fleet.sent_after(STABLE_WINDOW_S), MAX_SENT_AFTER)
                self.assertEqual(fleet.wrongly_held(), set())

    # BUDGET, LOST: if the agents start again as well, engines ended one after the other before any
    # answer was complete, so that nothing was held; then a sound part was, for good.
    def test_if_nobody_knows_any_more_the_part_is_found_without_a_complete_answer(self):
        for seed, site in itertools.product(range(1, 5), (BUSY, RARE)):
            fleet = play_restart(site, seed, 0.0)
            since = [at_s for at_s in fleet.crash_times_s if at_s > RESTART_S]
            fifth_s = since[4] if len(since) > 4 else float("inf")
            late = sum(at_s > fifth_s + STABLE_WINDOW_S for at_s in fleet.culprit_sent_s)
            with self.subTest(site=site, seed=seed):
                self.assertLessEqual(late, MAX_SENT_AFTER)
                self.assertEqual(fleet.wrongly_held(), set())
                from_s = RESTART_S + 10.0
                self.assertGreaterEqual(fleet.lowest_begun_share(from_s, fleet.now_s), 0.5)

    # BUDGET: counts of a repeated request did not leave the zone of the entry that counted them.
    def test_a_request_that_crashed_two_engines_is_held_in_all_zones_within_a_second(self):
        for site in (SMALL, MIDDLE, LARGE):
            fleet = play(site, 4.0, loss=0.02)
            request = SimulatedRequest(0, ())
            fleet.record_crash("e0", request, "g0/0")
            fleet.record_crash(f"e{fleet.zones}", request, "g1/0")
            fleet.run(SPREAD_S)
            holding = [t.is_held(request, fleet.now_s) for t in fleet.trackers.values()]
            self.assertEqual(holding.count(False), 0, site)


if __name__ == "__main__":
    unittest.main()
