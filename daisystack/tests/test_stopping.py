import os
import signal
import unittest
from unittest import mock

import eventlet

from daisystack.runtime.stopping import wait_for_stop

WAIT_S = 2.0
# Three times the interval at which signals were looked for.
IDLE_S = 0.3


class TestWaitForStop(unittest.TestCase):
    def setUp(self):
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    # A process that looked for a signal ten times a second used a twentieth of its idle
    # processor time and a quarter of its wake-ups for that.
    def test_waiting_sets_no_timer(self):
        wait, sleepers = eventlet.sleep, []

        def record(seconds=0):
            sleepers.append(eventlet.getcurrent())
            wait(seconds)

        # Tasks of other tests may still run in this process.
        with mock.patch.object(eventlet, "sleep", record):
            waiter = eventlet.spawn(wait_for_stop, lambda: None)
            wait(IDLE_S)
        self.assertNotIn(waiter, sleepers)
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
