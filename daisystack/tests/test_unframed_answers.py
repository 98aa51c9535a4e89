"""Test answers that have neither a length nor chunks and end with their connection."""

import itertools
import socket
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
from daisystack.testing.scripted import ScriptedServer, read_request, reset

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: %s\r\nDaisystack-Mark: m\r\nDaisystack-Version: 3\r\n\r\n"
STREAM = HEAD % b"text/event-stream"
# Still being sent when the answer begins: by the entry, or by its kernel alone.
LONG_BODY = b"x" * 4_000_000 + b"last"
MIDDLE_BODY = b"x" * 1_000_000 + b"last"
FIRST, SECOND = b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n"


def script(*pieces, is_reset=False):
    def run(sock):
        if not read_request(sock):
            return
        for piece in pieces:
            sock.sendall(piece)
            eventlet.sleep(0.01)
        if is_reset:
            reset(0)(sock)

    return run


def answer_early(*pieces, reads_on=False, closes_first=False):
    """Return a script that answers before it has read a long body, and reads on or is reset.

    With closes_first it closes its side regularly before that.
    """

    def run(sock):
        sock.recv(1000)
        for piece in pieces:
            sock.sendall(piece)
            eventlet.sleep(0.01)
        if closes_first:
            sock.shutdown(socket.SHUT_WR)
        while reads_on and not sock.recv(1_000_000).endswith(LONG_BODY[-4:]):
            pass
        if not reads_on:
            reset(0)(sock)

    return run


def serve(*scripts, kind=RequestKind.STREAM, is_resumable=True, body=b"{}"):
    """Send a request to upstreams in order; return the responder and the reported ends."""
    servers = [ScriptedServer([s]) for s in scripts]
    upstreams = [
        build_upstream(f"u{i}", server.address, slots=100 // (i + 1))
        for i, server in enumerate(servers)
    ]
    route = build_route(kind, is_resumable=is_resumable, objective_s=0.0)
    requests = build_requests(build_policy(route), upstreams)
    ends = []
    requests.on_attempt_ended = lambda event: ends.append(event.end)
    responder = RecordingResponder()
    requests.handle(build_inbound(body=body), responder)
    for server in servers:
        server.close()
    return responder, ends


class TestStreams(unittest.TestCase):
    def test_a_stream_that_ends_after_an_event_is_whole(self):
        responder, ends = serve(script(STREAM, FIRST, SECOND))
        self.assertEqual((responder.body, responder.is_done), (FIRST + SECOND, True))
        self.assertEqual(ends, ["answered"])

    # ORDER: a crashed upstream's stream must not end as if it were complete.
    def test_a_stream_that_ends_inside_an_event_is_broken_off_and_resumed(self):
        responder, ends = serve(script(STREAM, FIRST, SECOND[:9]), script(STREAM, SECOND))
        self.assertEqual((responder.body, responder.is_done), (FIRST + SECOND, True))
        self.assertEqual(ends, ["answer_cut", "answered"])

    def test_a_stream_that_ends_inside_an_event_and_cannot_be_resumed_stays_incomplete(self):
        responder, _ = serve(script(STREAM, FIRST, SECOND[:9]), is_resumable=False)
        self.assertEqual((responder.body, responder.is_done), (FIRST, False))

    def test_a_stream_that_ends_by_a_reset_is_broken_off(self):
        responder, ends = serve(script(STREAM, FIRST, is_reset=True), script(STREAM, SECOND))
        self.assertEqual((responder.body, responder.is_done), (FIRST + SECOND, True))
        self.assertEqual(ends, ["answer_cut", "answered"])

    # ORDER: an upstream that ended after the head passed for one with an empty answer.
    def test_a_stream_that_ends_before_its_first_event_is_broken_off(self):
        responder, ends = serve(script(STREAM), script(STREAM, FIRST))
        self.assertEqual((responder.body, responder.is_done), (FIRST, True))
        self.assertEqual(ends, ["answer_cut", "answered"])

    def test_a_resumed_stream_that_ends_before_an_event_is_broken_off_too(self):
        responder, ends = serve(script(STREAM, FIRST, SECOND[:3]), script(STREAM))
        self.assertEqual((responder.body, responder.is_done), (FIRST, False))
        self.assertEqual(ends, ["answer_cut", "answer_cut"])


class TestBodies(unittest.TestCase):
    def test_a_body_that_ends_with_its_connection_is_whole(self):
        head = HEAD % b"application/json"
        responder, ends = serve(script(head, b"go", b"od"), kind=RequestKind.SAFE)
        self.assertEqual((responder.status, responder.body), (200, b"good"))
        self.assertEqual(ends, ["answered"])

    # MIXED: the send of a long body took note of the reset, and the end of what had arrived before
    # it passed for the end of the answer.
    def test_an_answer_cut_by_a_reset_while_the_body_is_sent_is_not_whole(self):
        head = HEAD % b"application/json"
        kinds = ((RequestKind.SAFE, "answered"), (RequestKind.UNSAFE, "answer_cut"))
        for (kind, expected), body, closes_first in itertools.product(
            kinds, (LONG_BODY, MIDDLE_BODY), (False, True)
        ):
            with self.subTest(kind, size_bytes=len(body), closes_first=closes_first):
                whole = answer_early(head, b"good", reads_on=True, closes_first=closes_first)
                cut = answer_early(head, b"go", closes_first=closes_first)
                responder, ends = serve(cut, whole, kind=kind, is_resumable=False, body=body)
                self.assertEqual(ends[0], "answer_cut")
                self.assertEqual(ends[-1], expected)
                self.assertEqual(responder.body == b"good", expected == "answered")
                self.assertEqual(responder.status, 200 if expected == "answered" else 502)

    def test_a_stream_cut_by_a_reset_while_the_body_is_sent_is_resumed(self):
        cut = answer_early(STREAM, FIRST)
        whole = answer_early(STREAM, SECOND, reads_on=True)
        responder, ends = serve(cut, whole, body=LONG_BODY)
        self.assertEqual((responder.body, responder.is_done), (FIRST + SECOND, True))
        self.assertEqual(ends, ["answer_cut", "answered"])

    # The length or the last chunk shows that nothing is missing.
    def test_an_answer_that_names_its_end_is_whole_in_spite_of_the_reset(self):
        head = HEAD[:-2] % b"application/json" + b"Content-Length: 4\r\n\r\n"
        responder, ends = serve(
            answer_early(head, b"good"), kind=RequestKind.UNSAFE, body=LONG_BODY
        )
        self.assertEqual((responder.status, responder.body), (200, b"good"))
        self.assertEqual(ends, ["answered"])


if __name__ == "__main__":
    unittest.main()
