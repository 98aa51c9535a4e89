import unittest

import attrs

from daisystack.core.membership import Member, MemberRole, Membership, usable_entries
from daisystack.core.readers import reader_patience_s
from daisystack.core.retries import WindowedBudget


def build_member(id="e1", zone="z1", beat=1, **changed):
    usual = {
        "incarnation": "i1",
        "role": MemberRole.ENTRY,
        "peer_address": f"{id}:1",
        "caller_address": f"{id}:2",
        "news_address": "",
        "region": "r",
        "is_ready": True,
    }
    return Member(id=id, zone=zone, beat=beat, **(usual | changed))


class TestMembership(unittest.TestCase):
    def test_an_older_word_through_a_peer_keeps_nobody_alive(self):
        known = Membership("me")
        known.heard(build_member(beat=5), 0.0, 10.0)
        known.heard(build_member(beat=5), 0.0, 20.0)
        self.assertEqual(known.live(MemberRole.ENTRY, 20.0), [])

    def test_a_word_counts_from_when_it_was_spoken(self):
        known = Membership("me")
        known.heard(build_member(), 1.5, 10.0)
        self.assertEqual(len(known.live(MemberRole.ENTRY, 10.0)), 1)
        self.assertEqual(known.live(MemberRole.ENTRY, 10.2), [])

    def test_who_does_not_answer_here_is_not_alive_through_others(self):
        known = Membership("me")
        known.heard(build_member(beat=1), 0.0, 10.0)
        known.silent("e1")
        known.heard(build_member(beat=2), 0.0, 10.4)
        self.assertEqual(known.live(MemberRole.ENTRY, 10.4), [])
        known.answered("e1")
        self.assertEqual(len(known.live(MemberRole.ENTRY, 10.4)), 1)

    def test_a_new_life_is_not_blamed_for_the_former_one_s_silence(self):
        known = Membership("me")
        known.heard(build_member(beat=9), 0.0, 10.0)
        known.silent("e1")
        known.heard(build_member(beat=1, incarnation="i2"), 0.0, 11.0)
        self.assertEqual(len(known.live(MemberRole.ENTRY, 11.0)), 1)

    def test_an_own_pause_makes_nobody_silent(self):
        known = Membership("me")
        known.heard(build_member(), 0.0, 10.0)
        known.shift_times(30.0)
        self.assertEqual(len(known.live(MemberRole.ENTRY, 41.0)), 1)

    def test_entries_that_are_cut_off_from_each_other_keep_the_retry_budget(self):
        """Each goes on to share the slack with all that it heard of in the last half minute."""
        ids = [f"e{i}" for i in range(8)]
        sent = 0
        for me in ids:
            known = Membership(me)
            for other in ids:
                known.heard(build_member(other), 0.0, 10.0)
            known.told(39.0)
            entries = 1 + len(known.members(MemberRole.ENTRY))
            budget = WindowedBudget(0.2, 104.0, 10.0)
            sent += sum(1 for _ in range(200) if budget.take(entries, 39.0))
        self.assertLessEqual(sent, 104)

    def test_agents_are_not_passed_on(self):
        known = Membership("me")
        known.heard(build_member("a1", role=MemberRole.AGENT), 0.0, 10.0)
        self.assertEqual(known.told(10.0), [])


class TestUsableEntries(unittest.TestCase):
    def test_the_caller_s_zone_goes_first_when_it_has_enough(self):
        own = build_member("e1")
        others = [build_member("e2"), build_member("e3", zone="z2")]
        found = usable_entries(own, others, "z1", 2)
        self.assertEqual([m.id for m in found], ["e1", "e2"])

    def test_all_zones_serve_a_zone_with_too_few(self):
        own = build_member("e1")
        others = [build_member("e2", is_leaving=True), build_member("e3", zone="z2")]
        found = usable_entries(own, others, "z1", 2)
        self.assertEqual([m.id for m in found], ["e1", "e3"])

    def test_who_leaves_or_is_not_ready_is_never_named(self):
        own = attrs.evolve(build_member("e1"), is_ready=False)
        self.assertEqual(usable_entries(own, [], "z1", 1), [])


class TestReaders(unittest.TestCase):
    def test_near_readers_of_low_rank_read_first(self):
        near = [reader_patience_s(rank, 0.004) for rank in range(3)]
        self.assertEqual(near, sorted(near))
        self.assertGreater(reader_patience_s(0, 0.04), near[0])

    def test_every_entry_reads_in_time_for_a_configuration_to_be_in_force(self):
        self.assertLess(reader_patience_s(2, 10.0), 2.0)
