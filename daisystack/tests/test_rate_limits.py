"""Test which limits of upstreams are believed, from which answers, and when they end."""

import unittest

from daisystack.core.placement import PlacementRequirements
from daisystack.core.rate_limits import (
    MAX_RECORDS,
    MIN_LIMIT_PER_S,
    LimitNews,
    RateLimits,
    parse_rate_limit,
)
from daisystack.core.rate_shares import (
    LimitedUpstream,
    RateShares,
    ZoneView,
    compute_rate_per_s,
)
from daisystack.core.traffic import RequestKind
from daisystack.runtime.clock import now_s
from daisystack.testing.direct import (
    RecordingResponder,
    build_inbound,
    build_policy,
    build_requests,
    build_route,
    build_upstream,
)
from daisystack.testing.scripted import ScriptedServer, build_answer, send_and_close
from daisystack.tests.on_platform.adapter import HeaderDialect

MARK = "Daisystack-Mark: m\r\n"
NOT_RUN = "Daisystack-Not-Run: 1\r\n"
LIMIT = "Daisystack-Rate-Limit: 2.5\r\n"


class TestValues(unittest.TestCase):
    def test_one_decimal_number_is_read(self):
        cases = {
            "1.9": 1.9,
            " 60 ": 60.0,
            "0.2": 0.2,
            "0": MIN_LIMIT_PER_S,
            "0.00": MIN_LIMIT_PER_S,
        }
        self.assertEqual({text: parse_rate_limit(text) for text in cases}, cases)

    def test_other_values_are_refused(self):
        for text in ("", "-1", "nan", "inf", "1e9", "1, 2", "1.", ".5", "9" * 400, "1 s", "+1"):
            with self.subTest(text), self.assertRaises(ValueError):
                parse_rate_limit(text)

    def test_header_is_read_from_answers_of_the_upstream_that_was_addressed(self):
        def read(status, *values):
            headers = [(b"x-attempt-id", b"r1"), (b"x-response-stamp", b"s")]
            headers += [(b"server-limit", value) for value in values]
            return HeaderDialect().read_answer(status, headers).rate_limit

        self.assertEqual((read(200, b"1.9"), read(503, b"2"), read(200)), ("1.9", "2", None))
        # Two values are no number; another upstream answers 421 at an address that it took over.
        self.assertEqual((read(200, b"1", b"2"), read(421, b"1.9")), ("1, 2", None))


class TestEvidence(unittest.TestCase):
    def setUp(self):
        self.limits = RateLimits()

    def limit(self, started_ms=1):
        return self.limits.limit_per_s("u1", started_ms)

    def test_limit_is_learned_changes_and_ends(self):
        learned = self.limits.record_named("u1", 1, 2.0, 10.0)
        self.assertEqual(
            (learned.before_per_s, learned.after_per_s, self.limit()), (None, 2.0, 2.0)
        )
        self.assertIsNone(self.limits.record_named("u1", 1, 2.0, 10.5))
        self.assertEqual(self.limits.record_named("u1", 1, 3.0, 11.0).after_per_s, 3.0)
        self.assertIsNone(self.limits.record_absent("u1", 1, 10.9))
        self.assertEqual(self.limit(), 3.0)
        self.assertEqual(self.limits.record_absent("u1", 1, 11.1).after_per_s, None)
        self.assertIsNone(self.limit())

    def test_new_incarnation_starts_clean(self):
        self.limits.record_named("u1", 1, 2.0, 10.0)
        self.assertIsNone(self.limit(started_ms=2))

    def test_entry_that_was_away_does_not_bring_back_a_limit_that_has_ended(self):
        self.limits.record_named("u1", 1, 2.0, 10.0)
        self.limits.record_absent("u1", 1, 12.0)
        old = LimitNews("u1", 1, 2.0, first_age_s=20.0, named_age_s=18.5)
        self.assertEqual(self.limits.merge([old], 30.0), [])
        self.assertIsNone(self.limit())
        newer = LimitNews("u1", 1, 2.0, first_age_s=20.0, named_age_s=17.0)
        self.assertEqual(len(self.limits.merge([newer], 30.0)), 1)
        self.assertEqual(self.limits.first_named_s("u1", 1), 12.0)

    def test_news_reaches_the_same_state_in_any_order(self):
        telling = [RateLimits() for _ in range(3)]
        telling[0].record_named("u1", 1, 2.0, 10.0)
        telling[1].record_named("u1", 1, 4.0, 11.0)
        telling[2].merge(telling[0].report(10.1), 10.1)
        telling[2].record_absent("u1", 1, 10.5)
        for order in ((0, 1, 2), (2, 1, 0), (1, 2, 0)):
            limits = RateLimits()
            for index in order:
                limits.merge(telling[index].report(12.0), 12.0)
            self.assertEqual(limits.limit_per_s("u1", 1), 4.0)

    def test_records_are_bounded_and_old_news_is_dropped(self):
        for index in range(4 * MAX_RECORDS):
            self.limits.record_named(f"u{index}", 1, 2.0, float(index))
        self.assertEqual(len(self.limits.limited()), MAX_RECORDS)
        self.assertEqual(self.limits.merge([LimitNews("v", 1, 2.0, 99.0, 99.0)], 2000.0), [])


