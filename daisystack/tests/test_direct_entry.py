"""Test the wiring of a complete entry: state learned by one component reaches the others."""

import unittest
from unittest import mock

from daisystack.core.cold_parts import SETTLE_S
from daisystack.core.cold_upstreams import ColdBound
from daisystack.core.crash_hold import Suspicion
from daisystack.core.crash_suspects import digest_part, digest_upstream
from daisystack.core.direct_settings import (
    DirectEntrySettings,
    ProcessIdentity,
    WeightAgentSettings,
)
from daisystack.core.membership import Member, MemberRole
from daisystack.core.mirror import Change, Snapshot
from daisystack.core.targets import WeightTarget
from daisystack.core.traffic import Service
from daisystack.runtime.clock import now_s
from daisystack.runtime.direct_entry import DirectEntry
from daisystack.runtime.mesh_task import MeshTask
from daisystack.runtime.piece_task import PieceTask
from daisystack.runtime.weight_agent import WeightAgent
from daisystack.testing.direct import PlainDialect
from daisystack.testing.scripted import free_address
from daisystack.wire import mesh
from daisystack.wire.gen import ttypes


class Reader:
    """Publication reader that knows only weight versions."""

    def read(self, change):
        return WeightTarget("m", int(change.value))

    def upstream_id(self, key):
        return None

    def document_version(self, key, value):
        return (int(value),)


def build_entry(publication_bound_s=2.0, stop_grace_s=8.0, **options):
    addresses = [free_address() for _ in range(6)]
    bounds_s = (1.0, stop_grace_s, publication_bound_s, 5.0, 8.0)
    identity = ProcessIdentity("e1", "z1", "r1", ())
    settings = DirectEntrySettings(identity, *addresses, *bounds_s, 0.2, 100.0, 10.0, **options)
    return DirectEntry(settings, "op/", "up/", None, Reader(), PlainDialect(), None)


def build_mesh_news(version, age_ms=100):
    sender = Member("e2", "i1", MemberRole.ENTRY, "127.0.0.1:1", "", "", "z1", "r1")
    targets = [ttypes.TargetNews("m", version, age_ms)]
    return ttypes.MeshNews(mesh.member_to_wire(sender, 0.0), [], [], [], [], [], targets, b"", [])


class TestTargets(unittest.TestCase):
    def test_pieces_are_pulled_once_whether_store_or_peer_reports_first(self):
        for first in ("store", "peer"):
            with (
                self.subTest(first),
                mock.patch.object(PieceTask, "start_share_pull") as start_share_pull,
            ):
                entry = build_entry()
                if first == "peer":
                    entry.mesh.apply_news(build_mesh_news(2), now_s())
                entry.published.apply_changes(entry.mirrors["op/"], [Change("op/v", 2, b"2")])
                entry.mesh.apply_news(build_mesh_news(2), now_s())
                start_share_pull.assert_called_once_with(WeightTarget("m", 2))


class TestLearning(unittest.TestCase):
    """Requests may begin on a version for a bounded time after the next one was published."""

    def learned_ages(self, apply, confirmed_age_s=1.5, publication_bound_s=2.0):
        entry = build_entry(publication_bound_s)
        mirror = entry.mirrors["op/"]
        first = Snapshot((Change("op/v", 1, b"1"),), 1, now_s() - confirmed_age_s)
        entry.published.apply_changes(mirror, mirror.apply_snapshot(first))
        entry.published.apply_changes(mirror, apply(mirror))
        self.assertEqual(entry.published.targets.version("m"), 2)
        return entry.published.targets.age_s("m", now_s())

    def test_a_version_found_by_a_poll_counts_from_the_poll_before(self):
        """On a narrow link the reader had no watch and found a version most of a second late."""
        changes = (Change("op/v", 2, b"2"),)
        age_s = self.learned_ages(lambda m: m.apply_snapshot(Snapshot(changes, 2, now_s())))
        self.assertAlmostEqual(age_s, 1.5, delta=0.1)

    # With longer bounds mirrors may be three seconds old, but a poll counted two at most.
    def test_a_version_found_by_a_poll_of_an_old_mirror_counts_from_the_poll_before(self):
        changes = (Change("op/v", 2, b"2"),)
        for confirmed_age_s, publication_bound_s in [(1.8, 2.0), (2.4, 3.0), (3.0, 4.0)]:
            with self.subTest(publication_bound_s=publication_bound_s):
                age_s = self.learned_ages(
                    lambda m: m.apply_snapshot(Snapshot(changes, 2, now_s())),
                    confirmed_age_s,
                    publication_bound_s,
                )
                self.assertAlmostEqual(age_s, confirmed_age_s, delta=0.1)

    def test_a_version_found_after_an_outage_counts_for_the_publication_bound(self):
        """The store was away for 30 s; the old version must not end at once with its return."""
        changes = (Change("op/v", 2, b"2"),)
        age_s = self.learned_ages(
            lambda m: m.apply_snapshot(Snapshot(changes, 2, now_s())), 30.0, 3.0
        )
        self.assertAlmostEqual(age_s, 3.0, delta=0.1)

    def test_a_version_found_by_a_watch_counts_from_now(self):
        age_s = self.learned_ages(lambda m: m.apply_events([Change("op/v", 2, b"2")]))
        self.assertLess(age_s, 0.1)


