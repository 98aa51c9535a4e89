"""Choice by predicted work; each test names the load pattern or failure that it guards against."""

import hashlib
import math
import random
import unittest

from attrs import evolve

from benchmarks.placement_policies import Simulation
from benchmarks.work_policies import KINDS, PROFILE, UNEVEN, WorkSimulation, draw_size, summarize
from daisystack.core.engine_status import EngineStatus, EngineStatusTable
from daisystack.core.placement import DirectUpstream, Placement, PlacementRequirements
from daisystack.core.settings import SettingsRefused
from daisystack.core.work import AnswerLengths, DecayedHistogram, LearnedWork
from daisystack.core.work.answers import MAX_ROUTES
from daisystack.tests.on_platform.adapter import SETTINGS, parse_lines, read_entry

REQUEST = PlacementRequirements("llm", "z1", prompt_tokens=900, route="r")
WARM_UP_S = 2.0
SMALL = evolve(UNEVEN, entries=24, engines=9)


def run_both(seeds=(1, 2), load=0.9, duration_s=8.0, deployment=SMALL, **settings):
    """Return what callers saw with the choice by requests and with that by work, over all seeds."""
    summaries = []
    for predicts_work in (False, True):
        joint = None
        for seed in seeds:
            simulation = WorkSimulation(
                seed,
                load,
                "placement",
                deployment=deployment,
                predicts_work=predicts_work,
                duration_s=duration_s,
                **settings,
            )
            simulation.run()
            if joint is None:
                joint = simulation
                continue
            joint.requests += simulation.requests
            joint.met_objective |= simulation.met_objective
            joint.predicted_s |= simulation.predicted_s
        summaries.append(summarize(joint, WARM_UP_S))
    return summaries


def build_placement(**settings):
    """Return a placement on two engines that a fresh report shows as equally full."""
    placement = Placement(random.Random(1), EngineStatusTable(), {"llm": PROFILE}, **settings)
    for id in ("a", "b"):
        upstream = DirectUpstream(id, "llm", f"{id}:1", "z1", 12, True, 1, True, version=1)
        placement.update_upstream(upstream)
    return placement


def report(placement, now_s, running=12, queued=0):
    for id in ("a", "b"):
        status = EngineStatus(f"{id}:1", 1, 1, True, False, running, queued, now_s)
        placement.engines.update(status)


class TestAnswerLengths(unittest.TestCase):
    HINTS = {
        "near": lambda rng, tokens: tokens * math.exp(rng.gauss(0.0, 0.5)),
        "off by 4": lambda rng, tokens: tokens * rng.choice((0.25, 4.0)),
        "missing": lambda rng, tokens: 0,
        "always 1": lambda rng, tokens: 1,
        "a quarter of the callers say 1": lambda rng, t: 1 if rng.random() < 0.25 else t,
    }

    def learn(self, write_hint, answers=400):
        """Return the sums of estimates and of lengths by kind, after 200 answers of each."""
        rng, lengths = random.Random(7), AnswerLengths()
        sums = {}
        for kind in KINDS:
            for number in range(answers):
                tokens = 5 * draw_size(rng, kind.answer_events, kind.answer_spread)
                hint = int(write_hint(rng, tokens))
                expected = lengths.estimate(kind.name, hint, 95, number * 0.05)
                lengths.record(kind.name, hint, tokens, 95, number * 0.05)
                if number >= 200:
                    estimated, seen = sums.get(kind.name, (0.0, 0.0))
                    sums[kind.name] = (estimated + expected.mean_tokens, seen + tokens)
        return lengths, sums

    # Answers of equal prompts differ with a spread of 1.5, and hints are wrong, missing or lies.
    def test_the_sum_of_estimates_is_near_that_of_the_answers_whatever_hints_say(self):
        for name, write_hint in self.HINTS.items():
            for kind, (estimated, seen) in self.learn(write_hint)[1].items():
                with self.subTest(hints=name, kind=kind):
                    self.assertTrue(0.8 <= estimated / seen <= 1.25, estimated / seen)

    # A caller that understates its answers would get room that others need.
    def test_a_hint_that_understates_makes_a_request_no_cheaper(self):
        lengths, _ = self.learn(self.HINTS["a quarter of the callers say 1"], 2_000)
        for kind in KINDS:
            route = lengths.estimate(kind.name, 0, 95, 100.0)
            liar = lengths.estimate(kind.name, 1, 95, 100.0)
            self.assertGreaterEqual(liar.mean_tokens, 0.8 * route.mean_tokens)
            self.assertGreaterEqual(liar.long_tokens, route.long_tokens)

    # Hints of which one in a thousand is a lie must not lower what a liar's request counts for.
    def test_a_first_lie_is_bounded_by_what_the_route_supports(self):
        lengths, _ = self.learn(self.HINTS["near"])
        lie = lengths.estimate("digest", 1, 95, 20.0).mean_tokens
        shortest = lengths.routes.get("digest").lengths.quantile(0.2)
        self.assertGreaterEqual(lie, shortest)

    def test_estimates_come_from_the_profile_before_answers_and_follow_a_change(self):
        lengths = AnswerLengths()
        self.assertEqual(lengths.estimate("r", 40, 95, 0.0).mean_tokens, 95)
        for number in range(300):
            lengths.record("r", 0, 200.0, 95, number * 1.0)
        for number in range(300):
            lengths.record("r", 0, 50.0, 95, 300.0 + number)
        self.assertTrue(45 <= lengths.estimate("r", 0, 95, 600.0).mean_tokens <= 60)

    # A configuration with many routes, or one that changes often, must not fill the memory.
    def test_routes_without_recent_answers_are_forgotten(self):
        lengths = AnswerLengths()
        for number in range(MAX_ROUTES + 10):
            lengths.record(f"r{number}", number, 100.0, 95, number * 1.0)
        self.assertEqual(lengths.estimate("r0", 0, 95, 1000.0).long_tokens, 95)
        self.assertEqual(len(lengths.routes), MAX_ROUTES)

    # One caller states a prompt of a billion tokens, and all engines look busy for a minute.
    def test_one_prompt_far_too_large_hardly_changes_the_usual_one(self):
        learned = LearnedWork()
        for number in range(100):
            learned.record_prompt("llm", 900, PROFILE, number * 0.1)
        learned.record_prompt("llm", 10**9, PROFILE, 10.0)
        self.assertLess(learned.usual_request("llm", PROFILE, 10.0).prompt_tokens, 1_000)

    def test_a_histogram_keeps_its_mean_over_a_long_time(self):
        histogram = DecayedHistogram(60.0)
        for at_s in range(0, 200_000, 50):
            histogram.add(100.0, float(at_s))
        self.assertAlmostEqual(histogram.mean(), 100.0)
        self.assertAlmostEqual(histogram.count(199_950.0), 1 / (1 - 0.5 ** (50 / 60)), places=3)
        self.assertAlmostEqual(histogram.mean_excess(40.0), 60.0)


