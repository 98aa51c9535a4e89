import logging
import unittest
from unittest import mock

import eventlet

from daisystack.runtime import tasks
from daisystack.runtime.logs import KeyValueFormatter


class TestTasks(unittest.TestCase):
    def test_a_failed_step_is_logged_and_the_next_one_runs(self):
        seen = []

        def step():
            seen.append(len(seen))
            if len(seen) == 1:
                raise KeyError("lost")
            eventlet.sleep(60.0)

        with (
            mock.patch.object(tasks, "FAILED_STEP_PAUSE_S", 0.0),
            self.assertLogs("daisystack.tasks", logging.ERROR) as logged,
        ):
            thread = eventlet.spawn(tasks.run_steps, "test", step)
            with eventlet.Timeout(10):
                while len(seen) < 2:
                    eventlet.sleep(0)
            thread.kill()
        self.assertIn("KeyError", logged.output[0])


class TestLogs(unittest.TestCase):
    def line(self, message, **fields):
        formatter = KeyValueFormatter(["message"], rename_fields={"message": "event"})
        record = logging.LogRecord("n", logging.INFO, "f", 1, message, (), None)
        record.__dict__.update(fields)
        return formatter.format(record)

    def test_one_line_of_pairs_whatever_the_values_hold(self):
        line = self.line("ended", who="m1", error='a "b"\nc=d', took_s=0.12345678, none=None)
        expected = 'event=ended who=m1 error="a \\"b\\"\\nc=d" took_s=0.123457 none=None'
        self.assertEqual(line, expected)
