"""Test the soak: a short run is clean, planted faults are found, and each check can fail."""

import contextlib
import io
import json
import os
import socket
import sys
import tempfile
import time
import unittest
from pathlib import Path

import attrs
import eventlet
from eventlet.green import socket as green_socket

from daisystack.core.addresses import Address
from daisystack.tests.on_platform.soak_site import PLANTED_VARIABLE, Bounds, RequestShape
from daisystack.tests.on_platform.upstream import UpstreamOptions, UpstreamStandin
from tools.processes import Processes
from tools.relay import TO_CALLER, Relay
from tools.soak.checks import CHECKS, Evidence
from tools.soak.plan import ALWAYS, draw_faults
from tools.soak.records import (
    Disruption,
    History,
    Life,
    Publication,
    RequestRecord,
    UpstreamEvent,
)

SEED = "1"
SECONDS = "3"
RUN_TIMEOUT_S = 150.0
PLANTED_PROGRAM = "daisystack/tests/on_platform/planted.py"


class TestRuns(unittest.TestCase):
    """Play one seed with the programs as they are and with a planted fault, beside each other."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        processes = Processes(cls.folder, (sys.executable, "-m", "tools.soak"))
        options = ("--seed", SEED, "--seconds", SECONDS, "--callers", "8")
        started = [processes.start("clean", *options, "--logs", str(cls.folder / "kept-clean"))]
        os.environ[PLANTED_VARIABLE] = "lost-drain"
        cls.addClassCleanup(os.environ.pop, PLANTED_VARIABLE)
        logs = ("--logs", str(cls.folder / "kept-planted"))
        started.append(processes.start("planted", *options, *logs, "--program", PLANTED_PROGRAM))
        # On SIGTERM a soak ends its own programs, which SIGKILL would leave behind.
        for process in started:
            cls.addClassCleanup(process.popen.terminate)
        cls.statuses = [process.wait(RUN_TIMEOUT_S) for process in started]

    def output(self, name):
        return (self.folder / f"{name}.log").read_text()

    def test_a_short_seeded_run_breaks_no_promise(self):
        lines = self.output("clean").splitlines()
        self.assertEqual(self.statuses[0], 0, self.output("clean"))
        self.assertEqual(lines[0], f"seed {SEED}")
        self.assertIn(" 0 broken", lines[-1])

    def test_upstreams_used_after_they_left_are_found_and_the_logs_are_kept(self):
        """Entries that ignore that an upstream leaves would pass a soak that can't fail."""
        self.assertEqual(self.statuses[1], 1, self.output("planted"))
        self.assertIn("BROKEN leaving upstreams", self.output("planted"))
        kept = self.folder / "kept-planted" / f"seed-{SEED}"
        for name in ("entry-0.log", "agent-0.log", "upstreams.jsonl", "requests.jsonl"):
            self.assertTrue((kept / name).exists(), name)


class TestPlan(unittest.TestCase):
    def test_a_seed_always_gives_the_same_faults_and_each_run_has_the_operators(self):
        for seed in range(20):
            faults = draw_faults(seed, 8.0, 3, ["engine-0", "plain-0"], 1)
            self.assertEqual(faults, draw_faults(seed, 8.0, 3, ["engine-0", "plain-0"], 1))
            self.assertLessEqual(set(ALWAYS), {fault.kind for fault in faults})
        self.assertNotEqual(faults, draw_faults(99, 8.0, 3, ["engine-0", "plain-0"], 1))


class TestRelayFaults(unittest.TestCase):
    def setUp(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.server.close)
        with socket.create_server(("127.0.0.1", 0)) as probe:
            port = probe.getsockname()[1]
        self.relay = Relay(
            Address("127.0.0.1", port), Address("127.0.0.1", self.server.getsockname()[1])
        )
        self.addCleanup(self.relay.close)
        self.caller = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        self.addCleanup(self.caller.close)
        self.target, _ = self.server.accept()
        self.target.settimeout(5.0)
        self.addCleanup(self.target.close)

    def test_one_direction_is_held_and_its_bytes_arrive_after_the_release(self):
        self.relay.held = frozenset({TO_CALLER})
        self.caller.sendall(b"question")
        self.assertEqual(self.target.recv(100), b"question")
        self.target.sendall(b"answer")
        self.caller.settimeout(0.2)
        with self.assertRaises(TimeoutError):
            self.caller.recv(100)
        self.relay.held = frozenset()
        self.caller.settimeout(5.0)
        self.assertEqual(self.caller.recv(100), b"answer")

    def test_delayed_bytes_arrive_later(self):
        self.relay.delay_s = 0.2
        started_s = time.monotonic()
        self.caller.sendall(b"question")
        self.assertEqual(self.target.recv(100), b"question")
        self.assertGreaterEqual(time.monotonic() - started_s, 0.2)

    def test_both_sides_see_a_reset(self):
        self.caller.sendall(b"question")
        self.target.recv(100)
        self.assertEqual(self.relay.reset_connections(), 1)
        for sock in (self.caller, self.target):
            # Green sockets, which other tests put in place, read a reset as an end.
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(sock.recv(100), b"")
            # After a mere end the first send would succeed.
            with self.assertRaises(OSError):
                sock.sendall(b"more")


