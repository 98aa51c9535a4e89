"""Test requests that wait at an engine whose weight version ends before it has begun them."""

import unittest

import attrs
import eventlet

from daisystack.core.targets import LONG_AGO_S, WeightTarget
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
from daisystack.testing.scripted import ScriptedServer, read_request
from daisystack.tests.test_placement import build_engine_status
from daisystack.tests.test_standstill import chunk, event

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDaisystack-Mark: m\r\n"
    b"Daisystack-Version: %d\r\nTransfer-Encoding: chunked\r\n\r\n"
)
# Time until version 1 ends when a request is sent; just enough for an engine that looks idle.
LEFT_S = 1.7
REPORT_INTERVAL_S = 0.1
PROMPT_HEADERS = {"daisystack_tokens": "100"}
TRICKLE_INTERVAL_S = 0.05
PLAIN_FIELDS = {"service": "llm", "has_engine": True, "slots": 16, "started_ms": 7}


class Site:
    """Two engines: the nearer one holds version 1, which ends, the other one version 2."""

    def __init__(self, test):
        self.closed_s = []
        self.received_requests = []
        self.servers = [ScriptedServer([self.wait_in_queue]), ScriptedServer([self.answer])]
        for server in self.servers:
            test.addCleanup(server.close)
        self.upstreams = [
            build_upstream("a", self.servers[0].address, zone="z1", version=1, **PLAIN_FIELDS),
            build_upstream("b", self.servers[1].address, zone="z2", version=2, **PLAIN_FIELDS),
        ]

    def wait_in_queue(self, sock):
        self.received_requests.append(read_request(sock).lower())
        sock.recv(1)
        self.closed_s.append(now_s())

    def trickle(self, sock):
        """Send a head that never ends, byte by byte, until the connection is closed."""
        self.received_requests.append(read_request(sock).lower())
        try:
            sock.sendall(b"HTTP/1.1 200 OK\r\nA: ")
            while True:
                eventlet.sleep(TRICKLE_INTERVAL_S)
                sock.sendall(b"a")
        except OSError:
            self.closed_s.append(now_s())

    def answer(self, sock):
        self.received_requests.append(read_request(sock).lower())
        events = b"".join(chunk(event(n)) for n in (1, 2))
        sock.sendall(HEAD % 2 + events + b"0\r\n\r\n")

    def build(self, retry_slack=100.0, **route):
        defaults = {"service": "llm", "is_resumable": True, "timeout_s": 4.0, "objective_s": 0.0}
        policy = build_policy(build_route(RequestKind.STREAM, **(defaults | route)))
        requests = build_requests(policy, self.upstreams)
        requests.placement.profiles["llm"] = build_engine_profile()
        requests.published.targets.learn(WeightTarget("m", 1), LONG_AGO_S)
        settings = attrs.evolve(requests.settings, retry_ratio=0.0, retry_slack=retry_slack)
        return attrs.evolve(requests, settings=settings)

    def report(self, requests):
        """Report both engines as idle, as their agents do, until stopped."""
        while True:
            for upstream in self.upstreams:
                status = build_engine_status("x", now_s(), version=upstream.version)
                requests.placement.engines.update(attrs.evolve(status, address=upstream.address))
            eventlet.sleep(REPORT_INTERVAL_S)


class TestWaitingAtTheEnd(unittest.TestCase):
    """An engine keeps a request in its queue for longer than predicted, past the version's end."""

    def serve(self, learned_after_s=0.0, left_s=LEFT_S, is_trickling=False, **options):
        site = Site(self)
        if is_trickling:
            site.servers[0].scripts = [site.trickle]
        requests = site.build(**options)
        reporter = eventlet.spawn(site.report, requests)
        self.addCleanup(reporter.kill)
        eventlet.sleep(0)
        ends_s = now_s() + left_s
        learned_s = ends_s - requests.settings.version_bound_s
        target = WeightTarget("m", 2)
        eventlet.spawn_after(learned_after_s, requests.published.targets.learn, target, learned_s)
        eventlet.sleep(0)
        responder = RecordingResponder()
        requests.handle(build_inbound(daisystack_tokens="100"), responder)
        answered_s = now_s()
        eventlet.sleep(2 * TRICKLE_INTERVAL_S)
        self.assertEqual(len(site.closed_s), 1)
        return site, responder, site.closed_s[0] - ends_s, answered_s - ends_s

    # A request began 74 ms after the bound, after 1.5 s in the queue of a leaving engine.
    def test_request_leaves_the_queue_before_the_version_ends(self):
        _, responder, closed_s, _ = self.serve()
        self.assertLess(closed_s, -0.2)
        self.assertEqual((responder.body, responder.is_done), (event(1) + event(2), True))

    # A version was published after the request had been sent, and what waited was not compared.
    def test_request_leaves_the_queue_when_its_version_is_found_to_end(self):
        _, responder, closed_s, _ = self.serve(learned_after_s=0.3, left_s=1.0)
        self.assertLess(closed_s, -0.2)
        self.assertEqual((responder.body, responder.is_done), (event(1) + event(2), True))

    # Bytes that are no event kept the check from running.
    def test_request_leaves_an_engine_that_sends_bytes_but_no_event(self):
        _, responder, closed_s, _ = self.serve(is_trickling=True)
        self.assertLess(closed_s, 0.0)
        self.assertEqual((responder.body, responder.is_done), (event(1) + event(2), True))

    # The engine may have begun it, so it is neither repeated nor said not to have run.
    def test_non_repeatable_request_leaves_the_queue_and_is_not_repeated(self):
        site, responder, closed_s, answered_s = self.serve(is_resumable=False)
        self.assertLess(closed_s, -0.2)
        self.assertLess(answered_s, 0.0)
        self.assertIn(responder.status, (502, 504))
        self.assertEqual(len(site.received_requests), 1)

    # The bound holds also when the retry budget is spent.
    def test_request_leaves_the_queue_when_no_retry_is_left(self):
        site, responder, closed_s, _ = self.serve(retry_slack=0.0)
        self.assertLess(closed_s, -0.2)
        self.assertIn(responder.status, (502, 504))
        self.assertEqual(len(site.received_requests), 1)


