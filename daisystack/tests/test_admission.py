import random
import unittest

import attrs
import eventlet

from daisystack.core.admission import (
    EQUAL_PRIORITY_INTERVAL,
    AdmissionQueue,
    WaitingRequest,
    WorkspaceLimits,
)
from daisystack.core.peers import PeerTable
from daisystack.core.requests import AttemptOutcome, GiveUp, RequestState, RetryElsewhere
from daisystack.core.retries import RetryBudget
from daisystack.core.routing import (
    InFlightCounts,
    Target,
    choose_upstream,
    list_candidates,
)
from daisystack.core.upstream_latency import UpstreamLatency
from daisystack.core.verdicts import AttemptEnd, Verdict
from daisystack.runtime.waiting_queues import NotAdmitted, WaitingQueues
from daisystack.testing import build_document, build_status

HIGH = WorkspaceLimits("high", 1, 1.0)
BIG = WorkspaceLimits("big", 0, 3.0)
SMALL = WorkspaceLimits("small", 0, 1.0)


def fill(queue, *workspaces):
    return [queue.enqueue(WaitingRequest(workspace, 10.0)) for workspace in workspaces]


def drain(queue, count):
    names = []
    for _ in range(count):
        waiting = queue.next_candidates()[0]
        queue.dispatch(waiting)
        names.append(waiting.workspace.name)
    return names


class TestAdmissionQueue(unittest.TestCase):
    def test_higher_priority_goes_first_without_starvation(self):
        queue = AdmissionQueue(100)
        fill(queue, *[SMALL] * 20, *[HIGH] * 20)
        names = drain(queue, EQUAL_PRIORITY_INTERVAL * 2)
        self.assertEqual(names.count("small"), 2)

    def test_equal_priorities_are_served_by_share(self):
        queue = AdmissionQueue(200)
        fill(queue, *[SMALL] * 80, *[BIG] * 80)
        names = drain(queue, 40)
        self.assertEqual((names.count("big"), names.count("small")), (30, 10))

    def test_an_idle_workspace_accumulates_no_credit(self):
        queue = AdmissionQueue(200)
        for _ in range(50):
            queue.charge(SMALL)
        fill(queue, *[SMALL] * 20)
        fill(queue, *[WorkspaceLimits("new", 0, 1.0)] * 20)
        self.assertEqual(drain(queue, 10).count("new"), 5)

    def test_a_full_queue_sheds_the_workspace_most_over_its_share(self):
        table = [
            ([SMALL] * 3, HIGH, "small"),
            ([HIGH] * 3, SMALL, "newcomer"),
            ([BIG, BIG, SMALL], SMALL, "newcomer"),
            ([SMALL, SMALL, BIG], BIG, "small"),
        ]
        for before, workspace, expected in table:
            with self.subTest(expected=expected, workspace=workspace.name):
                queue = AdmissionQueue(3)
                fill(queue, *before)
                newcomer = WaitingRequest(workspace, 10.0)
                shed = queue.enqueue(newcomer)
                name = "newcomer" if shed is newcomer else shed.workspace.name
                self.assertEqual((name, len(queue)), (expected, 3))

    def test_the_expected_wait_counts_requests_dispatched_before(self):
        queue = AdmissionQueue(100)
        for tick in range(50):
            queue.rate.record_end(tick * 0.1)
        fill(queue, *[SMALL] * 19, *[HIGH] * 9)
        self.assertAlmostEqual(queue.expected_wait_s(HIGH.priority, 5.0), 1.0, delta=0.1)
        self.assertAlmostEqual(queue.expected_wait_s(SMALL.priority, 5.0), 2.9, delta=0.2)


class TestWaitingQueues(unittest.TestCase):
    def admit(self, queues, chosen=None, deadline_s=1e9, limits=SMALL):
        return queues.admit(Target(pool="p"), limits, deadline_s, lambda: chosen)

    def test_a_free_upstream_admits_at_once(self):
        self.assertEqual(self.admit(WaitingQueues(1, 1.0), "chosen"), "chosen")

    def test_a_full_queue_sheds_at_once_with_a_retry_time(self):
        queues = WaitingQueues(1, 60.0)
        eventlet.spawn(self.admit, queues)
        eventlet.sleep(0)
        with eventlet.Timeout(5), self.assertRaises(NotAdmitted) as caught:
            self.admit(queues)
        self.assertIs(caught.exception.end, AttemptEnd.SHED)
        self.assertGreaterEqual(caught.exception.retry_after_s, 1.0)

    def test_a_request_that_waits_too_long_is_refused(self):
        queues = WaitingQueues(5, 0.05)
        with eventlet.Timeout(5), self.assertRaises(NotAdmitted) as caught:
            self.admit(queues)
        self.assertIs(caught.exception.end, AttemptEnd.DEADLINE_IN_QUEUE)

    def test_a_finished_request_admits_the_next_one(self):
        queues, free = WaitingQueues(5, 60.0), []
        target = Target(pool="p")
        waiting = eventlet.spawn(
            queues.admit, target, SMALL, 1e9, lambda: free.pop() if free else None
        )
        eventlet.sleep(0)
        free.append("chosen")
        queues.record_ended(target)
        with eventlet.Timeout(5):
            self.assertEqual(waiting.wait(), "chosen")


