"""``auburnwall diff``: compare a file with the configuration in force."""

import jsonpatch
from cleo.helpers import argument

from auburnwall.state.configuration.files import load_file

from ..base import BaseCommand
from ..reading import LogReader


def diff_rows(old, new):
    """Return rows of operation, path and value that turn ``old`` into ``new``."""
    return [
        {"change": op["op"], "path": op["path"], "value": op.get("value", "")}
        for op in jsonpatch.make_patch(old, new).patch
    ]


class DiffCommand(BaseCommand):
    """Show what a file would change in the configuration in force."""

    name = "diff"
    description = "Show what a file would change in the configuration in force."
    arguments = [argument("file", "TOML file to compare")]

    def run_command(self):
        """Show the changes."""
        config = load_file(self.argument("file"))
        state = LogReader(self.cfg.log_url).catch_up()
        self.show_text(f"compared with version {state.config_offset}")
        self.show_rows(diff_rows(state.config, config), ["change", "path", "value"])
