"""Test that each kind of line can be read back, and the story told from lines."""

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
    """Collect the lines of several processes, written as the daemons write them."""

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
    """Return the lines of a request that two upstreams failed, between other lines."""
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
    def test_each_kind_of_line_is_read_back_as_it_was_written(self):
        for name in events.__all__:
            with self.subTest(kind=name):
                event = build_event(getattr(events, name))
                log = Log()
                log.write("e1", 0.0, event)
                (line,) = read_log_lines(log.lines)
                self.assertEqual((line.who, line.event), ("e1", event_name(event)))
                expected = {k: str(v) for k, v in attrs.asdict(event).items()}
                self.assertEqual(line.fields, expected)

    def test_what_is_no_event_is_passed_over(self):
        lines = ["", "Traceback (most recent call last):", "at=yesterday who=e1 event=x", "a=b"]
        self.assertEqual(list(read_log_lines(lines)), [])

    def test_a_collector_s_prefix_does_no_harm(self):
        lines = [f"  32.38 front-1 {line}" for line in build_site()]
        self.assertEqual(len(list(read_log_lines(lines))), len(lines))


class TestStory(unittest.TestCase):
    def setUp(self):
        self.book = TimelineBuilder()
        self.book.add_lines(read_log_lines(build_site()))
        self.steps = self.book.build("r1")

    def told(self, part):
        return [step.line for step in self.steps if step.kind is part]

    def test_the_request_s_own_lines_come_in_order(self):
        own = [
            (line.event, line.fields.get("end")) for line in self.told(TimelineEntryKind.REQUEST)
        ]
        attempts = [("attempt_ended", "connect_failed"), ("attempt_ended", "answer_cut")]
        self.assertEqual(own, [*attempts, ("direct_request_ended", None)])

    def test_beliefs_are_the_newest_of_its_process_when_it_was_decided(self):
        beliefs = {line.event: line for line in self.told(TimelineEntryKind.STATE)}
        self.assertEqual(set(beliefs), {"policy_taken", "dependency_regained"})
        self.assertEqual(beliefs["policy_taken"].fields["after"], "2")

    def test_its_upstream_s_engine_is_found_by_the_address(self):
        engine = self.told(TimelineEntryKind.ENGINE)
        answers = [line.fields["answer"] for line in engine if line.event == "order_answered"]
        self.assertEqual(answers, ["runner answered 202"])
        self.assertEqual([line.who for line in self.told(TimelineEntryKind.UPSTREAM)], ["e1"])

    def test_others_at_its_last_upstream_are_counted_within_a_second(self):
        self.assertEqual(self.book.count_concurrent_outcomes("r1"), {"caller_gone": 2})

    def test_an_unknown_request_has_no_story(self):
        self.assertEqual(self.book.build("r9"), [])


class TestCommand(unittest.TestCase):
    def setUp(self):
        self.runner = CliRunner()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "site.log"
        self.path.write_text("".join(build_site()))

    def test_a_story_is_told_from_files(self):
        result = self.runner.invoke(app, ["explain", "r1", str(self.path)])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("policy_taken", result.output)
        self.assertIn("2 caller_gone", result.output)
        self.assertLess(result.output.index("connect_failed"), result.output.index("answer_cut"))

    def test_a_story_is_told_from_standard_input(self):
        result = self.runner.invoke(app, ["explain", "r1"], input=self.path.read_text())
        self.assertIn("direct_request_ended: outcome failed", result.output)

    def test_what_cannot_be_told_is_said(self):
        self.assertEqual(self.runner.invoke(app, ["explain", "r9", str(self.path)]).exit_code, 1)
        missing = self.runner.invoke(app, ["explain", "r1", f"{self.path}.gone"])
        self.assertEqual(missing.exit_code, 2)


if __name__ == "__main__":
    unittest.main()
