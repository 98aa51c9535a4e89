"""Admission by urgency under load, in simulated time; each test names its load or failure."""

import functools
import random
import unittest

from benchmarks.ranked_load import (
    KINDS,
    SERVICE,
    SMALL_RANKED,
    RankedSimulation,
    Surge,
    largest,
    share_served,
)
from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.placement import Placement, PlacementRequirements, Refusal
from daisystack.core.traffic import Service, TrafficPolicy, Workspace
from daisystack.core.urgency import (
    MAX_WORKSPACES,
    RETURN_MAX_S,
    RETURN_MIN_S,
    UrgencyAdmission,
    find_fair_limit,
    find_ranked_services,
)
from daisystack.runtime.clock import now_s
from daisystack.testing.direct import (
    RecordingResponder,
    build_engine_profile,
    build_inbound,
    build_requests,
    build_route,
    build_upstream,
)

OVERLOADS = (1.2, 1.8, 2.5)
# A more urgent kind may be served this much less often, by chance.
ORDER_SLACK = 0.05
ENGINE = build_engine_profile()


@functools.cache
def play(load, **options):
    simulation = RankedSimulation(1, load, "placement", deployment=SMALL_RANKED, **options)
    simulation.run()
    return simulation


class LoadTestCase(unittest.TestCase):
    def assert_ordered(self, simulation, **measured):
        requests = [simulation.measured(kind.name, **measured) for kind in KINDS]
        for shares in (
            [simulation.share_in_time(of_kind) for of_kind in requests],
            [share_served(of_kind) for of_kind in requests],
        ):
            for urgent, less_urgent in zip(shares, shares[1:], strict=False):
                self.assertGreaterEqual(urgent, less_urgent - ORDER_SLACK, shares)


class TestOverload(LoadTestCase):
    # OVERLOAD: the least urgent kind took the room, as its objective is the longest.
    def test_more_urgent_kinds_are_served_at_least_as_often(self):
        for load in OVERLOADS:
            with self.subTest(load=load):
                self.assert_ordered(play(load))

    # OVERLOAD: strict order by urgency leaves nothing to the least urgent kind.
    def test_no_kind_is_starved(self):
        for load in OVERLOADS:
            of_all = share_served(play(load).measured())
            for kind in KINDS:
                with self.subTest(load=load, kind=kind.name):
                    served = share_served(play(load).measured(kind.name))
                    self.assertGreaterEqual(served, of_all / 4)

    # OVERLOAD: large prompts were refused first, as they take longest to process.
    def test_the_largest_prompts_are_served_in_time_half_as_often_at_least(self):
        for load in OVERLOADS:
            simulation = play(load)
            requests = simulation.measured(KINDS[0].name)
            with self.subTest(load=load):
                in_time = simulation.share_in_time(largest(requests))
                self.assertGreaterEqual(in_time, simulation.share_in_time(requests) / 2)

    # SURGE: five times as many of the least urgent requests pushed out all others.
    def test_a_surge_of_the_least_urgent_kind_is_at_its_own_cost(self):
        simulation = play(0.9, surges=(Surge(KINDS[-1].name, 5.0, 6.0, 12.0),))
        self.assert_ordered(simulation, from_s=6.0)
        summaries = simulation.measured(KINDS[0].name, from_s=6.0)
        self.assertGreaterEqual(simulation.share_in_time(summaries), 0.85)

    # BURST: callers that were refused came back while there was still no room for them.
    def test_callers_refused_in_a_burst_are_served_when_they_return(self):
        surges = tuple(Surge(kind.name, 3.5, 5.0, 6.5) for kind in KINDS)
        simulation = play(0.6, surges=surges)
        returned = [r for r in simulation.measured(from_s=5.0) if r.refusals]
        self.assertGreaterEqual(share_served(returned), 0.5)

    # HOT WORKSPACE: one with half of the demand was served like 23 that asked for little.
    def test_a_heavy_workspace_takes_nothing_from_those_under_their_share(self):
        simulation = play(1.8, heaviest_share=0.5)
        for kind in KINDS[1:]:
            requests = simulation.measured(kind.name)
            heavy = [r for r in requests if r.workspace == "w0"]
            others = [r for r in requests if r.workspace != "w0"]
            with self.subTest(kind=kind.name):
                self.assertGreaterEqual(share_served(others), 2 * share_served(heavy))


class TestFailures(LoadTestCase):
    # SILENCE: without the reports of a zone, its engines looked empty or full to all entries.
    def test_order_holds_when_the_reports_of_a_zone_stop(self):
        def silence(simulation):
            simulation.silent_zone = "z1"

        self.assert_ordered(play(1.8, fault=silence), from_s=8.0)

    # RESTART: entries that had learned nothing yet let everyone in.
    def test_order_holds_when_entries_restart(self):
        def restart(simulation):
            for view in simulation.views[::3]:
                view.by_rank.admissions["llm"] = UrgencyAdmission(SERVICE)

        self.assert_ordered(play(1.8, fault=restart), from_s=7.5)