def build_request(name="r", kind="post", key=1, **options):
    shape = RequestShape(name, kind, key, 3.0, options.pop("probed", 0))
    values = {"entry": 0, "life": 0, "sent_s": 100.0, "ended_s": 100.1, "status": 200}
    return RequestRecord(shape, **(values | options))


def build_event(event="began", at_s=100.05, upstream="plain-0", name="r", **options):
    values = {"service": "ledger", "version": 0, "id": name, "path": f"/post/{name}"}
    return UpstreamEvent(event, at_s, upstream, **(values | {"workspace": "dealers"} | options))


def build_history(*requests, **options):
    first = [Publication(0.0, 1, 0.0)]
    values = {"configs": list(first), "weights": list(first), "lives": [Life(0, 0, 0.0)]}
    return History(requests=list(requests), **(values | options))


class TestChecks(unittest.TestCase):
    """A check that can't fail is worthless: each is given one breach, and the same without it."""

    def breaches(self, name, history, *events):
        ordered = sorted(events, key=lambda event: event.at_s)
        return CHECKS[name](Evidence(history, ordered, Bounds()))

    def assert_found(self, name, broken, sound):
        self.assertEqual(len(self.breaches(name, *broken)), 1)
        self.assertEqual(self.breaches(name, *sound), [])

    def test_every_check_has_a_case_here(self):
        cases = "".join(n for n in dir(self) if n.startswith("test_check_")).replace("_", "")
        for name in CHECKS:
            with self.subTest(name=name):
                self.assertIn(name.replace(" ", ""), cases)

    def test_check_whole_answers(self):
        broken = build_history(build_request(fault="got a part"))
        self.assert_found("whole answers", [broken], [build_history(build_request())])

    def test_check_at_most_once(self):
        twice = (build_event(), build_event(upstream="plain-1", at_s=100.07))
        history = build_history(build_request())
        repeatable = build_history(build_request(kind="read", key=0))
        self.assert_found("at most once", [history, *twice], [history, twice[0]])
        self.assertEqual(self.breaches("at most once", repeatable, *twice), [])

    def test_check_not_run(self):
        for status in (408, 421, 429, 503):
            refused = build_history(build_request(status=status))
            late = build_event(at_s=104.0)
            self.assert_found("not run", [refused, late], [refused])
        failed = build_history(build_request(status=502))
        self.assertEqual(self.breaches("not run", failed, build_event()), [])

    def test_check_own_requests(self):
        history = build_history(build_request())
        sound = [history, build_event("arrived")]
        for options in ({"workspace": "others"}, {"path": "/post/x"}, {"name": "unknown"}):
            broken = [history, build_event("arrived", **options)]
            self.assert_found("own requests", broken, sound)

    def test_check_revoked_keys(self):
        configs = [Publication(float(n), n, float(n)) for n in (1, 2, 3)]
        bound_s = Bounds().revoke_s
        late = build_history(build_request(sent_s=3.0 + bound_s + 0.5), configs=configs)
        early = build_history(build_request(sent_s=3.0 + bound_s - 0.1), configs=configs)
        self.assert_found("revoked keys", [late], [early])
        # A drill brings the key back until the next configuration is published.
        restored = [*configs, Publication(5.0, 1, 5.0), Publication(6.0, 4, 6.0)]
        again = build_history(build_request(sent_s=3.0 + bound_s + 0.5), configs=restored)
        self.assertEqual(self.breaches("revoked keys", again), [])

    def test_check_configuration_never_back(self):
        shown = build_request("a", "probe", 0, probed=3, sent_s=10.0, ended_s=10.1)
        back = build_request("b", "probe", 0, probed=2, sent_s=11.0, status=404)
        earlier = build_request("b", "probe", 0, probed=3, sent_s=9.0, status=404)
        name = "configuration never back"
        self.assert_found(name, [build_history(shown, back)], [build_history(shown, earlier)])
        old_key = build_request("c", key=1, sent_s=11.0)
        self.assertEqual(len(self.breaches(name, build_history(shown, old_key))), 1)
        next_life = build_request("b", "probe", 0, probed=2, sent_s=11.0, status=404, life=1)
        self.assertEqual(self.breaches(name, build_history(shown, next_life)), [])

    def test_check_configuration_in_force(self):
        configs = [Publication(0.0, 1, 0.0), Publication(10.0, 2, 10.0)]
        late = build_request("a", "probe", 0, probed=2, sent_s=13.0, ended_s=13.1, status=404)
        early = build_request("a", "probe", 0, probed=2, sent_s=11.9, ended_s=12.0, status=404)
        denied = build_request("a", key=2, sent_s=13.0, ended_s=13.1, status=401)
        name = "configuration in force"
        for broken in (late, denied):
            self.assert_found(
                name,
                [build_history(broken, configs=configs)],
                [build_history(early, configs=configs)],
            )
        cut_off = build_history(late, configs=configs)
        cut_off.disruptions = [Disruption("store:0", "silence", 11.0, 12.9)]
        self.assertEqual(self.breaches(name, cut_off), [])

    def test_check_leaving_upstreams(self):
        leaving = build_event("leaving", 97.0, name="")
        history = build_history(build_request())
        late = build_event("arrived", 97.0 + Bounds().drain_s + 0.5)
        early = build_event("arrived", 97.0 + Bounds().drain_s - 0.1)
        self.assert_found("leaving upstreams", [history, leaving, late], [history, leaving, early])

    def test_check_leaving_answers(self):
        told = build_request("t", upstream="plain-0", is_upstream_leaving=True)
        late_s = told.ended_s + Bounds().drain_s + 0.5
        late = build_request("l", sent_s=late_s, ended_s=late_s + 0.1)
        arrived = build_event("arrived", late_s, name="l")
        broken = [build_history(told, late), arrived]
        not_told = build_request("t", upstream="plain-0")
        self.assert_found("leaving answers", broken, [build_history(not_told, late), arrived])
        frozen = build_history(told, late)
        frozen.disruptions = [Disruption("entry-0", "freeze", 101.0, 101.5)]
        self.assertEqual(self.breaches("leaving answers", frozen, arrived), [])

    def test_check_graceful_stops(self):
        stopped = [Life(0, 0, 0.0, stop_s=99.0, ended_s=103.0, status=0)]
        cut = build_request(status=0, error="closed")
        passed_on = build_event("arrived")
        broken = [build_history(cut, lives=stopped), passed_on]
        sound = [build_history(build_request(), lives=stopped), passed_on]
        self.assert_found("graceful stops", broken, sound)
        killed = [Life(0, 0, 0.0, stop_s=99.0, ended_s=108.0, status=-9)]
        self.assertEqual(len(self.breaches("graceful stops", build_history(lives=killed))), 1)

    def test_check_retry_budget(self):
        names = [f"r{n}" for n in range(Bounds().retry_slack * 2)]
        history = build_history(*(build_request(name) for name in names))
        first = [build_event("arrived", 100.0, name=name) for name in names]
        again = [build_event("arrived", 100.0 + n / 10, name=x) for n, x in enumerate(names)]
        few = again[: Bounds().retry_slack]
        name = "retry budget"
        self.assert_found(name, [history, *first, *again], [history, *first, *few])

    def test_check_rate_limits(self):
        limited = build_event("limited", 90.0, name="", reason="1")
        told = build_request("t", upstream="plain-0", rate_limit="1", sent_s=90.1, ended_s=90.2)
        later = [build_request(f"r{n}", sent_s=100.0) for n in range(12)]
        history = build_history(told, *later)
        arrived = [build_event("arrived", 100.0 + n / 4, name=f"r{n}") for n in range(12)]
        name = "rate limits"
        self.assert_found(name, [history, limited, *arrived], [history, limited, *arrived[:11]])
        not_told = build_history(*later)
        self.assertEqual(self.breaches(name, not_told, limited, *arrived), [])
        ended = build_event("unlimited", 95.0, name="")
        self.assertEqual(self.breaches(name, history, limited, ended, *arrived), [])

    def test_check_weight_versions(self):
        weights = [Publication(0.0, 1, 0.0), Publication(90.0, 2, 90.0)]
        history = build_history(build_request(kind="tale"), weights=weights)
        old, new = (
            build_event(upstream="engine-0", service="pool", version=version) for version in (1, 2)
        )
        self.assert_found("weight versions", [history, old], [history, new])
        history.disruptions = [Disruption("store", "freeze", 95.0, 96.0)]
        self.assertEqual(self.breaches("weight versions", history, old), [])

    def test_check_recovery(self):
        served = [build_request(f"s{n}") for n in range(3)]
        failed = [build_request(f"f{n}", status=502) for n in range(3)]
        for requests, count in ((served + failed, 1), (served + failed[:1], 0)):
            history = build_history(*requests, calm_from_s=90.0, planned_from_s=101.0)
            self.assertEqual(len(self.breaches("recovery", history)), count)


