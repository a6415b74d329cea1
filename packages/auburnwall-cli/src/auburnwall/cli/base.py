"""Base class and shared options of all commands."""

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
    EXIT_FAILED,
    EXIT_OK,
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
    """Load the settings, run the command and turn errors into exit codes."""

    options = SHARED_OPTIONS

    @abstractmethod
    def run_command(self):
        """Run the command and return an exit code, ``None`` for success."""

    def handle(self):
        """Run the command and return its exit code; print errors on standard error."""
        flags = {field: self.option(flag_name(field)) for field in CliSettings._fields}
        try:
            self.cfg = load(CliSettings, SETTING_SPECS, flags, os.environ)
            return self.run_command() or EXIT_OK
        except (SettingsError, ConfigFileError) as exc:
            return self._report_error(exc, EXIT_BAD_INPUT)
        except LogUnavailableError as exc:
            return self._report_error(exc, EXIT_UNREACHABLE)
        except CommandError as exc:
            return self._report_error(exc, exc.exit_code)
        except AuburnwallError as exc:
            return self._report_error(exc, EXIT_FAILED)

    def show_rows(self, rows, columns):
        """Print rows, given as mappings, as a table of ``columns`` or as JSON."""
        rows = list(rows)
        if self.cfg.format == "json":
            self.show_json(rows)
            return
        table = self.table(
            [column.replace("_", " ") for column in columns],
            [[_format_cell(row.get(column, "")) for column in columns] for row in rows],
        )
        table.render()

    def show_json(self, value):
        """Print a value as JSON."""
        self.line(json.dumps(value, indent=2, default=str))

    def show_text(self, text):
        """Print a line of text unless the output format is JSON."""
        if self.cfg.format != "json":
            self.line(text)

    def _report_error(self, exc, code):
        for line in str(exc).splitlines():
            self.line_error(f"<error>{line}</error>")
        return code


def _format_cell(value):
    if isinstance(value, (list, tuple)):
        return " ".join(map(str, value))
    return str(value)
