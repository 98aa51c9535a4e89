"""The adapter: settings, store, published documents, headers, engine and origin, in tables."""

import base64
import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from daisystack.backends import BackendError, PublicationRefused, VersionWithdrawn  # noqa: E402
from daisystack.core.direct_request import RequestRefused  # noqa: E402
from daisystack.core.mirror import Change  # noqa: E402
from daisystack.core.settings import SettingsRefused  # noqa: E402
from daisystack.core.targets import WeightTarget  # noqa: E402
from daisystack.core.traffic import RequestKind  # noqa: E402
from daisystack.testing.direct import build_upstream  # noqa: E402
from daisystack.testing.scripted import ScriptedServer, answer, cut, silence  # noqa: E402
from documents import DocumentReader  # noqa: E402
from engine import Origin, Runner  # noqa: E402
from headers import HeaderDialect  # noqa: E402
from settings_file import read_agent, read_entry, read_lines, read_place  # noqa: E402
from store import KeyValueStore  # noqa: E402

SETTINGS = """
node_name=front-1
ip=10.1.0.40
zone=mtl-a
region=mtl
listen.front=10.1.0.40:8005
listen.ready=10.1.0.40:8002
listen.control=10.1.0.40:8000
listen.directory=10.1.0.40:8009
port_range=7700,7715
seeds=10.1.0.40:8000,10.2.0.37:8000
limits.link_mbps=3.8
bounds.version_ms=8000
bounds.revoke_ms=5000
platform.address=10.200.1.7:8007
app=10.1.0.43:8001
service=pool
new.field=ignored
"""

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "A.example",
            "prefix": "/x/",
            "kind": "streaming",
            "timeout_ms": 6000,
            "target_latency_ms": 405,
            "priority": 1,
            "service": "pool",
            "max_attempts": 2,
            "public": False,
            "stream_resume": True,
            "gap_aim_ms": 300,
        },
        {
            "name": "r2",
            "host": "b.example",
            "prefix": "/",
            "kind": "unsafe",
            "timeout_ms": 800,
            "traffic_split": [{"service": "pool", "weight": 90}, {"service": "s2", "weight": 10}],
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "pool",
            "max_connections": 364,
            "engine": {
                "stride": 6,
                "models": [{"name": "m", "warm_s": 0.3}],
                "step_ms": 6.73,
                "read_per_s": 30600.0,
                "chunk": 2048,
                "usual": {"prompt": 964, "answer": 119},
                "layers": 16,
                "chunks": 64,
                "chunk_bytes": 32768,
            },
        },
        {"name": "portal", "origin": "172.20.0.3:8006", "zone": "mtl-a"},
    ],
    "limits": {"max_header_bytes": 100, "idle_timeout_ms": 1500},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}

ENTRY = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "mtl-a",
    "version": "v1",
    "slots": 16,
    "state": "ready",
    "cold_left_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "layers": [{"from": 0, "to": 16, "version": 3}],
    "seq": 4,
    "born": 1700000000000,
}


def read(key, value):
    reader = DocumentReader()
    reader.read(Change("op/config", 1, json.dumps(CONFIG).encode()))
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return reader.read(Change(key, 2, body))


