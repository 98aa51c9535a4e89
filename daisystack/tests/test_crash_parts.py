"""Test an entry whose upstreams are crashed by requests with one part in their prompts."""

import unittest
from unittest import mock

import eventlet

from daisystack.core.traffic import RequestKind
from daisystack.runtime.crash_watch import CrashWatch, _Probe, _probe
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import ScriptedServer, read_request, reset

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    b"Daisystack-Mark: m\r\nDaisystack-Request: %s\r\n\r\n"
)
EVENT = b"id: 1\ndata: x\n\n"
CAUSE = b"parts: shared,bad,"


class CrashingEngine:
    """Answer requests until one with the bad part begins; then stop listening and reset it.

    stops_after_s is None for an engine that breaks off the answer and goes on listening.
    """

    def __init__(self, stops_after_s=0.0):
        self.stops_after_s = stops_after_s
        self.bad_requests = 0
        self.server = ScriptedServer([self.answer])

    def answer(self, sock):
        request = read_request(sock)
        if not request:
            return
        name = request.partition(b"daisystack-request: ")[2].partition(b"\r\n")[0]
        sock.sendall(HEAD % name)
        if CAUSE in request:
            self.bad_requests += 1
            if self.stops_after_s is not None:
                eventlet.spawn_after(self.stops_after_s, self.server.close)
            sock.sendall(b"5\r\nid: 1\r\n")
            eventlet.sleep(0.02)
            reset(0)(sock)
            return
        sock.sendall(b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENT), EVENT))


class TestPartThatCrashesUpstreams(unittest.TestCase):
    def setUp(self):
        self.requests = build_requests(
            build_policy(build_route(RequestKind.STREAM, max_attempts=1)), []
        )
        self.engines = []

    def tearDown(self):
        for engine in self.engines:
            engine.server.close()

    def start_engine(self, **options):
        engine = CrashingEngine(**options)
        name = f"u{len(self.engines)}"
        for index in range(len(self.engines)):
            self.requests.placement.remove_upstream(f"u{index}")
        self.engines.append(engine)
        self.requests.placement.update_upstream(build_upstream(name, engine.server.address))

    def send(self, *parts):
        self.count = getattr(self, "count", 0) + 1
        inbound = build_inbound(
            body=b"%d" % self.count,
            daisystack_request=f"r{self.count}",
            daisystack_tokens="100",
            daisystack_parts=",".join((*parts, f"own{self.count}")),
        )
        responder = RecordingResponder()
        self.requests.handle(inbound, responder)
        return responder

    def crash_engines(self, count, **options):
        for _ in range(count):
            self.start_engine(**options)
            self.send("shared")
            self.send("shared", "bad")
            eventlet.sleep(0.3)

    # BUDGET: requests that shared one part, and were otherwise unlike, were sent on without end.
    def test_unlike_requests_with_one_part_are_held_by_the_fifth_crash(self):
        self.crash_engines(8)
        self.assertLessEqual(sum(engine.bad_requests for engine in self.engines), 5)
        self.assertEqual(self.send("shared", "bad").status, 502)

    # BUDGET: a process that ends may accept the probe of its listener a moment after the reset.
    def test_an_engine_that_listens_a_moment_longer_has_crashed_too(self):
        self.crash_engines(6, stops_after_s=0.1)
        self.assertLessEqual(sum(engine.bad_requests for engine in self.engines), 5)
        self.assertEqual(self.requests.crashes.crashes_counted, 3)

    # BUDGET: a request whose answer had no head yet crashed one upstream more than counted.
    def test_a_repeated_request_is_held_if_its_engines_listen_a_moment_longer(self):
        def crash(sock):
            if read_request(sock):
                eventlet.spawn_after(0.1, server.close)
                reset(0)(sock)

        for number in range(3):
            server = ScriptedServer([crash])
            self.requests.placement.remove_upstream(f"u{number - 1}")
            upstream = build_upstream(f"u{number}", server.address)
            self.requests.placement.update_upstream(upstream)
            responder = RecordingResponder()
            self.requests.handle(build_inbound(daisystack_request="r1"), responder)
            eventlet.sleep(0.3)
        server.close()
        self.assertEqual((responder.status, server.connections), (502, 0))

    # BUDGET: an answer without length or chunks that a crash had cut passed for complete.
    def test_an_answer_that_only_its_connection_ends_is_no_proof_while_its_engine_is_down(self):
        policy = build_policy(build_route(RequestKind.SAFE, max_attempts=1))
        self.requests.published.policy = policy
        sent = []

        def answer(sock, number):
            request = read_request(sock)
            if not request:
                return
            name = request.partition(b"daisystack-request: ")[2].partition(b"\r\n")[0]
            head = b"HTTP/1.1 200 OK\r\nDaisystack-Mark: m\r\nDaisystack-Request: %s\r\n" % name
            if CAUSE not in request:
                sock.sendall(head + b"Content-Length: 4\r\n\r\ngood")
                return
            sent.append(number)
            self.servers[number].close()
            sock.sendall(head + b'\r\n{"a":')

        self.servers = []
        for number in range(8):
            server = ScriptedServer([lambda sock, number=number: answer(sock, number)])
            self.addCleanup(server.close)
            self.servers.append(server)
            self.requests.placement.remove_upstream(f"u{number - 1}")
            self.requests.placement.update_upstream(build_upstream(f"u{number}", server.address))
            self.send("shared")
            self.send("shared", "bad")
            eventlet.sleep(0.7)
        self.assertLessEqual(len(sent), 5)

    # BUDGET: one probe that was lost on the way took a crash out of the count.
    def test_a_probe_without_an_answer_is_repeated(self):
        for answers in ([_Probe.SILENT], [_Probe.LISTENING, _Probe.SILENT]):
            with self.subTest(answers=answers):
                self.requests.crashes = CrashWatch()
                lost = []

                def probe(address, answers=answers, lost=lost):
                    lost.append(address)
                    count = lost.count(address)
                    return answers[count - 1] if count <= len(answers) else _probe(address)

                with mock.patch("daisystack.runtime.crash_watch._probe", probe):
                    self.crash_engines(4)
                    eventlet.sleep(0.7)
                self.assertEqual(self.requests.crashes.crashes_counted, 3)

    # LOST: a faulty engine that breaks off streams goes on listening, which is no crash.
    def test_streams_that_an_engine_breaks_off_count_for_nothing(self):
        self.crash_engines(6, stops_after_s=None)
        eventlet.sleep(0.5)
        self.assertEqual(sum(engine.bad_requests for engine in self.engines), 6)
        self.assertEqual(self.requests.crashes.crashes_counted, 0)

    # LOST: sound requests share the other parts with those that crash engines.
    def test_requests_with_the_other_parts_are_still_answered(self):
        self.crash_engines(6)
        self.start_engine()
        responder = self.send("shared")
        self.assertEqual((responder.status, responder.body), (200, EVENT))
        self.assertEqual(self.send("shared", "new").status, 200)


if __name__ == "__main__":
    unittest.main()
