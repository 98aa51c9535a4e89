import unittest

from daisystack.core.crash_attribution import CrashAttribution
from daisystack.core.crash_hold import (
    MAX_ENTRIES,
    MAX_FINGERPRINTS,
    MAX_REPORTED,
    RETENTION_S,
    CrashHold,
    EntryCrashCount,
    Suspicion,
)
from daisystack.core.tickets import Ticket


def ticket(name):
    return Ticket("m1", "1", 1, name)


class TestCrashHold(unittest.TestCase):
    def test_a_request_is_held_after_two_crashes_at_any_entries(self):
        hold = CrashHold()
        self.assertIs(hold.evaluate("f", 0.0), Suspicion.NONE)
        hold.record_crash("f", 0.0)
        self.assertIs(hold.evaluate("f", 0.0), Suspicion.SUSPECT)
        self.assertIs(hold.evaluate("g", 0.0), Suspicion.NONE)
        hold.update_entry_counts("e2", (("f", 1),), 1.0)
        hold.update_entry_counts("e2", (("f", 1),), 2.0)
        self.assertIs(hold.evaluate("f", 2.0), Suspicion.HELD)
        self.assertIs(hold.evaluate("f", 2.0 + RETENTION_S), Suspicion.NONE)

    def test_only_own_counts_are_reported(self):
        hold = CrashHold()
        hold.update_entry_counts("e2", (("f", 1),), 0.0)
        self.assertEqual(hold.own_counts(0.0), ())
        hold.record_crash("f", 0.0)
        self.assertEqual(hold.own_counts(1.0), (("f", 1),))

    # BUDGET: an entry that was told of a count did not pass it on, so it stayed in its zone.
    def test_counts_are_passed_on_by_entries_that_heard_of_them(self):
        first, relay, far = (CrashHold(name) for name in ("e1/1", "e2/1", "e3/1"))
        first.record_crash("f", 0.0)
        relay.record_crash("f", 0.5)
        self.assertTrue(relay.merge(first.known_counts(1.0), 1.0))
        self.assertTrue(far.merge(relay.known_counts(2.0), 2.0))
        self.assertIs(far.evaluate("f", 2.0), Suspicion.HELD)
        self.assertFalse(far.merge(relay.known_counts(3.0), 3.0))
        # What comes back is not counted again.
        self.assertFalse(first.merge((EntryCrashCount("e1/1", "f", 1, 3.0),), 3.0))
        self.assertIs(first.evaluate("f", 3.0), Suspicion.SUSPECT)
        self.assertIs(far.evaluate("f", 0.5 + RETENTION_S), Suspicion.NONE)

    def test_an_entry_that_starts_again_learns_what_it_had_counted(self):
        before, other, after = (CrashHold(name) for name in ("e1/1", "e2/1", "e1/2"))
        before.record_crash("f", 0.0)
        before.record_crash("f", 1.0)
        other.merge(before.known_counts(1.0), 1.0)
        after.merge(other.known_counts(2.0), 2.0)
        self.assertIs(after.evaluate("f", 2.0), Suspicion.HELD)

    def test_callers_can_fill_neither_the_memory_nor_a_report(self):
        hold = CrashHold("e1/1")
        for index in range(2 * MAX_FINGERPRINTS):
            hold.merge((EntryCrashCount(f"e{index}", f"f{index}", 1, 0.0),), 1.0)
            hold.merge((EntryCrashCount(f"e{index}", "f", 1, 0.0),), 1.0)
        self.assertLessEqual(len(hold._entry_counts), MAX_FINGERPRINTS)
        self.assertLessEqual(max(map(len, hold._entry_counts.values())), MAX_ENTRIES)
        self.assertEqual(len(hold.known_counts(1.0)), MAX_REPORTED)

    # Two equal requests at one upstream that crashed once were refused everywhere for ten minutes.
    def test_the_crash_of_one_upstream_counts_once(self):
        hold = CrashHold()
        hold.record_crash("f", 0.0, b"u1")
        hold.record_crash("f", 0.1, b"u1")
        self.assertIs(hold.evaluate("f", 0.2), Suspicion.SUSPECT)
        hold.record_crash("f", 0.3, b"u2")
        self.assertIs(hold.evaluate("f", 0.4), Suspicion.HELD)


class TestCrashAttribution(unittest.TestCase):
    def test_a_crash_is_attributed_to_the_suspect_or_else_to_all(self):
        attribution = CrashAttribution()
        for name in ("poison", "beside"):
            attribution.begin(ticket(name), "x", False)
        attribution.record_crash("x")
        self.assertTrue(
            attribution.is_attributed(ticket("poison"))
            and attribution.is_attributed(ticket("beside"))
        )
        attribution = CrashAttribution()
        attribution.begin(ticket("poison"), "x", True)
        attribution.begin(ticket("beside"), "x", False)
        self.assertTrue(attribution.has_suspect)
        attribution.record_crash("x")
        self.assertTrue(attribution.is_attributed(ticket("poison")))
        self.assertFalse(attribution.is_attributed(ticket("beside")))

    def test_requests_before_or_after_a_crash_are_not_attributed(self):
        attribution = CrashAttribution()
        attribution.begin(ticket("early"), "x", False)
        attribution.end(ticket("early"))
        attribution.begin(ticket("there"), "x", False)
        attribution.record_crash("x")
        attribution.begin(ticket("late"), "x", False)
        attribution.record_crash("x")
        attribution.begin(ticket("next"), "y", False)
        names = ("early", "there", "late", "next")
        self.assertEqual(
            [attribution.is_attributed(ticket(n)) for n in names], [False, True, False, False]
        )
