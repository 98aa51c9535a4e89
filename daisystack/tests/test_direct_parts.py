"""Test settings reload, non-blocking logging, request log lines and documented metrics."""

import logging
import os
import re
import tempfile
import unittest
from pathlib import Path

import eventlet

from daisystack.core.log_rate_limit import LogRateLimiter
from daisystack.core.settings import SettingsRefused
from daisystack.runtime.logs import BURST_LINES, BoundedHandler, build_formatter
from daisystack.runtime.settings_watch import SettingsWatch
from daisystack.testing.direct import build_inbound, build_policy, build_requests, build_route
from daisystack.tests.test_direct_entry import build_entry

DOCS = Path(__file__).parent.parent.parent / "docs"


class TestSettingsWatch(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings"
        self.path.write_text("seeds=1")
        self.applied = []
        self.watch = SettingsWatch(self.path, self.apply)
        self.watch._text = self.path.read_text()

    def apply(self, text):
        if "bad" in text:
            raise SettingsRefused("1 setting refused", [ValueError("seeds: got bad")])
        self.applied.append(text)

    def test_changed_file_is_applied_once(self):
        self.watch.check_for_changes()
        self.path.write_text("seeds=2")
        self.watch.check_for_changes()
        self.watch.check_for_changes()
        self.assertEqual(self.applied, ["seeds=2"])

    def test_invalid_or_missing_file_is_ignored_and_next_valid_one_applied(self):
        self.path.write_text("seeds=bad")
        with self.assertLogs("daisystack.settings") as logs:
            self.watch.check_for_changes()
            self.path.unlink()
            self.watch.check_for_changes()
        self.assertIn("seeds: got bad", str([r.faults for r in logs.records]))
        self.path.write_text("seeds=3")
        self.watch.check_for_changes()
        self.assertEqual(self.applied, ["seeds=3"])


class TestLogs(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.handler = BoundedHandler(self.writer)
        self.handler.setFormatter(build_formatter("e1"))

    def emit(self, count):
        for number in range(count):
            record = logging.LogRecord("x", logging.INFO, "", 0, f"line {number}", (), None)
            self.handler.emit(record)

    def test_rate_limiter_limits_burst_and_rate(self):
        rate_limiter = LogRateLimiter(lines_per_s=10.0, burst_lines=5.0)
        self.assertEqual(sum(rate_limiter.try_consume(0.0) for _ in range(50)), 5)
        self.assertEqual(sum(rate_limiter.try_consume(1.0 + 0.01 * i) for i in range(100)), 5 + 9)
        self.assertEqual(rate_limiter.pop_dropped(), 45 + 86)

    def test_excess_volume_is_limited_and_reported(self):
        os.set_blocking(self.reader, False)
        self.emit(int(3 * BURST_LINES))
        written = os.read(self.reader, 1_000_000).count(b"\n")
        self.assertLessEqual(written, 2 * BURST_LINES)
        self.handler.rate_limiter._tokens = 2.0
        self.emit(1)
        self.assertIn(b"event=log_lines_left_out", os.read(self.reader, 1_000_000))

    def test_stalled_reader_does_not_block_logging(self):
        self.handler.rate_limiter = LogRateLimiter(1e9, 1e9)
        self.emit(20_000)
        self.assertGreater(self.handler.rate_limiter.dropped, 0)

    def test_logging_never_switches_to_another_green_thread(self):
        """A switch lets a second thread write at once, which the event loop refuses by raising."""
        switches = []
        other = eventlet.spawn(lambda: switches.append("other thread ran"))
        self.addCleanup(other.kill)
        self.emit(5)
        self.assertEqual(switches, [])
        writers = [eventlet.spawn(self.emit, 20) for _ in range(5)]
        for writer in writers:
            writer.wait()
        self.assertEqual(os.read(self.reader, 1_000_000).count(b"\n"), 5 + 5 * 20)


class TestRequestLines(unittest.TestCase):
    def test_request_ends_with_one_log_line(self):
        from daisystack.testing.direct import RecordingResponder

        requests = build_requests(build_policy(build_route()), [], confirmed_age_s=2.0)
        with self.assertLogs("daisystack.requests") as logs:
            requests.handle(build_inbound(daisystack_request="abc"), RecordingResponder())
        self.assertEqual(len(logs.records), 1)
        line = logs.records[0]
        self.assertEqual(line.getMessage(), "direct_request_ended")
        self.assertEqual((line.request_id, line.status, line.verdict), ("abc", 503, "not_run"))
        self.assertEqual((line.policy_version, line.outcome), (1, "answered"))
        self.assertGreaterEqual(line.belief_age_s, 2.0)


class TestMetrics(unittest.TestCase):
    def test_docs_list_every_served_metric(self):
        listed = set(re.findall(r"`(daisystack_[a-z_]+)", (DOCS / "OPERATIONS.md").read_text()))
        entry = build_entry()
        served = set(re.findall(rb"# TYPE (daisystack_[a-z_]+)", entry.metrics.text()))
        self.assertGreater(len(served), 10)
        self.assertEqual({name.decode() for name in served} - listed, set())
