"""Test that mirrors never revert and never claim to be fresher than confirmed.

The state machine delivers snapshots, deltas and watch events late and in any order.
"""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from daisystack.core.mirror import Change, Delta, Mirror, Snapshot

KEYS = ("op/a", "op/b", "op/c")


class TestMirror(unittest.TestCase):
    def test_event_with_lower_revision_is_ignored(self):
        mirror = Mirror("op/")
        mirror.apply_events([Change("op/a", 5, b"new")])
        self.assertEqual(mirror.apply_events([Change("op/a", 4, b"old")]), [])
        self.assertEqual(mirror.get("op/a").value, b"new")

    def test_older_event_does_not_restore_deleted_key(self):
        mirror = Mirror("op/")
        mirror.apply_events([Change("op/a", 5, b"x"), Change("op/a", 6, None)])
        mirror.apply_events([Change("op/a", 5, b"x")])
        self.assertIsNone(mirror.get("op/a"))

    def test_snapshot_deletes_missing_keys_unless_newer(self):
        mirror = Mirror("op/")
        mirror.apply_events([Change("op/a", 5, b"x"), Change("op/b", 9, b"y")])
        changed = mirror.apply_snapshot(Snapshot((), 7, 1.0))
        self.assertEqual(changed, [Change("op/a", 7, None)])
        self.assertEqual(mirror.get("op/b").value, b"y")

    def test_older_snapshot_does_not_update_confirmation_time(self):
        mirror = Mirror("op/")
        mirror.apply_snapshot(Snapshot((), 7, 1.0))
        mirror.apply_snapshot(Snapshot((), 6, 2.0))
        self.assertEqual(mirror.confirmed_s, 1.0)

    def test_events_do_not_update_confirmation_time(self):
        mirror = Mirror("op/")
        mirror.apply_snapshot(Snapshot((), 7, 1.0))
        mirror.apply_events([Change("op/a", 8, b"x")])
        self.assertEqual((mirror.confirmed_s, mirror.complete_revision), (1.0, 7))

    def test_delta_age_is_measured_from_request_time(self):
        mirror = Mirror("op/")
        mirror.apply_delta(Delta((), 7, 2.0, True), requested_s=10.0)
        self.assertEqual(mirror.age_s(11.0), 3.0)

    def test_a_copy_behind_by_what_a_watch_found_is_behind(self):
        """Guards against changes found by a watch that no peer hears of until the next read."""
        watching, other = Mirror("op/"), Mirror("op/")
        for mirror in (watching, other):
            mirror.apply_snapshot(Snapshot((Change("op/a", 4, b"x"),), 7, 1.0))
        watching.apply_events([Change("op/a", 9, b"y")])
        self.assertTrue(other.is_behind(0, 7, watching.newest_revision))
        other.apply_delta(watching.delta_after(7, 2.0), 2.0)
        self.assertFalse(other.is_behind(0, 7, watching.newest_revision))
        self.assertEqual((other.get("op/a").value, other.complete_revision), (b"y", 7))

    def test_a_value_that_the_peer_holds_is_not_sent_again(self):
        """Guards against a long value that crosses a link for each newer position."""
        mirror, other = Mirror("op/"), Mirror("op/")
        for copy in (mirror, other):
            copy.apply_snapshot(Snapshot((), 7, 1.0))
            copy.apply_events([Change("op/a", 9, b"long")])
        mirror.apply_snapshot(
            Snapshot((Change("op/a", 9, b"long"), Change("op/b", 8, b"")), 9, 2.0)
        )
        delta = mirror.delta_after(7, 2.0, 0, other.revisions_ahead())
        self.assertEqual([change.key for change in delta.changes], ["op/b"])
        other.apply_delta(delta, 2.0)
        self.assertEqual((other.complete_revision, len(other)), (9, 2))

    def test_a_read_of_another_prefix_confirms_only_what_it_explains(self):
        """Guards against reads of a long document to confirm it after each change elsewhere."""
        mirror = Mirror("op/")
        mirror.apply_snapshot(Snapshot((Change("op/a", 4, b"x"),), 7, 1.0))
        mirror.apply_events([Change("op/a", 8, b"y"), Change("op/a", 9, b"z")])
        up = (Change("up/a", 3, b""), Change("up/b", 11, b""))
        mirror.apply_other_prefix(Snapshot(up, 11, 2.0))
        self.assertEqual((mirror.complete_revision, mirror.confirmed_s), (7, 1.0))
        mirror.apply_other_prefix(Snapshot((*up, Change("up/c", 10, b"")), 11, 3.0))
        self.assertEqual((mirror.complete_revision, mirror.confirmed_s), (11, 3.0))
        mirror.apply_other_prefix(Snapshot(up, 11, 4.0, era=1))
        self.assertEqual(mirror.confirmed_s, 3.0)

    def test_copies_of_the_same_position_are_not_behind_each_other(self):
        """Guards against endless pulls between a copy that saw a deletion and one that read it."""
        read, watched = Mirror("op/"), Mirror("op/")
        for mirror in (read, watched):
            mirror.apply_snapshot(Snapshot((Change("op/a", 4, b"x"),), 7, 1.0))
        watched.apply_events([Change("op/a", 8, None)])
        read.apply_snapshot(Snapshot((), 9, 2.0))
        watched.apply_snapshot(Snapshot((), 9, 2.0))
        self.assertFalse(read.is_behind(0, 9, watched.newest_revision))
        self.assertFalse(watched.is_behind(0, 9, read.newest_revision))

    def test_confirmation_applies_only_up_to_own_complete_revision(self):
        mirror = Mirror("op/")
        mirror.apply_snapshot(Snapshot((), 7, 1.0))
        mirror.apply_confirmation(6, 0.5, 10.0)
        self.assertEqual(mirror.confirmed_s, 9.5)
        mirror.apply_confirmation(8, 0.0, 20.0)
        self.assertEqual(mirror.confirmed_s, 9.5)


