import unittest

from daisystack.core.crash_attribution import CrashAttribution
from daisystack.core.crash_hold import RETENTION_S, CrashHold, Suspicion
from daisystack.core.tickets import Ticket


def ticket(name):
    return Ticket("m1", "1", 1, name)


class TestCrashHold(unittest.TestCase):
    def test_held_after_the_second_death_wherever_it_was_seen(self):
        hold = CrashHold()
        self.assertIs(hold.evaluate("f", 0.0), Suspicion.NONE)
        hold.record_crash("f", 0.0)
        self.assertIs(hold.evaluate("f", 0.0), Suspicion.SUSPECT)
        self.assertIs(hold.evaluate("g", 0.0), Suspicion.NONE)
        hold.update_entry_counts("e2", (("f", 1),), 1.0)
        hold.update_entry_counts("e2", (("f", 1),), 2.0)
        self.assertIs(hold.evaluate("f", 2.0), Suspicion.HELD)
        self.assertIs(hold.evaluate("f", 2.0 + RETENTION_S), Suspicion.NONE)

    def test_what_is_told_is_the_own_count(self):
        hold = CrashHold()
        hold.update_entry_counts("e2", (("f", 1),), 0.0)
        self.assertEqual(hold.own_counts(0.0), ())
        hold.record_crash("f", 0.0)
        self.assertEqual(hold.own_counts(1.0), (("f", 1),))


class TestCrashAttribution(unittest.TestCase):
    def test_all_are_blamed_for_the_first_death_and_the_suspect_for_the_second(self):
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

    def test_who_came_after_the_death_or_ended_before_is_not_blamed(self):
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
