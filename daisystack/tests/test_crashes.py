import unittest

from daisystack.core.crash_blame import CrashBlame
from daisystack.core.crash_hold import REMEMBER_S, CrashHold, Suspicion
from daisystack.core.tickets import Ticket


def ticket(name):
    return Ticket("m1", "1", 1, name)


class TestCrashHold(unittest.TestCase):
    def test_held_after_the_second_death_wherever_it_was_seen(self):
        hold = CrashHold()
        self.assertIs(hold.judge("f", 0.0), Suspicion.NONE)
        hold.died("f", 0.0)
        self.assertIs(hold.judge("f", 0.0), Suspicion.SUSPECT)
        self.assertIs(hold.judge("g", 0.0), Suspicion.NONE)
        hold.heard("e2", (("f", 1),), 1.0)
        hold.heard("e2", (("f", 1),), 2.0)
        self.assertIs(hold.judge("f", 2.0), Suspicion.HELD)
        self.assertIs(hold.judge("f", 2.0 + REMEMBER_S), Suspicion.NONE)

    def test_what_is_told_is_the_own_count(self):
        hold = CrashHold()
        hold.heard("e2", (("f", 1),), 0.0)
        self.assertEqual(hold.told(0.0), ())
        hold.died("f", 0.0)
        self.assertEqual(hold.told(1.0), (("f", 1),))


class TestCrashBlame(unittest.TestCase):
    def test_all_are_blamed_for_the_first_death_and_the_suspect_for_the_second(self):
        blame = CrashBlame()
        for name in ("poison", "beside"):
            blame.begin(ticket(name), "x", False)
        blame.died("x")
        self.assertTrue(blame.is_blamed(ticket("poison")) and blame.is_blamed(ticket("beside")))
        blame = CrashBlame()
        blame.begin(ticket("poison"), "x", True)
        blame.begin(ticket("beside"), "x", False)
        self.assertTrue(blame.has_suspect)
        blame.died("x")
        self.assertTrue(blame.is_blamed(ticket("poison")))
        self.assertFalse(blame.is_blamed(ticket("beside")))

    def test_who_came_after_the_death_or_ended_before_is_not_blamed(self):
        blame = CrashBlame()
        blame.begin(ticket("early"), "x", False)
        blame.end(ticket("early"))
        blame.begin(ticket("there"), "x", False)
        blame.died("x")
        blame.begin(ticket("late"), "x", False)
        blame.died("x")
        blame.begin(ticket("next"), "y", False)
        names = ("early", "there", "late", "next")
        self.assertEqual([blame.is_blamed(ticket(n)) for n in names], [False, True, False, False])
