"""Test what the probe of held-up green threads counts."""

import gc
import time
import unittest
from unittest import mock

import eventlet
import eventlet.patcher

from daisystack.testing.processor import read_processor_wait_s as read
from daisystack.testing.scripted import measure_stalls

WAIT = "daisystack.testing.processor.read_processor_wait_s"
HELD_S = 0.1
blocking_sleep = eventlet.patcher.original("time").sleep


def block():
    blocking_sleep(HELD_S)


def compute():
    end_s = time.thread_time() + HELD_S
    while time.thread_time() < end_s:
        pass


def measure(action, waits_s):
    """Return the longest stall beside the action; waits_s are added to the readings of the wait."""
    added = iter(waits_s)
    last_s = waits_s[-1]
    with mock.patch(WAIT, lambda: read() + next(added, last_s)), measure_stalls() as probe:
        action()
        eventlet.sleep(0.01)
    return probe.longest_s


class TestStallProbe(unittest.TestCase):
    def test_blocking_and_computing_without_giving_way_are_counted(self):
        for action in (block, compute):
            with self.subTest(action.__name__):
                self.assertGreaterEqual(measure(action, [0.0]), HELD_S - 0.01)

    # A CI run beside other load was red because its process got no processor for 0.13 s.
    def test_time_without_a_processor_is_not_counted(self):
        self.assertLess(measure(block, [0.0, HELD_S]), HELD_S / 2)

    # A CI run was red because a collection of the other tests' objects took 0.18 s.
    def test_objects_of_other_tests_are_not_collected_meanwhile(self):
        with measure_stalls():
            self.assertGreater(gc.get_freeze_count(), 10_000)
        self.assertEqual(gc.get_freeze_count(), 0)

    def test_a_wait_hides_no_more_than_itself(self):
        self.assertGreaterEqual(measure(block, [0.0, HELD_S / 2]), HELD_S / 2)


if __name__ == "__main__":
    unittest.main()
