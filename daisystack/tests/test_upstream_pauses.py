"""Test that no request is sent to an upstream that leaves or has asked for a pause."""

import random
import unittest

from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.placement import DirectUpstream, Placement, PlacementRequirements, Refusal
from daisystack.core.traffic import RequestKind
from daisystack.core.upstream_pauses import MAX_PAUSE_S, UpstreamPauses, parse_pause_s
from daisystack.runtime.clock import now_s
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import ScriptedServer, build_answer, send_and_close

DRAIN_S = 4.0
MARK = "Daisystack-Mark: m\r\n"
NOT_RUN = "Daisystack-Not-Run: 1\r\n"
GOOD = send_and_close(build_answer(b"good", head=MARK))
LEAVING = send_and_close(build_answer(b"good", head=MARK + "Daisystack-Leaving: 1\r\n"))


def shed(retry_after):
    head = NOT_RUN + f"Daisystack-Retry-After: {retry_after}\r\n"
    return send_and_close(build_answer(b"", "503 Service Unavailable", head))


# How each kind of attempt looks for an upstream.
SENDERS = {
    "first attempt": {},
    "retry": {"excluded": frozenset({"other"}), "is_bulk_failover": True},
    "resumed stream": {"exact_version": 0, "is_bulk_failover": True},
    "request that was refused before": {"is_resubmission": True},
    "request without an objective": {"first_event_time_left_s": None},
}


class TestSenders(unittest.TestCase):
    """Each way of sending in each state of the only upstream."""

    def choose(self, pauses, at_s, started_ms=1, **requirements):
        placement = Placement(random.Random(1), EngineStatusTable(), pauses=pauses)
        placement.update_upstream(DirectUpstream("u1", "s", "a:1", "z1", 4, True, started_ms))
        return placement.choose(PlacementRequirements("s", "z1", **requirements), at_s)

    def test_a_paused_upstream_gets_nothing_until_the_pause_ends(self):
        for name, requirements in SENDERS.items():
            with self.subTest(name):
                pauses = UpstreamPauses(DRAIN_S)
                pauses.record_pause("u1", 1, 3.0, 10.0)
                self.assertIsInstance(self.choose(pauses, 12.9, **requirements), Refusal)
                self.assertNotIsInstance(self.choose(pauses, 13.1, **requirements), Refusal)

    def test_a_leaving_upstream_is_a_last_resort_well_before_its_drain_time_ends(self):
        for name, requirements in SENDERS.items():
            with self.subTest(name):
                pauses = UpstreamPauses(DRAIN_S)
                pauses.record_leaving("u1", 1, 10.0)
                self.assertNotIsInstance(self.choose(pauses, 11.0, **requirements), Refusal)
                for at_s in (10.0 + DRAIN_S - 1.0, 10.0 + DRAIN_S, 100.0):
                    self.assertIsInstance(self.choose(pauses, at_s, **requirements), Refusal)

    def test_a_new_incarnation_starts_clean(self):
        pauses = UpstreamPauses(DRAIN_S)
        pauses.record_leaving("u1", 1, 10.0)
        pauses.record_pause("u1", 1, 30.0, 10.0)
        self.assertIsInstance(self.choose(pauses, 20.0, started_ms=1), Refusal)
        self.assertNotIsInstance(self.choose(pauses, 20.0, started_ms=2), Refusal)

    def test_another_upstream_is_preferred_to_a_leaving_one(self):
        pauses = UpstreamPauses(DRAIN_S)
        pauses.record_leaving("u1", 1, 10.0)
        placement = Placement(random.Random(1), EngineStatusTable(), pauses=pauses)
        placement.update_upstream(DirectUpstream("u1", "s", "a:1", "z1", 40, True, 1))
        placement.update_upstream(DirectUpstream("u2", "s", "a:2", "z2", 1, True, 1))
        chosen = placement.choose(PlacementRequirements("s", "z1"), 10.1)
        self.assertEqual(chosen.id, "u2")

    def test_callers_are_told_when_the_first_pause_ends(self):
        pauses = UpstreamPauses(DRAIN_S)
        pauses.record_pause("u1", 1, 3.0, 10.0)
        self.assertAlmostEqual(self.choose(pauses, 11.0).retry_after_s, 2.0)

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        pauses = UpstreamPauses(DRAIN_S)
        pauses.record_pause("u1", 1, 5.0, 10.0)
        pauses.record_pause("u1", 1, 1.0, 10.5)
        self.assertTrue(pauses.is_blocked("u1", 1, 14.0))

    def test_records_are_bounded(self):
        pauses = UpstreamPauses(DRAIN_S)
        for index in range(5_000):
            pauses.record_leaving(f"u{index}", 1, float(index))
            pauses.record_pause(f"u{index}", 1, 1.0, float(index))
        self.assertLess(len(pauses._leaving_since_s) + len(pauses._paused_until_s), 200)