class TestWorkLeft(unittest.TestCase):
    # Equal numbers of requests hide that those at one engine are nearly done.
    def test_a_full_engine_whose_requests_are_nearly_done_is_preferred(self):
        placement = build_placement(predicts_work=True)
        for number in range(50):
            sent = placement.begin("a", 900, number * 0.1, REQUEST)
            for _ in range(20):
                sent.record_received(number * 0.1)
            placement.end(sent, number * 0.1)
            placement.record_answer(sent, number * 0.1)
        for id, events in (("a", 1), ("b", 18)):
            for _ in range(11):
                sent = placement.begin(id, 900, 6.0, REQUEST)
                for _ in range(events):
                    sent.record_received(7.0)
        report(placement, 7.1)
        for _ in range(10):
            self.assertEqual(placement.choose(REQUEST, 7.15).id, "b")

    # A plain upstream is busy with one long request while another has two that are nearly done.
    def test_plain_upstreams_are_compared_by_the_time_their_requests_have_left(self):
        placement = Placement(random.Random(1), EngineStatusTable(), predicts_work=True)
        for id in ("a", "b"):
            placement.update_upstream(DirectUpstream(id, "box", f"{id}:1", "z1", 6, True))
        short, long = (PlacementRequirements("box", "z1", route=r) for r in ("short", "long"))
        for number in range(40):
            for requirements, took_s in ((short, 0.02), (long, 0.6)):
                sent = placement.begin("a", 0, float(number), requirements)
                placement.end(sent, number + took_s)
                placement.record_answer(sent, number + took_s)
        placement.begin("a", 0, 100.0, long)
        for _ in range(2):
            placement.begin("b", 0, 100.0, short)
        self.assertEqual(placement.choose(short, 100.01).id, "b")


class TestLoads(unittest.TestCase):
    def check(self, by_requests, by_work):
        self.assertGreater(by_work.goodput, by_requests.goodput)
        self.assertLess(by_work.mean_error_s, by_requests.mean_error_s)

    # Prompts up to three times the mean take several passes, in which others wait.
    def test_heavy_tailed_prompts_and_answers(self):
        by_requests, by_work = run_both(duration_s=10.0, seeds=(1, 2, 3))
        self.check(by_requests, by_work)
        self.assertLess(by_work.refused, by_requests.refused)
        # The largest tenth must not pay for it.
        self.assertGreaterEqual(by_work.largest_goodput, by_requests.largest_goodput)

    def test_hints_that_lie(self):
        self.check(*run_both(write_hint=lambda hint: 1))

    # One engine takes three times as long for 0.6 s, every two seconds another one.
    def test_an_engine_at_a_third_of_its_pace_for_a_moment(self):
        self.check(*run_both(slow_for_s=0.6, seeds=(1, 2, 3, 4, 5)))

    def test_reports_that_are_250_ms_old(self):
        self.check(*run_both(report_age_s=0.25))

    # Many entries see the same reports, so that each might choose the same engine.
    def test_many_entries_do_not_crowd_one_engine(self):
        for entries in (36, 99):
            with self.subTest(entries=entries):
                deployment = evolve(UNEVEN, entries=entries)
                self.check(*run_both(deployment=deployment, duration_s=4.0, seeds=(1,)))


class TestSwitch(unittest.TestCase):
    # Deployments that don't ask for it must be served as before, draw by draw.
    def test_choices_without_it_are_those_of_the_choice_by_requests(self):
        chosen = []

        class Recording(Simulation):
            def _send(self, request, engine):
                chosen.append(engine.id)
                return super()._send(request, engine)

        Recording(1, 1.1, "placement", duration_s=6.0).run()
        digest = hashlib.sha256(" ".join(chosen).encode()).hexdigest()
        self.assertEqual((len(chosen), digest[:16]), (384, "f08412df20a947b4"))

    def test_it_is_switched_on_by_the_environment(self):
        values = parse_lines(SETTINGS)
        self.assertFalse(read_entry(values, {})[0].predicts_work)
        self.assertTrue(read_entry(values, {"DAISYSTACK_PREDICT_WORK": "on"})[0].predicts_work)
        with self.assertRaises(SettingsRefused):
            read_entry(values, {"DAISYSTACK_PREDICT_WORK": "yes"})
