"""Test what a process holds for many answers without end at a time, at each of its clients.

A bound for one answer is none for the process, whose memory is limited.
"""

import unittest

import eventlet

from daisystack.backends import BackendError, HttpEndpoint
from daisystack.core.held_bytes import HeldBytes
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
from daisystack.testing.memory import measure_memory
from daisystack.testing.scripted import (
    EndlessAnswer,
    ScriptedServer,
    build_answer,
    send_and_close,
    stall,
)
from daisystack.tests.test_endless_answers import CHUNKED, ENDLESS, MARK, OK, STREAM

CONCURRENT = 40
TIMEOUT_S = 0.6
HELD_BYTES = 4_000_000
# A head or a line, the bytes of one read, and the objects of the connection, at both of its ends.
EACH_BYTES = 384 * 1024
# Held bytes are there up to twice while they are joined.
MAX_PEAK_BYTES = 2 * HELD_BYTES + CONCURRENT * EACH_BYTES
BLOCK = b"x" * 16_384
ANSWERS = ENDLESS | {
    "long headers": (OK, b"A: %s\r\n" % (b"x" * 60_000)),
    "interim responses with long headers": (
        b"",
        b"HTTP/1.1 100 Continue\r\n" + b"A: %s\r\n" % (b"x" * 30_000) * 2 + b"\r\n",
    ),
    "body of a length": (OK + MARK + b"Content-Length: 1000000000\r\n\r\n", BLOCK),
    "body in large chunks": (CHUNKED, b"100000\r\n" + BLOCK * 64 + b"\r\n"),
    "long trailers": (CHUNKED + b"0\r\n", b"A: %s\r\n" % (b"x" * 60_000)),
    "failure in chunks": (CHUNKED.replace(b"200 OK", b"500 Failed"), b"4000\r\n%s\r\n" % BLOCK),
}


def call_platform(address, held):
    try:
        HttpEndpoint(address, held).call("GET", "/", call_timeout_s=TIMEOUT_S)
    except BackendError:
        return


def send_to_own_interface(address, held):
    try:
        answer = UpstreamClient(address, 1.0, held=held).send("/", b"{}", {}, TIMEOUT_S)
        answer.read_body(1_000_000_000)
    except AttemptFailed:
        return


class ForgettingResponder(RecordingResponder):
    """Pass parts of a body on, as to a caller that reads them."""

    def send_data(self, body):
        self.sent_bytes = len(body)


def serve_direct(address, held):
    for kind in (RequestKind.UNSAFE, RequestKind.STREAM):
        route = build_route(kind, timeout_s=TIMEOUT_S / 2)
        requests = build_requests(build_policy(route), [build_upstream(address=address)])
        requests.held = held
        requests.handle(build_inbound(), ForgettingResponder())


CLIENTS = {
    "calls to the platform": call_platform,
    "own interface": send_to_own_interface,
    "direct requests": serve_direct,
}


class TestPeak(unittest.TestCase):
    # A runner that sent bytes without end took the memory of the machine that had called it, and
    # the requests of all others ended with the process.
    def test_many_endless_answers_at_a_time_stay_within_the_budget(self):
        for client_name, client in CLIENTS.items():
            for name, (head, block) in ANSWERS.items():
                with self.subTest(client=client_name, answer=name):
                    self.assertLess(self.measure_peak(client, head, block), MAX_PEAK_BYTES)

    def measure_peak(self, client, head, block):
        held = HeldBytes(HELD_BYTES)
        server = ScriptedServer([EndlessAnswer(head, block)])
        with measure_memory() as probe:
            tasks = [eventlet.spawn(client, server.address, held) for _ in range(CONCURRENT)]
            for task in tasks:
                task.wait()
        server.close()
        self.assertEqual(held.held_bytes, 0)
        return probe.peak_bytes


class TestHolding(unittest.TestCase):
    def serve(self, kind, *scripts):
        """Begin a request at upstreams in order; return what it holds meanwhile."""
        servers = [ScriptedServer([script]) for script in scripts]
        upstreams = [
            build_upstream(f"u{i}", s.address, slots=100 // (i + 1)) for i, s in enumerate(servers)
        ]
        requests = build_requests(build_policy(build_route(kind, timeout_s=0.6)), upstreams)
        requests.held = HeldBytes(1_000_000)
        task = eventlet.spawn(requests.handle, build_inbound(), RecordingResponder())
        eventlet.sleep(0.3)
        held_bytes = requests.held.held_bytes
        task.wait()
        for server in servers:
            server.close()
        self.assertEqual(requests.held.held_bytes, 0)
        return held_bytes

    # Failures that were kept while requests went on elsewhere counted as nothing.
    def test_a_failure_counts_as_held_while_the_request_goes_on_elsewhere(self):
        failed = build_answer(b"x" * 300_000, "500 Failed", MARK.decode())
        self.assertEqual(self.serve(RequestKind.SAFE, send_and_close(failed), stall()), 300_000)

    # Events without end counted as nothing until they were over their own limit.
    def test_the_part_of_an_event_counts_as_held(self):
        part = b"%x\r\n%s\r\n" % (500_000, b"x" * 500_000)
        self.assertGreater(self.serve(RequestKind.STREAM, stall(STREAM + part)), 490_000)


if __name__ == "__main__":
    unittest.main()