class TestValues(unittest.TestCase):
    def test_seconds_are_read_and_bounded(self):
        cases = {"3": 3.0, " 0.25 ": 0.25, "0": 0.0, "99999999": MAX_PAUSE_S}
        self.assertEqual({text: parse_pause_s(text) for text in cases}, cases)

    def test_other_values_are_refused(self):
        for text in ("", "-1", "soon", "1e9", "inf", "nan", "Fri, 04 Dec 2026 09:00:00 GMT"):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_pause_s(text)


class TestResponses(unittest.TestCase):
    """What upstreams say in the head of a response, over real sockets."""

    def build(self, scripts):
        servers = [ScriptedServer([script]) for script in scripts]
        for server in servers:
            self.addCleanup(server.close)
        upstreams = [
            build_upstream(f"u{i}", s.address, slots=100 // (i + 1)) for i, s in enumerate(servers)
        ]
        policy = build_policy(build_route(RequestKind.UNSAFE))
        return servers, build_requests(policy, upstreams)

    def send(self, requests, count=1):
        responders = [RecordingResponder() for _ in range(count)]
        for responder in responders:
            requests.handle(build_inbound(), responder)
        return [responder.status for responder in responders]

    def test_requests_after_a_503_with_retry_after_go_elsewhere(self):
        servers, requests = self.build([shed("5"), GOOD])
        self.assertEqual(self.send(requests, 6), [200] * 6)
        self.assertEqual(servers[0].connections, 1)

    def test_requests_after_a_leaving_answer_go_elsewhere(self):
        servers, requests = self.build([LEAVING, GOOD])
        self.assertEqual(self.send(requests, 6), [200] * 6)
        self.assertEqual((servers[0].connections, servers[1].connections), (1, 5))

    def test_when_all_want_a_pause_the_caller_is_refused_at_once_and_told_when(self):
        servers, requests = self.build([shed("5")])
        responders = [RecordingResponder() for _ in range(3)]
        for responder in responders:
            requests.handle(build_inbound(), responder)
        self.assertEqual([r.status for r in responders], [503] * 3)
        self.assertGreater(float(responders[2].headers[b"Retry-After"]), 4.0)
        self.assertEqual(servers[0].connections, 1)

    # DRAIN: bytes that were no answer of the upstream took it out of use, or paused it.
    def test_notices_in_an_answer_that_is_not_the_upstream_s_own_are_ignored(self):
        heads = {
            "another request": MARK + "Daisystack-Request: other\r\n",
            "unmarked": "",
        }
        for name, head in heads.items():
            for notice in ("Daisystack-Leaving: 1\r\n", "Daisystack-Retry-After: 5\r\n"):
                answer = send_and_close(build_answer(b"", "503 Service Unavailable", head + notice))
                _, requests = self.build([answer])
                self.send(requests)
                with self.subTest((name, notice)):
                    pauses = requests.placement.pauses
                    self.assertFalse(pauses.is_leaving("u0", 0))
                    self.assertFalse(pauses.is_blocked("u0", 0, now_s()))

    def test_a_value_that_is_no_number_is_logged_and_ignored(self):
        servers, requests = self.build([shed("soon")])
        with self.assertLogs("daisystack.requests") as logs:
            self.send(requests, 2)
        events = [record.getMessage() for record in logs.records]
        self.assertIn("upstream_notice_ignored", events)
        self.assertEqual(servers[0].connections, 2)


if __name__ == "__main__":
    unittest.main()