class TestCrashes(unittest.TestCase):
    # BUDGET: entries that each saw one crash must hold the part together, in any zone.
    def test_crashes_spread_over_the_mesh_and_are_passed_on(self):
        self.pass_on(build_entry())

    # BUDGET: when all entries start again at once, what they counted is left with the agents.
    def test_crashes_are_kept_by_an_agent_for_entries_that_start_again(self):
        identity = ProcessIdentity("a1", "z1", "r1", ())
        settings = WeightAgentSettings(
            identity, free_address(), free_address(), "pool", 0.0, "", 2.0, 8.0, 8.0
        )
        self.pass_on(WeightAgent(settings, None), pushes=False)

    def pass_on(self, relay, pushes=True):
        """Let an entry count crashes, tell them to a process and that one to another entry."""
        first, far = build_entry(), build_entry()
        bad, good = digest_part("m", "bad"), digest_part("m", "good")
        suspects = first.requests.crashes.suspects
        suspects.record_complete((good,), now_s() - 5.0)
        for index in range(3):
            upstream = digest_upstream(f"u{index}", 1)
            suspects.record_crash((bad,), upstream, now_s() - 2.0 + 0.5 * index)
            suspects.record_crash((good,), upstream, now_s() - 2.0 + 0.5 * index)
        first.requests.crashes.hold.record_crash("f", now_s())
        first.requests.crashes.hold.record_crash("f", now_s())
        for sender, receiver in ((first, relay), (relay, far)):
            # Each of them pushes the news on, which here has no peers to go to.
            with mock.patch.object(MeshTask, "exchange_news") as exchange_news:
                receiver.mesh.apply_news(sender.mesh.build_news(now_s(), "z1"), now_s())
                self.assertEqual(exchange_news.called, pushes or receiver is far)
        crashes = far.requests.crashes
        self.assertEqual(crashes.suspects.held_parts, frozenset({bad}))
        self.assertIs(crashes.hold.evaluate("f", now_s()), Suspicion.HELD)


class TestReadiness(unittest.TestCase):
    def test_entry_without_state_is_not_ready_and_lists_no_addresses(self):
        entry = build_entry()
        self.assertFalse(entry.is_ready)
        self.assertEqual(entry.addresses_for("z1"), [])

    def test_leaving_entry_is_not_ready(self):
        entry = build_entry()
        entry.leave()
        self.assertTrue(entry.mesh.own.is_leaving)
        self.assertFalse(entry.is_ready)


class TestColdUpstreams(unittest.TestCase):
    # The bound of the settings and the age of the records did not reach the placement.
    def test_settings_and_the_age_of_the_records_reach_the_placement(self):
        entry = build_entry(3.0, cold_overrun=1.5, cold_slack=5.0)
        cold, at_s = entry.placement.cold, now_s()
        cold.update_services({"s": Service("s", 10, cold_limit_per_s=17.0)})
        self.assertEqual(cold.bound, ColdBound(1.5, 5.0))
        for age_s, is_unsure in ((0.5, False), (3.5, True)):
            entry.mirrors["up/"].confirmed_s = at_s - age_s
            self.assertEqual(cold.is_unsure(at_s), is_unsure)
        for step in (0.0, SETTLE_S):
            entry._refresh_shares(at_s + step)
        self.assertTrue(cold.parts.is_settled(at_s + SETTLE_S))

    def test_nothing_is_bounded_without_the_setting(self):
        cold = build_entry().placement.cold
        cold.update_services({"s": Service("s", 10, cold_limit_per_s=17.0)})
        self.assertFalse(cold.is_unsure(now_s()))
