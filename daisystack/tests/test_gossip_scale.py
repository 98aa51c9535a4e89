"""Test the mesh in simulated time: fleets of 30 to 300 entries, losses, pauses, deaths, restarts.

The load that this answers is hundreds of machines whose control traffic must not grow with them.
"""

import statistics
import unittest
from collections import Counter

from daisystack.core.gossip_peers import ASKING_FANOUT, choose_ranked_before
from daisystack.core.membership import MemberRole
from daisystack.testing.gossip import GossipFleet

# A dead entry must leave the addresses for callers within this time.
DETECTION_S = 2.0
SPREAD_S = 1.0
SIZES = ((30, 3), (100, 5))
LARGE = (300, 9)


def start_fleet(size, zones, settle_s=4.0, **options):
    fleet = GossipFleet(size, zones, **options)
    fleet.introduce_all()
    fleet.run(settle_s)
    return fleet


class TestConstantCost(unittest.TestCase):
    def test_messages_and_bytes_of_an_entry_do_not_grow_with_the_fleet(self):
        rates = {}
        for size, zones in (*SIZES, LARGE):
            fleet = start_fleet(size, zones)
            for entry in fleet.entries.values():
                entry.messages = entry.sent_bytes = entry.cross_zone_bytes = 0
            fleet.run(4.0)
            entries = fleet.entries.values()
            rates[size] = (
                statistics.mean(e.messages for e in entries) / 4.0,
                statistics.mean(e.sent_bytes for e in entries) / 4.0,
                sum(e.cross_zone_bytes for e in entries) / 4.0 / zones,
            )
        self.assertLess(rates[300][0], 1.3 * rates[100][0])
        # Heartbeats grow with the zone: 20 entries a zone at 100, 33 at 300.
        self.assertLess(rates[300][1], 1.5 * rates[100][1])
        self.assertLess(rates[300][1], 20_000)
        self.assertLess(rates[300][2], 1.5 * rates[100][2])

    def test_entries_that_ask_for_a_confirmation_spread_over_their_zone(self):
        """Guards against first readers that all entries of a large zone ask."""
        for size in (1, 2, 9, 33, 133):
            ranking = [f"e{index}" for index in range(size)]
            asked = Counter(
                member for own in ranking for member in choose_ranked_before(ranking, own)
            )
            self.assertLessEqual(max(asked.values(), default=0), 2 * ASKING_FANOUT)
            for rank, own in enumerate(ranking[2:], 2):
                ranks = [ranking.index(member) for member in choose_ranked_before(ranking, own)]
                self.assertEqual(len(ranks), 2)
                self.assertLess(max(ranks), rank)


class TestKnowledge(unittest.TestCase):
    def test_all_know_their_zone_and_the_size_of_the_fleet_within_seconds(self):
        for size, zones in SIZES:
            with self.subTest(size=size):
                fleet = start_fleet(size, zones)
                for entry in fleet.entries.values():
                    in_zone = {e.own.id for e in fleet.entries.values() if _same_zone(e, entry)}
                    self.assertEqual(fleet.live_ids(entry), in_zone - {entry.own.id})
                    self.assertEqual(entry.membership.entry_count(fleet.now_s), size)

    def test_a_change_reaches_all_zones_within_a_second(self):
        for size, zones in (*SIZES, LARGE):
            for seed in range(1 if size == LARGE[0] else 3):
                with self.subTest(size=size, seed=seed):
                    fleet = start_fleet(size, zones, seed=seed, loss=0.02)
                    fleet.publish(f"e{size - 1}", 7)
                    fleet.run(SPREAD_S)
                    reached = [e for e in fleet.entries.values() if e.revision == 7]
                    self.assertEqual(len(reached), size)


class TestFailureDetection(unittest.TestCase):
    def test_a_dead_entry_is_dropped_in_its_zone_in_time(self):
        for size, zones in SIZES:
            with self.subTest(size=size):
                fleet = start_fleet(size, zones)
                dead = fleet.entries[f"e{size // 2}"]
                dead.is_dead = True
                fleet.run(DETECTION_S)
                for entry in fleet.entries.values():
                    if _same_zone(entry, dead):
                        self.assertNotIn(dead.own.id, fleet.live_ids(entry))

    def test_loss_and_a_paused_entry_lead_to_few_false_suspicions(self):
        for size, zones in SIZES:
            with self.subTest(size=size):
                fleet = start_fleet(size, zones, loss=0.02)
                paused = fleet.entries["e5"]
                false, checks = 0, 0
                for step in range(20):
                    if step == 5:
                        paused.paused_until_s = fleet.now_s + 1.0
                    fleet.run(0.2)
                    for entry in fleet.entries.values():
                        if entry is paused:
                            continue
                        others = {
                            e.own.id
                            for e in fleet.entries.values()
                            if _same_zone(e, entry) and e is not paused and e is not entry
                        }
                        checks += len(others)
                        false += len(others - fleet.live_ids(entry))
                # An exchange that was lost marks one peer until the next exchange with it.
                self.assertLess(false / checks, 0.05)

    def test_all_seeds_may_be_dead(self):
        fleet = start_fleet(100, 5)
        for index in range(3):
            fleet.entries[f"e{index}"].is_dead = True
        fleet.run(2.5)
        fleet.publish("e50", 9)
        fleet.run(SPREAD_S)
        alive = [e for e in fleet.entries.values() if not e.is_dead]
        self.assertEqual({e.revision for e in alive}, {9})


class TestRecovery(unittest.TestCase):
    def test_more_than_half_restart_at_once_and_know_each_other_again(self):
        fleet = start_fleet(100, 5)
        for index in range(0, 100, 2):
            fleet.restart(f"e{index}")
        fleet.run(4.0)
        for entry in fleet.entries.values():
            self.assertEqual(len(fleet.live_ids(entry)), 19)

    def test_halves_that_were_apart_find_each_other(self):
        fleet = start_fleet(60, 3)
        fleet.is_cut = lambda a, b: int(a.id[1:]) % 2 != int(b.id[1:]) % 2
        fleet.run(6.0)
        self.assertLess(len(fleet.live_ids(fleet.entries["e0"])), 12)
        fleet.is_cut = lambda a, b: False
        fleet.run(4.0)
        for entry in fleet.entries.values():
            self.assertEqual(len(fleet.live_ids(entry)), 19)

    def test_a_lost_zone_is_known_as_lost_elsewhere(self):
        fleet = start_fleet(100, 5)
        for entry in fleet.entries.values():
            entry.is_dead = entry.own.zone == "z1"
        fleet.run(3.5)
        for entry in fleet.entries.values():
            if not entry.is_dead:
                live = entry.membership.live(MemberRole.ENTRY, fleet.now_s)
                self.assertNotIn("z1", {m.zone for m in live})


def _same_zone(a, b):
    return a.own.zone == b.own.zone


if __name__ == "__main__":
    unittest.main()