def build_ranked_policy(*priorities, workspaces=(), engine=ENGINE):
    routes = tuple(
        build_route(service="llm", name=f"r{n}", prefix=f"/{n}/", priority=priority)
        for n, priority in enumerate(priorities)
    )
    return TrafficPolicy(1, routes, {"llm": Service("llm", 9, engine)}, workspaces)


class TestSwitch(unittest.TestCase):
    def test_only_services_whose_routes_differ_in_priority_are_ranked(self):
        urgent = Workspace("w", frozenset(), priority=0)
        self.assertEqual(find_ranked_services(build_ranked_policy(1, 1)), {})
        self.assertEqual(find_ranked_services(build_ranked_policy(1, workspaces=(urgent,))), {})
        self.assertEqual(find_ranked_services(build_ranked_policy(1, 2, engine=None)), {})
        ranked = find_ranked_services(build_ranked_policy(2, 1, workspaces=(urgent,)))["llm"]
        self.assertEqual(ranked.priorities, (0, 1, 2))

    def test_without_ranks_the_choices_do_not_depend_on_rank_or_workspace(self):
        ranked = find_ranked_services(build_ranked_policy(1, 1))

        def choose_all(**fields):
            placement = Placement(random.Random(3), EngineStatusTable())
            placement.update_profiles({"llm": build_engine_profile()})
            placement.by_rank.update_services(ranked)
            for number in range(6):
                engine = {"service": "llm", "has_engine": True, "version": 1, "slots": 4}
                placement.update_upstream(build_upstream(f"e{number}", f"e{number}:1", **engine))
            chosen = []
            for step in range(40):
                requirements = PlacementRequirements(
                    "llm", "z1", prompt_tokens=900, first_event_time_left_s=0.4, **fields
                )
                choice = placement.choose(requirements, step / 100)
                chosen.append(choice)
                if not isinstance(choice, Refusal):
                    placement.begin(choice.id, 900, step / 100)
            return chosen

        chosen = choose_all()
        self.assertIn(Refusal("all 6 upstreams are full", True), chosen)
        self.assertEqual(chosen, choose_all(priority=7, workspace="w", route="r"))


class TestRefusal(unittest.TestCase):
    # REFUSAL: callers were told to return at random, and logs did not say which rank gave way.
    def test_a_refused_caller_learns_its_return_and_the_log_its_rank(self):
        engine = build_upstream("e1", service="llm", has_engine=True, version=1)
        policy = build_ranked_policy(1, 2)
        requests = build_requests(policy, [engine])
        requests.placement.update_profiles({"llm": ENGINE})
        requests.placement.by_rank.update_services(find_ranked_services(policy))
        for _ in range(8):
            requests.placement.begin("e1", 900, now_s())
        refused, ended = [], []
        requests.on_refused = refused.append
        requests.on_request_ended = ended.append
        responder = RecordingResponder()
        requests.handle(build_inbound(target="/1/x", daisystack_tokens="900"), responder)
        self.assertEqual(responder.status, 503)
        self.assertGreaterEqual(float(responder.headers[b"Retry-After"]), 2 * RETURN_MIN_S)
        self.assertEqual([admission.rank for admission in refused], [1])
        self.assertIn("upstreams are full", ended[0].reason)


class TestShares(unittest.TestCase):
    def test_a_budget_is_divided_max_min_fairly(self):
        self.assertEqual(find_fair_limit([1.0, 10.0, 2.0], 7.0), 4.0)
        self.assertEqual(find_fair_limit([1.0, 2.0], 3.5), float("inf"))

    # STATE: a caller that names ever new workspaces must not grow an entry's memory.
    def test_the_workspaces_that_are_counted_are_bounded(self):
        admission = UrgencyAdmission(SERVICE)
        for number in range(3 * MAX_WORKSPACES):
            admission.admit(0, f"w{number}", False)
        counted = sum(len(account.demand) for account in admission._accounts.values())
        self.assertLessEqual(counted, MAX_WORKSPACES + 1)

    # RETURNS: all that were refused came back together, whatever their rank.
    def test_refused_callers_return_by_rank_and_one_after_another(self):
        admission = UrgencyAdmission(SERVICE)
        urgent = [admission.plan_return_s(0, 10.0) for _ in range(4)]
        less_urgent = admission.plan_return_s(2, 10.0)
        self.assertEqual(urgent, sorted(urgent))
        self.assertLessEqual(max(urgent), less_urgent)
        self.assertLessEqual(less_urgent, RETURN_MAX_S)


if __name__ == "__main__":
    unittest.main()
