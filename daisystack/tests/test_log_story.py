"""Test the parsing of each kind of log line and the timeline built from the lines."""

import logging
import tempfile
import unittest
from pathlib import Path

import attrs
from typer.testing import CliRunner

from daisystack.cli import app
from daisystack.core.log_lines import read_log_lines
from daisystack.core.request_timeline import TimelineBuilder, TimelineEntryKind
from daisystack.runtime import events
from daisystack.runtime.logs import build_formatter, event_name

SAMPLES = {"str": 'a "quoted" = word', "int": 7, "float": 0.25, "bool": True}
START_S = 1_780_000_000.0


class Log:
    """Collect log lines of several processes in the format that the daemons write."""

    def __init__(self):
        self.lines = []

    def write(self, who, after_s, event):
        record = logging.makeLogRecord(
            {"msg": event_name(event), "created": START_S + after_s, "msecs": after_s % 1 * 1000}
            | attrs.asdict(event)
        )
        self.lines.append(build_formatter(who).format(record) + "\n")


def build_event(kind, **given):
    fields = {f.name: SAMPLES[f.type] for f in attrs.fields(kind)}
    return kind(**(fields | given))


def build_site():
    """Return log lines with one request that failed at two upstreams, and unrelated lines."""
    log = Log()
    engine = {"upstream": "u2", "address": "10.0.0.9:80"}
    started = build_event(events.DaemonStarted, role="agent", http_address="10.0.0.9:80")
    log.write("agent-2", 0.0, started)
    for at_s, version in [(0.0, 1), (1.0, 2), (9.0, 3)]:
        log.write("e1", at_s, build_event(events.PolicyTaken, after=version))
    log.write("e2", 1.5, build_event(events.PolicyTaken, after=99))
    log.write("e1", 1.0, build_event(events.DependencyLost, dependency="store"))
    log.write("e1", 2.0, build_event(events.DependencyRegained, dependency="store"))
    log.write("e1", 2.0, build_event(events.UpstreamChanged, **engine))
    log.write("agent-2", 5.2, build_event(events.OrderAnswered, answer="runner answered 202"))
    log.write("agent-2", 50.0, build_event(events.OrderAnswered, answer="much later"))
    attempts = [("u1", 5.1, "connect_failed"), ("u2", 5.5, "answer_cut")]
    for number, (upstream, at_s, end) in enumerate(attempts, 1):
        fields = {"request_id": "r1", "attempt": number, "upstream": upstream, "end": end}
        log.write("e1", at_s, build_event(events.AttemptEnded, took_s=0.1, **fields))
    ended = {"request_id": "r1", "upstream": "u2", "outcome": "failed", "took_s": 0.5}
    log.write("e1", 5.5, build_event(events.DirectRequestEnded, **ended))
    for other, at_s in [("r2", 5.0), ("r3", 6.0), ("r4", 30.0)]:
        fields = {"request_id": other, "upstream": "u2", "outcome": "caller_gone"}
        log.write("e2", at_s, build_event(events.DirectRequestEnded, **fields))
    return log.lines


class TestLineKinds(unittest.TestCase):
    def test_each_event_round_trips_through_a_log_line(self):
        for name in events.__all__:
            with self.subTest(kind=name):
                event = build_event(getattr(events, name))
                log = Log()
                log.write("e1", 0.0, event)
                (line,) = read_log_lines(log.lines)
                self.assertEqual((line.who, line.event), ("e1", event_name(event)))
                expected = {k: str(v) for k, v in attrs.asdict(event).items()}
                self.assertEqual(line.fields, expected)

    def test_lines_without_an_event_are_skipped(self):
        lines = ["", "Traceback (most recent call last):", "at=yesterday who=e1 event=x", "a=b"]
        self.assertEqual(list(read_log_lines(lines)), [])

    def test_log_collector_prefix_is_ignored(self):
        lines = [f"  32.38 front-1 {line}" for line in build_site()]
        self.assertEqual(len(list(read_log_lines(lines))), len(lines))


class TestStory(unittest.TestCase):
    def setUp(self):
        self.builder = TimelineBuilder()
        self.builder.add_lines(read_log_lines(build_site()))
        self.entries = self.builder.build("r1")

    def lines_of(self, kind):
        return [entry.line for entry in self.entries if entry.kind is kind]

    def test_request_lines_are_in_time_order(self):
        request_lines = [
            (line.event, line.fields.get("end"))
            for line in self.lines_of(TimelineEntryKind.REQUEST)
        ]
        attempts = [("attempt_ended", "connect_failed"), ("attempt_ended", "answer_cut")]
        self.assertEqual(request_lines, [*attempts, ("direct_request_ended", None)])

    def test_state_entries_are_the_latest_before_the_request_started(self):
        state_lines = {line.event: line for line in self.lines_of(TimelineEntryKind.STATE)}
        self.assertEqual(set(state_lines), {"policy_taken", "dependency_regained"})
        self.assertEqual(state_lines["policy_taken"].fields["after"], "2")

    def test_engine_is_found_by_upstream_address(self):
        engine = self.lines_of(TimelineEntryKind.ENGINE)
        answers = [line.fields["answer"] for line in engine if line.event == "order_answered"]
        self.assertEqual(answers, ["runner answered 202"])
        self.assertEqual([line.who for line in self.lines_of(TimelineEntryKind.UPSTREAM)], ["e1"])

    def test_concurrent_requests_at_last_upstream_are_counted_within_one_second(self):
        self.assertEqual(self.builder.count_concurrent_outcomes("r1"), {"caller_gone": 2})

    def test_unknown_request_has_empty_timeline(self):
        self.assertEqual(self.builder.build("r9"), [])


class TestCommand(unittest.TestCase):
    def setUp(self):
        self.runner = CliRunner()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "site.log"
        self.path.write_text("".join(build_site()))

    def test_timeline_is_built_from_files(self):
        result = self.runner.invoke(app, ["explain", "r1", str(self.path)])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("policy_taken", result.output)
        self.assertIn("2 caller_gone", result.output)
        self.assertLess(result.output.index("connect_failed"), result.output.index("answer_cut"))

    def test_timeline_is_built_from_standard_input(self):
        result = self.runner.invoke(app, ["explain", "r1"], input=self.path.read_text())
        self.assertIn("direct_request_ended: outcome failed", result.output)

    def test_unknown_request_and_missing_file_exit_with_an_error(self):
        self.assertEqual(self.runner.invoke(app, ["explain", "r9", str(self.path)]).exit_code, 1)
        missing = self.runner.invoke(app, ["explain", "r1", f"{self.path}.gone"])
        self.assertEqual(missing.exit_code, 2)


if __name__ == "__main__":
    unittest.main()
