"""Test an entry over real sockets: the verdict for each point at which its upstream can fail."""

import contextlib
import json
import socket
import unittest
from io import BytesIO

import eventlet

from daisystack.core.config_keeper import PublishedDocument
from daisystack.core.settings import EntrySettings
from daisystack.runtime.clock import now_s
from daisystack.runtime.entry import Entry
from daisystack.runtime.web import BadRequest, Request
from daisystack.testing import build_raw_document, build_status
from daisystack.testing.scripted import (
    ScriptedServer,
    answer_with_ticket,
    build_answer,
    free_address,
    read_request,
    read_ticket_header,
    reset,
    send_and_close,
    stall,
)

REFUSED = build_answer(
    b'{"error": "gate closed"}',
    "503 Service Unavailable",
    "Daisystack-Verdict: not_run\r\nDaisystack-Attempt-End: refused_at_gate\r\n"
    "Daisystack-Sealed: yes\r\n",
)
ENGINE_DIED = build_answer(
    b'{"error": "engine died"}',
    "502 Bad Gateway",
    "Daisystack-Verdict: may_have_run\r\nDaisystack-Attempt-End: no_answer\r\n",
)
OTHER_REFUSED = REFUSED.replace(b"\r\n\r\n", b"\r\nDaisystack-Ticket: s1.1.9.other\r\n\r\n", 1)
OTHER_TICKET = build_answer(b"another's", head="Daisystack-Ticket: s1.1.9.other\r\n")
STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
ONE_EVENT = b"9\r\ndata: 1\n\n\r\n"
ONE_LEDGER = {"agents": 0, "ledgers": 1}


def build_entry(address, **settings):
    """Return an entry whose only upstream is a ledger service at the given address."""
    addresses = [free_address() for _ in range(4)]
    entry = Entry(EntrySettings("e1", "mtl-1", *addresses, **settings))
    document = build_raw_document(regions=["mtl"], **ONE_LEDGER)
    document["register"]["instances"][-1]["http_address"] = address
    offer = PublishedDocument(1, json.dumps(document).encode())
    entry.daemon.config.keeper.offer(offer, "test", now_s())
    entry.daemon.heartbeats.peers.apply_heartbeat(build_status("s1", capacity=8), now_s())
    return entry


def post(entry, body=b"{}", path="ledger/post", **headers):
    environ = {
        "HTTP_DAISYSTACK_WORKSPACE": "dealers",
        "HTTP_DAISYSTACK_TIMEOUT_S": "2",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": BytesIO(body),
    }
    environ |= {f"HTTP_DAISYSTACK_{name.upper()}": value for name, value in headers.items()}
    request = Request("POST", "/v1/services/" + path, environ)
    return entry.requests.handle(request, path, "services")


def start_stream(sock):
    """Send the head, with the request's own ticket, and the first event of a stream."""
    line = read_ticket_header(sock)
    sock.sendall(f"{STREAM_HEAD}{line}\r\n\r\n".encode() + ONE_EVENT)


def header(response, name):
    return dict(response.headers).get(name)


