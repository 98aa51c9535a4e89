"""Test the caller server over real sockets: framing, keep-alive, disconnects and leaving."""

import socket
import unittest
from contextlib import closing

import eventlet

from daisystack.core.addresses import parse_address
from daisystack.core.traffic import CallerLimits
from daisystack.runtime.caller_http import CallerGone, CallerServer
from daisystack.testing.scripted import free_address, measure_stalls

LIMITS = CallerLimits(
    max_head_bytes=2048, max_body_bytes=1000, head_timeout_s=0.3, idle_timeout_s=0.6
)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"

# Each of these must be refused and the connection closed, with no request passed to the handler.
REFUSED = [
    ("two different lengths", HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400),
    ("length and chunks", HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    ("a signed length", HEAD + b"Content-Length: +2\r\n\r\nab", 400),
    ("a negative length", HEAD + b"Content-Length: -2\r\n\r\nab", 400),
    ("a length in hex", HEAD + b"Content-Length: 0x2\r\n\r\nab", 400),
    ("an unknown transfer encoding", HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
    ("two transfer encodings", HEAD + b"Transfer-Encoding: chunked, gzip\r\n\r\n", 501),
    ("a bad chunk size", HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n", 400),
    ("two hosts", GET.replace(b"\r\n\r\n", b"\r\nHost: i\r\n\r\n"), 400),
    ("no host", b"GET /a HTTP/1.1\r\n\r\n", 400),
    ("a space before the colon", GET.replace(b"\r\n\r\n", b"\r\nX : 1\r\n\r\n"), 400),
    ("a bare carriage return", GET.replace(b"\r\n\r\n", b"\r\nX: a\rb\r\n\r\n"), 400),
    ("no HTTP", b"\x16\x03\x01\x00\xa5\r\n\r\n", 400),
    ("a head over its limit", GET[:-2] + b"X: " + b"a" * 4000 + b"\r\n\r\n", 431),
    ("a body over its limit", HEAD + b"Content-Length: 1001\r\n\r\n" + b"a" * 1001, 413),
    ("a head that does not end", GET[:-2], 408),
    ("a body that does not come", HEAD + b"Content-Length: 5\r\n\r\nab", 408),
]


class ServerFixture:
    """A running caller server that records the requests passed to its handler."""

    def __init__(self, handler=None, limits=LIMITS):
        self.requests = []
        self.is_leaving = False
        self.handler = handler or (lambda request, responder: responder.send_answer(200, [], b"ok"))
        self.address = free_address()
        self.server = CallerServer(
            parse_address(self.address), self.handle, lambda: limits, lambda: self.is_leaving
        )
        self.server.start()

    def handle(self, request, responder):
        self.requests.append(request)
        self.handler(request, responder)

    def connect(self):
        host, port = self.address.split(":")
        return socket.create_connection((host, int(port)), timeout=5)


def read_until(sock, marker):
    received = b""
    while marker not in received:
        data = sock.recv(65536)
        if not data:
            break
        received += data
    return received


def read_all(sock):
    return read_until(sock, b"never sent by anybody")


class TestFraming(unittest.TestCase):
    # A body within its limit, in chunks of a byte, held up all other callers until it was read.
    def test_a_body_in_tiny_chunks_holds_up_no_other_caller(self):
        fixture = ServerFixture(limits=CallerLimits())
        body = b"1\r\na\r\n" * 100_000
        with closing(fixture.connect()) as sock, measure_stalls() as probe:
            # The chunks cost over a second of processor time.
            sock.settimeout(30)
            sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n\r\n")
            read_until(sock, b"ok")
        self.assertEqual(len(fixture.requests), 1)
        self.assertLess(probe.longest_s, 0.1)

    def test_ambiguous_or_invalid_request_is_refused_and_connection_closed(self):
        for name, sent, status in REFUSED:
            with self.subTest(name):
                fixture = ServerFixture()
                sock = fixture.connect()
                sock.sendall(sent)
                received = read_all(sock)
                self.assertEqual(received.split(b" ")[1:2], [str(status).encode()], received)
                self.assertIn(b"connection: close", received.lower())
                self.assertEqual(received.count(b"HTTP/1.1 "), 1)
                self.assertEqual(fixture.requests, [])

    def test_body_bytes_are_never_parsed_as_a_request(self):
        fixture = ServerFixture()
        sock = fixture.connect()
        smuggled = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
        head = HEAD + b"Content-Length: %d\r\nConnection: close\r\n\r\n" % len(smuggled)
        sock.sendall(head + smuggled)
        read_all(sock)
        self.assertEqual([(r.target, r.body) for r in fixture.requests], [("/a", smuggled)])

    def test_folded_header_is_parsed_as_one_header(self):
        fixture = ServerFixture()
        sock = fixture.connect()
        sock.sendall(GET.replace(b"\r\n\r\n", b"\r\nX-A: 1\r\n 2\r\n\r\n"))
        self.assertIn(b"200", read_until(sock, b"ok"))
        self.assertEqual(dict(fixture.requests[0].headers)[b"x-a"], b"1 2")

    def test_invalid_bytes_after_a_body_are_refused(self):
        fixture = ServerFixture()
        sock = fixture.connect()
        sock.sendall(HEAD + b"Content-Length: 2\r\n\r\nab\x00\x01 nonsense\r\n\r\n")
        received = read_all(sock)
        self.assertEqual([received.count(b"HTTP/1.1 200"), received.count(b"HTTP/1.1 400")], [1, 1])
        self.assertEqual(len(fixture.requests), 1)

    def test_chunked_and_length_framed_bodies_are_equal(self):
        fixture = ServerFixture()
        sock = fixture.connect()
        sock.sendall(HEAD + b"Content-Length: 3\r\n\r\nabc")
        read_until(sock, b"ok")
        sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n")
        read_until(sock, b"ok")
        self.assertEqual([r.body for r in fixture.requests], [b"abc", b"abc"])

    def test_pipelined_requests_are_answered_in_order(self):
        fixture = ServerFixture(
            lambda request, responder: responder.send_answer(200, [], request.target.encode())
        )
        sock = fixture.connect()
        sock.sendall(GET + GET.replace(b"/a", b"/b") + GET.replace(b"/a", b"/c"))
        received = read_until(sock, b"/c")
        self.assertEqual(
            [received.index(b"/a") < received.index(b"/b") < received.index(b"/c")], [True]
        )

    def test_idle_connection_is_reused_then_closed_after_idle_timeout(self):
        fixture = ServerFixture()
        sock = fixture.connect()
        sock.sendall(GET)
        read_until(sock, b"ok")
        eventlet.sleep(0.3)
        sock.sendall(GET)
        self.assertIn(b"200", read_until(sock, b"ok"))
        self.assertEqual(read_all(sock), b"")

    def test_unfinished_response_closes_the_connection(self):
        def send_half(request, responder):
            responder.send_head(200, [])
            responder.send_data(b"half")

        sock = ServerFixture(send_half).connect()
        sock.sendall(GET)
        received = read_all(sock)
        self.assertIn(b"half", received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))


class TestCallerLeaves(unittest.TestCase):
    def test_disconnect_ends_the_handler_at_once(self):
        ended = eventlet.event.Event()

        def wait(request, responder):
            try:
                eventlet.sleep(5)
            except CallerGone:
                ended.send(True)
                raise

        fixture = ServerFixture(wait)
        sock = fixture.connect()
        sock.sendall(GET)
        eventlet.sleep(0.05)
        sock.close()
        with eventlet.Timeout(0.4):
            self.assertTrue(ended.wait())
        eventlet.sleep(0.01)
        self.assertEqual(fixture.server.in_progress, 0)


class TestLeaving(unittest.TestCase):
    def test_responses_announce_connection_close(self):
        fixture = ServerFixture()
        sock = fixture.connect()
        fixture.is_leaving = True
        sock.sendall(GET)
        self.assertIn(b"connection: close", read_all(sock).lower())

    def test_close_idle_closes_only_idle_connections(self):
        fixture = ServerFixture(
            lambda request, responder: (eventlet.sleep(0.2), responder.send_answer(200, [], b"ok"))
        )
        busy, idle, begun = (fixture.connect() for _ in range(3))
        busy.sendall(GET)
        begun.sendall(GET[:10])
        eventlet.sleep(0.05)
        fixture.server.close_idle()
        self.assertEqual(read_all(idle), b"")
        self.assertIn(b"200", read_until(busy, b"ok"))
        begun.sendall(GET[10:])
        self.assertIn(b"200", read_until(begun, b"ok"))
