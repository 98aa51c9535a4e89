"""Test the adapter's messages: store, headers, runner and origin."""

import base64
import json
import unittest

import eventlet

from daisystack.backends import BackendError, VersionWithdrawn
from daisystack.core.direct_request import InvalidRequest
from daisystack.runtime.clock import now_s
from daisystack.testing.direct import build_upstream
from daisystack.testing.scripted import ScriptedServer, build_answer, send_and_close, stall
from daisystack.tests.on_platform.adapter import (
    SERVER,
    HeaderDialect,
    KeyValueStore,
    Origin,
    Runner,
)

READ_BYTES = 65_536


class TestStore(unittest.TestCase):
    def item(self, key, revision, value=b"v"):
        encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "revision": revision, "created_rev": 1, "lease": 0}

    def page(self, items, as_of, more=False):
        return send_and_close(
            build_answer(json.dumps({"items": items, "as_of": as_of, "more_pages": more}).encode())
        )

    def read(self, *scripts):
        server = ScriptedServer(list(scripts))
        try:
            return KeyValueStore(server.address).read("op/")
        finally:
            server.close()

    def test_pages_form_one_snapshot_at_the_first_page_s_revision(self):
        snapshot = self.read(
            self.page([self.item("op/a", 3)], 5, more=True), self.page([self.item("op/b", 7)], 8)
        )
        self.assertEqual(
            (snapshot.revision, [c.key for c in snapshot.changes]), (5, ["op/a", "op/b"])
        )

    def test_values_that_cannot_be_decoded_become_empty(self):
        broken = self.item("op/a", 3) | {"value": "%%%"}
        snapshot = self.read(self.page([broken, self.item("op/b", 4)], 5))
        self.assertEqual([c.value for c in snapshot.changes], [b"", b"v"])

    # LOST: keys after one that is no text stayed unknown for good.
    def test_a_key_that_is_no_text_keeps_no_other_away(self):
        odd = self.item("op/\ud800", 3)
        snapshot = self.read(
            self.page([odd, self.item("op/b", 4), odd], 5, more=True),
            self.page([odd, self.item("op/c", 4)], 5),
        )
        self.assertEqual([change.key for change in snapshot.changes], ["op/b", "op/c"])

    # A read that left out keys which the store still holds counted as complete: they were deleted.
    def test_a_read_that_lacks_keys_is_no_snapshot(self):
        odd, sound = self.item("op/\ud800", 3), self.item("op/c", 4)
        cases = {
            "no readable key and more pages": ([odd], True),
            "a number that is no revision": ([self.item("op/b", 2**63), sound], False),
            "a negative revision": ([self.item("op/b", -1), sound], False),
        }
        for name, (items, more) in cases.items():
            with self.subTest(name), self.assertRaises(BackendError):
                self.read(self.page(items, 5, more), self.page([sound], 5))

    # An answer without a list of keys was read as an empty one: all keys were deleted.
    def test_a_read_without_a_list_of_keys_is_no_snapshot(self):
        with self.assertRaises(BackendError):
            self.read(send_and_close(build_answer(b'{"as_of": 5, "more_pages": false}')))
        self.assertEqual(self.read(self.page([], 5)).changes, ())

    def test_any_other_response_is_an_error(self):
        cases = {
            "busy": send_and_close(build_answer(b"", "503 Service Unavailable")),
            "by rate": send_and_close(build_answer(b"", "429 Too Many Requests")),
            "forgotten": send_and_close(build_answer(b"", "410 Gone")),
            "cut": send_and_close(build_answer(b'{"items": [', length=100)),
            "closed": send_and_close(b""),
            "no JSON": send_and_close(build_answer(b"<html>")),
            "no revision": send_and_close(build_answer(b'{"items": []}')),
            "silent": stall(),
        }
        for name, script in cases.items():
            with self.subTest(name), self.assertRaises(BackendError):
                self.read(script)

    def test_a_watch_returns_changed_and_deleted_keys(self):
        events = [self.item("op/a", 6), {"key": "op/b", "revision": 7, "deleted": True}]
        body = json.dumps({"events": events, "as_of": 7}).encode()
        server = ScriptedServer([send_and_close(build_answer(body))])
        changes = KeyValueStore(server.address).watch("op/", 5, 1.0, 0)
        self.assertEqual([(c.key, c.value) for c in changes], [("op/a", b"v"), ("op/b", None)])

    def test_the_era_of_the_store_is_part_of_each_answer(self):
        body = json.dumps({"items": [], "as_of": 5}).encode()
        snapshot = self.read(send_and_close(build_answer(body, head="Store-Era: 3\r\n")))
        self.assertEqual((snapshot.era, snapshot.revision), (3, 5))
        self.assertEqual(self.read(self.page([], 5)).era, 0)
        with self.assertRaisesRegex(BackendError, "Store-Era: got '-1'"):
            self.read(send_and_close(build_answer(body, head="Store-Era: -1\r\n")))

    def test_pages_or_a_watch_of_another_era_are_an_error(self):
        page = json.dumps({"items": [self.item("op/a", 3)], "as_of": 5, "more_pages": True})
        first = send_and_close(build_answer(page.encode(), head="Store-Era: 3\r\n"))
        with self.assertRaisesRegex(BackendError, "eras 3 and 0"):
            self.read(first, self.page([self.item("op/b", 4)], 5))
        body = json.dumps({"events": [], "as_of": 7}).encode()
        watch = send_and_close(build_answer(body, head="Store-Era: 4\r\n"))
        server = ScriptedServer([watch])
        with self.assertRaisesRegex(BackendError, "got era 4, expected 3"):
            KeyValueStore(server.address).watch("op/", 5, 0.1, 3)

    def test_a_truncated_watch_or_lost_history_is_an_error(self):
        for script in (
            send_and_close(build_answer(b"", "410 Gone")),
            send_and_close(b""),
            send_and_close(build_answer(b'{"ev', length=50)),
        ):
            server = ScriptedServer([script])
            with self.assertRaises(BackendError):
                KeyValueStore(server.address).watch("op/", 5, 0.1, 0)


