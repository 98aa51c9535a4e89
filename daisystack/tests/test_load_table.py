"""Test the count of requests by second and group from log lines."""

import json
import unittest

from typer.testing import CliRunner

from daisystack.cli import app
from daisystack.runtime import events
from daisystack.tests.test_log_story import Log, build_event

# Time, entry, route, workspace, outcome, status, spent before, first event, prompt tokens.
REQUESTS = (
    (0.1, "e1", "a", "w1", "served", 200, 0.0, 0.3, 100),
    (0.2, "e1", "a", "w2", "served", 200, 0.0, 0.5, 5000),
    (0.3, "e2", "b", "w1", "answered", 503, 0.0, -1.0, 100),
    (1.4, "e2", "b", "w1", "served", 200, 0.9, 0.1, 100),
    (1.5, "e1", "a", "w1", "failed", 502, 0.0, -1.0, 100),
    (1.6, "e1", "a", "w1", "caller_gone", 0, 0.0, -1.0, 100),
)
NAMES = ("route", "workspace", "outcome", "status", "spent_before_s", "first_event_s")


def build_log():
    log = Log()
    for at_s, who, *values in REQUESTS:
        fields = dict(zip((*NAMES, "prompt_tokens"), values, strict=True))
        ended = build_event(events.DirectRequestEnded, objective_s=0.4, reason="r", **fields)
        log.write(who, at_s, ended)
    return "".join(log.lines)


def read_rows(by):
    result = CliRunner().invoke(app, ["load", "--json", "--by", by], input=build_log())
    rows = json.loads(result.stdout)["rows"]
    kept = ("ended", "returned", "in_time", "late", "refused", "failed", "caller_gone")
    return {(row["second"], row["group"]): tuple(row[name] for name in kept) for row in rows}


class TestLoadTable(unittest.TestCase):
    def test_requests_are_counted_by_second_and_group(self):
        cases = {
            "all": {(0, ""): (3, 0, 1, 1, 1, 0, 0), (1, ""): (3, 1, 0, 1, 0, 1, 1)},
            "route": {(0, "b"): (1, 0, 0, 0, 1, 0, 0), (1, "a"): (2, 0, 0, 0, 0, 1, 1)},
            "workspace": {(0, "w2"): (1, 0, 0, 1, 0, 0, 0)},
            "size": {(0, "4096-16383"): (1, 0, 0, 1, 0, 0, 0)},
            "entry": {(0, "e2"): (1, 0, 0, 0, 1, 0, 0)},
        }
        for by, expected in cases.items():
            with self.subTest(by=by):
                rows = read_rows(by)
                self.assertEqual(expected, {key: rows[key] for key in expected})

    def test_table_names_the_main_reason_and_logs_without_requests_are_told(self):
        result = CliRunner().invoke(app, ["load"], input=build_log())
        self.assertIn("main reason", result.stdout)
        self.assertEqual(CliRunner().invoke(app, ["load"], input="\n").exit_code, 1)
