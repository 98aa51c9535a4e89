"""Test that a store which comes back from an older copy undoes no decision of a running process.

The state machine loses the last writes of a store, gives their revisions out again and writes the
lost values again, while mirrors read the store, watch it and pull from each other with any delay.
"""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from daisystack.core.mirror import DISTRUST_S, LOST_VALUE_HOLD_S, Change, Delta, Mirror, Snapshot

KEYS = ("op/config", "servers/a", "servers/b")


def read_version(key, value):
    return (int(value),) if value.isdigit() else None


def build_mirror(**options):
    return Mirror("", read_version, **options)


def snapshot(values, revision, requested_s, era):
    changes = tuple(Change(key, r, value) for key, (r, value) in values.items())
    return Snapshot(changes, revision, requested_s, era)


class TestEra(unittest.TestCase):
    def setUp(self):
        self.mirror = build_mirror()
        self.mirror.apply_snapshot(
            snapshot({"op/config": (9, b"5"), "servers/a": (8, b"3")}, 9, 1.0, 4)
        )

    def value(self, key):
        change = self.mirror.get(key)
        return change.value if change else None

    def test_older_value_of_a_later_era_is_ignored(self):
        changed = self.mirror.apply_snapshot(snapshot({"op/config": (7, b"4")}, 7, 2.0, 5))
        self.assertEqual(changed, [])
        self.assertEqual(self.value("op/config"), b"5")

    def test_newer_value_of_a_later_era_is_applied_at_a_lower_revision(self):
        self.mirror.apply_snapshot(snapshot({"op/config": (7, b"6")}, 7, 2.0, 5))
        self.assertEqual(self.value("op/config"), b"6")

    def test_value_that_is_written_again_changes_nothing(self):
        self.mirror.apply_snapshot(snapshot({"op/config": (6, b"4")}, 6, 2.0, 5))
        changed = self.mirror.apply_events([Change("op/config", 7, b"5")], 5)
        self.assertEqual(changed, [])
        self.mirror.apply_events([Change("op/config", 8, b"6")], 5)
        self.assertEqual(self.value("op/config"), b"6")

    def test_response_of_an_earlier_era_is_dropped(self):
        self.mirror.apply_snapshot(snapshot({"op/config": (6, b"6")}, 6, 2.0, 5))
        confirmed_s = self.mirror.confirmed_s
        self.mirror.apply_snapshot(snapshot({"op/config": (99, b"5")}, 99, 3.0, 4))
        self.mirror.apply_events([Change("op/config", 99, b"7")], 4)
        self.mirror.apply_delta(Delta((), 99, 0.0, True, 4), 3.0)
        self.mirror.apply_confirmation(6, 0.0, 3.0, era=4)
        self.assertEqual((self.value("op/config"), self.mirror.confirmed_s), (b"6", confirmed_s))

    def test_ages_of_an_earlier_era_prove_nothing(self):
        """Keys that a process believes valid must be confirmed by a read in the present era."""
        self.mirror.apply_delta(Delta((), 6, float("inf"), True, 5), 2.0)
        self.assertEqual(self.mirror.age_s(2.0), float("inf"))

    def test_lost_upstream_is_kept_until_it_had_time_to_register_again(self):
        self.mirror.apply_snapshot(snapshot({}, 6, 2.0, 5))
        self.assertEqual(self.value("servers/a"), b"3")
        self.mirror.apply_snapshot(snapshot({}, 6, 2.0 + LOST_VALUE_HOLD_S, 5))
        self.assertIsNone(self.value("servers/a"))

    # Copies that were only confirmed kept lost values for good, as no full copy was read again.
    def test_lost_value_of_a_confirmed_copy_is_kept_for_as_long_as_without_confirmations(self):
        for confirmed_s in (2.0 + LOST_VALUE_HOLD_S - 0.1, 2.0 + LOST_VALUE_HOLD_S):
            mirror = build_mirror()
            mirror.apply_snapshot(snapshot({"op/a": (9, b"1"), "op/b": (4, b"1")}, 9, 1.0, 4))
            mirror.apply_snapshot(snapshot({"op/b": (4, b"1")}, 6, 2.0, 5))
            mirror.apply_confirmation(6, 0.0, confirmed_s, era=5)
            expired = [change.key for change in mirror.expire_lost_values()]
            is_held = confirmed_s < 2.0 + LOST_VALUE_HOLD_S
            self.assertEqual(expired, [] if is_held else ["op/a"])
            self.assertEqual([c.key for c in mirror.values() if c.key == "op/b"], ["op/b"])
            self.assertEqual(mirror.get("op/a") is not None, is_held)

    def test_upstream_that_left_does_not_come_back_with_an_older_copy(self):
        self.mirror.apply_events([Change("servers/a", 10, None)], 4)
        self.mirror.apply_snapshot(snapshot({"servers/a": (6, b"2")}, 6, 2.0, 5))
        self.assertIsNone(self.value("servers/a"))
        self.mirror.apply_snapshot(snapshot({"servers/a": (7, b"4")}, 7, 3.0, 5))
        self.assertEqual(self.value("servers/a"), b"4")

    def test_distrust_of_left_upstreams_ends(self):
        self.mirror.apply_events([Change("servers/a", 10, None)], 4)
        self.mirror.apply_snapshot(snapshot({"servers/a": (6, b"2")}, 6, 2.0, 5))
        self.mirror.apply_snapshot(snapshot({"servers/a": (6, b"2")}, 6, 2.0 + DISTRUST_S, 5))
        self.assertEqual(self.value("servers/a"), b"2")

    def test_peer_of_another_era_gets_a_full_copy_without_unconfirmed_values(self):
        self.mirror.apply_snapshot(snapshot({"servers/b": (6, b"1")}, 6, 2.0, 5))
        delta = self.mirror.delta_after(9, 2.5, era=4)
        self.assertEqual((delta.is_full, delta.era), (True, 5))
        self.assertEqual([c.key for c in delta.changes], ["servers/b"])

    # A version found by the first read of an era counted from that read, so the old one ended late.
    def test_changes_of_a_new_era_came_after_the_last_confirmation(self):
        mirror = Mirror("op/")
        mirror.apply_snapshot(snapshot({"op/a": (5, b"1")}, 5, 10.0, 1))
        mirror.apply_snapshot(snapshot({"op/a": (3, b"1"), "op/b": (4, b"1")}, 4, 11.5, 2))
        self.assertEqual(mirror.changed_after_s, 10.0)

    def test_second_drill_within_the_first(self):
        self.mirror.apply_snapshot(snapshot({"op/config": (7, b"4")}, 7, 2.0, 5))
        self.mirror.apply_snapshot(snapshot({"op/config": (6, b"3")}, 6, 2.5, 6))
        self.assertEqual(self.value("op/config"), b"5")
        self.assertTrue(self.mirror.is_behind(6, 7))
        self.assertFalse(self.mirror.is_behind(5, 99))

    def test_without_document_versions_an_older_copy_would_undo_a_value(self):
        mirror = Mirror("")
        mirror.apply_snapshot(snapshot({"op/config": (9, b"5")}, 9, 1.0, 4))
        mirror.apply_snapshot(snapshot({"op/config": (7, b"4")}, 7, 2.0, 5))
        self.assertEqual(mirror.get("op/config").value, b"4")


