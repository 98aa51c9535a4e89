"""Test which requests move to another upstream when the host of their engine is unresponsive."""

import unittest

import attrs

from daisystack.core.requests import MIN_RETRY_TIME_S, RequestState
from daisystack.core.traffic import RequestKind
from daisystack.runtime.clock import now_s
from daisystack.testing.direct import (
    RecordingResponder,
    build_engine_profile,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import ScriptedServer, build_answer, read_request, send_and_close
from daisystack.tests.test_placement import build_engine, build_engine_status, build_placement

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDaisystack-Mark: m\r\n"
    b"Daisystack-Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

TIMEOUT_S = 1.6
# Callers of the platform abandon a stream without events for this long, or longer.
SHORTEST_ABANDONED_GAP_S = 2.0


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def chunk(body):
    return b"%x\r\n%s\r\n" % (len(body), body)


def stall_after(*numbers):
    """Return a script that sends some events and then stalls."""

    def script(sock):
        read_request(sock)
        sock.sendall(HEAD + b"".join(chunk(event(n)) for n in numbers) if numbers else b"")
        sock.recv(1)

    return script


class TestStuck(unittest.TestCase):
    def setUp(self):
        self.placement = build_placement(build_engine("a"))
        self.placement.engines.update(build_engine_status("a", 0.0))
        self.sent = self.placement.begin("a", 100, 0.0)

    def test_request_is_stuck_when_engine_and_agent_are_unresponsive(self):
        self.assertFalse(self.placement.is_stuck(self.sent, 0.7))
        self.assertTrue(self.placement.is_stuck(self.sent, 0.9))
        self.assertTrue(self.placement.is_stuck(self.sent, 90.0))

    def test_agent_report_shows_that_the_host_is_responsive(self):
        self.placement.engines.update(build_engine_status("a", 5.0))
        self.assertFalse(self.placement.is_stuck(self.sent, 5.5))

    def test_events_of_another_request_show_that_the_engine_is_responsive(self):
        other = self.placement.begin("a", 100, 0.0)
        other.last_received_s = 5.0
        self.assertFalse(self.placement.is_stuck(self.sent, 5.5))
        self.placement.end(other, 5.1)
        self.assertFalse(self.placement.is_stuck(self.sent, 5.5))

    def test_unresponsive_plain_upstream_is_never_considered_stuck(self):
        self.placement.update_upstream(build_upstream("p", "p:1"))
        sent = self.placement.begin("p", 0, 0.0)
        self.assertFalse(self.placement.is_stuck(sent, 90.0))

    def test_only_repeatable_requests_with_attempts_left_may_be_abandoned(self):
        for repeatable, attempts, at_s, expected in [
            (True, 2, 1.0, True),
            (False, 2, 1.0, False),
            (True, 1, 1.0, False),
            (True, 2, 4.99, False),
        ]:
            with self.subTest(repeatable=repeatable, attempts=attempts, at_s=at_s):
                state = RequestState(repeatable, 5.0, max_attempts=attempts)
                self.assertIs(state.may_abandon(at_s), expected)


class TestLeaving(unittest.TestCase):
    """An engine freezes under load; its streams continue at another one before their deadline."""

    def setUp(self):
        self.received_requests = []

    def finish_with(self, *numbers):
        def script(sock):
            self.received_requests.append(read_request(sock).lower())
            sock.sendall(HEAD + b"".join(chunk(event(n)) for n in numbers) + b"0\r\n\r\n")

        return script

    def serve(self, first, second, retry_slack=100.0, **route):
        servers = [ScriptedServer([script]) for script in (first, second)]
        for server in servers:
            self.addCleanup(server.close)
        defaults = {
            "service": "llm",
            "is_resumable": True,
            "timeout_s": TIMEOUT_S,
            "objective_s": 0.0,
        }
        policy = build_policy(build_route(RequestKind.STREAM, **(defaults | route)))
        engine = {"service": "llm", "has_engine": True, "version": 1, "slots": 16}
        # The upstream in the entry's own zone is tried first.
        near = build_upstream("a", servers[0].address, zone="z1", **engine)
        far = build_upstream("b", servers[1].address, zone="z2", **engine)
        requests = build_requests(policy, [near, far])
        requests.placement.profiles["llm"] = build_engine_profile()
        settings = attrs.evolve(requests.settings, retry_ratio=0.0, retry_slack=retry_slack)
        responder = RecordingResponder()
        inbound = build_inbound(daisystack_tokens="100")
        attrs.evolve(requests, settings=settings).handle(inbound, responder)
        return responder

    def test_stream_restarts_elsewhere_before_first_event(self):
        responder = self.serve(stall_after(), self.finish_with(1, 2))
        self.assertEqual((responder.body, responder.is_done), (event(1) + event(2), True))

    def test_stream_resumes_elsewhere_after_last_event(self):
        responder = self.serve(stall_after(1), self.finish_with(1, 2))
        self.assertEqual((responder.body, responder.is_done), (event(1) + event(2), True))
        self.assertIn(b"last-event-id: 1\r\n", self.received_requests[0])

    def test_refusal_elsewhere_is_not_reported_as_not_run(self):
        """The stalled engine may still run the request, even if the second engine refused it."""
        shed = send_and_close(
            build_answer(b"", "503 Service Unavailable", "Daisystack-Not-Run: 1\r\n")
        )
        self.assertIn(self.serve(stall_after(), shed).status, (502, 504))

    def test_non_repeatable_stream_stays_until_its_deadline(self):
        responder = self.serve(stall_after(1), self.finish_with(1, 2), is_resumable=False)
        self.assertEqual((responder.body, responder.is_done), (event(1), False))
        self.assertEqual(self.received_requests, [])

    def test_stream_stays_when_no_retry_is_left(self):
        responder = self.serve(stall_after(), self.finish_with(1, 2), retry_slack=0.0)
        self.assertEqual(responder.status, 504)
        self.assertEqual(self.received_requests, [])

    def test_caller_of_a_stream_that_cannot_leave_is_told_in_time_to_retry(self):
        """Guards against callers that wait at a machine that stands still until they give up."""
        started_s = now_s()
        responder = self.serve(stall_after(), self.finish_with(1, 2), retry_slack=0.0)
        self.assertIn(responder.status, (502, 504))
        self.assertLess(now_s() - started_s, TIMEOUT_S - MIN_RETRY_TIME_S)

    def test_caller_of_a_stream_that_cannot_leave_is_told_before_it_abandons_a_gap(self):
        """Guards against streams whose callers leave after a gap, long before their deadline."""
        started_s = now_s()
        self.serve(stall_after(), self.finish_with(1, 2), retry_slack=0.0, timeout_s=3.0)
        self.assertLess(now_s() - started_s, SHORTEST_ABANDONED_GAP_S)


if __name__ == "__main__":
    unittest.main()
