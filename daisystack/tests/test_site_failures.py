"""Failures injected into a site of separate processes; waits are bounded, but not asserted on."""

import json
import signal
import tempfile
import time
import unittest
from pathlib import Path

import attrs
import eventlet

from daisystack.standins.site import CONFIG, SiteLayout, build_site_document
from tools.load import WORKSPACE, Callers, send_stream
from tools.processes import Processes
from tools.site import Site, SiteOptions

TIMEOUT_S = 60.0
MEGABYTE = 1_000_000


def base_port_for(seed):
    # Below the ephemeral range, so that no outgoing connection takes one of the site's ports.
    return 12_000 + seed * 1000


class SiteCase(unittest.TestCase):
    seed = 0
    layout = {}
    options = {}

    @classmethod
    def setUpClass(cls):
        layout = SiteLayout(
            "127.0.0.1",
            base_port_for(cls.seed),
            **({"agents": 3, "ledgers": 2, "region_pair_bytes_per_s": 20e6} | cls.layout),
        )
        options = SiteOptions(layout, MEGABYTE, 50_000, 20e6, 1, load_s=0.2, **cls.options)
        cls.site = Site(options, Processes(Path(tempfile.mkdtemp(prefix="daisystack-test-"))))
        cls.addClassCleanup(cls.site.processes.kill_all)
        cls.site.start_platform()
        config = layout.address(CONFIG)
        cls.wait(lambda: cls.site.get(config, "/counters"))
        cls.revision = cls.site.publish("a")
        cls.site.start_daemons()
        cls.addresses = [layout.entry_addresses(i)[0] for i in range(layout.entries)]
        cls.wait(lambda: cls.site.count_serving("a") == layout.agents)
        cls.wait(lambda: all(cls.can_post(address) for address in cls.addresses))

    @classmethod
    def wait(cls, condition):
        return cls.site.wait_for("condition", condition, TIMEOUT_S)

    @classmethod
    def can_post(cls, address):
        answer = cls.post(address, {"id": "probe"})
        return answer is not None and answer.status == 200

    @classmethod
    def post(cls, address, body, path="services/ledger/post", **headers):
        try:
            return cls.site.http.request(
                "POST",
                f"http://{address}/v1/{path}",
                body=json.dumps(body).encode(),
                headers={"Daisystack-Workspace": WORKSPACE, "Daisystack-Timeout-S": "10"} | headers,
            )
        except Exception:  # a caller only sees that the request failed
            return None

    def revisions(self):
        layout = self.site.layout
        addresses = self.addresses + [
            layout.agent_addresses(i)[0] for i in range(layout.agents + layout.ledgers)
        ]
        statuses = [self.site.get(address, "/v1/status") for address in addresses]
        return {status["revision"] if status else None for status in statuses}

    def audit_events(self, address, what):
        events = self.site.get(address, "/v1/audit")["events"]
        return [event for event in events if event["what"] == what]

    def run_counts(self):
        runs = {}
        for index in range(self.site.layout.agents, self.site.layout.agents + 2):
            address = self.site.layout.agent_addresses(index)[2]
            for action, count in self.site.get(address, "/runs")["runs"].items():
                runs[action] = runs.get(action, 0) + count
        return runs


