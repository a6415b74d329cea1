"""Settings: all that is bad is named at once, with a way to mend it."""

import unittest

from auburnwall.base.exceptions import SettingsError
from auburnwall.base.settings import load
from auburnwall.cli.settings import SETTING_SPECS as CLI_SETTING_SPECS
from auburnwall.cli.settings import CliSettings
from auburnwall.node.settings import CHECKS, SETTING_SPECS, NodeSettings
from scripts.reference_pages import PAGE, settings_page

NEEDED = {
    "node": "entry-1",
    "data_center": "norte",
    "log_url": "http://127.0.0.1:1",
    "vm_list_url": "http://127.0.0.1:2",
}


def load_node(flags=None, environ=None):
    return load(
        NodeSettings, SETTING_SPECS, {**NEEDED, **(flags or {})}, environ or {}, CHECKS
    )


class SettingsTests(unittest.TestCase):
    def problems(self, flags=None, environ=None):
        with self.assertRaises(SettingsError) as caught:
            load_node(flags, environ)
        return caught.exception.problems

    def test_every_setting_is_described_and_has_a_default_within_its_range(self):
        for schema, about in (
            (NodeSettings, SETTING_SPECS),
            (CliSettings, CLI_SETTING_SPECS),
        ):
            self.assertEqual(set(schema._fields), set(about))
        cfg = load_node()
        explicit = {f: str(v) for f, v in cfg._asdict().items() if v != ""}
        self.assertEqual(load_node(explicit), cfg)

    def test_three_bad_settings_are_all_named(self):
        problems = self.problems(
            {"probe_s": "0", "planner": "best", "peer_address": "here"}
        )
        named = " ".join(problem.setting for problem in problems)
        for flag in ("--probe-s", "--planner", "--peer-address"):
            self.assertIn(flag, named)
        for problem in problems:
            self.assertTrue(problem.remedy)

    def test_flag_wins_over_variable_which_wins_over_default(self):
        environ = {"AUBURNWALL_PROBE_S": "0.2"}
        self.assertEqual(load_node(environ=environ).probe_s, 0.2)
        self.assertEqual(load_node({"probe_s": "0.3"}, environ).probe_s, 0.3)

    def test_missing_settings_are_all_named(self):
        with self.assertRaises(SettingsError) as caught:
            load(NodeSettings, SETTING_SPECS, {}, {}, CHECKS)
        self.assertEqual(len(caught.exception.problems), 4)

    def test_page_of_settings_is_what_the_code_says(self):
        self.assertEqual(PAGE.read_text("utf-8"), settings_page())

    def test_settings_that_disagree_are_named(self):
        problem = self.problems({"witnesses": "3"})[0]
        self.assertIn("--witnesses", problem.setting)


if __name__ == "__main__":
    unittest.main()
