"""Test an agent over real sockets: the verdict for each point at which its engine can fail."""

import json
import unittest
from io import BytesIO

import eventlet

from daisystack.core.config_keeper import PublishedDocument
from daisystack.core.settings import AgentSettings
from daisystack.core.tickets import mint_ticket
from daisystack.runtime.agent import Agent
from daisystack.runtime.clock import now_s
from daisystack.runtime.web import BadRequest, Request
from daisystack.testing import build_raw_document
from daisystack.testing.fakes import FakeEngine
from daisystack.testing.scripted import (
    EndlessAnswer,
    ScriptedServer,
    build_answer,
    free_address,
    read_request,
    reset,
    send_and_close,
    stall,
)

EVENTS = b"9\r\ndata: 1\n\n\r\n0\r\n\r\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    + EVENTS
)


def build_agent(address, **settings):
    """Return an agent whose engine serves the intended weights and listens at an address."""
    addresses = [free_address() for _ in range(5)]
    agent = Agent(AgentSettings("m1", "mtl-1", *addresses, address, **settings))
    raw = build_raw_document(regions=["mtl"], agents=1, ledgers=0, entries=1)
    raw["register"]["instances"][-1]["peer_address"] = addresses[1]
    offer = PublishedDocument(1, json.dumps(raw).encode())
    config = agent.daemon.config.keeper.offer(offer, "test", now_s()).config
    agent.engine_task.engine = FakeEngine(config.document.intended_weights("m1"))
    agent.engine_task.read_report()
    return agent


def build_ticket(agent, nonce="n", lifetime_s=60.0):
    uptime_s = agent.daemon.uptime_s(now_s())
    return str(mint_ticket("m1", agent.daemon.incarnation, uptime_s, lifetime_s, nonce))


def forward(agent, ticket, body=b"{}", repeatable="no", **headers):
    environ = {
        "HTTP_DAISYSTACK_TICKET": ticket,
        "HTTP_DAISYSTACK_REPEATABLE": repeatable,
        "HTTP_DAISYSTACK_TIME_LEFT_S": "1",
        "HTTP_DAISYSTACK_MODEL": "assistant",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": BytesIO(body),
    }
    environ |= {f"HTTP_DAISYSTACK_{name.upper()}": value for name, value in headers.items()}
    response = agent.forwarder.handle(Request("POST", "", environ), "generate")
    # A response without it could be taken for that to another ticket on the same connection.
    assert dict(response.headers)["Daisystack-Ticket"] == str(ticket), response.headers
    return response


def verdict(response):
    headers = dict(response.headers)
    return headers["Daisystack-Verdict"], headers.get("Daisystack-Sealed", "")