class TestDeadlineOfTheEngine(unittest.TestCase):
    """A close may reach an engine late; the deadline that it got with the request does not."""

    def sent_time_left_s(self, left_s, step_s):
        """Return the time left that the engine gets when its version ends in left_s."""
        received = []

        def script(sock):
            received.append(read_request(sock).lower())
            sock.sendall(HEAD % 1 + chunk(event(1)) + b"0\r\n\r\n")

        site = Site(self)
        site.servers[0].scripts = [script]
        requests = site.build()
        requests.placement.profiles["llm"] = build_engine_profile(step_s=step_s)
        for upstream in site.upstreams:
            status = build_engine_status("x", now_s(), version=upstream.version)
            requests.placement.engines.update(attrs.evolve(status, address=upstream.address))
        learned_s = now_s() + left_s - requests.settings.version_bound_s
        requests.published.targets.learn(WeightTarget("m", 2), learned_s)
        requests.handle(build_inbound(**PROMPT_HEADERS), RecordingResponder())
        return float(received[0].split(b"daisystack-time-left: ")[1].split(b"\r\n")[0])

    # An engine that closes reached late began a request that had been withdrawn.
    def test_engine_gets_the_end_of_its_version_as_deadline(self):
        self.assertLessEqual(self.sent_time_left_s(left_s=3.5, step_s=0.007), 3.5)

    def test_answer_that_may_last_past_the_end_keeps_its_deadline(self):
        self.assertGreater(self.sent_time_left_s(left_s=2.5, step_s=0.03), 3.5)


class TestBegunAnswers(unittest.TestCase):
    """What an engine has begun, or will begin on a newer version, stays there."""

    def serve(
        self,
        script,
        reported_version=lambda age_s: 1,
        ends=((2, LEFT_S),),
        headers=PROMPT_HEADERS,
        **options,
    ):
        """Return the responder and when it was answered, relative to the first end."""
        site = Site(self)
        site.servers[0].scripts = [script]
        requests = site.build(**options)
        started_s = now_s()

        def report():
            while True:
                versions = (reported_version(now_s() - started_s), 3)
                for upstream, version in zip(site.upstreams, versions, strict=True):
                    status = build_engine_status("x", now_s(), version=version)
                    status = attrs.evolve(status, address=upstream.address)
                    requests.placement.engines.update(status)
                eventlet.sleep(REPORT_INTERVAL_S)

        reporter = eventlet.spawn(report)
        self.addCleanup(reporter.kill)
        eventlet.sleep(0)
        for version, left_s in ends:
            learned_s = started_s + left_s - requests.settings.version_bound_s
            requests.published.targets.learn(WeightTarget("m", version), learned_s)
        responder = RecordingResponder()
        requests.handle(build_inbound(**headers), responder)
        return responder, now_s() - started_s - ends[0][1]

    # An answer that is no event stream was cut, though its head had come.
    def test_plain_answer_that_has_begun_is_kept(self):
        def script(sock):
            read_request(sock)
            head = b"HTTP/1.1 200 OK\r\nDaisystack-Mark: m\r\nContent-Length: 4\r\n\r\n"
            sock.sendall(head + b"ab")
            eventlet.sleep(LEFT_S + 0.5)
            sock.sendall(b"cd")

        responder, _ = self.serve(script, is_resumable=False)
        self.assertEqual((responder.status, responder.body), (200, b"abcd"))

    def test_request_stays_at_an_engine_that_has_loaded_the_next_version(self):
        def script(sock):
            read_request(sock)
            eventlet.sleep(LEFT_S + 0.7)
            sock.sendall(HEAD % 2 + chunk(event(1)) + b"0\r\n\r\n")

        responder, _ = self.serve(script, lambda age_s: 1 if age_s < 0.5 else 2)
        self.assertEqual((responder.body, responder.is_done), (event(1), True))

    # A request that states no prompt was held to no end at all.
    def test_request_without_a_prompt_leaves_the_queue(self):
        def wait(sock):
            read_request(sock)
            sock.recv(1)

        responder, answered_s = self.serve(wait, headers={})
        self.assertTrue(responder.is_done)
        self.assertLess(answered_s, -0.2)

    def test_request_leaves_the_queue_before_an_intermediate_version_ends(self):
        def wait(sock):
            read_request(sock)
            sock.recv(1)

        ends = ((2, LEFT_S), (3, LEFT_S + 0.6))
        responder, answered_s = self.serve(wait, lambda age_s: 1 if age_s < 0.5 else 2, ends)
        self.assertTrue(responder.is_done)
        self.assertGreater(answered_s, -0.2)
        self.assertLess(answered_s, 0.6 - 0.2)


if __name__ == "__main__":
    unittest.main()
