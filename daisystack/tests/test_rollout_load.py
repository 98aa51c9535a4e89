"""Run rollouts in passed time in which the origin of weights goes away.

Pattern: two versions are published two seconds apart, and the origin goes down while the entries
hold some pieces of the second. The first version expires before the second can be complete, so all
engines stop at the same time until it is.
"""

import functools
import unittest

import eventlet

from daisystack.core.digests import digest_bytes
from daisystack.runtime.clock import now_s
from daisystack.testing.fleet import BYTES_PER_MBIT, run_in_passed_time
from daisystack.testing.rollout_fleet import RolloutFleet

# Pulls of a serving engine leave a part of its link to answers.
LINK_SHARE = 0.95
# Read of the staged pieces, rounds of the agent's task, latency, and shared connections at the
# origin, whose first pieces all arrive together.
MARGIN_S = 1.0
WIDE = (("z0", "z1", "z2"), 12, 8)
SMALL = (("z0",), 4, 6)


class TwoVersions:
    """A fleet after two versions, the second of which the entries held in part for a while."""

    def __init__(self, zones, entries, agents):
        self.fleet = RolloutFleet(zones=zones, entries_per_zone=entries, agents_per_zone=agents)

    def play(self):
        fleet = self.fleet
        fleet.start()
        eventlet.sleep(2.0)
        fleet.publish(2)
        eventlet.sleep(2.0)
        fleet.publish(3)
        eventlet.sleep(0.5)
        fleet.origin.is_down = True
        eventlet.sleep(6.0)
        self.held = fleet.held_pieces(3)
        self.staged = [self.count_staged(agent.engine) for agent in fleet.agents]
        fleet.origin.is_down = False
        self.back_s = now_s()
        eventlet.sleep(10.0)
        return self

    def count_staged(self, engine):
        digests = self.fleet.origin.list_of(3).digests
        return sum(digest_bytes(body) == digests[index] for index, body in engine.pieces.items())

    def least_time_s(self, piece_count):
        """Return how long an agent's link needs for some pieces."""
        rate = self.fleet.agent_mbps * BYTES_PER_MBIT * LINK_SHARE
        return piece_count * self.fleet.piece_bytes / rate


@functools.cache
def play(size):
    return run_in_passed_time(TwoVersions(*size).play)


class TestTwoVersionsWhileTheOriginIsDown(unittest.TestCase):
    # VERSION: all pieces that the entries held were to be staged before the origin was back.
    def test_pieces_that_entries_hold_are_staged_while_the_origin_is_down(self):
        for size in (WIDE, SMALL):
            with self.subTest(size):
                played = play(size)
                self.assertGreater(played.held, 0)
                self.assertEqual(played.staged, [played.held] * len(played.staged))

    # Credit: each second that the missing pieces came later, no engine served anything.
    def test_missing_pieces_are_staged_as_fast_as_the_links_allow_once_it_is_back(self):
        for size in (WIDE, SMALL):
            with self.subTest(size):
                played = play(size)
                missing = played.fleet.piece_count - played.held
                bound_s = played.back_s + played.least_time_s(missing) + MARGIN_S
                ordered_s = [agent.engine.loaded[3][0] for agent in played.fleet.agents]
                self.assertLessEqual(max(ordered_s), bound_s)

    # WHOLE: pieces of the next version replace staged ones while an engine still loads those.
    def test_each_load_takes_the_pieces_of_its_version(self):
        for size in (WIDE, SMALL):
            origin = play(size).fleet.origin
            for agent in play(size).fleet.agents:
                self.assertEqual(agent.engine.version, 3)
                for version, (_, pieces) in agent.engine.loaded.items():
                    digests = tuple(digest_bytes(pieces[index]) for index in sorted(pieces))
                    self.assertEqual(digests, origin.list_of(version).digests)


if __name__ == "__main__":
    unittest.main()
