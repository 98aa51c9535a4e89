import unittest
from pathlib import Path

import attrs
from typer.testing import CliRunner

from daisystack.cli import app
from daisystack.core.settings import (
    AgentSettings,
    EntrySettings,
    SettingsRefused,
    env_name,
    flag_name,
    read_settings,
)

GOOD = {
    "id": "e1",
    "zone": "mtl-1",
    "http_address": "127.0.0.1:1",
    "peer_address": "127.0.0.1:2",
    "config_address": "127.0.0.1:3",
    "live_list_address": "127.0.0.1:4",
}


class TestSettings(unittest.TestCase):
    def test_defaults_and_lists_are_parsed(self):
        settings = read_settings(EntrySettings, GOOD | {"peers": "127.0.0.1:5, 127.0.0.1:6"})
        self.assertEqual(settings.peers, ("127.0.0.1:5", "127.0.0.1:6"))
        self.assertEqual(settings.address_lifetime_s, 10.0)

    def test_all_faults_are_reported_together(self):
        given = GOOD | {"zone": "a b", "http_address": "host:1", "max_queue": "1.5", "id": None}
        with self.assertRaises(SettingsRefused) as caught:
            read_settings(EntrySettings, given)
        faults = " ".join(map(str, caught.exception.exceptions))
        for flag in ("--zone", "--http-address", "--max-queue", "--id or DAISYSTACK_ID"):
            self.assertIn(flag, faults)

    def test_numbers_out_of_range_are_refused(self):
        for value in ("0", "-1", "nan", "inf", "ten", ""):
            with self.subTest(value=value), self.assertRaises(SettingsRefused):
                read_settings(EntrySettings, GOOD | {"max_timeout_s": value})

    def test_command_exits_2_and_lists_all_faults(self):
        result = CliRunner().invoke(app, ["entry", "--id=e1", "--zone=!", "--max-queue=x"])
        self.assertEqual(result.exit_code, 2)
        self.assertEqual(result.stderr.count("\n"), 7)

    def test_settings_are_read_from_environment(self):
        result = CliRunner().invoke(app, ["agent"], env={"DAISYSTACK_ZONE": "!"})
        self.assertIn("--zone: got '!'", result.stderr)


class TestSettingsPage(unittest.TestCase):
    def test_operator_guide_lists_every_flag_variable_and_default(self):
        page = (Path(__file__).parents[2] / "docs" / "operator-guide.md").read_text()
        for kind in (EntrySettings, AgentSettings):
            for setting in attrs.fields(kind):
                is_required = setting.default is attrs.NOTHING
                default = "needed" if is_required else setting.default or "none"
                line = f"| `{flag_name(setting.name)}` | `{env_name(setting.name)}` |"
                found = [row for row in page.splitlines() if row.startswith(line)]
                with self.subTest(setting=setting.name):
                    self.assertTrue(any(f"| {default} |" in row for row in found))
