"""``auburnwall apply``: publish a configuration by compare-and-set."""

import getpass
import time

import jsonpatch
from cleo.helpers import argument, option

from auburnwall.state.configuration.files import load_file

from ..base import SHARED_OPTIONS, BaseCommand
from ..exceptions import EXIT_FAILED
from ..reading import LogReader, NodeClient
from .diff import diff_rows

POLL_INTERVAL_S = 0.1


class ApplyCommand(BaseCommand):
    """Publish a file; if another version was published since, show how it differs."""

    name = "apply"
    description = "Publish a configuration file on the log."
    arguments = [argument("file", "TOML file to publish")]
    options = [
        *SHARED_OPTIONS,
        option("base", None, "Version that the file was made from", flag=False),
        option("author", None, "Name to publish under", flag=False),
        option("wait", None, "Wait until every node has it in force", flag=True),
    ]

    def run_command(self):
        """Publish the file and print the result."""
        config = load_file(self.argument("file"))
        reader = LogReader(self.cfg.log_url)
        state = reader.catch_up()
        patch = jsonpatch.make_patch(state.config, config).patch
        if not patch:
            self.show_text(
                f"nothing to change: version {state.config_offset} is in force"
            )
            return self._wait_if_asked(reader, state.config_offset)
        base = self.option("base")
        body = {
            "base": state.config_offset if base is None else int(base),
            "patch": patch,
            "author": self.option("author") or getpass.getuser(),
        }
        verdict = reader.propose("config", body, self.cfg.timeout_s)
        if not verdict.accepted:
            return self._report_rejection(reader, verdict, body["base"], config)
        self.show_text(f"accepted as version {verdict.offset}")
        return self._wait_if_asked(reader, verdict.offset)

    def _report_rejection(self, reader, verdict, base, config):
        author = next(
            (
                record.data["body"].get("author", "unknown")
                for record, _ in reader.verdicts
                if record.offset == verdict.winner
            ),
            "unknown",
        )
        self.line_error(
            f"<error>rejected: {verdict.reason}; version {verdict.winner} is by "
            f"{author}</error>"
        )
        self.show_text("changes in the version in force since the file's base version:")
        base_config = reader.configs.get(base)
        if base_config is None:
            self.show_text(
                f"version {base} has expired from the log or was never in force"
            )
        else:
            rows = diff_rows(base_config, reader.state.config)
            self.show_rows(rows, ["change", "path", "value"])
        self.show_text("changes that the file would make now:")
        self.show_rows(
            diff_rows(reader.state.config, config), ["change", "path", "value"]
        )
        return EXIT_FAILED

    def _wait_if_asked(self, reader, offset):
        if not self.option("wait"):
            return None
        deadline = time.monotonic() + self.cfg.timeout_s
        while True:
            statuses = NodeClient(reader.catch_up()).request_all("/admin/status")
            missing = [
                name
                for name, status in statuses.items()
                if status is None or status["config_offset"] < offset
            ]
            if not missing:
                self.show_text(f"version {offset} is in force on {len(statuses)} nodes")
                return None
            if time.monotonic() >= deadline:
                node_names = ", ".join(missing)
                self.line_error(f"<error>not confirmed by: {node_names}</error>")
                return EXIT_FAILED
            time.sleep(POLL_INTERVAL_S)
