"""Test direct requests to scripted upstreams: each point of failure and the allowed outcomes."""

import itertools
import socket
import unittest
from unittest import mock

import eventlet

from daisystack.core.held_bytes import HeldBytes
from daisystack.core.placement import Placement
from daisystack.core.traffic import RequestKind, Workspace
from daisystack.runtime.caller_http import CallerGone
from daisystack.runtime.direct_http import DirectExchange
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import (
    ScriptedServer,
    build_answer,
    free_address,
    read_request,
    reset,
    send_and_close,
    stall,
)

MARK = "Daisystack-Mark: m\r\n"
GOOD = send_and_close(build_answer(b"good", head=MARK))
FAILED = send_and_close(build_answer(b"failed", "500 Internal Server Error", MARK))
SHED = send_and_close(build_answer(b"", "503 Service Unavailable", "Daisystack-Not-Run: 1\r\n"))
SHED_OTHER = send_and_close(
    build_answer(
        b"", "503 Service Unavailable", "Daisystack-Not-Run: 1\r\nDaisystack-Request: other\r\n"
    )
)
BARE_503 = send_and_close(build_answer(b"", "503 Service Unavailable"))
TRUNCATED = send_and_close(build_answer(b"go", head=MARK, length=4))
FOREIGN = send_and_close(build_answer(b"other", head=MARK + "Daisystack-Request: other\r\n"))
ENCODED = send_and_close(build_answer(b"good", head=MARK + "Content-Encoding: gzip\r\n"))
UNMARKED = send_and_close(build_answer(b"good"))
GARBAGE = send_and_close(b"\x00\x01 no answer\r\n\r\n")
NO_BYTES = send_and_close(b"")
STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

# Behavior of the first upstream, and the status of an unsafe and of a safe request when the second
# upstream succeeds.
CASES = [
    ("refused connection", None, 200, 200),
    ("shed", SHED, 200, 200),
    # REFUSED, TWICE: a refusal of an earlier request was believed of one that was running.
    ("refusal of another request", SHED_OTHER, 502, 200),
    ("503 without a not-run header", BARE_503, 502, 200),
    ("reset before the request was read", reset(10), 502, 200),
    ("closed without a response", NO_BYTES, 502, 200),
    ("garbage", GARBAGE, 502, 200),
    ("truncated", TRUNCATED, 502, 200),
    ("response to another request", FOREIGN, 502, 200),
    ("encoded body", ENCODED, 502, 200),
    ("no marker of the upstream", UNMARKED, 502, 200),
    ("failure of the upstream", FAILED, 500, 200),
]


class CountingScript:
    """Run a script and count connections that carry a request; a probe carries none."""

    def __init__(self, script):
        self.script = script
        self.requests = 0

    def __call__(self, sock):
        if sock.recv(1, socket.MSG_PEEK):
            self.requests += 1
            self.script(sock)


