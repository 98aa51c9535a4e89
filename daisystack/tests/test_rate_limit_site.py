"""Test with separate processes that entries keep the limit that an upstream names."""

import tempfile
import time
import unittest
from pathlib import Path

from daisystack.tests.on_platform.soak_site import SoakSite
from tools.soak.callers import Callers
from tools.soak.records import History, Life, read_upstream_events

LIMITED = "engine-0"
LIMIT_PER_S = 1.0
WINDOW_S = 4.0
SPREAD_S = 2.0
LIMITED_S = 11.0
AFTER_S = 6.0


class TestSite(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        site = SoakSite(Path(folder.name), models=2)
        cls.addClassCleanup(site.stop)
        site.start()
        history = History(lives=[Life(index, 0, 0.0) for index in range(site.entries)])
        callers = Callers(site, history, seed=1, count=16)
        callers.start()
        time.sleep(3.0)
        site.name_limit(LIMITED, str(LIMIT_PER_S))
        cls.limited_s = time.monotonic()
        time.sleep(LIMITED_S)
        cls.metrics = [site.metrics(index) for index in range(site.entries)]
        site.name_limit(LIMITED, "")
        cls.ended_s = time.monotonic()
        time.sleep(AFTER_S)
        callers.stop()
        events = read_upstream_events(site.record_path)
        cls.arrived_s = [e.at_s for e in events if e.event == "arrived" and e.upstream == LIMITED]
        cls.logs = [
            (site.folder / f"entry-{index}.log").read_text() for index in range(site.entries)
        ]

    def count(self, from_s, to_s):
        return sum(from_s <= at_s < to_s for at_s in self.arrived_s)

    # LIMIT: three entries sent an upstream ten times what it had asked for.
    def test_entries_keep_the_limit_together_and_use_it(self):
        self.assertGreater(self.count(self.limited_s - 2.0, self.limited_s), 4 * LIMIT_PER_S)
        from_s = self.limited_s + SPREAD_S
        starts_s = [at_s for at_s in self.arrived_s if from_s <= at_s < self.ended_s - WINDOW_S]
        counts = [self.count(at_s, at_s + WINDOW_S) for at_s in starts_s]
        self.assertLessEqual(max(counts), WINDOW_S * LIMIT_PER_S + 1, counts)
        self.assertGreaterEqual(self.count(from_s, self.ended_s), 0.5 * LIMIT_PER_S * 9.0)

    def test_every_entry_hears_of_the_limit_and_of_its_end(self):
        for log, metrics in zip(self.logs, self.metrics, strict=True):
            self.assertIn("event=upstream_rate_limited", log)
            self.assertIn("event=upstream_rate_limit_ended", log)
            self.assertIn('daisystack_rate_limit_per_second{upstream="engine-0"} 1', metrics)
        self.assertGreater(self.count(self.ended_s + 3.0, self.ended_s + 5.0), 4 * LIMIT_PER_S)


if __name__ == "__main__":
    unittest.main()
