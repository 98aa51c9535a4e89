"""Test upstreams that send bytes without end until the connection is closed.

Each answer must end in a closed connection after a bounded number of bytes, with a verdict that
says that the request may have run.
"""

import unittest

import eventlet

from daisystack.core.traffic import RequestKind
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.processor import own_time_s
from daisystack.testing.scripted import EndlessAnswer, ScriptedServer, measure_stalls, read_request

BLOCK_BYTES = 16_384
# Far more than any answer of an upstream, and far less than the memory of an entry.
MAX_TAKEN_BYTES = 8 * 1024 * 1024
MARK = b"Daisystack-Mark: m\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + MARK + b"Transfer-Encoding: chunked\r\n\r\n"
STREAM = OK + MARK + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, b"x" * BLOCK_BYTES)
TIMEOUT_S = 1.0

ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * BLOCK_BYTES),
    "header": (OK + b"A: ", b"x" * BLOCK_BYTES),
    "headers": (OK, b"A: b\r\n" * 2_000),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 300),
    "no HTTP": (b"", b"\x00\xff" * 8_000),
    "chunk size": (CHUNKED, b"0" * BLOCK_BYTES),
    "chunk extension": (CHUNKED + b"5;a=", b"x" * BLOCK_BYTES),
    "body in chunks": (CHUNKED, CHUNK),
    "body without length": (OK + MARK + b"\r\n", b"x" * BLOCK_BYTES),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * 2_000),
    "event without end": (STREAM, CHUNK),
    # Blocks that keep the receiver busy while the sender doesn't run.
    "body in chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 100_000),
    "body in chunks of 16 bytes": (CHUNKED, b"10\r\n0123456789abcdef\r\n" * 50_000),
    "small events": (STREAM, b"c\r\ndata: 1234\n\n\r\n" * 50_000),
    "event without end in small chunks": (STREAM, b"1\r\nx\r\n" * 100_000),
}
# How long other requests may be held up beside several such answers. A request waits for its turn
# a few times, and must be answered within half a second of its limit.
MAX_STALL_S = 0.1
CONCURRENT = 3


def serve_one(script, kind=RequestKind.UNSAFE):
    server = ScriptedServer([script])
    policy = build_policy(build_route(kind, timeout_s=TIMEOUT_S))
    requests = build_requests(policy, [build_upstream(address=server.address)])
    responder = RecordingResponder()
    started_s = own_time_s()
    requests.handle(build_inbound(), responder)
    took_s = own_time_s() - started_s
    eventlet.sleep(0.05)
    server.close()
    return responder, requests, took_s


class TestEndlessAnswers(unittest.TestCase):
    def test_each_ends_in_a_closed_connection_after_bounded_bytes(self):
        for name, (head, block) in ENDLESS.items():
            with self.subTest(name):
                script = EndlessAnswer(head, block)
                kind = RequestKind.STREAM if head is STREAM else RequestKind.UNSAFE
                responder, requests, took_s = serve_one(script, kind)
                self.assertTrue(script.is_closed)
                self.assertLess(script.sent_bytes, MAX_TAKEN_BYTES)
                self.assertLess(took_s, TIMEOUT_S + 0.5)
                # The request may have run, so the caller must not be told that it has not.
                self.assertNotIn(responder.status, (408, 421, 429, 503))
                self.assertFalse(responder.status == 200 and responder.is_done)

    # While one upstream's answer never ran out of bytes, the entry served no other request.
    def test_none_holds_up_other_requests(self):
        for name, (head, block) in ENDLESS.items():
            with self.subTest(name):
                kind = RequestKind.STREAM if head is STREAM else RequestKind.UNSAFE
                with measure_stalls() as probe:
                    tasks = [
                        eventlet.spawn(serve_one, EndlessAnswer(head, block), kind)
                        for _ in range(CONCURRENT)
                    ]
                    for task in tasks:
                        task.wait()
                self.assertLess(probe.longest_s, MAX_STALL_S)

    def test_an_endless_answer_to_an_unsafe_request_is_not_retried(self):
        scripts = [EndlessAnswer(*ENDLESS["body in chunks"]) for _ in range(2)]
        servers = [ScriptedServer([script]) for script in scripts]
        policy = build_policy(build_route(RequestKind.UNSAFE, timeout_s=TIMEOUT_S))
        upstreams = [build_upstream(f"u{i}", s.address) for i, s in enumerate(servers)]
        responder = RecordingResponder()
        build_requests(policy, upstreams).handle(build_inbound(), responder)
        self.assertEqual(responder.status, 502)
        self.assertEqual(sum(1 for s in servers if s.connections), 1)
        for server in servers:
            server.close()

    def test_an_answer_that_trickles_ends_at_the_deadline(self):
        def trickle(sock):
            read_request(sock)
            for byte in OK * 100:
                sock.sendall(bytes([byte]))
                eventlet.sleep(0.05)

        responder, _, took_s = serve_one(trickle)
        self.assertEqual(responder.status, 504)
        self.assertLess(took_s, TIMEOUT_S + 0.5)


if __name__ == "__main__":
    unittest.main()