def serve(kind, scripts, inbound=None, workspaces=None, age_s=0.0, held=None, **route):
    """Send one request to upstreams tried in order.

    Return the responder, the number of requests at each upstream and the DirectRequests.
    """
    scripts = [CountingScript(s) if s else None for s in scripts]
    servers = [ScriptedServer([s]) if s else None for s in scripts]
    upstreams = [
        # Upstreams with more slots are preferred, so they are tried in the order of the list.
        build_upstream(f"u{i}", s.address if s else free_address(), slots=100 // (i + 1))
        for i, s in enumerate(servers)
    ]
    policy = build_policy(build_route(kind, **route), workspaces)
    requests = build_requests(policy, upstreams, age_s)
    requests.held = held or requests.held
    responder = RecordingResponder()
    requests.handle(inbound or build_inbound(), responder)
    for server in filter(None, servers):
        server.close()
    return responder, [s.requests if s else 0 for s in scripts], requests


class TestPredictedWork(unittest.TestCase):
    # Work learned from a part of an answer would make its route look cheap.
    def test_whole_answers_of_first_attempts_are_learned_and_predicted(self):
        server = ScriptedServer([GOOD, GOOD, TRUNCATED, GOOD])
        upstreams = [build_upstream(f"u{i}", server.address) for i in range(2)]
        requests = build_requests(build_policy(build_route(RequestKind.SAFE)), upstreams)
        requests.placement.predicts_work = True
        attempts = []
        requests.on_attempt_ended = attempts.append
        for _ in range(3):
            requests.handle(build_inbound(), RecordingResponder())
        server.close()
        ends = ["answered", "answered", "answer_cut", "answered"]
        self.assertEqual([attempt.end for attempt in attempts], ends)
        self.assertEqual([attempt.work_s > 0 for attempt in attempts], [False, True, False, False])
        self.assertTrue(0 < attempts[1].predicted_work_s <= attempts[0].took_s)


class TestOneUpstreamFails(unittest.TestCase):
    def test_unsafe_request_is_retried_only_if_not_run(self):
        for name, script, unsafe_status, _ in CASES:
            with self.subTest(name):
                responder, request_counts, _ = serve(RequestKind.UNSAFE, [script, GOOD])
                self.assertEqual(responder.status, unsafe_status)
                self.assertEqual(request_counts[1], 1 if unsafe_status == 200 else 0)

    def test_safe_request_is_retried_at_another_upstream(self):
        for name, script, _, safe_status in CASES:
            with self.subTest(name):
                responder, request_counts, _ = serve(RequestKind.SAFE, [script, GOOD])
                self.assertEqual((responder.status, responder.body), (safe_status, b"good"))
                self.assertEqual(request_counts[1], 1)

    def test_not_run_request_is_refused_with_retry_after(self):
        for script in (None, SHED):
            responder, _, _ = serve(RequestKind.UNSAFE, [script])
            self.assertEqual(responder.status, 503)
            self.assertIn(b"Retry-After", responder.headers)

    def test_possibly_run_request_never_gets_a_not_run_status(self):
        for name, script, _, _ in CASES[2:]:
            for kind in (RequestKind.UNSAFE, RequestKind.SAFE):
                with self.subTest(name, kind=kind):
                    responder, _, _ = serve(kind, [script])
                    self.assertNotIn(responder.status, (408, 421, 429, 503))
                    self.assertNotIn(b"Retry-After", responder.headers)

    def test_shed_after_possible_run_is_not_reported_as_not_run(self):
        responder, request_counts, _ = serve(RequestKind.SAFE, [NO_BYTES, SHED])
        self.assertEqual((responder.status, request_counts), (502, [1, 1]))

    def test_route_limits_the_attempts(self):
        _, request_counts, _ = serve(RequestKind.SAFE, [NO_BYTES, NO_BYTES, GOOD])
        self.assertEqual(request_counts, [1, 1, 0])

    def test_last_upstream_failure_is_forwarded(self):
        responder, _, _ = serve(RequestKind.SAFE, [FAILED, FAILED])
        self.assertEqual((responder.status, responder.body), (500, b"failed"))

    def test_stalled_upstream_ends_with_route_timeout(self):
        responder, _, requests = serve(RequestKind.UNSAFE, [stall()], timeout_s=0.2)
        self.assertEqual(responder.status, 504)
        self.assertIn(("failed", 504), requests.outcomes)


class TestExtraBytes(unittest.TestCase):
    # REFUSED, TWICE: a refusal without an id may be believed only if it can be of this request.
    def test_bytes_before_the_request_are_no_answer_to_it(self):
        early = build_answer(b"", "503 Service Unavailable", "Daisystack-Not-Run: 1\r\n")
        received = []

        def refuse_early(sock):
            sock.sendall(early)
            received.append(read_request(sock))

        def connect_slowly(exchange):
            connect(exchange)
            eventlet.sleep(0.05)

        connect = DirectExchange.connect
        server = ScriptedServer([refuse_early, GOOD])
        self.addCleanup(server.close)
        upstreams = [build_upstream(f"u{i}", server.address) for i in range(2)]
        requests = build_requests(build_policy(build_route(RequestKind.UNSAFE)), upstreams)
        responder = RecordingResponder()
        with mock.patch.object(DirectExchange, "connect", connect_slowly):
            requests.handle(build_inbound(), responder)
        self.assertEqual((responder.status, responder.body), (200, b"good"))
        self.assertEqual(received, [b""])

    def test_bytes_after_a_response_are_ignored(self):
        extra = build_answer(b"extra", head=MARK)
        script = send_and_close(build_answer(b"good", head=MARK) + extra)
        responder, request_counts, _ = serve(RequestKind.UNSAFE, [script])
        self.assertEqual((responder.status, responder.body, request_counts), (200, b"good", [1]))

    def test_connection_is_never_reused_for_another_request(self):
        scripts = [
            send_and_close(build_answer(b"first", head=MARK)),
            send_and_close(build_answer(b"second", head=MARK)),
        ]
        server = ScriptedServer(scripts)
        policy = build_policy(build_route(RequestKind.UNSAFE))
        requests = build_requests(policy, [build_upstream(address=server.address)])
        bodies = []
        for _ in range(2):
            responder = RecordingResponder()
            requests.handle(build_inbound(), responder)
            bodies.append(responder.body)
        self.assertEqual((bodies, server.connections), ([b"first", b"second"], 2))


class TestAnswersWithoutLength(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\n" + MARK.encode() + b"\r\n"

    def test_response_ended_by_close_is_complete(self):
        responder, _, _ = serve(RequestKind.UNSAFE, [send_and_close(self.HEAD + b"good")])
        self.assertEqual((responder.status, responder.body), (200, b"good"))

    def test_response_ended_by_reset_is_incomplete(self):
        def send_and_reset(sock):
            read_request(sock)
            sock.sendall(self.HEAD + b"goo")
            eventlet.sleep(0.05)
            reset(0)(sock)

        responder, _, _ = serve(RequestKind.UNSAFE, [send_and_reset])
        self.assertEqual(responder.status, 502)


class TestFaults(unittest.TestCase):
    # LOST: a fault of the entry closed the caller's connection without an answer.
    def test_a_request_that_an_entry_fails_to_process_is_answered(self):
        for fault in (OverflowError("int too large"), RecursionError("too deep")):
            with self.subTest(fault), mock.patch.object(Placement, "choose", side_effect=fault):
                responder, _, requests = serve(RequestKind.UNSAFE, [GOOD])
                self.assertEqual((responder.status, responder.is_done), (500, True))
                self.assertEqual(requests.outcomes, {("failed", 500): 1})


class TestBudget(unittest.TestCase):
    def test_retries_stop_when_the_share_of_the_slack_is_consumed(self):
        script = CountingScript(NO_BYTES)
        server = ScriptedServer([script])
        upstreams = [build_upstream(f"u{i}", server.address, slots=100) for i in range(2)]
        requests = build_requests(build_policy(build_route()), upstreams)
        for _ in range(120):
            requests.handle(build_inbound(), RecordingResponder())
        # Two entries share a slack of 100 retries, and each request earns 0.2 of a retry.
        self.assertLessEqual(script.requests - 120, 100 / 2 + 0.2 * 120)
        self.assertGreaterEqual(script.requests - 120, 30)


class TestKeys(unittest.TestCase):
    WORKSPACES = (Workspace("dealers", frozenset({"k1"})),)

    def request_with_key(self, key, age_s=0.0):
        headers = {"daisystack_key": key} if key else {}
        return serve(
            RequestKind.UNSAFE,
            [GOOD],
            build_inbound(**headers),
            self.WORKSPACES,
            age_s,
            is_public=False,
        )

    def test_only_a_known_key_authorizes_a_route(self):
        for key, status in [("k1", 200), ("k2", 401), (None, 401)]:
            with self.subTest(key):
                responder, request_counts, _ = self.request_with_key(key)
                self.assertEqual(
                    (responder.status, request_counts), (status, [1 if status == 200 else 0])
                )

    # CONFIG: a policy whose last workspace had been taken out let every key through.
    def test_an_empty_list_of_workspaces_lets_no_key_through(self):
        nobody = Workspace("nobody", frozenset())
        for workspaces, is_public, status in [
            ((), False, 401),
            ((nobody,), False, 401),
            ((), True, 200),
            (None, False, 200),
        ]:
            for key in ("k1", "never held", None):
                with self.subTest(workspaces=workspaces, is_public=is_public, key=key):
                    inbound = build_inbound(**({"daisystack_key": key} if key else {}))
                    responder, counts, _ = serve(
                        RequestKind.UNSAFE, [GOOD], inbound, workspaces, is_public=is_public
                    )
                    self.assertEqual((responder.status, sum(counts)), (status, status == 200))

    # A request without a key passed for one that carries an empty key.
    def test_a_request_without_a_key_is_not_of_the_workspace_with_an_empty_one(self):
        workspaces = (Workspace("odd", frozenset({""})),)
        responder, _, _ = serve(
            RequestKind.UNSAFE, [GOOD], build_inbound(), workspaces, is_public=False
        )
        self.assertEqual(responder.status, 401)

    def test_key_is_refused_when_last_confirmation_is_too_old(self):
        for age_s, status in [(4.0, 200), (4.5, 503), (100.0, 503)]:
            with self.subTest(age_s):
                responder, request_counts, _ = self.request_with_key("k1", age_s)
                self.assertEqual(
                    (responder.status, request_counts), (status, [1 if status == 200 else 0])
                )

    def test_public_route_needs_no_recent_confirmation(self):
        responder, _, _ = serve(RequestKind.UNSAFE, [GOOD], workspaces=self.WORKSPACES, age_s=100.0)
        self.assertEqual(responder.status, 200)

    def test_key_revoked_during_an_attempt_is_refused_for_the_next(self):
        requests = None

        def revoke_and_shed(sock):
            read_request(sock)
            requests.published.policy = build_policy(build_route(is_public=False), (others,))
            sock.sendall(build_answer(b"", "503 Service Unavailable", "Daisystack-Not-Run: 1\r\n"))

        others = Workspace("others", frozenset({"k9"}))
        first, second = ScriptedServer([revoke_and_shed]), ScriptedServer([GOOD])
        upstreams = [
            build_upstream("u0", first.address, slots=100),
            build_upstream("u1", second.address, slots=10),
        ]
        policy = build_policy(build_route(is_public=False), self.WORKSPACES)
        requests = build_requests(policy, upstreams)
        responder = RecordingResponder()
        requests.handle(build_inbound(daisystack_key="k1"), responder)
        self.assertEqual((responder.status, second.connections), (401, 0))


class TestStreams(unittest.TestCase):
    def stream(self, *events, end=b"0\r\n\r\n", version=3, after=None, received_requests=None):
        def script(sock):
            request = read_request(sock)
            if received_requests is not None:
                received_requests.append(request)
            head = STREAM + MARK + f"Daisystack-Version: {version}\r\n\r\n"
            sock.sendall(head.encode())
            for event in events:
                sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            sock.sendall(end)

        return script

    def event(self, number):
        return b"id: %d\ndata: x\n\n" % number

    def test_events_and_end_of_stream_are_forwarded(self):
        events = [self.event(i) for i in range(1, 4)]
        responder, _, _ = serve(RequestKind.STREAM, [self.stream(*events)])
        self.assertEqual((responder.body, responder.is_done), (b"".join(events), True))

    def test_partial_event_is_dropped_and_response_stays_incomplete(self):
        script = self.stream(self.event(1), self.event(2)[:6], end=b"")
        responder, _, _ = serve(RequestKind.STREAM, [script])
        self.assertEqual((responder.body, responder.is_done), (self.event(1), False))

    def test_resumable_stream_continues_after_last_event(self):
        received_requests = []
        first = self.stream(self.event(1), self.event(2)[:6], end=b"")
        second = self.stream(self.event(2), self.event(3), received_requests=received_requests)
        responder, _, _ = serve(
            RequestKind.STREAM, [first, second], is_resumable=True, objective_s=0.0
        )
        self.assertEqual(responder.body, b"".join(self.event(i) for i in (1, 2, 3)))
        self.assertTrue(responder.is_done)
        self.assertIn(b"last-event-id: 1\r\n", received_requests[0].lower())
        self.assertIn(b"daisystack-version: 3\r\n", received_requests[0].lower())

    def test_duplicate_events_are_dropped(self):
        first = self.stream(self.event(1), self.event(2), end=b"")
        second = self.stream(self.event(2), self.event(3))
        responder, _, _ = serve(
            RequestKind.STREAM, [first, second], is_resumable=True, objective_s=0.0
        )
        self.assertEqual(responder.body, b"".join(self.event(i) for i in (1, 2, 3)))

    def test_stream_is_not_resumed_from_other_weights(self):
        first = self.stream(self.event(1), end=b"")
        second = self.stream(self.event(2), version=4)
        responder, _, _ = serve(
            RequestKind.STREAM, [first, second], is_resumable=True, objective_s=0.0
        )
        self.assertEqual((responder.body, responder.is_done), (self.event(1), False))

    # ORDER, MIXED: the next upstream's error must not stand in the stream, nor end it as complete.
    def test_an_error_after_a_broken_stream_leaves_it_incomplete(self):
        error, event = b'{"error": "x"}', self.event(2)
        chunked = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(event), event)
        plain = f"HTTP/1.1 500 Oops\r\nContent-Type: text/event-stream\r\n{MARK}".encode()
        scripts = {
            "500": send_and_close(build_answer(error, "500 Oops", MARK)),
            "500 in chunks, as a stream": send_and_close(plain + chunked),
            "500 as a stream without an end": send_and_close(plain + b"\r\n" + event),
            "404": send_and_close(build_answer(error, "404 Not Found", MARK)),
            "200, no stream": send_and_close(build_answer(error, head=MARK)),
            "204": send_and_close(f"HTTP/1.1 204 No Content\r\n{MARK}\r\n".encode()),
            "refusal": SHED,
            "refusal of another request": SHED_OTHER,
            "unmarked": send_and_close(build_answer(error)),
            "no HTTP": GARBAGE,
            "nothing": NO_BYTES,
            "no connection": None,
        }
        for (name, script), limit_bytes in itertools.product(scripts.items(), (1e9, 1)):
            with self.subTest(name, limit_bytes=limit_bytes):
                responder, _, requests = serve(
                    RequestKind.STREAM,
                    [self.stream(self.event(1), end=b""), script],
                    held=HeldBytes(limit_bytes),
                    is_resumable=True,
                    objective_s=0.0,
                )
                self.assertEqual((responder.status, responder.body), (200, self.event(1)))
                self.assertFalse(responder.is_done)
                self.assertEqual(requests.outcomes, {("broken_off", 200): 1})

    # ORDER, MIXED: text that an upstream wrote where an event was due reached the caller.
    def test_text_that_is_no_event_breaks_a_stream_and_is_not_forwarded(self):
        head = b"HTTP/1.1 500 Oops\r\nContent-Length: 6\r\n\r\nfailed\n\n"
        for text in (b'{"error": "x"}\n\n', b"upstream failed\r\n\r\n", head):
            with self.subTest(text):
                good = self.stream(self.event(2), self.event(3))
                for broken, body in (
                    (self.stream(self.event(1), text), [1, 2, 3]),
                    (self.stream(text), [2, 3]),
                ):
                    responder, _, _ = serve(
                        RequestKind.STREAM, [broken, good], is_resumable=True, objective_s=0.0
                    )
                    self.assertEqual(responder.body, b"".join(map(self.event, body)))
                    self.assertTrue(responder.is_done)

    def test_events_of_any_field_and_comments_are_forwarded(self):
        events = [b"data: x\n\n", b": wait\n\n", b"retry: 5\r\n\r\n", b"event: end\ndata\n\n"]
        events += [b"version: 3\nid: 9\ndata: y\n\n", b"data: [DONE]\n\n", b"\n\n"]
        events += [b"version: 3\rid: 10\rdata: y\r\r", b"\xef\xbb\xbfdata: z\n\n"]
        responder, _, _ = serve(RequestKind.STREAM, [self.stream(*events)])
        self.assertEqual((responder.body, responder.is_done), (b"".join(events), True))

    def test_stream_broken_before_first_event_restarts(self):
        first = self.stream(end=b"")
        responder, _, _ = serve(
            RequestKind.STREAM, [first, self.stream(self.event(1))], is_resumable=True
        )
        self.assertEqual((responder.status, responder.body), (200, self.event(1)))


class TestCallerLeaves(unittest.TestCase):
    def test_disconnect_closes_the_upstream_connection(self):
        closed = eventlet.event.Event()

        def wait_for_close(sock):
            read_request(sock)
            closed.send(sock.recv(1))

        server = ScriptedServer([wait_for_close])
        policy = build_policy(build_route(RequestKind.UNSAFE))
        requests = build_requests(policy, [build_upstream(address=server.address)])
        task = eventlet.spawn(requests.handle, build_inbound(), RecordingResponder())
        eventlet.sleep(0.05)
        eventlet.kill(task, CallerGone("closed"))
        with eventlet.Timeout(1.0):
            self.assertEqual(closed.wait(), b"")
        self.assertEqual(requests.placement.own_counts(), {})


class TestCrashes(unittest.TestCase):
    def test_request_that_crashes_upstreams_is_held(self):
        requests, servers = None, []
        for _ in range(4):
            server = ScriptedServer([])

            def crash(sock, server=server):
                read_request(sock)
                server.close()
                reset(0)(sock)

            server.scripts = [crash]
            servers.append(server)
        upstreams = [build_upstream(f"u{i}", s.address) for i, s in enumerate(servers)]
        requests = build_requests(build_policy(build_route()), upstreams)
        responders = [RecordingResponder() for _ in range(3)]
        for responder in responders:
            requests.handle(build_inbound(), responder)
        self.assertLessEqual(sum(s.connections for s in servers), 3)
        self.assertEqual(responders[-1].status, 502)
