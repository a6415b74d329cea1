"""``auburnwall settings``: list the settings of this program."""

from auburnwall.base.settings import describe

from ..base import BaseCommand
from ..settings import SETTING_SPECS, CliSettings


class SettingsCommand(BaseCommand):
    """List flags, variables, defaults, units, allowed values and meanings."""

    name = "settings"
    description = "List the settings of this program."

    def run_command(self):
        """Show the table."""
        self.show_rows(
            describe(CliSettings, SETTING_SPECS),
            ["flag", "variable", "default", "unit", "allowed", "meaning"],
        )