class TestAnswers(unittest.TestCase):
    """What is concluded from the answers that upstreams send."""

    def learn(self, *heads, status="200 OK"):
        server = ScriptedServer(
            [send_and_close(build_answer(b"", status, head=head)) for head in heads]
        )
        self.addCleanup(server.close)
        upstream = build_upstream("u1", server.address, slots=100)
        requests = build_requests(build_policy(build_route(max_attempts=1)), [upstream])
        shares = requests.placement.shares
        start_s = now_s()
        for step in range(6):
            # As if this entry had known all others for longer than a window.
            shares.refresh(lambda key, limit_per_s: 100.0, 1, start_s - 5 + step)
        for _ in heads:
            requests.handle(build_inbound(), RecordingResponder())
            shares.refresh(lambda key, limit_per_s: 100.0, 1, now_s())
        return requests.placement.shares.limits.limit_per_s("u1", 0)

    def test_only_the_upstream_s_own_answers_to_the_request_count(self):
        foreign = MARK + "Daisystack-Request: other\r\n"
        self.assertEqual(self.learn(MARK + LIMIT), 2.5)
        self.assertEqual(self.learn(NOT_RUN + LIMIT, status="503 Service Unavailable"), 2.5)
        self.assertIsNone(self.learn(LIMIT))
        self.assertIsNone(self.learn(foreign + LIMIT))

    def test_limit_ends_by_an_answer_without_it_and_by_nothing_else(self):
        unread = MARK + "Daisystack-Rate-Limit: 1, 2\r\n"
        self.assertIsNone(self.learn(MARK + LIMIT, MARK))
        for head in ("", NOT_RUN, unread, MARK + "Daisystack-Request: other\r\n"):
            with self.subTest(head):
                self.assertEqual(self.learn(MARK + LIMIT, head), 2.5)

    def test_each_change_is_logged(self):
        with self.assertLogs("daisystack.limits") as logs:
            self.learn(MARK + LIMIT, MARK + LIMIT, MARK)
        events = [record.getMessage() for record in logs.records]
        self.assertEqual(events, ["upstream_rate_limited", "upstream_rate_limit_ended"])


class TestShares(unittest.TestCase):
    """What one entry sends of a limit of 2 a second that it holds alone or with others."""

    KEY = ("u1", 1)

    def setUp(self):
        self.shares = RateShares()
        self.rate_per_s = 2.0
        self.now_s = 0.0
        self.run_for(6.0)
        self.shares.limits.record_named(*self.KEY, 2.0, self.now_s)
        self.run_for(0.4)

    def run_for(self, duration_s):
        for _ in range(round(duration_s / 0.4)):
            self.now_s += 0.4
            self.shares.refresh(lambda key, limit_per_s: self.rate_per_s, 1, self.now_s)

    def send_all(self):
        sent = 0
        while self.shares.take(self.KEY, self.now_s):
            sent += 1
        return sent

    def test_limit_is_used_evenly_over_a_window(self):
        sent = []
        for _ in range(40):
            sent.append(self.send_all())
            self.run_for(0.4)
        self.assertEqual(sent[0], 2)
        self.assertLessEqual(max(sum(sent[i : i + 10]) for i in range(30)), 8)
        self.assertGreaterEqual(sum(sent), 0.8 * 16 * 2.0)

    def test_share_that_grows_counts_once_it_has_been_held_for_a_window(self):
        self.rate_per_s = 0.0
        self.run_for(0.8)
        self.rate_per_s = 2.0
        self.run_for(3.6)
        self.assertEqual(self.send_all(), 0)
        self.run_for(0.8)
        self.assertEqual(self.send_all(), 2)

    def test_paused_process_sends_nothing_until_it_has_held_its_share_again(self):
        self.now_s += 3.0
        self.assertEqual(self.send_all(), 0)
        self.run_for(3.6)
        self.assertEqual(self.send_all(), 0)
        self.run_for(0.8)
        self.assertEqual(self.send_all(), 2)

    def test_limit_of_a_process_that_has_just_started_is_held_back(self):
        shares = RateShares()
        shares.limits.record_named(*self.KEY, 2.0, 1.0)
        for step in range(11):
            self.assertFalse(shares.take(self.KEY, 1.0 + 0.4 * step))
            shares.refresh(lambda key, limit_per_s: 2.0, 1, 1.0 + 0.4 * step)
        self.assertTrue(shares.take(self.KEY, 5.0))

    def test_requests_sent_before_the_limit_was_known_count(self):
        shares = self.shares
        other = ("u2", 1)
        for _ in range(20):
            shares.take(other, self.now_s)
        shares.limits.record_named(*other, 2.0, self.now_s)
        self.run_for(0.4)
        self.assertFalse(shares.may_send(other, self.now_s))
        self.run_for(4.0)
        self.assertTrue(shares.may_send(other, self.now_s))

    def test_reserved_request_that_is_not_sent_gives_its_share_back(self):
        self.assertTrue(self.shares.reserve(self.KEY) and self.shares.reserve(self.KEY))
        self.assertFalse(self.shares.may_send(self.KEY, self.now_s))
        self.shares.release(self.KEY)
        self.assertTrue(self.shares.may_send(self.KEY, self.now_s))

    def test_refused_callers_return_at_the_rate_of_the_limits(self):
        waits_s = [self.shares.plan_return_s("s", [self.KEY], self.now_s) for _ in range(4)]
        self.assertEqual([round(wait_s, 6) for wait_s in waits_s], [0.5, 1.0, 1.5, 2.0])


