"""Contract of an agent over real sockets: each failure point of its engine and the verdict."""

import json
import unittest
from io import BytesIO

import eventlet

from daisystack.core.config_keeper import Published
from daisystack.core.settings import AgentSettings
from daisystack.core.tickets import mint_ticket
from daisystack.runtime.agent import Agent
from daisystack.runtime.clock import now_s
from daisystack.runtime.web import BadRequest, Request
from daisystack.testing import build_raw_document
from daisystack.testing.fakes import FakeEngine
from daisystack.testing.scripted import (
    ScriptedServer,
    answer,
    cut,
    free_address,
    read_request,
    reset,
    silence,
)

EVENTS = b"9\r\ndata: 1\n\n\r\n0\r\n\r\n"
STREAM = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    + EVENTS
)


def make_agent(address, **settings):
    """Return an agent whose engine serves what is intended and answers at an address."""
    addresses = [free_address() for _ in range(5)]
    agent = Agent(AgentSettings("m1", "mtl-1", *addresses, address, **settings))
    raw = build_raw_document(regions=["mtl"], agents=1, ledgers=0, entries=1)
    raw["register"]["instances"][-1]["peer_address"] = addresses[1]
    offer = Published(1, json.dumps(raw).encode())
    config = agent.daemon.config.keeper.offer(offer, "test", now_s()).config
    agent.engine.engine = FakeEngine(config.document.intent_of("m1"))
    agent.engine.read_report()
    return agent


def ticket_of(agent, nonce="n", lifetime_s=60.0):
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
    return agent.forwarder.handle(Request("POST", "", environ), "generate")


def verdict(response):
    headers = dict(response.headers)
    return headers["Daisystack-Verdict"], headers.get("Daisystack-Sealed", "")


