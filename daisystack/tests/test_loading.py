import random
import unittest

from daisystack.core.fencing import next_fence, revision_of
from daisystack.core.gate import EngineReport
from daisystack.core.loading import (
    LoadingTurn,
    earlier_in_lane,
    keeps_min_serving,
    loading_turn,
    other_pool_members,
)
from daisystack.core.orders import Drain, Idle, OrderInputs, SendOrder, WaitReason, decide_order
from daisystack.core.peers import PeerState
from daisystack.core.register import ModelRef
from daisystack.testing import build_document, build_status

A = frozenset({ModelRef("m", "a", "0" * 64)})
B = frozenset({ModelRef("m", "b", "1" * 64)})


def report(serving=A, loading=False, fence=1):
    return EngineReport("x", serving, loading, fence, 0, 0.0)


class TestOrders(unittest.TestCase):
    def decide(self, now_s=0.0, **changes):
        inputs = dict(
            intent=B,
            revision=5,
            report=report(),
            weights_held=True,
            turn=LoadingTurn(True),
            in_flight=0,
            draining_since_s=None,
            drain_s=30.0,
        )
        return decide_order(OrderInputs(**(inputs | changes)), now_s)

    def test_each_reason_to_wait(self):
        table = [
            (dict(intent=None), WaitReason.NO_INTENT),
            (dict(intent=frozenset()), WaitReason.NO_INTENT),
            (dict(leaving=True), WaitReason.LEAVING),
            (dict(superseded=True), WaitReason.SUPERSEDED),
            (dict(report=None), WaitReason.NO_REPORT),
            (dict(report=report(B)), WaitReason.AS_INTENDED),
            (dict(report=report(loading=True)), WaitReason.LOADING),
            (dict(report=report(fence=next_fence(6, 0))), WaitReason.CONFIG_BEHIND_ENGINE),
            (dict(config_confirmed=False), WaitReason.CONFIG_UNCONFIRMED),
            (dict(weights_held=False), WaitReason.WEIGHTS_MISSING),
            (dict(turn=LoadingTurn(False, "m2")), WaitReason.NOT_MY_TURN),
        ]
        for changes, reason in table:
            with self.subTest(reason=reason):
                self.assertEqual(self.decide(**changes), Idle(reason))

    def test_drains_before_ordering_for_at_most_drain_s(self):
        self.assertEqual(self.decide(in_flight=1), Drain())
        self.assertEqual(self.decide(29.0, in_flight=1, draining_since_s=0.0), Drain())
        self.assertIsInstance(self.decide(30.0, in_flight=1, draining_since_s=0.0), SendOrder)

    def test_an_empty_engine_loads_out_of_turn(self):
        decision = self.decide(report=report(frozenset()), turn=LoadingTurn(False, "m2"))
        self.assertIsInstance(decision, SendOrder)

    def test_fences_always_grow_when_revisions_repeat_or_go_back(self):
        last_fence = 0
        for revision in (1, 1, 4, 3, 4):
            fence = next_fence(revision, last_fence)
            self.assertGreater(fence, last_fence)
            self.assertGreaterEqual(revision_of(fence), revision)
            last_fence = fence


class TestLanes(unittest.TestCase):
    def test_at_most_max_loading_load_and_all_finish_with_half_of_the_pool_dead(self):
        for lanes in (1, 2, 5):
            for seed in range(20):
                with self.subTest(lanes=lanes, seed=seed):
                    self.roll_out(lanes, random.Random(seed))

    def roll_out(self, lanes, rng):
        document = build_document(agents=24, ledgers=0, max_loading=lanes)
        ids = [i.id for i in document.upstreams]
        dead = set(rng.sample(ids, 12))
        done, loading = set(), set()
        while len(done | dead) < len(ids):
            waiting = [i for i in ids if i not in done | loading | dead]
            rng.shuffle(waiting)
            for instance_id in waiting:
                turn = loading_turn(
                    earlier_in_lane(document, instance_id),
                    lambda i: PeerState.SUSPECTED if i in dead else PeerState.ALIVE,
                    lambda i: i in done,
                )
                if turn.allowed:
                    loading.add(instance_id)
            self.assertLessEqual(len(loading), lanes)
            self.assertTrue(loading)
            finished = rng.choice(sorted(loading))
            loading.discard(finished)
            done.add(finished)

    def test_min_serving_is_kept(self):
        def statuses(serving, closed, leaving=0):
            found = [build_status(f"s{i}") for i in range(serving)]
            found += [build_status(f"c{i}", gate_open=False) for i in range(closed)]
            return found + [build_status(f"l{i}", leaving=True) for i in range(leaving)]

        table = [
            (statuses(4, 0), 4, True),
            (statuses(3, 1), 4, False),
            (statuses(3, 0), 4, True),
            (statuses(2, 1), 4, False),
            (statuses(4, 0, leaving=3), 5, True),
            (statuses(0, 0), 4, True),
        ]
        for others, min_serving, kept in table:
            with self.subTest(others=len(others), min_serving=min_serving):
                self.assertIs(keeps_min_serving(others, min_serving), kept)

    def test_members_of_own_zone_come_first(self):
        others = other_pool_members(build_document(), "m2")
        self.assertEqual(others[0], "m5")
        self.assertEqual(set(others), {"m1", "m3", "m4", "m5", "m6"})
