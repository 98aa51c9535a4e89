"""Test entries and agents as separate processes against a stand-in of the platform."""

import tempfile
import time
import unittest
from pathlib import Path

from daisystack.tests.on_platform.demo import CheckTable, run_checks
from daisystack.tests.on_platform.site import PlatformSite
from daisystack.tests.on_platform.standin import build_config


class TestSite(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.site = PlatformSite(self.folder)
        self.addCleanup(self.site.stop)
        self.site.start()

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def test_every_check_of_the_demo_passes(self):
        table = CheckTable()
        run_checks(self.site, table)
        self.assertEqual(table.failed, 0)

    def test_a_request_can_be_traced_by_its_id(self):
        self.site.call(0, "POST", "/post/1")
        # The log line is written after the response has been sent.
        self.site.wait_for(lambda: "request_id=r1 " in self.log("entry-0"))
        line = next(x for x in self.log("entry-0").splitlines() if "request_id=r1 " in x)
        for expected in ("outcome=served", "service=ledger", "upstream=plain-1", "belief_age_s="):
            self.assertIn(expected, line)
        self.assertIn(
            'daisystack_requests_total{outcome="served",status="200"} 1', self.site.metrics(0)
        )

    def test_a_revoked_key_is_rejected(self):
        config = build_config(f"127.0.0.1:{self.site.base_port + 1}")
        config["version"] = 2
        config["tenants"] = [{"name": "dealers", "api_keys": ["another-key"]}]
        self.site.publish("op/config", config)
        took_s = self.site.wait_for(lambda: self.site.call(1, "POST", "/post/1").status == 401)
        self.assertLess(took_s, 2.0)
        self.assertEqual(self.site.call(1, "POST", "/post/1", "another-key").status, 200)

    def publish_config(self, version, *keys):
        config = build_config(f"127.0.0.1:{self.site.base_port + 1}")
        config["version"] = version
        config["tenants"] = [{"name": "dealers", "api_keys": list(keys)}]
        self.site.publish("op/config", config)

    def status(self, index, key):
        return self.site.call(index, "POST", "/post/1", key).status

    def test_a_drill_of_the_store_undoes_no_revocation(self):
        """The store comes back from a copy in which a revoked key was valid."""
        self.site.drill("keep")
        self.publish_config(2, "another-key")
        for index in range(2):
            self.site.wait_for(lambda i=index: self.status(i, "another-key") == 200)
        self.site.drill("restore")
        ends_s = time.monotonic() + 4.0
        while time.monotonic() < ends_s:
            for index in range(2):
                self.assertEqual(self.status(index, "key-of-the-dealers"), 401)
                self.assertIn(self.status(index, "another-key"), (200, 503))
        # Revisions are given out again; a truly newer configuration has a lower one.
        self.publish_config(3, "third-key")
        for index in range(2):
            took_s = self.site.wait_for(lambda i=index: self.status(i, "third-key") == 200)
            self.assertLess(took_s, 3.0)
            self.assertEqual(self.status(index, "another-key"), 401)
        self.assertIn("store_era_changed", self.log("entry-0") + self.log("entry-1"))