class TestConfiguration(SiteCase):
    seed = 1

    def tearDown(self):
        address = self.site.layout.address(CONFIG)
        self.site.set_faults(address, shown_revision=None, is_down=False)

    def accepted_revisions(self, address):
        return [event["revision"] for event in self.audit_events(address, "config_accepted")]

    def test_a_stale_config_service_does_not_revert_the_configuration(self):
        latest_revision = self.site.publish("b")
        self.wait(lambda: self.revisions() == {latest_revision})
        self.site.set_faults(self.site.layout.address(CONFIG), shown_revision=1)
        self.site.processes.kill("m2")
        self.site.start_agent(1)
        address = self.site.layout.agent_addresses(1)[0]
        self.wait(lambda: self.revisions() == {latest_revision})
        self.assertEqual(self.accepted_revisions(address), [latest_revision])

    def test_a_process_started_without_config_service_gets_the_document_from_peers(self):
        self.site.set_faults(self.site.layout.address(CONFIG), is_down=True)
        latest_revision = self.site.status(0)["revision"]
        self.site.processes.kill("m3")
        self.site.start_agent(2)
        self.wait(lambda: (self.site.status(2) or {}).get("revision") == latest_revision)

    def test_a_paused_process_applies_a_change_after_it_resumes(self):
        self.site.processes.freeze("m1")
        latest_revision = self.site.publish("a")
        other_agents = [i for i in range(1, self.site.layout.agents)]
        self.wait(
            lambda: all(self.site.status(i)["revision"] == latest_revision for i in other_agents)
        )
        self.site.processes.thaw("m1")
        self.wait(lambda: self.revisions() == {latest_revision})
        self.wait(lambda: self.site.count_serving("a") == self.site.layout.agents)
        accepted = self.accepted_revisions(self.site.layout.agent_addresses(0)[0])
        self.assertEqual(accepted, sorted(accepted))

    def test_a_bad_document_is_refused_and_a_later_valid_one_is_accepted(self):
        before = self.site.status(0)["revision"]
        self.site.publish_document({"format": 1, "register": {}, "colour": "red"})
        address = self.site.layout.agent_addresses(0)[0]
        entry = self.addresses[0]
        self.wait(lambda: self.audit_events(entry, "config_refused"))
        self.assertEqual(self.site.status(0)["revision"], before)
        latest_revision = self.site.publish("a")
        self.wait(lambda: self.revisions() == {latest_revision})
        self.assertNotIn(latest_revision - 1, self.accepted_revisions(address))


