"""Test that all entries together bound what a cold upstream gets in a second."""

import functools
import random
import unittest
from unittest import mock

import attrs

from daisystack.core import cold_upstreams
from daisystack.core.cold_parts import SETTLE_S, ColdParts, EntriesView
from daisystack.core.cold_upstreams import RAMP_S, ColdBound, ColdUpstreams
from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.core.membership import Member, MemberRole, Membership
from daisystack.core.placement import Placement, PlacementRequirements, Refusal
from daisystack.core.traffic import Service
from daisystack.runtime.cold_watch import ColdWatch
from daisystack.testing.cold_plays import PLAYS, SITES, play
from daisystack.testing.direct import build_upstream

BOUND = ColdBound(1.5, 5.0)
LIMIT_PER_S = 17.0
# limit x overrun + slack, as the rule states it.
ALLOWED = 30.5
MAX_AGE_S = 3.0
BUSY = "cold again while busy"
LARGER = {"a zone returns", "0.55 of the entries restart", "all restart in halves"}
SHORT = {8: set(PLAYS) - {BUSY}, 36: LARGER}
# Each upstream gets about as much as it can finish.
USUAL = attrs.evolve(SITES[8], demand_per_s=100.0)

play_once = functools.cache(play)


class TestBoundOverAllEntries(unittest.TestCase):
    # Entries that had just started, were apart, frozen or cut off sent beside the rest;
    # new ones that heard of others, and not from them, each took the parts of all.
    def test_all_entries_together_keep_the_bound_in_each_pattern(self):
        for entries, names in SHORT.items():
            for name in sorted(names):
                with self.subTest(name, entries=entries):
                    fleet = play_once(name, SITES[entries], BOUND)
                    self.assertLessEqual(fleet.worst_cold(), ALLOWED)
                    # A bound that lets nothing through would be kept too.
                    self.assertGreater(fleet.used_share(), 0.3)

    # Upstreams that became cold while they were busy got a herd beside what they had.
    def test_upstreams_that_become_cold_under_usual_load_get_no_more(self):
        for seed in (1, 2, 3):
            fleet = play_once(BUSY, USUAL, BOUND, seed=seed)
            self.assertLessEqual(fleet.worst_cold(), ALLOWED)

    def test_the_patterns_break_the_bound_without_parts(self):
        for name in ("one start", "a zone returns", "an evacuation ends"):
            self.assertGreater(play_once(name, SITES[8], None).worst_cold(), ALLOWED, name)

    # All entries saw at the same moment that an upstream was warm, and crowded it.
    def test_requests_grow_gradually_when_the_cold_time_ends(self):
        for ramp_s, grows_gradually in ((RAMP_S, True), (1e-9, False)):
            with mock.patch.object(cold_upstreams, "RAMP_S", ramp_s):
                fleet = play("a zone returns", SITES[8], BOUND)
            self.assertEqual(fleet.worst_after(1.0) < 1.5 * fleet.worst_cold(), grows_gradually)


def refresh(parts, now_s, own="e0", entries=3, zones=1, is_apart=False):
    """Let an entry know all entries of a fleet, spread over zones."""
    zone = int(own[1:]) % zones
    ids = frozenset(f"e{i}" for i in range(entries) if i % zones == zone)
    sizes = {f"z{z}": len(range(z, entries, zones)) for z in range(zones)}
    parts.refresh(EntriesView(own, f"z{zone}", ids, sizes, is_apart), now_s)


