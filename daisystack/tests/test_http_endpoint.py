"""Test which idle connections an HTTP client uses again, and how long its calls may last."""

import unittest

import eventlet

from daisystack.backends import BackendError, HttpEndpoint
from daisystack.testing.processor import own_time_s
from daisystack.testing.scripted import (
    EndlessAnswer,
    ScriptedServer,
    build_answer,
    measure_stalls,
    read_request,
    send_and_close,
)
from daisystack.tests.test_endless_answers import CHUNKED, ENDLESS, OK

UNREQUESTED = build_answer(b"of nobody")
WAIT_S = 0.05
CALL_TIMEOUT_S = 0.5
MAX_STALL_S = 0.1
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
SMALL_CHUNKS = b"1\r\nx\r\n" * 500
# Bytes that arrive often enough for the limit of each read.
SLOW = {
    "slow interim responses": (b"", INTERIM, 0.02),
    "slow head": (OK, b"A: b\r\n", 0.05),
    "slow body": (OK + b"Content-Length: 1000000\r\n\r\n", b"x", 0.02),
    "slow chunks": (CHUNKED, SMALL_CHUNKS[:6], 0.02),
}
FAST = {name: (head, block, 0.0) for name, (head, block) in ENDLESS.items()} | {
    "interim responses to continue": (b"", INTERIM * 300, 0.0),
    "small chunks": (CHUNKED, SMALL_CHUNKS, 0.0),
}


def answer_twice(sock):
    for number in (1, 2):
        read_request(sock)
        sock.sendall(build_answer(b"answer %d" % number))


def answer_and_send_more(sock):
    read_request(sock)
    sock.sendall(build_answer(b"answer 1"))
    eventlet.sleep(WAIT_S / 2)
    sock.sendall(UNREQUESTED)
    read_request(sock)


class TestIdleConnections(unittest.TestCase):
    def call_twice(self, *scripts):
        """Call a server twice with a pause; return the second body and the connections."""
        server = ScriptedServer(list(scripts))
        self.addCleanup(server.close)
        endpoint = HttpEndpoint(server.address)
        endpoint.call("POST", "/", b"{}")
        eventlet.sleep(WAIT_S)
        body = endpoint.call("POST", "/", b"{}").body
        return body, server.connections

    def test_an_open_connection_is_used_again(self):
        self.assertEqual(self.call_twice(answer_twice), (b"answer 2", 1))

    # A server closes idle connections at any time. A request on a closed one would fail, and one
    # that may have run can't be sent again.
    def test_a_connection_that_the_server_has_closed_is_replaced(self):
        first = send_and_close(build_answer(b"answer 1"))
        self.assertEqual(self.call_twice(first, answer_twice), (b"answer 1", 2))

    # An answer that nobody requested would be taken for that of the next request.
    def test_a_connection_with_an_unrequested_answer_is_replaced(self):
        self.assertEqual(self.call_twice(answer_and_send_more, answer_twice), (b"answer 1", 2))


class TestEndlessCalls(unittest.TestCase):
    # One endless answer of the origin after a loss of power kept the fetch of the list waiting for
    # good, so that no engine was loaded.
    def test_a_call_ends_in_time_whatever_arrives_and_holds_up_no_other(self):
        for name, (head, block, interval_s) in (SLOW | FAST).items():
            with self.subTest(name):
                script = EndlessAnswer(head, block, interval_s)
                server = ScriptedServer([script, send_and_close(build_answer(b"sound"))])
                self.addCleanup(server.close)
                endpoint = HttpEndpoint(server.address)
                with measure_stalls() as probe, self.assertRaises(BackendError):
                    started_s = own_time_s()
                    endpoint.call("GET", "/", read_timeout_s=2.0, call_timeout_s=CALL_TIMEOUT_S)
                self.assertLess(own_time_s() - started_s, CALL_TIMEOUT_S + MAX_STALL_S)
                self.assertLess(probe.longest_s, MAX_STALL_S)
                self.assertEqual(endpoint.call("GET", "/").body, b"sound")
                eventlet.sleep(2 * WAIT_S)
                self.assertTrue(script.is_closed)

    # After five seconds without a sound answer, the time until an engine serves again is short.
    def test_endless_interim_responses_end_long_before_the_limit(self):
        server = ScriptedServer([EndlessAnswer(b"", INTERIM, 0.02)])
        self.addCleanup(server.close)
        with eventlet.Timeout(1.0), self.assertRaises(BackendError):
            HttpEndpoint(server.address).call("GET", "/")


if __name__ == "__main__":
    unittest.main()
