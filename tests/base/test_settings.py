"""Settings: precedence, and reporting of all problems together, each with a remedy."""

import unittest

from auburnwall.base.exceptions import SettingsError
from auburnwall.base.settings import load
from auburnwall.cli.settings import SETTING_SPECS as CLI_SETTING_SPECS
from auburnwall.cli.settings import CliSettings
from auburnwall.node.settings import CHECKS, SETTING_SPECS, NodeSettings
from scripts.reference_pages import PAGE, settings_page

REQUIRED_SETTINGS = {
    "node": "entry-1",
    "data_center": "norte",
    "log_url": "http://127.0.0.1:1",
    "vm_list_url": "http://127.0.0.1:2",
}


def load_node(flags=None, environ=None):
    return load(
        NodeSettings,
        SETTING_SPECS,
        {**REQUIRED_SETTINGS, **(flags or {})},
        environ or {},
        CHECKS,
    )


class SettingsTests(unittest.TestCase):
    def problems(self, flags=None, environ=None):
        with self.assertRaises(SettingsError) as caught:
            load_node(flags, environ)
        return caught.exception.problems

    def test_every_setting_is_described_and_has_a_default_within_its_range(self):
        for schema, specs in (
            (NodeSettings, SETTING_SPECS),
            (CliSettings, CLI_SETTING_SPECS),
        ):
            self.assertEqual(set(schema._fields), set(specs))
        cfg = load_node()
        explicit = {
            field: str(value) for field, value in cfg._asdict().items() if value != ""
        }
        self.assertEqual(load_node(explicit), cfg)

    def test_all_invalid_settings_are_reported(self):
        problems = self.problems(
            {"probe_s": "0", "planner": "best", "peer_address": "here"}
        )
        reported = " ".join(problem.setting for problem in problems)
        for flag in ("--probe-s", "--planner", "--peer-address"):
            self.assertIn(flag, reported)
        for problem in problems:
            self.assertTrue(problem.remedy)

    def test_flag_overrides_variable_which_overrides_default(self):
        environ = {"AUBURNWALL_PROBE_S": "0.2"}
        self.assertEqual(load_node(environ=environ).probe_s, 0.2)
        self.assertEqual(load_node({"probe_s": "0.3"}, environ).probe_s, 0.3)

    def test_all_missing_settings_are_reported(self):
        with self.assertRaises(SettingsError) as caught:
            load(NodeSettings, SETTING_SPECS, {}, {}, CHECKS)
        self.assertEqual(len(caught.exception.problems), 4)

    def test_page_of_settings_is_what_the_code_says(self):
        self.assertEqual(PAGE.read_text("utf-8"), settings_page())

    def test_contradicting_settings_are_reported(self):
        problem = self.problems({"witnesses": "3"})[0]
        self.assertIn("--witnesses", problem.setting)


if __name__ == "__main__":
    unittest.main()
