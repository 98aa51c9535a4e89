"""Test that a request is decided on documents that are recent enough, or refused as not run.

The age of a copy was known, and requests were decided on it however old it was.
"""

import unittest

import eventlet

from daisystack.core.belief_age import BeliefState, evaluate_belief
from daisystack.runtime.belief_gate import MAX_WAIT_S
from daisystack.runtime.clock import now_s
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
)
from daisystack.testing.fleet import EntryFleet, run_in_passed_time

BOUND_S = 3.0
NEVER_S = float("inf")
SEEDS = range(1, 6)


def play(action, seed=1):
    """Return the result of an action on a settled fleet of nine entries in three zones."""

    def run():
        fleet = EntryFleet(9, 3, BOUND_S)
        fleet.start(4.0)
        return action(fleet, list(fleet.machines.values())[4])

    return run_in_passed_time(run, seed)


def ask(machine):
    """Return whether a request may be decided now, how long that took, and by which version."""
    arrived_s = now_s()
    is_current = machine.entry.requests.wait_until_current(arrived_s)
    return is_current, now_s() - arrived_s, machine.entry.published.policy.version


class TestStates(unittest.TestCase):
    def test_states(self):
        cases = (
            (3.0, NEVER_S, True, BeliefState.CURRENT),
            (3.1, NEVER_S, True, BeliefState.UNCONFIRMABLE),
            (3.1, NEVER_S, False, BeliefState.UNCONFIRMED),
            (3.1, 2.9, True, BeliefState.OUTDATED),
            (3.1, 2.9, False, BeliefState.OUTDATED),
            (3.1, 3.1, True, BeliefState.UNCONFIRMABLE),
            (NEVER_S, 0.1, False, BeliefState.OUTDATED),
        )
        for age_s, heard_age_s, is_lost, state in cases:
            with self.subTest(age_s=age_s, heard_age_s=heard_age_s, is_lost=is_lost):
                self.assertIs(evaluate_belief(age_s, BOUND_S, heard_age_s, is_lost), state)


class TestGate(unittest.TestCase):
    def test_an_entry_that_comes_back_learns_of_changes_before_it_decides(self):
        """Guards against an entry that decides by an old configuration after a standstill."""

        def action(fleet, machine):
            machine.is_cut_off = True
            eventlet.sleep(3.5)
            fleet.publish(17, 240)
            eventlet.sleep(3.5)
            machine.is_cut_off = False
            # As after a standstill: no read has failed lately.
            for task in machine.entry.mirror_tasks:
                task._is_store_lost = False
            return ask(machine)

        is_current, took_s, version = play(action)
        self.assertTrue(is_current)
        self.assertEqual(version, 17)
        self.assertLess(took_s, MAX_WAIT_S)

    def test_a_read_from_before_a_standstill_does_not_show_that_the_store_is_lost(self):
        """Guards against a decision on an old copy because an earlier read failed."""

        def action(fleet, machine):
            machine.is_cut_off = True
            eventlet.sleep(3.5)
            fleet.publish(17, 240)
            eventlet.sleep(3.5)
            fleet.store.silence_s = 0.03
            for task in machine.entry.mirror_tasks:
                eventlet.spawn(task.refresh)
            eventlet.sleep(0.02)
            machine.is_cut_off = False
            for task in machine.entry.mirror_tasks:
                task._is_store_lost = False
            return ask(machine)

        for seed in SEEDS:
            is_current, took_s, version = play(action, seed)
            self.assertEqual((is_current, version), (True, 17))
            self.assertLess(took_s, MAX_WAIT_S)

    def test_an_entry_that_knows_of_fresher_copies_and_gets_none_refuses(self):
        """Guards against decisions by an old configuration beside peers with a newer one."""

        def action(fleet, machine):
            machine.is_turned_away = machine.is_without_copies = True
            fleet.publish(17, 240)
            eventlet.sleep(BOUND_S + 1.0)
            calls = fleet.store.calls
            answers = [ask(machine) for _ in range(20)]
            return answers, fleet.store.calls - calls

        answers, calls = play(action)
        for is_current, took_s, _ in answers:
            self.assertFalse(is_current)
            self.assertLess(took_s, MAX_WAIT_S + 0.1)
        # 20 requests in 5 s; all entries together make about 6 calls a second else.
        self.assertLess(calls, 90)

    def test_an_entry_that_has_no_answer_at_all_asks_and_then_serves_on(self):
        """Guards against refusals by an entry that is cut off before its first read has failed."""

        def action(fleet, machine):
            fleet.store.silence_s = 30.0
            machine.is_cut_off = True
            eventlet.sleep(BOUND_S + 2.0)
            return ask(machine)

        is_current, took_s, version = play(action)
        self.assertEqual((is_current, version), (True, 1))
        self.assertLess(took_s, MAX_WAIT_S + 0.1)

    def test_an_entry_that_the_store_turns_away_gets_its_peers_copies(self):
        def action(fleet, machine):
            machine.is_turned_away = True
            eventlet.sleep(BOUND_S)
            fleet.publish(17, 240)
            eventlet.sleep(BOUND_S)
            return ask(machine)

        self.assertEqual(play(action), (True, 0.0, 17))

    def test_entries_serve_on_while_the_store_answers_nobody(self):
        """Guards against refusals that gain nothing, as no change can be acknowledged."""

        def action(fleet, machine):
            fleet.store.is_down = True
            eventlet.sleep(BOUND_S + 2.0)
            return [ask(m) for m in fleet.machines.values()]

        for is_current, took_s, version in play(action):
            self.assertEqual((is_current, version), (True, 1))
            self.assertEqual(took_s, 0.0)


class TestRefusal(unittest.TestCase):
    def test_a_request_on_old_documents_is_refused_as_not_run(self):
        requests = build_requests(build_policy(build_route()), [])
        requests.wait_until_current = lambda arrived_s: False
        ended = []
        requests.on_request_ended = ended.append
        responder = RecordingResponder()
        requests.handle(build_inbound(), responder)
        self.assertEqual(responder.status, 503)
        self.assertIn(b"Retry-After", responder.headers)
        self.assertEqual((ended[0].verdict, ended[0].attempts), ("not_run", 0))


if __name__ == "__main__":
    unittest.main()
