import unittest

from daisystack.core.crash_attribution import CrashAttribution
from daisystack.core.crash_hold import RETENTION_S, CrashHold, Suspicion
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
