"""Callers that read or send slowly: what a process holds for them, and for others, is bounded."""

import socket
import unittest

import eventlet

from daisystack.core.held_bytes import MEMORY_SHARE, HeldBytes, Holding
from daisystack.core.traffic import RequestKind
from daisystack.runtime.caller_outbox import MAX_PENDING_BYTES
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import ScriptedServer, read_request
from daisystack.tests.test_caller_http import ServerFixture, read_all

MARK = b"Daisystack-Mark: m\r\n"
EVENTS = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * 1000) for n in range(150))
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n"
# Upstreams cut off answers of which nothing is read for some seconds.
CUT_AFTER_S = 0.5
SMALL_BUFFER_BYTES = 4096


def send_stream(sock):
    read_request(sock)
    sock.sendall(STREAM_HEAD % (MARK, len(EVENTS)) + EVENTS)


def connect_with_small_buffer(address):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    host, port = address.split(":")
    sock.connect((host, int(port)))
    return sock


def serve_entry(upstream, held):
    """Return a caller server whose requests go to a scripted upstream."""
    policy = build_policy(build_route(RequestKind.STREAM, timeout_s=9.0))
    requests = build_requests(policy, [build_upstream(address=upstream.address)])
    requests.held = held

    def handle(inbound, responder):
        # A loopback connection would take the whole answer at once.
        responder._connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        requests.handle(inbound, responder)

    fixture = ServerFixture(handle)
    fixture.server.held = held
    return fixture


class TestSlowReaders(unittest.TestCase):
    # Guards against answers that an upstream cuts off since the entry waited for a slow caller.
    def test_stream_to_a_caller_that_reads_slowly_is_whole_and_the_rest_is_given_back(self):
        upstream = ScriptedServer([send_stream])
        held = HeldBytes(4 * MAX_PENDING_BYTES)
        fixture = serve_entry(upstream, held)
        slow = [connect_with_small_buffer(fixture.address) for _ in range(3)]
        for sock in slow:
            sock.sendall(b"POST /work/1 HTTP/1.1\r\nHost: site\r\nContent-Length: 0\r\n\r\n")
        eventlet.sleep(CUT_AFTER_S)
        # Nothing of the answers is left at the upstream, whose buffers are far smaller.
        self.assertGreater(held.held_bytes, 2 * len(EVENTS))
        bodies = [eventlet.spawn(read_all, sock) for sock in slow]
        eventlet.sleep(CUT_AFTER_S)
        for sock in slow:
            sock.shutdown(socket.SHUT_WR)
        for body in bodies:
            received = body.wait()
            self.assertEqual(received.count(b"id: "), 150)
            self.assertTrue(received.endswith(b"0\r\n\r\n"))
        eventlet.sleep(0.1)
        self.assertEqual(held.held_bytes, 0)
        upstream.close()


class TestBudget(unittest.TestCase):
    def test_budget_is_a_share_of_the_memory_and_nothing_is_held_beyond_it(self):
        held = HeldBytes.within_memory(1000.0 / MEMORY_SHARE)
        first, second = Holding(held), Holding(held)
        self.assertTrue(first.try_grow(900))
        self.assertFalse(second.try_grow(101))
        self.assertEqual((held.held_bytes, held.turned_away), (900, 1))
        first.release()
        self.assertTrue(second.try_grow(101))
        self.assertTrue(Holding(HeldBytes.within_memory(0.0)).try_grow(10**12))

    # Many callers that send large bodies at once ended the process.
    def test_body_that_does_not_fit_is_refused_before_it_is_read(self):
        for name, framing in (
            ("length", b"Content-Length: 900\r\n\r\n" + b"x" * 10),
            ("chunks", b"Transfer-Encoding: chunked\r\n\r\n384\r\n" + b"x" * 900),
        ):
            with self.subTest(name):
                fixture = ServerFixture()
                fixture.server.held = HeldBytes(500)
                sock = fixture.connect()
                sock.sendall(b"POST /a HTTP/1.1\r\nHost: h\r\n" + framing)
                answer = read_all(sock)
                self.assertTrue(answer.startswith(b"HTTP/1.1 503 "))
                self.assertIn(b"retry-after: 1.00", answer.lower())
                self.assertEqual(fixture.requests, [])
                eventlet.sleep(0.05)
                self.assertEqual(fixture.server.held.held_bytes, 0)


class TestPlainAnswers(unittest.TestCase):
    def test_answer_that_cannot_be_held_is_forwarded_in_parts(self):
        body = b"y" * 300_000
        head = b"HTTP/1.1 200 OK\r\n%sContent-Length: 300000\r\n\r\n" % MARK
        for name, sent, is_whole in (("whole", body, True), ("cut", body[:200_000], False)):
            with self.subTest(name):
                answer = head + sent

                def script(sock, answer=answer):
                    read_request(sock)
                    sock.sendall(answer)

                upstream = ScriptedServer([script])
                policy = build_policy(build_route(RequestKind.UNSAFE))
                requests = build_requests(policy, [build_upstream(address=upstream.address)])
                requests.held = HeldBytes(100_000)
                responder = RecordingResponder()
                requests.handle(build_inbound(), responder)
                self.assertEqual((responder.status, responder.is_done), (200, is_whole))
                self.assertEqual(responder.body == body, is_whole)
                self.assertEqual(requests.held.held_bytes, 0)
                upstream.close()
