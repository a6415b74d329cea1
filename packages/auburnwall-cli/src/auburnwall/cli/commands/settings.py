"""``auburnwall settings``: every setting of this program in one place."""

from auburnwall.base.settings import describe

from ..base import BaseCommand
from ..settings import SETTING_SPECS, CliSettings


class SettingsCommand(BaseCommand):
    """List flags, variables, defaults, units, ranges and meanings."""

    name = "settings"
    description = "List the settings of this program."

    def run_command(self):
        """Show the table."""
        self.show(
            describe(CliSettings, SETTING_SPECS),
            ["flag", "variable", "default", "unit", "allowed", "meaning"],
        )