class TestEntryVerdicts(unittest.TestCase):
    def check(self, script, verdict, repeatable, status=None):
        server = ScriptedServer([script])
        self.addCleanup(server.close)
        entry = build_entry(server.address, progress_timeout_s=0.3)
        response = post(entry, repeatable=repeatable)
        self.assertEqual(header(response, "Daisystack-Verdict"), verdict)
        self.assertEqual(json.loads(response.body)["verdict"], verdict)
        self.assertEqual(entry.requests.in_flight, 0)
        self.assertEqual(entry.upstreams.in_flight["s1"], 0)
        return response, server

    def test_verdict_at_each_failure_point(self):
        table = {
            "dies while headers are sent": (reset(1), "may_have_run"),
            "dies while the body is sent": (reset(10), "may_have_run"),
            "dies before the first answer byte": (send_and_close(b""), "may_have_run"),
            "dies in the status line": (send_and_close(b"HTTP/1.1 20"), "may_have_run"),
            "dies in the headers": (send_and_close(b"HTTP/1.1 200 OK\r\nConte"), "may_have_run"),
            "dies in the body": (send_and_close(build_answer(b"12", length=9)), "may_have_run"),
            "stalls in the body": (stall(build_answer(b"12", length=9)), "may_have_run"),
            "stalls before it answers": (stall(), "may_have_run"),
            "answers without a length": (
                send_and_close(b"HTTP/1.1 200 OK\r\n\r\nhalf"),
                "may_have_run",
            ),
            "does not send HTTP": (send_and_close(b"220 ready\r\n"), "may_have_run"),
            "answers with no ticket": (send_and_close(build_answer(b"whose?")), "may_have_run"),
            "answers another ticket": (send_and_close(OTHER_TICKET), "may_have_run"),
            # REFUSED: a refusal of an earlier ticket, repeated on a kept connection.
            "refuses another ticket": (send_and_close(OTHER_REFUSED), "may_have_run"),
            "refuses at the gate": (send_and_close(REFUSED), "not_run"),
            "reports a lost outcome": (send_and_close(ENGINE_DIED), "may_have_run"),
            "cuts a stream before its first event": (
                send_and_close(f"{STREAM_HEAD}\r\n".encode()),
                "may_have_run",
            ),
        }
        for name, (script, verdict) in table.items():
            for repeatable in ("yes", "no"):
                with self.subTest(name=name, repeatable=repeatable):
                    self.check(script, verdict, repeatable)

    def test_reset_before_reading_is_not_run_only_if_nothing_was_sent(self):
        received = []

        def script(sock):
            eventlet.sleep(0)
            with contextlib.suppress(OSError):
                received.append(sock.recv(1, socket.MSG_DONTWAIT))
            reset(0)(sock)

        server = ScriptedServer([script])
        self.addCleanup(server.close)
        verdict = header(post(build_entry(server.address)), "Daisystack-Verdict")
        if verdict == "not_run":
            self.assertNotIn(True, [bool(got) for got in received])

    def test_connect_refused_is_not_run(self):
        entry = build_entry(free_address())
        response = post(entry)
        self.assertEqual(header(response, "Daisystack-Verdict"), "not_run")
        self.assertEqual(header(response, "Retry-After"), "1")

    def test_connect_timeout_is_not_run(self):
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            # With a full backlog further connections are dropped without a response.
            for _ in range(2):
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listener.getsockname())
            entry = build_entry(f"127.0.0.1:{listener.getsockname()[1]}")
            response = post(entry)
        self.assertEqual(header(response, "Daisystack-Verdict"), "not_run")

    def test_lost_answer_of_non_repeatable_request_is_retried_at_same_owner(self):
        server = ScriptedServer([send_and_close(b""), answer_with_ticket(b"done")])
        self.addCleanup(server.close)
        response = post(build_entry(server.address), repeatable="no")
        self.assertEqual((response.status, response.body), (200, b"done"))

    def test_caller_ticket_is_not_run_only_with_a_seal(self):
        ticket = "s1.1.200000.abc"
        entry = build_entry(free_address())
        self.assertEqual(header(post(entry, ticket=ticket), "Daisystack-Verdict"), "may_have_run")
        server = ScriptedServer([send_and_close(REFUSED)])
        self.addCleanup(server.close)
        entry = build_entry(server.address)
        self.assertEqual(header(post(entry, ticket=ticket), "Daisystack-Verdict"), "not_run")
        unsealed = REFUSED.replace(b"Sealed: yes", b"Sealed: no")
        server = ScriptedServer([send_and_close(unsealed)])
        self.addCleanup(server.close)
        entry = build_entry(server.address)
        self.assertEqual(header(post(entry, ticket=ticket), "Daisystack-Verdict"), "may_have_run")
        self.assertEqual(header(post(entry), "Daisystack-Verdict"), "not_run")
        unlisted_owner = "s9.1.200000.abc"
        self.assertEqual(
            header(post(entry, ticket=unlisted_owner), "Daisystack-Verdict"), "may_have_run"
        )

    def test_upstream_marked_leaving_in_live_list_gets_no_requests(self):
        server = ScriptedServer([answer_with_ticket(b"done")])
        self.addCleanup(server.close)
        entry = build_entry(server.address)
        self.assertEqual(post(entry).status, 200)
        entry.upstreams.leaving_ids = frozenset({"s1"})
        self.assertEqual(header(post(entry), "Daisystack-Verdict"), "not_run")
        self.assertEqual(server.connections, 1)

    def test_request_with_caller_ticket_is_sent_as_non_repeatable(self):
        heads = []

        def script(sock):
            heads.append(read_request(sock).lower())

        server = ScriptedServer([script])
        self.addCleanup(server.close)
        post(build_entry(server.address), repeatable="yes", ticket="s1.1.200000.abc")
        self.assertIn(b"daisystack-repeatable: no", heads[0])

    def test_cut_stream_ends_with_error_event_and_without_last_chunk(self):
        server = ScriptedServer([start_stream])
        self.addCleanup(server.close)
        entry = build_entry(server.address)
        body = post(entry, repeatable="yes").body
        got = [next(body), next(body)]
        self.assertEqual(got[0], b"data: 1\n\n")
        self.assertIn(b"event: error", got[1])
        with self.assertRaises(Exception):  # noqa: B017  (any exception suppresses the last chunk)
            next(body)
        self.assertEqual(entry.requests.in_flight, 0)

    def test_caller_disconnect_cancels_upstream_stream(self):
        ended = []

        def script(sock):
            start_stream(sock)
            ended.append(sock.recv(1))

        server = ScriptedServer([script])
        self.addCleanup(server.close)
        for parts_read in (0, 1):
            with self.subTest(parts_read=parts_read):
                entry = build_entry(server.address)
                body = post(entry, repeatable="yes").body
                for _ in range(parts_read):
                    next(body)
                body.close()
                self.assertEqual(entry.requests.in_flight, 0)
                self.assertEqual(entry.upstreams.in_flight["s1"], 0)
        eventlet.sleep(0.05)
        self.assertEqual(ended, [b"", b""])

    def test_abandoned_connection_is_not_reused(self):
        late = build_answer(b"late answer of the first request")
        server = ScriptedServer([stall(late[:-4]), answer_with_ticket(b"own")])
        self.addCleanup(server.close)
        entry = build_entry(server.address, progress_timeout_s=0.2)
        post(entry, repeatable="no", timeout_s="0.5")
        response = post(entry, repeatable="no")
        self.assertEqual(response.body, b"own")
        self.assertGreaterEqual(server.connections, 2)


class TestBadInput(unittest.TestCase):
    def test_invalid_request_is_rejected_before_anything_is_sent(self):
        server = ScriptedServer([answer_with_ticket(b"sent")])
        self.addCleanup(server.close)
        entry = build_entry(server.address, max_body_bytes=100)
        table = [
            dict(workspace="nobody"),
            dict(workspace=""),
            dict(timeout_s="soon"),
            dict(timeout_s="-1"),
            dict(timeout_s="nan"),
            dict(timeout_s="1e9"),
            dict(repeatable="maybe"),
            dict(ticket="mine"),
            dict(ticket="a.b.c.d"),
            dict(ticket="x" * 5000),
            dict(prefix="a b"),
            dict(path="nothing/post"),
            dict(path="ledger/a?b"),
            dict(path="ledger/" + "x" * 600),
            dict(body=b"x" * 101),
        ]
        for fault in table:
            with self.subTest(fault=str(fault)[:60]), self.assertRaises(BadRequest) as caught:
                post(entry, **fault)
            self.assertLess(len(str(caught.exception)), 1000)
        self.assertEqual((server.connections, entry.requests.in_flight), (0, 0))
