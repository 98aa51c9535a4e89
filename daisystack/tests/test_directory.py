"""Test which entries callers are directed to, by host and region, and that ended ones are left out.

The fleets run in passed time: entries are killed, leave and end, or end behind a partition.
"""

import unittest
from unittest import mock

import attrs

from daisystack.core import membership
from daisystack.core.homes import find_host_homes
from daisystack.core.membership import Member, MemberRole, usable_entries
from daisystack.core.placement.places import Places
from daisystack.core.traffic import Workspace
from daisystack.runtime import directory
from daisystack.runtime.directory import MIN_ZONE_ENTRIES, Directory
from daisystack.testing.direct import build_policy, build_route
from daisystack.testing.gossip import GossipFleet
from daisystack.testing.places import REGION_BY_ZONE

NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})
SIZES = (8, 35, 99)
ZONES = 3
# An entry is in touch again this long after a disturbance.
STABLE_S = 4.0
# Answers may name an ended entry for this long.
ENDED_BOUND_S = STABLE_S + 3.0
PARTITION_S = 4.0
PAUSE_S = 3.0
CHECKED_S = 4.0
SAMPLE_INTERVAL_S = 0.25


def build_member(id, zone, region=None, **overrides):
    region = REGION_BY_ZONE.get(zone, "") if region is None else region
    defaults = {"is_ready": True}
    return Member(
        id, "i", MemberRole.ENTRY, f"{id}:1", id, "", zone, region, **(defaults | overrides)
    )


class TestDirectory(unittest.TestCase):
    def list_ids(self, members, homes, zone="z1", region="north"):
        routes = tuple(
            build_route(name=str(i), prefix=f"/{i}/", is_public=False, allowed_regions=h)
            for i, h in enumerate(homes)
        )
        policy = attrs.evolve(build_policy(routes[0]), routes=routes)
        own, *peers = members
        places = Places(REGION_BY_ZONE)
        self.directory = Directory(lambda: own, lambda _: peers, lambda: policy, places)
        return self.directory.addresses_for(zone, "SITE", region)

    def test_entries_outside_are_named_only_if_there_is_no_other(self):
        a, b = build_member("a", "z1"), build_member("b", "z1")
        c, d = build_member("c", "z2"), build_member("d", "z3")
        unknown = build_member("e", "z6")
        for name, members, homes, expected in [
            ("zone first", [a, b, c, d], [SOUTH], "ab"),
            ("then the region", [a, c, d], [SOUTH], "ac"),
            ("then the homes", [a, d, unknown], [SOUTH], "ad"),
            ("no home of all", [a, d], [SOUTH, NORTH], "a"),
            ("homes of one route", [d, unknown], [SOUTH, NORTH], "d"),
            ("elsewhere", [d, unknown], [frozenset({"west"})], "de"),
            ("not those that leave", [a, attrs.evolve(b, is_leaving=True), d], [NORTH], "a"),
            ("no homes", [a, d, unknown], [frozenset()], "ade"),
        ]:
            with self.subTest(name):
                self.assertEqual("".join(sorted(self.list_ids(members, homes))), expected)
                self.assertEqual(self.directory.answers_outside, int(name == "elsewhere"))

    def test_the_region_of_a_caller_that_states_none_is_that_of_its_zone(self):
        members = [build_member("a", "z1"), build_member("d", "z3")]
        west = [frozenset({"west"})]
        self.assertEqual(self.list_ids(members, west, "z3", ""), ["d"])
        # Of a zone that nobody knows, only the homes remain.
        self.assertEqual(self.list_ids(members, [NORTH], "z9", ""), ["a"])

    def test_homes_of_workspaces_bind_hosts_with_routes_for_them(self):
        workspace = Workspace("w", frozenset({"k"}), None, SOUTH)
        for is_public, expected in [(False, SOUTH), (True, None)]:
            with self.subTest(is_public=is_public):
                policy = build_policy(build_route(is_public=is_public), (workspace,))
                homes = find_host_homes(policy, "site")
                self.assertEqual(homes.common if homes else None, expected)

    def test_lines_about_answers_outside_are_bounded(self):
        """Guards against a log line for each of many callers after the loss of a region."""
        with mock.patch.object(directory, "log_event") as log_event:
            self.list_ids([build_member("d", "z3")], [NORTH])
            for _ in range(500):
                self.directory.addresses_for("z1", "site", "north")
        self.assertEqual(self.directory.answers_outside, 501)
        self.assertLessEqual(log_event.call_count, 4)


def kill(fleet, ids):
    """End entries; return the time from which no answer may name them."""
    for entry_id in ids:
        fleet.entries[entry_id].is_dead = True
    return fleet.now_s + ENDED_BOUND_S


def remove(fleet, ids):
    """Let entries announce that they leave, and end."""
    for entry_id in ids:
        entry = fleet.entries[entry_id]
        entry.own = attrs.evolve(entry.own, is_ready=False, is_leaving=True)
    fleet.run(1.0)
    return kill(fleet, ids)


def partition_and_kill(fleet, ids):
    """Cut a zone off, end some of its entries, and connect it again."""
    fleet.is_cut = lambda a, b: (a.zone == "z1") != (b.zone == "z1")
    fleet.run(4.0)
    bound_s = kill(fleet, ids)
    fleet.run(PARTITION_S)
    fleet.is_cut = lambda a, b: False
    return max(bound_s, fleet.now_s + STABLE_S)


def kill_while_half_are_paused(fleet, ids):
    """End entries while others stand still."""
    bound_s = kill(fleet, ids)
    resumed_s = fleet.now_s + PAUSE_S
    for entry in list(fleet.entries.values())[::2]:
        entry.paused_until_s = resumed_s
    return max(bound_s, resumed_s + STABLE_S)


class TestEndedEntries(unittest.TestCase):
    def named_by(self, fleet):
        """Return the ids that answers for callers of any zone name beside a running entry."""
        named = set()
        for entry in fleet.entries.values():
            if entry.is_dead or fleet.now_s < entry.paused_until_s:
                continue
            live = entry.membership.live(MemberRole.ENTRY, fleet.now_s)
            for zone in ("z0", "z1", "z2"):
                usable = usable_entries(entry.own, live, zone, MIN_ZONE_ENTRIES)
                named |= {member.id for member in usable}
        return named

    def named_late(self, action, size):
        """Return the ended entries that are named after the bound."""
        fleet = GossipFleet(size, ZONES, loss=0.02)
        fleet.introduce_all()
        fleet.run(4.0)
        ended = {f"e{index}" for index in range(1, size, 4)}
        bound_s = action(fleet, ended)
        fleet.run(bound_s - fleet.now_s)
        named = set()
        while fleet.now_s < bound_s + CHECKED_S:
            named |= self.named_by(fleet) & ended
            fleet.run(SAMPLE_INTERVAL_S)
        return named

    def test_entries_that_ended_are_not_named_after_the_bound(self):
        """Guards against callers who are directed to machines that ended long ago."""
        for size in SIZES:
            for action in (kill, remove, partition_and_kill, kill_while_half_are_paused):
                with self.subTest(size=size, action=action.__name__):
                    self.assertEqual(self.named_late(action, size), set())

    def test_heartbeats_are_needed_to_leave_them_out(self):
        """Guards against a check that could not fail."""
        names = ("SUSPECT_AFTER_S", "SUSPECT_AFTER_LARGE_ZONE_S", "SUSPECT_AFTER_REMOTE_S")
        with mock.patch.multiple(membership, **dict.fromkeys(names, 12.0)):
            self.assertNotEqual(self.named_late(kill, 35), set())


if __name__ == "__main__":
    unittest.main()