class _EraStateMachine(RuleBasedStateMachine):
    @initialize()
    def initialize_state(self):
        self.now_s, self.revision, self.era = 0.0, 1, 1
        self.next_version = {key: 0 for key in KEYS}
        self.items, self.lost = {}, {}
        self.copy = (1, {})
        self.mirrors = [build_mirror(), build_mirror()]
        self.highest = [{}, {}]
        self.pending = []

    @rule(key=st.sampled_from(KEYS))
    def publish(self, key):
        self.revision += 1
        self.next_version[key] += 1
        self.lost.pop(key, None)
        self.items[key] = (self.revision, str(self.next_version[key]).encode())

    @rule()
    def keep_copy(self):
        self.copy = (self.revision, dict(self.items))

    @rule()
    def restore_copy(self):
        """Lose the writes since the copy; their publishers will write them again."""
        self.lost |= {k: v for k, (r, v) in self.items.items() if r > self.copy[0]}
        self.revision, items = self.copy
        self.items = dict(items)
        self.era += 1

    @rule()
    def write_lost_values_again(self):
        for key, value in self.lost.items():
            self.revision += 1
            self.items[key] = (self.revision, value)
        self.lost = {}

    @rule(elapsed_s=st.floats(0.01, 2.0))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s

    @rule(index=st.integers(0, 1))
    def expire_lost_values(self, index):
        self.mirrors[index].expire_lost_values()

    @rule(index=st.integers(0, 1))
    def read_store(self, index):
        self.pending.append((index, snapshot(self.items, self.revision, self.now_s, self.era)))

    @rule(index=st.integers(0, 1))
    def read_peer(self, index):
        mirror = self.mirrors[index]
        peer = self.mirrors[1 - index]
        delta = peer.delta_after(mirror.complete_revision, self.now_s, mirror.era)
        if delta.complete_revision:
            self.pending.append((index, delta))

    @rule(position=st.integers(0, 50))
    def receive(self, position):
        if not self.pending:
            return
        index, response = self.pending.pop(position % len(self.pending))
        if isinstance(response, Snapshot):
            self.mirrors[index].apply_snapshot(response)
        else:
            self.mirrors[index].apply_delta(response, self.now_s)

    @rule(index=st.integers(0, 1), key=st.sampled_from(KEYS))
    def watch(self, index, key):
        if key in self.items and self.mirrors[index].era == self.era:
            self.mirrors[index].apply_events([Change(key, *self.items[key])], self.era)

    @rule(index=st.integers(0, 1))
    def read_until_settled(self, index):
        """A mirror holds what the store holds once lost values are written again."""
        self.write_lost_values_again()
        mirror = self.mirrors[index]
        mirror.apply_snapshot(snapshot(self.items, self.revision, self.now_s, self.era))
        for key, (_, value) in self.items.items():
            assert mirror.get(key).value == value

    @invariant()
    def versions_never_decrease(self):
        for mirror, highest in zip(self.mirrors, self.highest, strict=True):
            for change in mirror.values():
                version = read_version(change.key, change.value)
                assert version >= highest.get(change.key, (0,))
                highest[change.key] = version

    @invariant()
    def eras_never_decrease(self):
        for mirror in self.mirrors:
            assert mirror.era <= self.era


_EraStateMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
)


class TestInterleavings(_EraStateMachine.TestCase):
    pass
