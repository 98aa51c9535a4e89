"""Test that tasks survive a failed step and that log lines quote their values."""

import logging
import unittest
from unittest import mock

import eventlet

from daisystack.runtime import tasks
from daisystack.runtime.logs import KeyValueFormatter


class TestTasks(unittest.TestCase):
    def test_failed_step_is_logged_and_next_step_runs(self):
        calls = []

        def step():
            calls.append(len(calls))
            if len(calls) == 1:
                raise KeyError("lost")
            eventlet.sleep(60.0)

        with (
            mock.patch.object(tasks, "FAILED_STEP_PAUSE_S", 0.0),
            self.assertLogs("daisystack.tasks", logging.ERROR) as logged,
        ):
            thread = eventlet.spawn(tasks.run_steps, "test", step)
            with eventlet.Timeout(10):
                while len(calls) < 2:
                    eventlet.sleep(0)
            thread.kill()
        self.assertIn("KeyError", logged.output[0])


class TestLogs(unittest.TestCase):
    def format_record(self, message, **fields):
        formatter = KeyValueFormatter(["message"], rename_fields={"message": "event"})
        record = logging.LogRecord("n", logging.INFO, "f", 1, message, (), None)
        record.__dict__.update(fields)
        return formatter.format(record)

    def test_values_are_quoted_on_one_line(self):
        line = self.format_record(
            "ended", who="m1", error='a "b"\nc=d', took_s=0.12345678, none=None
        )
        expected = 'event=ended who=m1 error="a \\"b\\"\\nc=d" took_s=0.123457 none=None'
        self.assertEqual(line, expected)
