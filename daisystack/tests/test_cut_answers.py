"""Test answers that the end of their connection cuts in a head, a chunk's size or a trailer.

Each client must tell the end of a line or of a head from the end of the connection, or a part of an
answer passes for the whole one.
"""

import unittest

from daisystack.backends import BackendError, HttpEndpoint
from daisystack.core.traffic import RequestKind
from daisystack.runtime.upstream_http import AttemptFailed, UpstreamClient
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import ScriptedServer, send_and_close

OK = b"HTTP/1.1 200 OK\r\nDaisystack-Mark: m\r\n"
LENGTH = OK + b"Content-Length: 5\r\nContent-Type: a/b\r\n\r\nwhole"
STREAM = OK + b"Content-Type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: x\n\n"
ANSWERS = {
    "length": LENGTH,
    "length of 0": OK + b"Content-Length: 0\r\nContent-Type: a/b\r\n\r\n",
    "chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n0005\r\nwhole\r\n000\r\n\r\n",
    "trailer": OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\n\r\n",
    "interim responses": b"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    + LENGTH,
    "stream of a length": STREAM + b"Content-Length: %d\r\n\r\n" % len(EVENT) + EVENT,
    "stream in chunks": STREAM + b"Transfer-Encoding: chunked\r\n\r\n0f\r\n%s\r\n0\r\n\r\n" % EVENT,
}
# What follows this head ends with the connection, so that only the head can be seen to be cut.
UNFRAMED = {"neither": OK + b"\r\n", "stream of neither": STREAM + b"\r\n"}


def call_platform(address):
    try:
        HttpEndpoint(address).call("GET", "/")
    except BackendError:
        return False
    return True


def send_to_own_interface(address):
    try:
        UpstreamClient(address, 1.0).send("/", b"{}", {}, 1.0).read_body(1000)
    except AttemptFailed:
        return False
    return True


def serve_direct(address, kind):
    requests = build_requests(build_policy(build_route(kind)), [build_upstream(address=address)])
    responder = RecordingResponder()
    requests.handle(build_inbound(), responder)
    return responder.status == 200 and responder.is_done


CLIENTS = {
    "calls to the platform": call_platform,
    "own interface": send_to_own_interface,
    "direct requests": lambda address: serve_direct(address, RequestKind.UNSAFE),
    "direct streams": lambda address: serve_direct(address, RequestKind.STREAM),
}


class TestCutAnswers(unittest.TestCase):
    def is_taken_for_whole(self, client, sent):
        server = ScriptedServer([send_and_close(sent)])
        try:
            return client(server.address)
        finally:
            server.close()

    # MIXED, ORDER: an upstream that closed in the middle of its answer's head passed for one that
    # had sent an empty answer, and one that closed within a chunk's size for the end of its body.
    def test_no_cut_answer_is_taken_for_whole(self):
        for client_name, client in CLIENTS.items():
            for name, answer in (ANSWERS | UNFRAMED).items():
                with self.subTest(client=client_name, answer=name):
                    taken = [
                        answer[:size]
                        for size in range(1, len(answer))
                        if self.is_taken_for_whole(client, answer[:size])
                    ]
                    self.assertEqual(taken, [])

    def test_whole_answers_are_served(self):
        for client_name, client in CLIENTS.items():
            for name, answer in ANSWERS.items():
                with self.subTest(client=client_name, answer=name):
                    self.assertTrue(self.is_taken_for_whole(client, answer))


if __name__ == "__main__":
    unittest.main()