class TestRouting(unittest.TestCase):
    def setUp(self):
        self.document = build_document()
        self.members = [i for i in self.document.upstreams if i.pool == "model"]
        self.peers, self.counts, self.latency = PeerTable(), InFlightCounts(), UpstreamLatency()

    def report_heartbeat(self, instance_id, **fields):
        self.peers.apply_heartbeat(build_status(instance_id, capacity=8, **fields), 0.0)
        self.counts.record_report(instance_id, fields.get("in_flight", 0))

    def choose(self, prefix=None, seed=1, now_s=0.0, document=None):
        candidates = list_candidates(
            document or self.document,
            self.members,
            Target(model="assistant"),
            "mtl-1",
            self.peers,
            self.counts,
            self.latency,
            now_s,
        )
        chosen = choose_upstream(candidates, prefix, random.Random(seed))
        return chosen.instance.id if chosen else None

    def test_the_nearest_upstreams_are_used_until_full(self):
        for member in self.members:
            self.report_heartbeat(member.id)
        self.assertIn(self.choose(), ("m1", "m4"))
        for member in ("m1", "m4"):
            self.report_heartbeat(member, in_flight=8, uptime_s=101.0)
        self.assertIn(self.choose(), ("m2", "m3", "m5", "m6"))

    def test_closed_leaving_suspected_or_full_upstreams_are_not_chosen(self):
        for fields in (dict(gate_open=False), dict(leaving=True), dict(in_flight=8)):
            with self.subTest(fields=fields):
                self.peers = PeerTable()
                self.report_heartbeat("m1", **fields)
                self.assertIsNone(self.choose())
        self.peers = PeerTable()
        self.report_heartbeat("m1")
        self.assertEqual(self.choose(now_s=2.9), "m1")
        self.assertIsNone(self.choose(now_s=3.1))

    def test_a_model_is_served_only_in_its_zones(self):
        rules = self.document.rules
        for member in self.members:
            self.report_heartbeat(member.id)
        limited = type(self.document)(1, self.document.register, rules)
        limited.__dict__["zones_by_model"] = {"assistant": frozenset({"qc-1"})}
        self.assertIn(self.choose(document=limited), ("m2", "m5"))

    def test_own_requests_count_although_the_report_lags(self):
        self.report_heartbeat("m1")
        self.report_heartbeat("m4", in_flight=3)
        for _ in range(5):
            self.counts.begin("m1")
        self.assertEqual(self.choose(), "m4")
        self.report_heartbeat("m1", in_flight=5, uptime_s=101.0)
        for _ in range(5):
            self.counts.end("m1")
        self.assertEqual(self.choose(), "m1")

    def test_a_prefix_keeps_its_upstream_until_that_is_overloaded(self):
        self.report_heartbeat("m1")
        self.report_heartbeat("m4")
        preferred = self.choose("doc-7")
        self.assertEqual({self.choose("doc-7", seed) for seed in range(20)}, {preferred})
        for _ in range(4):
            self.counts.begin(preferred)
        self.assertNotEqual(self.choose("doc-7"), preferred)

    def test_a_slow_or_stuck_upstream_gets_fewer_requests(self):
        for member in ("m1", "m2", "m3", "m4"):
            self.report_heartbeat(member)
            self.latency.begin(member, "r", 0.0)
            self.latency.record_answered(member, "r", 10.0 if member == "m1" else 0.1)
        self.counts.begin("m1")
        self.assertEqual({self.choose(seed=s) for s in range(9)}, {"m4"})
        self.counts.end("m1")
        self.latency.begin("m4", "stuck", 0.0)
        self.counts.begin("m4")
        self.assertEqual({self.choose(seed=s, now_s=2.5) for s in range(9)}, {"m1"})
        self.latency.record_abandoned("m4", "stuck")
        self.counts.end("m4")
        self.assertFalse(self.latency.is_excluded("m4", 2.6))
        self.latency.begin("m4", "trial", 2.6)
        self.assertTrue(self.latency.is_excluded("m4", 2.6))
        self.latency.record_answered("m4", "trial", 2.7)
        self.assertFalse(self.latency.is_excluded("m4", 2.7))

    def test_a_refused_connection_excludes_until_the_next_heartbeat(self):
        self.latency.mark_unreachable("m1")
        self.assertTrue(self.latency.is_excluded("m1", 0.0))
        self.latency.record_heartbeat("m1")
        self.assertFalse(self.latency.is_excluded("m1", 0.0))

    def test_the_retry_budget_is_a_tenth_of_the_requests(self):
        budget = RetryBudget(balance=0.0)
        consumed = 0
        for _ in range(1000):
            budget.credit()
            consumed += budget.try_consume()
        self.assertLessEqual(consumed, 100)
        self.assertGreater(consumed, 90)

    def test_a_refusal_by_a_leaving_upstream_needs_no_retry_budget(self):
        """Many requests refused at a planned stop used up the budget, and the rest got 503."""
        refused = AttemptOutcome(
            AttemptEnd.REFUSED_AT_GATE, "m1", sealed=True, reported=Verdict.NOT_RUN
        )
        leaving = attrs.evolve(refused, is_leaving=True)
        may_have_run = attrs.evolve(leaving, reported=Verdict.MAY_HAVE_RUN)
        for outcome, step in (
            (refused, GiveUp),
            (leaving, RetryElsewhere),
            (may_have_run, GiveUp),
        ):
            budget = RetryBudget(balance=0.0)
            with self.subTest(outcome=outcome):
                state = RequestState(repeatable=True, deadline_s=10.0)
                self.assertIsInstance(state.next_step(outcome, budget, 0.0), step)
