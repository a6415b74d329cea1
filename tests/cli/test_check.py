"""``auburnwall check``: each error names the path and the allowed values."""

import tempfile
import unittest
from pathlib import Path

from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from auburnwall.cli.commands.check import CheckCommand
from auburnwall.state.configuration.files import ConfigFileError, load_file
from demo.__main__ import CONFIG

VALID = CONFIG.read_text("utf-8")

# Text of the file, its replacement, the path and a text that the error must contain.
INVALID_EDITS = {
    "broken TOML": ("[groups.pair]", "[groups.pair", "(file)", "line"),
    "unknown section": ("[groups.pair]", "[group.pair]", "(top)", "groups"),
    "misspelt state": (
        '"in"\n\n[data_centers.zona-yumbo]',
        '"inn"\n\n[data_centers.zona-yumbo]',
        "data_centers.norte-cali.state",
        "in, out",
    ),
    "text for a number": ("members = 2", 'members = "2"', "groups.pair.members", "int"),
    "no members": ("members = 2", "members = 0", "groups.pair.members", "minimum 1"),
    "missing field": ("count = 2\n", "", "selectors.dispatch", "count"),
    "unknown model": (
        'model = "dispatch-70b"\ngroup',
        'model = "dispatch-7b"\ngroup',
        "selectors.dispatch.model",
        "dispatch-70b",
    ),
    "unknown time zone": (
        "priority = 10",
        'from = "05:00"\nuntil = "20:00"\nzone = "America/Cali"',
        "selectors.dispatch.zone",
        "IANA",
    ),
    "hours without an end": (
        "priority = 10",
        'from = "05:00"',
        "selectors.dispatch",
        "until",
    ),
    "key in clear": ("sha256:", "plain:", "teams.drivers.keys.0", "sha256"),
}


class CheckTests(unittest.TestCase):
    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder, "config.toml")

    def issues(self, text):
        self.path.write_text(text, "utf-8")
        with self.assertRaises(ConfigFileError) as caught:
            load_file(self.path)
        return caught.exception.issues

    def test_each_invalid_file_is_reported(self):
        self.assertEqual(len(INVALID_EDITS), 10)
        for name, (old, new, path, expected) in INVALID_EDITS.items():
            with self.subTest(name):
                self.assertIn(old, VALID)
                issue = self.issues(VALID.replace(old, new))[0]
                self.assertEqual(issue.path, path)
                self.assertIn(expected, f"{issue.wrong} {issue.allowed}")

    def test_all_errors_of_a_file_are_reported_together(self):
        text = VALID.replace("members = 2", "members = 0").replace("sha256:", "x:")
        paths = {issue.path for issue in self.issues(text)}
        self.assertEqual(paths, {"groups.pair.members", "teams.drivers.keys.0"})

    def test_missing_file_and_binary_file_are_rejected(self):
        with self.assertRaises(ConfigFileError):
            load_file(self.path)
        self.path.write_bytes(b"\xff\xfe\x00")
        with self.assertRaises(ConfigFileError):
            load_file(self.path)

    def run_command(self, text, arguments=""):
        self.path.write_text(text, "utf-8")
        command = CheckCommand()
        Application().add(command)
        tester = CommandTester(command)
        code = tester.execute(f"{self.path} {arguments}")
        return code, tester.io.fetch_output()

    def test_command_prints_path_and_allowed_values(self):
        code, output = self.run_command(VALID.replace('"in"', '"inn"'))
        self.assertEqual(code, 2)
        self.assertIn("data_centers.norte-cali.state", output)
        self.assertIn("in, out", output)
        code, output = self.run_command(VALID)
        self.assertEqual(code, 0)
        self.assertIn("good", output)


if __name__ == "__main__":
    unittest.main()
