"""Test planned stops: what was accepted gets a final answer before the process ends.

Requests come on kept and on new connections, early and late in the grace, some with time limits
that go beyond it.
"""

import contextlib
import itertools
import os
import signal
import socket
import time
import unittest
from unittest import mock

import eventlet

from daisystack.core.mirror import Snapshot
from daisystack.core.traffic import RequestKind
from daisystack.runtime import direct_entry
from daisystack.runtime.clock import now_s
from daisystack.testing.direct import build_policy, build_route, build_upstream
from daisystack.testing.scripted import ScriptedServer, build_answer, read_request, stall
from daisystack.tests.test_direct_entry import build_entry
from daisystack.tests.test_entry_verdicts import build_entry as build_own_entry
from daisystack.tests.test_entry_verdicts import post

MARK = "Daisystack-Mark: m\r\n"
# Of the fixture's entry: its grace, when it ends by itself and when it answers at the latest.
GRACE_S, ENDS_S, ANSWERS_BY_S = 2.0, 1.9, 1.5
STREAM = b"HTTP/1.1 200 OK\r\nDaisystack-Mark: m\r\nContent-Type: text/event-stream\r\n"
STREAM += b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: %d\ndata: x\n\n"


def answer_after(delay_s):
    def script(sock):
        read_request(sock)
        eventlet.sleep(delay_s)
        sock.sendall(build_answer(b"done", head=MARK))

    return script


def stream_on(sock):
    read_request(sock)
    sock.sendall(STREAM)
    for number in range(200):
        event = EVENT % number
        sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        eventlet.sleep(0.05)


class StoppingEntry:
    """Entry with one upstream that is stopped some time after its start."""

    def __init__(self, script, kind):
        self.upstream = ScriptedServer([script])
        self.entry = entry = build_entry(stop_grace_s=GRACE_S)
        route = build_route(kind, timeout_s=60.0, is_resumable=False)
        entry.published.policy = build_policy(route)
        entry.placement.update_upstream(build_upstream(address=self.upstream.address, slots=100))
        for mirror in entry.mirrors.values():
            mirror.apply_snapshot(Snapshot((), 1, now_s()))
        entry.requests.wait_until_current = lambda arrived_s: True
        entry.server.start()
        self.host, port = entry.settings.caller_address.split(":")
        self.port = int(port)

    def connect(self):
        return socket.create_connection((self.host, self.port), timeout=10)

    def stop(self):
        """Begin a planned stop and return the task that ends with the process."""
        return eventlet.spawn(self.entry.run_until_stopped, lambda: None)

    def close(self):
        self.upstream.close()
        self.entry.server.close_idle()


def send(sock, time_left_s):
    """Send a request and return the whole answer, up to the end of the connection or its body."""
    head = f"POST /work/1 HTTP/1.1\r\nHost: site\r\nDaisystack-Time-Left: {time_left_s}\r\n"
    sock.sendall(head.encode() + b"Content-Length: 2\r\n\r\n{}")
    received = b""
    while not is_whole(received):
        data = sock.recv(65_536)
        if not data:
            break
        received += data
    return received


