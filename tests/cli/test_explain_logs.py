"""``auburnwall explain --logs`` selects the events of a request and of its groups."""

import json
import tempfile
import unittest
from pathlib import Path

from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from auburnwall.cli.commands.explain import ExplainCommand

EVENTS = [
    ("10:00:00.100", "n1", "request placed", {"request": "r1", "group": "g7"}),
    ("10:00:00.200", "n1", "request placed", {"request": "r2", "group": "g7"}),
    ("10:00:00.900", "n2", "group doubted", {"group": "g7", "source": "own streams"}),
    ("10:00:00.950", "n1", "exchange interrupted", {"request": "r1", "group": "g7"}),
    ("10:00:01.000", "n1", "request placed", {"request": "r1", "group": "g9"}),
    ("10:00:01.300", "n3", "group ended", {"group": "g7", "why": "lost s4"}),
    ("10:00:02.000", "n1", "request streamed", {"request": "r1", "group": "g9"}),
    ("10:00:09.000", "n3", "group dissolved", {"group": "g7"}),
    ("10:01:00.000", "n1", "server crashed", {"request": "r3", "parts": ["a", "bad"]}),
    ("10:01:00.100", "n2", "server crashed", {"request": "r4", "parts": ["a"]}),
    ("10:01:00.500", "n2", "prompt part blocked", {"part": "bad"}),
    ("10:01:00.500", "n3", "prompt part blocked", {"part": "bad"}),
    ("10:01:01.000", "n2", "request refused", {"request": "r5", "part": "bad"}),
    ("10:01:02.000", "n2", "prompt part unblocked", {"part": "bad"}),
    ("10:02:00.000", "n1", "configuration in force", {"version": 7}),
    ("10:02:00.100", "n1", "table lost", {"table": "servers"}),
    ("10:02:00.200", "n1", "table lost", {"table": "operator"}),
    ("10:02:00.300", "n2", "bad configuration", {"offset": 9}),
    ("10:02:01.000", "n1", "request failed", {"request": "r6", "config_version": 7}),
    ("10:02:02.000", "n1", "configuration in force", {"version": 8}),
    ("10:03:00.000", "n3", "configuration held back", {"version": 9}),
    (
        "10:03:01.000",
        "n3",
        "request failed",
        {
            "request": "r7",
            "config_version": 8,
            "config_age_s": 0.4,
            "config_source": "store",
            "config_pending_version": 9,
            "config_pending_why": "held back",
        },
    ),
    (
        "10:03:02.000",
        "n2",
        "request failed",
        {
            "request": "r8",
            "config_version": 8,
            "config_age_s": 1.9,
            "config_source": "n1",
            "config_pending_version": None,
            "config_pending_why": None,
        },
    ),
]


class ExplainLogsTests(unittest.TestCase):
    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        for node in ("n1", "n2", "n3"):
            lines = [
                "  12.1 " + json.dumps(self.event(*event))
                for event in EVENTS
                if event[1] == node
            ]
            text = "\n".join(["some other output {", *lines, "{torn"])
            (self.folder / node).write_text(text, "utf-8")

    def event(self, time, node, name, fields):
        return {"time": f"2026-12-04T{time}Z", "node": node, "event": name, **fields}

    def run_command(self, arguments, files=("n1", "n2", "n3")):
        application = Application()
        application.add(ExplainCommand())
        tester = CommandTester(application.find("explain"))
        paths = ",".join(str(self.folder / name) for name in files)
        code = tester.execute(
            f"--logs {paths} --log-url http://127.0.0.1:1 --format json {arguments}"
        )
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    def test_request_refused_for_its_prompt_with_the_crashes_and_the_decision(self):
        _, output, _ = self.run_command("--request r5")
        shown = [(row["node"], row["event"]) for row in json.loads(output)]
        self.assertEqual(
            shown,
            [
                ("n1", "server crashed"),
                ("n2", "prompt part blocked"),
                ("n2", "request refused"),
            ],
        )

    def test_request_refused_by_the_configuration_with_the_node_s_last_reads(self):
        _, output, _ = self.run_command("--request r6")
        shown = [(row["node"], row["event"]) for row in json.loads(output)]
        self.assertEqual(
            shown,
            [
                ("n1", "configuration in force"),
                ("n1", "table lost"),
                ("n1", "request failed"),
                ("n1", "went by"),
            ],
        )

    def went_by(self, request):
        _, output, _ = self.run_command(f"--request {request}")
        return json.loads(output)[-1]["detail"]

    def test_version_in_the_copy_is_told_from_a_copy_that_is_old(self):
        """Also beside nodes of builds that do not tell."""
        self.assertEqual(
            self.went_by("r7"),
            "version 8, copy 0.4 s old; "
            "the copy held version 9, not in force: held back",
        )
        self.assertEqual(
            self.went_by("r8"),
            "version 8, copy 1.9 s old; the copy held no other version",
        )
        self.assertIn("the node's build does not tell", self.went_by("r6"))

    def test_request_with_events_of_its_groups_meanwhile(self):
        code, output, _ = self.run_command("--request r1")
        shown = [(row["node"], row["event"]) for row in json.loads(output)]
        self.assertEqual(code, 0)
        self.assertEqual(
            shown,
            [
                ("n1", "request placed"),
                ("n2", "group doubted"),
                ("n1", "exchange interrupted"),
                ("n1", "request placed"),
                ("n3", "group ended"),
                ("n1", "request streamed"),
            ],
        )

    def test_group_without_a_request(self):
        _, output, _ = self.run_command("--group g7")
        shown = [row["event"] for row in json.loads(output)]
        self.assertEqual(shown, ["group doubted", "group ended", "group dissolved"])

    def test_missing_file_is_rejected(self):
        code, _, error = self.run_command("--request r1", files=("n1", "n9"))
        self.assertEqual(code, 2)
        self.assertIn("n9", error)