class _MirrorStateMachine(RuleBasedStateMachine):
    """Model a store and two mirrors that read it and each other with arbitrary delays."""

    @initialize()
    def initialize_state(self):
        self.now_s, self.revision = 0.0, 1
        self.items = {}
        self.others = {}
        # (time, revision) of the store, to check what a mirror confirmed at a time must hold.
        self.history = [(0.0, 1)]
        # The store's items at each revision.
        self.items_at = {1: {}}
        self.mirrors = [Mirror("op/"), Mirror("op/")]
        self.highest = [{}, {}]
        self.pending = []

    @rule(key=st.sampled_from(KEYS), value=st.binary(max_size=2))
    def publish(self, key, value):
        self.revision += 1
        self.items[key] = Change(key, self.revision, value)
        self._record_history()

    @rule(key=st.sampled_from(KEYS))
    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._record_history()

    @rule(key=st.sampled_from(("up/a", "up/b")), is_deleted=st.booleans())
    def change_other_prefix(self, key, is_deleted):
        self.revision += 1
        self.others[key] = Change(key, self.revision, b"")
        if is_deleted:
            del self.others[key]
        self._record_history()

    def _record_history(self):
        self.history.append((self.now_s, self.revision))
        self.items_at[self.revision] = dict(self.items)

    @rule(elapsed_s=st.floats(0.01, 5.0))
    def wait(self, elapsed_s):
        self.now_s += elapsed_s

    @rule(mirror_index=st.integers(0, 1))
    def request_store(self, mirror_index):
        requested_s = self.now_s
        self.pending.append((mirror_index, "store", requested_s, None))

    @rule(mirror_index=st.integers(0, 1), after=st.integers(0, 3))
    def request_peer(self, mirror_index, after):
        mirror = self.mirrors[mirror_index]
        asked = (max(0, mirror.complete_revision - after), mirror.revisions_ahead())
        self.pending.append((mirror_index, "peer", self.now_s, asked))

    @rule(mirror_index=st.integers(0, 1), delay_s=st.floats(0.0, 4.0))
    def read_other_prefix(self, mirror_index, delay_s):
        others = tuple(self.others.values())
        snapshot = Snapshot(others, self.revision, self.now_s)
        self.now_s += delay_s
        self.mirrors[mirror_index].apply_other_prefix(snapshot)

    @rule(index=st.integers(0, 50), delay_s=st.floats(0.0, 4.0))
    def receive_response(self, index, delay_s):
        """Deliver the response to any pending request; it may arrive long after it was created."""
        if not self.pending:
            return
        mirror_index, source, requested_s, asked = self.pending.pop(index % len(self.pending))
        mirror = self.mirrors[mirror_index]
        if source == "store":
            response = Snapshot(tuple(self.items.values()), self.revision, requested_s)
            self.now_s += delay_s
            mirror.apply_snapshot(response)
        else:
            after, held = asked
            response = self.mirrors[1 - mirror_index].delta_after(after, self.now_s, 0, held)
            self.now_s += delay_s
            if response.complete_revision:
                mirror.apply_delta(response, requested_s)

    @rule(mirror_index=st.integers(0, 1), key=st.sampled_from(KEYS))
    def watch(self, mirror_index, key):
        if key in self.items:
            self.mirrors[mirror_index].apply_events([self.items[key]])

    @invariant()
    def revisions_never_decrease(self):
        for mirror, highest in zip(self.mirrors, self.highest, strict=True):
            for change in mirror.values():
                assert change.revision >= highest.get(change.key, 0)
                highest[change.key] = change.revision

    @invariant()
    def confirmed_mirror_holds_store_state(self):
        for mirror in self.mirrors:
            if mirror.confirmed_s < 0:
                continue
            store_revision = max(r for t, r in self.history if t < mirror.confirmed_s or r == 1)
            assert mirror.complete_revision >= store_revision
            held = {change.key: change.revision for change in mirror.values()}
            for key, change in self.items_at[store_revision].items():
                # A key that is missing was deleted later.
                assert held.get(key, change.revision) >= change.revision
                assert key in held or key not in self.items_at[mirror.complete_revision]


_MirrorStateMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


class TestInterleavings(_MirrorStateMachine.TestCase):
    pass