class TestHeaders(unittest.TestCase):
    HEADERS = (
        (b"host", b"A.example:80"),
        (b"x-attempt-id", b"abc"),
        (b"x-deadline-ms", b"6093"),
        (b"api-key", b"k1"),
        (b"x-tenant", b"forged"),
        (b"x-expect-instance", b"forged"),
        (b"x-request-priority", b"0"),
        (b"path", b"10.0.0.1:1=0-16"),
        (b"connection", b"x-private, x-attempt-id"),
        (b"x-private", b"1"),
        (b"x-model", b"m"),
        (b"x-token-usage", b"1460,80"),
        (b"x-length-hint", b"60"),
        (b"x-prompt-prefix", b"5c:800"),
        (b"last-event-id", b"12"),
        (b"content-length", b"2"),
    )

    def build(self, headers=HEADERS):
        return HeaderDialect().read_request("POST", "/x/1?q=/y/", headers, b"{}", 0.0)

    def test_all_parts_of_a_prompt_but_the_last_are_shared(self):
        many = ",".join(f"{index:x}:1" for index in range(64))
        cases = {
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250": ("5c1e07a2", "91bd3f06"),
            "AB:1,ab:2,c:3": ("ab",),
            "5c1e07a2:800": (),
            many: tuple(f"{index:x}" for index in range(63)),
            # Nothing is concluded from a list that is malformed or too long.
            many + ",ff:1": (),
            "5c1e07a2:800,": (),
            "5c1e07a2,91bd3f06:410,c:1": (),
            "x:1,y:2,z:3": (),
            "": (),
        }
        for value, parts in cases.items():
            with self.subTest(value):
                headers = ((b"x-attempt-id", b"r"), (b"x-model", b"m"))
                headers += ((b"x-prompt-prefix", value.encode()),)
                request = HeaderDialect().read_request("POST", "/x", headers, b"", 0.0)
                self.assertEqual(request.prompt.shared_parts, parts)

    def write(self, request, **overrides):
        defaults = {"workspace": "t1", "time_left_s": 1.5, "priority": 1, "exact_version": None}
        defaults |= {"resume_after": None}
        upstream = build_upstream("i-1", has_engine=True)
        return dict(HeaderDialect().write_request(request, upstream, **(defaults | overrides)))

    def test_request_headers_are_decoded(self):
        request = self.build()
        self.assertEqual((request.id, request.host, request.path), ("abc", "a.example", "/x/1"))
        self.assertEqual((request.time_left_s, request.api_key), (6.093, "k1"))
        self.assertEqual(
            (request.prompt.prompt_tokens, request.prompt.max_answer_tokens), (1460, 80)
        )
        self.assertEqual((request.prompt.expected_answer_tokens, request.resume_after), (60, "12"))

    # LOST: a request or an answer with such a number ended without any answer to the caller.
    def test_numbers_that_are_too_large_count_as_absent(self):
        for digits in (19, 63, 400, 5000):
            headers = dict(self.HEADERS)
            headers |= {b"x-deadline-ms": b"9" * digits, b"x-length-hint": b"9" * digits}
            request = self.build(tuple(headers.items()))
            self.assertEqual(request.time_left_s, 3600.0)
            self.assertEqual(request.prompt.expected_answer_tokens, 80)
            answer = HeaderDialect().read_answer(200, ((b"x-weight-versions", b"9" * digits),))
            self.assertIsNone(answer.version)

    def test_an_attempt_carries_the_system_s_headers_and_no_forged_ones(self):
        attempt = self.write(self.build(), exact_version=3)
        self.assertEqual(attempt[b"x-tenant"], b"t1")
        self.assertEqual(attempt[b"x-expect-instance"], b"i-1")
        self.assertEqual(attempt[b"x-expect-version"], b"3")
        self.assertEqual(attempt[b"x-deadline-ms"], b"1500")
        self.assertEqual(attempt[b"x-request-priority"], b"1")
        self.assertEqual(attempt[b"last-event-id"], b"12")
        for name in (b"api-key", b"path", b"x-private"):
            self.assertNotIn(name, attempt)
        for name in (b"x-attempt-id", b"x-model", b"x-token-usage", b"x-prompt-prefix", b"host"):
            self.assertEqual(attempt[name], dict(self.HEADERS)[name])

    def test_a_public_request_carries_no_workspace(self):
        self.assertNotIn(b"x-tenant", self.write(self.build(), workspace=None))

    def test_a_resumed_attempt_continues_after_the_last_forwarded_event(self):
        self.assertEqual(self.write(self.build(), resume_after="20")[b"last-event-id"], b"20")

    def test_a_request_without_a_valid_id_is_refused(self):
        for value in (None, b"", b"a b", b"x" * 200):
            headers = [h for h in self.HEADERS if h[0] != b"x-attempt-id"]
            if value is not None:
                headers.append((b"x-attempt-id", value))
            with self.subTest(value), self.assertRaises(InvalidRequest):
                self.build(tuple(headers))

    # BUDGET: a refusal without an id was ignored, and its pause with it.
    def test_refusals_speak_for_their_upstream_without_an_id(self):
        cases = {
            (503, ((b"x-not-executed", b"1"),)): True,
            (503, ((b"x-not-executed", b"1"), (b"x-attempt-id", b"other"))): False,
            (503, ()): False,
            (200, ((b"x-response-stamp", b"s"), (b"x-attempt-id", b"r1"))): True,
        }
        for (status, headers), is_own in cases.items():
            answer = HeaderDialect().read_answer(status, headers)
            self.assertEqual(answer.is_from_upstream("r1"), is_own, (status, headers))

    def test_responses_report_whether_the_request_ran(self):
        mark = (b"x-response-stamp", b"s")
        cases = [
            (503, ((b"x-not-executed", b"1"),), True, False),
            (421, (), True, False),
            (503, (mark,), False, False),
            (429, (mark,), False, False),
            (408, (mark,), False, False),
            (500, (mark,), False, True),
            (200, (mark,), False, True),
            (200, (), False, False),
        ]
        for status, headers, was_not_run, is_genuine in cases:
            with self.subTest(status=status, headers=headers):
                decoded = HeaderDialect().read_answer(status, headers)
                self.assertEqual(
                    (decoded.was_not_run, decoded.is_genuine), (was_not_run, is_genuine)
                )

    def test_responses_report_that_the_upstream_leaves_or_wants_a_pause(self):
        cases = [
            (200, ((b"server-leaving", b"1"),), True, None),
            (503, ((b"server-leaving", b" 1 "), (b"retry-after", b"2")), True, "2"),
            (503, ((b"retry-after", b"soon"),), False, "soon"),
            # Only a 503 asks for a pause.
            (429, ((b"retry-after", b"2"),), False, None),
            (200, ((b"server-leaving", b"0"),), False, None),
        ]
        for status, headers, is_leaving, retry_after in cases:
            with self.subTest(status=status, headers=headers):
                answer = HeaderDialect().read_answer(status, headers)
                self.assertEqual((answer.is_leaving, answer.retry_after), (is_leaving, retry_after))


