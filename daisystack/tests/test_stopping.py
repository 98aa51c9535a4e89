import os
import signal
import unittest

import eventlet
from eventlet.hubs import get_hub

from daisystack.runtime.stopping import wait_for_stop

WAIT_S = 2.0


class TestWaitForStop(unittest.TestCase):
    def setUp(self):
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    # A process that looked for a signal ten times a second used a twentieth of its idle
    # processor time and a quarter of its wake-ups for that.
    def test_waiting_sets_no_timer(self):
        timers = get_hub().get_timers_count()
        waiter = eventlet.spawn(wait_for_stop, lambda: None)
        eventlet.sleep(0)
        self.assertLessEqual(get_hub().get_timers_count(), timers)
        os.kill(os.getpid(), signal.SIGTERM)
        with eventlet.Timeout(WAIT_S):
            waiter.wait()

    def test_a_hangup_reloads_and_a_later_stop_signal_ends_the_wait(self):
        for stop in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(stop), eventlet.Timeout(WAIT_S):
                reloaded = eventlet.Event()
                waiter = eventlet.spawn(wait_for_stop, reloaded.send)
                eventlet.sleep(0)
                os.kill(os.getpid(), signal.SIGHUP)
                reloaded.wait()
                self.assertFalse(waiter.dead)
                os.kill(os.getpid(), stop)
                waiter.wait()


if __name__ == "__main__":
    unittest.main()