class TestParts(unittest.TestCase):
    def test_parts_of_all_entries_add_up_to_what_is_dealt(self):
        for entries, zones in ((1, 1), (8, 3), (36, 3), (99, 5), (300, 9)):
            for limit_per_s in (0.4, 1.0, 17.0, 100.0):
                for served in ({"z0"}, {f"z{z}" for z in range(zones)}):
                    near, far = BOUND.near(limit_per_s), BOUND.far(limit_per_s)
                    total = 0
                    for index in range(entries):
                        parts = ColdParts()
                        refresh(parts, 0.0, f"e{index}", entries, zones)
                        total += parts.part("u1", "z0", frozenset(served), near, far)
                    has_far = len(served) > 1
                    self.assertEqual(total, near + far * has_far, (entries, limit_per_s))
                    self.assertLessEqual(total, BOUND.allowed(limit_per_s))

    def test_two_groups_that_do_not_know_each_other_stay_within_the_bound(self):
        for limit_per_s in (0.4, 1.0, 17.0, 100.0):
            self.assertLessEqual(2 * BOUND.near(limit_per_s), 1.5 * limit_per_s + 5.0)
        self.assertEqual(ColdBound(1.5, 0.0).near(0.5), 0)

    # A new incarnation that knew only itself took the parts of all others.
    def test_an_entry_holds_no_part_before_it_knows_the_others(self):
        parts = ColdParts()
        for at_s, entries, expected in ((0.0, 3, False), (SETTLE_S, 3, True)):
            refresh(parts, at_s, entries=entries)
            self.assertEqual(parts.is_settled(at_s), expected)
        self.assertFalse(parts.is_settled(SETTLE_S + 21.0))
        for is_apart in (True, False):
            alone = ColdParts()
            for at_s in (0.0, SETTLE_S):
                refresh(alone, at_s, entries=1, is_apart=is_apart)
            self.assertEqual(alone.is_settled(SETTLE_S), not is_apart)

    # Entries that lost sight of others took over parts that those still used.
    def test_a_lost_entry_keeps_its_part(self):
        parts = ColdParts()
        refresh(parts, 0.0, entries=3)
        before = parts.part("u1", "z0", frozenset({"z0"}), 15, 0)
        refresh(parts, 30.0, entries=1)
        self.assertEqual(parts.part("u1", "z0", frozenset({"z0"}), 15, 0), before)
        refresh(parts, 700.0, entries=1)
        self.assertEqual(parts.part("u1", "z0", frozenset({"z0"}), 15, 0), 15)


def build_placement(bound=BOUND, limit_per_s=LIMIT_PER_S):
    """Build the placement of an entry that holds a third of each upstream's requests."""
    cold = ColdUpstreams(bound, MAX_AGE_S)
    cold.update_services({"ledger": Service("ledger", 100, cold_limit_per_s=limit_per_s)})
    placement = Placement(random.Random(1), EngineStatusTable(), zone="z0", cold=cold)
    for at_s in (0.0, SETTLE_S):
        refresh(cold.parts, at_s)
    return placement


def cold_upstream(id="u1", left_s=5.0, **overrides):
    return build_upstream(id, zone="z0", slots=50, cold_left_s=left_s, **overrides)


NEEDS = PlacementRequirements("ledger", "z0")
NOW_S = SETTLE_S + 1.0


def send_all(placement, now_s, count=40):
    """Send up to count requests, and return to which upstreams they went."""
    went = []
    for _ in range(count):
        chosen = placement.choose(NEEDS, now_s)
        if isinstance(chosen, Refusal):
            break
        sent = placement.begin(chosen.id, 0, now_s)
        went.append(chosen.id if placement.take_share(sent, now_s) else "")
        placement.end(sent, now_s)
    return went