def is_whole(received):
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    lines = head.lower().split(b"\r\n")
    lengths = [int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length")]
    return len(body) == lengths[0] if lengths else body.endswith(b"0\r\n\r\n")


class TestDirectEntry(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(direct_entry, "wait_for_stop", lambda on_hangup: None)
        patch.start()
        self.addCleanup(patch.stop)

    def play(self, script, at_s, time_left_s, kind=RequestKind.UNSAFE, is_kept=False):
        """Send a request so long after the stop; return its answer, when, and the upstream."""
        site = StoppingEntry(script, kind)
        self.addCleanup(site.close)
        kept = site.connect() if is_kept else None
        began_s = time.monotonic()
        sent = eventlet.spawn_after(
            0.2 + at_s, lambda: (send(kept or site.connect(), time_left_s), time.monotonic())
        )
        eventlet.sleep(0.2)
        stopped = site.stop()
        answer, answered_s = sent.wait()
        stopped.wait()
        self.assertEqual(site.entry.server.in_progress, 0)
        self.assertLess(time.monotonic() - began_s, 0.2 + GRACE_S)
        return answer, answered_s - began_s - 0.2, site.upstream

    def play_all(self, *plays):
        """Play at the same time; yield the arguments of each play and what it returned."""
        tasks = [eventlet.spawn(self.play, *play) for play in plays]
        for play, task in zip(plays, tasks, strict=True):
            _, at_s, time_left_s, kind, is_kept = play
            with self.subTest(at_s=at_s, time_left_s=time_left_s, kind=kind, is_kept=is_kept):
                yield at_s, *task.wait()

    # LOST: requests whose time limits went beyond the grace were cut at its end without an answer.
    def test_what_was_accepted_is_answered_before_the_process_ends(self):
        times_s, kept = (-0.1, 0.05, 0.3), (False, True)
        plays = itertools.product((stall(),), times_s, (30.0,), RequestKind, kept)
        for _, answer, after_s, _ in self.play_all(*plays):
            self.assertTrue(is_whole(answer))
            # It may have run.
            self.assertTrue(answer.startswith(b"HTTP/1.1 504 "), answer)
            self.assertGreaterEqual(after_s, ANSWERS_BY_S)
            self.assertLess(after_s, ENDS_S)

    # LOST: the same, for requests that come late in the grace, which then must not run.
    def test_what_cannot_end_in_time_is_refused_at_once_and_not_sent(self):
        late = ((0.6, 30.0), (1.0, 0.7), (1.45, 0.1), (1.6, 0.01), (1.8, 30.0))
        plays = [
            (answer_after(0.0), at_s, left_s, RequestKind.UNSAFE, is_kept)
            for at_s, left_s in late
            for is_kept in (False, True)
        ]
        for at_s, answer, after_s, upstream in self.play_all(*plays):
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
            self.assertIn(b"retry-after", answer.lower())
            self.assertLess(after_s - at_s, 0.2)
            self.assertEqual(upstream.connections, 0)

    def test_what_ends_in_time_is_served_until_the_end(self):
        served = ((0.05, 30.0, 1.2), (0.9, 0.5, 0.3), (1.2, 0.25, 0.0))
        plays = [
            (answer_after(delay_s), at_s, left_s, RequestKind.UNSAFE, True)
            for at_s, left_s, delay_s in served
        ]
        for _, answer, _, _ in self.play_all(*plays):
            self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
            self.assertIn(b"connection: close", answer.lower())

    # A stream that goes on at the end must not look complete.
    def test_a_stream_that_goes_on_at_the_end_is_cut(self):
        answer, after_s, _ = self.play(stream_on, 0.05, 30.0, RequestKind.STREAM)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
        self.assertFalse(is_whole(answer))
        self.assertGreaterEqual(after_s, ANSWERS_BY_S)

    def test_a_short_grace_is_not_spent_on_accepting_everything(self):
        stop = direct_entry.StopTimes(0.0, 1.0)
        self.assertTrue(stop.has_time_for(30.0, 0.2))
        self.assertFalse(stop.has_time_for(30.0, 0.35))


class TestOwnInterface(unittest.TestCase):
    # Callers that went on with open connections kept a stopping entry alive until it was killed,
    # which cut off what it had just accepted.
    def test_an_entry_that_no_list_names_refuses_new_requests_and_ends(self):
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        server = ScriptedServer([stall()])
        self.addCleanup(server.close)
        entry = build_own_entry(server.address)
        requests = entry.requests
        with contextlib.ExitStack() as stack:
            stack.enter_context(eventlet.Timeout(8.0))
            stopped = eventlet.spawn(
                entry.daemon.run_until_stopped, lambda: requests.in_flight, 0.5
            )
            eventlet.sleep(0.1)
            os.kill(os.getpid(), signal.SIGTERM)
            while not entry.daemon.leaving:
                eventlet.sleep(0.02)
            accepted = [eventlet.spawn(post, entry)]
            while not entry.daemon.is_closed:
                eventlet.sleep(0.02)
            while not stopped.dead:
                response = post(entry)
                self.assertEqual(response.status, 503)
                self.assertIn("not_run", dict(response.headers).values())
                eventlet.sleep(0.1)
        # What came before ended by its own time limit, and nothing else was sent.
        self.assertEqual([task.wait().status for task in accepted], [502])
        self.assertEqual(server.connections, 1)


if __name__ == "__main__":
    unittest.main()
