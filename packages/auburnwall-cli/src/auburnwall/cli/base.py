"""What all commands share."""

import json
import os
from abc import abstractmethod

from cleo.commands.command import Command
from cleo.helpers import option

from auburnwall.base.exceptions import AuburnwallError, SettingsError
from auburnwall.base.settings import describe, flag_name, load
from auburnwall.state.configuration.files import ConfigFileError
from auburnwall.state.exceptions import LogUnavailableError

from .exceptions import (
    EXIT_BAD_INPUT,
    EXIT_OK,
    EXIT_UNMET,
    EXIT_UNREACHABLE,
    CommandError,
)
from .settings import SETTING_SPECS, CliSettings

SHARED_OPTIONS = [
    option(
        flag_name(field),
        None,
        f"{row['meaning']} [{row['variable']}, default {row['default']!r}]",
        flag=False,
    )
    for field, row in zip(
        CliSettings._fields, describe(CliSettings, SETTING_SPECS), strict=True
    )
]


class BaseCommand(Command):
    """Read settings, run, turn errors into messages and exit codes."""

    options = SHARED_OPTIONS

    @abstractmethod
    def run_command(self):
        """Do the work and return an exit code, ``None`` for success."""

    def handle(self):
        """Run the command; say what went wrong on standard error."""
        flags = {field: self.option(flag_name(field)) for field in CliSettings._fields}
        try:
            self.cfg = load(CliSettings, SETTING_SPECS, flags, os.environ)
            return self.run_command() or EXIT_OK
        except (SettingsError, ConfigFileError) as exc:
            return self._fail(exc, EXIT_BAD_INPUT)
        except LogUnavailableError as exc:
            return self._fail(exc, EXIT_UNREACHABLE)
        except CommandError as exc:
            return self._fail(exc, exc.exit_code)
        except AuburnwallError as exc:
            return self._fail(exc, EXIT_UNMET)

    def show(self, rows, columns):
        """Print rows, which are mappings, as a table or as JSON."""
        rows = list(rows)
        if self.cfg.format == "json":
            self.show_json(rows)
            return
        table = self.table(
            [column.replace("_", " ") for column in columns],
            [[_cell(row.get(column, "")) for column in columns] for row in rows],
        )
        table.render()

    def show_json(self, value):
        """Print a value as JSON."""
        self.line(json.dumps(value, indent=2, default=str))

    def say(self, text):
        """Print a sentence, except where the output is JSON."""
        if self.cfg.format != "json":
            self.line(text)

    def _fail(self, exc, code):
        for line in str(exc).splitlines():
            self.line_error(f"<error>{line}</error>")
        return code


def _cell(value):
    if isinstance(value, (list, tuple)):
        return " ".join(map(str, value))
    return str(value)