class TestColdUpstreams(unittest.TestCase):
    def test_requests_beyond_the_part_go_to_warm_upstreams(self):
        placement = build_placement()
        placement.update_upstream(cold_upstream(), NOW_S)
        placement.update_upstream(cold_upstream("u2", 0.0), NOW_S)
        went = send_all(placement, NOW_S)
        self.assertEqual((went.count("u1"), went.count("u2")), (5, 35))

    def test_a_request_that_fits_no_part_is_refused_as_when_full(self):
        placement = build_placement()
        placement.update_upstream(cold_upstream(), NOW_S)
        self.assertEqual(len(send_all(placement, NOW_S)), 5)
        refusal = placement.choose(NEEDS, NOW_S + 0.9)
        self.assertTrue(refusal.is_full)
        self.assertEqual(len(send_all(placement, NOW_S + 1.0)), 5)

    # After a loss of power callers came back while their entry held no part, and were lost.
    def test_callers_of_a_new_entry_are_told_when_it_will_hold_parts(self):
        placement = build_placement()
        placement.update_upstream(cold_upstream(), NOW_S)
        placement.cold.parts = ColdParts()
        for at_s, expected_s in ((NOW_S, SETTLE_S), (NOW_S + 1.0, SETTLE_S - 1.0)):
            refresh(placement.cold.parts, at_s)
            self.assertAlmostEqual(placement.choose(NEEDS, at_s).retry_after_s, expected_s)

    # Requests whose connections open late were sent beside those that came after them.
    def test_chosen_requests_count_before_they_are_sent(self):
        placement = build_placement()
        placement.update_upstream(cold_upstream(), NOW_S)
        begun = [placement.begin("u1", 0, NOW_S) for _ in range(5)]
        self.assertIsInstance(placement.choose(NEEDS, NOW_S), Refusal)
        self.assertTrue(all(placement.take_share(sent, NOW_S + 0.9) for sent in begun))
        self.assertIsInstance(placement.choose(NEEDS, NOW_S + 1.8), Refusal)

    # A request chosen before its entry froze was sent afterwards, to a restarted upstream.
    def test_old_records_may_hide_a_cold_upstream(self):
        placement = build_placement()
        placement.update_upstream(cold_upstream(left_s=0.0), NOW_S)
        self.assertEqual(len(send_all(placement, NOW_S)), 40)
        begun = [placement.begin("u1", 0, NOW_S) for _ in range(10)]
        placement.cold.record_age_s = lambda now_s: now_s - NOW_S
        woken_s = NOW_S + 4.0
        self.assertEqual(sum(placement.take_share(sent, woken_s) for sent in begun), 5)

    def test_a_life_that_only_the_agent_has_seen_counts_as_cold(self):
        placement = build_placement()
        placement.update_upstream(
            cold_upstream(left_s=0.0, has_engine=True, version=1, started_ms=1), NOW_S
        )
        upstream = placement.get("u1")
        self.assertIsNone(placement.cold.part(upstream, NOW_S + 0.1))
        status = EngineStatus("127.0.0.1:1", 2, 1, True, False, 0, 0, NOW_S + 0.1)
        placement.engines.update(status)
        self.assertEqual(placement.cold.part(upstream, NOW_S + 0.1), 5)

    def test_the_allowance_grows_and_then_ends(self):
        cold = build_placement().cold
        upstream = cold_upstream()
        cold.record(upstream, NOW_S)
        parts = [cold.part(upstream, NOW_S + 5.0 + after_s) for after_s in (-1.0, 0.0, 1.0, 1.9)]
        self.assertEqual(parts, sorted(parts))
        self.assertEqual((parts[0], parts[2]), (5, 10))
        self.assertIsNone(cold.part(upstream, NOW_S + 5.0 + RAMP_S))
        # It may be cold again, as far as records that are too old tell.
        cold.record_age_s = lambda now_s: 4.0
        self.assertEqual(cold.part(upstream, NOW_S + 6.0), 5)

    def test_a_record_may_end_or_renew_the_cold_time(self):
        cold = build_placement().cold
        cold.record(cold_upstream(), NOW_S)
        cold.record(cold_upstream(left_s=0.0), NOW_S + 1.0)
        self.assertFalse(cold.is_cold(cold_upstream(), NOW_S + 1.0))
        cold.record(cold_upstream(left_s=2.0), NOW_S + 1.2)
        self.assertTrue(cold.is_cold(cold_upstream(), NOW_S + 3.1))
        self.assertFalse(cold.is_cold(cold_upstream(), NOW_S + 3.2))

    # An evacuation's end was heard before the record of an upstream that had just become cold.
    def test_upstreams_of_a_zone_that_is_taken_back_count_as_cold(self):
        cold = build_placement().cold
        upstream = cold_upstream(left_s=0.0)
        cold.record(upstream, NOW_S)
        cold.record_return("z1", NOW_S)
        self.assertIsNone(cold.part(upstream, NOW_S))
        cold.record_return("z0", NOW_S)
        cold.record(upstream, NOW_S + 0.1)
        self.assertEqual(cold.part(upstream, NOW_S + 0.2), 5)

    def test_without_a_bound_or_a_limit_all_is_decided_as_before(self):
        for options in ({"bound": None}, {"limit_per_s": 0.0}):
            placement = build_placement(**options)
            plain = Placement(random.Random(1), EngineStatusTable(), zone="z0")
            for upstream in (cold_upstream(), cold_upstream("u2", 0.0), cold_upstream("u3")):
                placement.update_upstream(upstream, NOW_S)
                plain.update_upstream(upstream)
            placement.cold.record_age_s = lambda now_s: 100.0
            self.assertEqual(send_all(placement, NOW_S, 200), send_all(plain, NOW_S, 200))
            self.assertEqual(placement.cold.passed_over, 0)


class TestWatch(unittest.TestCase):
    def test_changes_are_logged_once(self):
        placement = build_placement()
        watch = ColdWatch(placement)
        own = Member("e0", "i", MemberRole.ENTRY, "e0", "e0", "e0", "z0", "r")
        membership = Membership("e0", "z0")
        placement.update_upstream(cold_upstream(), NOW_S)
        age_s = 0.0
        placement.cold.record_age_s = lambda now_s: age_s
        with self.assertLogs("daisystack.cold") as logs:
            for step in range(20):
                age_s = 4.0 if step == 18 else 0.0
                watch.refresh(own, membership, True, NOW_S + 0.4 * step)
        events = [record.getMessage() for record in logs.records]
        expected = ["upstream_cold", "upstream_warm"]
        expected += ["cold_upstreams_unsure", "cold_upstreams_known"]
        self.assertEqual(events, expected)


if __name__ == "__main__":
    unittest.main()
