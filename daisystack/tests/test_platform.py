"""Test the platform adapter's isolation, roles and settings."""

import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from daisystack.core.settings import SettingsRefused
from daisystack.runtime.web import Request
from daisystack.tests.on_platform.adapter import (
    ROOT,
    SETTINGS,
    endpoints,
    parse_lines,
    read_agent,
    read_entry,
    read_identity,
)


class TestDirectory(unittest.TestCase):
    # The directory ignored the host and the region, and named entries outside the host's homes.
    def test_the_directory_is_asked_by_zone_host_and_region(self):
        entry = mock.Mock()
        entry.settings.identity.zone = "own-a"
        entry.settings.address_lifetime_s = 1.0
        entry.addresses_for.return_value = ["10.1.0.40:8005"]
        with mock.patch.multiple(endpoints, serve_http=mock.DEFAULT, parse_address=str) as mocks:
            endpoints.serve_endpoints(entry)
        resolve = mocks["serve_http"].call_args.args[1][0].handler
        for query, expected in [
            ("name=a.example&region=mtl&zone=mtl-a", ("mtl-a", "a.example", "mtl")),
            ("", ("own-a", "", "")),
        ]:
            with self.subTest(query):
                answer = resolve(Request("GET", "", {"QUERY_STRING": query}), "")
                self.assertEqual(answer.status, 200)
                entry.addresses_for.assert_called_with(*expected)


class TestName(unittest.TestCase):
    def test_platform_imports_the_standard_library_module(self):
        code = "import platform, sys; sys.exit(not hasattr(platform, 'python_version'))"
        result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False)
        self.assertEqual(result.returncode, 0)
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

    def test_platform_names_appear_only_in_the_adapter(self):
        names = re.compile(
            r"X-(Attempt-Id|Deadline-Ms|Expect-|Response-Stamp|Not-Executed|Token-Usage|Tenant)"
            r"|X-(Prompt-Prefix|Weight-Versions|Request-Priority|Length-Hint)|Api-Key"
            r"|kv-(key|range|watch)|stage-(put|get)|target_latency_ms|traffic_split|api_keys"
            r"|health_path|cold_left_ms|gap_aim_ms|/daisystack/|more_pages|node_name|grace_s=",
            re.IGNORECASE,
        )
        for path in ROOT.rglob("*.py"):
            parts = path.relative_to(ROOT).parts
            if parts[0] in ("daisystack", "tools", "benchmarks") and "tests" not in parts:
                for number, line in enumerate(path.read_text().splitlines(), 1):
                    with self.subTest(path=str(path), line=number):
                        self.assertIsNone(names.search(line))

    def test_an_unknown_role_is_answered_with_the_allowed_roles(self):
        result = subprocess.run(
            [sys.executable, "platform/serve.py", "nothing"],
            cwd=ROOT,
            check=False,
            capture_output=True,
            text=True,
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn("allowed are entry, agent", result.stderr)

    def test_invalid_settings_are_all_reported_and_nothing_starts(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings"
            path.write_text(SETTINGS.replace("zone=mtl-a", "zone=").replace(":8005", ":x"))
            for settings_path, expected_texts in [
                (path, ["zone", "listen.front"]),
                (path / "no", ["can't start"]),
            ]:
                result = subprocess.run(
                    [sys.executable, "platform/serve.py", "entry"],
                    cwd=ROOT,
                    check=False,
                    capture_output=True,
                    text=True,
                    env=os.environ | {"DAISYSTACK_SETTINGS": str(settings_path)},
                )
                self.assertEqual(result.returncode, 2)
                self.assertNotIn("Traceback", result.stderr)
                for expected in expected_texts:
                    self.assertIn(expected, result.stderr)


class TestSettings(unittest.TestCase):
    def test_an_entry_and_an_agent_read_the_same_file(self):
        entry, store = read_entry(parse_lines(SETTINGS))
        self.assertEqual((entry.caller_address, store), ("10.1.0.40:8005", "10.200.1.7:8007"))
        self.assertEqual((entry.version_bound_s, entry.identity.zone), (8.0, "mtl-a"))
        agent, _ = read_agent(parse_lines(SETTINGS))
        self.assertEqual((agent.engine_address, agent.link_bytes_per_s), ("10.1.0.43:8001", 475e3))

    def test_all_faults_are_reported_at_once(self):
        text = SETTINGS.replace("10.1.0.40:8005", "nowhere").replace("zone=mtl-a", "zone=")
        text = text.replace("7700,7715", "7700").replace("revoke_ms=5000", "revoke_ms=-1")
        text = text.replace("platform.address", "another.name")
        with self.assertRaises(SettingsRefused) as caught:
            read_entry(parse_lines(text))
        messages = " ".join(str(fault) for fault in caught.exception.exceptions)
        for name in ("listen.front", "zone", "port_range", "bounds.revoke_ms", "platform.address"):
            self.assertIn(name, messages)

    def test_malformed_lines_are_reported_by_number(self):
        with self.assertRaises(SettingsRefused) as caught:
            parse_lines("a=1\nnonsense\n# note\n\n=x\n")
        messages = " ".join(str(fault) for fault in caught.exception.exceptions)
        self.assertIn("line 2", messages)
        self.assertIn("line 5", messages)

    def test_seeds_may_be_missing_and_may_change(self):
        self.assertEqual(read_identity(parse_lines(SETTINGS.replace("seeds=", "no="))).seeds, ())
        changed = SETTINGS.replace("10.2.0.37:8000", "10.9.0.1:8000")
        self.assertIn("10.9.0.1:8000", read_identity(parse_lines(changed)).seeds)
