"""Mirrors of what is published: never back, never fresher than proved, under any order of news."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from daisystack.core.mirror import Change, Delta, Mirror, Snapshot

KEYS = ("op/a", "op/b", "op/c")


class TestMirror(unittest.TestCase):
    def test_a_lower_revision_of_a_key_changes_nothing(self):
        mirror = Mirror("op/")
        mirror.take_events([Change("op/a", 5, b"new")])
        self.assertEqual(mirror.take_events([Change("op/a", 4, b"old")]), [])
        self.assertEqual(mirror.get("op/a").value, b"new")

    def test_a_deleted_key_does_not_come_back_by_an_older_word(self):
        mirror = Mirror("op/")
        mirror.take_events([Change("op/a", 5, b"x"), Change("op/a", 6, None)])
        mirror.take_events([Change("op/a", 5, b"x")])
        self.assertIsNone(mirror.get("op/a"))

    def test_what_a_whole_read_lacks_is_gone_unless_it_is_newer(self):
        mirror = Mirror("op/")
        mirror.take_events([Change("op/a", 5, b"x"), Change("op/b", 9, b"y")])
        changed = mirror.take_snapshot(Snapshot((), 7, 1.0))
        self.assertEqual(changed, [Change("op/a", 7, None)])
        self.assertEqual(mirror.get("op/b").value, b"y")

    def test_an_older_read_confirms_nothing(self):
        mirror = Mirror("op/")
        mirror.take_snapshot(Snapshot((), 7, 1.0))
        mirror.take_snapshot(Snapshot((), 6, 2.0))
        self.assertEqual(mirror.confirmed_s, 1.0)

    def test_events_confirm_nothing(self):
        mirror = Mirror("op/")
        mirror.take_snapshot(Snapshot((), 7, 1.0))
        mirror.take_events([Change("op/a", 8, b"x")])
        self.assertEqual((mirror.confirmed_s, mirror.complete_revision), (1.0, 7))

    def test_a_peer_s_age_is_counted_from_the_question(self):
        mirror = Mirror("op/")
        mirror.take_delta(Delta((), 7, 2.0, True), asked_s=10.0)
        self.assertEqual(mirror.age_s(11.0), 3.0)

    def test_a_peer_that_knows_less_confirms_what_is_no_newer_here(self):
        mirror = Mirror("op/")
        mirror.take_snapshot(Snapshot((), 7, 1.0))
        mirror.take_confirmation(6, 0.5, 10.0)
        self.assertEqual(mirror.confirmed_s, 9.5)
        mirror.take_confirmation(8, 0.0, 20.0)
        self.assertEqual(mirror.confirmed_s, 9.5)


class _World(RuleBasedStateMachine):
    """A store, two mirrors that read it and each other with any delay, and their pauses."""

    @initialize()
    def begin(self):
        self.now_s, self.revision = 0.0, 1
        self.items = {}
        # At each moment, the store's revision: for what a belief of a given time must hold.
        self.history = [(0.0, 1)]
        self.mirrors = [Mirror("op/"), Mirror("op/")]
        self.highest = [{}, {}]
        self.flying = []

    @rule(key=st.sampled_from(KEYS), value=st.binary(max_size=2))
    def publish(self, key, value):
        self.revision += 1
        self.items[key] = Change(key, self.revision, value)
        self.history.append((self.now_s, self.revision))

    @rule(key=st.sampled_from(KEYS))
    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((self.now_s, self.revision))

    @rule(passed_s=st.floats(0.01, 5.0))
    def wait(self, passed_s):
        self.now_s += passed_s

    @rule(who=st.integers(0, 1))
    def ask_store(self, who):
        asked_s = self.now_s
        self.flying.append((who, "store", asked_s, None))

    @rule(who=st.integers(0, 1), after=st.integers(0, 3))
    def ask_peer(self, who, after):
        mirror = self.mirrors[who]
        self.flying.append((who, "peer", self.now_s, max(0, mirror.complete_revision - after)))

    @rule(which=st.integers(0, 50), late_s=st.floats(0.0, 4.0))
    def answer(self, which, late_s):
        """Answer any open question; the answer may come long after it was made."""
        if not self.flying:
            return
        who, source, asked_s, after = self.flying.pop(which % len(self.flying))
        mirror = self.mirrors[who]
        if source == "store":
            made = Snapshot(tuple(self.items.values()), self.revision, asked_s)
            self.now_s += late_s
            mirror.take_snapshot(made)
        else:
            made = self.mirrors[1 - who].delta_after(after, self.now_s)
            self.now_s += late_s
            if made.complete_revision:
                mirror.take_delta(made, asked_s)

    @rule(who=st.integers(0, 1), key=st.sampled_from(KEYS))
    def watch(self, who, key):
        if key in self.items:
            self.mirrors[who].take_events([self.items[key]])

    @invariant()
    def nothing_goes_back(self):
        for mirror, highest in zip(self.mirrors, self.highest, strict=True):
            for change in mirror.values():
                assert change.revision >= highest.get(change.key, 0)
                highest[change.key] = change.revision

    @invariant()
    def a_confirmed_mirror_holds_what_the_store_held_then(self):
        for mirror in self.mirrors:
            if mirror.confirmed_s < 0:
                continue
            held_then = max(r for t, r in self.history if t < mirror.confirmed_s or r == 1)
            assert mirror.complete_revision >= held_then


_World.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


class TestInterleavings(_World.TestCase):
    pass
