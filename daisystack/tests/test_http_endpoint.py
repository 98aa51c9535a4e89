"""Test which idle connections an HTTP client uses again."""

import unittest

import eventlet

from daisystack.backends import HttpEndpoint
from daisystack.testing.scripted import ScriptedServer, build_answer, read_request, send_and_close

UNREQUESTED = build_answer(b"of nobody")
WAIT_S = 0.05


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


if __name__ == "__main__":
    unittest.main()
