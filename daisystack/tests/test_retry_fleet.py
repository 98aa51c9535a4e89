"""Test in simulated time that the retries of all entries stay within the slack of a service."""

import unittest

from daisystack.core.retries import WindowedBudget
from daisystack.testing.gossip import GossipFleet

SLACK = 400.0
WINDOW_S = 10.0
STEP_S = 0.25


class RetryingFleet:
    """Entries that retry whenever their budget allows it, with no first attempts to credit it."""

    def __init__(self, entries, zones, seed):
        self.fleet = GossipFleet(entries, zones, seed=seed, loss=0.02)
        self.fleet.introduce_all()
        self.budgets = {entry_id: self.build(-60.0) for entry_id in self.fleet.entries}
        self.retries_s = []
        self.fleet.run(12.0)

    def build(self, started_s):
        return WindowedBudget(0.0, SLACK, WINDOW_S, started_s)

    def restart_all(self):
        for entry_id in list(self.fleet.entries):
            self.fleet.restart(entry_id)
            self.budgets[entry_id] = self.build(self.fleet.now_s)

    def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.fleet.run(STEP_S)
            at_s = self.fleet.now_s
            for entry_id, entry in self.fleet.entries.items():
                count = entry.membership.entry_count(at_s)
                while self.budgets[entry_id].try_consume(count, at_s):
                    self.retries_s.append(at_s)

    def worst_window(self):
        return max(
            sum(end_s - WINDOW_S < at_s <= end_s for at_s in self.retries_s)
            for end_s in set(self.retries_s)
        )


class TestRetriesOfAllEntries(unittest.TestCase):
    # BUDGET: each new incarnation took a part of the slack that its former one had used, and a part
    # for few entries while it knew few.
    def test_slack_holds_when_all_entries_restart_together(self):
        for entries, zones in ((8, 3), (35, 4), (99, 5)):
            fleet = RetryingFleet(entries, zones, seed=entries)
            fleet.run(1.0)
            fleet.restart_all()
            fleet.run(WINDOW_S + 2.0)
            with self.subTest(entries):
                self.assertLessEqual(fleet.worst_window(), SLACK)
                self.assertGreater(len(fleet.retries_s), 0.9 * SLACK)


if __name__ == "__main__":
    unittest.main()