class TestUpstreamStandin(unittest.TestCase):
    """Engines of the soak must queue as real ones do, or it would miss what runs too late."""

    def setUp(self):
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.port = probe.getsockname()[1]
        self.record = io.StringIO()
        self.sockets = []
        address = f"127.0.0.1:{self.port}"
        # Nothing listens at the store's address.
        options = UpstreamOptions("u", "ledger", address, address, "127.0.0.1:1", "", slots=1)
        self.upstream = UpstreamStandin(attrs.evolve(options, queue=2, pause_s=1.5), self.record)
        self.upstream.start()

    def send(self, name, deadline_ms=3000):
        sock = green_socket.create_connection(("127.0.0.1", self.port))
        # A green socket closes when it is collected.
        self.sockets.append(sock)
        self.addCleanup(sock.close)
        head = f"POST /post/{name} HTTP/1.1\r\nHost: u\r\nX-Attempt-Id: {name}\r\n"
        head += f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: 2\r\n\r\n"
        sock.sendall(head.encode() + b"{}")
        eventlet.sleep(0.05)
        return sock

    def events(self, kind):
        lines = map(json.loads, self.record.getvalue().splitlines())
        return [(x["id"], x.get("reason", "")) for x in lines if x["event"] == kind]

    def test_a_queued_request_runs_unless_its_caller_left_or_its_deadline_passed(self):
        self.send("first")
        self.send("left").close()
        self.send("late", deadline_ms=100)
        eventlet.sleep(0.1)
        self.send("next")
        self.send("after")
        self.send("many")
        with eventlet.Timeout(15.0, False):
            while len(self.events("began")) < 3:
                eventlet.sleep(0.05)
        self.assertEqual([id_ for id_, _ in self.events("began")], ["first", "next", "after"])
        refused = [("left", "closed"), ("late", "deadline"), ("many", "full")]
        self.assertEqual(self.events("refused"), refused)

    def test_nothing_begins_while_it_loads_and_a_leaving_one_says_so(self):
        self.upstream.slots.is_loading = True
        self.send("loading")
        self.assertEqual(self.events("refused"), [("loading", "loading")])
        self.upstream.slots.is_loading = False
        self.upstream.is_leaving = True
        sock = self.send("leaving")
        sock.settimeout(10.0)
        answer = sock.recv(1000).decode()
        self.assertIn("Server-Leaving: 1", answer)
        self.assertIn("200 OK", answer)