class TestStops(SiteCase):
    seed = 2
    options = {"agent_flags": ("--capacity=100",)}

    def start_streams(self, count, tokens):
        http = self.site.http
        address = self.addresses
        started = [
            eventlet.spawn(send_stream, http, address[i % len(address)], tokens, token_s=0.02)
            for i in range(count)
        ]
        self.wait(lambda: sum(self.site.status(i)["in_flight"] for i in range(3)) >= count // 2)
        return started

    def test_a_graceful_stop_of_an_agent_and_an_entry_cuts_off_no_answer(self):
        started = self.start_streams(240, 30)
        processes = self.site.processes
        processes.terminate("m1")
        processes.terminate("e2")
        answers = [thread.wait() for thread in started]
        self.assertEqual([a for a in answers if not a.is_complete], [])
        self.assertEqual(processes.by_name["m1"].wait(TIMEOUT_S), 0)
        listed = self.site.get(self.addresses[0], "/v1/addresses")["addresses"]
        self.assertEqual([entry["instance"] for entry in listed], ["e1"])
        # Callers that learned of e2 before it began to leave can still reach it.
        self.assertTrue(send_stream(self.site.http, self.addresses[1], 2).is_complete)
        self.assertEqual(processes.by_name["e2"].wait(TIMEOUT_S), 0)
        for name in ("m1", "e2"):
            self.assertIn("cut_off=0", processes.by_name[name].log_path.read_text())
        self.site.start_entry(1)
        self.site.start_agent(0)
        self.wait(lambda: self.site.count_serving("a") == 3)


class TestStopBeforeArrival(SiteCase):
    seed = 7
    options = {"agent_flags": ("--capacity=100",)}

    def test_requests_on_the_way_to_an_agent_that_stops_are_not_lost(self):
        """An agent with nothing in flight exited at once, and requests sent to it got no answer."""
        http, addresses = self.site.http, self.addresses
        started = [
            eventlet.spawn(send_stream, http, addresses[i % 2], 30, token_s=0.02)
            for i in range(120)
        ]
        # The signal is sent before the first of the streams, and the entries learn of it later.
        self.site.processes.terminate("m1")
        answers = [thread.wait() for thread in started]
        self.assertEqual([a for a in answers if a.verdict == "may_have_run"], [])
        self.assertEqual(self.site.processes.by_name["m1"].wait(TIMEOUT_S), 0)


class TestStopOfABusyAgent(SiteCase):
    seed = 8
    options = {"agent_flags": ("--capacity=100",)}

    def test_all_requests_that_a_leaving_agent_refuses_are_answered_elsewhere(self):
        """Refusals at a planned stop used up the retry budget, and the rest got 503.

        A machine under load keeps requests waiting to be read, here by a pause, and reads them only
        after the signal.
        """
        processes, addresses = self.site.processes, self.addresses
        processes.freeze("m1")
        started = [
            eventlet.spawn(send_stream, self.site.http, addresses[i % 2], 30, token_s=0.02)
            # As many as the two agents that stay can run at once, so that none waits in a queue.
            for i in range(180)
        ]
        time.sleep(0.7)
        processes.terminate("m1")
        processes.thaw("m1")
        answers = [thread.wait() for thread in started]
        self.assertEqual([a for a in answers if not a.is_complete], [])
        self.assertEqual(processes.by_name["m1"].wait(TIMEOUT_S), 0)


class TestOnce(SiteCase):
    seed = 3

    def test_no_request_runs_twice_despite_kills_pauses_and_a_replaced_owner(self):
        callers = Callers(self.addresses, streams=0, posters=6, pause_s=0.01)
        callers.start()
        site, processes = self.site, self.site.processes
        layout = site.layout
        for _ in range(2):
            processes.freeze("s1")
            time.sleep(1.0)
            processes.kill("s2")
            site.start_agent(layout.agents + 1)
            processes.thaw("s1")
            processes.freeze("e1")
            time.sleep(1.0)
            processes.thaw("e1")
        # Replace s1 at other addresses while its old process is paused, which resumes only later.
        processes.freeze("s1")
        moved_layout = attrs.evolve(layout, base_port=layout.base_port + 500)
        site.start_agent(layout.agents, moved_layout, "s1-twin")
        document = build_site_document(layout, site.versions, "a")
        instance = next(i for i in document["register"]["instances"] if i["id"] == "s1")
        instance["http_address"], instance["peer_address"], _ = moved_layout.agent_addresses(
            layout.agents
        )
        site.publish_document(document)
        time.sleep(2.0)
        processes.thaw("s1")
        time.sleep(2.0)
        callers.stop()
        runs, posts = self.run_counts(), callers.post_verdicts
        self.assertEqual([a for a, count in runs.items() if count > 1 and a != "probe"], [])
        self.assertEqual([a for a, v in posts.items() if v == "not_run" and a in runs], [])
        self.assertEqual([a for a, v in posts.items() if v == "ran" and a not in runs], [])
        self.assertIn("ran", posts.values())
        old_address = layout.agent_addresses(layout.agents)[0]
        self.wait(lambda: site.get(old_address, "/v1/status")["gate"] == "superseded")


class TestSilentConnections(SiteCase):
    seed = 6
    layout = {"relayed": (0, 1, 2, 3, 4)}

    def test_stalled_connections_are_replaced_and_nothing_runs_twice(self):
        callers = Callers(self.addresses, streams=4, posters=4, tokens=5, pause_s=0.0)
        callers.start()
        stalled_connections = 0
        for _ in range(3):
            time.sleep(1.0)
            stalled_connections += sum(
                relay.stall_connections() for relay in self.site.relays.values()
            )
        time.sleep(4.0)
        callers.stop()
        runs, posts, tally = self.run_counts(), callers.post_verdicts, callers.tally
        self.assertGreater(stalled_connections, 0)
        self.assertEqual([a for a, count in runs.items() if count > 1 and a != "probe"], [])
        self.assertEqual([a for a, v in posts.items() if v == "not_run" and a in runs], [])
        self.assertEqual([a for a, v in posts.items() if v == "may_have_run"], [])
        self.assertEqual((tally.mixed, tally.foreign), (0, 0))
        # The upstreams did not cause the failures, so all of them stay in use.
        for address in self.addresses:
            self.assertTrue(send_stream(self.site.http, address, 2).is_complete)
            self.assertEqual(self.post(address, {"id": "after"}).status, 200)


class TestCrashes(SiteCase):
    seed = 4

    def test_a_request_is_held_after_it_crashed_two_engines(self):
        crash_request = {"id": "poison", "crash": True}
        answers = []
        for address in (*self.addresses, *self.addresses):
            answers.append(self.post(address, crash_request, "models/assistant/generate"))
            eventlet.sleep(2.0)
        engines = [f"engine-m{i + 1}" for i in range(3)]
        crashed_engines = [n for n in engines if not self.site.processes.by_name[n].is_running()]
        self.assertEqual(len(crashed_engines), 2)
        self.assertEqual([a.status for a in answers[1:]], [409, 409, 409])
        verdicts = {a.headers["Daisystack-Verdict"] for a in answers}
        self.assertEqual(verdicts, {"may_have_run"})
        self.assertTrue(any(self.audit_events(a, "request_held") for a in self.addresses))
        stream = send_stream(self.site.http, self.addresses[0], 2)
        self.assertTrue(stream.is_complete)


class TestEngines(SiteCase):
    seed = 5
    layout = {"checks_fencing": False, "ledgers": 0}

    @classmethod
    def can_post(cls, address):
        return send_stream(cls.site.http, address, 1).is_complete

    def test_a_paused_agent_and_its_replacement_send_no_mixed_answers(self):
        site, processes, layout = self.site, self.site.processes, self.site.layout
        callers = Callers(self.addresses, streams=4, posters=0, tokens=10)
        callers.start()
        processes.freeze("m1")
        moved_layout = attrs.evolve(layout, base_port=layout.base_port + 500)
        site.start_agent(0, moved_layout, "m1-twin")
        document = build_site_document(layout, site.versions, "b")
        instance = next(i for i in document["register"]["instances"] if i["id"] == "m1")
        instance["http_address"], instance["peer_address"], _ = moved_layout.agent_addresses(0)
        site.publish_document(document)
        new_address, old_address = moved_layout.agent_addresses(0)[0], layout.agent_addresses(0)[0]
        self.wait(lambda: self.serves_b(new_address))
        processes.thaw("m1")
        self.wait(lambda: site.get(old_address, "/v1/status")["gate"] == "superseded")
        old_order_count = len(self.audit_events(old_address, "order_sent"))
        # An engine that restarts without weights is loaded again before it answers requests.
        processes.by_name["engine-m2"].signal(signal.SIGKILL)
        processes.by_name["engine-m2"].wait()
        site.start_upstream(1)
        self.wait(lambda: self.load_count(1))
        self.wait(lambda: self.serves_b(layout.agent_addresses(1)[0]))
        self.wait(lambda: self.serves_b(new_address))
        callers.stop()
        self.assertEqual((callers.tally.mixed, callers.tally.foreign), (0, 0))
        self.assertEqual(len(self.audit_events(old_address, "order_sent")), old_order_count)
        self.assertGreater(callers.tally.complete, 0)
        self.assertTrue(send_stream(site.http, self.addresses[0], 2).is_complete)

    def test_b_no_mixed_answers_despite_lost_order_answers_and_a_killed_engine(self):
        site, layout = self.site, self.site.layout
        callers = Callers(self.addresses, streams=4, posters=0, tokens=10)
        callers.start()
        for index in range(layout.agents):
            site.set_faults(layout.agent_addresses(index)[2], lose_order_answers=1)
        site.publish("c")
        killed = layout.agents - 1
        self.wait(lambda: self.audit_events(layout.agent_addresses(killed)[0], "order_sent"))
        site.processes.kill(f"engine-m{killed + 1}")
        site.start_upstream(killed)
        self.wait(lambda: self.load_count(killed))
        self.wait(lambda: site.count_serving("c") == layout.agents)
        callers.stop()
        self.assertEqual((callers.tally.mixed, callers.tally.foreign), (0, 0))

    def load_count(self, index):
        """Return the loads of an engine's current incarnation; its agent's report may lag."""
        state = self.site.get(self.site.layout.agent_addresses(index)[2], "/state")
        return state["loads"] if state else 0

    def serves_b(self, address):
        status = self.site.get(address, "/v1/status") or {"gate_open": False}
        return status["gate_open"] and [r["version"] for r in status["serving"]] == ["b"]