class TestAgentVerdicts(unittest.TestCase):
    def serve(self, *scripts):
        server = ScriptedServer(list(scripts))
        self.addCleanup(server.close)
        return server

    def test_failure_points_and_what_a_resend_gets(self):
        table = {
            "dies while headers are sent": reset(0),
            "dies before the first answer byte": cut(b""),
            "dies in the body": cut(answer(b"12", length=9)),
            "goes silent": silence(),
            "goes silent in the body": silence(answer(b"12", length=9)),
            "answers without a length": cut(b"HTTP/1.1 200 OK\r\n\r\nhalf"),
            "answers more than allowed": cut(answer(b"x" * 101)),
        }
        for name, script in table.items():
            with self.subTest(name=name):
                server = self.serve(script)
                agent = make_agent(server.address, progress_timeout_s=0.2, max_answer_bytes=100)
                ticket = ticket_of(agent)
                for _ in range(2):
                    response = forward(agent, ticket)
                    self.assertEqual(verdict(response), ("may_have_run", "no"))
                self.assertEqual((server.connections, agent.forwarder.in_flight), (1, 0))

    def test_an_engine_that_refuses_connections_did_not_run_it_and_never_will(self):
        agent = make_agent(free_address())
        ticket = ticket_of(agent)
        self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "yes"))
        server = self.serve(cut(answer(b"ran")))
        agent.forwarder.upstream = type(agent.forwarder.upstream)(server.address, 1.0, False)
        self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "yes"))
        self.assertEqual(server.connections, 0)

    def test_a_resend_gets_the_recorded_answer_only_for_the_same_body(self):
        server = self.serve(cut(answer(b"done")))
        agent = make_agent(server.address)
        ticket = ticket_of(agent)
        for body, expected in ((b"1", b"done"), (b"1", b"done")):
            self.assertEqual(forward(agent, ticket, body).body, expected)
        self.assertEqual(verdict(forward(agent, ticket, b"2")), ("may_have_run", "no"))
        self.assertEqual(server.connections, 1)

    def test_a_recorded_stream_is_replayed_whole(self):
        server = self.serve(cut(STREAM))
        agent = make_agent(server.address)
        ticket = ticket_of(agent)
        self.assertEqual(b"".join(forward(agent, ticket).body), b"data: 1\n\n")
        self.assertEqual(forward(agent, ticket).body, b"data: 1\n\n")

    def test_what_was_not_kept_is_never_replayed_as_an_empty_answer(self):
        for sent in (answer(b"done"), STREAM):
            with self.subTest(sent=sent[:40]):
                agent = make_agent(self.serve(cut(sent)).address)
                ticket = ticket_of(agent)
                first = forward(agent, ticket, repeatable="yes").body
                self.assertTrue(first if isinstance(first, bytes) else b"".join(first))
                resend = forward(agent, ticket, repeatable="yes")
                self.assertEqual((resend.status, verdict(resend)), (502, ("ran", "no")))

    def test_tickets_of_others_are_refused_without_a_seal(self):
        server = self.serve(cut(answer(b"ran")))
        agent = make_agent(server.address)
        own = ticket_of(agent)
        table = {
            "another owner": own.replace("m1.", "m2.", 1),
            "an earlier life": own.replace(agent.daemon.incarnation, "earlier"),
            "expired": ticket_of(agent, lifetime_s=0.0),
            "too long": own.rsplit(".", 2)[0] + ".99999999999.n",
        }
        for name, ticket in table.items():
            with self.subTest(name=name):
                # Only this attempt is known not to have run; another owner or life may know more.
                self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "no"))
        self.assertEqual(server.connections, 0)

    def test_each_closed_gate_seals(self):
        server = self.serve(cut(answer(b"ran")))
        for name, change in {
            "leaving": lambda a: setattr(a.daemon, "leaving", True),
            "other weights": lambda a: setattr(a.engine.engine, "serving", frozenset()),
            "loading": lambda a: setattr(a.engine.engine, "loading", True),
            "full": lambda a: setattr(a.forwarder, "in_flight", 1000),
        }.items():
            with self.subTest(name=name):
                agent = make_agent(server.address)
                change(agent)
                agent.engine.read_report()
                ticket = ticket_of(agent)
                self.assertEqual(verdict(forward(agent, ticket)), ("not_run", "yes"))
        agent = make_agent(server.address)
        self.assertEqual(verdict(forward(agent, ticket_of(agent), model="z"))[0], "not_run")
        late = forward(agent, ticket_of(agent, "late"), time_left_s="0")
        self.assertEqual(verdict(late), ("not_run", "yes"))
        self.assertEqual(server.connections, 0)

    def test_a_full_table_refuses_and_seals_while_it_can(self):
        server = self.serve(cut(answer(b"ran")))
        agent = make_agent(server.address, max_tickets=5)
        said = [verdict(forward(agent, ticket_of(agent, f"n{i}"))) for i in range(7)]
        self.assertEqual(said[:4], [("ran", "")] * 4)
        self.assertEqual(said[4:], [("not_run", "yes"), ("not_run", "no")] + said[6:])
        self.assertEqual(server.connections, 4)

    def test_an_answer_during_which_the_weights_changed_is_an_error(self):
        changes = {
            "other version": lambda e: setattr(e, "serving", frozenset()),
            "engine restarted": lambda e: setattr(e, "life", "y"),
            "loaded again": lambda e: setattr(e, "fence", 7),
            "loading": lambda e: setattr(e, "loading", True),
            "no report": lambda e: setattr(e, "is_down", True),
        }
        for name, change in changes.items():
            for sent in (answer(b"done"), STREAM):
                with self.subTest(name=name, sent=sent[:60]):
                    agent = make_agent("127.0.0.1:1")

                    def script(sock, agent=agent, change=change, sent=sent):
                        read_request(sock)
                        change(agent.engine.engine)
                        sock.sendall(sent)

                    server = self.serve(script)
                    agent.forwarder.upstream.__init__(server.address, 1.0, False)
                    response = forward(agent, ticket_of(agent), repeatable="yes")
                    if isinstance(response.body, bytes):
                        self.assertEqual(verdict(response)[0], "may_have_run")
                    else:
                        with self.assertRaises(Exception):  # noqa: B017  (no last chunk)
                            list(response.body)

    def test_a_caller_that_leaves_cancels_the_engines_stream(self):
        seen = []

        def script(sock):
            read_request(sock)
            sock.sendall(STREAM[: -len(b"0\r\n\r\n")])
            seen.append(sock.recv(1))

        server = self.serve(script)
        agent = make_agent(server.address)
        for taken in (0, 1):
            body = forward(agent, ticket_of(agent, f"n{taken}")).body
            for _ in range(taken):
                next(body)
            body.close()
        eventlet.sleep(0.05)
        self.assertEqual((seen, agent.forwarder.in_flight), ([b"", b""], 0))

    def test_bad_input_from_an_entry_is_refused(self):
        agent = make_agent(free_address(), max_body_bytes=10)
        ticket = ticket_of(agent)
        for fault in (dict(ticket="x"), dict(body=b"x" * 11), dict(time_left_s="soon")):
            with self.subTest(fault=fault), self.assertRaises(BadRequest):
                forward(agent, **({"ticket": ticket} | fault))