class TestShapes(unittest.TestCase):
    def test_the_fault_of_a_body_is_found(self):
        shape = RequestShape("r", "post", 1, 3.0)
        whole = b'{"id": "r", "path": "/post/r", "workspace": "dealers"}'
        self.assertEqual(shape.find_fault(whole), ("", 0))
        for body in (whole[:-1], whole.replace(b'"r"', b'"s"'), whole.replace(b"dealers", b"x")):
            self.assertNotEqual(shape.find_fault(body)[0], "")

    def test_the_fault_of_a_stream_is_found(self):
        shape = RequestShape("r", "draft", 1, 3.0)
        events = [
            b'id: %d\ndata: {"id": "r", "version": 2, "is_last": false}\n\n' % n
            for n in range(1, 13)
        ]
        self.assertEqual(shape.find_fault(b"".join(events)), ("", 2))
        other = events[3].replace(b'"r"', b'"s"')
        mixed = events[3].replace(b"2, ", b"1, ")
        for faulty in (
            events[:-1],
            events[:3] + events[4:],
            [*events, events[-1]],
            [*events[:3], other, *events[4:]],
            [*events[:3], mixed, *events[4:]],
        ):
            self.assertNotEqual(shape.find_fault(b"".join(faulty))[0], "")


if __name__ == "__main__":
    unittest.main()