class TestAgentVerdicts(unittest.TestCase):
    def serve(self, *scripts):
        server = ScriptedServer(list(scripts))
        self.addCleanup(server.close)
        return server

    def test_verdict_at_each_failure_point_and_on_resend(self):
        table = {
            "dies while headers are sent": reset(0),
            "dies before the first answer byte": send_and_close(b""),
            "dies in the body": send_and_close(build_answer(b"12", length=9)),
            "stalls": stall(),
            "stalls in the body": stall(build_answer(b"12", length=9)),
            "answers without a length": send_and_close(b"HTTP/1.1 200 OK\r\n\r\nhalf"),
            "answers more than max_answer_bytes": send_and_close(build_answer(b"x" * 101)),
        }
        for name, script in table.items():
            with self.subTest(name=name):
                server = self.serve(script)
                agent = build_agent(server.address, progress_timeout_s=0.2, max_answer_bytes=100)
                ticket = build_ticket(agent)
                for _ in range(2):
                    response = forward(agent, ticket)
                    self.assertEqual(verdict(response), ("may_have_run", "no"))
                self.assertEqual((server.connections, agent.forwarder.in_flight), (1, 0))

    # A body that trickled without end kept a place of the agent until it was max_answer_bytes long.
    def test_a_body_that_trickles_ends_after_the_deadline(self):
        head, byte = build_answer(b"", length=1_000_000), b"x"
        server = self.serve(EndlessAnswer(head, byte, 0.02))
        agent = build_agent(server.address, progress_timeout_s=0.2)
        with eventlet.Timeout(2.0):
            response = forward(agent, build_ticket(agent), time_left_s="0.3")
        self.assertEqual(verdict(response), ("may_have_run", "no"))
        self.assertEqual(agent.forwarder.in_flight, 0)

    def test_refused_engine_connection_is_not_run_and_sealed(self):
        agent = build_agent(free_address())
        ticket = build_ticket(agent)
        self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "yes"))
        server = self.serve(send_and_close(build_answer(b"ran")))
        agent.forwarder.upstream = type(agent.forwarder.upstream)(server.address, 1.0, False)
        self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "yes"))
        self.assertEqual(server.connections, 0)

    def test_resend_replays_recorded_answer_only_for_same_body(self):
        server = self.serve(send_and_close(build_answer(b"done")))
        agent = build_agent(server.address)
        ticket = build_ticket(agent)
        for body, expected in ((b"1", b"done"), (b"1", b"done")):
            self.assertEqual(forward(agent, ticket, body).body, expected)
        self.assertEqual(verdict(forward(agent, ticket, b"2")), ("may_have_run", "no"))
        self.assertEqual(server.connections, 1)

    def test_recorded_stream_is_replayed_completely(self):
        server = self.serve(send_and_close(STREAM))
        agent = build_agent(server.address)
        ticket = build_ticket(agent)
        self.assertEqual(b"".join(forward(agent, ticket).body), b"data: 1\n\n")
        self.assertEqual(forward(agent, ticket).body, b"data: 1\n\n")

    def test_unrecorded_answer_is_not_replayed_as_empty(self):
        for sent in (build_answer(b"done"), STREAM):
            with self.subTest(sent=sent[:40]):
                agent = build_agent(self.serve(send_and_close(sent)).address)
                ticket = build_ticket(agent)
                first = forward(agent, ticket, repeatable="yes").body
                self.assertTrue(first if isinstance(first, bytes) else b"".join(first))
                resend = forward(agent, ticket, repeatable="yes")
                self.assertEqual((resend.status, verdict(resend)), (502, ("ran", "no")))

    def test_invalid_tickets_are_refused_without_a_seal(self):
        server = self.serve(send_and_close(build_answer(b"ran")))
        agent = build_agent(server.address)
        own = build_ticket(agent)
        table = {
            "another owner": own.replace("m1.", "m2.", 1),
            "an earlier incarnation": own.replace(agent.daemon.incarnation, "earlier"),
            "expired": build_ticket(agent, lifetime_s=0.0),
            "lifetime too long": own.rsplit(".", 2)[0] + ".99999999999.n",
        }
        for name, ticket in table.items():
            with self.subTest(name=name):
                # Only this attempt is known not to have run: another owner or incarnation may have
                # run the ticket.
                self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "no"))
        self.assertEqual(server.connections, 0)

    def test_each_closed_gate_refuses_and_seals(self):
        server = self.serve(send_and_close(build_answer(b"ran")))
        for name, change in {
            "leaving": lambda a: setattr(a.daemon, "leaving", True),
            "other weights": lambda a: setattr(a.engine_task.engine, "serving", frozenset()),
            "loading": lambda a: setattr(a.engine_task.engine, "loading", True),
            "full": lambda a: setattr(a.forwarder, "in_flight", 1000),
        }.items():
            with self.subTest(name=name):
                agent = build_agent(server.address)
                change(agent)
                agent.engine_task.read_report()
                ticket = build_ticket(agent)
                self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "yes"))
        agent = build_agent(server.address)
        self.assertEqual(verdict(forward(agent, build_ticket(agent), model="z"))[0], "not_run")
        late = forward(agent, build_ticket(agent, "late"), time_left_s="0")
        self.assertEqual(verdict(late), ("not_run", "yes"))
        self.assertEqual(server.connections, 0)

    def test_full_table_refuses_and_seals_up_to_its_limit(self):
        server = self.serve(send_and_close(build_answer(b"ran")))
        agent = build_agent(server.address, max_tickets=5)
        verdicts = [verdict(forward(agent, build_ticket(agent, f"n{i}"))) for i in range(7)]
        self.assertEqual(verdicts[:4], [("ran", "")] * 4)
        self.assertEqual(verdicts[4:], [("not_run", "yes"), ("not_run", "no")] + verdicts[6:])
        self.assertEqual(server.connections, 4)

    def test_weights_changing_during_an_answer_is_an_error(self):
        changes = {
            "other version": lambda e: setattr(e, "serving", frozenset()),
            "engine restarted": lambda e: setattr(e, "life", "y"),
            "loaded again": lambda e: setattr(e, "fence", 7),
            "loading": lambda e: setattr(e, "loading", True),
            "no report": lambda e: setattr(e, "is_down", True),
        }
        for name, change in changes.items():
            for sent in (build_answer(b"done"), STREAM):
                with self.subTest(name=name, sent=sent[:60]):
                    agent = build_agent("127.0.0.1:1")

                    def script(sock, agent=agent, change=change, sent=sent):
                        read_request(sock)
                        change(agent.engine_task.engine)
                        sock.sendall(sent)

                    server = self.serve(script)
                    agent.forwarder.upstream.__init__(server.address, 1.0, False)
                    response = forward(agent, build_ticket(agent), repeatable="yes")
                    if isinstance(response.body, bytes):
                        self.assertEqual(verdict(response)[0], "may_have_run")
                    else:
                        with self.assertRaises(Exception):  # noqa: B017  (no last chunk)
                            list(response.body)

    def test_caller_disconnect_cancels_engine_stream(self):
        received = []

        def script(sock):
            read_request(sock)
            sock.sendall(STREAM[: -len(b"0\r\n\r\n")])
            received.append(sock.recv(1))

        server = self.serve(script)
        agent = build_agent(server.address)
        for parts_read in (0, 1):
            body = forward(agent, build_ticket(agent, f"n{parts_read}")).body
            for _ in range(parts_read):
                next(body)
            body.close()
        eventlet.sleep(0.05)
        self.assertEqual((received, agent.forwarder.in_flight), ([b"", b""], 0))

    def test_invalid_input_from_entry_is_rejected(self):
        agent = build_agent(free_address(), max_body_bytes=10)
        ticket = build_ticket(agent)
        for fault in (dict(ticket="x"), dict(body=b"x" * 11), dict(time_left_s="soon")):
            with self.subTest(fault=fault), self.assertRaises(BadRequest):
                forward(agent, **({"ticket": ticket} | fault))