class TestName(unittest.TestCase):
    def test_libraries_get_the_standard_library_s_module(self):
        code = "import platform, sys; sys.exit(not hasattr(platform, 'python_version'))"
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False)
        self.assertEqual(done.returncode, 0)
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

    def test_the_platform_s_names_stand_in_the_adapter_alone(self):
        names = re.compile(
            r"X-(Attempt-Id|Deadline-Ms|Expect-|Response-Stamp|Not-Executed|Token-Usage|Tenant)"
            r"|X-(Prompt-Prefix|Weight-Versions|Request-Priority|Length-Hint)|Api-Key"
            r"|kv-(key|range|watch)|stage-(put|get)|target_latency_ms|traffic_split|api_keys"
            r"|health_path|cold_left_ms|gap_aim_ms|/daisystack/|more_pages|node_name|grace_s=",
            re.IGNORECASE,
        )
        for path in ROOT.rglob("*.py"):
            inside = path.relative_to(ROOT).parts
            if inside[0] in ("daisystack", "tools", "benchmarks") and "tests" not in inside:
                for number, line in enumerate(path.read_text().splitlines(), 1):
                    with self.subTest(path=str(path), line=number):
                        self.assertIsNone(names.search(line))

    def test_the_program_names_its_roles(self):
        done = subprocess.run(
            [sys.executable, "platform/serve.py", "nothing"],
            cwd=ROOT,
            check=False,
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.returncode, 2)
        self.assertIn("allowed are entry, agent", done.stderr)

    def test_faulty_settings_are_all_named_and_nothing_starts(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings"
            path.write_text(SETTINGS.replace("zone=mtl-a", "zone=").replace(":8005", ":x"))
            for where, said in [(path, ["zone", "listen.front"]), (path / "no", ["can't start"])]:
                done = subprocess.run(
                    [sys.executable, "platform/serve.py", "entry"],
                    cwd=ROOT,
                    check=False,
                    capture_output=True,
                    text=True,
                    env=os.environ | {"DAISYSTACK_SETTINGS": str(where)},
                )
                self.assertEqual(done.returncode, 2)
                self.assertNotIn("Traceback", done.stderr)
                for words in said:
                    self.assertIn(words, done.stderr)


class TestSettings(unittest.TestCase):
    def test_an_entry_and_an_agent_read_the_same_file(self):
        entry, store = read_entry(read_lines(SETTINGS))
        self.assertEqual((entry.caller_address, store), ("10.1.0.40:8005", "10.200.1.7:8007"))
        self.assertEqual((entry.version_bound_s, entry.place.zone), (8.0, "mtl-a"))
        agent, _ = read_agent(read_lines(SETTINGS))
        self.assertEqual((agent.engine_address, agent.link_bytes_per_s), ("10.1.0.43:8001", 475e3))

    def test_every_fault_is_named_at_once(self):
        text = SETTINGS.replace("10.1.0.40:8005", "nowhere").replace("zone=mtl-a", "zone=")
        text = text.replace("7700,7715", "7700").replace("revoke_ms=5000", "revoke_ms=-1")
        text = text.replace("platform.address", "another.name")
        with self.assertRaises(SettingsRefused) as caught:
            read_entry(read_lines(text))
        said = " ".join(str(fault) for fault in caught.exception.exceptions)
        for name in ("listen.front", "zone", "port_range", "bounds.revoke_ms", "platform.address"):
            self.assertIn(name, said)

    def test_lines_that_are_no_settings_are_named_by_number(self):
        with self.assertRaises(SettingsRefused) as caught:
            read_lines("a=1\nnonsense\n# note\n\n=x\n")
        said = " ".join(str(fault) for fault in caught.exception.exceptions)
        self.assertIn("line 2", said)
        self.assertIn("line 5", said)

    def test_seeds_may_be_missing_and_may_change(self):
        self.assertEqual(read_place(read_lines(SETTINGS.replace("seeds=", "no="))).seeds, ())
        changed = SETTINGS.replace("10.2.0.37:8000", "10.9.0.1:8000")
        self.assertIn("10.9.0.1:8000", read_place(read_lines(changed)).seeds)


class TestConfiguration(unittest.TestCase):
    def test_it_becomes_the_product_s_types(self):
        policy = read("op/config", CONFIG)
        route = policy.find_route("a.example", "/x/1")
        self.assertEqual((route.kind, route.timeout_s), (RequestKind.STREAM, 6.0))
        self.assertEqual((route.max_attempts, route.is_repeatable), (2, True))
        self.assertEqual(len(policy.find_route("b.example", "/q").shares), 2)
        self.assertEqual(policy.find_workspace("k2").name, "t1")
        self.assertIsNone(policy.find_workspace("k3"))
        engine = policy.engine_of("pool")
        self.assertEqual((engine.layers, engine.load_s), (16, 0.3))
        self.assertAlmostEqual(engine.step_s, 0.00673)
        origin = policy.origins()[0]
        self.assertEqual((origin.origin_address, origin.zone), ("172.20.0.3:8006", "mtl-a"))
        self.assertEqual((policy.limits.max_head_bytes, policy.limits.idle_timeout_s), (100, 1.5))

    def test_what_can_t_be_read_is_refused_with_its_place(self):
        faulty = json.loads(json.dumps(CONFIG))
        faulty["routes"][1]["kind"] = "other"
        for value, said in [
            (b"{", "no JSON"),
            (b"[]", "allowed is an object"),
            (b"\xff\xfe", "no JSON"),
            ({"version": "7"}, "version"),
            (faulty, r"routes[1].kind"),
        ]:
            with self.subTest(said), self.assertRaises(PublicationRefused) as caught:
                read("op/config", value)
            self.assertIn(said, str(caught.exception))

    def test_a_version_is_a_target(self):
        self.assertEqual(read("op/version/m", {"model": "m", "version": 2}), WeightTarget("m", 2))

    def test_other_keys_are_of_no_concern(self):
        self.assertIsNone(read("op/another", {}))


class TestUpstreams(unittest.TestCase):
    def test_an_entry_becomes_an_upstream(self):
        found = read("servers/i-1", ENTRY)
        self.assertEqual((found.id, found.is_ready, found.version), ("i-1", True, 3))
        self.assertEqual((found.slots, found.born_ms, found.has_engine), (16, 1700000000000, True))

    def test_draining_is_not_ready(self):
        self.assertFalse(read("servers/i-1", ENTRY | {"state": "draining"}).is_ready)

    def test_another_writer_s_entry_names_no_upstream(self):
        cases = [
            ENTRY | {"state": "leaving"},
            ENTRY | {"slots": "16"},
            ENTRY | {"slots": True},
            ENTRY | {"address": "localhost:1"},
            ENTRY | {"address": 5},
            ENTRY | {"born": "now"},
            ENTRY | {"version": 1},
            ENTRY | {"seq": -1},
            ENTRY | {"layers": "all"},
            ENTRY | {"models": {"name": "m"}},
            {k: v for k, v in ENTRY.items() if k != "zone"},
            {k: v for k, v in ENTRY.items() if k != "seq"},
            b"\x00\xff",
            b"null",
        ]
        for value in cases:
            with self.subTest(value), self.assertRaises(PublicationRefused):
                read("servers/i-1", value)

    def test_weights_count_only_when_every_layer_is_of_one_version(self):
        cases = [
            ([{"from": 0, "to": 16, "version": 3}], 3),
            ({"from": 0, "to": 16, "version": 3}, 3),
            ([{"from": 8, "to": 16, "version": 3}, {"from": 0, "to": 8, "version": 3}], 3),
            ([{"from": 0, "to": 8, "version": 3}], 0),
            ([{"from": 1, "to": 16, "version": 3}], 0),
            ([{"from": 0, "to": 8, "version": 3}, {"from": 8, "to": 16, "version": 2}], 0),
            ([{"from": 0, "to": 8, "version": 3}, {"from": 9, "to": 16, "version": 3}], 0),
            ([], 0),
            (None, 0),
        ]
        for layers, version in cases:
            with self.subTest(layers):
                self.assertEqual(read("servers/i-1", ENTRY | {"layers": layers}).version, version)


class TestStore(unittest.TestCase):
    def item(self, key, revision, value=b"v"):
        coded = base64.b64encode(value).decode()
        return {"key": key, "value": coded, "revision": revision, "created_rev": 1, "lease": 0}

    def page(self, items, as_of, more=False):
        return cut(
            answer(json.dumps({"items": items, "as_of": as_of, "more_pages": more}).encode())
        )

    def read(self, *scripts):
        server = ScriptedServer(list(scripts))
        try:
            return KeyValueStore(server.address).read("op/")
        finally:
            server.close()

    def test_pages_are_one_snapshot_as_of_the_first(self):
        found = self.read(
            self.page([self.item("op/a", 3)], 5, more=True), self.page([self.item("op/b", 7)], 8)
        )
        self.assertEqual((found.revision, [c.key for c in found.changes]), (5, ["op/a", "op/b"]))

    def test_unreadable_bytes_are_left_to_the_key_s_reader(self):
        broken = self.item("op/a", 3) | {"value": "%%%"}
        found = self.read(self.page([broken, self.item("op/b", 4)], 5))
        self.assertEqual([c.value for c in found.changes], [b"", b"v"])

    def test_every_other_answer_is_a_failure(self):
        cases = {
            "busy": cut(answer(b"", "503 Service Unavailable")),
            "by rate": cut(answer(b"", "429 Too Many Requests")),
            "forgotten": cut(answer(b"", "410 Gone")),
            "cut": cut(answer(b'{"items": [', length=100)),
            "closed": cut(b""),
            "no JSON": cut(answer(b"<html>")),
            "no revision": cut(answer(b'{"items": []}')),
            "silent": silence(),
        }
        for name, script in cases.items():
            with self.subTest(name), self.assertRaises(BackendError):
                self.read(script)

    def test_a_watch_returns_what_changed_and_what_went(self):
        events = [self.item("op/a", 6), {"key": "op/b", "revision": 7, "deleted": True}]
        body = json.dumps({"events": events, "as_of": 7}).encode()
        server = ScriptedServer([cut(answer(body))])
        found = KeyValueStore(server.address).watch("op/", 5, 1.0)
        self.assertEqual([(c.key, c.value) for c in found], [("op/a", b"v"), ("op/b", None)])

    def test_a_watch_that_is_cut_or_whose_history_is_gone_fails(self):
        for script in (cut(answer(b"", "410 Gone")), cut(b""), cut(answer(b'{"ev', length=50))):
            server = ScriptedServer([script])
            with self.assertRaises(BackendError):
                KeyValueStore(server.address).watch("op/", 5, 0.1)


class TestHeaders(unittest.TestCase):
    SENT = (
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

    def build(self, sent=SENT):
        return HeaderDialect().read_request("POST", "/x/1?q=/y/", sent, b"{}", 0.0)

    def write(self, request, **changed):
        usual = {"workspace": "t1", "left_s": 1.5, "rank": 1, "exact_version": None}
        usual |= {"resume_after": None}
        upstream = build_upstream("i-1", has_engine=True)
        return dict(HeaderDialect().write_request(request, upstream, **(usual | changed)))

    def test_a_request_becomes_the_product_s_type(self):
        request = self.build()
        self.assertEqual((request.id, request.host, request.path), ("abc", "a.example", "/x/1"))
        self.assertEqual((request.time_left_s, request.api_key), (6.093, "k1"))
        self.assertEqual(
            (request.prompt.prompt_tokens, request.prompt.max_answer_tokens), (1460, 80)
        )
        self.assertEqual((request.prompt.expected_answer_tokens, request.resume_after), (60, "12"))

    def test_an_attempt_bears_what_the_system_says_and_nothing_forged(self):
        sent = self.write(self.build(), exact_version=3)
        self.assertEqual(sent[b"x-tenant"], b"t1")
        self.assertEqual(sent[b"x-expect-instance"], b"i-1")
        self.assertEqual(sent[b"x-expect-version"], b"3")
        self.assertEqual(sent[b"x-deadline-ms"], b"1500")
        self.assertEqual(sent[b"x-request-priority"], b"1")
        self.assertEqual(sent[b"last-event-id"], b"12")
        for name in (b"api-key", b"path", b"x-private"):
            self.assertNotIn(name, sent)
        for name in (b"x-attempt-id", b"x-model", b"x-token-usage", b"x-prompt-prefix", b"host"):
            self.assertEqual(sent[name], dict(self.SENT)[name])

    def test_a_public_request_bears_no_workspace(self):
        self.assertNotIn(b"x-tenant", self.write(self.build(), workspace=None))

    def test_a_resumed_attempt_goes_on_after_what_was_passed(self):
        self.assertEqual(self.write(self.build(), resume_after="20")[b"last-event-id"], b"20")

    def test_a_request_without_an_id_is_refused(self):
        for value in (None, b"", b"a b", b"x" * 200):
            sent = [h for h in self.SENT if h[0] != b"x-attempt-id"]
            if value is not None:
                sent.append((b"x-attempt-id", value))
            with self.subTest(value), self.assertRaises(RequestRefused):
                self.build(tuple(sent))

    def test_answers_say_whether_a_request_ran(self):
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
                found = HeaderDialect().read_answer(status, headers)
                self.assertEqual((found.was_not_run, found.is_genuine), (was_not_run, is_genuine))


class TestRunner(unittest.TestCase):
    def call(self, script, action):
        server = ScriptedServer([script])
        try:
            return action(Runner(server.address))
        finally:
            server.close()

    def test_a_report_is_read(self):
        report = {"models": ENTRY["models"], "layers": ENTRY["layers"], "busy": False, "seq": 2}
        report |= {"running": 12, "queued": 1, "born": 5}
        state = self.call(cut(answer(json.dumps(report).encode())), lambda r: r.state())
        self.assertEqual((state.version, state.order_count, state.running), (3, 2, 12))

    def test_a_report_that_can_t_be_read_is_a_failure(self):
        for body in (b"", b"[]", b'{"seq": "2"}', b'{"seq": 2, "busy": 1}'):
            with self.subTest(body), self.assertRaises(BackendError):
                self.call(cut(answer(body)), lambda r: r.state())

    def test_orders_are_accepted_by_two_answers_only(self):
        for status, accepted in [
            ("202 Accepted", True),
            ("200 OK", True),
            ("409 Conflict", False),
            ("412 Precondition Failed", False),
            ("400 Bad Request", False),
            ("421 Misdirected Request", False),
        ]:
            with self.subTest(status):
                found = self.call(cut(answer(b"", status)), lambda r: r.start("m", 2, 4))
                self.assertEqual(found.accepted, accepted)

    def test_an_order_without_an_answer_may_have_been_accepted(self):
        with self.assertRaises(BackendError):
            self.call(cut(b""), lambda r: r.start("m", 2, 4))

    def test_a_missing_piece_is_none(self):
        script = cut(answer(b"", "404 Not Found"))
        self.assertIsNone(self.call(script, lambda r: r.read_staged("m", 1)))


class TestOrigin(unittest.TestCase):
    def call(self, body, status="200 OK", length=None):
        server = ScriptedServer([cut(answer(body, status, length=length))])
        try:
            return Origin(server.address).piece_list("m", 2)
        finally:
            server.close()

    def test_a_list_is_of_what_was_asked(self):
        manifest = {"model": "m", "version": 2, "digests": ["ab" * 32]}
        self.assertEqual(self.call(json.dumps(manifest).encode()).digests, ("ab" * 32,))
        for changed in ({"version": 3}, {"model": "n"}, {"digests": ["zz"]}, {"digests": []}):
            with self.subTest(changed), self.assertRaises(BackendError):
                self.call(json.dumps(manifest | changed).encode())

    def test_a_version_that_is_gone_is_told_apart(self):
        with self.assertRaises(VersionWithdrawn):
            self.call(b"", "410 Gone")

    def test_cut_answers_are_failures(self):
        with self.assertRaises(BackendError):
            self.call(b'{"model"', length=100)