class TestRunner(unittest.TestCase):
    def call(self, script, action):
        server = ScriptedServer([script])
        try:
            return action(Runner(server.address))
        finally:
            server.close()

    def order(self, runner, send_by_s=float("inf")):
        return runner.order_load("m", 2, 4, send_by_s)

    def test_a_report_is_decoded(self):
        report = {"models": SERVER["models"], "layers": SERVER["layers"], "busy": False, "seq": 2}
        report |= {"running": 12, "queued": 1, "born": 5, "pace": 3.5}
        state = self.call(
            send_and_close(build_answer(json.dumps(report).encode())), lambda r: r.state()
        )
        self.assertEqual((state.version, state.order_count, state.running), (3, 2, 12))
        self.assertEqual(state.slowdown, 3.5)

    def test_an_invalid_report_is_an_error(self):
        for body in (b"", b"[]", b'{"seq": "2"}', b'{"seq": 2, "busy": 1}'):
            with self.subTest(body), self.assertRaises(BackendError):
                self.call(send_and_close(build_answer(body)), lambda r: r.state())

    def test_only_status_200_and_202_accept_an_order(self):
        for status, accepted in [
            ("202 Accepted", True),
            ("200 OK", True),
            ("409 Conflict", False),
            ("412 Precondition Failed", False),
            ("400 Bad Request", False),
            ("421 Misdirected Request", False),
        ]:
            with self.subTest(status):
                response = self.call(send_and_close(build_answer(b"", status)), self.order)
                self.assertEqual(response.accepted, accepted)

    def test_an_order_without_a_response_is_an_error(self):
        with self.assertRaises(BackendError):
            self.call(send_and_close(b""), self.order)

    # WHOLE: the connection may have opened long after the pieces were checked.
    def test_an_order_whose_time_has_passed_is_not_sent(self):
        received = []

        def read_all(sock):
            while data := sock.recv(READ_BYTES):
                received.append(data)

        with self.assertRaises(BackendError):
            self.call(read_all, lambda r: self.order(r, now_s() - 0.01))
        eventlet.sleep(0.05)
        self.assertNotIn(b"start", b"".join(received))

    def test_a_missing_piece_is_none(self):
        script = send_and_close(build_answer(b"", "404 Not Found"))
        self.assertIsNone(self.call(script, lambda r: r.read_staged("m", 1)))


class TestOrigin(unittest.TestCase):
    def call(self, body, status="200 OK", length=None):
        server = ScriptedServer([send_and_close(build_answer(body, status, length=length))])
        try:
            return Origin(server.address).piece_list("m", 2)
        finally:
            server.close()

    def test_a_piece_list_must_match_the_requested_version(self):
        manifest = {"model": "m", "version": 2, "digests": ["ab" * 32]}
        self.assertEqual(self.call(json.dumps(manifest).encode()).digests, ("ab" * 32,))
        for overrides in ({"version": 3}, {"model": "n"}, {"digests": ["zz"]}, {"digests": []}):
            with self.subTest(overrides), self.assertRaises(BackendError):
                self.call(json.dumps(manifest | overrides).encode())

    def test_a_withdrawn_version_raises_its_own_error(self):
        with self.assertRaises(VersionWithdrawn):
            self.call(b"", "410 Gone")

    def test_a_truncated_response_is_an_error(self):
        with self.assertRaises(BackendError):
            self.call(b'{"model"', length=100)
