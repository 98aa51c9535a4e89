import unittest

import attrs

from daisystack.core.membership import (
    UNREACHABLE_FOR_S,
    Heartbeat,
    Member,
    MemberRole,
    Membership,
    state_digest,
    usable_entries,
)
from daisystack.core.readers import max_mirror_age_s
from daisystack.core.retries import WindowedBudget


def build_member(id="e1", zone="z1", beat=1, **overrides):
    defaults = {
        "incarnation": "i1",
        "role": MemberRole.ENTRY,
        "peer_address": f"{id}:1",
        "caller_address": f"{id}:2",
        "news_address": "",
        "region": "r",
        "is_ready": True,
    }
    return Member(id=id, zone=zone, beat=beat, **(defaults | overrides))


class TestMembership(unittest.TestCase):
    # An update that differs only in its beat keeps the digest that was made of the state before. A
    # field that the comparison left out would keep an outdated digest, and heartbeats of the
    # new state would be ignored until the member was suspected.
    def test_a_change_of_any_reported_field_changes_the_digest(self):
        member = build_member("e2", news_address="e2:3")
        changes = {
            "incarnation": "i2",
            "role": MemberRole.AGENT,
            "peer_address": "e2:11",
            "caller_address": "e2:12",
            "news_address": "e2:13",
            "zone": "z2",
            "region": "r2",
            "is_ready": False,
            "is_leaving": True,
        }
        reported = {field.name for field in attrs.fields(Member)} - {"id", "beat"}
        self.assertEqual(set(changes), reported)
        for name, value in changes.items():
            with self.subTest(name):
                membership = Membership("e1", "z1")
                membership.apply_update(member, 0.0, 10.0)
                changed = attrs.evolve(member, beat=2, **{name: value})
                membership.apply_update(changed, 0.0, 11.0)
                heartbeat = Heartbeat(state_digest(changed), 3, 0.0)
                membership.apply_heartbeats([heartbeat], 13.0)
                self.assertEqual(membership.members(changed.role), [changed])
                self.assertEqual(membership.live(changed.role, 13.0 + 1.0), [changed])

    def test_an_update_with_a_newer_beat_extends_liveness_and_keeps_unreachability(self):
        membership = Membership("e1", "z1")
        membership.apply_update(build_member("e2", beat=1), 0.0, 10.0)
        membership.mark_unreachable("e2", 10.0)
        membership.apply_update(build_member("e2", beat=2), 0.0, 12.0)
        self.assertEqual(membership.live(MemberRole.ENTRY, 12.5), [])
        at_s = 10.0 + UNREACHABLE_FOR_S + 0.1
        self.assertEqual([m.beat for m in membership.live(MemberRole.ENTRY, at_s)], [2])

    def test_repeated_heartbeat_through_peer_does_not_extend_liveness(self):
        membership = Membership("me")
        membership.apply_update(build_member(beat=5), 0.0, 10.0)
        membership.apply_update(build_member(beat=5), 0.0, 20.0)
        self.assertEqual(membership.live(MemberRole.ENTRY, 20.0), [])

    def test_update_counts_from_when_it_was_sent(self):
        membership = Membership("me")
        membership.apply_update(build_member(), 1.5, 10.0)
        self.assertEqual(len(membership.live(MemberRole.ENTRY, 10.0)), 1)
        self.assertEqual(membership.live(MemberRole.ENTRY, 10.2), [])

    def test_unreachable_member_stays_down_despite_updates_through_peers(self):
        membership = Membership("me")
        membership.apply_update(build_member(beat=1), 0.0, 10.0)
        membership.mark_unreachable("e1", 10.0)
        membership.apply_update(build_member(beat=2), 0.0, 10.4)
        self.assertEqual(membership.live(MemberRole.ENTRY, 10.4), [])
        membership.mark_reachable("e1")
        self.assertEqual(len(membership.live(MemberRole.ENTRY, 10.4)), 1)

    def test_unreachable_member_that_others_hear_from_is_tried_again(self):
        """In a large zone the next exchange with it may be far away."""
        membership = Membership("me")
        membership.apply_update(build_member(beat=1), 0.0, 10.0)
        membership.mark_unreachable("e1", 10.0)
        membership.apply_update(build_member(beat=9), 0.0, 10.0 + UNREACHABLE_FOR_S)
        self.assertEqual(membership.live(MemberRole.ENTRY, 10.0 + UNREACHABLE_FOR_S), [])
        self.assertEqual(len(membership.live(MemberRole.ENTRY, 10.1 + UNREACHABLE_FOR_S)), 1)

    def test_new_incarnation_is_not_marked_unreachable(self):
        membership = Membership("me")
        membership.apply_update(build_member(beat=9), 0.0, 10.0)
        membership.mark_unreachable("e1", 10.0)
        membership.apply_update(build_member(beat=1, incarnation="i2"), 0.0, 11.0)
        self.assertEqual(len(membership.live(MemberRole.ENTRY, 11.0)), 1)

    def test_local_pause_does_not_cause_suspicion(self):
        membership = Membership("me")
        membership.apply_update(build_member(), 0.0, 10.0)
        membership.shift_times(30.0)
        self.assertEqual(len(membership.live(MemberRole.ENTRY, 41.0)), 1)

    def test_partitioned_entries_stay_within_shared_retry_budget(self):
        """Each entry still divides the slack by all entries that it knew in the last 30 s."""
        ids = [f"e{i}" for i in range(8)]
        sent = 0
        for own_id in ids:
            membership = Membership(own_id)
            for other in ids:
                membership.apply_update(build_member(other), 0.0, 10.0)
            membership.gossip_scope("", 39.0)
            entries = membership.entry_count(39.0)
            budget = WindowedBudget(0.2, 104.0, 10.0)
            sent += sum(1 for _ in range(200) if budget.try_consume(entries, 39.0))
        self.assertLessEqual(sent, 104)

    def test_agents_are_not_gossiped(self):
        membership = Membership("me")
        membership.apply_update(build_member("a1", role=MemberRole.AGENT), 0.0, 10.0)
        self.assertEqual(membership.gossip_scope("z1", 10.0), [])


class TestUsableEntries(unittest.TestCase):
    def test_entries_in_caller_zone_are_used_when_enough(self):
        own = build_member("e1")
        others = [build_member("e2"), build_member("e3", zone="z2")]
        found = usable_entries(own, others, "z1", 2)
        self.assertEqual([m.id for m in found], ["e1", "e2"])

    def test_all_zones_are_used_when_caller_zone_has_too_few(self):
        own = build_member("e1")
        others = [build_member("e2", is_leaving=True), build_member("e3", zone="z2")]
        found = usable_entries(own, others, "z1", 2)
        self.assertEqual([m.id for m in found], ["e1", "e3"])

    def test_leaving_or_unready_entries_are_excluded(self):
        own = attrs.evolve(build_member("e1"), is_ready=False)
        self.assertEqual(usable_entries(own, [], "z1", 1), [])


class TestReaders(unittest.TestCase):
    def test_lower_rank_and_faster_readers_read_first(self):
        ages_s = [max_mirror_age_s(rank, 0.004) for rank in range(3)]
        self.assertEqual(ages_s, sorted(ages_s))
        self.assertGreater(max_mirror_age_s(0, 0.04), ages_s[0])

    def test_every_reader_reads_within_two_seconds(self):
        self.assertLess(max_mirror_age_s(2, 10.0), 2.0)