class TestParts(unittest.TestCase):
    """How a limit is dealt out to zones and entries."""

    def parts(self, limit_per_s, sizes, upstream_zone="a", served=(), live=None):
        upstream = LimitedUpstream("u1", upstream_zone, limit_per_s, frozenset(served))
        parts = {}
        for zone, size in sizes.items():
            ranked = tuple(f"{zone}{i}" for i in range(live if live is not None else size))
            for own_id in ranked:
                view = ZoneView(size, ranked)
                parts[own_id] = compute_rate_per_s(upstream, sizes, zone, own_id, view)
        return parts

    def test_parts_add_up_to_whole_requests_of_a_window(self):
        sizes = {"a": 33, "b": 40, "c": 26}
        for limit_per_s, total_per_s in ((0.2, 0.2), (1.0, 1.0), (1.9, 1.75), (60.0, 60.0)):
            for served in ((), ("a",), ("a", "b", "c")):
                parts = self.parts(limit_per_s, sizes, served=served)
                self.assertAlmostEqual(sum(parts.values()), total_per_s)

    def test_zone_of_the_upstream_holds_all_unless_others_have_none_of_its_service(self):
        sizes = {"a": 3, "b": 3, "c": 3}
        by_zone = {}
        for served in (("a", "b", "c"), ("a", "b")):
            parts = self.parts(6.0, sizes, served=served)
            by_zone[served] = [sum(parts[f"{zone}{i}"] for i in range(3)) for zone in sizes]
        self.assertEqual(list(by_zone.values()), [[6.0, 0.0, 0.0], [3.0, 0.0, 3.0]])

    def test_upstream_without_entries_in_its_zone_is_used_by_one_other_zone(self):
        parts = self.parts(2.0, {"b": 4, "c": 4}, served=("a", "b", "c"))
        self.assertEqual(sorted(parts.values()), [0.0] * 4 + [0.5] * 4)

    def test_smaller_half_of_a_zone_sends_nothing(self):
        self.assertEqual(set(self.parts(2.0, {"a": 5}, live=2).values()), {0.0})
        self.assertEqual(sum(self.parts(2.0, {"a": 5}, live=3).values()), 1.5)

    # Callers were told to stay away for the time of a limit while other upstreams came back sooner.
    def test_time_of_a_limit_is_told_only_if_all_upstreams_have_one(self):
        placement = build_requests(build_policy(build_route()), []).placement
        for id_ in ("u1", "u2"):
            placement.update_upstream(build_upstream(id_))
        placement.shares.limits.record_named("u1", 0, 0.05, 10.0)
        placement.pauses.record_pause("u2", 0, 0.5, 10.0)
        requirements = PlacementRequirements("ledger", "z1")
        self.assertEqual(placement.choose(requirements, 10.0).retry_after_s, 0.5)
        placement.shares.limits.record_named("u2", 0, 0.05, 10.0)
        self.assertEqual(placement.choose(requirements, 10.0).retry_after_s, 10.0)


class TestSends(unittest.TestCase):
    # LIMIT: an entry that had passed on an upstream's limit sent it each request that arrived.
    def test_requests_beyond_the_limit_are_refused_at_once_and_told_when_to_return(self):
        server = ScriptedServer([send_and_close(build_answer(b"", head=MARK + LIMIT))])
        self.addCleanup(server.close)
        upstream = build_upstream("u1", server.address, slots=100)
        requests = build_requests(build_policy(build_route(RequestKind.UNSAFE)), [upstream])
        responders = [RecordingResponder() for _ in range(60)]
        for responder in responders:
            requests.handle(build_inbound(), responder)
        self.assertLessEqual(server.connections, 1.5 * 4 * 2.5 + 5)
        refused = [r for r in responders if r.status == 503]
        self.assertEqual(len(refused), 60 - server.connections)
        self.assertGreater(min(float(r.headers[b"Retry-After"]) for r in refused), 0.0)


if __name__ == "__main__":
    unittest.main()
