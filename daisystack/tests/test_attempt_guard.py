"""Test that what allows an attempt is checked again when the connection is open, before it is sent.

A connection takes up to some tenths of a second, and a process may be paused meanwhile for longer.
"""

import unittest
from unittest import mock

import attrs

from daisystack.core.targets import LONG_AGO_S, WeightTarget
from daisystack.core.traffic import RequestKind, Workspace
from daisystack.runtime.clock import now_s
from daisystack.runtime.direct_http import DirectExchange
from daisystack.testing.direct import (
    RecordingResponder,
    build_engine_profile,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import ScriptedServer, build_answer, read_request

GOOD = build_answer(b"good", head="Daisystack-Mark: m\r\n")
OWNERS = (Workspace("dealers", frozenset({"k1"})),)
OTHERS = (Workspace("others", frozenset({"k9"})),)


class TestChangeDuringConnect(unittest.TestCase):
    def serve(self, change, max_attempts=2, **engine):
        """Apply a change while the first connection is being opened; the second upstream is fine.

        Return the responder and the number of requests that reached each upstream.
        """
        received = {"u1": 0, "u2": 0}

        def count(name):
            def script(sock):
                if read_request(sock):
                    received[name] += 1
                    sock.sendall(GOOD)

            return script

        servers = {name: ScriptedServer([count(name)]) for name in received}
        for server in servers.values():
            self.addCleanup(server.close)
        slots = {"u1": 100, "u2": 10}
        upstreams = [
            build_upstream(n, s.address, slots=slots[n], **engine) for n, s in servers.items()
        ]
        policy = build_policy(
            build_route(RequestKind.UNSAFE, is_public=False, max_attempts=max_attempts), OWNERS
        )
        self.requests = build_requests(policy, upstreams)
        connect = DirectExchange.connect
        changes = [change]

        def connect_and_change(exchange):
            connect(exchange)
            if changes:
                changes.pop()()

        responder = RecordingResponder()
        inbound = build_inbound(daisystack_key="k1", **self.headers)
        with mock.patch.object(DirectExchange, "connect", connect_and_change):
            self.requests.handle(inbound, responder)
        return responder, received

    headers = {}

    # A key that was revoked while the connection was opened was still used.
    def test_revoked_key_is_not_used(self):
        def revoke():
            route = build_route(RequestKind.UNSAFE, is_public=False)
            self.requests.published.policy = build_policy(route, OTHERS)

        responder, received = self.serve(revoke)
        self.assertEqual((responder.status, received), (401, {"u1": 0, "u2": 0}))

    # A configuration that added a key to the workspace stopped requests with its other keys.
    def test_key_of_a_workspace_that_got_another_key_is_used(self):
        def add_key():
            workspace = Workspace("dealers", frozenset({"k1", "k2"}))
            route = build_route(RequestKind.UNSAFE, is_public=False)
            self.requests.published.policy = build_policy(route, (workspace,))

        responder, received = self.serve(add_key)
        self.assertEqual((responder.status, received), (200, {"u1": 1, "u2": 0}))

    # A process that was paused between its check and the send used keys that were too old.
    def test_key_that_was_not_confirmed_for_too_long_is_not_used(self):
        def pause():
            self.requests.operator_mirror.confirmed_s = now_s() - 60.0

        responder, received = self.serve(pause)
        self.assertEqual((responder.status, received), (503, {"u1": 0, "u2": 0}))
        self.assertIn(b"Retry-After", responder.headers)

    # An upstream that was found to leave while the connection was opened still got the request.
    def test_upstream_that_leaves_gets_nothing(self):
        def leave():
            placement = self.requests.placement
            placement.update_upstream(attrs.evolve(placement.get("u1"), is_ready=False))

        responder, received = self.serve(leave)
        self.assertEqual((responder.status, received), (200, {"u1": 0, "u2": 1}))

    # A route that allows one attempt answered 503 though no upstream had got the request.
    def test_attempt_that_was_not_sent_does_not_count(self):
        def remove():
            self.requests.placement.remove_upstream("u1")

        responder, received = self.serve(remove, max_attempts=1)
        self.assertEqual((responder.status, received), (200, {"u1": 0, "u2": 1}))

    def test_upstream_that_is_gone_or_restarted_gets_nothing(self):
        def remove():
            self.requests.placement.remove_upstream("u1")

        def restart():
            placement = self.requests.placement
            placement.update_upstream(attrs.evolve(placement.get("u1"), started_ms=99))

        for change in (remove, restart):
            with self.subTest(change.__name__):
                responder, received = self.serve(change)
                self.assertEqual((responder.status, received), (200, {"u1": 0, "u2": 1}))

    def test_upstream_that_wants_a_pause_gets_nothing(self):
        def pause():
            self.requests.placement.pauses.record_pause("u1", 0, 5.0, now_s())

        responder, received = self.serve(pause)
        self.assertEqual((responder.status, received), (200, {"u1": 0, "u2": 1}))

    # An engine's version ended while the connection was opened, and the request began on it.
    def test_engine_whose_version_has_ended_gets_nothing(self):
        def end_version():
            targets = self.requests.published.targets
            targets.learn(WeightTarget("m", 2), now_s() - 5.8)

        self.headers = {"daisystack_tokens": "100"}
        responder, received = self.serve_engine(end_version)
        self.assertEqual((responder.status, received), (503, {"u1": 0, "u2": 0}))

    def serve_engine(self, change):
        def learn_and_change():
            self.requests.placement.profiles["ledger"] = build_engine_profile()
            self.requests.published.targets.learn(WeightTarget("m", 1), LONG_AGO_S)
            change()

        return self.serve(learn_and_change, has_engine=True, version=1)


if __name__ == "__main__":
    unittest.main()
